"""One connection of an operator: a call over HTTP/1.1, its response, the end."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol, cast

import httptools

from quota_gateway.net.admin.calls import AdminCalls, AdminResponse, AdminStatus

log = logging.getLogger(__name__)

MAX_REQUEST_BYTES = 8192  # of a call, head and body


class ConnectionOwner(Protocol):
    """The server that a connection belongs to."""

    def on_connected(self, connection: AdminConnection) -> None:
        """Take note of a new connection."""

    def on_disconnected(self, connection: AdminConnection) -> None:
        """Take note of the end of a connection."""


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
        """Report the new connection."""
        # uvloop's transports are not asyncio.Transport by class: no isinstance here
        self.transport = cast(asyncio.Transport, transport)
        self.owner.on_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Report the end of the connection."""
        self.owner.on_disconnected(self)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the call, unless it is complete."""
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
        """Take a part of the target."""
        self.target += url

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Carry out the call; what follows on the connection has no effect."""
        if self.task is None and not self.is_answered:
            call = self._call(self.parser.get_method())
            self.task = asyncio.get_running_loop().create_task(call, name="admin call")

    # ---- The response

    async def _call(self, method: bytes) -> None:
        path = self.target.partition(b"?")[0]
        try:
            response = await self.calls.carry_out(method, path, self.body)
        except Exception:  # an operator gets a response whatever goes wrong
            log.exception("admin call failed")
            response = AdminResponse(AdminStatus.INTERNAL_SERVER_ERROR, "failed")
        self.answer(response)

    def answer(self, response: AdminResponse) -> None:
        """Write the one response, and close."""
        if self.is_answered or self.transport is None or self.transport.is_closing():
            return
        self.is_answered = True
        self.transport.write(response.encode())
        self.transport.close()

    def abort(self) -> None:
        """Close the connection without a response."""
        if self.transport:
            self.transport.abort()
