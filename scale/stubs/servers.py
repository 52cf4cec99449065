"""Stub servers that speak RESP2 as PROTOCOL describes it: many in one process, each with its own port."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from typing import cast

import hiredis

from scale.messages import ServerStatistics

MAXIMUM_IN_FLIGHT = 200
"""Maximum number of requests in flight at one server; further ones are rejected."""

SERVICE_TIME_SIGMA = 0.3
"""Standard deviation of the logarithm of a request's service time."""

WORDS_BY_COMMAND = {b"CALL.GET": 4, b"CALL.POST": 5}
"""Number of words of each command, including its name."""


def encode_reply(value: bytes, usage: bytes | None, load_report: bytes | None) -> bytes:
    """Encode a successful reply from its value, usage report and load report; a missing report is null."""
    parts = (
        b"$-1\r\n" if part is None else b"$%d\r\n%b\r\n" % (len(part), part)
        for part in (value, usage, load_report)
    )
    return b"*3\r\n" + b"".join(parts)


class ServerStub:
    """One server: its requests in flight, its connections and its statistics."""

    def __init__(self, group: ServerStubs) -> None:
        self.group = group
        self.in_flight = 0
        self.connections = 0
        self.most_connections = 0
        self.served = 0
        self.rejected = 0

    def load_report(self) -> bytes:
        """Return the load report, with the fields that the gateways' settings name."""
        return b"util=%.2f,queue=0" % (self.in_flight / MAXIMUM_IN_FLIGHT)


class ServerConnection(asyncio.Protocol):
    """A connection whose commands start on arrival and are answered in order."""

    def __init__(self, server: ServerStub) -> None:
        self._server = server
        self._parser = hiredis.Reader()
        self._replies: deque[bytes | None] = deque()  # None stands for a reply that is not ready yet.
        self._first_number = 0  # Number of the oldest reply in the queue.
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._server.connections += 1
        self._server.most_connections = max(self._server.most_connections, self._server.connections)
        self._server.group.opened += 1

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio.Protocol's signature
        """Remove the connection from the count of open connections."""
        self._server.connections -= 1
        self._transport = None

    def data_received(self, data: bytes) -> None:
        """Start the commands that are complete; a malformed one closes the connection."""
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
        """Store a reply, then write all replies that are next in order and ready."""
        self._replies[number - self._first_number] = reply
        while self._replies and (ready := self._replies[0]) is not None:
            self._replies.popleft()
            self._first_number += 1
            if self._transport:
                self._transport.write(ready)


class ServerStubs:
    """Role of a child process that runs many stub servers; the run calls its public methods.

    Args:
        seed: Seed of the service times.
        number: Number of servers.
        service_ms: Mean service time.

    Attributes:
        opened: Number of connections opened since the last reset.
    """

    def __init__(self, seed: int, number: int, service_ms: float) -> None:
        self.opened = 0
        self._random = random.Random(f"servers {seed}")
        self._mean_service_s = service_ms / 1000.0
        self._servers = [ServerStub(self) for _ in range(number)]

    def draw_service_s(self) -> float:
        """Draw a request's service time from a log-normal distribution with the configured mean."""
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
        """Return the counts of connections and requests over all servers, and the maxima of one server."""
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
        """Reset all counts; connections that are open stay counted."""
        self.opened = 0
        for server in self._servers:
            server.most_connections = server.connections
            server.served = 0
            server.rejected = 0
