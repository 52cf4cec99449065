"""Holds the state of one client connection and closes it; every close goes through here."""

from __future__ import annotations

import asyncio
import logging
import socket

from quota_gateway.net.clients.connection_state import TRANSITIONS, CloseReason, ConnectionState
from quota_gateway.net.clients.reply_delivery import DELIVERY_TIMEOUT_S, MIN_READ_BYTES, ReplyDelivery
from quota_gateway.net.clients.reply_writer import ReplyWriter
from quota_gateway.net.clients.socket_state import has_hung_up
from quota_gateway.telemetry import Invariant, Metric, Telemetry

# A client that has left, or reads nothing, can't be answered. VALUE_TRUNCATED is not included: the truncated
# value counts as answered, but the commands after it still need answers.
REASONS_ALLOWED_BEFORE_ANSWER = frozenset((CloseReason.CLIENT_LEFT, CloseReason.WRITE_STALLED))
# After these closes, the client or another process still has the connection or nobody wants its replies.
REASONS_ALLOWED_BEFORE_DELIVERY = frozenset((CloseReason.CLIENT_LEFT, CloseReason.HANDED_OVER))

# Time without a pending delivery after which a lingering connection closes. Clients take their replies from
# their own kernel meanwhile; a reset could make them give up what they have not read.
LINGER_S = 1.0
REJECTED_LINGER_S = 0.3  # a client that sends malformed input is owed an error or a close within 3 s
LINGER_CHECK_S = 0.05  # interval between checks whether a lingering connection may close

log = logging.getLogger(__name__)


class ConnectionLifecycle:
    """Holds the transport of a connection while there is one, and closes it.

    Args:
        loop: The event loop, for the timer of a delayed abort.
        telemetry: Counts closes and checks that no answer is missing.
        replies: The replies of the connection.
        sock: The connection's socket.

    Attributes:
        delivery: Tracks whether the client has received what was written.
        state: The state of the connection.
        is_closing: Whether no more commands are taken.
        transport: The transport, from the event loop's first call until it has closed the socket; else None.
    """

    __slots__ = (
        "_abort_timer",
        "_linger_timer",
        "_loop",
        "_replies",
        "_socket",
        "_telemetry",
        "delivery",
        "is_closing",
        "state",
        "transport",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        telemetry: Telemetry,
        replies: ReplyWriter,
        sock: socket.socket,
    ) -> None:
        self.delivery = ReplyDelivery(sock, loop)
        self.state = ConnectionState.CONNECTING
        self.is_closing = False
        self.transport: asyncio.Transport | None = None
        self._loop = loop
        self._telemetry = telemetry
        self._replies = replies
        self._socket = sock
        self._abort_timer: asyncio.TimerHandle | None = None
        self._linger_timer: asyncio.TimerHandle | None = None

    def open(self, transport: asyncio.Transport) -> None:
        """Start serving the connection."""
        self.transport = transport
        self._enter(ConnectionState.OPEN)

    def finish(self) -> None:
        """Take no more commands."""
        self._enter(ConnectionState.FINISHING)

    def reject(self) -> None:
        """Take no more commands after malformed or missing input."""
        self._enter(ConnectionState.REJECTED)

    def mark_closed(self) -> None:
        """Record that the event loop has closed the socket."""
        self.transport = None
        self._enter(ConnectionState.CLOSED)
        self.cancel_abort()
        if self._linger_timer:
            self._linger_timer.cancel()
            self._linger_timer = None

    def is_connected(self) -> bool:
        """Whether replies can be written: there is a transport, and neither lingering nor closing began."""
        is_open = self.transport is not None and not self.transport.is_closing()
        return is_open and self.state is not ConnectionState.LINGERING

    def is_delivery_pending(self) -> bool:
        """Whether the client has not received all written replies yet, and may still be reading."""
        return self.transport is not None and self.delivery.is_pending(self.transport)

    def linger(self, reason: CloseReason) -> None:
        """Write and read no more, and close once the client has received its replies or has left.

        A close resets the connection if the client sends more, and a reset drops what is not delivered.
        """
        if self.transport is None or not self.is_connected():
            return
        linger_s = REJECTED_LINGER_S if self.state is ConnectionState.REJECTED else LINGER_S
        self._enter(ConnectionState.LINGERING)
        self.transport.write_eof()
        self._check_linger(reason, linger_s)

    def _check_linger(self, reason: CloseReason, linger_s: float) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        remaining_s = linger_s - self.delivery.seconds_since_pending()
        if has_hung_up(self._socket):
            self.abort(reason)
        elif self.is_delivery_pending() or remaining_s > LINGER_CHECK_S:
            self._linger_timer = self._loop.call_later(LINGER_CHECK_S, self._check_linger, reason, linger_s)
        elif remaining_s > 0:
            self._linger_timer = self._loop.call_later(remaining_s, self._check_linger, reason, linger_s)
        else:
            self.abort(reason)

    def close(self, reason: CloseReason, at_once: bool = False) -> None:
        """Close the connection.

        Args:
            reason: The reason for the metrics and for the check that no answer is missing.
            at_once: Whether replies that are not sent yet are lost; otherwise they are still sent.
        """
        transport = self.transport
        if transport is None:
            return
        if not transport.is_closing():
            self._telemetry.metrics.count(Metric.CLIENT_CONNECTIONS_CLOSED, reason.value)
            self._check_answers(reason)
            self._report_undelivered(transport, reason)
        self._enter(ConnectionState.CLOSING)
        if at_once:
            transport.abort()
            return
        transport.close()
        if transport.get_write_buffer_size():
            self.abort_if_stalled(DELIVERY_TIMEOUT_S, reason)  # the transport itself waits without a limit

    def abort(self, reason: CloseReason) -> None:
        """Close at once; replies that are not sent yet are lost."""
        self.close(reason, at_once=True)

    def abort_if_stalled(self, timeout_s: float, reason: CloseReason) -> None:
        """Abort as soon as the client has received fewer than ``MIN_READ_BYTES`` within the timeout.

        The kernel reports room for further bytes only once a third of its buffer is free, so that a client
        may read for long before the transport resumes writing.
        """
        if self._abort_timer is None and self.transport:
            unacknowledged = self.delivery.unacknowledged_bytes(self.transport)
            self._abort_timer = self._loop.call_later(
                timeout_s, self._check_stall, timeout_s, reason, unacknowledged
            )

    def _check_stall(self, timeout_s: float, reason: CloseReason, unacknowledged_before: int) -> None:
        self._abort_timer = None
        if self.transport is None:
            return
        unacknowledged = self.delivery.unacknowledged_bytes(self.transport)
        if unacknowledged_before - unacknowledged >= MIN_READ_BYTES:
            self.abort_if_stalled(timeout_s, reason)
        else:
            self.abort(reason)

    def cancel_abort(self) -> None:
        """Stop watching for a client that does not read."""
        if self._abort_timer:
            self._abort_timer.cancel()
            self._abort_timer = None

    def _report_undelivered(self, transport: asyncio.Transport, reason: CloseReason) -> None:
        """Count and log a close that may cut off replies: the client has not acknowledged all bytes."""
        if reason in REASONS_ALLOWED_BEFORE_DELIVERY:
            return
        undelivered_bytes = self.delivery.unacknowledged_bytes(transport)
        if undelivered_bytes:
            self._telemetry.metrics.count(Metric.CLIENT_CLOSES_UNDELIVERED, reason.value)
            log.info("client connection cut reason=%s undelivered_bytes=%d", reason.value, undelivered_bytes)

    def _check_answers(self, reason: CloseReason) -> None:
        is_missing = self._replies.has_unanswered() and reason not in REASONS_ALLOWED_BEFORE_ANSWER
        is_missing |= reason is CloseReason.VALUE_TRUNCATED and self._replies.has_requests_behind_first()
        request_ids = ",".join(reply.request_id for reply in self._replies.pending)
        check = self._telemetry.invariants.check
        check(Invariant.NO_CLOSE_WHILE_OWED, not is_missing, request_ids, reason.value)

    def _enter(self, state: ConnectionState) -> None:
        if state in TRANSITIONS[self.state]:
            self.state = state
            self.is_closing = state is not ConnectionState.OPEN
