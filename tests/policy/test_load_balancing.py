"""Load balancing: candidates, filtering and ranking; the idempotency group of a retry."""

from random import Random

import pytest

from quota_gateway import Endpoint, Idempotency, IdempotencyScope, Request, RequestClass
from quota_gateway.model.customer_state import CustomerState
from quota_gateway.model.endpoint_state import EndpointState
from quota_gateway.model.pending_request import PendingRequest, RunningAttempt
from quota_gateway.policy.clock import DecayClock
from quota_gateway.policy.load_balancing import (
    COST_JITTER_SHARE,
    FAILURE_COST_MEAN_LATENCIES,
    MAX_ENDPOINTS_WITHOUT_SAMPLING,
    SAMPLED_ENDPOINTS,
    IdempotencyGroup,
    LoadBalancer,
)
from quota_gateway.policy.outliers import FailureTracker, OutlierDetector
from quota_gateway.policy.slow_start import SlowStart
from tests.support.engine_harness import CLASSES, PLANS, SETTINGS

NOW_MS = 20_000.0
WINDOW_MS = 3000.0
SAFE = CLASSES[0]


class NoJitter(Random):
    """A random generator that always returns 0, so that costs have no jitter."""

    def random(self) -> float:
        """Return 0."""
        return 0.0


@pytest.fixture
def clock() -> DecayClock:
    clock = DecayClock()
    clock.advance(NOW_MS)
    return clock


@pytest.fixture
def failures(clock) -> FailureTracker:
    return FailureTracker(clock)


@pytest.fixture
def balancer(clock, failures) -> LoadBalancer:
    slow_start = SlowStart(SETTINGS.service_rules, clock)
    return LoadBalancer(SETTINGS, clock, NoJitter(1), slow_start, OutlierDetector(failures))


def make_endpoints(count: int) -> list[EndpointState]:
    return [EndpointState(Endpoint(number, "a"), number / 1000.0) for number in range(1, count + 1)]


def pending_request(request_class: RequestClass = SAFE) -> PendingRequest:
    request = Request("r", request_class.name, "free", "c", 4000.0)
    return PendingRequest(request, request_class, PLANS[3], CustomerState(NOW_MS, 0.0), NOW_MS, 0.0)


def executed_request(idempotency: Idempotency, scope: IdempotencyScope, started_ms: float) -> PendingRequest:
    """A request that endpoint 1 in zone a, cell 1 may have executed."""
    request_class = RequestClass(
        "c", 2000.0, 4000.0, idempotency, idempotency_scope=scope, idempotency_window_ms=WINDOW_MS
    )
    pending = pending_request(request_class)
    first = EndpointState(Endpoint(1, "a", cell=1), 0.0)
    pending.first_executed = RunningAttempt(first, started_ms)
    pending.attempts = 1
    pending.tried_endpoints.add(1)
    return pending


GROUP_CANDIDATES = [
    EndpointState(Endpoint(1, "a", cell=1), 0.0),
    EndpointState(Endpoint(2, "a", cell=1), 0.0),
    EndpointState(Endpoint(3, "a", cell=2), 0.0),
    EndpointState(Endpoint(4, "b", cell=1), 0.0),
]


@pytest.mark.parametrize(
    ("idempotency", "scope", "group"),
    [
        (Idempotency.IDEMPOTENT, IdempotencyScope.CELL, [1, 2, 3, 4]),
        (Idempotency.KEYED, IdempotencyScope.ALL, [1, 2, 3, 4]),
        (Idempotency.KEYED, IdempotencyScope.ZONE, [1, 2, 3]),
        (Idempotency.KEYED, IdempotencyScope.CELL, [1, 2]),
        (Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL, []),
    ],
)
def test_group_of_an_executed_request_follows_its_idempotency_and_scope(idempotency, scope, group, clock):
    pending = executed_request(idempotency, scope, NOW_MS - WINDOW_MS + 1.0)
    idempotency_group = IdempotencyGroup(clock)
    assert [e.id for e in GROUP_CANDIDATES if idempotency_group.contains(pending, e)] == group
    untried = [number for number in group if number != 1]
    assert [e.id for e in idempotency_group.endpoints_for_retry(pending, GROUP_CANDIDATES)] == untried


@pytest.mark.parametrize("scope", list(IdempotencyScope))
def test_group_of_a_keyed_request_is_empty_after_the_idempotency_window(scope, clock):
    pending = executed_request(Idempotency.KEYED, scope, NOW_MS - WINDOW_MS)
    assert not IdempotencyGroup(clock).endpoints_for_retry(pending, GROUP_CANDIDATES)


def test_keyed_request_that_has_tried_its_whole_group_may_repeat_there_and_an_idempotent_one_may_not(clock):
    for idempotency, expected_ids in ((Idempotency.KEYED, [1, 2]), (Idempotency.IDEMPOTENT, [])):
        pending = executed_request(idempotency, IdempotencyScope.CELL, NOW_MS)
        pending.tried_endpoints.update((2, 3, 4))
        permitted = IdempotencyGroup(clock).endpoints_for_retry(pending, GROUP_CANDIDATES)
        assert [endpoint.id for endpoint in permitted] == expected_ids


def test_non_idempotent_request_that_was_not_executed_may_go_to_any_untried_endpoint(clock):
    pending = pending_request(CLASSES[-1])
    pending.tried_endpoints.add(3)
    permitted = IdempotencyGroup(clock).endpoints_for_retry(pending, GROUP_CANDIDATES)
    assert [endpoint.id for endpoint in permitted] == [1, 2, 4]


def test_cost_of_an_idle_endpoint_is_one_mean_latency(balancer):
    assert balancer.cost(pending_request(), make_endpoints(1)[0]) == 1.0


def test_cost_counts_requests_in_flight_and_queued_times_the_relative_latency(balancer, clock):
    (endpoint,) = make_endpoints(1)
    endpoint.in_flight = {("other", 0), ("other", 1)}
    balancer._report_fields = ("utilisation", "queue")
    balancer.on_load_report(endpoint, (0.5, 3.0))
    endpoint.relative_latency, endpoint.relative_latency_at = 2.0, clock.moment()
    assert balancer.cost(pending_request(), endpoint) == 2.0 * (1.0 + 2.0 + 3.0)


def test_cost_adds_the_failure_probability_times_the_cost_of_a_failure(balancer, failures):
    (endpoint,) = make_endpoints(1)
    endpoint.in_flight = {("other", 0)}
    failures.record(endpoint, "", failed=True)
    probability = failures.failure_rate(endpoint, "")
    assert probability == 0.75
    expected = 2.0 + 2.0 * FAILURE_COST_MEAN_LATENCIES * probability
    assert balancer.cost(pending_request(), endpoint) == expected


def test_cost_in_another_zone_is_multiplied_by_the_cross_zone_factor(balancer):
    balancer._cross_zone_factor = 1.5
    endpoint = EndpointState(Endpoint(1, "b"), 0.0)
    assert balancer.cost(pending_request(), endpoint) == 1.5


def test_cost_jitter_stays_within_its_share(clock, failures):
    slow_start = SlowStart(SETTINGS.service_rules, clock)
    balancer = LoadBalancer(SETTINGS, clock, Random(1), slow_start, OutlierDetector(failures))
    costs = [balancer.cost(pending_request(), make_endpoints(1)[0]) for _ in range(200)]
    assert 1.0 <= min(costs) < max(costs) < 1.0 + COST_JITTER_SHARE


def test_choice_is_the_endpoint_with_the_least_cost(balancer):
    endpoints = make_endpoints(4)
    for endpoint in endpoints[:2] + endpoints[3:]:
        endpoint.in_flight = {("other", 0)}
    assert balancer.choose(pending_request(), endpoints, [], 1.0) is endpoints[2]


def test_endpoint_that_is_no_longer_ready_is_not_chosen(balancer):
    endpoints = make_endpoints(2)
    endpoints[0].is_ready = False
    assert balancer.choose(pending_request(), endpoints, [], 1.0) is endpoints[1]
    endpoints[1].is_ready = False
    assert balancer.choose(pending_request(), endpoints, [], 1.0) is None


def compared_endpoints(balancer: LoadBalancer, endpoints: list[EndpointState]) -> list[EndpointState]:
    """The endpoints whose cost is calculated for one request, in the order of calculation."""
    compared: list[EndpointState] = []
    cost = balancer.cost
    balancer.cost = lambda pending, endpoint: (compared.append(endpoint), cost(pending, endpoint))[1]
    balancer.choose(pending_request(), endpoints, [], 1.0)
    return compared


def test_all_endpoints_are_compared_up_to_the_limit_and_a_sample_beyond(balancer):
    endpoints = make_endpoints(MAX_ENDPOINTS_WITHOUT_SAMPLING)
    assert compared_endpoints(balancer, endpoints) == endpoints
    more = make_endpoints(MAX_ENDPOINTS_WITHOUT_SAMPLING + 1)
    assert len(compared_endpoints(balancer, more)) == SAMPLED_ENDPOINTS


def test_endpoints_with_recent_fast_responses_are_compared_beside_the_sample(balancer):
    endpoints = make_endpoints(40)
    for endpoint in endpoints[:15]:
        balancer.on_response(SAFE, endpoint, 1.0)
    balancer.on_response(SAFE, endpoints[14], SAFE.latency_objective_ms)  # this endpoint is no longer fast
    assert compared_endpoints(balancer, endpoints)[SAMPLED_ENDPOINTS:] == endpoints[5:14]
