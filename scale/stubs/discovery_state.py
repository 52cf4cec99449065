"""State shared by the discovery stub's connections: the catalog, the active faults and the statistics."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterable
from typing import Protocol

from scale.stubs.endpoint_catalog import EndpointCatalog, ListedEndpoint


class Subscriber(Protocol):
    """Interface through which the shared state uses a connection."""

    is_waiting: bool
    """Whether a request has not been answered yet."""

    is_watching: bool
    """Whether the connection has an open watch."""

    def reply(self) -> None:
        """Answer the waiting request."""

    def send_update(self) -> None:
        """Send the changes that the watch does not have yet."""

    def abort(self) -> None:
        """Close the connection immediately, without sending buffered data."""


class DiscoveryState:
    """The catalog, the connections, the faults and the statistics of a discovery stub.

    Attributes:
        catalog: Listed endpoints.
        connections: All open connections.
        is_silent: Whether discovery sends nothing at present.
        is_refusing: Whether discovery answers every request with 503 at present.
        counts: Bytes and lines by kind, calls, and watches begun and ended.
        published_s: Time of each version's publication, on the monotonic clock.
    """

    def __init__(self, endpoints: Iterable[ListedEndpoint]) -> None:
        self.catalog = EndpointCatalog(endpoints)
        self.connections: set[Subscriber] = set()
        self.is_silent = False
        self.is_refusing = False
        self.counts: Counter[str] = Counter()
        self.published_s: dict[int, float] = {}
        self._chunks: dict[int | None, bytes] = {}
        self._chunks_version = -1

    def chunk_after(self, version: int | None) -> bytes:
        """Return the HTTP chunk that brings a watch with this version up to date.

        All watches with the same version share one chunk: thousands of copies of the list would not fit into
        memory.
        """
        if self._chunks_version != self.catalog.version:
            self._chunks = {}
            self._chunks_version = self.catalog.version
        if version not in self._chunks:
            line = self.catalog.line_after(version)
            self._chunks[version] = b"%x\r\n%b\r\n" % (len(line), line)
        return self._chunks[version]

    def publish(self, changed: Iterable[ListedEndpoint]) -> int:
        """Publish a version with these changes to all watches and return its number."""
        version = self.catalog.update(changed)
        self.published_s[version] = time.monotonic()
        self.notify_watches()
        return version

    def replace_all(self, endpoints: Iterable[ListedEndpoint]) -> None:
        """Publish a new list and drop all watches, which get the complete list when opened again."""
        self.catalog.replace(endpoints)
        self.published_s[self.catalog.version] = time.monotonic()
        self.drop_watches()

    def notify_watches(self) -> None:
        """Send every watch the changes that it does not have yet."""
        for connection in tuple(self.connections):
            connection.send_update()

    def end_silence(self) -> None:
        """End the silence: answer waiting requests and bring all watches up to date."""
        self.is_silent = False
        for connection in tuple(self.connections):
            if connection.is_waiting:
                connection.reply()
        self.notify_watches()

    def drop_watches(self) -> None:
        """Abort the connections of all watches."""
        for connection in tuple(self.connections):
            if connection.is_watching:
                connection.abort()
