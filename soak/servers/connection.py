"""A connection of a gateway to a server."""

from __future__ import annotations

import asyncio
from typing import cast

import hiredis

from soak.fault_kinds import FaultKind
from soak.loop_lag import LoopLag
from soak.servers.state import LONG_VALUE_BYTES, ReceivedCommand, ServerState
from soak.tcp_reset import abort_with_reset

BUSY_REPLY = b"-BUSY\r\n"
HEADER_END = b"\r\n"  # the header of a value is a line for the array and one for the value itself
PIECE_BYTES = 64 * 1024
PIECE_INTERVAL_S = 0.008
"""Time between two pieces of a long value; together they make 8 MB/s."""


class ServerConnection(asyncio.Protocol):
    """A gateway's connection to a server, from accept to close.

    Args:
        state: The state of the server.
        open_connections: The server's open connections; this one is added and removed.
        lag: Measures how late the process notices events.

    Attributes:
        commands_in_flight: The number of requests on the connection that the server is processing.
    """

    def __init__(self, state: ServerState, open_connections: set[ServerConnection], lag: LoopLag) -> None:
        self.commands_in_flight = 0
        self._state = state
        self._open_connections = open_connections
        self._lag = lag
        self._parser = hiredis.Reader()
        self._transport: asyncio.Transport | None = None
        self._streams: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection; do not read from it while the server is not reading."""
        self._transport = cast(asyncio.Transport, transport)
        self._open_connections.add(self)
        if self._state.fault is FaultKind.NOT_READING:
            self._transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio.Protocol's signature
        """Forget the connection and its requests in flight."""
        self._open_connections.discard(self)
        self._state.in_flight -= self.commands_in_flight
        self.commands_in_flight = 0
        self._transport = None

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        if self._transport:
            abort_with_reset(self._transport)

    def set_reading(self, reading: bool) -> None:
        """Resume reading, or pause it so that received data stays in the kernel."""
        if self._transport and reading:
            self._transport.resume_reading()
        elif self._transport:
            self._transport.pause_reading()

    def data_received(self, data: bytes) -> None:
        """Begin each command that has been received completely."""
        self._parser.feed(data)
        while (words := self._parser.gets()) is not False:
            self._begin(ReceivedCommand.parse(words))

    def _begin(self, command: ReceivedCommand) -> None:
        is_overloaded = self._state.is_overloaded
        self._state.record(command, self._lag.seconds(), was_executed=not is_overloaded)
        if is_overloaded:
            self._write(BUSY_REPLY)
            return
        self.commands_in_flight += 1
        self._state.in_flight += 1
        self._schedule_end(command)

    def _schedule_end(self, command: ReceivedCommand) -> None:
        """Reply after the service time, or reset or hang if such a fault is injected."""
        state = self._state
        if state.fault is FaultKind.HANG:
            return
        loop = asyncio.get_running_loop()
        if state.draws_reset():
            loop.call_later(state.draw_service_s(), self.reset)
        else:
            loop.call_later(state.draw_service_s() * state.load(), self._finish, command)

    def _finish(self, command: ReceivedCommand) -> None:
        if self._transport is None:
            return
        self.commands_in_flight -= 1
        self._state.in_flight -= 1
        reply = self._state.make_reply(command)
        if len(reply) < LONG_VALUE_BYTES:
            self._write(reply)
            return
        stream = asyncio.get_running_loop().create_task(self._stream(command, reply))
        self._streams.add(stream)
        stream.add_done_callback(self._streams.discard)

    async def _stream(self, command: ReceivedCommand, reply: bytes) -> None:
        """Write a long value in pieces; record it once the kernel has all of it."""
        written_bytes = self._state.draw_written_bytes(len(reply))
        start_bytes = await self._write_header_early(command, reply)
        for start in range(start_bytes, written_bytes, PIECE_BYTES):
            self._write(reply[start : min(start + PIECE_BYTES, written_bytes)])
            await asyncio.sleep(PIECE_INTERVAL_S)
        while self._transport and self._transport.get_write_buffer_size():  # noqa: ASYNC110 - no event for it
            await asyncio.sleep(PIECE_INTERVAL_S)
        if self._transport and written_bytes == len(reply):
            self._state.record_complete_reply(command)

    async def _write_header_early(self, command: ReceivedCommand, reply: bytes) -> int:
        """Write the header of a value whose body is late, and wait; return how many bytes were written."""
        delay_s = self._state.draw_body_delay_s()
        if not delay_s or self._transport is None:
            return 0
        header_bytes = reply.index(HEADER_END, reply.index(HEADER_END) + 1) + len(HEADER_END)
        self._write(reply[:header_bytes])
        self._state.record_begun_reply(command)
        await asyncio.sleep(delay_s)
        return header_bytes

    def _write(self, data: bytes) -> None:
        if self._transport:
            self._transport.write(data)
