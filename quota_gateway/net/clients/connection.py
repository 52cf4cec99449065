"""One client connection: the event loop's calls, passed on to its intake, its replies and its lifecycle."""

from __future__ import annotations

import asyncio
import os
import socket
from collections import deque
from typing import TYPE_CHECKING, cast

from quota_gateway.net.client_replies import FAILED_REPLY
from quota_gateway.net.clients.buffer_budget import BufferUsage
from quota_gateway.net.clients.command_intake import CommandIntake
from quota_gateway.net.clients.connection_lifecycle import ConnectionLifecycle
from quota_gateway.net.clients.connection_state import CloseReason, ConnectionState
from quota_gateway.net.clients.pending_reply import PendingReply
from quota_gateway.net.clients.reply_writer import ReplyWriter
from quota_gateway.net.clients.resumed_connection import (
    NEW_CONNECTION,
    ReleasedConnection,
    ResumedConnection,
)
from quota_gateway.net.clients.socket_state import has_hung_up, has_unread_bytes

if TYPE_CHECKING:
    from quota_gateway.net.clients.protocols import ConnectionOwner

LINGER_S = 0.3  # before a rejected connection closes: a reset sooner could overtake the error line
WRITE_STALL_TIMEOUT_S = 15.0  # without any progress of a client that does not read its replies


class ClientConnection(asyncio.Protocol):
    """One client's connection, from the event loop's first call until the loop has closed it."""

    def __init__(self, owner: ConnectionOwner, sock: socket.socket, resumed: ResumedConnection) -> None:
        self.socket = sock
        self.buffers = BufferUsage(owner.budget)
        self.replies = ReplyWriter(self.buffers)
        self.lifecycle = ConnectionLifecycle(owner.loop, owner.driver.telemetry, self.replies)
        self.intake = CommandIntake(
            owner, resumed.has_sent_command, resumed.request_count, resumed.waiting_since_s
        )
        self._owner = owner
        self._resumed = resumed

    @property
    def transport(self) -> asyncio.Transport | None:
        """The transport, while there is one."""
        return self.lifecycle.transport

    @property
    def is_closing(self) -> bool:
        """Whether no more commands are taken."""
        return self.lifecycle.is_closing

    @property
    def pending_replies(self) -> deque[PendingReply]:
        """The replies that are not written yet, in the order of their commands."""
        return self.replies.pending

    @property
    def is_write_blocked(self) -> bool:
        """Whether nothing is written, as the client does not read."""
        return self.replies.is_blocked

    # ---- Calls of the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve, and go on with the command that another process has read a part of."""
        # uvloop's transports are not asyncio.Transport by class: no isinstance here
        self.lifecycle.open(cast(asyncio.Transport, transport))
        self._owner.connection_opened(self, self._resumed.command_due_for_s)
        if self._has_disconnected():  # left while it waited to be accepted: nothing is forwarded for it
            self._disconnect()
            return
        resumed, self._resumed = self._resumed, NEW_CONNECTION
        if resumed.partial_command:
            self.data_received(resumed.partial_command)
            self.intake.last_received_s -= resumed.silent_s
        elif self.intake.has_sent_command:
            self._owner.idle_connections.update(self, within_command=False, took_command=True)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Drop the requests whose replies are pending."""
        self.lifecycle.mark_closed()
        self._owner.connection_closed(self)
        for reply in self.replies.take_all():
            if reply.attempt:
                self._owner.driver.cancel_attempt(reply.attempt)
            elif reply.reply is None:
                self._owner.driver.client_disconnected(reply.request_id)

    def eof_received(self) -> None:
        """End the connection, as the client has closed its side; the loop closes it after the last write."""
        self._disconnect()

    def data_received(self, data: bytes) -> None:
        """Take in bytes and read the commands that they complete."""
        if not self.is_closing:
            self.intake.receive(self, data)

    def pause_writing(self) -> None:
        """Read no further while the client does not read its replies; abort if that takes too long."""
        transport = self.transport
        self.replies.block(transport.get_write_buffer_size() if transport else 0)
        self.intake.update_read_pause(self)
        self.lifecycle.abort_after(WRITE_STALL_TIMEOUT_S, CloseReason.WRITE_STALLED)

    def resume_writing(self) -> None:
        """Go on writing, as the client has read its replies."""
        self.replies.unblock()
        self.lifecycle.cancel_abort()
        self.flush()

    # ---- Replies

    def reply_now(self, reply: bytes) -> None:
        """Add the reply to a command that needs no upstream server."""
        self.replies.add(PendingReply(self, reply, buffered_bytes=len(reply)))
        self.buffers.count(len(reply))
        self.flush()

    def flush(self) -> None:
        """Write the replies that are due, then read on or close where that is next."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        self.replies.write_due(transport, self.intake)
        if self.replies.is_streaming():
            self.intake.update_read_pause(self)
        self.intake.continue_after_reply(self)

    # ---- The client's end

    def wants_reply(self) -> bool:
        """Whether the client is still connected; asked before an attempt for it begins.

        See docs/decisions/client-disconnect.md for the time between a client's end and the loop's notice.
        """
        if not self._has_disconnected():
            return True
        self.lifecycle.finish()
        self._owner.loop.call_soon(self._disconnect)  # not now, among the actions of a decision
        return False

    def is_unread_with_pending_replies(self) -> bool:
        """Whether nothing is read while replies are pending, so that the loop can't see the client's end."""
        return self.intake.is_read_paused and bool(self.pending_replies)

    def close_if_disconnected(self) -> None:
        """End the connection if the client has left."""
        if self._has_disconnected():
            self._disconnect()

    def _has_disconnected(self) -> bool:
        """Whether the connection has been closed or reset, though what the client sent before is unread."""
        return not self.lifecycle.is_connected() or has_hung_up(self.socket)

    def _disconnect(self) -> None:
        """Drop the requests of a client that has left, and close."""
        if not self.lifecycle.is_connected():
            return
        self.lifecycle.finish()
        for reply in list(self.pending_replies):
            if reply.reply is None:
                self._owner.driver.client_disconnected(reply.request_id)
        self.lifecycle.close(CloseReason.CLIENT_LEFT)

    def time_out(self) -> None:
        """End the connection after its command read timeout; pending requests fail."""
        if self.transport is None:
            return
        if self.is_closing and not self.pending_replies:
            self.abort(CloseReason.COMMAND_READ_TIMEOUT)  # the client does not read its error line
            return
        if not self.is_closing:
            self.intake.reject_input(self, "timeout")
        for reply in list(self.pending_replies):
            if reply.reply is None:
                self._owner.driver.client_disconnected(reply.request_id)
                reply.set_reply(FAILED_REPLY)

    # ---- The gateway's end of it

    def close_if_done(self) -> None:
        """Close between requests if the connection is to end; commands that have come are taken first.

        See docs/decisions/client-closing.md for the order and for the time that a connection lingers.
        """
        if not self.lifecycle.is_connected() or self.pending_replies or self.intake.is_read_scheduled:
            return
        if self.lifecycle.state is ConnectionState.REJECTED:
            self.lifecycle.abort_after(LINGER_S, CloseReason.INPUT_REJECTED)
        elif self.is_closing or self._may_stop():
            self.lifecycle.close(CloseReason.SHUTDOWN)

    def _may_stop(self) -> bool:
        """Whether the gateway stops and no command has come that this connection could still read."""
        owner = self._owner
        return (
            owner.is_stopping
            and not owner.is_suspended
            and (self.intake.is_read_paused or not has_unread_bytes(self.socket))
        )

    def finish(self) -> None:
        """Take no more commands, and close as soon as all replies are written."""
        self.lifecycle.finish()
        self.intake.update_read_pause(self)
        self.close_if_done()

    def abort(self, reason: CloseReason = CloseReason.PROCESS_ENDS) -> None:
        """Close at once; replies that are not sent yet are lost."""
        self.lifecycle.abort(reason)

    def evict(self) -> bool:
        """Close the connection unless a reply is pending or a command unread; whether it was closed."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return False
        if self.pending_replies or transport.get_write_buffer_size():
            return False
        if not self.is_closing and has_unread_bytes(self.socket):
            return False
        self.abort(CloseReason.EVICTED_FOR_CAPACITY)
        return True

    def release(self) -> ReleasedConnection | None:
        """Let go of the connection once no reply is pending, so that another process serves it on.

        What waits in the kernel goes with the descriptor, what was read of a command with the rest.

        Returns:
            The connection for the other process; None while replies are pending or commands are being read.

        Raises:
            OSError: The descriptor can't be duplicated now; the connection is unchanged.
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
            waiting_since_s=self.intake.arrivals.waiting_since_s,
        )
        self.abort(CloseReason.HANDED_OVER)
        return ReleasedConnection(descriptor, resumed)

    def _is_releasable(self, transport: asyncio.Transport) -> bool:
        return not (
            self.is_closing
            or self.pending_replies
            or self.is_write_blocked
            or self.intake.is_read_scheduled
            or transport.get_write_buffer_size()
        )
