"""Latency statistics: docs/decisions/load_balancing.md."""

from collections.abc import Sequence

from quota_gateway.model.endpoint_state import EndpointState
from quota_gateway.model.pending_request import PendingRequest
from quota_gateway.model.settings import RequestClass
from quota_gateway.policy.clock import DecayClock

INITIAL_LATENCY_OBJECTIVE_SHARE = 0.2  # of the objective, until responses have been seen
MIN_LATENCY_SAMPLE_WEIGHT = 0.03  # of one response in a mean latency, once 1 / weight responses are in it
RELATIVE_LATENCY_SAMPLE_WEIGHT = 0.15  # of one response in an endpoint's relative latency
ATTEMPT_LOST_AFTER_MEAN_LATENCIES = 8.0
FAST_RESPONSE_OBJECTIVE_SHARE = 0.3  # faster responses raise the concurrency limit


class LatencyStatistics:
    """Mean latencies by class and size, and what they say of an attempt."""

    def __init__(self, classes: Sequence[RequestClass], clock: DecayClock) -> None:
        self._clock = clock
        self.means: dict[str, dict[int, tuple[float, int]]] = {item.name: {} for item in classes}

    def mean_ms(self, pending: PendingRequest) -> float:
        """The mean latency of requests of this class and size, or what is taken for it at first."""
        seen = self.means[pending.request_class.name].get(pending.size)
        return (
            seen[0] if seen else INITIAL_LATENCY_OBJECTIVE_SHARE * pending.request_class.latency_objective_ms
        )

    def size_extra_ms(self, pending: PendingRequest) -> float:
        """How much longer a request of this size takes than the smallest of its class, by its work."""
        means = self.means[pending.request_class.name]
        return max(0.0, means[pending.size][0] - means[min(means)][0]) if pending.size in means else 0.0

    def latest_start_ms(self, pending: PendingRequest) -> float:
        """When an attempt has to start for an answer within the objective."""
        return pending.arrived_ms + pending.request_class.latency_objective_ms - self.mean_ms(pending)

    def is_presumed_lost(self, pending: PendingRequest, started_ms: float) -> bool:
        """Whether an attempt has been in flight for so long that its answer will hardly come any more."""
        return self._clock.now_ms - started_ms >= ATTEMPT_LOST_AFTER_MEAN_LATENCIES * self.mean_ms(pending)

    def record(self, pending: PendingRequest, endpoint: EndpointState, latency_ms: float) -> None:
        """Move the mean of the class and size, and the endpoint's relative latency, by a good answer."""
        mean_ms = self.mean_ms(pending)
        means = self.means[pending.request_class.name]
        seen = means.get(pending.size, (mean_ms, 0))[1] + 1
        mean_ms += max(MIN_LATENCY_SAMPLE_WEIGHT, 1.0 / (seen + 1)) * (latency_ms - mean_ms)
        means[pending.size] = mean_ms, seen
        remaining = self._clock.remaining(endpoint.relative_latency_at)
        decayed = 1.0 + (endpoint.relative_latency - 1.0) * remaining
        endpoint.relative_latency = decayed + RELATIVE_LATENCY_SAMPLE_WEIGHT * (
            latency_ms / mean_ms - decayed
        )
        endpoint.relative_latency_at = self._clock.moment()
