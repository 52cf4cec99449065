"""Hollow gateways: the watch and the decisions of a real one without clients, many to a process.

Beside them two measures that are taken inside a process: how long the loop stands still while news is
read, and what the decisions alone cost by servers, customers and routes.
"""

from __future__ import annotations

import asyncio
import gc
import heapq
import random
import time
from collections import Counter
from dataclasses import replace
from itertools import count
from typing import Any

import psutil

from quota_gateway import model as api
from quota_gateway.net.address import Address
from quota_gateway.net.discovery_client import DiscoveryClient
from quota_gateway.net.driver import ActiveRequest, Clock, Driver
from quota_gateway.net.endpoint_registry import EndpointRegistry
from quota_gateway.net.endpoint_row import RegistryChange
from quota_gateway.net.upstream_pool import UpstreamPool
from quota_gateway.policy.engine import PolicyEngine
from quota_gateway.settings_format import settings_from_document
from scale.config import zones
from scale.load import arrivals, encode

CLASS, PLAN, DEADLINE_MS = "class-0", "plan", 2_000.0
DESCRIPTORS, HELD = 64, 1 << 20
START_GAP_S = 0.002  # between two that start
LATENCY_MS = 5.0  # of a server, as the decisions are told
NS_PER_MS = 1e6


def _ignore(*_: object) -> None:
    """Nobody has to hear of it."""


class Versions(EndpointRegistry):
    """A roster that keeps nothing but the version: for gateways that only hold the watch."""

    def read(self, document: Any, is_cached: bool = False) -> RegistryChange:
        return RegistryChange(api.EndpointUpdate(api.UpdateKind.DELTA, (), int(document["generation"])), {})


class Hollow:
    """One hollow gateway; notes when each version was in force, on the monotonic clock."""

    def __init__(self, settings: api.Settings | None, seed: int) -> None:
        self.driver: Driver | None = None
        if settings is None:
            self.discovery = DiscoveryClient(Versions(), self._news, _ignore, seed)
        else:
            gateway = PolicyEngine(settings, seed)
            self.discovery = DiscoveryClient(EndpointRegistry(gateway.subset), self._news, _ignore, seed)
            self.servers = UpstreamPool(settings, DESCRIPTORS, HELD)
            self.driver = Driver(gateway, self.servers, Clock(), _ignore)
        self.heard: list[tuple[int, float]] = []

    def _news(self, listing: api.EndpointUpdate, addresses: dict[int, Address]) -> None:
        if self.driver:
            self.servers.update(listing, addresses)
            self.driver.post(listing)
        self.heard.append((listing.version, time.monotonic()))


class Probe:
    """How long the loop did not turn, at most: wall time, and the processor time of its thread, both in ms.

    It turns the loop all the time it is on. Where others use the machine too, the processor time is what
    the loop itself was held by.
    """

    def __init__(self) -> None:
        self.on = False
        self.wall_ns = self.cpu_ns = 0

    def begin(self) -> None:
        """Watch from now on."""
        self.on, self.wall_ns, self.cpu_ns = True, 0, 0
        self._turn(time.monotonic_ns(), time.thread_time_ns())

    def _turn(self, wall: int, cpu: int) -> None:
        now, spent = time.monotonic_ns(), time.thread_time_ns()
        self.wall_ns, self.cpu_ns = max(self.wall_ns, now - wall), max(self.cpu_ns, spent - cpu)
        if self.on:
            asyncio.get_running_loop().call_soon(self._turn, now, spent)

    def end(self) -> dict[str, float]:
        """Stop; the longest stalls."""
        self.on = False
        return {"wall_ms": self.wall_ns / NS_PER_MS, "cpu_ms": self.cpu_ns / NS_PER_MS}


class Hollows:
    """Many hollow gateways. The role of a child; its methods are the parent's calls."""

    def __init__(self, document: dict[str, Any], kind: str, first: int, number: int, zone_count: int) -> None:
        settings, names = settings_from_document(document), zones(zone_count)
        self.all = []
        for index in range(first, first + number):
            own = replace(settings, index=index % settings.gateways, zone=names[index % zone_count])
            self.all.append(Hollow(own if kind == "gateway" else None, index))
        self.probe = Probe()

    async def start(self) -> None:
        """Nothing to listen on."""

    async def watch(self, port: int) -> None:
        """Begin all watches, a little apart."""
        for hollow in self.all:
            hollow.discovery.watch(("127.0.0.1", port))
            await asyncio.sleep(START_GAP_S)

    async def heard(self, version: int, within_s: float) -> dict[str, Any]:
        """How many have this version or a later one by then; it returns as soon as all have."""
        until = time.monotonic() + within_s
        while (have := self._have(version)) < len(self.all) and time.monotonic() < until:
            await asyncio.sleep(0.05)
        return {"have": have, "of": len(self.all)}

    def _have(self, version: int) -> int:
        return sum(bool(hollow.heard) and hollow.heard[-1][0] >= version for hollow in self.all)

    async def told(self) -> dict[str, Any]:
        """For each gateway what it heard since the last call: versions, and when each was in force, in s."""
        heard = [hollow.heard for hollow in self.all]
        for hollow in self.all:
            hollow.heard = hollow.heard[-1:]
        return {"heard": heard}

    async def ask(self, rate: float, seconds: float, seed: int, tenants: int, skew: float) -> dict[str, int]:
        """So many requests a second at each gateway, without clients' sockets; what became of them.

        They come by chance at any of the gateways here, of customers by Zipf.
        """
        results: Counter[str] = Counter()
        source, start = random.Random(f"hollow {seed}"), time.monotonic()
        drivers = [hollow.driver for hollow in self.all if hollow.driver]
        for number, arrival in enumerate(arrivals(seed, rate * len(drivers), seconds, tenants, skew)):
            await asyncio.sleep(max(0.0, start + arrival.due_s - time.monotonic()))
            command, name = encode(CLASS, PLAN, DEADLINE_MS, arrival.tenant, number, 1), f"{seed}-{number}"
            call = ActiveRequest(
                name,
                lambda left_ms, command=command: command,  # type: ignore[misc]
                lambda answer: results.update([answer[:5].decode("latin-1").strip()]),
            )
            request = api.Request(name, CLASS, PLAN, f"{arrival.tenant:016x}", DEADLINE_MS)
            source.choice(drivers).submit(call, request, DEADLINE_MS)
        await asyncio.sleep(DEADLINE_MS / 1000.0)
        served = sum(number for word, number in results.items() if word.startswith("$"))
        refused = results["-BUSY"]
        return {"served": served, "refused": refused, "failed": results.total() - served - refused}

    async def probe_begin(self) -> None:
        """Watch the loop from now on."""
        self.probe.begin()

    async def probe_end(self) -> dict[str, float]:
        """The longest stalls since then."""
        return self.probe.end()


class Module:
    """The decisions alone, without sockets, on a clock of their own. The role of a child."""

    def __init__(self, document: dict[str, Any], servers: int) -> None:
        self.process = psutil.Process()
        gc.collect()
        self.at_first = self.process.memory_info().rss
        self.settings = settings_from_document(document)
        self.gateway = PolicyEngine(self.settings, 1)
        self.now, self.order = 0.0, count()
        self.due: list[tuple[float, int, api.Event]] = []
        self.results: Counter[str] = Counter()
        self._handle(
            api.EndpointUpdate(
                api.UpdateKind.SNAPSHOT,
                tuple(api.Endpoint(number, self.settings.zone) for number in range(1, servers + 1)),
                1,
            )
        )

    async def start(self) -> None:
        """Nothing to listen on."""

    async def ask(self, tenants: int, requests: int, gap_ms: float) -> dict[str, Any]:
        """So many requests of so many customers by turns, over all classes; what they cost.

        Processor time in microseconds a request, bytes of resident memory since before the gateway was made,
        customers that it holds at the end, what became of the requests.
        """
        gc.collect()
        spent = time.thread_time()
        routes = [(kind.name, plan.name) for kind in self.settings.classes for plan in self.settings.plans]
        for number in range(requests):
            self._until(self.now + gap_ms)
            kind, plan = routes[number % len(routes)]
            self._handle(api.Request(f"r{number}", kind, plan, f"{number % tenants:016x}", 1000.0))
        self._until(self.now + 10 * LATENCY_MS)
        spent = time.thread_time() - spent
        gc.collect()
        return {
            "cpu_us": 1e6 * spent / requests,
            "memory": self.process.memory_info().rss - self.at_first,
            "held": len(self.gateway.customers),
            "results": dict(self.results),
        }

    def _until(self, end: float) -> None:
        while self.due and self.due[0][0] <= end:
            at, _, event = heapq.heappop(self.due)
            self.now = max(self.now, at)
            self._handle(event)
        self.now = end

    def _handle(self, event: api.Event) -> None:
        for action in self.gateway.handle(self.now, event):
            self.results[type(action).__name__] += 1
            if isinstance(action, api.SetTimer):
                self._at(action.delay_ms, api.TimerFired(action.token))
            elif isinstance(action, api.StartAttempt):
                self._at(
                    LATENCY_MS,
                    api.Outcome(action.request_id, 0, action.server, api.AttemptStatus.OK, LATENCY_MS, True),
                )

    def _at(self, delay_ms: float, event: api.Event) -> None:
        heapq.heappush(self.due, (self.now + delay_ms, next(self.order), event))
