"""The choice of an endpoint, and latency statistics: docs/decisions/load_balancing.md."""

from collections.abc import Sequence
from math import ceil
from random import Random

from quota_gateway.model.settings import Idempotency, IdempotencyScope, RequestClass, Settings
from quota_gateway.model.state import Endpoints, EndpointState, PendingRequest
from quota_gateway.policy.clock import DecayClock
from quota_gateway.policy.outliers import OUTLIER_RATE, OutlierDetector
from quota_gateway.policy.slow_start import SlowStart

FIRST_LATENCY = 0.2  # of a class's objective: its latency until answers have been seen
LATENCY_STEP = 0.03  # weight of one answer in a mean latency, once there are as many: thirty of memory
RELATIVE_LATENCY_STEP = 0.15  # weight of one answer in an endpoint's relative latency: some seven of memory
QUICK_SHARE = 0.3  # of the objective: endpoints that answer faster are remembered, and lift the limit
LOST_LATENCIES = 8.0  # mean latencies after which an answer hardly comes: 3 in 10,000, if exponential
QUEUE_WEIGHT = 1.0  # requests in flight that one reported as waiting stands for
CROSS_ZONE_WEIGHT = 10.0  # how many times its price a zone crossing weighs against a mean latency
FAILURE_COST = 6.0  # mean latencies that a failure costs beside a wait: most of a request's value is lost
SPREAD = 0.1  # share of a cost drawn at random, so that gateways with the same reports do not choose alike
SAMPLE = 10  # endpoints compared for a request, drawn at random, beside as many that were quick last
SLOW_START_RANK = 0.75  # of those compared: a warming one is taken unless so many look better


class LatencyStatistics:
    """Mean latencies by class and size, and what they say of an attempt."""

    def __init__(self, classes: Sequence[RequestClass], clock: DecayClock) -> None:
        self._clock = clock
        self.means: dict[str, dict[int, tuple[float, int]]] = {item.name: {} for item in classes}

    def mean_ms(self, pending: PendingRequest) -> float:
        """The mean latency of requests of this class and size, or what is taken for it at first."""
        seen = self.means[pending.request_class.name].get(pending.size)
        return seen[0] if seen else FIRST_LATENCY * pending.request_class.latency_objective_ms

    def extra_ms(self, pending: PendingRequest) -> float:
        """How much longer a request of this size takes than the smallest of its class, by its work."""
        means = self.means[pending.request_class.name]
        return max(0.0, means[pending.size][0] - means[min(means)][0]) if pending.size in means else 0.0

    def last_start_ms(self, pending: PendingRequest) -> float:
        """When an attempt has to start for an answer within the objective."""
        return pending.arrived_ms + pending.request_class.latency_objective_ms - self.mean_ms(pending)

    def is_lost(self, pending: PendingRequest, started_ms: float) -> bool:
        """Whether an attempt has been in flight for so long that its answer will hardly come any more."""
        return self._clock.now_ms - started_ms >= LOST_LATENCIES * self.mean_ms(pending)

    def record(self, pending: PendingRequest, endpoint: EndpointState, latency_ms: float) -> None:
        """Move the mean of the class and size, and the endpoint's relative latency, by a good answer."""
        mean_ms = self.mean_ms(pending)
        means = self.means[pending.request_class.name]
        seen = means.get(pending.size, (mean_ms, 0))[1] + 1
        mean_ms += max(LATENCY_STEP, 1.0 / (seen + 1)) * (latency_ms - mean_ms)
        means[pending.size] = mean_ms, seen
        remaining = self._clock.remaining(endpoint.relative_latency_at)
        decayed = 1.0 + (endpoint.relative_latency - 1.0) * remaining
        endpoint.relative_latency = decayed + RELATIVE_LATENCY_STEP * (latency_ms / mean_ms - decayed)
        endpoint.relative_latency_at = self._clock.moment()


class LoadBalancer:
    """Chooses the endpoint with the least expected cost among a few."""

    def __init__(
        self,
        settings: Settings,
        clock: DecayClock,
        random: Random,
        slow_start: SlowStart,
        outliers: OutlierDetector,
    ) -> None:
        self._zone = settings.zone
        self._cross_zone_factor = 1.0 + CROSS_ZONE_WEIGHT * settings.cross_zone_cost
        self._report_fields = settings.load_report_fields
        self._clock = clock
        self._random = random
        self._slow_start = slow_start
        self._outliers = outliers
        self._quick: dict[str, dict[int, EndpointState]] = {item.name: {} for item in settings.classes}

    def cost(self, pending: PendingRequest, endpoint: EndpointState) -> float:
        """The wait expected at an endpoint, in mean latencies, and what a failure there would cost."""
        remaining = self._clock.remaining
        queue_length = endpoint.queue_length * remaining(endpoint.queue_length_at)
        waiting = len(endpoint.in_flight) + QUEUE_WEIGHT * queue_length
        latency = 1.0 + (endpoint.relative_latency - 1.0) * remaining(endpoint.relative_latency_at)
        share = self._slow_start.capacity_share(endpoint)
        failure = self._outliers.failure_probability(pending, endpoint)
        if share < 1.0 and failure < OUTLIER_RATE:
            failure = 0.0  # it is slow as a warming one has to be: its requests are few for that
        cost = latency * (share * (share + waiting) + (1.0 + waiting) * FAILURE_COST * failure)
        if endpoint.zone != self._zone:
            cost *= self._cross_zone_factor
        return cost * (1.0 + SPREAD * self._random.random())

    def choose(
        self, pending: PendingRequest, ready: Endpoints, warming: Endpoints, reach: float
    ) -> EndpointState | None:
        """The best of some ready endpoints within reach; a warming one is taken for its requests alone."""
        candidates = self._permitted(pending, ready) if pending.attempts else ready
        if len(candidates) > 2 * SAMPLE:
            quick = [e for e in self._quick[pending.request_class.name].values() if e.distance <= reach]
            extra = [e for e in quick if e in candidates] if pending.attempts else quick + warming
            candidates = self._random.sample(candidates, SAMPLE) + extra
        picked = self._slow_start.pick(pending.slow_start_draw, ready, warming) if warming else None
        share = self._slow_start.capacity_share
        candidates = [e for e in candidates if e.is_ready and (e is picked or share(e) >= 1.0)]
        ranked = sorted(candidates, key=lambda endpoint: self.cost(pending, endpoint))
        if picked in ranked[: ceil(SLOW_START_RANK * len(ranked))]:
            return picked
        return ranked[0] if ranked else None

    def _permitted(self, pending: PendingRequest, ready: Endpoints) -> Endpoints:
        """Endpoints for a retry: not tried yet, or, for a keyed request without such, any of its group."""
        group = [endpoint for endpoint in ready if self._is_in_group(pending, endpoint)]
        untried = [endpoint for endpoint in group if endpoint.id not in pending.tried_endpoints]
        is_keyed = pending.request_class.idempotency is Idempotency.KEYED
        return group if is_keyed and not untried else untried

    def _is_in_group(self, pending: PendingRequest, endpoint: EndpointState) -> bool:
        request_class, scope = pending.request_class, pending.request_class.idempotency_scope
        if pending.first_executed is None or request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        first, started_ms = pending.first_executed
        is_forgotten = self._clock.now_ms - started_ms >= request_class.idempotency_window_ms
        if request_class.idempotency is Idempotency.NON_IDEMPOTENT or is_forgotten:
            return False
        is_in_cell = scope is not IdempotencyScope.CELL or endpoint.cell == first.cell
        return scope is IdempotencyScope.ALL or (endpoint.zone == first.zone and is_in_cell)

    def on_response(self, request_class: RequestClass, endpoint: EndpointState, latency_ms: float) -> None:
        """Remember the endpoints that answered a class quickly last."""
        quick = self._quick[request_class.name]
        quick.pop(endpoint.id, None)
        if latency_ms < QUICK_SHARE * request_class.latency_objective_ms:
            quick[endpoint.id] = endpoint
            if len(quick) > SAMPLE:
                del quick[next(iter(quick))]

    def on_load_report(self, endpoint: EndpointState, load: tuple[float, ...] | None) -> None:
        """Take note of the queue that an endpoint reports."""
        if load:
            endpoint.queue_length = dict(zip(self._report_fields, load, strict=False)).get("queue") or 0.0
            endpoint.queue_length_at = self._clock.moment()
