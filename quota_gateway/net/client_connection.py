"""One client's connection: commands are read within bounds, replies written in the order of the commands."""

from __future__ import annotations

import asyncio
import logging
import os
import select
import socket
from collections import deque
from contextlib import suppress
from dataclasses import dataclass
from typing import Protocol, cast

from quota_gateway import model as api
from quota_gateway.errors import CommandError, ProtocolError
from quota_gateway.net.commands import CALL_GET, CALL_POST, PING, RequestParser
from quota_gateway.net.driver import ActiveRequest, Driver
from quota_gateway.net.idle_connections import IdleConnections
from quota_gateway.net.pending_reply import PendingReply
from quota_gateway.net.resp import CommandReader

log = logging.getLogger(__name__)

MAX_PIPELINED_COMMANDS = 64  # of one connection in hand; what comes behind waits in the kernel
MAX_IN_HAND_BYTES = 256 * 1024  # of one connection's commands and replies; what comes behind waits too
MAX_COMMANDS_PER_TURN = 64  # read of one connection before the others have their turn
MAX_CONSECUTIVE_ERRORS = 16  # bad commands, after which a connection is closed: no use comes of more
BODY_GAP_TIMEOUT_S = 1.0  # between two pieces of an overdue body: as a whole it may take longer
LINGER_S = 0.3  # a rejected connection stays so long, unread, that the error is not lost to a reset
WRITE_STALL_TIMEOUT_S = 15.0  # a client that takes no byte of its replies for so long is gone
HEAD_ARGUMENT_COUNT = 4  # of a command, before its body


@dataclass(frozen=True, slots=True)
class ResumedConnection:
    """What went before on a connection that another process has served until now."""

    spoke: bool = False  # whether a command has come
    asked: int = 0  # requests so far
    owing_s: float = 0.0  # for how long a command has been due
    read: bytes = b""  # of a command that is not complete yet


NEW_CONNECTION = ResumedConnection()


class ConnectionOwner(Protocol):
    """What a connection needs of the listener that accepted it."""

    driver: Driver
    request_parser: RequestParser
    idle_connections: IdleConnections
    loop: asyncio.AbstractEventLoop
    buffered_bytes: int
    max_buffered_bytes: int
    is_suspended: bool
    is_stopping: bool

    def read_ahead_bytes(self) -> int:
        """How far one large value may be ahead of its client."""

    def ping_reply(self) -> bytes:
        """The reply to PING."""

    def connection_opened(self, connection: ClientConnection, command_due_for_s: float) -> None:
        """Count a connection that the loop serves now."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """Count a connection no more; its descriptor is free."""


class ClientConnection(asyncio.Protocol):
    """One client's connection, from the loop's first call until the loop has closed it.

    Bytes are counted in two sums: ``buffered_bytes``, all that is held for the connection, and
    ``in_hand_bytes``, the part of it in commands that were taken and replies that are not written.
    """

    def __init__(self, owner: ConnectionOwner, sock: socket.socket, resumed: ResumedConnection) -> None:
        self.owner = owner
        self.socket = sock
        self.transport: asyncio.Transport | None = None
        self.reader = CommandReader()
        self.pending_replies: deque[PendingReply] = deque()
        self.buffered_bytes = 0
        self.in_hand_bytes = 0
        self.unsent_bytes = 0  # what the client had not taken when it stopped to
        self.request_count = resumed.asked
        self.consecutive_errors = 0
        self.last_received_s = owner.loop.time()
        self.has_sent_command = resumed.spoke
        self.is_closing = False  # no more commands are taken
        self.must_linger = False  # what still comes is not read, and would turn a close into a reset
        self.is_write_blocked = False
        self.is_read_paused = False
        self.is_reading_commands = False  # within ``read_commands``, which a reply given at once calls again
        self.is_read_scheduled = False  # the others have their turn before more commands are read
        self._resumed = resumed
        self._abort_timer: asyncio.TimerHandle | None = None  # while writing is blocked, or it lingers

    # ---- The loop's calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve, and go on with the command that another process has read a part of."""
        # uvloop's transports are not asyncio.Transport by class: no isinstance here
        self.transport = cast(asyncio.Transport, transport)
        self.owner.connection_opened(self, self._resumed.owing_s)
        if self.has_disconnected():  # nothing is forwarded for a client that left while it waited for room
            self._disconnect()
            return
        partial_command, self._resumed = self._resumed.read, NEW_CONNECTION
        if partial_command:
            self.data_received(partial_command)
        elif self.has_sent_command:
            self.owner.idle_connections.update(self, within_command=False, took_command=True)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Let go of the requests in hand."""
        self.transport = None
        if self._abort_timer:
            self._abort_timer.cancel()
        self.owner.connection_closed(self)
        replies, self.pending_replies = self.pending_replies, deque()
        for reply in replies:
            if reply.attempt:
                self.owner.driver.upstream.stop(reply.attempt, api.AttemptStatus.CANCELLED)
            elif reply.reply is None:
                self.owner.driver.client_disconnected(reply.request_id)

    def eof_received(self) -> None:
        """The client has closed its side. The loop closes the connection once what is written has gone."""
        self._disconnect()

    def data_received(self, data: bytes) -> None:
        """Take in bytes and read the commands that they complete."""
        if self.is_closing:
            return
        self.reader.feed(data)
        self.last_received_s = self.owner.loop.time()
        self.count_buffered(len(data), in_hand=False)
        self.read_commands()

    def pause_writing(self) -> None:
        """Read no further where the client does not take its replies, and give it up after a while."""
        self.is_write_blocked = True
        self.update_read_pause()
        if self.transport:
            self.unsent_bytes = self.transport.get_write_buffer_size()
            self.count_buffered(self.unsent_bytes)
        if self._abort_timer is None:
            self._abort_timer = self.owner.loop.call_later(WRITE_STALL_TIMEOUT_S, self.abort)

    def resume_writing(self) -> None:
        """Go on writing, as the client has taken its replies."""
        self.is_write_blocked = False
        self.count_buffered(-self.unsent_bytes)
        self.unsent_bytes = 0
        if self._abort_timer:
            self._abort_timer.cancel()
            self._abort_timer = None
        self.flush()

    # ---- Whether the client is still there

    def has_disconnected(self) -> bool:
        """Whether the connection has been closed or reset, though what the client sent before is unread."""
        if self.transport is None or self.transport.is_closing():
            return True
        poll = select.poll()
        poll.register(self.socket.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def wants_reply(self) -> bool:
        """Whether the client is still there for a reply; asked before an attempt for it begins.

        See docs/decisions/client-disconnect.md for the time between a client's end and the loop's notice.
        """
        if not self.has_disconnected():
            return True
        self.is_closing = True
        self.owner.loop.call_soon(self._disconnect)  # not now, among the actions of a decision
        return False

    def close_if_disconnected(self) -> None:
        """Notice a client's end, which the loop does not see where nothing is read."""
        if self.has_disconnected():
            self._disconnect()

    def _disconnect(self) -> None:
        """End the requests in hand, as nobody waits for them, and take no more."""
        if self.transport is None or self.transport.is_closing():
            return
        self.is_closing = True
        for reply in list(self.pending_replies):
            if reply.reply is None:
                self.owner.driver.client_disconnected(reply.request_id)
        self.transport.close()

    # ---- Memory

    def count_buffered(self, size_bytes: int, in_hand: bool = True) -> None:
        """Count bytes that are held for this connection, or fewer of them.

        Args:
            size_bytes: How many more, or fewer where it is negative.
            in_hand: Whether they belong to a command that was taken, or to its reply.
        """
        self.buffered_bytes += size_bytes
        self.owner.buffered_bytes += size_bytes
        if in_hand:
            self.in_hand_bytes += size_bytes

    def read_ahead_bytes(self) -> int:
        """How far one large value may be ahead of this client."""
        return self.owner.read_ahead_bytes()

    def _is_out_of_memory(self) -> bool:
        return self.owner.buffered_bytes > self.owner.max_buffered_bytes

    # ---- Commands in

    def _is_at_limit(self) -> bool:
        """Whether no more commands may be in hand now."""
        return (
            self.is_write_blocked
            or self.owner.is_suspended
            or len(self.pending_replies) >= MAX_PIPELINED_COMMANDS
            or self.in_hand_bytes > MAX_IN_HAND_BYTES
        )

    def read_commands(self) -> None:
        """Read commands, but no more than may be in hand at once, and not so many that others wait.

        See docs/decisions/client-limits.md. A command that is answered at once calls ``flush``, which may
        come back here: ``is_reading_commands`` says so.
        """
        self.is_reading_commands = True
        taken = 0
        within_command = False
        while (
            not self.is_closing
            and self.transport
            and not self._is_at_limit()
            and taken < MAX_COMMANDS_PER_TURN
        ):
            unread_bytes = len(self.reader.buffer)
            try:
                command = self.reader.command()
            except ProtocolError as error:
                self._reject_input(f"Protocol error: {error}")
                break
            if command is None:
                within_command = unread_bytes > 0
                break
            taken += 1
            self.has_sent_command = True
            self._dispatch(command, unread_bytes - len(self.reader.buffer))
        self.is_reading_commands = False
        if within_command and self._is_out_of_memory():
            self._reject_input("out of memory")
        if taken == MAX_COMMANDS_PER_TURN and not self.is_read_scheduled:
            self.is_read_scheduled = True
            self.owner.loop.call_soon(self._continue_reading)
        self.update_read_pause()
        self.owner.idle_connections.update(self, within_command, taken > 0)
        self.close_if_done()

    def _continue_reading(self) -> None:
        self.is_read_scheduled = False
        if self.transport:
            self.read_commands()

    def update_read_pause(self) -> None:
        """Read from the socket, or stop to, by whether more commands may be taken."""
        if self.transport is None or self.transport.is_closing():
            return
        must_pause = self.is_closing or self.is_read_scheduled or self._is_at_limit()
        if must_pause == self.is_read_paused:
            return
        self.is_read_paused = must_pause
        if must_pause:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def _dispatch(self, command: list[bytes], size_bytes: int) -> None:
        name = command[0].upper()
        if name in (CALL_GET, CALL_POST):
            self._submit_request(command, size_bytes)
            return
        self.count_buffered(-size_bytes, in_hand=False)
        if name == PING:
            self._reply(self.owner.ping_reply())
        else:
            self._reply_error("unknown command")

    def _submit_request(self, command: list[bytes], size_bytes: int) -> None:
        driver = self.owner.driver
        try:
            request, encode = self.owner.request_parser.parse(command)
            if request.request_id in driver.active_requests:
                raise CommandError("a request of this id is in hand")
        except CommandError as error:
            self.count_buffered(-size_bytes, in_hand=False)
            self._reply_error(str(error))
            return
        self.consecutive_errors = 0
        self.request_count += 1
        if self._is_out_of_memory():
            self.count_buffered(-size_bytes, in_hand=False)
            self._reply(b"-BUSY\r\n")
            return
        self.in_hand_bytes += size_bytes
        reply = PendingReply(self, None, request.request_id, size_bytes)
        self.pending_replies.append(reply)
        driver.submit(
            ActiveRequest(
                request.request_id, encode, reply.set_reply, reply.start_streaming, self.wants_reply
            ),
            request,
            request.timeout_ms,
        )

    def _reply_error(self, reason: str) -> None:
        """Answer a bad command; after many in a row the connection ends."""
        self.consecutive_errors += 1
        self.is_closing = self.is_closing or self.consecutive_errors >= MAX_CONSECUTIVE_ERRORS
        self.must_linger = self.is_closing
        self._reply(_error_line(reason))

    def _reject_input(self, reason: str) -> None:
        """Answer what can't be read, and close the connection after the replies before it."""
        log.info("client connection rejected reason=%s", reason)
        self.is_closing = True
        self.must_linger = True
        self.count_buffered(-len(self.reader.buffer), in_hand=False)
        self.reader = CommandReader()
        self.owner.idle_connections.update(self, within_command=True, took_command=False)
        self._reply(_error_line(reason))
        self.update_read_pause()

    def has_partial_command(self) -> bool:
        """Whether bytes have come that were not taken as a command."""
        return bool(self.reader.buffer)

    def is_receiving_body(self) -> bool:
        """Whether all of a command has come but a body, and that is still arriving."""
        return (
            not self.is_closing
            and len(self.reader.words) == HEAD_ARGUMENT_COUNT
            and self.reader.length is not None
            and self.owner.loop.time() - self.last_received_s < BODY_GAP_TIMEOUT_S
        )

    def time_out(self) -> None:
        """End the connection, as a command, or its end, is overdue; requests in hand fail."""
        if self.transport is None:
            return
        if self.is_closing and not self.pending_replies:
            self.transport.abort()  # it does not take its error
            return
        if not self.is_closing:
            self._reject_input("timeout")
        for reply in list(self.pending_replies):
            if reply.reply is None:
                self.owner.driver.client_disconnected(reply.request_id)
                reply.set_reply(b"-ERR failed\r\n")

    # ---- Replies out

    def _reply(self, reply: bytes) -> None:
        self.pending_replies.append(PendingReply(self, reply, buffered_bytes=len(reply)))
        self.count_buffered(len(reply))
        self.flush()

    def flush(self) -> None:
        """Write the replies that are due, in the order of their commands."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        while self.pending_replies and not self.is_write_blocked:
            reply = self.pending_replies[0]
            if reply.reply is None:
                break
            if reply.pieces is not None:
                self._write_pieces(transport, reply, reply.pieces)
                if reply.pieces or reply.attempt:
                    break
                self.pending_replies.popleft()
                continue
            self.pending_replies.popleft()
            self.count_buffered(-reply.buffered_bytes)
            transport.write(reply.reply)
        if self.is_reading_commands:
            return
        if self.is_read_paused and not self.is_closing:
            self.read_commands()
        elif not self.pending_replies:
            self.owner.idle_connections.mark_idle(self)
        self.close_if_done()

    def _write_pieces(self, transport: asyncio.Transport, reply: PendingReply, pieces: deque[bytes]) -> None:
        """Write what has come of a large value, as far as the client takes it; then its server may go on."""
        while pieces and not self.is_write_blocked:
            piece = pieces.popleft()
            self.count_buffered(-len(piece))
            reply.buffered_bytes -= len(piece)
            reply.has_started_writing = True
            transport.write(piece)
        if reply.attempt and reply.buffered_bytes <= self.owner.read_ahead_bytes():
            reply.attempt.pause(False)

    # ---- The end

    def close_truncated(self) -> None:
        """Close within a value that can't be completed; what was written still goes out."""
        if self.transport:
            self.is_closing = True
            self.transport.close()

    def close_if_done(self) -> None:
        """Close between requests, when it is time to; commands that have come are taken first.

        See docs/decisions/client-closing.md for the order and for the time that a connection lingers.
        """
        if (
            not self.transport
            or self.pending_replies
            or self.is_read_scheduled
            or self.transport.is_closing()
        ):
            return
        if self.is_closing and self.must_linger:
            if self._abort_timer is None:
                self._abort_timer = self.owner.loop.call_later(LINGER_S, self.abort)
        elif self.is_closing or self._may_stop():
            self.transport.close()

    def _may_stop(self) -> bool:
        """Whether the gateway stops and no command has come that this connection could still read."""
        owner = self.owner
        return (
            owner.is_stopping
            and not owner.is_suspended
            and (self.is_read_paused or not self._has_unread_bytes())
        )

    def _has_unread_bytes(self) -> bool:
        with suppress(OSError):
            return bool(self.socket.recv(1, socket.MSG_PEEK))
        return False

    def finish(self) -> None:
        """Take no more commands, and close as soon as nothing is owed."""
        self.is_closing = True
        self.update_read_pause()
        self.close_if_done()

    def abort(self) -> None:
        """Close at once; what was not written is lost."""
        if self.transport:
            self.transport.abort()

    def close_to_make_room(self) -> bool:
        """Close the connection, unless a command has come that was not read yet; whether it was closed."""
        if self.transport is None or self.transport.is_closing():
            return False
        if not self.is_closing and self._has_unread_bytes():
            return False
        self.is_closing = True
        self.transport.abort()
        return True

    def release(self) -> tuple[int, ResumedConnection] | None:
        """Let go of the connection, as another process serves it on, once nothing is owed on it here.

        What waits in the kernel goes with the connection, and what was read of a command with the rest.

        Returns:
            A descriptor that is the caller's to close, and what went before; None while something is owed.
        """
        transport = self.transport
        if transport is None or transport.is_closing() or not self._is_releasable(transport):
            return None
        transport.pause_reading()
        descriptor = os.dup(self.socket.fileno())
        resumed = ResumedConnection(
            spoke=self.has_sent_command,
            asked=self.request_count,
            owing_s=self.owner.idle_connections.command_due_for_s(self),
            read=bytes(self.reader.buffer),
        )
        self.is_closing = True
        transport.abort()
        return descriptor, resumed

    def _is_releasable(self, transport: asyncio.Transport) -> bool:
        return not (
            self.is_closing
            or self.pending_replies
            or self.is_write_blocked
            or self.is_read_scheduled
            or transport.get_write_buffer_size()
        )


def _error_line(reason: str) -> bytes:
    return f"-ERR {reason}\r\n".encode("ascii", "replace")
