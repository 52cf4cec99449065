"""Extreme fleet sizes and missing data: no event raises an error, and every request is answered."""

from dataclasses import replace

import pytest

from quota_gateway import AttemptStatus, Outcome, Request, UpdateKind
from tests.support.engine_harness import SETTINGS, EngineHarness, make_endpoint


def send_and_expect_answers(harness: EngineHarness, gateway_set_size: int, request_count: int = 40) -> None:
    """Send requests of every plan and class, end their attempts, and expect one answer to each."""
    plans_and_classes = [
        (plan.name, request_class.name)
        for plan in harness.settings.plans
        for request_class in harness.settings.classes
    ]
    for number in range(request_count):
        plan, class_name = plans_and_classes[number % len(plans_and_classes)]
        customer = f"c{number % 7}"
        request_id = harness.send_request(plan, class_name, customer, gateway_set_size=gateway_set_size)
        if request_id in harness.sent and request_id not in harness.answers:
            harness.finish(request_id)
        harness.run(10.0)
    harness.run(4000.0)
    assert len(harness.answers) == request_count


@pytest.mark.parametrize(
    ("gateways", "gateway_set_size"), [(300, 1), (300, 300), (2, 50), (1, 1), (5000, 4000)]
)
@pytest.mark.parametrize("servers", [1, 3, 400])
def test_every_request_is_answered_at_any_size(gateways, gateway_set_size, servers):
    harness = EngineHarness(replace(SETTINGS, gateways=gateways))
    endpoints = [make_endpoint(number, "ab"[number % 2]) for number in range(servers)]
    harness.update_endpoints(*endpoints, kind=UpdateKind.CACHED)
    send_and_expect_answers(harness, gateway_set_size)


@pytest.mark.parametrize("load", [None, (), (None, None), (0.5,), (0.5, 3.0, 7.0)])
def test_load_reports_may_be_missing_short_or_null(load):
    harness = EngineHarness(replace(SETTINGS, load_report_fields=("util", "queue")))
    harness.update_endpoints(make_endpoint(1))
    for _ in range(3):
        request_id = harness.send_request()
        harness.handle(Outcome(request_id, 0, 1, AttemptStatus.OK, 50.0, True, load=load))
    assert harness.send_request() in harness.sent


def test_an_old_load_report_decays():
    # Server 1 reports a queue of 20 requests. After enough time and attempts it is chosen like the other one.
    harness = EngineHarness(replace(SETTINGS, load_report_fields=("queue",)))
    harness.update_endpoints(make_endpoint(1), make_endpoint(2))
    harness.engine.mechanisms.balancer.on_load_report(harness.engine.endpoints.by_id[1], (20.0,))
    assert {harness.sent[harness.send_request()][0] for _ in range(5)} == {2}
    harness.run(60_000.0)
    assert 1 in {harness.sent[harness.send_request()][0] for _ in range(8)}


def test_without_usage_reports_a_customer_of_one_gateway_may_retry():
    # A usage period of zero means that no usage report ever comes. The customer uses only this gateway, which
    # therefore has the whole burst and admits a retry.
    harness = EngineHarness(replace(SETTINGS, usage_period_ms=0.0, gateways=300))
    harness.update_endpoints(make_endpoint(1))
    harness.handle(Request("x", "safe", "metered", "c", 4000.0, 1, 1, is_retry=True))
    assert "x" in harness.sent


def test_request_is_queued_then_rejected_after_a_snapshot_without_endpoints():
    harness = EngineHarness()
    harness.update_endpoints(kind=UpdateKind.CACHED)
    request_id = harness.send_request(timeout_ms=300.0)
    harness.run(299.0)
    assert harness.answers[request_id] == "Reject"
