"""The operators' calls over HTTP/1.1: one call a connection, at an address of its own.

``docs/decisions/admin.md`` has the reasons for the bounds; ``docs/on-call.md`` lists the calls.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import NamedTuple, cast

import httptools

from quota_gateway.net.acceptor import Acceptor, AcceptorOwner
from quota_gateway.net.address import Address
from quota_gateway.net.transient_errors import BIND_ERRORS
from quota_gateway.telemetry import Metrics

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 8  # at once; the oldest makes room for a new one
REQUEST_TIMEOUT_S = 2.0  # for a call, from connecting on: an operator waits 1 s for the answer
MAX_REQUEST_BYTES = 8192  # of a call, head and body
MAX_SERVER_NAME_LENGTH = 256  # characters
LISTEN_RETRY_S = 0.5  # where the address can not be had for a moment
BACKLOG = 64  # connections that the kernel keeps until they are accepted

READY_TARGET = b"/_ready"
DETACH_TARGET = b"/_servers/detach"
ATTACH_TARGET = b"/_servers/attach"
METRICS_TARGET = b"/_metrics"

# RFC 9110's phrase: the standard library of Python 3.11 still has the older one
REASON_PHRASES = {HTTPStatus.REQUEST_ENTITY_TOO_LARGE: "Content Too Large"}

SetDetached = Callable[[str, bool], Awaitable[bool]]
"""Detach (True) or attach (False) the server of this name; whether it is known."""


class AdminResponse(NamedTuple):
    """The answer to one call."""

    status: HTTPStatus
    text: str  # for a person, one line; for a scraper, the metrics

    def encode(self) -> bytes:
        """The answer as it goes to the operator."""
        body = f"{self.text}\n".encode()
        phrase = REASON_PHRASES.get(self.status, self.status.phrase)
        return (
            b"HTTP/1.1 %d %b\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%b" % (self.status, phrase.encode(), len(body), body)
        )


class AdminConnection(asyncio.Protocol):
    """One connection of an operator: one call, one answer, the end."""

    def __init__(self, server: AdminServer) -> None:
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.target = b""
        self.body = b""
        self.received_bytes = 0
        self.task: asyncio.Task[None] | None = None
        self.is_answered = False

    # ---- Events of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The operator has connected."""
        # uvloop's transports are not asyncio.Transport by class: no isinstance here
        self.transport = cast(asyncio.Transport, transport)
        self.server.on_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """The connection has ended, whoever ended it."""
        self.server.on_disconnected(self)

    def data_received(self, data: bytes) -> None:
        """Read on in the call, unless it is complete."""
        if self.is_answered or self.task:
            return
        self.received_bytes += len(data)
        if self.received_bytes > MAX_REQUEST_BYTES:
            self.answer(AdminResponse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the call is too long"))
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.answer(AdminResponse(HTTPStatus.BAD_REQUEST, "not a call"))

    # ---- Events of the parser

    def on_url(self, url: bytes) -> None:
        """A part of the call's target has come."""
        self.target += url

    def on_body(self, body: bytes) -> None:
        """A part of the call's body has come."""
        self.body += body

    def on_message_complete(self) -> None:
        """The call is complete; what follows on the connection has no effect."""
        if self.task is None and not self.is_answered:
            call = self._call(self.parser.get_method())
            self.task = asyncio.get_running_loop().create_task(call, name="admin call")

    # ---- The answer

    async def _call(self, method: bytes) -> None:
        path = self.target.partition(b"?")[0]
        try:
            response = await self.server.call(method, path, self.body)
        except Exception:  # an operator is owed an answer whatever goes wrong
            log.exception("admin call failed")
            response = AdminResponse(HTTPStatus.INTERNAL_SERVER_ERROR, "failed")
        self.answer(response)

    def answer(self, response: AdminResponse) -> None:
        """The one answer; the connection ends with it."""
        if self.is_answered or self.transport is None or self.transport.is_closing():
            return
        self.is_answered = True
        self.transport.write(response.encode())
        self.transport.close()

    def abort(self) -> None:
        """End the connection without an answer."""
        if self.transport:
            self.transport.abort()


class AdminServer(AcceptorOwner):
    """Takes the operators' calls, bounded in number, length and time.

    Args:
        is_ready: Whether the gateway is ready to serve clients.
        set_detached: Detaches or attaches a server.
        metrics: Of the process.
    """

    def __init__(
        self, is_ready: Callable[[], bool], set_detached: SetDetached, metrics: Metrics | None = None
    ) -> None:
        self.is_ready = is_ready
        self.set_detached = set_detached
        self.metrics = metrics or Metrics()
        self.connections: OrderedDict[AdminConnection, None] = OrderedDict()  # the oldest first
        self.acceptor = Acceptor(self)
        self._admission_tasks: set[asyncio.Task[None]] = set()
        self._listen_retry: asyncio.TimerHandle | None = None

    def listen(self, address: Address) -> None:
        """Take calls at this address.

        One that can't be had is logged, and tried again where that may help: clients are served all the same.
        """
        try:
            self.acceptor.open(socket.create_server(address, backlog=BACKLOG))
        except OSError as error:
            log.error("admin listener failed host=%s port=%d reason=%r", *address, error)
            if error.errno in BIND_ERRORS:
                loop = asyncio.get_running_loop()
                self._listen_retry = loop.call_later(LISTEN_RETRY_S, self.listen, address)

    def on_accepted(self, sock: socket.socket, waiting_since_s: float) -> None:  # noqa: ARG002 - no deadline
        """Serve a new connection."""
        task = asyncio.get_running_loop().create_task(self._admit(sock))
        self._admission_tasks.add(task)
        task.add_done_callback(self._admission_tasks.discard)

    async def _admit(self, sock: socket.socket) -> None:
        try:
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.connect_accepted_socket(lambda: AdminConnection(self), sock)
        except OSError:
            sock.close()

    def on_accept_error(self, error: OSError) -> None:
        """Note that a call of accept has failed; it is tried again soon."""
        log.warning("admin accept failed reason=%r", error)

    def on_connected(self, connection: AdminConnection) -> None:
        """An operator has connected: there is a bound on how many do at once, and on how long each may."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            oldest, _ = self.connections.popitem(last=False)
            oldest.abort()
        asyncio.get_running_loop().call_later(REQUEST_TIMEOUT_S, connection.abort)

    def on_disconnected(self, connection: AdminConnection) -> None:
        """A connection has ended."""
        self.connections.pop(connection, None)

    async def call(self, method: bytes, path: bytes, body: bytes) -> AdminResponse:
        """Carry out one call."""
        if path == READY_TARGET:
            return self._readiness(method)
        if path == METRICS_TARGET:
            return self._metrics(method)
        if path not in (DETACH_TARGET, ATTACH_TARGET):
            return AdminResponse(HTTPStatus.NOT_FOUND, "no such call")
        if method != b"POST":
            return AdminResponse(HTTPStatus.METHOD_NOT_ALLOWED, "POST only")
        name = _server_name(body)
        if name is None:
            return AdminResponse(HTTPStatus.BAD_REQUEST, "the body is no id")
        return await self._set_detached(name, detached=path == DETACH_TARGET)

    def _readiness(self, method: bytes) -> AdminResponse:
        if method != b"GET":
            return AdminResponse(HTTPStatus.METHOD_NOT_ALLOWED, "GET only")
        if self.is_ready():
            return AdminResponse(HTTPStatus.OK, "ready")
        return AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, "not ready")

    def _metrics(self, method: bytes) -> AdminResponse:
        if method != b"GET":
            return AdminResponse(HTTPStatus.METHOD_NOT_ALLOWED, "GET only")
        return AdminResponse(HTTPStatus.OK, self.metrics.render())

    async def _set_detached(self, name: str, detached: bool) -> AdminResponse:
        if not await self.set_detached(name, detached):
            return AdminResponse(HTTPStatus.NOT_FOUND, "no such server")
        log.info("admin call carried out operation=%s server=%s", "detach" if detached else "attach", name)
        return AdminResponse(HTTPStatus.OK, f"{name} is {'detached' if detached else 'attached'}")

    def close(self) -> None:
        """Take no more calls."""
        if self._listen_retry:
            self._listen_retry.cancel()
        self.acceptor.close()
        for connection in list(self.connections):
            connection.abort()


def _server_name(body: bytes) -> str | None:
    """The name in the body of a call; None if there is none."""
    try:
        name = body.decode().strip()
    except UnicodeDecodeError:
        return None
    return name if 0 < len(name) <= MAX_SERVER_NAME_LENGTH else None
