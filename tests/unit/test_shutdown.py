"""Before a planned end, and when to come back after a refusal over quota."""

import pytest

from quota_gateway import GatewayLimits, Idempotency, Plan, Reject, RequestClass, ShutdownStarted
from tests.support.engine_harness import EngineHarness, make_endpoint, make_harness


def test_all_pending_and_all_that_comes_is_answered_before_the_end(rig):
    out = [rig.ask(class_name=name) for name in ("safe", "unsafe")]
    rig.run(100.0)
    rig.do(ShutdownStarted(1000.0))
    late = rig.ask(class_name="safe")
    rig.run(990.0)
    assert not rig.answers
    rig.run(10.0)
    assert rig.answers == {out[0]: "Reject", out[1]: "Fail", late: "Reject"}


def test_shutdown_does_not_prolong_a_shorter_timeout(rig):
    rig.do(ShutdownStarted(1000.0))
    name = rig.ask(timeout_ms=100.0)
    rig.run(100.0)
    assert rig.answers == {name: "Reject"}


def advising(latency_objective_ms: float, **more) -> EngineHarness:
    """Two gateways of a customer with a quota of two units a second and four at once."""
    kinds = (RequestClass("safe", latency_objective_ms, 4000.0, Idempotency.IDEMPOTENT),)
    limits = GatewayLimits(can_send_retry_after=True, **more)
    rig = make_harness(classes=kinds, limits=limits, plans=(Plan("metered", rate=2.0, burst=4.0),))
    rig.servers(make_endpoint(1), make_endpoint(2))
    return rig


def test_rejection_over_quota_tells_when_the_bucket_takes_the_request_to_delay_it():
    # two are sent; the third has 1000 thousandths too many, 1000 ms at one a second, and the fourth 2000 ms,
    # of which a hold may last the aim less a mean latency, a fifth of it: 480 ms, or 1440 ms
    refusal = first_refusal(advising(600.0, max_retry_after_ms=60_000.0))
    assert refusal.request_id == "r3"
    assert refusal.retry_after_ms == 0.0
    rig = advising(1800.0, max_retry_after_ms=60_000.0)
    refusal = first_refusal(rig)
    assert refusal.request_id == "r4"
    assert refusal.retry_after_ms == pytest.approx(560.0)
    rig.run(refusal.retry_after_ms + 1.0)
    again = rig.ask("metered")
    assert again not in rig.answers
    assert again not in rig.sent
    rig.run(1440.0)
    assert again in rig.sent


def test_retry_after_is_bounded_and_given_only_where_the_settings_allow_it():
    assert first_refusal(advising(1800.0, max_retry_after_ms=7.0)).retry_after_ms == 7.0
    rig = make_harness(limits=GatewayLimits(), plans=(Plan("metered", rate=2.0, burst=4.0),))
    rig.servers(make_endpoint(1), make_endpoint(2))
    assert first_refusal(rig).retry_after_ms == 0.0


def first_refusal(rig: EngineHarness) -> Reject:
    """Ask for one customer, at one moment, until it is refused."""
    found: list[Reject] = []
    plain = rig.do

    def do(event):
        actions = plain(event)
        found.extend(action for action in actions if isinstance(action, Reject))
        return actions

    rig.do = do
    while not found:
        rig.ask("metered")
    rig.do = plain
    return found[0]
