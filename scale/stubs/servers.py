"""Stub servers, written from PROTOCOL: RESP2, many in one process, each with a port of its own."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from typing import cast

import hiredis

from scale.messages import ServerStatistics

MAXIMUM_IN_FLIGHT = 200
"""Requests that one server works on at a time; it rejects more."""

SERVICE_TIME_SIGMA = 0.3
"""Standard deviation of the logarithm of a request's service time."""

WORDS_BY_COMMAND = {b"CALL.GET": 4, b"CALL.POST": 5}
"""The number of words of each command, with its name."""


def encode_reply(value: bytes, usage: bytes | None, load_report: bytes | None) -> bytes:
    """Encode a successful reply: the value, the usage report or null, the load report or null."""
    parts = (
        b"$-1\r\n" if part is None else b"$%d\r\n%b\r\n" % (len(part), part)
        for part in (value, usage, load_report)
    )
    return b"*3\r\n" + b"".join(parts)


class ServerStub:
    """One server's requests in flight, its connections, and its counts."""

    def __init__(self, group: ServerStubs) -> None:
        self.group = group
        self.in_flight = 0
        self.connections = 0
        self.most_connections = 0
        self.served = 0
        self.rejected = 0

    def load_report(self) -> bytes:
        """Return its load, with the fields that the gateways' settings name."""
        return b"util=%.2f,queue=0" % (self.in_flight / MAXIMUM_IN_FLIGHT)


class ServerConnection(asyncio.Protocol):
    """One connection. Commands are begun as they come and answered in order."""

    def __init__(self, server: ServerStub) -> None:
        self._server = server
        self._parser = hiredis.Reader()
        self._replies: deque[bytes | None] = deque()  # None: not ready yet
        self._first_number = 0  # of the oldest of them
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._server.connections += 1
        self._server.most_connections = max(self._server.most_connections, self._server.connections)
        self._server.group.opened += 1

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio.Protocol's signature
        """Count the connection no more."""
        self._server.connections -= 1
        self._transport = None

    def data_received(self, data: bytes) -> None:
        """Begin the commands that are complete; a malformed one ends the connection."""
        self._parser.feed(data)
        try:
            while (words := self._parser.gets()) is not False:
                self._begin(words if isinstance(words, list) else [])
        except hiredis.ProtocolError:
            if self._transport:
                self._transport.abort()

    def _begin(self, words: list[bytes]) -> None:
        number = self._first_number + len(self._replies)
        self._replies.append(None)
        command = words[0].upper() if words else b""
        if command in (b"CLIENT", b"SELECT"):
            self._finish(number, b"+OK\r\n")
        elif command not in WORDS_BY_COMMAND:
            self._finish(number, b"-ERR unknown command\r\n")
        elif len(words) != WORDS_BY_COMMAND[command]:
            self._finish(number, b"-SYNTAX\r\n")
        elif self._server.in_flight >= MAXIMUM_IN_FLIGHT:
            self._server.rejected += 1
            self._finish(number, b"-BUSY\r\n")
        else:
            self._server.in_flight += 1
            service_s = self._server.group.draw_service_s()
            asyncio.get_running_loop().call_later(service_s, self._serve, number, words[2])

    def _serve(self, number: int, value: bytes) -> None:
        self._server.in_flight -= 1
        self._server.served += 1
        self._finish(number, encode_reply(value, None, self._server.load_report()))

    def _finish(self, number: int, reply: bytes) -> None:
        """Note a reply, and write all that are ready in order."""
        self._replies[number - self._first_number] = reply
        while self._replies and (ready := self._replies[0]) is not None:
            self._replies.popleft()
            self._first_number += 1
            if self._transport:
                self._transport.write(ready)


class ServerStubs:
    """Many servers in one process; a child's role whose methods are the run's commands.

    Args:
        seed: The seed of service times.
        number: How many servers there are.
        service_ms: The mean service time.

    Attributes:
        opened: Connections that were opened since the last reset.
    """

    def __init__(self, seed: int, number: int, service_ms: float) -> None:
        self.opened = 0
        self._random = random.Random(f"servers {seed}")
        self._mean_service_s = service_ms / 1000.0
        self._servers = [ServerStub(self) for _ in range(number)]

    def draw_service_s(self) -> float:
        """Draw a request's service time from a log-normal distribution about the mean."""
        mu = -SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2.0
        return self._mean_service_s * self._random.lognormvariate(mu, SERVICE_TIME_SIGMA)

    async def start(self) -> list[int]:
        """Listen on loopback and return the port of each server."""
        loop = asyncio.get_running_loop()
        ports = []
        for server in self._servers:
            listener = await loop.create_server(
                lambda server=server: ServerConnection(server),  # type: ignore[misc]
                "127.0.0.1",
                0,
            )
            ports.append(int(listener.sockets[0].getsockname()[1]))
        return ports

    async def statistics(self) -> ServerStatistics:
        """Return connections and requests over all servers, and of the busiest one."""
        return ServerStatistics(
            connections=sum(server.connections for server in self._servers),
            opened=self.opened,
            most_per_server=max(server.most_connections for server in self._servers),
            used=sum(server.most_connections > 0 for server in self._servers),
            served=sum(server.served for server in self._servers),
            rejected=sum(server.rejected for server in self._servers),
            busiest=max(server.served for server in self._servers),
        )

    async def reset_statistics(self) -> None:
        """Count anew from here; connections that are open stay counted."""
        self.opened = 0
        for server in self._servers:
            server.most_connections = server.connections
            server.served = 0
            server.rejected = 0
