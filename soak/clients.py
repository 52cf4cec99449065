"""Clients of a soak, many in one process: each connection behaves in one of some ways, good or bad."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
import time
from contextlib import suppress

import hiredis

from soak.loop_lag import LoopLag
from soak.records import (
    VALUE_REPLY,
    WRONG_VALUE_PREFIX,
    ClientBehaviour,
    RequestClass,
    RequestEnd,
    RequestRecord,
)

PEER_GRACE_S = 3.0
"""TERMS: such a peer is owed an error line or a close within this time."""

ANSWER_GRACE_S = 0.5
"""An answer that comes later than this after the request's time is lost."""

EXTRA_WAIT_S = 1.0
"""How much longer a client waits, to tell a late answer from none."""

READ_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
TIMEOUTS_MS = (60, 150, 400, 1000, 1500)
BODY_SIZES = (1, 300, 20_000, 120_000)
PLAN = "free"
BEHAVIOURS = {
    "steady": 50,
    "pipeline": 8,
    "leave": 13,
    "leave_pipeline": 4,
    "slow_writer": 7,
    "rest": 10,
    "junk": 4,
    "half": 3,
    "leave_early": 2,
}
JUNK_DATA = (b"", b"GET / HTTP/1.1\r\n\r\n", b"*1\r\n$-5\r\n", b"\x00" * 300, b"*4\r\n$8\r\nCALL.GET\r\n")


class ReplyError(Exception):
    """An error reply as hiredis reads it."""


class SoakConnection:
    """One connection of a client."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, gateway: int, behaviour: str
    ) -> None:
        self.behaviour = behaviour
        self.reader = reader
        self.writer = writer
        self.gateway = gateway
        self.request_count = 0
        self.connected_s = time.monotonic()
        self.idle_since_s = self.connected_s
        self.has_partial_reply = False
        self._parser = hiredis.Reader(replyError=ReplyError)

    async def read_reply(self) -> object:
        """Read the next reply.

        Raises:
            EOFError: The connection has ended.
        """
        while (reply := self._parser.gets()) is False:
            data = await self.reader.read(READ_BYTES)
            if not data:
                raise EOFError
            self.has_partial_reply = True
            self._parser.feed(data)
        self.has_partial_reply = self._parser.has_data()
        return reply

    def close(self, with_reset: bool = False) -> None:
        """Close the connection."""
        if with_reset:
            with suppress(OSError):
                sock = self.writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.writer.transport.abort()


def encode(*words: bytes) -> bytes:
    """Encode a command."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


class SoakClients:
    """The clients of one process; a child's role."""

    def __init__(
        self, gateway_ports: list[int], class_names: list[str], connections: int, seed: int, number: int
    ) -> None:
        self._ports = gateway_ports
        self._class_names = class_names
        self._connections = connections
        self._random = random.Random(f"clients {seed} {number}")
        self._first_id = number << 32
        self._next_id = self._first_id
        self._records: list[RequestRecord] = []
        self._stopping = False
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Begin to send."""
        self._lag = LoopLag()
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._run_connections()) for _ in range(self._connections)]

    async def stop(self) -> None:
        """Begin nothing more, and wait for what is owed."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    async def records(self) -> list[RequestRecord]:
        """Return all requests."""
        return self._records

    async def _run_connections(self) -> None:
        while not self._stopping:
            gateway = self._random.randrange(len(self._ports))
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self._ports[gateway])
            except OSError:
                await asyncio.sleep(0.05)
                continue
            behaviour = self._random.choices(list(BEHAVIOURS), list(BEHAVIOURS.values()))[0]
            connection = SoakConnection(reader, writer, gateway, behaviour)
            # RuntimeError: the loop's word for a write on a connection that is closed
            with suppress(OSError, EOFError, TimeoutError, RuntimeError):
                await getattr(self, f"_behave_{behaviour}")(connection)
            with suppress(RuntimeError):
                connection.close()

    # ---- Behaviours

    async def _behave_steady(self, connection: SoakConnection) -> None:
        for _ in range(self._random.randint(1, 30)):
            if self._stopping:
                return
            await self._request(connection)
            await asyncio.sleep(0.15 * self._random.random())

    async def _behave_pipeline(self, connection: SoakConnection) -> None:
        number = self._random.choice((2, 8, 40, 150))
        commands = [self._make_command(connection, max_body=300) for _ in range(number)]
        connection.writer.write(b"".join(data for data, _ in commands))
        await self._read_answers(connection, self._sent(connection, [record for _, record in commands]))

    async def _behave_leave(self, connection: SoakConnection) -> None:
        for _ in range(self._random.randint(0, 3)):
            await self._request(connection)
        await self._send_and_leave(connection, 1)

    async def _behave_leave_pipeline(self, connection: SoakConnection) -> None:
        """Leave while commands still wait behind those that may be in hand."""
        await self._send_and_leave(connection, self._random.choice((10, 100)))

    async def _send_and_leave(self, connection: SoakConnection, number: int) -> None:
        commands = [self._make_command(connection, max_body=300) for _ in range(number)]
        connection.writer.write(b"".join(data for data, _ in commands))
        records = self._sent(connection, [record for _, record in commands])
        waiting = asyncio.ensure_future(self._read_answers(connection, records))
        _, pending = await asyncio.wait([waiting], timeout=0.4 * self._random.random() ** 2)
        if not pending:
            waiting.result()
            return
        connection.close(with_reset=self._random.random() < 0.5)
        waiting.cancel()
        for record in records:
            if record.end == RequestEnd.UNANSWERED:
                record.end = RequestEnd.CLIENT_DISCONNECTED
                record.ended_s = time.monotonic()

    async def _behave_leave_early(self, connection: SoakConnection) -> None:
        """Send and close in one turn: the gateway may accept a connection that is over."""
        data, record = self._make_command(connection)
        connection.writer.write(data)
        self._sent(connection, [record])
        connection.close(with_reset=self._random.random() < 0.5)
        record.ended_s = time.monotonic()
        record.end = RequestEnd.CLIENT_DISCONNECTED

    async def _behave_slow_writer(self, connection: SoakConnection) -> None:
        data, record = self._make_command(connection)
        pieces = self._random.randint(2, 6)
        size = max(1, len(data) // pieces)
        for start in range(0, len(data), size):
            await asyncio.sleep(0.08 * self._random.random())
            connection.writer.write(data[start : start + size])
        await self._read_answers(connection, self._sent(connection, [record]))

    async def _behave_rest(self, connection: SoakConnection) -> None:
        await self._request(connection)
        rest = asyncio.ensure_future(connection.reader.read(1))
        _, pending = await asyncio.wait([rest], timeout=self._random.choice((1.95, 2.05, 3.0, 6.0)))
        if not pending or self._stopping:
            return
        rest.cancel()
        with suppress(asyncio.CancelledError):
            await rest
        await self._request(connection)

    async def _behave_junk(self, connection: SoakConnection) -> None:
        await self._send_junk(connection, self._random.choice(JUNK_DATA))

    async def _behave_half(self, connection: SoakConnection) -> None:
        if self._random.random() < 0.5:
            await self._request(connection)
        data, _ = self._make_command(connection)
        await self._send_junk(connection, data[: self._random.randrange(1, min(len(data) - 1, 200))])

    async def _send_junk(self, connection: SoakConnection, data: bytes) -> None:
        """Send what is no request, and stay: an error line or a close is owed."""
        connection.writer.write(data)
        record = self._record(connection, RequestClass.MALFORMED, PEER_GRACE_S)
        self._sent(connection, [record])
        try:
            await asyncio.wait_for(connection.read_reply(), PEER_GRACE_S + EXTRA_WAIT_S)
            record.end = RequestEnd.ANSWERED
        except TimeoutError:
            record.end = RequestEnd.UNANSWERED
        except (EOFError, OSError, hiredis.ProtocolError):
            record.end = RequestEnd.GATEWAY_DISCONNECTED
        self._note_end(record)

    # ---- Requests

    async def _request(self, connection: SoakConnection) -> None:
        if connection.reader.at_eof():
            raise EOFError
        data, record = self._make_command(connection)
        connection.writer.write(data)
        await self._read_answers(connection, self._sent(connection, [record]))

    def _record(self, connection: SoakConnection, class_name: str, timeout_s: float) -> RequestRecord:
        self._next_id += 1
        record = RequestRecord(
            f"{self._next_id:016x}",
            RequestClass(class_name),
            ClientBehaviour(connection.behaviour),
            connection.gateway,
            connection.connected_s,
            0.0,
            timeout_s,
            connection.request_count == 0,
            time.monotonic() - connection.idle_since_s,
        )
        self._records.append(record)
        return record

    def _make_command(
        self, connection: SoakConnection, max_body: int = BODY_SIZES[-1]
    ) -> tuple[bytes, RequestRecord]:
        class_name = self._random.choice(self._class_names)
        timeout_ms = self._random.choice(TIMEOUTS_MS)
        record = self._record(connection, class_name, timeout_ms / 1000.0)
        customer = f"{self._random.randrange(64):016x}".encode()
        key = f"k={record.request_id}," if class_name == "keyed" else ""
        fields = f"c={class_name},t={PLAN},d={timeout_ms},{key}units=1,spread=1,first=0".encode()
        if class_name == "read":
            return encode(b"CALL.GET", customer, record.request_id.encode(), fields), record
        body = b"x" * min(max_body, self._random.choice(BODY_SIZES))
        return encode(b"CALL.POST", customer, record.request_id.encode(), fields, body), record

    def _sent(self, connection: SoakConnection, records: list[RequestRecord]) -> list[RequestRecord]:
        """Note that the last bytes have been written."""
        now_s = time.monotonic()
        for record in records:
            record.sent_s = now_s
            record.end = RequestEnd.UNANSWERED
        connection.request_count += len(records)
        return records

    async def _read_answers(self, connection: SoakConnection, records: list[RequestRecord]) -> None:
        """Read the answers in order; the time spent waiting for those before one does not count."""
        before_s = 0.0
        for position, record in enumerate(records):
            record.due_s = max(record.sent_s + record.timeout_s, before_s) + ANSWER_GRACE_S
            try:
                wait_s = record.due_s + EXTRA_WAIT_S - time.monotonic()
                reply = await asyncio.wait_for(connection.read_reply(), max(0.01, wait_s))
            except TimeoutError:
                self._note_end(record)
                for unread in records[position + 1 :]:
                    unread.end = RequestEnd.CLIENT_DISCONNECTED
                    self._note_end(unread)
                raise
            except (EOFError, OSError, hiredis.ProtocolError):
                self._note_closed(connection, records[position:])
                raise EOFError from None
            record.end = RequestEnd.ANSWERED
            record.reply = _describe(reply, record.request_id)
            self._note_end(record)
            before_s = record.ended_s
        connection.idle_since_s = time.monotonic()

    def _note_closed(self, connection: SoakConnection, unanswered: list[RequestRecord]) -> None:
        """Note requests whose connection has ended, unless the client ended it itself."""
        for record in unanswered:
            if record.end == RequestEnd.UNANSWERED:
                record.end = RequestEnd.GATEWAY_DISCONNECTED
                self._note_end(record)
        if connection.has_partial_reply and unanswered[0].end == RequestEnd.GATEWAY_DISCONNECTED:
            unanswered[0].end = RequestEnd.TRUNCATED

    def _note_end(self, record: RequestRecord) -> None:
        record.ended_s = time.monotonic()
        record.lag_s = self._lag.seconds()


def _describe(reply: object, request_id: str) -> str:
    if isinstance(reply, ReplyError):
        return str(reply).split(" ")[0]
    value = reply[0] if isinstance(reply, list) and reply else reply
    expected = request_id.encode()
    is_right = isinstance(value, bytes) and value and value == expected * (len(value) // len(expected))
    return VALUE_REPLY if is_right else f"{WRONG_VALUE_PREFIX} {value!r:.40}"
