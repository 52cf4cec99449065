"""One client's connection: the loop's calls, replies in the order of the commands, and its end."""

from __future__ import annotations

import asyncio
import os
import select
import socket
from collections import deque
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import Protocol, cast

from quota_gateway import model as api
from quota_gateway.net.clients.buffer_budget import BufferBudget, BufferUsage
from quota_gateway.net.clients.command_intake import CommandIntake, IntakeServices
from quota_gateway.net.clients.pending_reply import PendingReply
from quota_gateway.telemetry import Invariant, Metric

LINGER_S = 0.3  # a rejected connection stays so long, unread, that the error is not lost to a reset
WRITE_STALL_TIMEOUT_S = 15.0  # a client that takes no byte of its replies for so long is gone


class CloseReason(Enum):
    """Why the gateway closed a client's connection, in the words of the metrics."""

    CLIENT_LEFT = "client_left"
    COMMAND_OVERDUE = "command_overdue"
    INPUT_REJECTED = "input_rejected"
    MADE_ROOM = "made_room"
    PASSED_ON = "passed_on"
    PROCESS_ENDS = "process_ends"
    SHUTDOWN = "shutdown"
    VALUE_TRUNCATED = "value_truncated"
    WRITE_STALLED = "write_stalled"


# Reasons that may come while an answer is owed: the client has gone, or takes nothing. A value that breaks
# off is answered by that, but what stands behind it is owed its own.
CLOSES_WHILE_OWED = frozenset((CloseReason.CLIENT_LEFT, CloseReason.WRITE_STALLED))


@dataclass(frozen=True, slots=True)
class ResumedConnection:
    """What went before on a connection that another process has served until now."""

    has_sent_command: bool = False
    request_count: int = 0  # so far
    command_due_for_s: float = 0.0  # for how long a command has been due
    partial_command: bytes = b""  # what was read of a command that is not complete yet
    silent_s: float = 0.0  # since its last byte came
    waiting_since_s: float = inf  # monotonic; what is read first can not have come before


NEW_CONNECTION = ResumedConnection()


class ConnectionOwner(IntakeServices, Protocol):
    """What a connection needs of the listener that accepted it."""

    budget: BufferBudget
    is_stopping: bool

    def connection_opened(self, connection: ClientConnection, command_due_for_s: float) -> None:
        """Count a connection that the loop serves now."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """Count a connection no more; its descriptor is free."""


class ClientConnection(asyncio.Protocol):
    """One client's connection, from the loop's first call until the loop has closed it."""

    def __init__(self, owner: ConnectionOwner, sock: socket.socket, resumed: ResumedConnection) -> None:
        self.socket = sock
        self.transport: asyncio.Transport | None = None
        self.buffers = BufferUsage(owner.budget)
        self.pending_replies: deque[PendingReply] = deque()
        self.is_closing = False  # no more commands are taken
        self.must_linger = False  # what still comes is not read, and would turn a close into a reset
        self.is_write_blocked = False
        self.intake = CommandIntake(
            owner, resumed.has_sent_command, resumed.request_count, resumed.waiting_since_s
        )
        self._owner = owner
        self._resumed = resumed
        self._unsent_bytes = 0  # what the client had not taken when it stopped to
        self._abort_timer: asyncio.TimerHandle | None = None  # while writing is blocked, or it lingers

    # ---- The loop's calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve, and go on with the command that another process has read a part of."""
        # uvloop's transports are not asyncio.Transport by class: no isinstance here
        self.transport = cast(asyncio.Transport, transport)
        self._owner.connection_opened(self, self._resumed.command_due_for_s)
        if self._has_disconnected():  # nothing is forwarded for a client that left while it waited for room
            self._disconnect()
            return
        resumed, self._resumed = self._resumed, NEW_CONNECTION
        if resumed.partial_command:
            self.data_received(resumed.partial_command)
            self.intake.last_received_s -= resumed.silent_s
        elif self.intake.has_sent_command:
            self._owner.idle_connections.update(self, within_command=False, took_command=True)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Let go of the requests in hand."""
        self.transport = None
        if self._abort_timer:
            self._abort_timer.cancel()
        self._owner.connection_closed(self)
        replies, self.pending_replies = self.pending_replies, deque()
        for reply in replies:
            if reply.attempt:
                self._owner.driver.upstream.stop(reply.attempt, api.AttemptStatus.CANCELLED)
            elif reply.reply is None:
                self._owner.driver.client_disconnected(reply.request_id)

    def eof_received(self) -> None:
        """The client has closed its side. The loop closes the connection once what is written has gone."""
        self._disconnect()

    def data_received(self, data: bytes) -> None:
        """Take in bytes and read the commands that they complete."""
        if not self.is_closing:
            self.intake.feed(self, data)

    def pause_writing(self) -> None:
        """Read no further where the client does not take its replies, and give it up after a while."""
        self.is_write_blocked = True
        self.intake.update_read_pause(self)
        if self.transport:
            self._unsent_bytes = self.transport.get_write_buffer_size()
            self.buffers.count(self._unsent_bytes)
        if self._abort_timer is None:
            self._abort_timer = self._owner.loop.call_later(
                WRITE_STALL_TIMEOUT_S, self.abort, CloseReason.WRITE_STALLED
            )

    def resume_writing(self) -> None:
        """Go on writing, as the client has taken its replies."""
        self.is_write_blocked = False
        self.buffers.count(-self._unsent_bytes)
        self._unsent_bytes = 0
        if self._abort_timer:
            self._abort_timer.cancel()
            self._abort_timer = None
        self.flush()

    # ---- Whether the client is still there

    def _has_disconnected(self) -> bool:
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
        if not self._has_disconnected():
            return True
        self.is_closing = True
        self._owner.loop.call_soon(self._disconnect)  # not now, among the actions of a decision
        return False

    def is_owed_while_unread(self) -> bool:
        """Whether replies are owed and nothing is read, so that the loop would not see the client's end."""
        return self.intake.is_read_paused and bool(self.pending_replies)

    def close_if_disconnected(self) -> None:
        """Notice a client's end."""
        if self._has_disconnected():
            self._disconnect()

    def _disconnect(self) -> None:
        """End the requests in hand, as nobody waits for them, and take no more."""
        if self.transport is None or self.transport.is_closing():
            return
        self.is_closing = True
        for reply in list(self.pending_replies):
            if reply.reply is None:
                self._owner.driver.client_disconnected(reply.request_id)
        self._close(CloseReason.CLIENT_LEFT)

    def time_out(self) -> None:
        """End the connection, as a command, or its end, is overdue; requests in hand fail."""
        if self.transport is None:
            return
        if self.is_closing and not self.pending_replies:
            self.abort(CloseReason.COMMAND_OVERDUE)  # it does not take its error
            return
        if not self.is_closing:
            self.intake.reject_input(self, "timeout")
        for reply in list(self.pending_replies):
            if reply.reply is None:
                self._owner.driver.client_disconnected(reply.request_id)
                reply.set_reply(b"-ERR failed\r\n")

    # ---- Replies

    def reply_now(self, reply: bytes) -> None:
        """Give a command that is no request its reply."""
        self.pending_replies.append(PendingReply(self, reply, buffered_bytes=len(reply)))
        self.buffers.count(len(reply))
        self.flush()

    def flush(self) -> None:
        """Write the replies that are due, then see what there is to do next."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        self._write_due(transport)
        self.intake.continue_after_reply(self)

    def _write_due(self, transport: asyncio.Transport) -> None:
        """Write replies in the order of their commands, up to the first that is not known yet."""
        while self.pending_replies and not self.is_write_blocked:
            reply = self.pending_replies[0]
            if reply.reply is None:
                return
            if reply.pieces is None:
                self.pending_replies.popleft()
                self.buffers.count(-reply.buffered_bytes)
                transport.write(reply.reply)
                continue
            if self._must_gather(reply):
                return
            self._write_pieces(transport, reply, reply.pieces)
            if reply.pieces or reply.attempt:
                return
            self.pending_replies.popleft()

    def _must_gather(self, reply: PendingReply) -> bool:
        """Whether a large value is held back until all of it has come.

        It may break off, and the connection is closed then if a part of it was written: with others behind
        it, which are owed their answers, nothing is, as far as there is memory.
        """
        if reply.attempt is None or reply.has_started_writing or not reply.may_gather:
            return False
        has_others_behind = len(self.pending_replies) > 1 or self.intake.has_partial_command()
        return has_others_behind and not reply.is_far_ahead()

    def _write_pieces(self, transport: asyncio.Transport, reply: PendingReply, pieces: deque[bytes]) -> None:
        """Write what has come of a large value, as far as the client takes it; then its server may go on."""
        while pieces and not self.is_write_blocked:
            piece = pieces.popleft()
            self.buffers.count(-len(piece))
            reply.buffered_bytes -= len(piece)
            reply.has_started_writing = True
            transport.write(piece)
        if reply.attempt and not reply.is_far_ahead():
            reply.attempt.pause(False)
        if reply.is_streaming():
            self.intake.update_read_pause(self)

    # ---- The end

    def _close(self, reason: CloseReason, at_once: bool = False) -> None:
        """Close the connection: the one place where the gateway ends it.

        Args:
            reason: Why, for the metrics and for the check that no answer is owed.
            at_once: Whether what was not written yet is lost; else it still goes out.
        """
        transport = self.transport
        if transport is None:
            return
        if not transport.is_closing():
            telemetry = self._owner.driver.telemetry
            telemetry.metrics.count(Metric.CLIENT_CONNECTIONS_CLOSED, reason.value)
            is_owed = self.owes_answer() and reason not in CLOSES_WHILE_OWED
            request_ids = ",".join(reply.request_id for reply in self.pending_replies)
            telemetry.invariants.check(Invariant.NO_CLOSE_WHILE_OWED, not is_owed, request_ids, reason.value)
        self.is_closing = True
        if at_once:
            transport.abort()
        else:
            transport.close()

    def owes_answer(self) -> bool:
        """Whether a request that was read has no answer yet."""
        return any(reply.reply is None for reply in self.pending_replies)

    def is_next(self, reply: PendingReply) -> bool:
        """Whether all replies before this one have been written."""
        return bool(self.pending_replies) and self.pending_replies[0] is reply

    def is_streaming(self) -> bool:
        """Whether a large value is being written whose end has not come."""
        return bool(self.pending_replies) and self.pending_replies[0].is_streaming()

    def close_truncated(self) -> None:
        """Close within a value that can't be completed; what was written still goes out."""
        self._close(CloseReason.VALUE_TRUNCATED)

    def close_if_done(self) -> None:
        """Close between requests, when it is time to; commands that have come are taken first.

        See docs/decisions/client-closing.md for the order and for the time that a connection lingers.
        """
        transport = self.transport
        if not transport or self.pending_replies or self.intake.is_read_scheduled or transport.is_closing():
            return
        if self.is_closing and self.must_linger:
            if self._abort_timer is None:
                self._abort_timer = self._owner.loop.call_later(
                    LINGER_S, self.abort, CloseReason.INPUT_REJECTED
                )
        elif self.is_closing or self._may_stop():
            self._close(CloseReason.SHUTDOWN)

    def _may_stop(self) -> bool:
        """Whether the gateway stops and no command has come that this connection could still read."""
        owner = self._owner
        return (
            owner.is_stopping
            and not owner.is_suspended
            and (self.intake.is_read_paused or not _has_unread_bytes(self.socket))
        )

    def finish(self) -> None:
        """Take no more commands, and close as soon as nothing is owed."""
        self.is_closing = True
        self.intake.update_read_pause(self)
        self.close_if_done()

    def abort(self, reason: CloseReason = CloseReason.PROCESS_ENDS) -> None:
        """Close at once; what was not written is lost."""
        self._close(reason, at_once=True)

    def close_to_make_room(self) -> bool:
        """Close the connection unless an answer or an unread command is on it; whether it was closed."""
        if self.transport is None or self.transport.is_closing():
            return False
        if self.pending_replies or self.transport.get_write_buffer_size():
            return False  # an answer is owed, or the loop has not written it yet
        if not self.is_closing and _has_unread_bytes(self.socket):
            return False
        self.abort(CloseReason.MADE_ROOM)
        return True

    def release(self) -> tuple[int, ResumedConnection] | None:
        """Let go of the connection, as another process serves it on, once nothing is owed on it here.

        What waits in the kernel goes with the connection, and what was read of a command with the rest.

        Returns:
            A descriptor that is the caller's to close, and what went before; None while something is owed.

        Raises:
            OSError: The descriptor can't be duplicated now; the connection is as it was.
        """
        transport = self.transport
        if transport is None or transport.is_closing() or not self._is_releasable(transport):
            return None
        descriptor = os.dup(self.socket.fileno())
        transport.pause_reading()
        resumed = ResumedConnection(
            has_sent_command=self.intake.has_sent_command,
            request_count=self.intake.request_count,
            command_due_for_s=self._owner.idle_connections.command_due_for_s(self),
            partial_command=bytes(self.intake.reader.buffer),
            silent_s=self._owner.loop.time() - self.intake.last_received_s,
            waiting_since_s=self.intake.waiting_since_s,
        )
        self.abort(CloseReason.PASSED_ON)
        return descriptor, resumed

    def _is_releasable(self, transport: asyncio.Transport) -> bool:
        return not (
            self.is_closing
            or self.pending_replies
            or self.is_write_blocked
            or self.intake.is_read_scheduled
            or transport.get_write_buffer_size()
        )


def _has_unread_bytes(sock: socket.socket) -> bool:
    """Whether the kernel has bytes of the client that were not read yet."""
    with suppress(OSError):
        return bool(sock.recv(1, socket.MSG_PEEK))
    return False
