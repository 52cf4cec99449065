"""Hollow gateways: the watch and the policy engine of a real gateway without clients, many to a process."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from dataclasses import replace
from typing import Any

from quota_gateway import model
from quota_gateway.net.address import Address
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
"""Upstream connections of each hollow gateway: many gateways share the descriptors of one process."""

MAXIMUM_BUFFERED_BYTES = 1 << 20

WATCH_START_GAP_S = 0.002
"""Time between two gateways that open their watches."""

UPDATE_POLL_S = 0.05


def _ignore(*_: object) -> None:
    """Ignore a notification that a hollow gateway has no use for."""


class VersionOnlyRegistry(EndpointRegistry):
    """A registry that keeps no endpoints, for gateways that only hold the watch open."""

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
        settings: The gateway's settings; None for a gateway that only holds the watch open.
        seed: The seed of its random numbers.

    Attributes:
        driver: Its driver, if it has settings.
        discovery: Its discovery client.
        received: Each version and when it was in force, on the monotonic clock.
    """

    def __init__(self, settings: model.Settings | None, seed: int) -> None:
        self.received: list[tuple[int, float]] = []
        self.driver: Driver | None = None
        registry: EndpointRegistry = VersionOnlyRegistry()
        if settings:
            engine = PolicyEngine(settings, seed)
            registry = EndpointRegistry(engine.subset)
            self._upstream = UpstreamPool(settings, MAXIMUM_UPSTREAM_CONNECTIONS, MAXIMUM_BUFFERED_BYTES)
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
    """Many hollow gateways; a child's role whose methods are the run's commands.

    Args:
        document: The settings, as a gateway is given them.
        kind: ``gateway``, or ``watch`` for gateways that only hold the watch open.
        first: The index of the first gateway.
        number: How many gateways there are.
        zone_count: How many zones they are spread over.
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
        """Do nothing: there is nothing to listen on."""

    async def open_watches(self, port: int) -> None:
        """Open all watches on discovery at this port, a little apart."""
        for gateway in self._gateways:
            gateway.discovery.watch(("127.0.0.1", port))
            await asyncio.sleep(WATCH_START_GAP_S)

    async def await_version(self, version: int, within_s: float) -> UpdateCoverage:
        """Wait until all gateways have this version or a later one, or the time is over."""
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
        """Return for each gateway the versions since the last call, and when each was in force."""
        received = [gateway.received for gateway in self._gateways]
        for gateway in self._gateways:
            gateway.received = gateway.received[-1:]
        return received

    async def run_load(
        self, rate: float, seconds: float, seed: int, tenants: int, skew: float
    ) -> dict[str, int]:
        """Submit requests without clients' sockets, each at a gateway chosen at random.

        Args:
            rate: Requests a second at each gateway.
            seconds: How long to submit for.
            seed: The seed of arrivals and of the choice of gateways.
            tenants: How many customers there are.
            skew: The exponent of the Zipf distribution over the customers.

        Returns:
            The number of requests by outcome.
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
        """Submit a request; the first five bytes of its reply are counted."""
        command = encode_request(REQUEST_CLASS, PLAN, TIMEOUT_MS, customer, number, 1)
        active = ActiveRequest(
            request_id,
            lambda _remaining_ms: command,
            lambda reply: replies.update([reply[:5].decode("latin-1").strip()]),
        )
        request = model.Request(request_id, REQUEST_CLASS, PLAN, f"{customer:016x}", TIMEOUT_MS)
        driver.submit(active, request, TIMEOUT_MS)

    async def begin_probe(self) -> None:
        """Measure the loop's stalls from now on."""
        self._probe.begin()

    async def end_probe(self) -> LoopStalls:
        """Return the longest stalls since then."""
        return self._probe.end()


def _count_outcomes(replies: Counter[str]) -> dict[str, int]:
    """Count requests by outcome, from the beginnings of their replies."""
    served = sum(number for word, number in replies.items() if word.startswith("$"))
    rejected = replies["-BUSY"]
    return {
        LoadOutcome.SERVED.value: served,
        LoadOutcome.REJECTED.value: rejected,
        LoadOutcome.FAILED.value: replies.total() - served - rejected,
    }
