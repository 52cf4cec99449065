"""The queue of requests that wait for a limit or an endpoint: docs/decisions/concurrency.md."""

from quota_gateway.model.pending_request import PendingRequest
from quota_gateway.policy.latency import LatencyStatistics


class PendingQueue:
    """Requests that wait to be scheduled, ranked by value per expected work; the lowest is shed first."""

    def __init__(self, latencies: LatencyStatistics) -> None:
        self._latencies = latencies
        self.requests: dict[str, PendingRequest] = {}

    def add(self, pending: PendingRequest) -> bool:
        """Queue a request; return whether it was not queued before."""
        is_new = pending.request.request_id not in self.requests
        self.requests[pending.request.request_id] = pending
        return is_new

    def discard(self, request_id: str) -> None:
        """Remove a request, if it is queued."""
        self.requests.pop(request_id, None)

    def to_shed(self, limit: float) -> PendingRequest | None:
        """Return the least valuable request if more requests are queued than ``max(1, limit)``, else None."""
        is_over_limit = len(self.requests) > max(1.0, limit)
        return min(self.requests.values(), key=self._value) if is_over_limit else None

    def by_value(self) -> list[PendingRequest]:
        """Return the queued requests, the most valuable first."""
        return sorted(self.requests.values(), key=self._value, reverse=True)

    def _value(self, pending: PendingRequest) -> float:
        """Return the value per expected work: weighted units per millisecond of mean latency."""
        weight = pending.request_class.priority_weight * pending.plan.weight
        return weight * pending.request.units / self._latencies.mean_ms(pending)
