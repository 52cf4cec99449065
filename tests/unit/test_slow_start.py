"""Cold servers under a fleet of gateways that do not talk: what all of them send to one adds up.

The budget N of a window: the tip multiple, times the warmth that the settings promise, times the mean rate
at which the fleet sends to a server, times the window. The rules count capacity in place of the rate; no
gateway knows it, and where servers are not overloaded it is more. A burst is not counted into the rate, as
it makes no server stronger. The warmth is the mean over the window, and the window is whole from the start
on, so that a burst at the start may spend it. Beyond N, 2 x root of N + 2 is chance (STANDING).
"""

import heapq
import random
from bisect import bisect_left, bisect_right
from collections import Counter
from dataclasses import dataclass, replace

import pytest

from quota_gateway import (
    AttemptStatus,
    CancelAttempt,
    EndpointLifecycle,
    EndpointUpdate,
    GatewayLimits,
    Outcome,
    PolicyEngine,
    Request,
    ServiceRules,
    SetTimer,
    StartAttempt,
    TimerFired,
    UpdateKind,
)
from tests.support.engine_harness import SETTINGS, make_endpoint

RULES = ServiceRules(8.0, 500.0, 0.19, 18_000.0, 2.5, 3000.0, 10_000.0)
START = 2500.0  # of the servers that start anew
WORK_MS, CORES, FULL_MS = 50.0, 2, 500.0  # a request's work, and the wait at which servers turn away


@dataclass(frozen=True)
class Case:
    """What a day brings."""

    cold: float = 0.0  # share of the servers that start anew, at least one of them
    within: float = 0.0  # ms from the first start to the last
    late: float = 1000.0  # ms until the last gateway is told
    known: bool = True  # whether gateways knew the server before
    burst: float = 1.0  # by which traffic rises from 2 s to 6 s after the start
    slow: bool = True  # whether a cold server takes longer for each request, or only for more at once
    spread: str = "exp"  # of the work
    bad: float = 0.0  # share of warm servers that fail, and of attempts at cold ones
    load: float = 0.6  # of what all servers can do when warm
    kinds: tuple[str, ...] = ("safe", "keyed-all")


class Server:
    """A server with a queue at each core, slower while it warms up."""

    def __init__(self, number, started, bad):
        self.number, self.started, self.bad = number, started, bad
        self.free = [0.0] * CORES
        self.sent: list[tuple[float, bool]] = []  # when, and whether the gateway had been told


def warmth(age):
    return min(
        1.0,
        RULES.initial_capacity_share
        + (1.0 - RULES.initial_capacity_share) * max(0.0, age) / RULES.warm_up_ms,
    )


class Fleet:
    """Gateways with uneven traffic, and servers that start anew under them."""

    def __init__(self, gateways, servers, case, seed):
        self.case, self.random = case, random.Random(seed)
        self.now, self.order, self.events = 0.0, 0, []
        settings = replace(
            SETTINGS,
            gateways=gateways,
            contract=RULES,
            limits=GatewayLimits(max_attempts=4, can_cancel=True, may_duplicate=True),
            classes=tuple(
                replace(kind, latency_objective_ms=500.0, deadline_ms=1500.0) for kind in SETTINGS.classes
            ),
        )
        self.gateways = [
            PolicyEngine(replace(settings, index=index), self.random.randrange(1 << 30))
            for index in range(gateways)
        ]
        self.told = [{} for _ in self.gateways]  # by server: since when a gateway has known of its start
        cold = max(1, round(case.cold * servers))
        self.servers, self.size = {}, servers
        for number in range(1, servers + 1):
            started = START + case.within * (number - 1) / cold if number <= cold else -1e9
            bad = case.bad if number <= cold else float(number <= cold + case.bad * servers)
            self.servers[number] = Server(number, started, bad)
        self.cold = [server for server in self.servers.values() if server.started >= 0.0]
        self.rate = case.load * servers * CORES / WORK_MS  # requests a ms
        self.shares = [self.random.gammavariate(1.0, 1.0) for _ in self.gateways]
        self.made, self.flights, self.out, self.attempts = 0, {}, {}, Counter()
        if not case.known:
            self.servers |= {-server.number: Server(-server.number, -1e9, 0.0) for server in self.cold}
        before = [
            self.row(number) for number, server in self.servers.items() if case.known or server.started < 0.0
        ]
        for index in range(gateways):
            self.push(0.0, self.tell, index, tuple(before), UpdateKind.SNAPSHOT)
            for server in self.cold:
                told = server.started + case.late * self.random.random()
                row = self.row(server.number, started_ms=server.started)
                self.push(told, self.tell, index, (row,), UpdateKind.DELTA)
                if not case.known:
                    gone = self.row(-server.number, state=EndpointLifecycle.GONE)
                    self.push(told - 1000.0, self.tell, index, (gone,), UpdateKind.DELTA)

    def row(self, number, **more):
        """The endpoint of a server as discovery lists it."""
        return make_endpoint(number, cell=number if self.case.kinds == ("keyed-cell",) else 0, **more)

    def push(self, when, call, *values):
        """Have something happen at a time."""
        self.order += 1
        heapq.heappush(self.events, (when, self.order, call, values))

    def tell(self, index, rows, kind):
        """An endpoint update reaches one gateway."""
        for row in rows:
            if row.started_ms:
                self.told[index][row.server] = self.now
        self.do(index, EndpointUpdate(kind, rows))

    def rate_now(self):
        """Requests per millisecond, more in a burst."""
        return self.rate * (self.case.burst if START + 2000.0 <= self.now < START + 6000.0 else 1.0)

    def arrive(self):
        """A request arrives at one of the gateways, and the next one is planned."""
        self.push(self.now + self.random.expovariate(self.rate_now()), self.arrive)
        self.made += 1
        index = self.random.choices(range(len(self.gateways)), self.shares)[0]
        name = f"r{self.made}"
        exp = self.case.spread == "exp"
        self.flights[name] = self.random.expovariate(1.0) if exp else self.random.lognormvariate(-0.5, 1.0)
        self.do(index, Request(name, self.random.choice(self.case.kinds), "free", "c", 1500.0))

    def do(self, index, event):
        """One event at a gateway, and what it decides on it."""
        for action in self.gateways[index].handle(self.now, event):
            if isinstance(action, SetTimer):
                self.push(self.now + action.delay_ms, self.fire, index, action.token)
            elif isinstance(action, StartAttempt):
                self.send(index, action)
            elif isinstance(action, CancelAttempt):
                self.push(
                    self.now, self.finish, index, (action.request_id, action.attempt), AttemptStatus.CANCELLED
                )

    def fire(self, index, token):
        """A timer of a gateway falls due, unless it was dropped."""
        if token in self.gateways[index].timers.armed:
            self.do(index, TimerFired(token))

    def send(self, index, action):
        """An attempt reaches its server, which fails or serves it."""
        server, name = self.servers[action.server], action.request_id
        work = self.flights[name]
        number = self.attempts[name]
        self.attempts[name] += 1
        self.out[name, number] = server, self.now
        if self.now < server.started:
            self.push(self.now + 1.0, self.finish, index, (name, number), AttemptStatus.CONNECT_FAILED)
            return
        server.sent.append((self.now, server.number in self.told[index]))
        full = server.free[0] - self.now > FULL_MS
        if full or self.random.random() < server.bad:
            status = (
                AttemptStatus.OVERLOADED
                if full
                else self.random.choice((AttemptStatus.OVERLOADED, AttemptStatus.RESET, AttemptStatus.ERROR))
            )
            self.push(self.now + 5.0, self.finish, index, (name, number), status)
            return
        free = heapq.heappop(server.free)
        share = warmth(self.now - server.started)
        begins = max(free, self.now)
        service = WORK_MS * work
        heapq.heappush(server.free, begins + service / share)
        answered = begins + service / (share if self.case.slow else 1.0)
        self.push(answered + 1.0, self.finish, index, (name, number), AttemptStatus.OK)

    def finish(self, index, which, status):
        """The outcome of an attempt reaches its gateway, once."""
        if which in self.out:
            server, sent = self.out.pop(which)
            self.do(
                index, Outcome(*which, server.number, status, self.now - sent, status is AttemptStatus.OK)
            )

    def play(self, end):
        """Let everything happen up to a time."""
        self.push(0.0, self.arrive)
        while self.events and self.events[0][0] <= end:
            self.now, _, call, values = heapq.heappop(self.events)
            call(*values)
        return self

    def budget(self, age):
        """Requests that a server may be sent in a window that ends at this age."""
        mean = (warmth(age - RULES.overload_window_ms) + warmth(age)) / 2.0
        return RULES.overload_factor * mean * RULES.overload_window_ms * self.rate / self.size

    def worst(self):
        """The largest part of a window's budget and chance that gateways told of the start sent."""
        worst = 0.0
        for server in self.cold:
            sent = [when for when, told in server.sent if told]
            for last, when in enumerate(sent):
                budget = self.budget(when - server.started)
                many = last + 1 - bisect_right(sent, when - RULES.overload_window_ms)
                worst = max(worst, many / (budget + 2.0 * budget**0.5 + 2.0))
        return worst

    def part(self, age, gateway_set_size=4000.0):
        """What cold servers are sent at this age, as a share of their part by warmth of all that is sent."""
        got = due = 0.0
        fleet = [server for number, server in self.servers.items() if number > 0]
        for server in self.cold:
            low, high = (
                server.started + age - gateway_set_size / 2.0,
                server.started + age + gateway_set_size / 2.0,
            )
            many = [bisect_left(other.sent, (high,)) - bisect_left(other.sent, (low,)) for other in fleet]
            warm = sum(warmth(server.started + age - other.started) for other in fleet)
            got += many[fleet.index(server)]
            due += sum(many) * warmth(age) / warm
        return got / due


CASES = {
    "one": Case(burst=1.5),
    "quick by chance": Case(slow=False, spread="lognormal", burst=1.5),
    "late lists": Case(late=6000.0, burst=1.5),
    "further attempts": Case(bad=0.125, burst=1.5),
    "own cells": Case(bad=0.5, kinds=("keyed-cell",), burst=1.5),
    "a third at once": Case(cold=0.33, load=0.5, burst=1.5),
    "a release": Case(cold=0.6, within=7000.0, known=False, slow=False, load=0.5, burst=1.5),
    "all at once": Case(cold=1.0, load=0.5, burst=1.5),
}
SIZES = [(5, 11), (20, 11), (30, 11), (200, 22)]  # of more than twenty servers, some are compared


def fleets(gateways, servers, case, end):
    return [Fleet(gateways, servers, case, seed).play(end) for seed in ((1, 2) if gateways < 200 else (1,))]


@pytest.mark.parametrize("case", CASES)
@pytest.mark.parametrize(("gateways", "servers"), SIZES)
def test_all_gateways_together_stay_within_the_overload_budget_of_a_warming_endpoint(gateways, servers, case):
    assert max(fleet.worst() for fleet in fleets(gateways, servers, CASES[case], START + 7000.0)) <= 1.0


@pytest.mark.parametrize("case", ["one", "a third at once"])
@pytest.mark.parametrize(("gateways", "servers"), SIZES)
def test_warming_endpoint_carries_its_share_while_it_warms_up(gateways, servers, case):
    played = fleets(gateways, servers, replace(CASES[case], burst=1.0), START + 12_000.0)
    parts = [sum(fleet.part(age) for fleet in played) / len(played) for age in (4000.0, 7000.0, 10_000.0)]
    assert sum(parts) / len(parts) >= 0.8
    assert min(parts) >= 0.6
