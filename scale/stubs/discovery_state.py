"""What the discovery stub's connections share: the catalog, the active faults and the statistics."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterable
from typing import Protocol

from scale.stubs.endpoint_catalog import EndpointCatalog, ListedEndpoint


class Subscriber(Protocol):
    """A connection as the shared state sees it."""

    is_waiting: bool
    """Whether a call came that is not answered yet."""

    is_watching: bool
    """Whether it holds a watch open."""

    def reply(self) -> None:
        """Answer the call that is waiting."""

    def send_update(self) -> None:
        """Send what the watch has not been sent yet."""

    def abort(self) -> None:
        """Close the connection at once."""


class DiscoveryState:
    """The catalog, the connections, the faults and the statistics of a discovery stub.

    Attributes:
        catalog: The endpoints that are listed.
        connections: All open connections.
        is_silent: Whether discovery sends nothing.
        is_refusing: Whether discovery answers 503.
        counts: Bytes and lines by kind, calls, and watches begun and ended.
        published_s: When each version could first be read, on the monotonic clock.
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
        """Return what a watch with this version is sent, as an HTTP chunk.

        The chunk is made once for all watches with that version: thousands of copies of the list would not
        fit into memory.
        """
        if self._chunks_version != self.catalog.version:
            self._chunks = {}
            self._chunks_version = self.catalog.version
        if version not in self._chunks:
            line = self.catalog.line_after(version)
            self._chunks[version] = b"%x\r\n%b\r\n" % (len(line), line)
        return self._chunks[version]

    def publish(self, changed: Iterable[ListedEndpoint]) -> int:
        """Publish a version with these changes to all watches at once; return its number."""
        version = self.catalog.update(changed)
        self.published_s[version] = time.monotonic()
        self.notify_watches()
        return version

    def replace_all(self, endpoints: Iterable[ListedEndpoint]) -> None:
        """Publish another list; all watches end and get it complete when they come back."""
        self.catalog.replace(endpoints)
        self.published_s[self.catalog.version] = time.monotonic()
        self.drop_watches()

    def notify_watches(self) -> None:
        """Send every watch what it has not been sent yet."""
        for connection in tuple(self.connections):
            connection.send_update()

    def end_silence(self) -> None:
        """Answer what came during the silence and bring all watches up to date."""
        self.is_silent = False
        for connection in tuple(self.connections):
            if connection.is_waiting:
                connection.reply()
        self.notify_watches()

    def drop_watches(self) -> None:
        """End all watches at once."""
        for connection in tuple(self.connections):
            if connection.is_watching:
                connection.abort()
