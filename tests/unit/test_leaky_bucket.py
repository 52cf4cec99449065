"""The leaky bucket and the in-flight cap of one customer: burst, delay, rejection, quota share, usage report.

Expected figures are worked out by hand, in the comments beside them.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from typing import ClassVar

import pytest

from quota_gateway import AttemptStatus, ClientDisconnected, Idempotency, Plan, Request, RequestClass
from tests.support.engine_harness import CLASSES, DEAR, SETTINGS, EngineHarness, make_endpoint, make_harness

BRIEF = RequestClass("brief", 500.0, 4000.0, Idempotency.IDEMPOTENT)


def finish_if_forwarded(rig, name) -> bool:
    """Whether the request was forwarded; if so, it is answered at once."""
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
    delayed = rig.ask("metered")  # excess 5000, burst 4000: 1000 thousandths at 5 a second are 200 ms
    rig.run(199.0)
    assert delayed not in rig.sent
    rig.run(1.0)
    assert delayed in rig.sent


def test_rejection_does_not_change_the_excess(rig):
    for _ in range(20):
        rig.ask("metered")
    customer = rig.gateway.customers["metered", "c"]
    assert customer.excess == 8000.0


def test_excess_drains_at_the_rate_and_not_below_zero(rig):
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


def test_burst_is_never_below_the_largest_request(rig):
    assert rig.ask("metered", units=6) in rig.sent  # the burst of the local quota is 4


def test_quota_is_split_over_three_gateways_and_complete_at_a_gateway_set_of_one():
    rig = make_harness(gateways=3)
    rig.servers(make_endpoint(1), make_endpoint(2), make_endpoint(3))
    forwarded = [rig.ask("metered", gateway_set_size=3) in rig.sent for _ in range(4)]
    assert forwarded == [True, True, False, False]  # 8 / 3 = 2.67
    forwarded = []
    for _ in range(9):
        name = rig.ask("metered", customer="one", gateway_set_size=1)
        forwarded.append(finish_if_forwarded(rig, name))
    assert forwarded == [True] * 8 + [False]


def test_quota_share_grows_by_the_headroom_and_falls_back(rig):
    quota_share = rig.gateway.quota.share
    rig.finish(rig.ask("metered"), used=40.0)
    customer = rig.gateway.customers["metered", "c"]
    assert quota_share(customer) == (1.0 + 0.1 * 0.6) / 2
    rig.finish(rig.ask("metered"), used=120.0)
    assert quota_share(customer) == 0.5
    rig.finish(rig.ask("metered"), used=0.0)
    assert quota_share(customer) == 0.55
    rig.run(4001.0)  # no usage report for more than four usage periods
    rig.ask("free")
    assert quota_share(customer) == 0.5


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


def test_in_flight_cap_is_divided_between_gateways_and_queues_requests_beyond_the_share(rig):
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
    assert all(finish_if_forwarded(rig, rig.ask("free")) for _ in range(50))


def test_unknown_plan_or_class_is_rejected_and_logged_once(rig):
    unknown = [rig.ask("nope"), rig.ask("nope"), rig.ask("free", class_name="nope")]
    assert [rig.answers[name] for name in unknown] == ["Reject"] * 3


def test_customer_state_is_dropped_once_it_equals_that_of_a_new_customer(rig):
    for number in range(3000):
        name = rig.ask("metered", customer=f"c{number}")
        rig.finish(name, AttemptStatus.OK)
        rig.run(10.0)
    assert len(rig.gateway.customers) < 600
    assert len(rig.gateway.requests) == 0


def test_customer_state_that_must_be_kept_does_not_keep_that_of_later_customers(rig):
    rig.ask("metered", customer="in flight")
    for number in range(3000):
        name = rig.ask("metered", customer=f"c{number}")
        rig.finish(name, AttemptStatus.OK)
        rig.run(10.0)
    assert len(rig.gateway.customers) < 600
    assert ("metered", "in flight") in rig.gateway.customers


def test_finished_request_leaves_no_timer_behind(rig):
    for _ in range(20):
        name = rig.ask("free")
        rig.finish(name)
    assert not rig.gateway.timers.armed
    assert not rig.gateway.requests


def test_delay_past_the_shortest_latency_objective_is_a_rejection():
    # latency objective 500 ms, first mean latency 100 ms: a delay may last 400 ms, two units at 5 a second
    rig = make_harness(classes=(*CLASSES, BRIEF))
    rig.servers(make_endpoint(1), make_endpoint(2))
    for _ in range(4):
        rig.ask("metered")
    assert rig.ask("metered", "brief", units=2) in rig.answers
    assert rig.ask("metered", "brief", units=1) not in rig.answers


def rig_with_priority_class() -> EngineHarness:
    """A harness with a further class, "dear", of four times the priority weight."""
    rig = make_harness(classes=(*CLASSES, DEAR))
    rig.servers(make_endpoint(1), make_endpoint(2))
    return rig


def test_class_of_highest_priority_has_a_larger_burst_and_that_of_lowest_keeps_the_even_share():
    # burst 4 for the lowest priority weight; 4 x (1 + 0.25 x 3 / 4) = 4.75 for the highest: 0.25 of the
    # fifth unit is over the burst, a delay of 50 ms at 5 a second
    rig = rig_with_priority_class()
    assert all(rig.ask("metered") in rig.sent for _ in range(4))
    delayed = rig.ask("metered", "dear")
    assert delayed not in rig.sent
    rig.run(51.0)
    assert delayed in rig.sent


def test_excess_beyond_the_burst_is_reserved_for_classes_of_higher_priority():
    # the shortest latency objective is 1000 ms: the class of lowest priority weight is delayed by 100 ms at
    # most, half a unit at 5 a second
    rig = rig_with_priority_class()
    for _ in range(4):
        rig.ask("metered")
    assert rig.answers[rig.ask("metered")] == "Reject"
    rig.run(150.0)
    assert rig.ask("metered") not in rig.answers  # a quarter of a unit is missing
    assert rig.ask("metered", "dear") not in rig.answers


# Thin local quotas: of burst 8 and rate 10, each of 60 gateways has a burst of 0.13 units, and drains a
# request of one unit in 6 s.


def rig_with_thin_share(gateway_set_size: int = 60) -> EngineHarness:
    """A harness of one of 60 gateways; its customer comes by a gateway set of this size."""
    rig = EngineHarness(replace(SETTINGS, gateways=60))
    rig.servers(make_endpoint(1), make_endpoint(2))
    rig.gateway_set_size = gateway_set_size
    return rig


def ask_with_thin_share(rig, **request_fields) -> str:
    """A new request of one unit by the gateway set of the harness; its id."""
    rig.count += 1
    name = f"r{rig.count}"
    request = Request(name, "safe", "metered", "c", 4000.0, 1, rig.gateway_set_size, **request_fields)
    rig.do(request)
    return name


@pytest.mark.parametrize(("gateway_set_size", "answer"), [(60, "Reject"), (2, None)])
def test_marked_retry_is_rejected_under_a_thin_quota_share_only(gateway_set_size, answer):
    rig = rig_with_thin_share(gateway_set_size)
    assert rig.answers.get(ask_with_thin_share(rig, is_retry=True)) == answer


def test_headroom_of_the_last_usage_report_grows_the_burst_of_a_thin_quota_share():
    rig = rig_with_thin_share()
    rig.finish(
        ask_with_thin_share(rig), used=40.0
    )  # burst 1 x (1 + 2 x 0.6) = 2.2 of the drained local quota
    rig.run(5000.0)  # more than four usage periods later, less than one request takes to drain
    assert ask_with_thin_share(rig) in rig.sent
    rig.run(100.0)
    assert rig.answers[ask_with_thin_share(rig)] == "Reject", (
        "three requests: more than the local quota and two requests"
    )


def test_thin_quota_share_over_quota_or_without_a_recent_usage_report_has_the_even_burst():
    for usage_percent, wait_ms in ((100.0, 500.0), (40.0, 6100.0)):
        rig = rig_with_thin_share()
        rig.finish(ask_with_thin_share(rig), used=usage_percent)
        rig.run(wait_ms)
        second = ask_with_thin_share(rig)
        third = ask_with_thin_share(rig)
        assert rig.answers[third] == "Reject"
        assert (second in rig.sent) == (wait_ms > 6000.0)  # the first has drained by then


def test_all_gateways_together_forward_little_of_a_customer_far_over_its_quota():
    # 60 gateways, requests for 600 s of quota in 20 s, each rejected one is retried at another gateway
    forwarded = 0
    for index in range(60):
        rig = EngineHarness(replace(SETTINGS, gateways=60, index=index), seed=index)
        rig.servers(make_endpoint(1), make_endpoint(2))
        rig.gateway_set_size = 60
        for step in range(100):
            name = ask_with_thin_share(rig, is_retry=step % 2 == 1)
            if name in rig.sent:
                rig.finish(name, used=300.0)
            rig.run(200.0)
        forwarded += len(rig.sent)
    # by each gateway: one at first, and what drains in 20 s at 10 / 60 a second
    assert forwarded <= 60 * (1 + 20 * 10 / 60 + 1)


def gateway_set_of_three(usage_percent: float | None) -> list[EngineHarness]:
    """Three gateways at one clock, of a customer with a cap of two; each had this usage report of it."""
    rigs = [
        EngineHarness(replace(SETTINGS, gateways=3, index=index, classes=(*CLASSES, BRIEF)))
        for index in range(3)
    ]
    for rig in rigs:
        rig.servers(make_endpoint(1), make_endpoint(2))
        rig.finish(rig.ask("only-cap", gateway_set_size=3), used=usage_percent)
    return rigs


def gateways_that_forward(rigs: list[EngineHarness]) -> list[int]:
    """The indexes of the gateways that forward a request of the customer at once; it is answered."""
    forwarding = []
    for index, rig in enumerate(rigs):
        name = rig.ask("only-cap", "brief", gateway_set_size=3)
        if name in rig.sent:
            forwarding.append(index)
            rig.finish(name)
    return forwarding


def test_gateways_take_turns_at_a_cap_below_the_gateway_set_size_once_it_was_exceeded():
    rigs = gateway_set_of_three(usage_percent=150.0)
    turns = []
    for _ in range(6):
        turns.append(tuple(gateways_that_forward(rigs)))
        for rig in rigs:
            rig.run(1000.0)
    assert all(len(turn) == 2 for turn in turns)
    assert len(set(turns[:3])) == 3
    assert turns[:3] == turns[3:]


@pytest.mark.parametrize("usage_percent", [None, 100.0])
def test_cap_without_contention_leaves_each_gateway_its_place(usage_percent):
    rigs = gateway_set_of_three(usage_percent)
    assert gateways_that_forward(rigs) == [0, 1, 2]


def test_each_gateway_has_its_place_again_once_contention_has_expired():
    rigs = gateway_set_of_three(usage_percent=150.0)
    for rig in rigs:
        rig.run(10_000.0)
    assert gateways_that_forward(rigs) == [0, 1, 2]


def test_request_out_of_turn_is_rejected_at_once_unless_the_turn_comes_in_time():
    rig = EngineHarness(replace(SETTINGS, gateways=3, index=2, classes=(*CLASSES, BRIEF)))
    rig.servers(make_endpoint(1), make_endpoint(2))
    rig.now = 3000.0  # a round of turns begins: the last gateway of the set has the next one
    rig.finish(rig.ask("only-cap", gateway_set_size=3), used=150.0)
    assert rig.ask("only-cap", "brief", gateway_set_size=3) in rig.answers  # its turn comes 1000 ms on
    rig.run(800.0)
    queued = rig.ask("only-cap", "brief", gateway_set_size=3)
    assert queued not in rig.sent
    assert queued not in rig.answers
    rig.run(210.0)
    assert queued in rig.sent


def test_request_that_finds_the_place_occupied_starts_the_turns_before_a_usage_report():
    rigs = gateway_set_of_three(usage_percent=100.0)
    first = [rig.ask("only-cap", "brief", gateway_set_size=3) for rig in rigs]
    second = [rig.ask("only-cap", "brief", gateway_set_size=3) for rig in rigs]
    assert all(name in rig.sent for rig, name in zip(rigs, first, strict=True))
    for rig, name in zip(rigs, first, strict=True):
        rig.finish(name)
    assert sum(name in rig.sent for rig, name in zip(rigs, second, strict=True)) == 2
    for rig in rigs:
        rig.run(1000.0)
    for rig, name in zip(rigs, second, strict=True):
        if name in rig.sent:
            rig.finish(name)
    assert gateways_that_forward(rigs) == [
        0,
        1,
        2,
    ]  # no longer contended: no request has found its place occupied since


@dataclass
class InFlightCapSimulation:
    """Random requests of a customer with an in-flight cap by a wide gateway set, and what is forwarded.

    Attributes:
        forwarded_within: Requests forwarded while fewer than the cap were in flight.
        forwarded_beyond: Requests forwarded while the cap was reached or exceeded.
        rejected: Requests that no place was found for at once.
    """

    GATEWAYS: ClassVar[int] = 30
    CAP: ClassVar[int] = 3
    LATENCY_MS: ClassVar[float] = 400.0
    DURATION_MS: ClassVar[float] = 20_000.0
    START_MS: ClassVar[float] = 1000.0  # of the harnesses' clock

    seed: int
    forwarded_within: int = 0
    forwarded_beyond: int = 0
    rejected: int = 0

    def __post_init__(self) -> None:
        plans = (Plan("wide-cap", max_in_flight=self.CAP),)
        self.random = random.Random(self.seed)
        self.in_flight: list[tuple[float, EngineHarness, str]] = []  # with the time at which each ends
        self.most_in_flight = [0] * 40  # in each second
        self.rigs = [
            EngineHarness(replace(SETTINGS, gateways=self.GATEWAYS, index=index, plans=plans), seed=index)
            for index in range(self.GATEWAYS)
        ]
        for rig in self.rigs:
            rig.servers(make_endpoint(1), make_endpoint(2))

    def run(self, mean_interval_ms: float) -> None:
        """Ask at random times, this long apart on average."""
        weights = [1.0 / rank for rank in range(1, self.GATEWAYS + 1)]
        now_ms = 0.0
        while now_ms < self.DURATION_MS:
            now_ms += self.random.expovariate(1.0 / mean_interval_ms)
            self._finish_until(now_ms)
            rig = self.random.choices(self.rigs, weights)[0]
            self._ask(rig, now_ms)

    def _finish_until(self, now_ms: float) -> None:
        """End the attempts that are due, each with a usage report of the period before the last."""
        due = [attempt for attempt in self.in_flight if attempt[0] <= now_ms]
        for end_ms, rig, name in sorted(due, key=lambda attempt: attempt[0]):
            self._advance(rig, end_ms)
            period = int(end_ms // 1000) - 2
            usage_percent = 100.0 * self.most_in_flight[period] / self.CAP if period >= 0 else None
            rig.finish(name, used=usage_percent, latency=self.LATENCY_MS)
        self.in_flight = [attempt for attempt in self.in_flight if attempt[0] > now_ms]

    def _ask(self, rig: EngineHarness, now_ms: float) -> None:
        """Send a request by this gateway, and count what becomes of it."""
        self._advance(rig, now_ms)
        name = rig.ask("wide-cap", gateway_set_size=self.GATEWAYS)
        if name not in rig.sent:
            self.rejected += 1
            return
        self.forwarded_within += len(self.in_flight) < self.CAP
        self.forwarded_beyond += len(self.in_flight) >= self.CAP
        self.in_flight.append((now_ms + self.LATENCY_MS, rig, name))
        second = int(now_ms // 1000)
        self.most_in_flight[second] = max(self.most_in_flight[second], len(self.in_flight))

    def _advance(self, rig: EngineHarness, now_ms: float) -> None:
        rig.run(max(0.0, self.START_MS + now_ms - rig.now))


def test_contention_at_a_cap_is_noticed_by_each_gateway_of_a_wide_set():
    simulation = InFlightCapSimulation(seed=1)
    simulation.run(mean_interval_ms=50.0)  # eight would be in flight on average
    forwarded = simulation.forwarded_within + simulation.forwarded_beyond
    assert simulation.forwarded_beyond < 0.3 * forwarded


def test_customer_of_a_wide_set_without_contention_is_forwarded_under_a_cap():
    simulation = InFlightCapSimulation(seed=1)
    simulation.run(mean_interval_ms=1000.0)
    forwarded = simulation.forwarded_within + simulation.forwarded_beyond
    assert simulation.rejected <= 0.25 * forwarded
