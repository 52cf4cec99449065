"""Hollow gateways: the watch and policy engine of a gateway without client sockets, many per process."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from dataclasses import replace
from typing import Any

from quota_gateway import model
from quota_gateway.net.address import Address
from quota_gateway.net.buffer_budget import BufferBudget
from quota_gateway.net.discovery.client import DiscoveryClient
from quota_gateway.net.discovery.endpoint_registry import EndpointRegistry
from quota_gateway.net.discovery.endpoint_row import RegistryChange
from quota_gateway.net.driver import ActiveRequest, Clock, Driver
from quota_gateway.net.upstream.pool import UpstreamPool
from quota_gateway.policy.engine import PolicyEngine
from quota_gateway.settings_format import settings_from_document
from scale.config import zone_names
from scale.load.arrivals import encode_request, poisson_arrivals
from scale.load.statistics import LoadOutcome
from scale.loop_probe import LoopProbe
from scale.messages import LoopStalls, UpdateCoverage

REQUEST_CLASS = "class-0"
PLAN = "plan"
TIMEOUT_MS = 2_000.0

MAXIMUM_UPSTREAM_CONNECTIONS = 64
"""Maximum upstream connections per hollow gateway: many gateways share one process's file descriptors."""

MAXIMUM_BUFFERED_BYTES = 1 << 20

WATCH_START_GAP_S = 0.002
"""Time between opening the watches of two gateways."""

UPDATE_POLL_S = 0.05


def _ignore(*_: object) -> None:
    """Ignore a notification that hollow gateways do not need."""


class VersionOnlyRegistry(EndpointRegistry):
    """A registry that stores no endpoints, for gateways that only keep a watch open."""

    def read(  # noqa: D102 - documented by EndpointRegistry
        self,
        document: Any,
        is_cached: bool = False,  # noqa: ARG002 - EndpointRegistry's signature
    ) -> RegistryChange:
        version = int(document["generation"])
        return RegistryChange(model.EndpointUpdate(model.UpdateKind.DELTA, (), version), {})


class HollowGateway:
    """One hollow gateway.

    Args:
        settings: Settings of the gateway; None for a gateway that only keeps a watch open.
        seed: Seed of the gateway's random numbers.

    Attributes:
        driver: Driver of the policy engine; None without settings.
        discovery: Discovery client of the gateway.
        received: Versions and the time when each came into force, on the monotonic clock.
    """

    def __init__(self, settings: model.Settings | None, seed: int) -> None:
        self.received: list[tuple[int, float]] = []
        self.driver: Driver | None = None
        registry: EndpointRegistry = VersionOnlyRegistry()
        if settings:
            engine = PolicyEngine(settings, seed)
            registry = EndpointRegistry(engine.subset)
            self._upstream = UpstreamPool(
                settings, MAXIMUM_UPSTREAM_CONNECTIONS, BufferBudget(MAXIMUM_BUFFERED_BYTES)
            )
            self.driver = Driver(engine, self._upstream, Clock(), _ignore)
        self.discovery = DiscoveryClient(registry, self._on_update, _ignore, seed)

    def _on_update(self, update: model.EndpointUpdate, addresses: dict[int, Address]) -> None:
        if self.driver:
            self._upstream.update(update, addresses)
            self.driver.post(update)
        self.received.append((update.version, time.monotonic()))

    def has_version(self, version: int) -> bool:
        """Whether this version or a later one is in force."""
        return bool(self.received) and self.received[-1][0] >= version


class HollowGateways:
    """Role of a child process that runs many hollow gateways; the run calls its public methods.

    Args:
        document: Settings in the form that gateways read.
        kind: ``gateway``, or ``watch`` for gateways that only keep a watch open.
        first: Index of the first gateway.
        number: Number of gateways.
        zone_count: Number of zones that the gateways are spread over.
    """

    def __init__(self, document: dict[str, Any], kind: str, first: int, number: int, zone_count: int) -> None:
        settings = settings_from_document(document)
        zones = zone_names(zone_count)
        self._gateways = []
        for index in range(first, first + number):
            own_settings = replace(settings, index=index % settings.gateways, zone=zones[index % zone_count])
            self._gateways.append(HollowGateway(own_settings if kind == "gateway" else None, index))
        self._probe = LoopProbe()

    async def start(self) -> None:
        """Do nothing: this role does not listen on a port."""

    async def open_watches(self, port: int) -> None:
        """Open the watches of all gateways at this port of discovery, WATCH_START_GAP_S apart."""
        for gateway in self._gateways:
            gateway.discovery.watch(("127.0.0.1", port))
            await asyncio.sleep(WATCH_START_GAP_S)

    async def await_version(self, version: int, within_s: float) -> UpdateCoverage:
        """Wait until all gateways have this version or a later one, for at most ``within_s``."""
        until_s = time.monotonic() + within_s
        total = len(self._gateways)
        updated = self._count_with_version(version)
        while updated < total and time.monotonic() < until_s:
            await asyncio.sleep(UPDATE_POLL_S)
            updated = self._count_with_version(version)
        return UpdateCoverage(updated, total)

    def _count_with_version(self, version: int) -> int:
        return sum(gateway.has_version(version) for gateway in self._gateways)

    async def take_received(self) -> list[list[tuple[int, float]]]:
        """Return the versions that each gateway received since the last call, and when each came into force.

        The latest version of the previous call is returned again as the first one.
        """
        received = [gateway.received for gateway in self._gateways]
        for gateway in self._gateways:
            gateway.received = gateway.received[-1:]
        return received

    async def run_load(
        self, rate: float, seconds: float, seed: int, tenants: int, skew: float
    ) -> dict[str, int]:
        """Submit requests without client sockets, each to a randomly chosen gateway.

        Args:
            rate: Mean requests per second at each gateway.
            seconds: Duration of the load.
            seed: Seed of arrivals and of the choice of gateways.
            tenants: Number of customers.
            skew: Exponent of the Zipf distribution over the customers.

        Returns:
            Number of requests by outcome.
        """
        replies: Counter[str] = Counter()
        source = random.Random(f"hollow {seed}")
        start_s = time.monotonic()
        drivers = [gateway.driver for gateway in self._gateways if gateway.driver]
        arrivals = poisson_arrivals(seed, rate * len(drivers), seconds, tenants, skew)
        for number, arrival in enumerate(arrivals):
            await asyncio.sleep(max(0.0, start_s + arrival.due_s - time.monotonic()))
            self._submit(source.choice(drivers), f"{seed}-{number}", arrival.customer, number, replies)
        await asyncio.sleep(TIMEOUT_MS / 1000.0)
        return _count_outcomes(replies)

    @staticmethod
    def _submit(driver: Driver, request_id: str, customer: int, number: int, replies: Counter[str]) -> None:
        """Submit a request and count its reply by the first five bytes."""
        command = encode_request(REQUEST_CLASS, PLAN, TIMEOUT_MS, customer, number, 1)
        active = ActiveRequest(
            request_id,
            lambda _remaining_ms: (command,),
            lambda reply: replies.update([reply[:5].decode("latin-1").strip()]),
        )
        request = model.Request(request_id, REQUEST_CLASS, PLAN, f"{customer:016x}", TIMEOUT_MS)
        driver.submit(active, request, TIMEOUT_MS)

    async def begin_probe(self) -> None:
        """Start measuring the event loop's stalls."""
        self._probe.begin()

    async def end_probe(self) -> LoopStalls:
        """Stop measuring and return the longest stalls since `begin_probe`."""
        return self._probe.end()


def _count_outcomes(replies: Counter[str]) -> dict[str, int]:
    """Return the number of requests by outcome, derived from the first bytes of their replies."""
    served = sum(number for word, number in replies.items() if word.startswith("$"))
    rejected = replies["-BUSY"]
    return {
        LoadOutcome.SERVED.value: served,
        LoadOutcome.REJECTED.value: rejected,
        LoadOutcome.FAILED.value: replies.total() - served - rejected,
    }
