"""The adaptive concurrency limit: docs/decisions/concurrency.md."""

from math import inf

from quota_gateway.model.settings import RequestClass
from quota_gateway.policy.latency import FAST_RESPONSE_OBJECTIVE_SHARE

INITIAL_CONCURRENCY_PER_SERVER = 6.0  # attempts in flight at one server, summed over all gateways
LIMIT_INCREASE_PER_FAST_RESPONSE = 0.035  # increase of the limit after a fast response, in attempts
# Decrease of the limit after a slow response, in attempts; for a limit below 1, as a share of the limit.
LIMIT_DECREASE_PER_SLOW_RESPONSE = 0.3
MIN_LIMIT_ATTEMPTS = 0.3  # the limit stays above 0, as only responses can raise it again
SLOW_RESPONSE_OBJECTIVE_SHARE = 0.5  # share of the latency objective above which a response lowers the limit
# Attempts counted besides those in flight: the one that has just ended, and one that would start next.
LIMIT_USED_UP_MARGIN_ATTEMPTS = 2


class ConcurrencyLimit:
    """Limits the attempts in flight from this gateway; slow attempts are not counted.

    The limit follows response latency. Unlike AIMD, both its increase and its decrease are additive; the
    decrease is multiplicative only below one attempt.

    Attributes:
        limit: Maximum number of attempts, may be fractional; infinite until the first endpoint update.
        in_flight: Counted attempts, as pairs of request id and attempt number.
    """

    def __init__(self) -> None:
        self.limit = inf
        self.in_flight: set[tuple[str, int]] = set()

    def set_initial(self, endpoint_count: int, gateways: int) -> None:
        """Set the limit to this gateway's even share of the initial concurrency of all endpoints."""
        self.limit = INITIAL_CONCURRENCY_PER_SERVER * endpoint_count / gateways

    def has_capacity(self, draw: float = 0.0) -> bool:
        """Return whether one more attempt fits under the limit.

        Args:
            draw: A random number from 0 to below 1, drawn once for each request. A fractional limit such as
                4.3 is thus 5 for a share of 0.3 of the requests, and 4 for the others.
        """
        return len(self.in_flight) < self.limit - draw

    def on_start(self, request_id: str, attempt: int) -> None:
        """Count a new attempt."""
        self.in_flight.add((request_id, attempt))

    def on_end(self, request_id: str, attempt: int) -> None:
        """Stop counting an attempt that has ended or has become slow."""
        self.in_flight.discard((request_id, attempt))

    def on_response(self, request_class: RequestClass, latency_ms: float) -> None:
        """Lower the limit after a slow successful response; raise it after a fast one if it is used up.

        Args:
            request_class: The class of the request, with its latency objective.
            latency_ms: Latency of the response, minus ``LatencyStatistics.size_extra_ms`` of its request.
        """
        is_used_up = len(self.in_flight) + LIMIT_USED_UP_MARGIN_ATTEMPTS >= self.limit
        if latency_ms > SLOW_RESPONSE_OBJECTIVE_SHARE * request_class.latency_objective_ms:
            self.limit = max(
                MIN_LIMIT_ATTEMPTS, self.limit - LIMIT_DECREASE_PER_SLOW_RESPONSE * min(1.0, self.limit)
            )
        elif is_used_up and latency_ms < FAST_RESPONSE_OBJECTIVE_SHARE * request_class.latency_objective_ms:
            self.limit += LIMIT_INCREASE_PER_FAST_RESPONSE

    def restore(self, limit: float) -> None:
        """Restore the limit of the previous process."""
        self.limit = max(MIN_LIMIT_ATTEMPTS, limit)
