"""The adaptive concurrency limit: docs/decisions/concurrency.md."""

from math import inf

from quota_gateway.model.settings import RequestClass
from quota_gateway.policy.latency import FAST_RESPONSE_OBJECTIVE_SHARE

INITIAL_CONCURRENCY_PER_SERVER = 6.0  # attempts in flight over all gateways, before any response is seen
LIMIT_INCREASE_PER_FAST_RESPONSE = 0.035  # attempts, while the limit is used up
LIMIT_DECREASE_PER_SLOW_RESPONSE = 0.3  # attempts, and this share of a limit below one
MIN_LIMIT_ATTEMPTS = 0.3  # below one a share of requests is admitted: responses must be seen to recover
SLOW_RESPONSE_OBJECTIVE_SHARE = 0.5  # slower responses decrease the limit; slower attempts are suspect
LIMIT_USED_UP_MARGIN_ATTEMPTS = 2  # the attempt that has just ended, and one more that would not fit


class ConcurrencyLimit:
    """How many attempts that are not yet slow may be in flight from here, moved by every answer."""

    def __init__(self) -> None:
        self.limit = inf  # until the first endpoint update
        self.in_flight: set[tuple[str, int]] = set()

    def set_initial(self, endpoint_count: int, gateways: int) -> None:
        """Start from this gateway's even share of what all endpoints are taken to stand."""
        self.limit = INITIAL_CONCURRENCY_PER_SERVER * endpoint_count / gateways

    def has_room(self, draw: float = 0.0) -> bool:
        """Whether one more fits; a fraction of the limit admits the requests with a draw below it."""
        return len(self.in_flight) < self.limit - draw

    def on_start(self, request_id: str, attempt: int) -> None:
        """Count an attempt."""
        self.in_flight.add((request_id, attempt))

    def on_end(self, request_id: str, attempt: int) -> None:
        """Count an attempt no more: it has ended or has become slow."""
        self.in_flight.discard((request_id, attempt))

    def on_response(self, request_class: RequestClass, latency_ms: float) -> None:
        """Move the limit by a good answer's latency, less what the size of its request adds."""
        is_used_up = len(self.in_flight) + LIMIT_USED_UP_MARGIN_ATTEMPTS >= self.limit
        if latency_ms > SLOW_RESPONSE_OBJECTIVE_SHARE * request_class.latency_objective_ms:
            self.limit = max(
                MIN_LIMIT_ATTEMPTS, self.limit - LIMIT_DECREASE_PER_SLOW_RESPONSE * min(1.0, self.limit)
            )
        elif is_used_up and latency_ms < FAST_RESPONSE_OBJECTIVE_SHARE * request_class.latency_objective_ms:
            self.limit += LIMIT_INCREASE_PER_FAST_RESPONSE

    def restore(self, limit: float) -> None:
        """Go on from the limit of the process before."""
        self.limit = max(MIN_LIMIT_ATTEMPTS, limit)
