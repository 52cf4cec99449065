"""Connection of a gateway to the discovery stub: polls and watches over HTTP (PROTOCOL, Discovery)."""

from __future__ import annotations

import asyncio
import time
from typing import cast
from urllib.parse import parse_qs, urlsplit

import httptools

from scale.stubs.discovery_state import DiscoveryState

HEARTBEAT_S = 2.0
"""Heartbeat interval: PROTOCOL requires an empty line every 2 s while nothing changes."""

HEARTBEAT_TOLERANCE_S = 0.01
"""Maximum time that a heartbeat may be early, because timers are not exact."""

MINIMUM_TIMER_S = 0.1
"""Minimum interval between checks for a due heartbeat while heartbeats can't be sent."""

HEARTBEAT_CHUNK = b"1\r\n\n\r\n"
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"


class DiscoveryConnection(asyncio.Protocol):
    """A connection that requests the complete list or a watch."""

    def __init__(self, state: DiscoveryState) -> None:
        self.is_waiting = False
        self.is_watching = False
        self._state = state
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._url = ""
        self._is_paused = False
        self._sent_version: int | None = None
        self._written_s = 0.0
        self._heartbeat_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._state.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio.Protocol's signature
        """Unregister the connection and cancel its heartbeat."""
        self._state.connections.discard(self)
        self._state.counts["ended"] += self.is_watching
        self.is_watching = False
        if self._heartbeat_timer:
            self._heartbeat_timer.cancel()

    def pause_writing(self) -> None:
        """Pause updates until the gateway reads again."""
        self._is_paused = True

    def resume_writing(self) -> None:
        """Send the update that became due during the pause."""
        self._is_paused = False
        self.send_update()

    def data_received(self, data: bytes) -> None:
        """Parse HTTP requests of the gateway."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_url(self, url: bytes) -> None:
        """Append a part of the URL; called by the parser."""
        self._url += url.decode("latin-1")

    def on_message_complete(self) -> None:
        """Answer the complete request; called by the parser."""
        self._state.counts["calls"] += 1
        self.is_waiting = True
        self.reply()

    def reply(self) -> None:
        """Answer the waiting request; while discovery is silent, leave it waiting."""
        if not self._transport or self._state.is_silent:
            return
        self.is_waiting = False
        url = urlsplit(self._url)
        query = parse_qs(url.query)
        self._url = ""
        if self._state.is_refusing:
            self._state.counts["refused"] += 1
            self._transport.write(UNAVAILABLE)
            self._transport.close()
        elif url.path != "/discovery/hosts":
            self._transport.write(NOT_FOUND)
        elif query.get("watch") == ["1"]:
            self._begin_watch(self._transport, query.get("from", [""])[0])
        else:
            snapshot = self._state.catalog.snapshot_line()
            self._state.counts["whole_bytes"] += len(snapshot)
            self._transport.write(RESPONSE_HEAD + b"Content-Length: %d\r\n\r\n" % len(snapshot) + snapshot)

    def _begin_watch(self, transport: asyncio.Transport, resume_from: str) -> None:
        self._sent_version = int(resume_from) if resume_from.isdecimal() else None
        self.is_watching = True
        self._state.counts["watches"] += 1
        transport.write(RESPONSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
        self._send_chunk(transport, "first")
        self._heartbeat()

    def send_update(self) -> None:
        """Send an outdated watch the latest version; a paused watch gets it when the gateway reads again."""
        is_outdated = self.is_watching and self._sent_version != self._state.catalog.version
        if is_outdated and self._transport and not self._is_paused and not self._state.is_silent:
            self._send_chunk(self._transport, "change")

    def _send_chunk(self, transport: asyncio.Transport, kind: str) -> None:
        chunk = self._state.chunk_after(self._sent_version)
        self._state.counts[f"{kind}_bytes"] += len(chunk)
        self._state.counts[f"{kind}_lines"] += 1
        self._sent_version = self._state.catalog.version
        self._written_s = time.monotonic()
        transport.write(chunk)

    def _heartbeat(self) -> None:
        """Send an empty line if nothing was sent for HEARTBEAT_S, and schedule the next check."""
        now_s = time.monotonic()
        is_due = now_s - self._written_s >= HEARTBEAT_S - HEARTBEAT_TOLERANCE_S
        if is_due and not self._state.is_silent and not self._is_paused and self._transport:
            self._written_s = now_s
            self._state.counts["beat_bytes"] += len(HEARTBEAT_CHUNK)
            self._transport.write(HEARTBEAT_CHUNK)
        delay_s = max(MINIMUM_TIMER_S, self._written_s + HEARTBEAT_S - now_s)
        self._heartbeat_timer = asyncio.get_running_loop().call_later(delay_s, self._heartbeat)

    def abort(self) -> None:
        """Close the connection immediately, without sending buffered data."""
        if self._transport:
            self._transport.abort()
