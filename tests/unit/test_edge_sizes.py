"""Edge sizes at which nothing may fault and every request gets its answer."""

from dataclasses import replace

import pytest

from quota_gateway import AttemptStatus, Outcome, Request, UpdateKind
from tests.support.engine_harness import SETTINGS, EngineHarness, make_endpoint


def play(rig: EngineHarness, gateway_set_size: int, count: int = 40) -> None:
    """Requests of every plan and class, each answered or ended; all are owed one answer."""
    names = [(p.name, c.name) for p in rig.settings.plans for c in rig.settings.classes]
    for number in range(count):
        plan, kind = names[number % len(names)]
        name = rig.ask(plan, kind, f"c{number % 7}", gateway_set_size=gateway_set_size)
        if name in rig.sent and name not in rig.answers:
            rig.finish(name)
        rig.run(10.0)
    rig.run(4000.0)
    assert len(rig.answers) == count


@pytest.mark.parametrize(
    ("gateways", "gateway_set_size"), [(300, 1), (300, 300), (2, 50), (1, 1), (5000, 4000)]
)
@pytest.mark.parametrize("servers", [1, 3, 400])
def test_any_size_answers_all(gateways, gateway_set_size, servers):
    rig = EngineHarness(replace(SETTINGS, gateways=gateways))
    rig.servers(*(make_endpoint(n, "ab"[n % 2]) for n in range(servers)), kind=UpdateKind.CACHED)
    play(rig, gateway_set_size)


@pytest.mark.parametrize("load", [None, (), (None, None), (0.5,), (0.5, 3.0, 7.0)])
def test_load_reports_may_be_missing_short_or_null(load):
    rig = EngineHarness(replace(SETTINGS, load_report_fields=("util", "queue")))
    rig.servers(make_endpoint(1))
    for _ in range(3):
        name = rig.ask()
        rig.do(Outcome(name, 0, 1, AttemptStatus.OK, 50.0, True, load=load))
    assert rig.ask() in rig.sent


def test_an_old_load_report_decays():
    # server 1 told of 20 waiting; once enough time and attempts have passed it is taken as any other
    rig = EngineHarness(replace(SETTINGS, load_report_fields=("queue",)))
    rig.servers(make_endpoint(1), make_endpoint(2))
    rig.gateway.balancer.on_load_report(rig.gateway.endpoints.by_id[1], (20.0,))
    assert {rig.sent[rig.ask()][0] for _ in range(5)} == {2}
    rig.run(60_000.0)
    assert 1 in {rig.sent[rig.ask()][0] for _ in range(8)}


def test_without_usage_reports_a_customer_of_one_gateway_may_retry():
    # a period of nought means no news ever; the whole burst is here, so the slice is not thin
    rig = EngineHarness(replace(SETTINGS, usage_period_ms=0.0, gateways=300))
    rig.servers(make_endpoint(1))
    rig.do(Request("x", "safe", "metered", "c", 4000.0, 1, 1, is_retry=True))
    assert "x" in rig.sent


def test_a_snapshot_without_endpoints_queues_then_rejects():
    rig = EngineHarness()
    rig.servers(kind=UpdateKind.CACHED)
    name = rig.ask(timeout_ms=300.0)
    rig.run(299.0)
    assert rig.answers[name] == "Reject"
