"""Tests of each mechanism of the policy without an engine."""

import pytest

from quota_gateway import (
    AttemptStatus,
    Endpoint,
    EndpointLifecycle,
    EndpointUpdate,
    GatewayLimits,
    Request,
    UpdateKind,
)
from quota_gateway.errors import StateError
from quota_gateway.model.customer_state import CustomerState
from quota_gateway.model.endpoint_state import EndpointState, Moment
from quota_gateway.model.pending_request import PendingRequest, RunningAttempt
from quota_gateway.model.snapshot import EngineState
from quota_gateway.policy.clock import DECAY_MS, DecayClock
from quota_gateway.policy.concurrency import (
    LIMIT_DECREASE_PER_SLOW_RESPONSE,
    LIMIT_INCREASE_PER_FAST_RESPONSE,
    ConcurrencyLimit,
)
from quota_gateway.policy.customer_table import CustomerTable
from quota_gateway.policy.endpoints import EndpointTable
from quota_gateway.policy.hard_ceiling import HardCeiling
from quota_gateway.policy.in_flight_limit import InFlightLimit
from quota_gateway.policy.latency import INITIAL_LATENCY_OBJECTIVE_SHARE, LatencyStatistics
from quota_gateway.policy.leaky_bucket import LeakyBucket
from quota_gateway.policy.outliers import FailureTracker, OutlierDetector
from quota_gateway.policy.pending_queue import PendingQueue
from quota_gateway.policy.quota import LocalQuota
from quota_gateway.policy.retries import is_retry_harmless
from quota_gateway.policy.retry_budget import MAX_RETRY_TOKENS, RetryBudget
from quota_gateway.policy.slow_start import SlowStart
from quota_gateway.policy.subset import Subset
from tests.support.engine_harness import CLASSES, PLANS, SETTINGS

METERED, CAPPED, CEILING, FREE = PLANS[:4]
SAFE, NON_IDEMPOTENT = CLASSES[0], CLASSES[-1]


def clock_at(now_ms: float) -> DecayClock:
    clock = DecayClock()
    clock.advance(now_ms)
    clock.endpoint_count = 1
    return clock


def pending_request(plan=FREE, request_class=SAFE, name="r", units=1.0, now_ms=1000.0) -> PendingRequest:
    customer = CustomerState(now_ms, 0.0)
    customer.largest_units = units
    request = Request(name, request_class.name, plan.name, "c", 4000.0, units)
    return PendingRequest(request, request_class, plan, customer, now_ms, 0.0)


def test_statistics_decay_with_time_but_not_before_each_endpoint_may_have_been_tried_again():
    clock = clock_at(1000.0 + DECAY_MS)
    assert clock.remaining(Moment(1000.0, 0)) == 1.0  # no attempt has been started since then
    clock.attempts = 1
    assert clock.remaining(Moment(1000.0, 0)) == pytest.approx(0.3679, abs=1e-4)


def test_leaky_bucket_admits_the_burst_then_delays_then_rejects_without_adding_excess():
    clock = clock_at(1000.0)
    bucket = LeakyBucket(SETTINGS, clock, LocalQuota(SETTINGS, clock))
    pending = pending_request(METERED)
    delays = [bucket.offer(pending, 400.0) for _ in range(28)]
    assert delays[:9] == [0.0] * 8 + [100.0]
    assert delays[-1] is None
    assert pending.customer.excess <= 16_000.0


def test_in_flight_limit_counts_both_processes():
    pending = pending_request(CAPPED)
    pending.customer.in_flight = 2
    pending.customer.peer_in_flight = 1
    limit = InFlightLimit(SETTINGS, clock_at(1000.0))
    assert limit.has_free_slot(pending, 1.0)
    pending.customer.peer_in_flight = 2
    assert not limit.has_free_slot(pending, 1.0)


def test_ceiling_of_an_unknown_customer_starts_empty():
    clock = clock_at(1000.0)
    ceiling = HardCeiling(clock)
    assert ceiling.initial_level(CEILING, 2) == 0.0
    assert ceiling.wait_ms(pending_request(CEILING)) == 100.0


def test_customer_table_evicts_a_customer_that_is_equivalent_to_a_new_one():
    clock = clock_at(1000.0)
    table = CustomerTable(SETTINGS, clock, LocalQuota(SETTINGS, clock), HardCeiling(clock))
    table.use(Request("r", SAFE.name, FREE.name, "first", 4000.0), FREE)
    clock.advance(10_000.0)
    table.use(Request("r", SAFE.name, FREE.name, "second", 4000.0), FREE)
    assert list(table.by_key) == [(FREE.name, "second")]


def test_concurrency_limit_falls_by_a_slow_response_and_rises_by_a_fast_one_while_used_up():
    limit = ConcurrencyLimit()
    limit.set_initial(1, 2)
    limit.on_response(SAFE, SAFE.latency_objective_ms)
    assert limit.limit == 3.0 - LIMIT_DECREASE_PER_SLOW_RESPONSE
    limit.on_response(SAFE, 1.0)
    assert limit.limit == 3.0 - LIMIT_DECREASE_PER_SLOW_RESPONSE  # the limit is not used up
    limit.on_start("r", 0)
    limit.on_response(SAFE, 1.0)
    assert limit.limit == 3.0 - LIMIT_DECREASE_PER_SLOW_RESPONSE + LIMIT_INCREASE_PER_FAST_RESPONSE


def test_queue_sheds_the_request_of_least_value_per_work():
    queue = PendingQueue(LatencyStatistics(CLASSES, clock_at(1000.0)))
    small, large = pending_request(name="small"), pending_request(name="large", units=2.0)
    assert queue.add(small)
    assert queue.add(large)
    assert queue.to_shed(limit=2.0) is None
    assert queue.to_shed(limit=1.0) is small
    assert queue.by_value() == [large, small]


def test_mean_latency_is_a_share_of_the_objective_before_any_response():
    latencies = LatencyStatistics(CLASSES, clock_at(1000.0))
    assert latencies.mean_ms(pending_request()) == INITIAL_LATENCY_OBJECTIVE_SHARE * SAFE.latency_objective_ms


def test_outlier_is_detected_for_the_class_that_fails():
    clock = clock_at(1000.0)
    detector = OutlierDetector(FailureTracker(clock))
    endpoint = EndpointState(Endpoint(1, "a"), 0.0)
    outlier = detector.on_outcome(pending_request(), endpoint, AttemptStatus.ERROR)
    assert outlier == (endpoint, "class safe", "error")
    assert detector.is_outlier(endpoint)
    assert not detector.is_outlier_under_key(endpoint, "")


def test_slow_start_gives_the_initial_share_then_the_full_capacity():
    clock = clock_at(1000.0)
    slow_start = SlowStart(SETTINGS.service_rules, clock)
    endpoint = EndpointState(Endpoint(1, "a", started_ms=1000.0), 0.0)
    assert slow_start.capacity_share(endpoint) == SETTINGS.service_rules.initial_capacity_share
    assert slow_start.warming_up([endpoint]) == [endpoint]
    clock.advance(1000.0 + SETTINGS.service_rules.warm_up_ms)
    assert slow_start.capacity_share(endpoint) == 1.0


def test_retry_budget_charges_retries_and_permits_free_ones():
    budget = RetryBudget(GatewayLimits(max_attempts=3))
    pending = pending_request()
    for _ in range(int(MAX_RETRY_TOKENS)):
        budget.on_start(1, is_free=False)
    assert not budget.allows(pending)
    assert budget.allows(pending, is_free=True)


def test_retry_of_a_non_idempotent_request_is_harmless_until_it_may_have_been_executed():
    pending = pending_request(request_class=NON_IDEMPOTENT)
    assert is_retry_harmless(pending)
    pending.first_executed = RunningAttempt(EndpointState(Endpoint(1, "a"), 0.0), 1000.0)
    assert not is_retry_harmless(pending)


def test_endpoint_table_keeps_an_endpoint_detached_whatever_discovery_lists():
    clock = clock_at(1000.0)
    slow_start, detector = SlowStart(SETTINGS.service_rules, clock), OutlierDetector(FailureTracker(clock))
    table = EndpointTable(clock, Subset(1, 0), slow_start, detector)
    table.detach(1)
    table.update(EndpointUpdate(UpdateKind.SNAPSHOT, (Endpoint(1, "a"), Endpoint(2, "a"))))
    assert [endpoint.id for endpoint in table.ready] == [2]
    assert table.attach(1)
    assert table.warming == [table.by_id[1]]
    table.update(EndpointUpdate(UpdateKind.DELTA, (Endpoint(2, "a", state=EndpointLifecycle.DRAINING),)))
    assert [endpoint.id for endpoint in table.ready] == [1]


@pytest.mark.parametrize("state", [{}, {"customers": [["free"]]}, {"customers": 1}])
def test_malformed_snapshot_is_a_state_error(state):
    with pytest.raises(StateError, match="malformed"):
        EngineState.from_json(state, SETTINGS, 1000.0)
