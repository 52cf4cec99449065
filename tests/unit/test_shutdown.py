"""Graceful shutdown, and the Retry-After of a rejection over quota."""

import pytest

from quota_gateway import GatewayLimits, Idempotency, Plan, Reject, RequestClass, ShutdownStarted
from tests.support.engine_harness import EngineHarness, make_endpoint, make_harness

METERED = Plan(
    "metered", rate=2.0, burst=4.0
)  # over two gateways: one unit a second and two at once from here
LONG_RETRY_AFTER_MS = 60_000.0


def test_pending_and_later_requests_are_all_answered_before_the_shutdown_ends(rig):
    pending = [rig.ask(class_name=class_name) for class_name in ("safe", "unsafe")]
    rig.run(100.0)
    rig.do(ShutdownStarted(1000.0))
    later = rig.ask(class_name="safe")
    rig.run(990.0)
    assert not rig.answers
    rig.run(10.0)
    assert rig.answers == {pending[0]: "Reject", pending[1]: "Fail", later: "Reject"}


def test_shutdown_does_not_prolong_a_shorter_timeout(rig):
    rig.do(ShutdownStarted(1000.0))
    request_id = rig.ask(timeout_ms=100.0)
    rig.run(100.0)
    assert rig.answers == {request_id: "Reject"}


def make_engine_with_retry_after(latency_objective_ms: float, max_retry_after_ms: float) -> EngineHarness:
    """One of two gateways, which may send Retry-After, with the metered plan and two endpoints."""
    safe_class = RequestClass("safe", latency_objective_ms, 4000.0, Idempotency.IDEMPOTENT)
    limits = GatewayLimits(can_send_retry_after=True, max_retry_after_ms=max_retry_after_ms)
    engine = make_harness(classes=(safe_class,), limits=limits, plans=(METERED,))
    engine.servers(make_endpoint(1), make_endpoint(2))
    return engine


def test_retry_after_over_quota_ends_when_the_bucket_admits_the_request_with_a_delay():
    # two are forwarded; the third exceeds the bucket by one unit, a delay of 1000 ms at one unit a second,
    # and the fourth by two, 2000 ms. A delay may last the latency objective less the mean latency, a fifth
    # of it: 480 ms, or 1440 ms
    rejection = first_rejection(make_engine_with_retry_after(600.0, LONG_RETRY_AFTER_MS))
    assert rejection.request_id == "r3"
    assert rejection.retry_after_ms == 0.0
    engine = make_engine_with_retry_after(1800.0, LONG_RETRY_AFTER_MS)
    rejection = first_rejection(engine)
    assert rejection.request_id == "r4"
    assert rejection.retry_after_ms == pytest.approx(560.0)
    engine.run(rejection.retry_after_ms + 1.0)
    retried = engine.ask("metered")
    assert retried not in engine.answers
    assert retried not in engine.sent
    engine.run(1440.0)
    assert retried in engine.sent


def test_retry_after_is_bounded_and_given_only_where_the_settings_allow_it():
    bounded = make_engine_with_retry_after(1800.0, max_retry_after_ms=7.0)
    assert first_rejection(bounded).retry_after_ms == 7.0
    engine = make_harness(limits=GatewayLimits(), plans=(METERED,))
    engine.servers(make_endpoint(1), make_endpoint(2))
    assert first_rejection(engine).retry_after_ms == 0.0


def first_rejection(engine: EngineHarness) -> Reject:
    """Send requests of one customer, all at one moment, until the first is rejected."""
    rejections: list[Reject] = []
    handle_event = engine.do

    def handle_and_collect(event):
        actions = handle_event(event)
        rejections.extend(action for action in actions if isinstance(action, Reject))
        return actions

    engine.do = handle_and_collect
    while not rejections:
        engine.ask("metered")
    engine.do = handle_event
    return rejections[0]
