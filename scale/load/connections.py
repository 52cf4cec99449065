"""Connections of a client to one address, each with one request at a time."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import cast

import hiredis

from scale.load.statistics import ErrorReply, LoadOutcome, LoadStatistics

MAXIMUM_CONNECTIONS = 200
"""Maximum number of connections to one address; further requests wait for an idle connection."""


class PendingCommand:
    """A request without a reply yet; ``due_s`` is on the monotonic clock."""

    __slots__ = ("command", "due_s", "is_retry")

    def __init__(self, due_s: float, command: bytes) -> None:
        self.due_s = due_s
        self.command = command
        self.is_retry = False


class LoadConnection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._parser = hiredis.Reader(replyError=ErrorReply)
        self._pending: PendingCommand | None = None
        self._transport: asyncio.Transport | None = None

    @property
    def is_open(self) -> bool:
        """Whether requests can be sent on the connection."""
        return self._transport is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def send(self, pending: PendingCommand) -> None:
        """Write a request, whose reply is passed to the pool."""
        assert self._transport
        self._pending = pending
        self._transport.write(pending.command)

    def data_received(self, data: bytes) -> None:
        """Parse replies and pass each to the pool."""
        self._parser.feed(data)
        while (reply := self._parser.gets()) is not False:
            pending = self._pending
            self._pending = None
            if pending:
                self._pool.handle_reply(self, pending, reply)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio.Protocol's signature
        """Tell the pool about the lost connection and its request without a reply, if there is one."""
        pending = self._pending
        self._pending = None
        self._transport = None
        self._pool.handle_connection_lost(self, pending)

    def abort(self) -> None:
        """Close the connection immediately, without sending buffered data."""
        if self._transport:
            self._transport.abort()


class ConnectionPool:
    """Connections of a client to one port on loopback; a new one is opened if all others are busy."""

    def __init__(self, statistics: LoadStatistics, port: int) -> None:
        self._statistics = statistics
        self._port = port
        self._connections: set[LoadConnection] = set()
        self._idle: list[LoadConnection] = []
        self._waiting: deque[PendingCommand] = deque()
        self._open_count = 0
        self._opening: set[asyncio.Task[None]] = set()
        self._is_closed = False

    def submit(self, pending: PendingCommand) -> None:
        """Send a request on an idle connection; otherwise queue it and open a connection if allowed."""
        if self._idle:
            self._idle.pop().send(pending)
            return
        self._waiting.append(pending)
        if self._open_count < MAXIMUM_CONNECTIONS:
            self._open_count += 1
            task = asyncio.get_running_loop().create_task(self._open(), name="open load connection")
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)

    async def _open(self) -> None:
        try:
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: LoadConnection(self), "127.0.0.1", self._port
            )
        except OSError:
            self._open_count -= 1
            if self._waiting:
                self._statistics.record_outcome(LoadOutcome.LOST)
                self._waiting.popleft()
            return
        self._connections.add(connection)
        self._send_next(connection)

    def _send_next(self, connection: LoadConnection) -> None:
        if self._waiting:
            connection.send(self._waiting.popleft())
        else:
            self._idle.append(connection)

    def handle_reply(self, connection: LoadConnection, pending: PendingCommand, reply: object) -> None:
        """Record the reply and reuse the connection."""
        self._statistics.record_reply(pending.due_s, reply)
        if connection.is_open:
            self._send_next(connection)

    def handle_connection_lost(self, connection: LoadConnection, pending: PendingCommand | None) -> None:
        """Retry the request that was in flight on a lost connection, but only once (PROTOCOL, Clients)."""
        self._open_count -= 1
        self._connections.discard(connection)
        if self._is_closed:
            return
        if connection in self._idle:
            self._idle.remove(connection)
        if pending and not pending.is_retry:
            pending.is_retry = True
            self.submit(pending)
        elif pending:
            self._statistics.record_outcome(LoadOutcome.LOST)

    def close(self) -> None:
        """Close all connections; requests without a reply are not sent again."""
        self._is_closed = True
        for connection in self._connections:
            connection.abort()
