"""Quotas over a fleet of many gateways that do not talk: what each lets pass adds up."""

import heapq
import random
from collections import Counter
from dataclasses import replace

import pytest

from quota_gateway import ExportState, Plan, RestoreState, StateSnapshot
from tests.support.engine_harness import SETTINGS, EngineHarness, make_endpoint

GATEWAYS, SECONDS, TRIES, LATENCY_MS = 80, 30, 4, 300.0
PLANS = (
    Plan("rate", rate=1.4, burst=8.0, excess_cost=1.2),
    Plan("cap", max_in_flight=2, excess_cost=1.2),
)


class Fleet:
    """Many gateways, the meter of all, and clients that come again by another gateway when refused."""

    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan, self.random = plan, random.Random(seed)
        self.rigs = [
            EngineHarness(replace(SETTINGS, gateways=GATEWAYS, index=index, plans=PLANS), seed=index)
            for index in range(GATEWAYS)
        ]
        for rig in self.rigs:
            rig.servers(*(make_endpoint(number) for number in range(1, 9)))
        self.store: dict[str, tuple[float, float]] = {}
        self.out: dict[str, list[float]] = {}
        self.metered: Counter[tuple[str, int]] = Counter()  # units sent in a second, or most attempts out
        self.asked: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()
        self.beyond = 0.0

    def play(self, rates: dict[str, float]) -> None:
        """So many requests a second of two units each, at random gateways."""
        start = max(rig.now for rig in self.rigs) + 1000.0
        events: list[tuple[float, int, str, EngineHarness | None, str]] = [
            (start + 1000.0 * (second + self.random.random()), TRIES, name, None, "")
            for second in range(SECONDS)
            for name, rate in rates.items()
            for _ in range(int(rate) + (self.random.random() < rate % 1.0))
        ]
        heapq.heapify(events)
        while events:
            now, left, name, rig, made = heapq.heappop(events)
            if rig:
                self.finish(now, rig, made, name)
                continue
            rig = self.random.choice(self.rigs)
            rig.run(now - rig.now)
            self.asked[name] += left == TRIES
            made = rig.ask(self.plan.name, customer=name, units=2, gateway_set_size=GATEWAYS)
            if made in rig.sent:
                self.count(name, now)
                heapq.heappush(events, (now + LATENCY_MS, 0, name, rig, made))
            elif left > 1:
                heapq.heappush(events, (now + 100.0, left - 1, name, None, ""))

    def count(self, name: str, now: float) -> None:
        """Take the units of a try that is sent, or a place, or note that it is beyond the quota."""
        self.sent[name] += 1
        second = int(now / 1000.0)
        if self.plan.rate:
            level, then = self.store.get(name, (self.plan.burst, now))
            level = min(self.plan.burst, level + self.plan.rate * (now - then) / 1000.0)
            self.beyond += level < 2.0
            self.store[name] = level - 2.0 * (level >= 2.0), now
            self.metered[name, second] += 2
        else:
            out = self.out[name] = [end for end in self.out.get(name, []) if end > now]
            self.beyond += len(out) >= self.plan.max_in_flight
            out.append(now + LATENCY_MS)
            self.metered[name, second] = max(self.metered[name, second], len(out))

    def finish(self, now: float, rig: EngineHarness, made: str, name: str) -> None:
        """An attempt ends well, with a usage report that is two seconds late."""
        rig.run(now - rig.now)
        limit = self.plan.rate or self.plan.max_in_flight
        rig.finish(made, used=100.0 * self.metered[name, int(now / 1000.0) - 2] / limit, latency=LATENCY_MS)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    ("plan", "most"), [(PLANS[0], 300), (PLANS[1], 1000)]
)  # 420 and 1800 if all may pass
def test_what_gateways_admit_of_unknown_customers_does_not_add_up_to_many_quotas(plan, most, seed):
    fleet = Fleet(plan, seed)
    usual = [f"usual-{number}" for number in range(40)]
    heavy = [f"heavy-{number}" for number in range(6)]
    fleet.play({name: 0.15 for name in usual} | {name: 6.0 if plan.rate else 25.0 for name in heavy})
    assert fleet.beyond <= most
    assert sum(fleet.sent.values()) - fleet.beyond >= 180  # inside quotas; 300 and 480 if all pass
    assert sum(fleet.sent[name] for name in usual) >= 0.25 * sum(fleet.asked[name] for name in usual)


@pytest.mark.parametrize("plan", PLANS)
def test_fleet_whose_customers_keep_their_quotas_comes_to_admit_all(plan):
    fleet = Fleet(plan, 1)
    names = [f"usual-{number}" for number in range(120)]
    for _ in range(4):
        fleet.asked.clear()
        fleet.sent.clear()
        fleet.play({name: 0.15 for name in names})
    assert fleet.beyond <= 5
    assert sum(fleet.sent.values()) >= 0.85 * sum(fleet.asked.values())


def test_admitted_share_is_handed_over_to_a_new_version():
    rig, heir = EngineHarness(replace(SETTINGS, plans=PLANS)), EngineHarness(replace(SETTINGS, plans=PLANS))
    rig.gateway.admission.admitted_shares["cap"] = 0.5
    (estate,) = (action.state for action in rig.do(ExportState()) if isinstance(action, StateSnapshot))
    heir.do(RestoreState(estate))
    assert heir.gateway.admission.admitted_shares["cap"] == 0.5
    older = {name: value for name, value in estate.items() if name != "open"}
    other = EngineHarness(replace(SETTINGS, plans=PLANS))
    other.do(RestoreState(older))  # a version before this one leaves none
    assert other.gateway.has_peer_process
    assert other.gateway.admission.admitted_shares["cap"] < 0.5
