"""The choice of an endpoint: docs/decisions/load_balancing.md."""

from math import ceil
from random import Random

from quota_gateway.model.endpoint_state import Endpoints, EndpointState
from quota_gateway.model.pending_request import PendingRequest
from quota_gateway.model.settings import Idempotency, IdempotencyScope, RequestClass, Settings
from quota_gateway.policy.clock import DecayClock
from quota_gateway.policy.latency import FAST_RESPONSE_OBJECTIVE_SHARE
from quota_gateway.policy.outliers import OUTLIER_FAILURE_RATE, OutlierDetector
from quota_gateway.policy.slow_start import SlowStart

QUEUE_WEIGHT = 1.0  # requests in flight that one reported as waiting stands for
CROSS_ZONE_WEIGHT = 10.0  # how many times its price a zone crossing weighs against a mean latency
FAILURE_COST = 6.0  # mean latencies that a failure costs beside a wait: most of a request's value is lost
SPREAD = 0.1  # share of a cost drawn at random, so that gateways with the same reports do not choose alike
SAMPLE = 10  # endpoints compared for a request, drawn at random, beside as many that were quick last
SLOW_START_RANK = 0.75  # of those compared: a warming one is taken unless so many look better


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
        if share < 1.0 and failure < OUTLIER_FAILURE_RATE:
            failure = 0.0  # it is slow as a warming one has to be: its requests are few for that
        cost = latency * (share * (share + waiting) + (1.0 + waiting) * FAILURE_COST * failure)
        if endpoint.zone != self._zone:
            cost *= self._cross_zone_factor
        return cost * (1.0 + SPREAD * self._random.random())

    def choose(
        self, pending: PendingRequest, ready: Endpoints, warming: Endpoints, subset_radius: float
    ) -> EndpointState | None:
        """The best of a few ready endpoints; a warming one is taken for its own requests alone."""
        candidates = self._permitted(pending, ready) if pending.attempts else ready
        if len(candidates) > 2 * SAMPLE:
            quick = [
                e for e in self._quick[pending.request_class.name].values() if e.distance <= subset_radius
            ]
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
        if latency_ms < FAST_RESPONSE_OBJECTIVE_SHARE * request_class.latency_objective_ms:
            quick[endpoint.id] = endpoint
            if len(quick) > SAMPLE:
                del quick[next(iter(quick))]

    def on_load_report(self, endpoint: EndpointState, load: tuple[float, ...] | None) -> None:
        """Take note of the queue that an endpoint reports."""
        if load:
            endpoint.queue_length = dict(zip(self._report_fields, load, strict=False)).get("queue") or 0.0
            endpoint.queue_length_at = self._clock.moment()
