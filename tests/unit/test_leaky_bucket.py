"""The ordinary path: the excess meter, its slice, the hold band, the in-flight cap. Figures by hand."""

import random
from dataclasses import replace

import pytest

from quota_gateway import AttemptStatus, ClientDisconnected, Idempotency, Plan, Request, RequestClass
from tests.support.engine_harness import CLASSES, DEAR, SETTINGS, EngineHarness, make_endpoint, make_harness

BRIEF = RequestClass("brief", 500.0, 4000.0, Idempotency.IDEMPOTENT)


def done(rig, name) -> bool:
    """Whether it was sent; if so it is answered at once."""
    if name in rig.sent:
        rig.finish(name)
    return name in rig.sent


def test_burst_is_forwarded_then_excess_is_delayed_then_rejected(rig):
    # rate 5/s and burst 4 for each of two gateways; the first request leaves an excess of one unit
    names = [rig.ask("metered") for _ in range(10)]
    assert [name in rig.sent for name in names] == [True] * 4 + [False] * 6
    assert [name in rig.answers for name in names] == [False] * 8 + [True] * 2


def test_delay_is_the_excess_over_burst_at_the_rate(rig):
    for _ in range(4):
        rig.ask("metered")
    held = rig.ask("metered")  # excess 5000, burst 4000: 1000 thousandths at 5 a second are 200 ms
    rig.run(199.0)
    assert held not in rig.sent
    rig.run(1.0)
    assert held in rig.sent


def test_rejection_leaves_the_excess_alone(rig):
    for _ in range(20):
        rig.ask("metered")
    customer = rig.gateway.customers["metered", "c"]
    assert customer.excess == 8000.0


def test_excess_drains_at_the_rate_and_not_below_nought(rig):
    rig.ask("metered", units=3)
    rig.run(400.0)  # 5 units a second: 2000 thousandths drained, 1000 added
    rig.ask("metered")
    assert rig.gateway.customers["metered", "c"].excess == 2000.0
    rig.run(5000.0)
    rig.ask("metered")
    assert rig.gateway.customers["metered", "c"].excess == 0.0


def test_delay_past_the_deadline_is_a_rejection_and_costs_no_excess(rig):
    for _ in range(4):
        rig.ask("metered")
    assert rig.answers.get(rig.ask("metered", timeout_ms=200.0)) == "Reject"
    assert rig.gateway.customers["metered", "c"].excess == 4000.0


def test_burst_is_never_under_the_largest_request(rig):
    assert rig.ask("metered", units=6) in rig.sent  # the slice's burst is 4


def test_uneven_shares_and_a_gateway_set_of_one():
    rig = make_harness(gateways=3)
    rig.servers(make_endpoint(1), make_endpoint(2), make_endpoint(3))
    sent = [rig.ask("metered", gateway_set_size=3) in rig.sent for _ in range(4)]
    assert sent == [True, True, False, False]  # 8 / 3 = 2.67
    assert [done(rig, rig.ask("metered", customer="one", gateway_set_size=1)) for _ in range(9)] == [
        True
    ] * 8 + [False]


def test_quota_share_grows_by_the_headroom_and_falls_back(rig):
    share = rig.gateway.quota.share
    rig.finish(rig.ask("metered"), used=40.0)
    customer = rig.gateway.customers["metered", "c"]
    assert share(customer) == (1.0 + 0.1 * 0.6) / 2
    rig.finish(rig.ask("metered"), used=120.0)
    assert share(customer) == 0.5
    rig.finish(rig.ask("metered"), used=0.0)
    assert share(customer) == 0.55
    rig.run(4001.0)  # no news for more than four periods
    rig.ask("free")
    assert share(customer) == 0.5


def test_estimated_units_are_settled_on_the_answer(rig):
    name = rig.ask("metered", units=2)
    rig.finish(name, units=5.0)
    assert rig.gateway.customers["metered", "c"].excess == 5000.0


def test_delayed_request_whose_client_disconnected_gives_its_units_back(rig):
    names = [rig.ask("metered") for _ in range(6)]
    rig.do(ClientDisconnected(names[5]))
    assert rig.gateway.customers["metered", "c"].excess == 5000.0
    rig.run(4000.0)
    assert names[5] not in rig.sent


def test_in_flight_cap_is_shared_and_queues_what_is_beyond(rig):
    names = [rig.ask("capped") for _ in range(3)]
    assert [name in rig.sent for name in names] == [True, True, False]
    rig.finish(names[0])
    assert names[2] in rig.sent


def test_in_flight_share_is_at_least_one():
    rig = make_harness(gateways=4)
    rig.servers(make_endpoint(1))
    assert rig.ask("only-cap", gateway_set_size=4) in rig.sent
    assert rig.ask("only-cap", gateway_set_size=4) not in rig.sent


def test_plan_without_limits_is_not_delayed(rig):
    assert all(done(rig, rig.ask("free")) for _ in range(50))


def test_unknown_plan_or_class_is_rejected_and_logged_once(rig):
    first = [rig.ask("nope"), rig.ask("nope"), rig.ask("free", class_name="nope")]
    assert [rig.answers[name] for name in first] == ["Reject"] * 3


def test_customers_are_forgotten_once_as_new(rig):
    for number in range(3000):
        name = rig.ask("metered", customer=f"c{number}")
        rig.finish(name, AttemptStatus.OK)
        rig.run(10.0)
    assert len(rig.gateway.customers) < 600
    assert len(rig.gateway.requests) == 0


def test_customer_that_can_not_be_forgotten_keeps_none_behind_it(rig):
    rig.ask("metered", customer="still out")
    for number in range(3000):
        name = rig.ask("metered", customer=f"c{number}")
        rig.finish(name, AttemptStatus.OK)
        rig.run(10.0)
    assert len(rig.gateway.customers) < 600
    assert ("metered", "still out") in rig.gateway.customers


def test_request_that_is_done_leaves_no_timer_behind(rig):
    for _ in range(20):
        name = rig.ask("free")
        rig.finish(name)
    assert not rig.gateway.timers.armed
    assert not rig.gateway.requests


def test_delay_past_the_shortest_latency_objective_is_a_rejection():
    # aim 500 ms, first mean latency 100 ms: a hold may last 400 ms, two units at 5 a second
    rig = make_harness(classes=(*CLASSES, BRIEF))
    rig.servers(make_endpoint(1), make_endpoint(2))
    for _ in range(4):
        rig.ask("metered")
    assert rig.ask("metered", "brief", units=2) in rig.answers
    assert rig.ask("metered", "brief", units=1) not in rig.answers


def dear_rig() -> EngineHarness:
    rig = make_harness(classes=(*CLASSES, DEAR))
    rig.servers(make_endpoint(1), make_endpoint(2))
    return rig


def test_class_of_most_priority_has_a_larger_burst_and_the_even_share_stays_for_the_least():
    # burst 4 for the least worthy; 4 x (1 + 0.25 x 3 / 4) = 4.75 for the other: of the fifth unit
    # 0.25 wait, 50 ms at 5 a second
    rig = dear_rig()
    assert all(rig.ask("metered") in rig.sent for _ in range(4))
    dear = rig.ask("metered", "dear")
    assert dear not in rig.sent
    rig.run(51.0)
    assert dear in rig.sent


def test_excess_beyond_the_burst_is_left_to_classes_of_more_priority():
    # the shortest aim is 1000 ms: the least worthy is held for 100 ms, half a unit at 5 a second
    rig = dear_rig()
    for _ in range(4):
        rig.ask("metered")
    assert rig.answers[rig.ask("metered")] == "Reject"
    rig.run(150.0)
    assert rig.ask("metered") not in rig.answers  # a quarter of a unit is missing
    assert rig.ask("metered", "dear") not in rig.answers


# Thin slices: rate 10, burst 8 over 60 gateways hold 0.13 of a request of one unit and drain it in 6 s


def thin_rig(gateway_set_size: int = 60) -> EngineHarness:
    rig = EngineHarness(replace(SETTINGS, gateways=60))
    rig.servers(make_endpoint(1), make_endpoint(2))
    rig.gateway_set_size = gateway_set_size
    return rig


def ask_thin(rig, **more) -> str:
    rig.count += 1
    name = f"r{rig.count}"
    rig.do(Request(name, "safe", "metered", "c", 4000.0, 1, rig.gateway_set_size, **more))
    return name


@pytest.mark.parametrize(("gateway_set_size", "answer"), [(60, "Reject"), (2, None)])
def test_a_marked_retry_is_rejected_under_a_thin_share_only(gateway_set_size, answer):
    rig = thin_rig(gateway_set_size)
    assert rig.answers.get(ask_thin(rig, is_retry=True)) == answer


def test_headroom_of_the_last_usage_report_grows_the_burst_of_a_thin_share():
    rig = thin_rig()
    rig.finish(ask_thin(rig), used=40.0)  # burst 1 x (1 + 2 x 0.6) = 2.2 of the drained slice
    rig.run(5000.0)  # older than four meter periods, not than one drained request
    assert ask_thin(rig) in rig.sent
    rig.run(100.0)
    assert rig.answers[ask_thin(rig)] == "Reject", "three asked: more than the slice and two requests"


def test_a_thin_share_over_quota_or_without_a_report_has_the_even_burst():
    for used, wait in ((100.0, 500.0), (40.0, 6100.0)):
        rig = thin_rig()
        rig.finish(ask_thin(rig), used=used)
        rig.run(wait)
        second, third = ask_thin(rig), ask_thin(rig)
        assert rig.answers[third] == "Reject"
        assert (second in rig.sent) == (wait > 6000.0)  # the first has drained by then


def test_all_gateways_together_admit_little_of_a_customer_far_over_its_quota():
    # 60 gateways, 600 s' worth of quota asked in 20 s, each refusal tried again elsewhere
    passed = 0
    for index in range(60):
        rig = EngineHarness(replace(SETTINGS, gateways=60, index=index), seed=index)
        rig.servers(make_endpoint(1), make_endpoint(2))
        rig.gateway_set_size = 60
        for step in range(100):
            name = ask_thin(rig, is_retry=step % 2 == 1)
            if name in rig.sent:
                rig.finish(name, used=300.0)
            rig.run(200.0)
        passed += len(rig.sent)
    # each: one at first, and what 10 / 60 a second drains in 20 s
    assert passed <= 60 * (1 + 20 * 10 / 60 + 1)


def set_of_three(used: float | None) -> list[EngineHarness]:
    """Three gateways of a customer that may have two out, having read this of its use, at one clock."""
    rigs = [
        EngineHarness(replace(SETTINGS, gateways=3, index=index, classes=(*CLASSES, BRIEF)))
        for index in range(3)
    ]
    for rig in rigs:
        rig.servers(make_endpoint(1), make_endpoint(2))
        rig.finish(rig.ask("only-cap", gateway_set_size=3), used=used)
    return rigs


def takers(rigs: list[EngineHarness]) -> list[int]:
    """The gateways that send a request of the customer at once; it is answered."""
    took = []
    for index, rig in enumerate(rigs):
        name = rig.ask("only-cap", "brief", gateway_set_size=3)
        if name in rig.sent:
            took.append(index)
            rig.finish(name)
    return took


def test_gateways_take_turns_at_a_cap_with_fewer_places_once_it_was_exceeded():
    rigs = set_of_three(used=150.0)
    turns = []
    for _ in range(6):
        turns.append(tuple(takers(rigs)))
        for rig in rigs:
            rig.run(1000.0)
    assert all(len(turn) == 2 for turn in turns)
    assert len(set(turns[:3])) == 3
    assert turns[:3] == turns[3:]


@pytest.mark.parametrize("used", [None, 100.0])
def test_a_cap_without_contention_leaves_each_gateway_its_place(used):
    rigs = set_of_three(used)
    assert takers(rigs) == [0, 1, 2]


def test_each_gateway_has_its_place_again_some_time_after_the_cap_was_exceeded():
    rigs = set_of_three(used=150.0)
    for rig in rigs:
        rig.run(10_000.0)
    assert takers(rigs) == [0, 1, 2]


def test_a_request_out_of_turn_is_rejected_at_once_unless_the_turn_comes_in_time():
    rig = EngineHarness(replace(SETTINGS, gateways=3, index=2, classes=(*CLASSES, BRIEF)))
    rig.servers(make_endpoint(1), make_endpoint(2))
    rig.now = 3000.0  # a round of turns begins: the last of the set has the next one
    rig.finish(rig.ask("only-cap", gateway_set_size=3), used=150.0)
    assert rig.ask("only-cap", "brief", gateway_set_size=3) in rig.answers  # its turn comes 1000 ms on
    rig.run(800.0)
    late = rig.ask("only-cap", "brief", gateway_set_size=3)
    assert late not in rig.sent
    assert late not in rig.answers
    rig.run(210.0)
    assert late in rig.sent


def test_a_request_that_finds_the_place_taken_starts_rotation_before_a_usage_report():
    rigs = set_of_three(used=100.0)
    held = [rig.ask("only-cap", "brief", gateway_set_size=3) for rig in rigs]
    second = [rig.ask("only-cap", "brief", gateway_set_size=3) for rig in rigs]
    assert all(name in rig.sent for rig, name in zip(rigs, held, strict=True))
    for rig, name in zip(rigs, held, strict=True):
        rig.finish(name)
    assert sum(name in rig.sent for rig, name in zip(rigs, second, strict=True)) == 2
    for rig in rigs:
        rig.run(1000.0)
    for rig, name in zip(rigs, second, strict=True):
        if name in rig.sent:
            rig.finish(name)
    assert takers(rigs) == [0, 1, 2]  # it was chance: nothing has come since


def over_the_cap(every_ms: float, seed: int) -> tuple[int, int, int]:
    """A customer asks by 30 gateways, three places, 400 ms each: sent with room, beyond it, refused."""
    plans = (Plan("wide-cap", max_in_flight=3),)
    rigs = [
        EngineHarness(replace(SETTINGS, gateways=30, index=index, plans=plans), seed=index)
        for index in range(30)
    ]
    for rig in rigs:
        rig.servers(make_endpoint(1), make_endpoint(2))
    order, now, out, most = random.Random(seed), 0.0, [], [0] * 40
    within = beyond = refused = 0
    while now < 20_000.0:
        now += order.expovariate(1.0 / every_ms)
        for end, rig, name in sorted((item for item in out if item[0] <= now), key=lambda item: item[0]):
            rig.run(max(0.0, 1000.0 + end - rig.now))
            told = int(end // 1000) - 2  # the meter tells of the period before the last
            rig.finish(name, used=100.0 * most[told] / 3 if told >= 0 else None, latency=400.0)
        out = [item for item in out if item[0] > now]
        rig = order.choices(rigs, [1.0 / rank for rank in range(1, 31)])[0]
        rig.run(max(0.0, 1000.0 + now - rig.now))
        name = rig.ask("wide-cap", gateway_set_size=30)
        if name not in rig.sent:
            refused += 1
            continue
        within, beyond = within + (len(out) < 3), beyond + (len(out) >= 3)
        out.append((now + 400.0, rig, name))
        most[int(now // 1000)] = max(most[int(now // 1000)], len(out))
    return within, beyond, refused


def test_contention_at_a_cap_is_noticed_by_each_gateway_of_a_wide_set():
    within, beyond, _ = over_the_cap(50.0, seed=1)  # eight would be out on the mean
    assert beyond < 0.3 * (within + beyond)


def test_a_customer_of_a_wide_set_without_contention_is_admitted_under_a_cap():
    within, beyond, refused = over_the_cap(1000.0, seed=1)
    assert refused <= 0.25 * (within + beyond)
