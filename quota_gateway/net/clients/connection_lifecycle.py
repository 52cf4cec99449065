"""Holds the state of one client connection and closes it; every close goes through here."""

from __future__ import annotations

import asyncio

from quota_gateway.net.clients.connection_state import TRANSITIONS, CloseReason, ConnectionState
from quota_gateway.net.clients.reply_writer import ReplyWriter
from quota_gateway.telemetry import Invariant, Metric, Telemetry

# A client that has left, or reads nothing, can't be answered. VALUE_TRUNCATED is not included: the truncated
# value counts as answered, but the commands after it still need answers.
REASONS_ALLOWED_BEFORE_ANSWER = frozenset((CloseReason.CLIENT_LEFT, CloseReason.WRITE_STALLED))


class ConnectionLifecycle:
    """Holds the transport of a connection while there is one, and closes it.

    Args:
        loop: The event loop, for the timer of a delayed abort.
        telemetry: Counts closes and checks that no answer is missing.
        replies: The replies of the connection.

    Attributes:
        state: The state of the connection.
        is_closing: Whether no more commands are taken.
        transport: The transport, from the event loop's first call until it has closed the socket; else None.
    """

    __slots__ = ("_abort_timer", "_loop", "_replies", "_telemetry", "is_closing", "state", "transport")

    def __init__(self, loop: asyncio.AbstractEventLoop, telemetry: Telemetry, replies: ReplyWriter) -> None:
        self.state = ConnectionState.CONNECTING
        self.is_closing = False
        self.transport: asyncio.Transport | None = None
        self._loop = loop
        self._telemetry = telemetry
        self._replies = replies
        self._abort_timer: asyncio.TimerHandle | None = None

    def open(self, transport: asyncio.Transport) -> None:
        """Start serving the connection."""
        self.transport = transport
        self._enter(ConnectionState.OPEN)

    def finish(self) -> None:
        """Take no more commands."""
        self._enter(ConnectionState.FINISHING)

    def reject(self) -> None:
        """Take no more commands after malformed or missing input; the connection lingers before it closes."""
        self._enter(ConnectionState.REJECTED)

    def mark_closed(self) -> None:
        """Record that the event loop has closed the socket."""
        self.transport = None
        self._enter(ConnectionState.CLOSED)
        self.cancel_abort()

    def is_connected(self) -> bool:
        """Whether there is a transport and it is not closing."""
        return self.transport is not None and not self.transport.is_closing()

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
        self._enter(ConnectionState.CLOSING)
        if at_once:
            transport.abort()
        else:
            transport.close()

    def abort(self, reason: CloseReason) -> None:
        """Close at once; replies that are not sent yet are lost."""
        self.close(reason, at_once=True)

    def abort_after(self, delay_s: float, reason: CloseReason) -> None:
        """Abort after a delay, unless an abort is scheduled already."""
        if self._abort_timer is None:
            self._abort_timer = self._loop.call_later(delay_s, self.abort, reason)

    def cancel_abort(self) -> None:
        """Cancel the scheduled abort, if there is one."""
        if self._abort_timer:
            self._abort_timer.cancel()
            self._abort_timer = None

    def _check_answers(self, reason: CloseReason) -> None:
        is_missing = self._replies.has_unanswered() and reason not in REASONS_ALLOWED_BEFORE_ANSWER
        request_ids = ",".join(reply.request_id for reply in self._replies.pending)
        check = self._telemetry.invariants.check
        check(Invariant.NO_CLOSE_WHILE_OWED, not is_missing, request_ids, reason.value)

    def _enter(self, state: ConnectionState) -> None:
        if state in TRANSITIONS[self.state]:
            self.state = state
            self.is_closing = state is not ConnectionState.OPEN
