"""The adaptive concurrency limit, and the queue of requests beyond it: docs/decisions/concurrency.md."""

from math import inf

from quota_gateway.model.settings import RequestClass
from quota_gateway.model.state import PendingRequest
from quota_gateway.policy.load_balancing import QUICK_SHARE, LatencyStatistics

FIRST_LIMIT = 6.0  # attempts in flight at an endpoint, over all gateways, before anything is known of it
LIMIT_GROWTH = 0.035  # by which a quick answer lifts a limit that is used up: thirty lift it by one
LIMIT_CUT = 0.3  # attempts that a slow answer takes off: one slow answer in ten holds the limit level
LEAST_LIMIT = 0.3  # a share of requests where below one: answers must be seen to recover
SLOW_SHARE = 0.5  # of the objective: slower answers cut the limit, attempts in flight so long are suspect
USED_UP_MARGIN = 2  # the attempt that has ended and one more would not have fitted


class ConcurrencyLimit:
    """How many attempts that are not yet slow may be in flight from here, moved by every answer."""

    def __init__(self) -> None:
        self.limit = inf  # until the first endpoint update
        self.in_flight: set[tuple[str, int]] = set()

    def set_initial(self, endpoint_count: int, gateways: int) -> None:
        """Start from this gateway's even share of what all endpoints are taken to stand."""
        self.limit = FIRST_LIMIT * endpoint_count / gateways

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
        is_used_up = len(self.in_flight) + USED_UP_MARGIN >= self.limit
        if latency_ms > SLOW_SHARE * request_class.latency_objective_ms:
            self.limit = max(LEAST_LIMIT, self.limit - LIMIT_CUT * min(1.0, self.limit))
        elif is_used_up and latency_ms < QUICK_SHARE * request_class.latency_objective_ms:
            self.limit += LIMIT_GROWTH

    def restore(self, limit: float) -> None:
        """Go on from the limit of the process before."""
        self.limit = max(LEAST_LIMIT, limit)


class PendingQueue:
    """Requests that can't go now. What has the least value for its work is shed first, released last."""

    def __init__(self, latencies: LatencyStatistics) -> None:
        self._latencies = latencies
        self.requests: dict[str, PendingRequest] = {}

    def add(self, pending: PendingRequest) -> bool:
        """Queue a request; whether it was not queued before."""
        is_new = pending.request.request_id not in self.requests
        self.requests[pending.request.request_id] = pending
        return is_new

    def discard(self, request_id: str) -> None:
        """Take a request out of the queue, if it is there."""
        self.requests.pop(request_id, None)

    def to_shed(self, limit: float) -> PendingRequest | None:
        """The request to reject where more are queued than may be in flight at once."""
        is_over_limit = len(self.requests) > max(1.0, limit)
        return min(self.requests.values(), key=self._value) if is_over_limit else None

    def by_value(self) -> list[PendingRequest]:
        """All that are queued, in the order in which they are released."""
        return sorted(self.requests.values(), key=self._value, reverse=True)

    def _value(self, pending: PendingRequest) -> float:
        weight = pending.request_class.priority_weight * pending.plan.weight
        return weight * pending.request.units / self._latencies.mean_ms(pending)
