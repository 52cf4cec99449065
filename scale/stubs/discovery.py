"""Stub of the discovery service as PROTOCOL describes it: complete lists, watches, versions and faults."""

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
"""Maximum number of connections not accepted yet: a whole fleet may reconnect at the same time."""


class DiscoveryStub:
    """Role of a child process that stands in for discovery; the run calls its public methods.

    Args:
        seed: Seed of the endpoints' names.
        servers: Number of listed endpoints.
        ports: Ports that the endpoints share.
        zone_count: Number of zones that the endpoints are spread over.
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
        """Publish a new list with this number of endpoints.

        All watches are dropped and get the complete list when they are opened again.
        """
        self.state.replace_all(make_endpoints(self._seed, servers, self._ports, self._zone_count))
        catalog = self.state.catalog
        return EndpointListInfo(size_bytes=len(catalog.snapshot_line()), version=catalog.version)

    async def publish_changes(
        self, endpoints: int = 1, versions: int = 1, gap_s: float = 0.02
    ) -> PublishedChanges:
        """Publish versions one by one, each of which changes the weight of several endpoints.

        Args:
            endpoints: Number of endpoints that each version changes.
            versions: Number of versions.
            gap_s: Time after each version.
        """
        catalog = self.state.catalog
        names = list(catalog.endpoints)
        counts_before = self.state.counts.copy()
        first_version = catalog.version + 1
        for version_index in range(versions):
            chosen = [names[(version_index * endpoints + index) % len(names)] for index in range(endpoints)]
            self.state.publish([with_new_weight(catalog.endpoints[name], version_index) for name in chosen])
            await asyncio.sleep(gap_s)
        sent = self.state.counts - counts_before
        return PublishedChanges(first_version, catalog.version, sent["change_bytes"])

    async def play_fault(self, kind: str, for_s: float = 0.0, zone: str = "") -> FaultVersions:
        """Start a fault now and wait until it ends; return the versions before and after it."""
        version_before = self.state.catalog.version
        fault = msgspec.convert({"at_s": 0.0, "kind": kind, "for_s": for_s, "zone": zone}, Fault)
        await self.events.play_fault(fault)
        return FaultVersions(version_before, self.state.catalog.version)

    async def play(self, config: dict[str, object], seconds: float) -> dict[str, int]:
        """Start the churn and faults of a configuration; return the number of churn events by kind."""
        run_config = msgspec.convert(config, Config)
        events = churn_events(run_config.seed, run_config.churn, seconds)
        self.events.start_churn(events, run_config.churn)
        for fault in run_config.faults:
            self.events.start_fault(fault)
        return dict(Counter(event.kind for event in events))

    async def statistics(self) -> DiscoveryStatistics:
        """Return counts since the start, and the current numbers of listed endpoints and open watches."""
        return DiscoveryStatistics(
            counts=dict(self.state.counts),
            published_s=list(self.state.published_s.items()),
            version=self.state.catalog.version,
            servers=len(self.state.catalog.endpoints),
            watches=sum(connection.is_watching for connection in self.state.connections),
        )
