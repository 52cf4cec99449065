"""Quotas over a fleet of gateways that do not communicate: bounds on what all of them forward together."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field, replace

import pytest

from quota_gateway import ExportState, Plan, RestoreState, StateSnapshot
from tests.support.engine_harness import SETTINGS, EngineHarness, make_endpoint

GATEWAYS = 80
SERVERS = 8
DURATION_S = 30
MAX_ATTEMPTS = 4  # attempts of a client per request, if gateways reject it each time
RETRY_AFTER_MS = 100.0
LATENCY_MS = 300.0
REQUEST_UNITS = 2
USAGE_REPORT_DELAY_S = 2

RATE_PLAN = Plan("rate", rate=1.4, burst=8.0, excess_cost=1.2)
CAP_PLAN = Plan("cap", max_in_flight=2, excess_cost=1.2)
PLANS = (RATE_PLAN, CAP_PLAN)


@dataclass(frozen=True, order=True)
class FleetEvent:
    """A request that reaches a random gateway, or the end of one that a gateway forwarded.

    Attributes:
        time_ms: Time of the event in milliseconds.
        attempts_left: How many attempts the client has left, with this one; 0 for the end of a request.
        customer: The customer that sends the request.
        request_id: The id of the request that ends; empty for a new request.
        harness: The gateway that forwarded the request that ends; None for a new request.
    """

    time_ms: float
    attempts_left: int
    customer: str
    request_id: str = ""
    harness: EngineHarness | None = field(default=None, compare=False)


class Fleet:
    """Simulates many gateways, usage reports over all of them, and clients that retry rejected requests.

    Attributes:
        requested: Requests of each customer, without retries.
        forwarded: Requests of each customer that a gateway forwarded.
        beyond_quota: How many forwarded requests were beyond the quota of their customer.
    """

    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan = plan
        self.random = random.Random(seed)
        self.harnesses = [
            EngineHarness(replace(SETTINGS, gateways=GATEWAYS, index=index, plans=PLANS), seed=index)
            for index in range(GATEWAYS)
        ]
        for harness in self.harnesses:
            harness.update_endpoints(*(make_endpoint(number) for number in range(1, SERVERS + 1)))
        self.requested: Counter[str] = Counter()
        self.forwarded: Counter[str] = Counter()
        self.beyond_quota = 0
        self._token_buckets: dict[str, tuple[float, float]] = {}  # units left and time in ms, by customer
        self._ends_in_flight: dict[str, list[float]] = {}
        self._usage: Counter[tuple[str, int]] = Counter()  # units or most in flight, by customer and second
        self._events: list[FleetEvent] = []

    def run(self, rates: dict[str, float]) -> None:
        """Simulate requests of each customer, at its rate a second, at random times and random gateways."""
        start_ms = max(harness.now_ms for harness in self.harnesses) + 1000.0
        self._events = [
            FleetEvent(start_ms + 1000.0 * (second + self.random.random()), MAX_ATTEMPTS, customer)
            for second in range(DURATION_S)
            for customer, rate in rates.items()
            for _ in range(int(rate) + (self.random.random() < rate % 1.0))
        ]
        heapq.heapify(self._events)
        while self._events:
            event = heapq.heappop(self._events)
            if event.harness:
                self._finish(event, event.harness)
            else:
                self._send_request(event)

    def _send_request(self, event: FleetEvent) -> None:
        """Send a request to a random gateway; schedule its end, or a retry if it is rejected."""
        harness = self.random.choice(self.harnesses)
        harness.run(event.time_ms - harness.now_ms)
        customer = event.customer
        self.requested[customer] += event.attempts_left == MAX_ATTEMPTS
        request_id = harness.send_request(
            self.plan.name, customer=customer, units=REQUEST_UNITS, gateway_set_size=GATEWAYS
        )
        if request_id in harness.sent:
            self._count_forwarded(customer, event.time_ms)
            end = FleetEvent(event.time_ms + LATENCY_MS, 0, customer, request_id, harness)
            heapq.heappush(self._events, end)
        elif event.attempts_left > 1:
            retry = FleetEvent(event.time_ms + RETRY_AFTER_MS, event.attempts_left - 1, customer)
            heapq.heappush(self._events, retry)

    def _count_forwarded(self, customer: str, now_ms: float) -> None:
        """Count a forwarded request against the quota of its customer, in units or in requests in flight."""
        self.forwarded[customer] += 1
        if self.plan.rate:
            self._take_units(customer, now_ms)
        else:
            self._take_slot(customer, now_ms)

    def _take_units(self, customer: str, now_ms: float) -> None:
        units, counted_at_ms = self._token_buckets.get(customer, (self.plan.burst, now_ms))
        refilled = units + self.plan.rate * (now_ms - counted_at_ms) / 1000.0
        units = min(self.plan.burst, refilled)
        if units < REQUEST_UNITS:
            self.beyond_quota += 1
        else:
            units -= REQUEST_UNITS
        self._token_buckets[customer] = units, now_ms
        self._usage[customer, int(now_ms / 1000.0)] += REQUEST_UNITS

    def _take_slot(self, customer: str, now_ms: float) -> None:
        in_flight = [end_ms for end_ms in self._ends_in_flight.get(customer, []) if end_ms > now_ms]
        self.beyond_quota += len(in_flight) >= self.plan.max_in_flight
        in_flight.append(now_ms + LATENCY_MS)
        self._ends_in_flight[customer] = in_flight
        second = int(now_ms / 1000.0)
        self._usage[customer, second] = max(self._usage[customer, second], len(in_flight))

    def _finish(self, event: FleetEvent, harness: EngineHarness) -> None:
        """Finish a request successfully, with a usage report of an earlier second."""
        harness.run(event.time_ms - harness.now_ms)
        reported_second = int(event.time_ms / 1000.0) - USAGE_REPORT_DELAY_S
        quota = self.plan.rate or self.plan.max_in_flight
        usage_percent = 100.0 * self._usage[event.customer, reported_second] / quota
        harness.finish(event.request_id, used=usage_percent, latency=LATENCY_MS)


@pytest.mark.parametrize("seed", [1, 2, 3])
# If gateways admitted all requests of unknown customers, about 420 (rate) and 1800 (in-flight cap) would be
# forwarded beyond the quota, and about 300 and 480 within it.
@pytest.mark.parametrize(("plan", "most_beyond_quota"), [(RATE_PLAN, 300), (CAP_PLAN, 1000)])
def test_requests_forwarded_for_unknown_customers_do_not_add_up_to_many_quotas(plan, most_beyond_quota, seed):
    fleet = Fleet(plan, seed)
    usual = [f"usual-{number}" for number in range(40)]
    heavy = [f"heavy-{number}" for number in range(6)]
    heavy_rate = 6.0 if plan.rate else 25.0
    fleet.run(dict.fromkeys(usual, 0.15) | dict.fromkeys(heavy, heavy_rate))
    assert fleet.beyond_quota <= most_beyond_quota
    within_quota = sum(fleet.forwarded.values()) - fleet.beyond_quota
    assert within_quota >= 180
    usual_requested = sum(fleet.requested[customer] for customer in usual)
    usual_forwarded = sum(fleet.forwarded[customer] for customer in usual)
    assert usual_forwarded >= 0.25 * usual_requested


@pytest.mark.parametrize("plan", PLANS)
def test_fleet_learns_to_forward_most_requests_of_customers_within_their_quotas(plan):
    fleet = Fleet(plan, 1)
    customers = [f"usual-{number}" for number in range(120)]
    for _ in range(4):
        fleet.requested.clear()
        fleet.forwarded.clear()
        fleet.run(dict.fromkeys(customers, 0.15))
    assert fleet.beyond_quota <= 5
    assert sum(fleet.forwarded.values()) >= 0.85 * sum(fleet.requested.values())


def make_fleet_member() -> EngineHarness:
    """A harness with the plans of the fleet."""
    return EngineHarness(replace(SETTINGS, plans=PLANS))


def export_state(harness: EngineHarness) -> dict[str, object]:
    """The state snapshot that a harness hands over."""
    actions = harness.handle(ExportState())
    (state,) = (action.state for action in actions if isinstance(action, StateSnapshot))
    return state


def test_admitted_share_is_handed_over_to_the_next_process():
    previous_process = make_fleet_member()
    previous_process.engine.mechanisms.unknown_customers.admitted_shares["cap"] = 0.5
    state = export_state(previous_process)
    next_process = make_fleet_member()
    next_process.handle(RestoreState(state))
    assert next_process.engine.mechanisms.unknown_customers.admitted_shares["cap"] == 0.5
    older_state = {name: value for name, value in state.items() if name != "open"}
    upgraded_process = make_fleet_member()
    upgraded_process.handle(RestoreState(older_state))  # older versions hand over no shares
    assert upgraded_process.engine.has_peer_process
    assert upgraded_process.engine.mechanisms.unknown_customers.admitted_shares["cap"] < 0.5
