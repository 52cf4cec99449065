"""Graceful shutdown, and the Retry-After of a rejection over quota."""

import pytest

from quota_gateway import GatewayLimits, Idempotency, Plan, Reject, RequestClass, ShutdownStarted
from tests.support.engine_harness import EngineHarness, make_endpoint, make_harness

# The gateway under test, one of two, has a rate of one unit a second and a burst of two units.
METERED = Plan("metered", rate=2.0, burst=4.0)
LONG_RETRY_AFTER_MS = 60_000.0


def test_pending_and_later_requests_are_all_answered_before_the_shutdown_ends(harness):
    pending = [harness.send_request(class_name=class_name) for class_name in ("safe", "unsafe")]
    harness.run(100.0)
    harness.handle(ShutdownStarted(1000.0))
    later = harness.send_request(class_name="safe")
    harness.run(990.0)
    assert not harness.answers
    harness.run(10.0)
    assert harness.answers == {pending[0]: "Reject", pending[1]: "Fail", later: "Reject"}


def test_shutdown_does_not_prolong_a_shorter_timeout(harness):
    harness.handle(ShutdownStarted(1000.0))
    request_id = harness.send_request(timeout_ms=100.0)
    harness.run(100.0)
    assert harness.answers == {request_id: "Reject"}


def make_harness_with_retry_after(latency_objective_ms: float, max_retry_after_ms: float) -> EngineHarness:
    """A harness of one of two gateways that may send Retry-After, with a metered plan and two endpoints."""
    safe_class = RequestClass("safe", latency_objective_ms, 4000.0, Idempotency.IDEMPOTENT)
    limits = GatewayLimits(can_send_retry_after=True, max_retry_after_ms=max_retry_after_ms)
    harness = make_harness(classes=(safe_class,), limits=limits, plans=(METERED,))
    harness.update_endpoints(make_endpoint(1), make_endpoint(2))
    return harness


def test_retry_after_over_quota_ends_when_the_bucket_admits_the_request_with_a_delay():
    # Two requests are forwarded. The third exceeds the burst by one unit, a delay of 1000 ms at one unit a
    # second, and the fourth by two units, a delay of 2000 ms. A delay has to be shorter than the
    # latency objective less the mean latency, which is a fifth of the objective: 480 ms with the first
    # objective, and 1440 ms with the second.
    rejection = first_rejection(make_harness_with_retry_after(600.0, LONG_RETRY_AFTER_MS))
    assert rejection.request_id == "r3"
    assert rejection.retry_after_ms == 0.0
    harness = make_harness_with_retry_after(1800.0, LONG_RETRY_AFTER_MS)
    rejection = first_rejection(harness)
    assert rejection.request_id == "r4"
    assert rejection.retry_after_ms == pytest.approx(560.0)
    harness.run(rejection.retry_after_ms + 1.0)
    retried = harness.send_request("metered")
    assert retried not in harness.answers
    assert retried not in harness.sent
    harness.run(1440.0)
    assert retried in harness.sent


def test_retry_after_is_bounded_and_given_only_where_the_settings_allow_it():
    bounded = make_harness_with_retry_after(1800.0, max_retry_after_ms=7.0)
    assert first_rejection(bounded).retry_after_ms == 7.0
    harness = make_harness(limits=GatewayLimits(), plans=(METERED,))
    harness.update_endpoints(make_endpoint(1), make_endpoint(2))
    assert first_rejection(harness).retry_after_ms == 0.0


def first_rejection(harness: EngineHarness) -> Reject:
    """Send requests of one customer at the same time until one is rejected; return its rejection."""
    rejections: list[Reject] = []
    handle_event = harness.handle

    def handle_and_collect(event):
        actions = handle_event(event)
        rejections.extend(action for action in actions if isinstance(action, Reject))
        return actions

    harness.handle = handle_and_collect
    while not rejections:
        harness.send_request("metered")
    harness.handle = handle_event
    return rejections[0]
