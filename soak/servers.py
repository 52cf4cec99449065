"""Servers of a soak, some in one process: they keep PROTOCOL's rules, and misbehave when told to."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
import time
from typing import cast

import hiredis

from scale.stubs.servers import encode_reply
from soak.loop_lag import LoopLag
from soak.records import CommandRecord

SERVICE_SIGMA = 0.4
SLOW_FACTOR = 12.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER without a time: the close resets the connection
MALFORMED_REPLIES = (
    b"*3\r\n$4\r\nabc\r\n",
    b"$2\r\nok\r\n",
    b"+OK\r\n",
    b"*3\r\n$2\r\nokxx",
    b"-WHAT is this\r\n",
    b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
    b"*9999999999\r\n",
)
LARGE_VALUE_BYTES = 300_000


class SoakServer:
    """One server: its listener, its connections, the trouble that it is in."""

    def __init__(self, name: str, capacity: int, mean_service_s: float, seed: int) -> None:
        self.name = name
        self.capacity = capacity
        self.mean_service_s = mean_service_s
        self.random = random.Random(f"{name} {seed}")
        self.trouble = ""
        self.trouble_ended_s = 0.0
        self.in_flight = 0
        self.connections: set[SoakServerConnection] = set()
        self.listener: asyncio.Server | None = None
        self.port = 0
        self.records: list[CommandRecord] = []

    async def listen(self, lag: LoopLag) -> None:
        """Listen, at the same port as before if there was one."""
        self.listener = await asyncio.get_running_loop().create_server(
            lambda: SoakServerConnection(self, lag), "127.0.0.1", self.port
        )
        self.port = self.listener.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Refuse connections, and reset those that are open."""
        if self.listener:
            self.listener.close()
            self.listener = None
        self.reset_connections()

    def reset_connections(self, only_idle: bool = False) -> None:
        """Reset the connections."""
        for connection in [c for c in self.connections if not (only_idle and c.open_commands)]:
            connection.reset()

    def service_s(self) -> float:
        """Draw a request's service time."""
        factor = SLOW_FACTOR if self.trouble == "slow" else 1.0
        return factor * self.mean_service_s * self.random.lognormvariate(0.0, SERVICE_SIGMA)


class SoakServerConnection(asyncio.Protocol):
    """One connection of a gateway to a server."""

    def __init__(self, server: SoakServer, lag: LoopLag) -> None:
        self.server = server
        self.open_commands = 0
        self._lag = lag
        self._parser = hiredis.Reader()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection, unless the server is not reading."""
        self._transport = cast(asyncio.Transport, transport)
        self.server.connections.add(self)
        if self.server.trouble == "not_reading":
            self._transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio.Protocol's signature
        """Forget the connection; what it carried is not worked on any more."""
        self.server.connections.discard(self)
        self.server.in_flight -= self.open_commands
        self.open_commands = 0
        self._transport = None

    def reset(self) -> None:
        """Reset it."""
        if self._transport:
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self._transport.abort()

    def set_reading(self, reading: bool) -> None:
        """Read, or leave what comes in the kernel."""
        if self._transport and reading:
            self._transport.resume_reading()
        elif self._transport:
            self._transport.pause_reading()

    def data_received(self, data: bytes) -> None:
        """Begin each command whose last byte has come."""
        self._parser.feed(data)
        while (words := self._parser.gets()) is not False:
            self._begin(words)

    def _begin(self, words: list[bytes]) -> None:
        server = self.server
        now_s = time.monotonic()
        since_trouble_s = now_s - server.trouble_ended_s
        lag_s = self._lag.seconds() + (1e9 if since_trouble_s < 0.2 else 0.0)
        fields = dict(part.split(b"=", 1) for part in words[3].split(b","))
        is_overloaded = server.in_flight >= 4 * server.capacity or server.trouble == "busy"
        request_id = words[2].decode()
        told_s = float(fields[b"d"]) / 1000.0
        record = CommandRecord(request_id, server.name, now_s, lag_s, told_s, not is_overloaded)
        server.records.append(record)
        if is_overloaded:
            self._write(b"-BUSY\r\n")
            return
        self.open_commands += 1
        server.in_flight += 1
        loop = asyncio.get_running_loop()
        if server.trouble == "hang":
            return
        if server.trouble == "reset_under" and server.random.random() < 0.5:
            loop.call_later(server.service_s(), self.reset)
            return
        load = max(1.0, server.in_flight / server.capacity)
        loop.call_later(server.service_s() * load, self._finish, words[2], told_s)

    def _finish(self, request_id: bytes, told_s: float) -> None:
        if self._transport is None:
            return
        self.open_commands -= 1
        self.server.in_flight -= 1
        draw = self.server.random.random()
        if self.server.trouble == "spoil" and draw < 0.6:
            self._write(self.server.random.choice(MALFORMED_REPLIES))
        elif self.server.trouble == "fail" and draw < 0.6:
            self._write(b"-ERR failed\r\n")
        elif self.server.trouble == "twice" and draw < 0.5:
            self._write(2 * encode_reply(request_id, None, None))
        else:
            is_large = draw > 0.98 and told_s > 0.3
            value = request_id * (LARGE_VALUE_BYTES // len(request_id)) if is_large else request_id
            self._write(encode_reply(value, None, b"util=0.5,queue=0"))

    def _write(self, data: bytes) -> None:
        if self._transport:
            self._transport.write(data)


class SoakServers:
    """The servers of one process; a child's role."""

    def __init__(self, names: list[str], capacity: int, mean_service_s: float, seed: int) -> None:
        self._servers = {name: SoakServer(name, capacity, mean_service_s, seed) for name in names}

    async def start(self) -> dict[str, int]:
        """Listen; return the port of each server."""
        self._lag = LoopLag()
        for server in self._servers.values():
            await server.listen(self._lag)
        return {name: server.port for name, server in self._servers.items()}

    async def begin_trouble(self, server: str, kind: str) -> None:
        """Begin a trouble of one server."""
        target = self._servers[server]
        target.trouble = kind
        if kind == "down":
            target.stop_listening()
        elif kind == "reset_idle":
            target.reset_connections(only_idle=True)
        elif kind == "reset_all":
            target.reset_connections()
        elif kind == "not_reading":
            for connection in target.connections:
                connection.set_reading(False)

    async def end_trouble(self, server: str) -> None:
        """End the trouble of one server."""
        target = self._servers[server]
        if target.listener is None:
            await target.listen(self._lag)
        if target.trouble == "not_reading":
            target.trouble_ended_s = time.monotonic()
            for connection in target.connections:
                connection.set_reading(True)
        target.trouble = ""

    async def records(self) -> list[CommandRecord]:
        """Return what all servers were sent."""
        return [record for server in self._servers.values() for record in server.records]
