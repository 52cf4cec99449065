"""The adaptive concurrency limit: docs/decisions/concurrency.md."""

from math import inf

from quota_gateway.model.settings import RequestClass
from quota_gateway.policy.latency import FAST_RESPONSE_OBJECTIVE_SHARE

INITIAL_CONCURRENCY_PER_SERVER = 6.0  # attempts in flight at one server, summed over all gateways
LIMIT_INCREASE_PER_FAST_RESPONSE = 0.035  # attempts
LIMIT_DECREASE_PER_SLOW_RESPONSE = 0.3  # attempts; of a limit below 1, this share of the limit
MIN_LIMIT_ATTEMPTS = 0.3  # above 0, as only responses can raise it again
SLOW_RESPONSE_OBJECTIVE_SHARE = 0.5  # of the latency objective; slower responses lower the limit
LIMIT_USED_UP_MARGIN_ATTEMPTS = 2  # the attempt that has just ended, and one that would not fit


class ConcurrencyLimit:
    """Limits the attempts in flight from this gateway, less those that are slow already.

    The limit follows response latency. Increase and decrease are both additive, unlike AIMD; only
    below one attempt is the decrease multiplicative.

    Attributes:
        limit: Attempts, perhaps fractional; infinite until the first endpoint update sets it.
        in_flight: Attempts that count, by request id and number.
    """

    def __init__(self) -> None:
        self.limit = inf
        self.in_flight: set[tuple[str, int]] = set()

    def set_initial(self, endpoint_count: int, gateways: int) -> None:
        """Start from this gateway's even share of the initial concurrency of all endpoints."""
        self.limit = INITIAL_CONCURRENCY_PER_SERVER * endpoint_count / gateways

    def has_capacity(self, draw: float = 0.0) -> bool:
        """Whether one more attempt fits under the limit.

        Args:
            draw: A number from 0 to below 1, drawn at random once for each request. A limit with a fraction,
                such as 4.3, is then 5 for that share of the requests, here 0.3, and 4 for the others.
        """
        return len(self.in_flight) < self.limit - draw

    def on_start(self, request_id: str, attempt: int) -> None:
        """Count an attempt."""
        self.in_flight.add((request_id, attempt))

    def on_end(self, request_id: str, attempt: int) -> None:
        """Stop counting an attempt that has ended or has become slow."""
        self.in_flight.discard((request_id, attempt))

    def on_response(self, request_class: RequestClass, latency_ms: float) -> None:
        """Move the limit by the latency of a successful response.

        Args:
            request_class: The class of the request, whose latency objective is the measure.
            latency_ms: Latency of the response, less ``LatencyStatistics.size_extra_ms`` of its request.
        """
        is_used_up = len(self.in_flight) + LIMIT_USED_UP_MARGIN_ATTEMPTS >= self.limit
        if latency_ms > SLOW_RESPONSE_OBJECTIVE_SHARE * request_class.latency_objective_ms:
            self.limit = max(
                MIN_LIMIT_ATTEMPTS, self.limit - LIMIT_DECREASE_PER_SLOW_RESPONSE * min(1.0, self.limit)
            )
        elif is_used_up and latency_ms < FAST_RESPONSE_OBJECTIVE_SHARE * request_class.latency_objective_ms:
            self.limit += LIMIT_INCREASE_PER_FAST_RESPONSE

    def restore(self, limit: float) -> None:
        """Continue from the limit of the previous process."""
        self.limit = max(MIN_LIMIT_ATTEMPTS, limit)
