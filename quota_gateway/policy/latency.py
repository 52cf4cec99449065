"""Latency statistics, as exponentially weighted moving averages: docs/decisions/load_balancing.md."""

from collections.abc import Sequence

from quota_gateway.model.endpoint_state import EndpointState, LatencyMean
from quota_gateway.model.pending_request import PendingRequest
from quota_gateway.model.settings import RequestClass
from quota_gateway.policy.clock import DecayClock

INITIAL_LATENCY_OBJECTIVE_SHARE = 0.2  # mean latency before any response, as a share of the objective
MIN_LATENCY_SAMPLE_WEIGHT = 0.03  # lowest weight of one response in a mean latency; the first ones weigh more
RELATIVE_LATENCY_SAMPLE_WEIGHT = 0.15  # weight of one response in an endpoint's relative latency
# Time in flight after which an attempt is presumed lost, in mean latencies of its request's class and size.
ATTEMPT_LOST_AFTER_MEAN_LATENCIES = 8.0
# Share of the latency objective below which a response is fast, and may raise the concurrency limit.
FAST_RESPONSE_OBJECTIVE_SHARE = 0.3
AVERAGE_RELATIVE_LATENCY = 1.0  # relative latency of an endpoint that is as fast as the mean


class LatencyStatistics:
    """Mean latencies in milliseconds by request class and size, and the time limits derived from them."""

    def __init__(self, classes: Sequence[RequestClass], clock: DecayClock) -> None:
        self._clock = clock
        self.means: dict[str, dict[int, LatencyMean]] = {item.name: {} for item in classes}

    def mean_ms(self, pending: PendingRequest) -> float:
        """Return the mean latency in milliseconds for the request's class and size, or its initial value."""
        mean = self.means[pending.request_class.name].get(pending.size)
        if mean:
            return mean.mean_ms
        return INITIAL_LATENCY_OBJECTIVE_SHARE * pending.request_class.latency_objective_ms

    def size_extra_ms(self, pending: PendingRequest) -> float:
        """Return by how many milliseconds a request of this size is slower than the smallest of its class."""
        means = self.means[pending.request_class.name]
        if pending.size not in means:
            return 0.0
        return max(0.0, means[pending.size].mean_ms - means[min(means)].mean_ms)

    def latest_start_ms(self, pending: PendingRequest) -> float:
        """Return the clock time until which an attempt can start and still meet the latency objective."""
        return pending.arrived_ms + pending.request_class.latency_objective_ms - self.mean_ms(pending)

    def is_presumed_lost(self, pending: PendingRequest, started_ms: float) -> bool:
        """Return whether an attempt has been in flight for so long that no response is expected any more."""
        return self._clock.now_ms - started_ms >= ATTEMPT_LOST_AFTER_MEAN_LATENCIES * self.mean_ms(pending)

    def record(self, pending: PendingRequest, endpoint: EndpointState, latency_ms: float) -> None:
        """Update the mean latency and the endpoint's relative latency with a successful response."""
        mean_ms = self._update_mean(pending, latency_ms)
        relative_latency = current_relative_latency(endpoint, self._clock)
        deviation = latency_ms / mean_ms - relative_latency
        endpoint.relative_latency = relative_latency + RELATIVE_LATENCY_SAMPLE_WEIGHT * deviation
        endpoint.relative_latency_at = self._clock.moment()

    def _update_mean(self, pending: PendingRequest, latency_ms: float) -> float:
        """Update the mean with a response and return it; the initial value weighs as much as one response."""
        mean_ms = self.mean_ms(pending)
        means = self.means[pending.request_class.name]
        responses = (means[pending.size].responses if pending.size in means else 0) + 1
        sample_weight = max(MIN_LATENCY_SAMPLE_WEIGHT, 1.0 / (responses + 1))
        mean_ms += sample_weight * (latency_ms - mean_ms)
        means[pending.size] = LatencyMean(mean_ms, responses)
        return mean_ms


def current_relative_latency(endpoint: EndpointState, clock: DecayClock) -> float:
    """Return an endpoint's latency relative to the mean, decayed towards the average until now."""
    deviation = endpoint.relative_latency - AVERAGE_RELATIVE_LATENCY
    return AVERAGE_RELATIVE_LATENCY + deviation * clock.remaining(endpoint.relative_latency_at)
