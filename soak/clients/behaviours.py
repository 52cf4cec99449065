"""The ways in which clients use a connection, with one function per behaviour.

A function raises EOFError, OSError or TimeoutError if the connection ends before the behaviour is complete.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress

from soak.clients.commands import MAX_PIPELINED_BODY_BYTES
from soak.clients.session import ClientSession
from soak.records import ClientBehaviour, RequestClass, RequestEnd, RequestRecord

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
    ClientBehaviour.SLOW_READ: 20,
    ClientBehaviour.DOWNLOAD_PIPELINE: 8,
    ClientBehaviour.UPLOAD: 4,
    ClientBehaviour.STALLED_UPLOAD: 3,
    ClientBehaviour.SEND_MUCH_AND_DISCONNECT: 2,
    ClientBehaviour.REPEATED_ID: 6,
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
SLOW_READ_BYTES_PER_S = 1.25e6
MIN_SEND_DELAY_S, MAX_SEND_DELAY_S = 0.2, 1.2
"""Times at which a client that reads slowly sends its next request; it reads a long value for 1.7 s."""

UPLOAD_SIZES_BYTES = (300_000, 1_000_000, 4_000_000)
UPLOAD_PIECE_BYTES = 64 * 1024
UPLOAD_PIECE_INTERVAL_S = 0.004
MUCH_BODY_BYTES = 60_000
MAX_MUCH_COMMANDS = 100
FULL_CHECK_S = 0.005
FULL_CHECKS = 3
"""Checks for which a client's machine takes nothing more before the client closes its connection."""

REPEAT_DELAY_S = 0.15
"""Time after which a client that has left sends its request again."""

MAX_FIRST_PATIENCE_S = 0.1
REQUESTS_BEHIND_DOWNLOADS = 3
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


async def _read_slowly(session: ClientSession) -> None:
    """Read a long value slowly, and send the next request meanwhile."""
    session.connection.read_bytes_per_s = SLOW_READ_BYTES_PER_S
    records = session.send([session.context.commands.make_download(session.connection)])
    sending = asyncio.ensure_future(_send_later(session, records))
    try:
        await session.read_answers(records)
        if len(records) == 1:  # The download has failed before the next request was sent.
            await sending
            await session.read_answers(records[1:])
    finally:
        sending.cancel()


async def _send_later(session: ClientSession, records: list[RequestRecord]) -> None:
    source = session.context.source
    await asyncio.sleep(MIN_SEND_DELAY_S + (MAX_SEND_DELAY_S - MIN_SEND_DELAY_S) * source.random())
    command = session.context.commands.make(session.connection, MAX_PIPELINED_BODY_BYTES)
    records += session.send([command])


async def _pipeline_downloads(session: ClientSession) -> None:
    """Send two downloads and some requests behind them at once; the second download is soon overdue."""
    commands, connection = session.context.commands, session.connection
    downloads = [commands.make_download(connection), commands.make_download(connection, True)]
    others = commands.make_pipeline(connection, REQUESTS_BEHIND_DOWNLOADS)
    await session.read_answers(session.send([*downloads, *others]))


async def _upload(session: ClientSession) -> None:
    """Send a command with a long body in pieces."""
    body_bytes = session.context.source.choice(UPLOAD_SIZES_BYTES)
    command = session.context.commands.make_upload(session.connection, body_bytes)
    await _write_in_pieces(session, command.data)
    session.mark_sent([command.record])
    await session.read_answers([command.record])


async def _stall_upload(session: ClientSession) -> None:
    """Send a part of a command with a long body, and stay."""
    body_bytes = session.context.source.choice(UPLOAD_SIZES_BYTES)
    data = session.context.commands.make_upload(session.connection, body_bytes).data
    await session.send_malformed(data[: session.context.source.randrange(1, len(data))])


async def _write_in_pieces(session: ClientSession, data: bytes) -> None:
    for start in range(0, len(data), UPLOAD_PIECE_BYTES):
        session.connection.writer.write(data[start : start + UPLOAD_PIECE_BYTES])
        await session.connection.writer.drain()
        await asyncio.sleep(UPLOAD_PIECE_INTERVAL_S)


async def _send_much_and_disconnect(session: ClientSession) -> None:
    """Send commands until the machine takes no more, and close the connection behind them."""
    commands, transport = session.context.commands, session.connection.writer.transport
    records: list[RequestRecord] = []
    full_checks = 0
    while full_checks < FULL_CHECKS and len(records) < MAX_MUCH_COMMANDS:
        if transport.get_write_buffer_size():
            full_checks += 1
            await asyncio.sleep(FULL_CHECK_S)
            continue
        full_checks = 0
        records += session.send([commands.make_upload(session.connection, MUCH_BODY_BYTES)])
    session.connection.close()
    for record in records:
        _record_disconnect(record)


async def _repeat_id(session: ClientSession) -> None:
    """Send a non-idempotent request, leave, and send it again with the same id on another connection."""
    source, connection = session.context.source, session.connection
    command = session.context.commands.make_upload(connection, 1, RequestClass.ORDER)
    host, port = connection.writer.get_extra_info("peername")
    (record,) = session.send([command])
    await asyncio.sleep(MAX_FIRST_PATIENCE_S * source.random())
    connection.close(with_reset=source.random() < RESET_SHARE)
    _record_disconnect(record)
    await asyncio.sleep(REPEAT_DELAY_S)
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(session.context.commands.make_again(record).data)
    with suppress(OSError, TimeoutError):
        await asyncio.wait_for(reader.readline(), record.timeout_s)
    writer.close()


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
    ClientBehaviour.SLOW_READ: _read_slowly,
    ClientBehaviour.DOWNLOAD_PIPELINE: _pipeline_downloads,
    ClientBehaviour.UPLOAD: _upload,
    ClientBehaviour.STALLED_UPLOAD: _stall_upload,
    ClientBehaviour.SEND_MUCH_AND_DISCONNECT: _send_much_and_disconnect,
    ClientBehaviour.REPEATED_ID: _repeat_id,
}
