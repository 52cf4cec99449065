"""Load balancing by the least cost among a random sample of endpoints: docs/decisions/load_balancing.md."""

from collections.abc import Callable
from math import ceil
from random import Random

from quota_gateway.model.endpoint_state import Endpoints, EndpointState
from quota_gateway.model.pending_request import PendingRequest
from quota_gateway.model.settings import Idempotency, IdempotencyScope, RequestClass, Settings
from quota_gateway.policy.clock import DecayClock
from quota_gateway.policy.latency import FAST_RESPONSE_OBJECTIVE_SHARE, current_relative_latency
from quota_gateway.policy.outliers import OUTLIER_FAILURE_RATE, OutlierDetector
from quota_gateway.policy.slow_start import SlowStart

IN_FLIGHT_PER_QUEUED_REQUEST = 1.0  # weight of a queued request in a load report, in attempts in flight
CROSS_ZONE_FACTOR_PER_COST_SHARE = 10.0  # cost factor increase per unit of Settings.cross_zone_cost
FAILURE_COST_MEAN_LATENCIES = 6.0  # cost of an attempt that fails, in mean latencies of the request
# Jitter keeps gateways with the same load reports from all choosing the same endpoint.
COST_JITTER_SHARE = 0.1
SAMPLED_ENDPOINTS = 10  # endpoints compared for each attempt; the power of two choices compares two
MAX_FAST_ENDPOINTS_PER_CLASS = 10
MAX_ENDPOINTS_WITHOUT_SAMPLING = SAMPLED_ENDPOINTS + MAX_FAST_ENDPOINTS_PER_CLASS
# Cheapest share of the candidates; the warming endpoint that slow start picks is chosen if it is among them.
SLOW_START_MAX_RANK_SHARE = 0.75
QUEUE_LENGTH_FIELD = "queue"  # queue length in a load report, see Settings.load_report_fields

#: For each scope, whether the second endpoint recognizes an idempotency key first used at the first one.
IS_KEY_RECOGNIZED_BY_SCOPE: dict[IdempotencyScope, Callable[[EndpointState, EndpointState], bool]] = {
    IdempotencyScope.ALL: lambda _first, _other: True,
    IdempotencyScope.ZONE: lambda first, other: other.zone == first.zone,
    IdempotencyScope.CELL: lambda first, other: other.zone == first.zone and other.cell == first.cell,
}


class IdempotencyGroup:
    """The endpoints at which a request may be repeated without a second execution."""

    def __init__(self, clock: DecayClock) -> None:
        self._clock = clock

    def contains(self, pending: PendingRequest, endpoint: EndpointState) -> bool:
        """Return whether the request may be sent to this endpoint, given the attempts made so far."""
        request_class = pending.request_class
        if pending.first_executed is None or request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        first_endpoint, started_ms = pending.first_executed
        is_key_expired = self._clock.now_ms - started_ms >= request_class.idempotency_window_ms
        if request_class.idempotency is Idempotency.NON_IDEMPOTENT or is_key_expired:
            return False
        return IS_KEY_RECOGNIZED_BY_SCOPE[request_class.idempotency_scope](first_endpoint, endpoint)

    def endpoints_for_retry(self, pending: PendingRequest, ready: Endpoints) -> Endpoints:
        """Return the ready endpoints of the group that the request has not tried.

        If all have been tried, return the whole group for a keyed request, else none.
        """
        group = [endpoint for endpoint in ready if self.contains(pending, endpoint)]
        untried = [endpoint for endpoint in group if endpoint.id not in pending.tried_endpoints]
        is_keyed = pending.request_class.idempotency is Idempotency.KEYED
        return group if is_keyed and not untried else untried


class LoadBalancer:
    """Chooses the endpoint with the least expected cost among a random sample."""

    def __init__(
        self,
        settings: Settings,
        clock: DecayClock,
        random: Random,
        slow_start: SlowStart,
        outliers: OutlierDetector,
    ) -> None:
        self._zone = settings.zone
        self._cross_zone_factor = 1.0 + CROSS_ZONE_FACTOR_PER_COST_SHARE * settings.cross_zone_cost
        self._report_fields = settings.load_report_fields
        self._clock = clock
        self._random = random
        self._slow_start = slow_start
        self._outliers = outliers
        self._idempotency_group = IdempotencyGroup(clock)
        self._fast_endpoints: dict[str, dict[int, EndpointState]] = {
            item.name: {} for item in settings.classes
        }

    def choose(
        self, pending: PendingRequest, ready: Endpoints, warming: Endpoints, subset_radius: float
    ) -> EndpointState | None:
        """Choose an endpoint for the next attempt: find candidates, filter them, rank them.

        Args:
            pending: The request.
            ready: The endpoints in use.
            warming: The warming endpoints among ``ready``.
            subset_radius: The largest ``EndpointState.distance`` of an endpoint in use.

        Returns:
            The endpoint, or None if there is none that the request may be sent to.
        """
        candidates = self._find_candidates(pending, ready, warming, subset_radius)
        slow_start_pick = self._slow_start.pick(pending.random_draw, ready, warming) if warming else None
        eligible = self._filter_eligible(candidates, slow_start_pick)
        ranked = sorted(eligible, key=lambda endpoint: self.cost(pending, endpoint))
        if slow_start_pick in ranked[: ceil(SLOW_START_MAX_RANK_SHARE * len(ranked))]:
            return slow_start_pick
        return ranked[0] if ranked else None

    def _find_candidates(
        self, pending: PendingRequest, ready: Endpoints, warming: Endpoints, subset_radius: float
    ) -> Endpoints:
        """Return the candidates for an attempt.

        These are all permitted endpoints or, if there are many, a random sample plus the fast endpoints and,
        for a first attempt, the warming ones.
        """
        is_retry = pending.attempts > 0
        permitted = self._idempotency_group.endpoints_for_retry(pending, ready) if is_retry else ready
        if len(permitted) <= MAX_ENDPOINTS_WITHOUT_SAMPLING:
            return permitted
        fast_endpoints = self._fast_endpoints[pending.request_class.name].values()
        fast = [endpoint for endpoint in fast_endpoints if endpoint.distance <= subset_radius]
        extra = [endpoint for endpoint in fast if endpoint in permitted] if is_retry else fast + warming
        return self._random.sample(permitted, SAMPLED_ENDPOINTS) + extra

    def _filter_eligible(self, candidates: Endpoints, slow_start_pick: EndpointState | None) -> Endpoints:
        """Return the ready candidates; of the warming ones, only the one that slow start has picked."""
        capacity_share = self._slow_start.capacity_share
        return [
            endpoint
            for endpoint in candidates
            if endpoint.is_ready and (endpoint is slow_start_pick or capacity_share(endpoint) >= 1.0)
        ]

    def cost(self, pending: PendingRequest, endpoint: EndpointState) -> float:
        """Return the expected cost of an attempt at an endpoint, in mean latencies of the request."""
        queue_length = endpoint.queue_length * self._clock.remaining(endpoint.queue_length_at)
        waiting = len(endpoint.in_flight) + IN_FLIGHT_PER_QUEUED_REQUEST * queue_length
        latency = current_relative_latency(endpoint, self._clock)
        capacity_share = self._slow_start.capacity_share(endpoint)
        failure_probability = self._outliers.failure_probability(pending, endpoint)
        if capacity_share < 1.0 and failure_probability < OUTLIER_FAILURE_RATE:
            failure_probability = 0.0  # slow start already limits the requests to a warming endpoint
        # The relative latency of a warming endpoint already reflects its reduced capacity: reduce the wait.
        wait_cost = capacity_share * (capacity_share + waiting)
        failure_cost = (1.0 + waiting) * FAILURE_COST_MEAN_LATENCIES * failure_probability
        cost = latency * (wait_cost + failure_cost)
        if endpoint.zone != self._zone:
            cost *= self._cross_zone_factor
        jitter = 1.0 + COST_JITTER_SHARE * self._random.random()
        return cost * jitter

    def on_response(self, request_class: RequestClass, endpoint: EndpointState, latency_ms: float) -> None:
        """Keep track of the endpoints with the most recent fast responses to requests of a class."""
        fast_endpoints = self._fast_endpoints[request_class.name]
        fast_endpoints.pop(endpoint.id, None)
        if latency_ms < FAST_RESPONSE_OBJECTIVE_SHARE * request_class.latency_objective_ms:
            fast_endpoints[endpoint.id] = endpoint
            if len(fast_endpoints) > MAX_FAST_ENDPOINTS_PER_CLASS:
                del fast_endpoints[next(iter(fast_endpoints))]

    def on_load_report(self, endpoint: EndpointState, load: tuple[float, ...] | None) -> None:
        """Store the queue length that an endpoint reports, 0 if the report has none."""
        if load:
            report = dict(zip(self._report_fields, load, strict=False))
            endpoint.queue_length = report.get(QUEUE_LENGTH_FIELD) or 0.0
            endpoint.queue_length_at = self._clock.moment()
