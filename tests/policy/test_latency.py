"""Latency statistics: mean latencies by class and size, relative latency of an endpoint."""

import pytest

from quota_gateway import Endpoint, Request
from quota_gateway.model.customer_state import CustomerState
from quota_gateway.model.endpoint_state import EndpointState, LatencyMean
from quota_gateway.model.pending_request import PendingRequest
from quota_gateway.policy.clock import DECAY_MS, DecayClock
from quota_gateway.policy.latency import (
    ATTEMPT_LOST_AFTER_MEAN_LATENCIES,
    INITIAL_LATENCY_OBJECTIVE_SHARE,
    MIN_LATENCY_SAMPLE_WEIGHT,
    RELATIVE_LATENCY_SAMPLE_WEIGHT,
    LatencyStatistics,
    current_relative_latency,
)
from tests.support.engine_harness import CLASSES, PLANS

SAFE = CLASSES[0]
INITIAL_MEAN_MS = INITIAL_LATENCY_OBJECTIVE_SHARE * SAFE.latency_objective_ms


@pytest.fixture
def clock() -> DecayClock:
    clock = DecayClock()
    clock.advance(1000.0)
    clock.set_endpoint_count(1)
    return clock


@pytest.fixture
def latencies(clock) -> LatencyStatistics:
    return LatencyStatistics(CLASSES, clock)


@pytest.fixture
def endpoint() -> EndpointState:
    return EndpointState(Endpoint(1, "a"), 0.0)


def pending_request(units: float = 1.0) -> PendingRequest:
    request = Request("r", SAFE.name, "free", "c", 4000.0, units)
    return PendingRequest(request, SAFE, PLANS[3], CustomerState(1000.0, 0.0), 1000.0, 0.0)


def test_initial_mean_counts_as_one_response(latencies, endpoint):
    latencies.record(pending_request(), endpoint, 100.0)
    assert latencies.means["safe"][1] == LatencyMean((INITIAL_MEAN_MS + 100.0) / 2.0, 1)


def test_weight_of_a_response_does_not_fall_below_the_minimum(latencies, endpoint):
    latencies.means["safe"][1] = LatencyMean(100.0, 1_000_000)
    latencies.record(pending_request(), endpoint, 200.0)
    mean = latencies.means["safe"][1]
    assert mean.mean_ms == pytest.approx(100.0 + MIN_LATENCY_SAMPLE_WEIGHT * 100.0)
    assert mean.responses == 1_000_001


def test_size_extra_is_relative_to_the_smallest_size_and_never_negative(latencies):
    latencies.means["safe"].update(
        {4: LatencyMean(90.0, 1), 1: LatencyMean(50.0, 1), 2: LatencyMean(40.0, 1)}
    )
    assert latencies.size_extra_ms(pending_request(4.0)) == 40.0
    assert latencies.size_extra_ms(pending_request(2.0)) == 0.0
    assert latencies.size_extra_ms(pending_request(1.0)) == 0.0
    assert latencies.size_extra_ms(pending_request(3.0)) == 0.0  # no response of this size has been recorded


def test_latest_start_leaves_a_mean_latency_before_the_objective(latencies):
    latencies.means["safe"][1] = LatencyMean(150.0, 1)
    assert latencies.latest_start_ms(pending_request()) == 1000.0 + SAFE.latency_objective_ms - 150.0


def test_attempt_is_presumed_lost_after_a_number_of_mean_latencies(latencies, clock):
    latencies.means["safe"][1] = LatencyMean(10.0, 1)
    clock.advance(1000.0 + ATTEMPT_LOST_AFTER_MEAN_LATENCIES * 10.0 - 1.0)
    assert not latencies.is_presumed_lost(pending_request(), 1000.0)
    clock.advance(clock.now_ms + 1.0)
    assert latencies.is_presumed_lost(pending_request(), 1000.0)


def test_relative_latency_follows_responses_and_decays_to_the_average(latencies, endpoint, clock):
    latencies.means["safe"][1] = LatencyMean(100.0, 1_000_000)
    latencies.record(pending_request(), endpoint, 300.0)
    mean_ms = latencies.means["safe"][1].mean_ms
    expected = 1.0 + RELATIVE_LATENCY_SAMPLE_WEIGHT * (300.0 / mean_ms - 1.0)
    assert endpoint.relative_latency == pytest.approx(expected)
    assert endpoint.relative_latency_at == clock.moment()
    clock.advance(clock.now_ms + 100.0 * DECAY_MS)
    clock.attempts = 100
    assert current_relative_latency(endpoint, clock) == pytest.approx(1.0)
