"""Keeps a watch on discovery open at one address."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any

from quota_gateway import model as api
from quota_gateway.errors import DiscoveryError
from quota_gateway.net.address import Address
from quota_gateway.net.discovery.endpoint_registry import EndpointRegistry
from quota_gateway.net.discovery.endpoint_row import RegistryChange
from quota_gateway.net.discovery.reconnect_backoff import ReconnectBackoff
from quota_gateway.net.discovery.watch_connection import WatchConnection, WatchEndReason
from quota_gateway.telemetry import Metrics

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.6  # some connections need 1.5 s to be established
WATCH_TARGET = "/discovery/hosts?watch=1"


class DiscoveryWatcher:
    """Keeps a watch open at one address. Each watch resumes where the previous one ended.

    Attributes:
        address: The address of discovery.
        registry: The endpoint registry, which reads the updates.
        generation: The generation of the last update read; None if the next watch requests the complete
            snapshot.
        was_rejected: Whether discovery rejected the last watch.
    """

    def __init__(
        self,
        address: Address,
        registry: EndpointRegistry,
        on_change: Callable[[DiscoveryWatcher, RegistryChange], None],
        on_unavailable: Callable[[], None],
        jitter_source: random.Random,
        metrics: Metrics,
    ) -> None:
        """Open the first watch in the next iteration of the loop.

        Args:
            address: The address of discovery.
            registry: The endpoint registry, which reads the updates.
            on_change: Called with the changes of each update, or with a part of them.
            on_unavailable: Called when a watch ends and no update has been read yet.
            jitter_source: The random source for the waits between watches.
            metrics: The metrics of the process.
        """
        self.address = address
        self.registry = registry
        self.generation: int | None = None
        self.was_rejected = False
        self.metrics = metrics
        self._on_change = on_change
        self._on_unavailable = on_unavailable
        self._backoff = ReconnectBackoff(jitter_source)
        self._has_ended = False
        self._has_read_update = False
        self._connection: WatchConnection | None = None
        self._task = asyncio.get_running_loop().create_task(self._run(), name="discovery watch")

    def read_document(self, document: Any, connection: WatchConnection) -> bool:
        """Read one update as a whole; return whether its watch stays open."""
        if self._has_ended or connection is not self._connection:
            return False
        try:
            change = self.registry.read(document)
        except DiscoveryError as error:
            self.reject_document(error, connection)
            return False
        self.deliver(change)
        is_complete_snapshot = change.update.kind is api.UpdateKind.SNAPSHOT
        return self.on_document_read(change.update.version, is_complete_snapshot, connection)

    def deliver(self, change: RegistryChange) -> None:
        """Deliver the changes of an update, or a part of them."""
        self._on_change(self, change)

    def on_document_read(
        self, generation: int, is_complete_snapshot: bool, connection: WatchConnection
    ) -> bool:
        """Record that an update was read to its end; return whether its watch stays open.

        If too many of the nearest endpoints are gone, the watch is closed and the next one requests the
        complete snapshot, as only that tells which endpoints are the next nearest.
        """
        self._backoff.reset()
        self.generation = generation
        self._has_read_update = True
        if is_complete_snapshot or not self.registry.needs_complete_snapshot():
            return True
        self.generation = None
        connection.close(WatchEndReason.NEAREST_ENDPOINTS_GONE)
        return False

    def reject_document(self, error: DiscoveryError, connection: WatchConnection) -> None:
        """Log the error and close the watch, but keep the known endpoints.

        The next watch requests the complete snapshot.
        """
        log.error("malformed discovery document error=%s", error)
        self.generation = None
        connection.close(WatchEndReason.MALFORMED_DOCUMENT)

    def end(self) -> None:
        """Stop watching."""
        self._has_ended = True
        self._task.cancel()
        if self._connection:
            self._connection.close(WatchEndReason.STOPPED)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self.was_rejected = False
            started_s = loop.time()
            await self._watch_once(loop)
            if not self._has_read_update:
                self._on_unavailable()
            await asyncio.sleep(self._backoff.next_wait_s(self.was_rejected, loop.time() - started_s))

    async def _watch_once(self, loop: asyncio.AbstractEventLoop) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(self._new_connection, *self.address)
            await connection.closed
        except (OSError, TimeoutError) as error:
            host, port = self.address
            log.warning("discovery not reachable host=%s port=%d error=%r", host, port, error)
            # The connection to close is the previous one, or one that was established just after the timeout.
            if self._connection:
                self._connection.close(WatchEndReason.REPLACED)

    def _new_connection(self) -> WatchConnection:
        resume_from = "" if self.generation is None else f"&from={self.generation}"
        self._connection = WatchConnection(self, f"{WATCH_TARGET}{resume_from}")
        return self._connection
