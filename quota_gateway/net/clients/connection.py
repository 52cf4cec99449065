"""A client connection, which passes the event loop's calls on to its intake, replies and lifecycle."""

from __future__ import annotations

import asyncio
import os
import socket
from collections import deque
from typing import TYPE_CHECKING, cast

from quota_gateway.net.active_request import ClientPresence
from quota_gateway.net.buffer_budget import BufferUsage
from quota_gateway.net.client_replies import FAILED_REPLY
from quota_gateway.net.clients.command_intake import CommandIntake
from quota_gateway.net.clients.connection_lifecycle import ConnectionLifecycle
from quota_gateway.net.clients.connection_state import CloseReason, ConnectionState
from quota_gateway.net.clients.pending_reply import HeldBackFailure, PendingReply
from quota_gateway.net.clients.reply_writer import ReplyWriter
from quota_gateway.net.clients.resumed_connection import (
    NEW_CONNECTION,
    ReleasedConnection,
    ResumedConnection,
)
from quota_gateway.net.clients.socket_state import has_hung_up, has_unread_bytes
from quota_gateway.net.segmented_bytes import SEGMENT_BYTES
from quota_gateway.telemetry import Metric

if TYPE_CHECKING:
    from quota_gateway.net.clients.protocols import ConnectionOwner

# Bounds of one read from a connection. Long reads let the kernel enlarge its receive buffer, so that the end
# of a client is seen behind what it has sent.
MIN_READ_SIZE_BYTES = 4 * 1024
MAX_READ_SIZE_BYTES = 256 * 1024
# Share of the free budget that one read may take: what is read waits for the turn of its connection, so that
# hundreds of connections together hold as many reads.
READ_SHARE = 1 / 128
WRITE_STALL_TIMEOUT_S = 15.0  # maximum time that a client may block writing and not read its replies


class ClientConnection(asyncio.BufferedProtocol):
    """Serves one client, from the event loop's first call until the loop has closed the connection."""

    def __init__(self, owner: ConnectionOwner, sock: socket.socket, resumed: ResumedConnection) -> None:
        self.socket = sock
        self.buffers = BufferUsage(owner.budget)
        self.replies = ReplyWriter(self.buffers)
        self.lifecycle = ConnectionLifecycle(owner.loop, owner.driver.telemetry, self.replies, sock)
        self.intake = CommandIntake(
            owner, resumed.has_sent_command, resumed.request_count, resumed.waiting_since_s
        )
        self.reservations = owner.reservations
        self._owner = owner
        self._resumed = resumed

    @property
    def transport(self) -> asyncio.Transport | None:
        """The transport; None before the event loop's first call and after it has closed the socket."""
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
        """Whether writing is paused because the client does not read its replies."""
        return self.replies.is_blocked

    # ---- Callbacks of the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start serving the client; continue with a command that another process has read in part."""
        # uvloop's transports do not inherit from asyncio.Transport, so that isinstance would reject them
        opened = cast(asyncio.Transport, transport)
        opened.set_write_buffer_limits(0)  # ``pause_writing`` counts all that the kernel does not take
        self.lifecycle.open(opened)
        self._owner.connection_opened(self, self._resumed.command_due_for_s)
        if self._has_disconnected():  # the client left before it was accepted: nothing is forwarded
            self._disconnect()
            return
        resumed, self._resumed = self._resumed, NEW_CONNECTION
        if resumed.partial_command:
            self._receive_in_pieces(memoryview(resumed.partial_command))
            self.intake.last_received_s -= resumed.silent_s
        elif self.intake.has_sent_command:
            self.lifecycle.delivery.on_written()  # the previous process may have written replies just now
            self._owner.idle_connections.update(self, within_command=False, took_command=True)

    def _receive_in_pieces(self, data: memoryview) -> None:
        """Receive a long partial command as from the socket: reading it at once would copy it whole."""
        for start in range(0, len(data), SEGMENT_BYTES):
            self.data_received(bytes(data[start : start + SEGMENT_BYTES]))

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Drop the requests whose replies are pending."""
        self.lifecycle.mark_closed()
        self._owner.connection_closed(self)
        for reply in self.replies.take_all():
            self.reservations.release(reply)
            if reply.attempt:
                self._owner.driver.cancel_attempt(reply.attempt)
            elif reply.reply is None:
                self._owner.driver.client_disconnected(reply.request_id)

    def eof_received(self) -> None:
        """End the connection after the client closed its side; the loop closes it after the last write."""
        self._disconnect()

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002 - asyncio's signature
        """Return the memory for the next read: less of it as the budget fills up.

        All connections share it, as they take the bytes at once.
        """
        size_bytes = int(READ_SHARE * self.buffers.budget.free_bytes())
        return self._owner.read_buffer[: max(MIN_READ_SIZE_BYTES, size_bytes)]

    def buffer_updated(self, nbytes: int) -> None:
        """Take the bytes that the event loop has read."""
        self.data_received(bytes(self._owner.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes and read the commands that they complete."""
        if not self.is_closing:
            self.intake.receive(self, data)

    def pause_writing(self) -> None:
        """Pause reading while replies can't be written, and abort if the client does not read."""
        transport = self.transport
        self.replies.block(transport.get_write_buffer_size() if transport else 0)
        self.intake.update_read_pause(self)
        self.lifecycle.abort_if_stalled(WRITE_STALL_TIMEOUT_S, CloseReason.WRITE_STALLED)

    def resume_writing(self) -> None:
        """Resume writing after the client has read its replies."""
        self.replies.unblock()
        self.lifecycle.cancel_abort()
        self.flush()

    # ---- Replies

    def reply_now(self, reply: bytes) -> None:
        """Queue the reply to a command that needs no upstream server, and write the replies that are due."""
        self.replies.add(PendingReply(self, reply))
        self.flush()

    def flush(self) -> None:
        """Write the replies that are due, then resume reading or close the connection if either is due."""
        transport = self.transport
        if transport is None or not self.lifecycle.is_connected():
            return
        if self.replies.write_due(transport, self.intake):
            self.lifecycle.delivery.on_written()
        held_back = self.replies.held_back_value(self.intake)
        if held_back and (failure := held_back.held_back_failure()):
            self._fail_value(held_back, failure)  # flushes once more
            return
        if self.replies.is_streaming():
            self.intake.update_read_pause(self)
        self.intake.continue_after_reply(self)

    def _fail_value(self, value: PendingReply, reason: HeldBackFailure) -> None:
        """Answer a large value of which nothing is written with an error: the replies behind it are due."""
        driver = self._owner.driver
        if value.attempt is None:
            return
        driver.telemetry.metrics.count(Metric.HELD_BACK_VALUES_FAILED, reason.value)
        if reason is HeldBackFailure.OVERDUE:
            driver.time_out_attempt(value.attempt)
        else:
            driver.cancel_attempt(value.attempt)

    # ---- Disconnects and timeouts

    def presence(self) -> ClientPresence:
        """Return whether the client is still connected; checked before an attempt for it is sent.

        See docs/decisions/client-disconnect.md for disconnects that the event loop has not noticed yet.
        """
        if not self._has_disconnected():
            is_unseen = self.intake.presence.is_unseen(self.socket)
            return ClientPresence.UNSEEN if is_unseen else ClientPresence.CONNECTED
        self.lifecycle.finish()
        # The disconnect is deferred, as the driver may be carrying out actions.
        self._owner.loop.call_soon(self._disconnect)
        return ClientPresence.LEFT

    def is_unread_with_pending_replies(self) -> bool:
        """Whether reading is paused while replies are pending, so that the loop can't notice a disconnect."""
        return self.intake.is_read_paused and bool(self.pending_replies)

    def close_if_disconnected(self) -> None:
        """Close the connection if the client has left."""
        if self._has_disconnected():
            self._disconnect()

    def _has_disconnected(self) -> bool:
        """Whether the connection was closed or reset, even if bytes sent before that are still unread."""
        return not self.lifecycle.is_connected() or has_hung_up(self.socket)

    def _disconnect(self) -> None:
        """Drop the pending requests of a client that has left, and close its connection."""
        if not self.lifecycle.is_connected():
            return
        self.lifecycle.finish()
        for reply in list(self.pending_replies):
            if reply.reply is None:
                self._owner.driver.client_disconnected(reply.request_id)
        self.lifecycle.close(CloseReason.CLIENT_LEFT)

    def time_out(self) -> None:
        """End the connection after its command read timeout; its pending requests fail."""
        if self.transport is None:
            return
        if self.is_closing and not self.pending_replies:
            return  # the connection lingers, or is about to
        if not self.is_closing:
            self.intake.reject_input(self, "timeout")
        for reply in list(self.pending_replies):
            if reply.reply is None:
                self._owner.driver.client_disconnected(reply.request_id)
                reply.set_reply(FAILED_REPLY)

    # ---- Closing by the gateway

    def close_if_done(self) -> None:
        """End the connection if it is to end and no reply is pending; received commands are taken first.

        See docs/decisions/client-closing.md for the order and for how long a connection lingers.
        """
        if not self.lifecycle.is_connected() or self.pending_replies or self.intake.is_read_scheduled:
            return
        if self.lifecycle.state is ConnectionState.REJECTED:
            self.linger(CloseReason.INPUT_REJECTED)
        elif self.is_closing or self._may_stop():
            self.linger(CloseReason.SHUTDOWN)

    def linger(self, reason: CloseReason) -> None:
        """Take no more commands, and close once the client has received the replies that were written."""
        self.lifecycle.linger(reason)
        self.intake.update_read_pause(self)
        self._owner.idle_connections.update(self, within_command=False, took_command=False)

    def _may_stop(self) -> bool:
        """Whether the gateway is stopping and the client has its replies and has sent no further command."""
        owner = self._owner
        return (
            owner.is_stopping
            and not owner.is_suspended
            and not self.lifecycle.is_delivery_pending()
            and (self.intake.is_read_paused or not has_unread_bytes(self.socket))
        )

    def finish(self) -> None:
        """Take no more commands, and close as soon as all replies are written.

        Large values of which nothing is written yet fail: the replies behind them are due now.
        """
        self.lifecycle.finish()
        self.intake.update_read_pause(self)
        for reply in list(self.pending_replies):
            if reply.is_unwritten_value():
                self._fail_value(reply, HeldBackFailure.SHUTDOWN)
        self.close_if_done()

    def abort(self, reason: CloseReason = CloseReason.PROCESS_ENDS) -> None:
        """Close at once; replies that are not sent yet are lost."""
        self.lifecycle.abort(reason)

    def shed_command(self) -> None:
        """Reject a command that has stalled, as its memory is needed."""
        self.intake.reject_input(self, "out of memory")

    def evict(self) -> bool:
        """Close the connection unless a reply is pending or a command is unread; return whether it closed.

        A reply is pending until the client has received it, or for ``DELIVERY_TIMEOUT_S``.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return False
        if self.pending_replies or self.lifecycle.is_delivery_pending():
            return False
        if not self.is_closing and has_unread_bytes(self.socket):
            return False
        self.abort(CloseReason.EVICTED_FOR_CAPACITY)
        return True

    def release(self) -> ReleasedConnection | None:
        """Release the connection for another process to serve, if no reply is pending.

        Unread bytes stay in the kernel with the descriptor; bytes of a partial command are returned.

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
            partial_command=self.intake.reader.received_bytes(),
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
