"""The servers of a soak, some in one process: they keep the rules of PROTOCOL, except while a fault is on."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from typing import cast

import hiredis

from scale.stubs.servers import encode_reply
from soak.fault_kinds import FaultKind
from soak.loop_lag import LoopLag
from soak.records import CommandRecord
from soak.settings import MS_PER_S
from soak.tcp_reset import abort_with_reset

SERVICE_TIME_SIGMA = 0.4
"""Standard deviation of the logarithm of a service time."""

SLOW_FACTOR = 12.0
OVERLOAD_CAPACITY_FACTOR = 4
"""Requests in flight, in terms of the capacity, from which on a server rejects."""

RESET_SHARE = 0.5
MALFORMED_REPLY_SHARE = 0.6
ERROR_REPLY_SHARE = 0.6
DUPLICATE_REPLY_SHARE = 0.5
LARGE_VALUE_MIN_DRAW = 0.98
LARGE_VALUE_MIN_TIMEOUT_S = 0.3
LARGE_VALUE_BYTES = 300_000
LOAD_REPORT = b"util=0.5,queue=0"
BUSY_REPLY = b"-BUSY\r\n"
ERROR_REPLY = b"-ERR failed\r\n"
MALFORMED_REPLIES = (
    b"*3\r\n$4\r\nabc\r\n",
    b"$2\r\nok\r\n",
    b"+OK\r\n",
    b"*3\r\n$2\r\nokxx",
    b"-WHAT is this\r\n",
    b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
    b"*9999999999\r\n",
)

RESUMED_READING_S = 0.2
"""After a server has read again, how long commands may have waited in the kernel."""

UNKNOWN_LAG_S = 1e9
"""The lag of commands that may have waited in the kernel while the server did not read."""


class SoakServer:
    """One server: its listener, its connections, and the fault that is on.

    Attributes:
        name: Its name.
        port: Its port, the same after each time that it was down; 0 before it has listened.
        in_flight: The requests that it works on.
        connections: Its open connections.
        records: The commands that it has received.
        random: Of everything that is drawn.
        fault: The fault that is on.
        reading_resumed_s: When it began to read again after a fault, by the monotonic clock.
    """

    def __init__(self, name: str, capacity: int, mean_service_s: float, seed: int) -> None:
        self.name = name
        self.port = 0
        self.in_flight = 0
        self.connections: set[SoakServerConnection] = set()
        self.records: list[CommandRecord] = []
        self.random = random.Random(f"{name} {seed}")
        self.fault: FaultKind | None = None
        self.reading_resumed_s = 0.0
        self._capacity = capacity
        self._mean_service_s = mean_service_s
        self._listener: asyncio.Server | None = None

    @property
    def is_listening(self) -> bool:
        """Whether it accepts connections."""
        return self._listener is not None

    @property
    def is_overloaded(self) -> bool:
        """Whether it rejects requests."""
        has_no_room = self.in_flight >= OVERLOAD_CAPACITY_FACTOR * self._capacity
        return has_no_room or self.fault is FaultKind.OVERLOADED

    async def listen(self, lag: LoopLag) -> None:
        """Listen, at the same port as before if there was one."""
        self._listener = await asyncio.get_running_loop().create_server(
            lambda: SoakServerConnection(self, lag), "127.0.0.1", self.port
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Refuse connections, and reset those that are open."""
        if self._listener:
            self._listener.close()
            self._listener = None
        self.reset_connections()

    def reset_connections(self, only_idle: bool = False) -> None:
        """Reset the connections, or only those without a request in flight."""
        for connection in tuple(self.connections):
            if not (only_idle and connection.commands_in_flight):
                connection.reset()

    def draw_service_s(self) -> float:
        """Draw a request's service time."""
        factor = SLOW_FACTOR if self.fault is FaultKind.SLOW else 1.0
        return factor * self._mean_service_s * self.random.lognormvariate(0.0, SERVICE_TIME_SIGMA)

    def load(self) -> float:
        """Return by how much the requests in flight slow each other, at least 1."""
        return max(1.0, self.in_flight / self._capacity)


@dataclass(frozen=True, slots=True)
class ReceivedCommand:
    """A command of PROTOCOL, as far as a server uses it."""

    request_id: bytes
    timeout_s: float

    @classmethod
    def parse(cls, words: list[bytes]) -> ReceivedCommand:
        """Parse the words of a command."""
        fields = dict(part.split(b"=", 1) for part in words[3].split(b","))
        return cls(words[2], float(fields[b"d"]) / MS_PER_S)


class SoakServerConnection(asyncio.Protocol):
    """One connection of a gateway to a server.

    Attributes:
        commands_in_flight: The requests on it that the server works on.
    """

    def __init__(self, server: SoakServer, lag: LoopLag) -> None:
        self.commands_in_flight = 0
        self._server = server
        self._lag = lag
        self._parser = hiredis.Reader()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection, unless the server is not reading."""
        self._transport = cast(asyncio.Transport, transport)
        self._server.connections.add(self)
        if self._server.fault is FaultKind.NOT_READING:
            self._transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio.Protocol's signature
        """Forget the connection and its requests in flight."""
        self._server.connections.discard(self)
        self._server.in_flight -= self.commands_in_flight
        self.commands_in_flight = 0
        self._transport = None

    def reset(self) -> None:
        """Reset it."""
        if self._transport:
            abort_with_reset(self._transport)

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
            self._begin(ReceivedCommand.parse(words))

    def _begin(self, command: ReceivedCommand) -> None:
        is_overloaded = self._server.is_overloaded
        self._record(command, was_executed=not is_overloaded)
        if is_overloaded:
            self._write(BUSY_REPLY)
            return
        self.commands_in_flight += 1
        self._server.in_flight += 1
        self._schedule_end(command)

    def _record(self, command: ReceivedCommand, was_executed: bool) -> None:
        now_s = time.monotonic()
        has_just_resumed = now_s - self._server.reading_resumed_s < RESUMED_READING_S
        record = CommandRecord(
            request_id=command.request_id.decode(),
            server=self._server.name,
            received_s=now_s,
            lag_s=self._lag.seconds() + (UNKNOWN_LAG_S if has_just_resumed else 0.0),
            remaining_timeout_s=command.timeout_s,
            was_executed=was_executed,
        )
        self._server.records.append(record)

    def _schedule_end(self, command: ReceivedCommand) -> None:
        """Answer after the service time, or as the fault that is on has it."""
        server = self._server
        if server.fault is FaultKind.HANG:
            return
        loop = asyncio.get_running_loop()
        if server.fault is FaultKind.RESET_DURING_REQUEST and server.random.random() < RESET_SHARE:
            loop.call_later(server.draw_service_s(), self.reset)
            return
        loop.call_later(server.draw_service_s() * server.load(), self._finish, command)

    def _finish(self, command: ReceivedCommand) -> None:
        if self._transport is None:
            return
        self.commands_in_flight -= 1
        self._server.in_flight -= 1
        self._write(self._make_reply(command))

    def _make_reply(self, command: ReceivedCommand) -> bytes:
        source, fault = self._server.random, self._server.fault
        draw = source.random()
        if fault is FaultKind.MALFORMED_REPLY and draw < MALFORMED_REPLY_SHARE:
            return source.choice(MALFORMED_REPLIES)
        if fault is FaultKind.ERROR_REPLY and draw < ERROR_REPLY_SHARE:
            return ERROR_REPLY
        if fault is FaultKind.DUPLICATE_REPLY and draw < DUPLICATE_REPLY_SHARE:
            return 2 * encode_reply(command.request_id, None, None)
        value = command.request_id
        if draw > LARGE_VALUE_MIN_DRAW and command.timeout_s > LARGE_VALUE_MIN_TIMEOUT_S:
            value *= LARGE_VALUE_BYTES // len(value)
        return encode_reply(value, None, LOAD_REPORT)

    def _write(self, data: bytes) -> None:
        if self._transport:
            self._transport.write(data)


class SoakServers:
    """The servers of one process, as a child's role.

    Args:
        names: Their names.
        capacity: Requests that each works on at a time without getting slower.
        mean_service_s: The service time around which each is drawn.
        seed: The seed of the play.
    """

    def __init__(self, names: list[str], capacity: int, mean_service_s: float, seed: int) -> None:
        self._servers = {name: SoakServer(name, capacity, mean_service_s, seed) for name in names}

    async def start(self) -> dict[str, int]:
        """Listen; return the port of each server."""
        self._lag = LoopLag()
        for server in self._servers.values():
            await server.listen(self._lag)
        return {name: server.port for name, server in self._servers.items()}

    async def begin_fault(self, server: str, kind: str) -> None:
        """Begin a fault of one server."""
        target = self._servers[server]
        target.fault = FaultKind(kind)
        match target.fault:
            case FaultKind.DOWN:
                target.stop_listening()
            case FaultKind.RESET_IDLE_CONNECTIONS:
                target.reset_connections(only_idle=True)
            case FaultKind.RESET_ALL_CONNECTIONS:
                target.reset_connections()
            case FaultKind.NOT_READING:
                for connection in target.connections:
                    connection.set_reading(False)

    async def end_fault(self, server: str) -> None:
        """End the fault of one server."""
        target = self._servers[server]
        if not target.is_listening:
            await target.listen(self._lag)
        if target.fault is FaultKind.NOT_READING:
            target.reading_resumed_s = time.monotonic()
            for connection in target.connections:
                connection.set_reading(True)
        target.fault = None

    async def records(self) -> list[CommandRecord]:
        """Return the commands that all servers have received."""
        return [record for server in self._servers.values() for record in server.records]
