"""Send requests on a connection, and record how each request ends."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import hiredis

from soak.clients.commands import Command, CommandSource
from soak.clients.connection import ClientConnection, ReplyError
from soak.loop_lag import LoopLag
from soak.records import VALUE_REPLY, WRONG_VALUE_PREFIX, RequestClass, RequestEnd, RequestRecord

MALFORMED_GRACE_S = 3.0
"""Time within which a client that sends malformed data is owed an error or a close (TERMS)."""

ANSWER_GRACE_S = 0.5
"""Time after a request's timeout within which its answer still counts as in time."""

EXTRA_WAIT_S = 1.0
"""Additional time for which a client waits, to distinguish a late answer from a missing one."""

LONG_VALUE_PATIENCE_S = 4.0
"""Time from the first byte of a long value after which a client waits for the rest no longer."""

MIN_WAIT_S = 0.01
SHOWN_VALUE_CHARACTERS = 40
CONNECTION_ENDS = (EOFError, OSError, hiredis.ProtocolError)
"""Exceptions that reading raises if the gateway closes the connection or sends an invalid reply."""


@dataclass(frozen=True, slots=True)
class ClientContext:
    """The objects that all connections of one process share.

    Attributes:
        source: The random number generator for all draws.
        commands: Makes the commands.
        lag: Measures how late the process notices events.
        is_stopping: Returns whether no new requests may start.
    """

    source: random.Random
    commands: CommandSource
    lag: LoopLag
    is_stopping: Callable[[], bool]


class ClientSession:
    """The requests on one connection.

    Attributes:
        context: The objects that all connections of the process share.
        connection: The connection.
    """

    def __init__(self, context: ClientContext, connection: ClientConnection) -> None:
        self.context = context
        self.connection = connection

    async def request(self) -> None:
        """Send one request and read its answer.

        Raises:
            EOFError: The connection has ended.
            TimeoutError: No answer came in time.
        """
        if self.connection.reader.at_eof():
            raise EOFError
        command = self.context.commands.make(self.connection)
        await self.read_answers(self.send([command]))

    def send(self, commands: Sequence[Command]) -> list[RequestRecord]:
        """Write commands; return their records."""
        self.connection.writer.write(b"".join(command.data for command in commands))
        records = [command.record for command in commands]
        self.mark_sent(records)
        return records

    def mark_sent(self, records: Sequence[RequestRecord]) -> None:
        """Record that some requests have been written completely."""
        now_s = time.monotonic()
        for record in records:
            record.sent_s = now_s
            record.end = RequestEnd.UNANSWERED
        self.connection.request_count += len(records)

    async def read_answers(self, records: Sequence[RequestRecord]) -> None:
        """Read the answers in the order of their requests.

        An answer is due ANSWER_GRACE_S after its request's timeout or the previous answer, if that is later.
        Of a long value the first byte is due then.

        Raises:
            EOFError: The connection has ended.
            TimeoutError: An answer did not come in time.
        """
        previous_end_s = self.connection.idle_since_s
        for position, record in enumerate(records):
            record.due_s = max(record.sent_s + record.timeout_s, previous_end_s) + ANSWER_GRACE_S
            try:
                reply = await self._read_reply(record)
            except TimeoutError:
                self._record_unanswered(record, records[position + 1 :])
                raise
            except CONNECTION_ENDS:
                self._record_closed(records[position:])
                raise EOFError from None
            record.reply = _describe_reply(reply, record.request_id)
            self.record_end(record, RequestEnd.ANSWERED)
            previous_end_s = record.ended_s
        self.connection.idle_since_s = time.monotonic()

    async def send_malformed(self, data: bytes) -> None:
        """Send malformed data, and wait for the error or the close that is owed."""
        self.connection.writer.write(data)
        record = self.context.commands.add_record(self.connection, RequestClass.MALFORMED, MALFORMED_GRACE_S)
        self.mark_sent([record])
        try:
            await asyncio.wait_for(self.connection.read_reply(), MALFORMED_GRACE_S + EXTRA_WAIT_S)
            end = RequestEnd.ANSWERED
        except TimeoutError:
            end = RequestEnd.UNANSWERED
        except CONNECTION_ENDS:
            end = RequestEnd.GATEWAY_DISCONNECTED
        self.record_end(record, end)

    def record_end(self, record: RequestRecord, end: RequestEnd) -> None:
        """Record that a request has ended now."""
        record.end = end
        record.ended_s = time.monotonic()
        record.lag_s = self.context.lag.seconds()

    async def _read_reply(self, record: RequestRecord) -> object:
        if record.class_name is RequestClass.DOWNLOAD:
            await asyncio.wait_for(self.connection.begin_reply(), _remaining_s(record))
            record.due_s = max(record.due_s, time.monotonic() + LONG_VALUE_PATIENCE_S - EXTRA_WAIT_S)
        return await asyncio.wait_for(self.connection.read_reply(), _remaining_s(record))

    def _record_unanswered(self, unanswered: RequestRecord, unread: Sequence[RequestRecord]) -> None:
        """Record a request as unanswered, and those behind it as abandoned by the client."""
        if self.connection.has_partial_reply:
            self._record_truncated(unanswered, unread)
            return
        self.record_end(unanswered, RequestEnd.UNANSWERED)
        for record in unread:
            self.record_end(record, RequestEnd.CLIENT_DISCONNECTED)

    def _record_closed(self, unanswered: Sequence[RequestRecord]) -> None:
        """Record that the gateway has closed the connection, unless the client closed it first."""
        first, *others = unanswered
        if self.connection.has_partial_reply and first.end is RequestEnd.UNANSWERED:
            self._record_truncated(first, others)
            return
        for record in unanswered:
            if record.end is RequestEnd.UNANSWERED:
                self.record_end(record, RequestEnd.GATEWAY_DISCONNECTED)

    def _record_truncated(self, truncated: RequestRecord, behind: Sequence[RequestRecord]) -> None:
        self.record_end(truncated, RequestEnd.TRUNCATED)
        for record in behind:
            if record.end is RequestEnd.UNANSWERED:
                self.record_end(record, RequestEnd.BEHIND_TRUNCATED)


def _remaining_s(record: RequestRecord) -> float:
    """Return for how long a client waits for an answer from now on."""
    return max(MIN_WAIT_S, record.due_s + EXTRA_WAIT_S - time.monotonic())


def _describe_reply(reply: object, request_id: str) -> str:
    """Return the text for `RequestRecord.reply`; the right value is the request's id, once or repeated."""
    if isinstance(reply, ReplyError):
        return str(reply).split(" ")[0]
    value = reply[0] if isinstance(reply, list) and reply else reply
    expected = request_id.encode()
    is_right = isinstance(value, bytes) and value and value == expected * (len(value) // len(expected))
    return VALUE_REPLY if is_right else f"{WRONG_VALUE_PREFIX} {value!r:.{SHOWN_VALUE_CHARACTERS}}"
