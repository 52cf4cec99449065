"""One watch on discovery: an HTTP exchange whose endless response has an update or a heartbeat per line.

See docs/decisions/discovery-timeouts.md for how the timeouts follow from the time after which an update
counts as notified, and docs/decisions/discovery-long-lists.md for how long documents are read.
"""

from __future__ import annotations

import asyncio
import logging
from enum import Enum
from functools import partial
from typing import Any, Protocol, cast

import httptools

from quota_gateway.errors import DiscoveryError
from quota_gateway.net.address import Address
from quota_gateway.net.discovery.endpoint_registry import EndpointRegistry
from quota_gateway.net.discovery.endpoint_row import RegistryChange
from quota_gateway.net.discovery.json_lines import HEARTBEAT, JsonLineReader
from quota_gateway.net.discovery.liveness_timer import LivenessTimer
from quota_gateway.net.discovery.streaming_snapshot_reader import StreamingSnapshotReader
from quota_gateway.telemetry import Metric, Metrics

log = logging.getLogger(__name__)

HEARTBEAT_TIMEOUT_S = 4.2  # Discovery sends a heartbeat every 2 s: two are missing at the timeout.
FIRST_LINE_TIMEOUT_S = 2.5  # After two silent watches, a third one still opens before draining ends.
STREAMING_THRESHOLD_BYTES = 64 * 1024  # Documents above the threshold are read in pieces.
PIECE_BYTES = 16 * 1024  # the bytes of a long document that are read in one iteration of the loop
STATUS_OK = 200


class WatchEndReason(Enum):
    """The reason why a watch ended; the values are used in the log and as labels of the metric."""

    HEARTBEAT_TIMEOUT = "heartbeat_timeout"
    RESPONSE_COMPLETE = "response_complete"
    REJECTED = "rejected"
    MALFORMED_RESPONSE = "malformed_response"
    MALFORMED_DOCUMENT = "malformed_document"
    NEAREST_ENDPOINTS_GONE = "nearest_endpoints_gone"
    REPLACED = "replaced"
    STOPPED = "stopped"


class UpdateReader(Protocol):
    """The part of the watcher's interface that its watch connections use."""

    address: Address
    registry: EndpointRegistry
    was_rejected: bool
    metrics: Metrics

    def read_document(self, document: Any, connection: WatchConnection) -> bool:
        """Read one update as a whole; return whether its watch stays open."""

    def deliver(self, change: RegistryChange) -> None:
        """Deliver the changes of an update, or a part of them."""

    def on_document_read(
        self, generation: int, is_complete_snapshot: bool, connection: WatchConnection
    ) -> bool:
        """Record that an update was read to its end; return whether its watch stays open."""

    def reject_document(self, error: DiscoveryError, connection: WatchConnection) -> None:
        """Log the error and close the watch, but keep the known endpoints.

        The next watch requests the complete snapshot.
        """


class WatchConnection(asyncio.Protocol):
    """One HTTP exchange: a chunked response of JSON objects, one per line or indented over many lines.

    Attributes:
        closed: A future that is done once the connection has ended and all received bytes have been read.
    """

    def __init__(self, watcher: UpdateReader, target: str) -> None:
        self.closed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._watcher = watcher
        self._target = target
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._liveness = LivenessTimer(partial(self.close, WatchEndReason.HEARTBEAT_TIMEOUT))
        self._incomplete_line = bytearray()
        self._lines = JsonLineReader()
        self._long_document: StreamingSnapshotReader | None = None  # the long document being read, if any
        self._backlog = bytearray()  # received bytes of the long document that are not read yet
        self._reading: asyncio.Task[None] | None = None
        self._is_ended = False
        self._is_response_complete = False
        self._is_connection_lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request for the endpoint list."""
        # uvloop's transports do not inherit from asyncio.Transport, so an isinstance check would fail.
        self._transport = cast(asyncio.Transport, transport)
        if self._is_ended:
            self._transport.abort()
            return
        host, port = self._watcher.address
        self._transport.write(
            f"GET {self._target} HTTP/1.1\r\nHost: {host}:{port}\r\nAccept: application/json\r\n\r\n".encode()
        )
        self._liveness.restart(FIRST_LINE_TIMEOUT_S)

    def close(self, reason: WatchEndReason, detail: object = "none") -> None:
        """End the exchange; bytes that are still received on it are ignored."""
        if self._is_ended:
            return
        self._is_ended = True
        self._liveness.cancel()
        host, port = self._watcher.address
        log.warning(
            "discovery watch ended host=%s port=%d reason=%s detail=%s", host, port, reason.value, detail
        )
        self._watcher.metrics.count(Metric.DISCOVERY_WATCHES_ENDED, reason.value)
        if self._transport:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the response."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.close(WatchEndReason.MALFORMED_RESPONSE, error)

    def on_headers_complete(self) -> None:
        """End the exchange if discovery rejects it."""
        status = self._parser.get_status_code()
        if status != STATUS_OK:
            self._watcher.was_rejected = True
            self.close(WatchEndReason.REJECTED, status)

    def on_body(self, body: bytes) -> None:
        """Read bytes of the body, or queue them while a long document is being read."""
        if self._parser.get_status_code() != STATUS_OK or self._is_ended:
            return
        if self._long_document:
            self._backlog += body
            self._ensure_reading()
        else:
            self._read_lines(body)

    def on_message_complete(self) -> None:
        """End the exchange once all received bytes have been read."""
        self._is_response_complete = True
        if self._reading is None:
            self.close(WatchEndReason.RESPONSE_COMPLETE)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 (asyncio's signature)
        """Report the end of the connection once all received bytes have been read."""
        self._is_connection_lost = True
        if self._reading:
            return  # The reading task calls this method again when it ends.
        self._liveness.cancel()
        if not self.closed.done():
            self.closed.set_result(None)

    def _read_lines(self, data: bytes) -> None:
        *lines, rest = (bytes(self._incomplete_line) + data).split(b"\n")
        self._incomplete_line = bytearray(rest)
        for number, line in enumerate(lines, start=1):
            if not self._read_line(line):
                return
            if self._lines.size_bytes > STREAMING_THRESHOLD_BYTES:
                self._read_in_pieces(b"\n".join([self._lines.take_incomplete(), *lines[number:], rest]))
                return
        if len(rest) + self._lines.size_bytes > STREAMING_THRESHOLD_BYTES:
            incomplete = self._lines.take_incomplete()
            self._read_in_pieces(b"\n".join([incomplete, rest]) if incomplete else rest)

    def _read_line(self, line: bytes) -> bool:
        """Read one line; return whether the watch stays open.

        A document or a heartbeat is a sign of life. Other bytes are not, as they may never complete a
        document.
        """
        try:
            document = self._lines.add_line(line)
        except DiscoveryError as error:
            self._watcher.reject_document(error, self)
            return False
        if document is None:
            return True
        self._liveness.restart(HEARTBEAT_TIMEOUT_S)
        return document is HEARTBEAT or self._watcher.read_document(document, self)

    def _read_in_pieces(self, beginning: bytes) -> None:
        """Read a long document that begins with these bytes in pieces, so that it does not stall requests."""
        self._incomplete_line.clear()
        self._backlog = bytearray(beginning)
        self._long_document = StreamingSnapshotReader(self._watcher.registry)
        self._ensure_reading()

    def _ensure_reading(self) -> None:
        """Read the backlog, and pause receiving, as bytes may arrive faster than they are read."""
        if self._reading is None:
            if self._transport:
                self._transport.pause_reading()
            self._reading = asyncio.get_running_loop().create_task(
                self._read_backlog(), name="read long endpoint list"
            )

    async def _read_backlog(self) -> None:
        try:
            while self._long_document and self._backlog and not self._is_ended:
                await self._read_piece(self._long_document)
        except DiscoveryError as error:
            self._watcher.reject_document(error, self)
        finally:
            self._reading = None
            self._on_backlog_read()

    def _on_backlog_read(self) -> None:
        if self._is_response_complete:
            self.close(WatchEndReason.RESPONSE_COMPLETE)
        if self._is_connection_lost:
            self.connection_lost(None)
        elif not self._is_ended and self._transport:
            self._transport.resume_reading()

    async def _read_piece(self, document: StreamingSnapshotReader) -> None:
        """Read one piece; after the last one, deliver the changes of the document one after the other."""
        piece = bytes(self._backlog[:PIECE_BYTES])
        del self._backlog[:PIECE_BYTES]
        row_count_before = document.row_count
        trailing_bytes = document.feed(piece)
        if document.row_count > row_count_before:
            self._liveness.restart(HEARTBEAT_TIMEOUT_S)
        await asyncio.sleep(0)
        if trailing_bytes is None:
            return
        for change in document.changes():
            if self._is_ended:
                return
            self._watcher.deliver(change)
            self._liveness.restart(HEARTBEAT_TIMEOUT_S)
            await asyncio.sleep(0)
        rest = trailing_bytes + bytes(self._backlog)
        self._long_document = None
        self._backlog.clear()
        if self._watcher.on_document_read(document.generation, document.is_complete_snapshot, self):
            self._read_lines(rest)
