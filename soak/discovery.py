"""The discovery service of a soak: it records the changes of its endpoint list, and its address can move."""

from __future__ import annotations

import asyncio
import time

import msgspec

from scale.stubs.discovery_connection import DiscoveryConnection
from scale.stubs.discovery_state import DiscoveryState
from scale.stubs.endpoint_catalog import ListedEndpoint
from soak.records import EndpointChange, EndpointLifecycle

OLD_ADDRESS_GRACE_S = 1.5
"""Time after a move until connections at the old address are closed (TERMS)."""


class SoakDiscovery:
    """Role of a child process that runs the discovery service of the gateways.

    Args:
        endpoints: The initial endpoint list, in discovery's encoding.
    """

    def __init__(self, endpoints: list[dict[str, object]]) -> None:
        self._state = DiscoveryState(msgspec.convert(endpoints, list[ListedEndpoint]))
        self._listener: asyncio.Server | None = None
        self._changes: list[EndpointChange] = []
        # The catalog drops endpoints that are gone; this copy keeps them for a later return.
        self._endpoints = dict(self._state.catalog.endpoints)

    async def start(self) -> int:
        """Listen; return the port."""
        self._listener = await asyncio.get_running_loop().create_server(
            lambda: DiscoveryConnection(self._state), "127.0.0.1", 0
        )
        return int(self._listener.sockets[0].getsockname()[1])

    async def move(self) -> int:
        """Listen on a new port only; return it. Connections to the old port close after a grace period."""
        old_listener, old_connections = self._listener, tuple(self._state.connections)
        port = await self.start()
        if old_listener:
            old_listener.close()
        loop = asyncio.get_running_loop()
        for connection in old_connections:
            loop.call_later(OLD_ADDRESS_GRACE_S, connection.abort)
        return port

    async def publish(self, server: str, lifecycle: str, started_at_ms: int | None = None) -> None:
        """Publish a server's new lifecycle, and its start time in Unix milliseconds if given."""
        endpoint = self._endpoints[server]
        if started_at_ms is not None:
            endpoint = msgspec.structs.replace(endpoint, started_at_ms=started_at_ms)
        endpoint = msgspec.convert({**msgspec.to_builtins(endpoint), "lifecycle": lifecycle}, ListedEndpoint)
        self._endpoints[server] = endpoint
        self._changes.append(EndpointChange(server, EndpointLifecycle(lifecycle), time.monotonic()))
        self._state.publish([endpoint])

    async def set_silent(self, silent: bool) -> None:
        """Stop writing on all connections, or resume."""
        if silent:
            self._state.is_silent = True
        else:
            self._state.end_silence()

    async def set_refusing(self, refusing: bool) -> None:
        """Reject every call with 503 and end all watches, or resume."""
        self._state.is_refusing = refusing
        if refusing:
            self._state.drop_watches()

    async def drop_watches(self) -> None:
        """End all watches once."""
        self._state.drop_watches()

    async def records(self) -> list[EndpointChange]:
        """Return the changes that were published."""
        return self._changes
