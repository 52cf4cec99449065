"""Slow start under a fleet of independent gateways: the load that all of them send to one warming endpoint.

The overload budget N of a window is the overload factor, times the capacity share that the settings promise,
times the mean rate at which the fleet sends to a server, times the window. The service rules use the
capacity of a server instead of that rate. Gateways do not know the capacity; it is higher than the rate as
long as servers are not overloaded. A burst does not count as part of the rate, as it adds no capacity to a
server. The capacity share is the mean over the window. The window has its full length from the start of a
server on, so a burst at the start may use the whole budget. Beyond N, 2 x sqrt(N) + 2 is allowed for random
variation.
"""

import heapq
import random
from bisect import bisect_left, bisect_right
from collections import Counter
from dataclasses import dataclass, replace
from typing import NamedTuple

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
LATENCY_OBJECTIVE_MS = 500.0
DEADLINE_MS = 1500.0

FIRST_RESTART_MS = 2500.0
STARTED_LONG_AGO_MS = -1e9
BURST_BEGINS_MS = FIRST_RESTART_MS + 2000.0
BURST_ENDS_MS = FIRST_RESTART_MS + 6000.0

MEAN_WORK_MS = 50.0  # mean time that one request occupies a core of a warm server
CORES_PER_SERVER = 2
MAX_QUEUE_MS = 500.0  # a server with a longer queue rejects attempts as overloaded
FAILURE_STATUSES = (AttemptStatus.OVERLOADED, AttemptStatus.RESET, AttemptStatus.ERROR)


@dataclass(frozen=True)
class Scenario:
    """The restarts, faults and traffic of one simulated run.

    Attributes:
        restarting_share: Share of the servers that restart, which is at least one server.
        restart_span_ms: Time from the first restart to the last.
        max_notification_delay_ms: Longest time from a restart until a gateway is notified of it.
        known_before: Whether gateways know a server before its restart; if not, it replaces another one.
        burst_factor: Factor by which traffic rises from 2 s to 6 s after the first restart.
        slow_while_warming: Whether a warming server is slower for each request, or only for several at once.
        work_distribution: Distribution of the work of a request, exponential or lognormal.
        failing_share: Share of the warm servers that fail all attempts, and share of the attempts that each
            restarting server fails.
        load: Traffic without the burst, as a share of the capacity of all servers when warm.
        class_names: Request classes, of which each request gets a random one.
    """

    restarting_share: float = 0.0
    restart_span_ms: float = 0.0
    max_notification_delay_ms: float = 1000.0
    known_before: bool = True
    burst_factor: float = 1.0
    slow_while_warming: bool = True
    work_distribution: str = "exponential"
    failing_share: float = 0.0
    load: float = 0.6
    class_names: tuple[str, ...] = ("safe", "keyed-all")


class ReceivedAttempt(NamedTuple):
    """An attempt as a server received it."""

    time_ms: float
    gateway_was_notified: bool  # the sending gateway knew of the restart of the server


class Server:
    """A server with one queue per core, slower while it warms up."""

    def __init__(self, number, started_ms, failure_rate):
        self.number = number
        self.started_ms = started_ms
        self.failure_rate = failure_rate
        self.core_free_at_ms = [0.0] * CORES_PER_SERVER
        self.received: list[ReceivedAttempt] = []


def capacity_share(age_ms):
    """The share of its full capacity that a server has at this age."""
    initial = RULES.initial_capacity_share
    return min(1.0, initial + (1.0 - initial) * max(0.0, age_ms) / RULES.warm_up_ms)


def make_settings(gateway_count):
    """The settings of one gateway in a fleet of this size."""
    classes = tuple(
        replace(request_class, latency_objective_ms=LATENCY_OBJECTIVE_MS, deadline_ms=DEADLINE_MS)
        for request_class in SETTINGS.classes
    )
    return replace(
        SETTINGS,
        gateways=gateway_count,
        service_rules=RULES,
        limits=GatewayLimits(max_attempts=4, can_cancel=True, may_duplicate=True),
        classes=classes,
    )


class Fleet:
    """A discrete-event simulation of gateways with uneven traffic, and of servers that restart."""

    def __init__(self, gateway_count, server_count, scenario, seed):
        self.scenario = scenario
        self.random = random.Random(seed)
        self.now_ms = 0.0
        self.event_count = 0
        self.events = []
        settings = make_settings(gateway_count)
        self.gateways = [
            PolicyEngine(replace(settings, index=index), self.random.randrange(1 << 30))
            for index in range(gateway_count)
        ]
        self.notified_at_ms = [{} for _ in self.gateways]  # notification times by gateway and server
        self.server_count = server_count
        self.servers = self.make_servers()
        self.restarting = [server for server in self.servers.values() if server.started_ms >= 0.0]
        self.requests_per_ms = scenario.load * server_count * CORES_PER_SERVER / MEAN_WORK_MS
        self.traffic_weights = [self.random.gammavariate(1.0, 1.0) for _ in self.gateways]
        self.request_count = 0
        self.relative_work = {}  # work of each request as a multiple of the mean
        self.in_flight = {}  # server and start time, by request and attempt
        self.attempt_counts = Counter()
        if not scenario.known_before:
            self.add_replaced_servers()
        self.schedule_endpoint_updates()

    def make_servers(self):
        """All servers by number; those with the lowest numbers restart."""
        scenario = self.scenario
        restarting = max(1, round(scenario.restarting_share * self.server_count))
        failing = scenario.failing_share * self.server_count
        servers = {}
        for number in range(1, self.server_count + 1):
            if number <= restarting:
                started_ms = FIRST_RESTART_MS + scenario.restart_span_ms * (number - 1) / restarting
                failure_rate = scenario.failing_share
            else:
                started_ms = STARTED_LONG_AGO_MS
                failure_rate = float(number <= restarting + failing)
            servers[number] = Server(number, started_ms, failure_rate)
        return servers

    def add_replaced_servers(self):
        """Add the server that each restarting one replaces, under its negative number."""
        for server in self.restarting:
            self.servers[-server.number] = Server(-server.number, STARTED_LONG_AGO_MS, 0.0)

    def schedule_endpoint_updates(self):
        """Schedule the first snapshot of each gateway and its notification of each restart."""
        initial = tuple(
            self.endpoint(number)
            for number, server in self.servers.items()
            if self.scenario.known_before or server.started_ms < 0.0
        )
        for index in range(len(self.gateways)):
            self.schedule(0.0, self.update_endpoints, index, initial, UpdateKind.SNAPSHOT)
            for server in self.restarting:
                self.schedule_restart_notification(index, server)

    def schedule_restart_notification(self, index, server):
        """Schedule the update by which one gateway is notified of a restart."""
        delay_ms = self.scenario.max_notification_delay_ms * self.random.random()
        notified_ms = server.started_ms + delay_ms
        restarted = self.endpoint(server.number, started_ms=server.started_ms)
        self.schedule(notified_ms, self.update_endpoints, index, (restarted,), UpdateKind.DELTA)
        if not self.scenario.known_before:
            gone = self.endpoint(-server.number, state=EndpointLifecycle.GONE)
            self.schedule(notified_ms - 1000.0, self.update_endpoints, index, (gone,), UpdateKind.DELTA)

    def endpoint(self, number, **fields):
        """The endpoint of a server as discovery lists it."""
        has_own_cell = self.scenario.class_names == ("keyed-cell",)
        return make_endpoint(number, cell=number if has_own_cell else 0, **fields)

    def schedule(self, time_ms, callback, *arguments):
        """Schedule a call; calls of the same time run in the order of their scheduling."""
        self.event_count += 1
        heapq.heappush(self.events, (time_ms, self.event_count, callback, arguments))

    def update_endpoints(self, index, endpoints, kind):
        """Deliver an endpoint update to one gateway."""
        for endpoint in endpoints:
            if endpoint.started_ms:
                self.notified_at_ms[index][endpoint.server] = self.now_ms
        self.handle(index, EndpointUpdate(kind, endpoints))

    def present_requests_per_ms(self):
        """The current rate of arrivals, which is higher during the burst."""
        if BURST_BEGINS_MS <= self.now_ms < BURST_ENDS_MS:
            return self.requests_per_ms * self.scenario.burst_factor
        return self.requests_per_ms

    def arrive(self):
        """Send a new request to one of the gateways, and schedule the next arrival."""
        interval_ms = self.random.expovariate(self.present_requests_per_ms())
        self.schedule(self.now_ms + interval_ms, self.arrive)
        self.request_count += 1
        index = self.random.choices(range(len(self.gateways)), self.traffic_weights)[0]
        request_id = f"r{self.request_count}"
        self.relative_work[request_id] = self.draw_relative_work()
        class_name = self.random.choice(self.scenario.class_names)
        self.handle(index, Request(request_id, class_name, "free", "c", DEADLINE_MS))

    def draw_relative_work(self):
        """The work of a new request, as a multiple of the mean."""
        if self.scenario.work_distribution == "exponential":
            return self.random.expovariate(1.0)
        return self.random.lognormvariate(-0.5, 1.0)

    def handle(self, index, event):
        """Give one event to a gateway and carry out its actions."""
        for action in self.gateways[index].handle(self.now_ms, event):
            if isinstance(action, SetTimer):
                self.schedule(self.now_ms + action.delay_ms, self.fire_timer, index, action.token)
            elif isinstance(action, StartAttempt):
                self.start_attempt(index, action)
            elif isinstance(action, CancelAttempt):
                attempt = (action.request_id, action.attempt)
                self.schedule(self.now_ms, self.end_attempt, index, attempt, AttemptStatus.CANCELLED)

    def fire_timer(self, index, token):
        """Fire a timer of a gateway, unless it was cancelled."""
        if token in self.gateways[index].timers.armed:
            self.handle(index, TimerFired(token))

    def start_attempt(self, index, action):
        """Deliver an attempt to its server, and schedule the outcome."""
        server = self.servers[action.server]
        attempt = (action.request_id, self.attempt_counts[action.request_id])
        self.attempt_counts[action.request_id] += 1
        self.in_flight[attempt] = server, self.now_ms
        if self.now_ms < server.started_ms:
            self.schedule(self.now_ms + 1.0, self.end_attempt, index, attempt, AttemptStatus.CONNECT_FAILED)
            return
        was_notified = server.number in self.notified_at_ms[index]
        server.received.append(ReceivedAttempt(self.now_ms, was_notified))
        failure = self.draw_failure(server)
        if failure is not None:
            self.schedule(self.now_ms + 5.0, self.end_attempt, index, attempt, failure)
            return
        answered_ms = self.serve(server, MEAN_WORK_MS * self.relative_work[action.request_id])
        self.schedule(answered_ms + 1.0, self.end_attempt, index, attempt, AttemptStatus.OK)

    def draw_failure(self, server):
        """The status with which a server fails an attempt that it has just received; None if it serves it."""
        if server.core_free_at_ms[0] - self.now_ms > MAX_QUEUE_MS:
            return AttemptStatus.OVERLOADED
        if self.random.random() < server.failure_rate:
            return self.random.choice(FAILURE_STATUSES)
        return None

    def serve(self, server, work_ms):
        """Occupy the core that is free first; return the clock time of the answer."""
        core_free_at_ms = heapq.heappop(server.core_free_at_ms)
        share = capacity_share(self.now_ms - server.started_ms)
        begins_ms = max(core_free_at_ms, self.now_ms)
        heapq.heappush(server.core_free_at_ms, begins_ms + work_ms / share)
        return begins_ms + work_ms / (share if self.scenario.slow_while_warming else 1.0)

    def end_attempt(self, index, attempt, status):
        """Deliver the outcome of an attempt to its gateway, unless the attempt has ended already."""
        if attempt not in self.in_flight:
            return
        server, started_ms = self.in_flight.pop(attempt)
        latency_ms = self.now_ms - started_ms
        is_final = status is AttemptStatus.OK
        self.handle(index, Outcome(*attempt, server.number, status, latency_ms, is_final))

    def run(self, end_ms):
        """Run all events up to a time; return the fleet itself."""
        self.schedule(0.0, self.arrive)
        while self.events and self.events[0][0] <= end_ms:
            self.now_ms, _, callback, arguments = heapq.heappop(self.events)
            callback(*arguments)
        return self

    def overload_budget(self, age_ms):
        """The number of attempts that a server may receive in an overload window that ends at this age."""
        window_ms = RULES.overload_window_ms
        mean_share = (capacity_share(age_ms - window_ms) + capacity_share(age_ms)) / 2.0
        return RULES.overload_factor * mean_share * window_ms * self.requests_per_ms / self.server_count

    def largest_budget_use(self):
        """The largest share of an overload budget, with its allowance, that notified gateways have used."""
        largest = 0.0
        for server in self.restarting:
            times_ms = [attempt.time_ms for attempt in server.received if attempt.gateway_was_notified]
            for last, time_ms in enumerate(times_ms):
                budget = self.overload_budget(time_ms - server.started_ms)
                in_window = last + 1 - bisect_right(times_ms, time_ms - RULES.overload_window_ms)
                largest = max(largest, in_window / (budget + 2.0 * budget**0.5 + 2.0))
        return largest

    def share_of_fair_load(self, age_ms, window_ms=4000.0):
        """Load of the warming servers at this age, relative to a load in proportion to capacity shares."""
        actual_load = fair_load = 0.0
        listed = [server for number, server in self.servers.items() if number > 0]
        for server in self.restarting:
            middle_ms = server.started_ms + age_ms
            begin_ms = middle_ms - window_ms / 2.0
            end_ms = middle_ms + window_ms / 2.0
            loads = [count_received(other, begin_ms, end_ms) for other in listed]
            total_capacity = sum(capacity_share(middle_ms - other.started_ms) for other in listed)
            actual_load += loads[listed.index(server)]
            fair_load += sum(loads) * capacity_share(age_ms) / total_capacity
        return actual_load / fair_load


def count_received(server, begin_ms, end_ms):
    """How many attempts a server received from a time on until before another time."""
    return bisect_left(server.received, (end_ms,)) - bisect_left(server.received, (begin_ms,))


SCENARIOS = {
    "one": Scenario(burst_factor=1.5),
    "fast by chance": Scenario(slow_while_warming=False, work_distribution="lognormal", burst_factor=1.5),
    "late endpoint updates": Scenario(max_notification_delay_ms=6000.0, burst_factor=1.5),
    "retries": Scenario(failing_share=0.125, burst_factor=1.5),
    "own cells": Scenario(failing_share=0.5, class_names=("keyed-cell",), burst_factor=1.5),
    "a third at once": Scenario(restarting_share=0.33, load=0.5, burst_factor=1.5),
    "rolling release": Scenario(
        restarting_share=0.6,
        restart_span_ms=7000.0,
        known_before=False,
        slow_while_warming=False,
        load=0.5,
        burst_factor=1.5,
    ),
    "all at once": Scenario(restarting_share=1.0, load=0.5, burst_factor=1.5),
}
# Numbers of gateways and of servers. Of more than twenty servers, a gateway compares a sample.
FLEET_SIZES = [(5, 11), (20, 11), (30, 11), (200, 22)]
LARGE_FLEET_GATEWAYS = 200  # fleets with at least this many gateways run with one seed


def run_fleets(gateways, servers, scenario, end_ms):
    """Run a scenario once for each seed; return the fleets."""
    seeds = (1, 2) if gateways < LARGE_FLEET_GATEWAYS else (1,)
    return [Fleet(gateways, servers, scenario, seed).run(end_ms) for seed in seeds]


@pytest.mark.parametrize("scenario", SCENARIOS)
@pytest.mark.parametrize(("gateways", "servers"), FLEET_SIZES)
def test_all_gateways_together_stay_within_the_overload_budget_of_a_warming_endpoint(
    gateways, servers, scenario
):
    fleets = run_fleets(gateways, servers, SCENARIOS[scenario], FIRST_RESTART_MS + 7000.0)
    assert max(fleet.largest_budget_use() for fleet in fleets) <= 1.0


@pytest.mark.parametrize("scenario", ["one", "a third at once"])
@pytest.mark.parametrize(("gateways", "servers"), FLEET_SIZES)
def test_warming_endpoint_carries_its_share_while_it_warms_up(gateways, servers, scenario):
    without_burst = replace(SCENARIOS[scenario], burst_factor=1.0)
    fleets = run_fleets(gateways, servers, without_burst, FIRST_RESTART_MS + 12_000.0)
    shares = [
        sum(fleet.share_of_fair_load(age_ms) for fleet in fleets) / len(fleets)
        for age_ms in (4000.0, 7000.0, 10_000.0)
    ]
    assert sum(shares) / len(shares) >= 0.8
    assert min(shares) >= 0.6
