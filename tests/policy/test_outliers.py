"""Failure rates and outliers: which outcome counts under which key."""

import pytest

from quota_gateway import AttemptStatus, Endpoint, Request
from quota_gateway.model.customer_state import CustomerState
from quota_gateway.model.endpoint_state import DetectedOutlier, EndpointState, FailureRecord
from quota_gateway.model.pending_request import PendingRequest
from quota_gateway.policy.clock import DecayClock
from quota_gateway.policy.outliers import OUTLIER_FAILURE_RATE, FailureTracker, OutlierDetector
from tests.support.engine_harness import CLASSES, PLANS

ALL_REQUESTS, CLASS, CLASS_OF_PLAN = "", "class safe", "class safe of plan free"


@pytest.fixture
def failures() -> FailureTracker:
    clock = DecayClock()
    clock.advance(1000.0)
    clock.set_endpoint_count(1)
    return FailureTracker(clock)


@pytest.fixture
def detector(failures) -> OutlierDetector:
    return OutlierDetector(failures)


@pytest.fixture
def endpoint() -> EndpointState:
    return EndpointState(Endpoint(1, "a"), 0.0)


def pending_request() -> PendingRequest:
    request = Request("r", "safe", "free", "c", 4000.0)
    return PendingRequest(request, CLASSES[0], PLANS[3], CustomerState(1000.0, 0.0), 1000.0, 0.0)


@pytest.mark.parametrize(
    ("status", "key"),
    [
        (AttemptStatus.CONNECT_FAILED, ALL_REQUESTS),
        (AttemptStatus.RESET, ALL_REQUESTS),
        (AttemptStatus.ERROR, CLASS),
        (AttemptStatus.OVERLOADED, CLASS_OF_PLAN),
    ],
)
def test_failure_counts_under_the_narrowest_key_that_its_status_concerns(
    status, key, detector, failures, endpoint
):
    outlier = detector.on_outcome(pending_request(), endpoint, status)
    assert outlier == DetectedOutlier(endpoint, key, status.value)
    assert endpoint.failures == {key: FailureRecord(1.0, 1.0, (1000.0, 0))}
    assert failures.totals == {key or "a": FailureRecord(1.0, 1.0, (1000.0, 0))}


@pytest.mark.parametrize("status", [AttemptStatus.TIMEOUT, AttemptStatus.CANCELLED, AttemptStatus.NOT_SENT])
def test_status_that_says_nothing_about_the_endpoint_is_not_recorded(status, detector, endpoint):
    assert detector.on_outcome(pending_request(), endpoint, status) is None
    assert not endpoint.failures


def test_overloaded_status_after_an_error_is_not_recorded(detector, endpoint):
    pending = pending_request()
    pending.had_error = True
    assert detector.on_outcome(pending, endpoint, AttemptStatus.OVERLOADED) is None
    assert not endpoint.failures


def test_successful_response_counts_under_all_keys_of_its_request(detector, endpoint):
    assert detector.on_outcome(pending_request(), endpoint, AttemptStatus.OK) is None
    assert list(endpoint.failures) == [ALL_REQUESTS, CLASS, CLASS_OF_PLAN]
    assert set(endpoint.failures.values()) == {FailureRecord(0.0, 1.0, (1000.0, 0))}


def test_slow_attempt_counts_as_a_failure_of_its_class(detector, endpoint):
    outlier = detector.on_slow_attempt(pending_request(), endpoint)
    assert outlier == DetectedOutlier(endpoint, CLASS, "silent")


def test_failure_rate_of_an_endpoint_without_outcomes_is_that_of_all_endpoints(failures, endpoint):
    other = EndpointState(Endpoint(2, "a"), 0.0)
    for failed in (True, True, False):
        failures.record(other, CLASS, failed)
    assert failures.failure_rate(endpoint, CLASS) == 2.0 / 4.0
    failures.record(endpoint, CLASS, failed=False)
    assert failures.failure_rate(endpoint, CLASS) == pytest.approx((2.0 / 5.0) / 2.0)


def test_failure_probability_is_the_worst_under_the_keys_of_the_request(detector, failures, endpoint):
    failures.record(endpoint, CLASS, failed=True)
    failures.record(endpoint, CLASS_OF_PLAN, failed=False)
    rate = failures.failure_rate(endpoint, CLASS)
    assert detector.failure_probability(pending_request(), endpoint) == rate >= OUTLIER_FAILURE_RATE


def test_endpoint_is_no_longer_an_outlier_after_enough_successful_responses(detector, endpoint):
    detector.on_outcome(pending_request(), endpoint, AttemptStatus.ERROR)
    assert detector.is_outlier(endpoint)
    for _ in range(3):
        detector.on_outcome(pending_request(), endpoint, AttemptStatus.OK)
    assert not detector.is_outlier(endpoint)
