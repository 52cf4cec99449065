"""A stub of the discovery service, written from PROTOCOL: complete lists, watches, versions and faults."""

from __future__ import annotations

import asyncio
from collections import Counter

import msgspec

from scale.config import Config, Fault
from scale.messages import DiscoveryStatistics, EndpointListInfo, FaultVersions, PublishedChanges
from scale.stubs.churn import churn_events
from scale.stubs.discovery_connection import DiscoveryConnection
from scale.stubs.discovery_events import DiscoveryEvents, with_new_weight
from scale.stubs.discovery_state import DiscoveryState
from scale.stubs.endpoint_catalog import make_endpoints

LISTEN_BACKLOG = 4_096
"""Connections that may wait to be accepted: a whole fleet may come back at once."""


class DiscoveryStub:
    """Discovery as gateways see it; a child's role whose methods are the run's commands.

    Args:
        seed: The seed of the endpoints' names.
        servers: How many endpoints are listed.
        ports: The ports that they share.
        zone_count: How many zones they are spread over.
    """

    def __init__(self, seed: int, servers: int, ports: list[int], zone_count: int) -> None:
        self._seed = seed
        self._ports = ports
        self._zone_count = zone_count
        self.state = DiscoveryState(make_endpoints(seed, servers, ports, zone_count))
        self.events = DiscoveryEvents(self.state)
        self._server: asyncio.Server | None = None

    async def start(self) -> int:
        """Listen on loopback and return the port."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: DiscoveryConnection(self.state), "127.0.0.1", 0, backlog=LISTEN_BACKLOG
        )
        return int(self._server.sockets[0].getsockname()[1])

    async def resize(self, servers: int) -> EndpointListInfo:
        """Publish another list of so many endpoints; all watches end and get it complete when they return."""
        self.state.replace_all(make_endpoints(self._seed, servers, self._ports, self._zone_count))
        catalog = self.state.catalog
        return EndpointListInfo(size_bytes=len(catalog.snapshot_line()), version=catalog.version)

    async def publish_changes(
        self, endpoints: int = 1, versions: int = 1, gap_s: float = 0.02
    ) -> PublishedChanges:
        """Publish so many versions one by one, each with another weight for so many endpoints."""
        catalog = self.state.catalog
        names = list(catalog.endpoints)
        counts_before = self.state.counts.copy()
        first_version = catalog.version + 1
        for turn in range(versions):
            chosen = [names[(turn * endpoints + index) % len(names)] for index in range(endpoints)]
            self.state.publish([with_new_weight(catalog.endpoints[name], turn) for name in chosen])
            await asyncio.sleep(gap_s)
        sent = self.state.counts - counts_before
        return PublishedChanges(first_version, catalog.version, sent["change_bytes"])

    async def play_fault(self, kind: str, for_s: float = 0.0, zone: str = "") -> FaultVersions:
        """Play a fault from now until it is over; return the versions before and after."""
        version_before = self.state.catalog.version
        fault = msgspec.convert({"at_s": 0.0, "kind": kind, "for_s": for_s, "zone": zone}, Fault)
        await self.events.play_fault(fault)
        return FaultVersions(version_before, self.state.catalog.version)

    async def play(self, config: dict[str, object], seconds: float) -> dict[str, int]:
        """Begin the configuration's churn and faults; return the number of churn events by kind."""
        run_config = msgspec.convert(config, Config)
        events = churn_events(run_config.seed, run_config.churn, seconds)
        self.events.start_churn(events, run_config.churn)
        for fault in run_config.faults:
            self.events.start_fault(fault)
        return dict(Counter(event.kind for event in events))

    async def statistics(self) -> DiscoveryStatistics:
        """Return what was sent so far, and what is listed and watched now."""
        return DiscoveryStatistics(
            counts=dict(self.state.counts),
            published_s=list(self.state.published_s.items()),
            version=self.state.catalog.version,
            servers=len(self.state.catalog.endpoints),
            watches=sum(connection.is_watching for connection in self.state.connections),
        )
