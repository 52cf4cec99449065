"""The leaky bucket and the in-flight cap of one customer: burst, delay, rejection, quota share, usage report.

Expected values are calculated by hand in the comments.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from typing import ClassVar

import pytest

from quota_gateway import AttemptStatus, ClientDisconnected, Idempotency, Plan, Request, RequestClass
from tests.support.engine_harness import (
    CLASSES,
    HIGH_PRIORITY,
    SETTINGS,
    EngineHarness,
    make_endpoint,
    make_harness,
)

BRIEF = RequestClass("brief", 500.0, 4000.0, Idempotency.IDEMPOTENT)


def finish_if_forwarded(harness, request_id) -> bool:
    """Finish a request if it was forwarded; return whether it was."""
    if request_id in harness.sent:
        harness.finish(request_id)
    return request_id in harness.sent


def test_burst_is_forwarded_then_excess_is_delayed_then_rejected(harness):
    # Each of two gateways has rate 5/s and burst 4; the first request already leaves an excess of one unit.
    request_ids = [harness.send_request("metered") for _ in range(10)]
    assert [request_id in harness.sent for request_id in request_ids] == [True] * 4 + [False] * 6
    assert [request_id in harness.answers for request_id in request_ids] == [False] * 8 + [True] * 2


def test_delay_is_the_excess_over_burst_at_the_rate(harness):
    for _ in range(4):
        harness.send_request("metered")
    # An excess of 5000 milliunits is 1000 over the burst of 4000, a delay of 200 ms at 5 units a second.
    delayed = harness.send_request("metered")
    harness.run(199.0)
    assert delayed not in harness.sent
    harness.run(1.0)
    assert delayed in harness.sent


def test_rejection_does_not_change_the_excess(harness):
    for _ in range(20):
        harness.send_request("metered")
    customer = harness.engine.customers["metered", "c"]
    assert customer.excess == 8000.0


def test_excess_drains_at_the_rate_and_not_below_zero(harness):
    harness.send_request("metered", units=3)
    harness.run(400.0)  # 2000 milliunits drain at 5 units a second; the next request adds 1000
    harness.send_request("metered")
    assert harness.engine.customers["metered", "c"].excess == 2000.0
    harness.run(5000.0)
    harness.send_request("metered")
    assert harness.engine.customers["metered", "c"].excess == 0.0


def test_delay_past_the_deadline_rejects_the_request_and_adds_no_excess(harness):
    for _ in range(4):
        harness.send_request("metered")
    assert harness.answers.get(harness.send_request("metered", timeout_ms=200.0)) == "Reject"
    assert harness.engine.customers["metered", "c"].excess == 4000.0


def test_burst_is_never_below_the_largest_request(harness):
    assert harness.send_request("metered", units=6) in harness.sent  # the burst of the local quota is 4


def test_quota_is_split_over_three_gateways_and_complete_at_a_gateway_set_of_one():
    harness = make_harness(gateways=3)
    harness.update_endpoints(make_endpoint(1), make_endpoint(2), make_endpoint(3))
    forwarded = [harness.send_request("metered", gateway_set_size=3) in harness.sent for _ in range(4)]
    assert forwarded == [True, True, False, False]  # the local burst is 8 / 3 = 2.67 units
    forwarded = []
    for _ in range(9):
        request_id = harness.send_request("metered", customer="one", gateway_set_size=1)
        forwarded.append(finish_if_forwarded(harness, request_id))
    assert forwarded == [True] * 8 + [False]


def test_quota_share_grows_by_the_headroom_and_falls_back(harness):
    quota_share = harness.engine.mechanisms.quota.share
    harness.finish(harness.send_request("metered"), used=40.0)
    customer = harness.engine.customers["metered", "c"]
    assert quota_share(customer) == (1.0 + 0.1 * 0.6) / 2
    harness.finish(harness.send_request("metered"), used=120.0)
    assert quota_share(customer) == 0.5
    harness.finish(harness.send_request("metered"), used=0.0)
    assert quota_share(customer) == 0.55
    harness.run(4001.0)  # no usage report has come for more than four usage periods
    harness.send_request("free")
    assert quota_share(customer) == 0.5


def test_estimated_units_are_settled_on_the_answer(harness):
    request_id = harness.send_request("metered", units=2)
    harness.finish(request_id, units=5.0)
    assert harness.engine.customers["metered", "c"].excess == 5000.0


def test_delayed_request_whose_client_disconnected_gives_its_units_back(harness):
    request_ids = [harness.send_request("metered") for _ in range(6)]
    harness.handle(ClientDisconnected(request_ids[5]))
    assert harness.engine.customers["metered", "c"].excess == 5000.0
    harness.run(4000.0)
    assert request_ids[5] not in harness.sent


def test_in_flight_cap_is_divided_between_gateways_and_queues_requests_beyond_the_share(harness):
    request_ids = [harness.send_request("capped") for _ in range(3)]
    assert [request_id in harness.sent for request_id in request_ids] == [True, True, False]
    harness.finish(request_ids[0])
    assert request_ids[2] in harness.sent


def test_in_flight_share_is_at_least_one():
    harness = make_harness(gateways=4)
    harness.update_endpoints(make_endpoint(1))
    assert harness.send_request("only-cap", gateway_set_size=4) in harness.sent
    assert harness.send_request("only-cap", gateway_set_size=4) not in harness.sent


def test_plan_without_limits_is_not_delayed(harness):
    assert all(finish_if_forwarded(harness, harness.send_request("free")) for _ in range(50))


def test_unknown_plan_or_class_is_rejected_and_logged_once(harness):
    unknown = [
        harness.send_request("nope"),
        harness.send_request("nope"),
        harness.send_request("free", class_name="nope"),
    ]
    assert [harness.answers[request_id] for request_id in unknown] == ["Reject"] * 3


def test_customer_state_is_dropped_once_it_equals_that_of_a_new_customer(harness):
    for number in range(3000):
        request_id = harness.send_request("metered", customer=f"c{number}")
        harness.finish(request_id, AttemptStatus.OK)
        harness.run(10.0)
    assert len(harness.engine.customers) < 600
    assert len(harness.engine.requests) == 0


def test_customer_state_that_must_be_kept_does_not_keep_that_of_later_customers(harness):
    harness.send_request("metered", customer="in flight")
    for number in range(3000):
        request_id = harness.send_request("metered", customer=f"c{number}")
        harness.finish(request_id, AttemptStatus.OK)
        harness.run(10.0)
    assert len(harness.engine.customers) < 600
    assert ("metered", "in flight") in harness.engine.customers


def test_finished_request_leaves_no_timer_behind(harness):
    for _ in range(20):
        request_id = harness.send_request("free")
        harness.finish(request_id)
    assert not harness.engine.timers.armed
    assert not harness.engine.requests


def test_delay_past_the_shortest_latency_objective_rejects_the_request():
    # The shortest latency objective is 500 ms and the initial mean latency 100 ms. So a delay has to be
    # shorter than 400 ms, in which two units drain at 5 units a second.
    harness = make_harness(classes=(*CLASSES, BRIEF))
    harness.update_endpoints(make_endpoint(1), make_endpoint(2))
    for _ in range(4):
        harness.send_request("metered")
    assert harness.send_request("metered", "brief", units=2) in harness.answers
    assert harness.send_request("metered", "brief", units=1) not in harness.answers


def harness_with_priority_class() -> EngineHarness:
    """A harness with an additional class "dear", which has four times the priority weight of the others."""
    harness = make_harness(classes=(*CLASSES, HIGH_PRIORITY))
    harness.update_endpoints(make_endpoint(1), make_endpoint(2))
    return harness


def test_class_of_highest_priority_has_a_larger_burst_and_that_of_lowest_keeps_the_even_share():
    # The burst is 4 for the lowest priority weight and 4 x (1 + 0.25 x 3 / 4) = 4.75 for the highest. The
    # fifth unit exceeds it by 0.25, a delay of 50 ms at 5 units a second.
    harness = harness_with_priority_class()
    assert all(harness.send_request("metered") in harness.sent for _ in range(4))
    delayed = harness.send_request("metered", "dear")
    assert delayed not in harness.sent
    harness.run(51.0)
    assert delayed in harness.sent


def test_excess_beyond_the_burst_is_reserved_for_classes_of_higher_priority():
    # The shortest latency objective is 1000 ms. A delay of the class of lowest priority weight has to be
    # shorter than 100 ms, in which half a unit drains at 5 units a second.
    harness = harness_with_priority_class()
    for _ in range(4):
        harness.send_request("metered")
    assert harness.answers[harness.send_request("metered")] == "Reject"
    harness.run(150.0)
    # With the next request, the excess is a quarter of a unit over the burst.
    assert harness.send_request("metered") not in harness.answers
    assert harness.send_request("metered", "dear") not in harness.answers


# Local quotas below one request: with burst 8 and rate 10 over 60 gateways, each gateway has a burst of
# 0.13 units and drains a request of one unit in 6 s.


def harness_with_share_below_one_request(gateway_set_size: int = 60) -> EngineHarness:
    """A harness of one of 60 gateways, whose customer has a gateway set of this size."""
    harness = EngineHarness(replace(SETTINGS, gateways=60))
    harness.update_endpoints(make_endpoint(1), make_endpoint(2))
    harness.gateway_set_size = gateway_set_size
    return harness


def send_with_share_below_one_request(harness, **request_fields) -> str:
    """Send a request of one unit with the gateway set size of the harness; return its id."""
    harness.request_count += 1
    request_id = f"r{harness.request_count}"
    request = Request(
        request_id, "safe", "metered", "c", 4000.0, 1, harness.gateway_set_size, **request_fields
    )
    harness.handle(request)
    return request_id


@pytest.mark.parametrize(("gateway_set_size", "answer"), [(60, "Reject"), (2, None)])
def test_marked_retry_is_rejected_under_a_share_below_one_request_only(gateway_set_size, answer):
    harness = harness_with_share_below_one_request(gateway_set_size)
    assert harness.answers.get(send_with_share_below_one_request(harness, is_retry=True)) == answer


def test_headroom_of_the_last_usage_report_grows_the_burst_of_a_share_below_one_request():
    harness = harness_with_share_below_one_request()
    # The headroom of 0.6 raises the burst to 1 x (1 + 2 x 0.6) = 2.2 units, unless the report is older
    # than the time in which one request drains, or more than two requests have not drained yet.
    harness.finish(send_with_share_below_one_request(harness), used=40.0)
    harness.run(5000.0)  # longer than four usage periods, shorter than one request takes to drain
    assert send_with_share_below_one_request(harness) in harness.sent
    harness.run(100.0)
    assert harness.answers[send_with_share_below_one_request(harness)] == "Reject", (
        "headroom raised the burst although three requests had arrived in a short time"
    )


def test_share_below_one_request_over_quota_or_without_a_recent_usage_report_has_the_even_burst():
    for usage_percent, wait_ms in ((100.0, 500.0), (40.0, 6100.0)):
        harness = harness_with_share_below_one_request()
        harness.finish(send_with_share_below_one_request(harness), used=usage_percent)
        harness.run(wait_ms)
        second = send_with_share_below_one_request(harness)
        third = send_with_share_below_one_request(harness)
        assert harness.answers[third] == "Reject"
        assert (second in harness.sent) == (wait_ms > 6000.0)  # the first request has drained after 6000 ms


def test_all_gateways_together_forward_little_of_a_customer_far_over_its_quota():
    # Requests for 600 s of the quota reach 60 gateways in 20 s. Half of them are marked as retries, as if
    # another gateway had rejected the request before.
    forwarded = 0
    for index in range(60):
        harness = EngineHarness(replace(SETTINGS, gateways=60, index=index), seed=index)
        harness.update_endpoints(make_endpoint(1), make_endpoint(2))
        harness.gateway_set_size = 60
        for step in range(100):
            request_id = send_with_share_below_one_request(harness, is_retry=step % 2 == 1)
            if request_id in harness.sent:
                harness.finish(request_id, used=300.0)
            harness.run(200.0)
        forwarded += len(harness.sent)
    # Each gateway forwards one request at first, and what drains in 20 s at 10 / 60 units a second.
    assert forwarded <= 60 * (1 + 20 * 10 / 60 + 1)


def harnesses_of_three_gateways(usage_percent: float | None) -> list[EngineHarness]:
    """Harnesses of three gateways with this usage report of a customer that has an in-flight cap of two."""
    harnesses = [
        EngineHarness(replace(SETTINGS, gateways=3, index=index, classes=(*CLASSES, BRIEF)))
        for index in range(3)
    ]
    for harness in harnesses:
        harness.update_endpoints(make_endpoint(1), make_endpoint(2))
        harness.finish(harness.send_request("only-cap", gateway_set_size=3), used=usage_percent)
    return harnesses


def gateways_that_forward(harnesses: list[EngineHarness]) -> list[int]:
    """The indexes of the gateways that forward the customer's request at once; it is finished then."""
    forwarding = []
    for index, harness in enumerate(harnesses):
        request_id = harness.send_request("only-cap", "brief", gateway_set_size=3)
        if request_id in harness.sent:
            forwarding.append(index)
            harness.finish(request_id)
    return forwarding


def test_slots_rotate_under_a_cap_below_the_gateway_set_size_once_it_was_exceeded():
    harnesses = harnesses_of_three_gateways(usage_percent=150.0)
    periods = []
    for _ in range(6):
        periods.append(tuple(gateways_that_forward(harnesses)))
        for harness in harnesses:
            harness.run(1000.0)
    assert all(len(forwarding) == 2 for forwarding in periods)
    assert len(set(periods[:3])) == 3
    assert periods[:3] == periods[3:]


@pytest.mark.parametrize("usage_percent", [None, 100.0])
def test_cap_without_contention_leaves_each_gateway_its_slot(usage_percent):
    harnesses = harnesses_of_three_gateways(usage_percent)
    assert gateways_that_forward(harnesses) == [0, 1, 2]


def test_each_gateway_has_its_slot_again_once_contention_has_expired():
    harnesses = harnesses_of_three_gateways(usage_percent=150.0)
    for harness in harnesses:
        harness.run(10_000.0)
    assert gateways_that_forward(harnesses) == [0, 1, 2]


def test_request_without_a_slot_is_rejected_at_once_unless_the_rotation_gives_one_in_time():
    harness = EngineHarness(replace(SETTINGS, gateways=3, index=2, classes=(*CLASSES, BRIEF)))
    harness.update_endpoints(make_endpoint(1), make_endpoint(2))
    # A rotation period begins at this time, and the last gateway of the set has a slot in the next one.
    harness.now_ms = 3000.0
    harness.finish(harness.send_request("only-cap", gateway_set_size=3), used=150.0)
    # The rotation gives this gateway a slot in 1000 ms, after the latency objective.
    assert harness.send_request("only-cap", "brief", gateway_set_size=3) in harness.answers
    harness.run(800.0)
    queued = harness.send_request("only-cap", "brief", gateway_set_size=3)
    assert queued not in harness.sent
    assert queued not in harness.answers
    harness.run(210.0)
    assert queued in harness.sent


def test_request_that_finds_the_slot_occupied_starts_the_rotation_before_a_usage_report():
    harnesses = harnesses_of_three_gateways(usage_percent=100.0)
    first = [harness.send_request("only-cap", "brief", gateway_set_size=3) for harness in harnesses]
    second = [harness.send_request("only-cap", "brief", gateway_set_size=3) for harness in harnesses]
    assert all(request_id in harness.sent for harness, request_id in zip(harnesses, first, strict=True))
    for harness, request_id in zip(harnesses, first, strict=True):
        harness.finish(request_id)
    assert sum(request_id in harness.sent for harness, request_id in zip(harnesses, second, strict=True)) == 2
    for harness in harnesses:
        harness.run(1000.0)
    for harness, request_id in zip(harnesses, second, strict=True):
        if request_id in harness.sent:
            harness.finish(request_id)
    # No request has found its slot occupied in the last period, so the slots do not rotate any more.
    assert gateways_that_forward(harnesses) == [0, 1, 2]


@dataclass
class InFlightCapSimulation:
    """Simulates random requests of a customer with an in-flight cap and a large gateway set.

    Attributes:
        forwarded_within: Requests forwarded while fewer than the cap were in flight.
        forwarded_beyond: Requests forwarded while the cap was reached or exceeded.
        rejected: Requests that found no free slot at once.
    """

    GATEWAYS: ClassVar[int] = 30
    CAP: ClassVar[int] = 3
    LATENCY_MS: ClassVar[float] = 400.0
    DURATION_MS: ClassVar[float] = 20_000.0
    START_MS: ClassVar[float] = 1000.0  # initial clock time of a harness

    seed: int
    forwarded_within: int = 0
    forwarded_beyond: int = 0
    rejected: int = 0

    def __post_init__(self) -> None:
        plans = (Plan("wide-cap", max_in_flight=self.CAP),)
        self.random = random.Random(self.seed)
        self.in_flight: list[tuple[float, EngineHarness, str]] = []  # end time in ms, harness, request id
        self.most_in_flight = [0] * 40  # largest number in flight, by second
        self.harnesses = [
            EngineHarness(replace(SETTINGS, gateways=self.GATEWAYS, index=index, plans=plans), seed=index)
            for index in range(self.GATEWAYS)
        ]
        for harness in self.harnesses:
            harness.update_endpoints(make_endpoint(1), make_endpoint(2))

    def run(self, mean_interval_ms: float) -> None:
        """Send requests at random times with this mean interval."""
        weights = [1.0 / rank for rank in range(1, self.GATEWAYS + 1)]
        now_ms = 0.0
        while now_ms < self.DURATION_MS:
            now_ms += self.random.expovariate(1.0 / mean_interval_ms)
            self._finish_until(now_ms)
            harness = self.random.choices(self.harnesses, weights)[0]
            self._send_request(harness, now_ms)

    def _finish_until(self, now_ms: float) -> None:
        """Finish the attempts that are due, each with the usage report of the period before the last."""
        due = [attempt for attempt in self.in_flight if attempt[0] <= now_ms]
        for end_ms, harness, request_id in sorted(due, key=lambda attempt: attempt[0]):
            self._advance(harness, end_ms)
            period = int(end_ms // 1000) - 2
            usage_percent = 100.0 * self.most_in_flight[period] / self.CAP if period >= 0 else None
            harness.finish(request_id, used=usage_percent, latency=self.LATENCY_MS)
        self.in_flight = [attempt for attempt in self.in_flight if attempt[0] > now_ms]

    def _send_request(self, harness: EngineHarness, now_ms: float) -> None:
        """Send a request to a gateway, and count it as forwarded or rejected."""
        self._advance(harness, now_ms)
        request_id = harness.send_request("wide-cap", gateway_set_size=self.GATEWAYS)
        if request_id not in harness.sent:
            self.rejected += 1
            return
        self.forwarded_within += len(self.in_flight) < self.CAP
        self.forwarded_beyond += len(self.in_flight) >= self.CAP
        self.in_flight.append((now_ms + self.LATENCY_MS, harness, request_id))
        second = int(now_ms // 1000)
        self.most_in_flight[second] = max(self.most_in_flight[second], len(self.in_flight))

    def _advance(self, harness: EngineHarness, now_ms: float) -> None:
        harness.run(max(0.0, self.START_MS + now_ms - harness.now_ms))


def test_contention_at_a_cap_is_detected_by_each_gateway_of_a_large_set():
    simulation = InFlightCapSimulation(seed=1)
    simulation.run(mean_interval_ms=50.0)  # without the cap, eight requests would be in flight on average
    forwarded = simulation.forwarded_within + simulation.forwarded_beyond
    assert simulation.forwarded_beyond < 0.3 * forwarded


def test_customer_of_a_large_set_without_contention_is_forwarded_under_a_cap():
    simulation = InFlightCapSimulation(seed=1)
    simulation.run(mean_interval_ms=1000.0)
    forwarded = simulation.forwarded_within + simulation.forwarded_beyond
    assert simulation.rejected <= 0.25 * forwarded
