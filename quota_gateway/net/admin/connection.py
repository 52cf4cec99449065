"""One connection of an operator, which carries an admin call over HTTP/1.1 and its response."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol, cast

import httptools

from quota_gateway.net.admin.calls import AdminCalls, AdminResponse, AdminStatus

log = logging.getLogger(__name__)

MAX_REQUEST_BYTES = 8192  # maximum size of a call's head and body together


class ConnectionOwner(Protocol):
    """The admin server that a connection belongs to."""

    def on_connected(self, connection: AdminConnection) -> None:
        """Handle a new connection."""

    def on_disconnected(self, connection: AdminConnection) -> None:
        """Handle the end of a connection."""


class AdminConnection(asyncio.Protocol):
    """One connection of an operator, which carries one call and one response."""

    def __init__(self, owner: ConnectionOwner, calls: AdminCalls) -> None:
        self.owner = owner
        self.calls = calls
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.target = b""
        self.body = b""
        self.received_bytes = 0
        self.task: asyncio.Task[None] | None = None
        self.is_answered = False

    # ---- Events of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Report the new connection to its owner."""
        # isinstance would fail here: uvloop's transports are not subclasses of asyncio.Transport.
        self.transport = cast(asyncio.Transport, transport)
        self.owner.on_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Report the end of the connection to its owner."""
        self.owner.on_disconnected(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, unless the call is complete already."""
        if self.is_answered or self.task:
            return
        self.received_bytes += len(data)
        if self.received_bytes > MAX_REQUEST_BYTES:
            self.answer(AdminResponse(AdminStatus.CONTENT_TOO_LARGE, "the call is too long"))
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.answer(AdminResponse(AdminStatus.BAD_REQUEST, "not a call"))

    # ---- Events of the parser

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.target += url

    def on_body(self, body: bytes) -> None:
        """Append a part of the request body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Carry out the call; anything that follows it on the connection is ignored."""
        if self.task is None and not self.is_answered:
            call = self._call(self.parser.get_method())
            self.task = asyncio.get_running_loop().create_task(call, name="admin call")

    # ---- The response

    async def _call(self, method: bytes) -> None:
        path = self.target.partition(b"?")[0]
        try:
            response = await self.calls.carry_out(method, path, self.body)
        except Exception:  # an operator gets a response after any error
            log.exception("admin call failed")
            response = AdminResponse(AdminStatus.INTERNAL_SERVER_ERROR, "failed")
        self.answer(response)

    def answer(self, response: AdminResponse) -> None:
        """Write the response and close the connection. A second response is ignored."""
        if self.is_answered or self.transport is None or self.transport.is_closing():
            return
        self.is_answered = True
        self.transport.write(response.encode())
        self.transport.close()

    def abort(self) -> None:
        """Close the connection without a response."""
        if self.transport:
            self.transport.abort()
