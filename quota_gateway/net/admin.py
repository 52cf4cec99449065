"""The listener for operators: one HTTP call for each connection, at an address of its own."""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import cast

import httptools

from quota_gateway.net.address import Address

log = logging.getLogger(__name__)

MOST_CALLERS = 8  # connections at once; the oldest makes room for a new one
CALL_S = 2.0  # for a call, from connecting on: a caller waits 1 s for its answer
LONGEST_CALL = 8192  # bytes, head and body
LONGEST_ID = 256
BACKLOG = 64
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    413: "Content Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}
Answer = tuple[int, str]
Moved = Callable[[str, bool], Awaitable[bool]]  # a server's id and whether it is to be out: if it is known


class AdminConnection(asyncio.Protocol):
    """One connection of an operator."""

    def __init__(self, management: AdminServer) -> None:
        self.management = management
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.target, self.body, self.read = b"", b"", 0
        self.task: asyncio.Task[None] | None = None
        self.answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are not asyncio.Transport by class: no isinstance here
        self.transport = cast(asyncio.Transport, transport)
        self.management.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.management.callers.pop(self, None)

    def data_received(self, data: bytes) -> None:
        if self.answered or self.task:
            return
        self.read += len(data)
        if self.read > LONGEST_CALL:
            self.answer(413, "the call is too long")
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.answer(400, "not a call")

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        if self.task is None and not self.answered:
            self.task = asyncio.get_running_loop().create_task(self._call(self.parser.get_method()))

    async def _call(self, method: bytes) -> None:
        try:
            status, text = await self.management.call(method, self.target.partition(b"?")[0], self.body)
        except Exception:  # a caller is owed an answer whatever goes wrong
            log.exception("a call of an operator failed")
            status, text = 500, "failed"
        self.answer(status, text)

    def answer(self, status: int, text: str) -> None:
        """The one answer; the connection ends with it."""
        if self.answered or self.transport is None or self.transport.is_closing():
            return
        self.answered = True
        body = f"{text}\n".encode()
        self.transport.write(
            b"HTTP/1.1 %d %b\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%b" % (status, REASONS[status].encode(), len(body), body)
        )
        self.transport.close()

    def abort(self) -> None:
        """End the connection without an answer."""
        if self.transport:
            self.transport.abort()


class AdminServer:
    """Takes calls of operators, bounded in number, length and time."""

    def __init__(self, ready: Callable[[], bool], moved: Moved) -> None:
        self.ready, self.moved = ready, moved
        self.callers: OrderedDict[AdminConnection, None] = OrderedDict()
        self.server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        """Take calls at this address. One that can't be had is logged: clients are served all the same."""
        try:
            loop = asyncio.get_running_loop()
            self.server = await loop.create_server(
                lambda: AdminConnection(self), *address, reuse_address=True, backlog=BACKLOG
            )
        except OSError as error:
            log.error("no calls of operators can be taken at %s:%d: %r", *address, error)

    def opened(self, caller: AdminConnection) -> None:
        """A new connection. Guards against callers who finish no call: the oldest ones make room."""
        self.callers[caller] = None
        if len(self.callers) > MOST_CALLERS:
            self.callers.popitem(last=False)[0].abort()
        asyncio.get_running_loop().call_later(CALL_S, caller.abort)

    async def call(self, method: bytes, target: bytes, body: bytes) -> Answer:
        """What one call comes to."""
        if target == b"/_ready":
            if method != b"GET":
                return 405, "GET only"
            return (200, "ready") if self.ready() else (503, "not ready")
        if target not in (b"/_servers/detach", b"/_servers/attach"):
            return 404, "no such call"
        if method != b"POST":
            return 405, "POST only"
        try:
            name = body.decode().strip()
        except UnicodeDecodeError:
            return 400, "the body is no id"
        if not name or len(name) > LONGEST_ID:
            return 400, "the body is no id"
        out = target.endswith(b"/detach")
        if not await self.moved(name, out):
            return 404, "no such server"
        log.info("operators called: %s %s", "detach" if out else "attach", name)
        return 200, f"{name} is {'detached' if out else 'attached'}"

    def close(self) -> None:
        """Take no more calls."""
        if self.server:
            self.server.close()
        for caller in list(self.callers):
            caller.abort()
