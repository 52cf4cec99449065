"""The ways in which clients use a connection, with one function per behaviour.

A function raises EOFError, OSError or TimeoutError if the connection ends before the behaviour is complete.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress

from soak.clients.session import ClientSession
from soak.records import ClientBehaviour, RequestEnd, RequestRecord

BEHAVIOUR_WEIGHTS: dict[ClientBehaviour, int] = {
    ClientBehaviour.STEADY: 50,
    ClientBehaviour.PIPELINE: 8,
    ClientBehaviour.DISCONNECT: 13,
    ClientBehaviour.DISCONNECT_IN_PIPELINE: 4,
    ClientBehaviour.SLOW_SEND: 7,
    ClientBehaviour.IDLE: 10,
    ClientBehaviour.MALFORMED: 4,
    ClientBehaviour.PARTIAL_COMMAND: 3,
    ClientBehaviour.DISCONNECT_AT_ONCE: 2,
}
"""Relative frequency of each behaviour. If the order changes, every seed draws other behaviours."""

MAX_STEADY_REQUESTS = 30
MAX_THINK_S = 0.15
PIPELINE_LENGTHS = (2, 8, 40, 150)
ABANDONED_PIPELINE_LENGTHS = (10, 100)
MAX_REQUESTS_BEFORE_DISCONNECT = 3
MAX_PATIENCE_S = 0.4
RESET_SHARE = 0.5
MIN_PIECES, MAX_PIECES = 2, 6
MAX_PIECE_INTERVAL_S = 0.08
IDLE_TIMES_S = (1.95, 2.05, 3.0, 6.0)
"""Idle times close to the time after which a gateway may close an idle connection, and longer ones."""

MALFORMED_DATA = (
    b"",
    b"GET / HTTP/1.1\r\n\r\n",
    b"*1\r\n$-5\r\n",
    b"\x00" * 300,
    b"*4\r\n$8\r\nCALL.GET\r\n",
)
REQUEST_BEFORE_PARTIAL_SHARE = 0.5
MAX_PARTIAL_BYTES = 200

Behave = Callable[[ClientSession], Awaitable[None]]


async def behave(session: ClientSession) -> None:
    """Use a connection according to its behaviour, until the behaviour is complete."""
    await _BEHAVIOURS[session.connection.behaviour](session)


async def _send_steadily(session: ClientSession) -> None:
    """Send one request after another."""
    source = session.context.source
    for _ in range(source.randint(1, MAX_STEADY_REQUESTS)):
        if session.context.is_stopping():
            return
        await session.request()
        await asyncio.sleep(MAX_THINK_S * source.random())


async def _pipeline(session: ClientSession) -> None:
    """Send many requests at once, and read all answers."""
    length = session.context.source.choice(PIPELINE_LENGTHS)
    commands = session.context.commands.make_pipeline(session.connection, length)
    await session.read_answers(session.send(commands))


async def _disconnect(session: ClientSession) -> None:
    """Close the connection while a request is in flight."""
    for _ in range(session.context.source.randint(0, MAX_REQUESTS_BEFORE_DISCONNECT)):
        await session.request()
    await _send_and_disconnect(session, 1)


async def _disconnect_in_pipeline(session: ClientSession) -> None:
    """Close the connection while pipelined requests wait behind those in flight."""
    length = session.context.source.choice(ABANDONED_PIPELINE_LENGTHS)
    await _send_and_disconnect(session, length)


async def _send_and_disconnect(session: ClientSession, request_count: int) -> None:
    source = session.context.source
    records = session.send(session.context.commands.make_pipeline(session.connection, request_count))
    reading = asyncio.ensure_future(session.read_answers(records))
    _, pending = await asyncio.wait([reading], timeout=MAX_PATIENCE_S * source.random() ** 2)
    if not pending:
        reading.result()
        return
    session.connection.close(with_reset=source.random() < RESET_SHARE)
    reading.cancel()
    for record in records:
        if record.end is RequestEnd.UNANSWERED:
            _record_disconnect(record)


async def _disconnect_at_once(session: ClientSession) -> None:
    """Send a request and close at once; the gateway may accept the connection only afterwards."""
    records = session.send([session.context.commands.make(session.connection)])
    session.connection.close(with_reset=session.context.source.random() < RESET_SHARE)
    _record_disconnect(records[0])


def _record_disconnect(record: RequestRecord) -> None:
    record.end = RequestEnd.CLIENT_DISCONNECTED
    record.ended_s = time.monotonic()


async def _send_slowly(session: ClientSession) -> None:
    """Send a command in pieces."""
    source = session.context.source
    command = session.context.commands.make(session.connection)
    pieces = source.randint(MIN_PIECES, MAX_PIECES)
    piece_bytes = max(1, len(command.data) // pieces)
    for start in range(0, len(command.data), piece_bytes):
        await asyncio.sleep(MAX_PIECE_INTERVAL_S * source.random())
        session.connection.writer.write(command.data[start : start + piece_bytes])
    session.mark_sent([command.record])
    await session.read_answers([command.record])


async def _stay_idle(session: ClientSession) -> None:
    """Send a request, leave the connection idle, and send another."""
    await session.request()
    reading = asyncio.ensure_future(session.connection.reader.read(1))
    idle_s = session.context.source.choice(IDLE_TIMES_S)
    _, pending = await asyncio.wait([reading], timeout=idle_s)
    if not pending or session.context.is_stopping():
        return
    reading.cancel()
    with suppress(asyncio.CancelledError):
        await reading
    await session.request()


async def _send_malformed(session: ClientSession) -> None:
    """Send data that is not a command."""
    await session.send_malformed(session.context.source.choice(MALFORMED_DATA))


async def _send_partial_command(session: ClientSession) -> None:
    """Send only the beginning of a command."""
    source = session.context.source
    if source.random() < REQUEST_BEFORE_PARTIAL_SHARE:
        await session.request()
    data = session.context.commands.make(session.connection).data
    end = source.randrange(1, min(len(data) - 1, MAX_PARTIAL_BYTES))
    await session.send_malformed(data[:end])


_BEHAVIOURS: dict[ClientBehaviour, Behave] = {
    ClientBehaviour.STEADY: _send_steadily,
    ClientBehaviour.PIPELINE: _pipeline,
    ClientBehaviour.DISCONNECT: _disconnect,
    ClientBehaviour.DISCONNECT_IN_PIPELINE: _disconnect_in_pipeline,
    ClientBehaviour.SLOW_SEND: _send_slowly,
    ClientBehaviour.IDLE: _stay_idle,
    ClientBehaviour.MALFORMED: _send_malformed,
    ClientBehaviour.PARTIAL_COMMAND: _send_partial_command,
    ClientBehaviour.DISCONNECT_AT_ONCE: _disconnect_at_once,
}
