"""Stand-in servers, written from PROTOCOL: RESP2, many on one process, each with a port of its own."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from typing import Any, cast

import hiredis

MOST_AT_ONCE = 200  # requests that one server has in hand; it turns more away
SPREAD = 0.3  # of the logarithm of the time that a request takes


def array(value: bytes, used: bytes | None, report: bytes | None) -> bytes:
    """A good answer: the value, figures on use or null, a load report or null."""
    parts = (
        b"$-1\r\n" if part is None else b"$%d\r\n%b\r\n" % (len(part), part) for part in (value, used, report)
    )
    return b"*3\r\n" + b"".join(parts)


class Server:
    """One server: what it has in hand, and what it has answered."""

    def __init__(self, owner: Servers) -> None:
        self.owner = owner
        self.in_hand = self.connections = self.most_connections = self.served = self.refused = 0

    def report(self) -> bytes:
        """Its load, with the fields that the gateways' settings name."""
        return b"util=%.2f,queue=0" % (self.in_hand / MOST_AT_ONCE)


class Session(asyncio.Protocol):
    """One connection. Commands are begun as they come and answered in order."""

    def __init__(self, server: Server) -> None:
        self.server, self.parser = server, hiredis.Reader()
        self.answers: deque[bytes | None] = deque()  # None: not ready yet
        self.first = 0  # the number of the first of them
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections += 1
        self.server.most_connections = max(self.server.most_connections, self.server.connections)
        self.server.owner.opened += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections -= 1
        self.transport = None

    def data_received(self, data: bytes) -> None:
        self.parser.feed(data)
        try:
            while (words := self.parser.gets()) is not False:
                self._begin(words)
        except hiredis.ProtocolError:
            if self.transport:
                self.transport.abort()

    def _begin(self, words: Any) -> None:
        number = self.first + len(self.answers)
        self.answers.append(None)
        word = words[0].upper() if isinstance(words, list) and words else b""
        if word in (b"CLIENT", b"SELECT"):
            self._finish(number, b"+OK\r\n")
        elif word not in (b"CALL.GET", b"CALL.POST"):
            self._finish(number, b"-ERR unknown command\r\n")
        elif len(words) != (4 if word == b"CALL.GET" else 5):
            self._finish(number, b"-SYNTAX\r\n")
        elif self.server.in_hand >= MOST_AT_ONCE:
            self.server.refused += 1
            self._finish(number, b"-BUSY\r\n")
        else:
            self.server.in_hand += 1
            loop = asyncio.get_running_loop()
            loop.call_later(self.server.owner.service_s(), self._served, number, words[2])

    def _served(self, number: int, value: bytes) -> None:
        self.server.in_hand -= 1
        self.server.served += 1
        self._finish(number, array(value, None, self.server.report()))

    def _finish(self, number: int, answer: bytes) -> None:
        self.answers[number - self.first] = answer
        while self.answers and (ready := self.answers[0]) is not None:
            self.answers.popleft()
            self.first += 1
            if self.transport:
                self.transport.write(ready)


class Servers:
    """So many servers on one process. The role of a child; its methods are the parent's calls."""

    def __init__(self, seed: int, number: int, service_ms: float) -> None:
        self.random, self.mean_s = random.Random(f"servers {seed}"), service_ms / 1000.0
        self.all = [Server(self) for _ in range(number)]
        self.opened = 0  # connections, ever

    def service_s(self) -> float:
        """How long a request takes, in seconds: drawn about the mean."""
        return self.mean_s * self.random.lognormvariate(-SPREAD * SPREAD / 2.0, SPREAD)

    async def start(self) -> list[int]:
        """Listen on loopback; the port of each."""
        loop, ports = asyncio.get_running_loop(), []
        for server in self.all:
            listener = await loop.create_server(lambda server=server: Session(server), "127.0.0.1", 0)  # type: ignore[misc]
            ports.append(int(listener.sockets[0].getsockname()[1]))
        return ports

    async def stats(self) -> dict[str, Any]:
        """Connections now, the most, and ever; requests served and turned away; the most that one has."""
        return {
            "connections": sum(server.connections for server in self.all),
            "opened": self.opened,
            "most_per_server": max(server.most_connections for server in self.all),
            "used": sum(server.most_connections > 0 for server in self.all),
            "served": sum(server.served for server in self.all),
            "refused": sum(server.refused for server in self.all),
            "busiest": max(server.served for server in self.all),
        }

    async def forget(self) -> None:
        """Count anew from here."""
        self.opened = 0
        for server in self.all:
            server.most_connections, server.served, server.refused = server.connections, 0, 0
