"""Tracks idle client connections and those past their command read timeout, and evicts for capacity."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from itertools import islice
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quota_gateway.net.clients.protocols import TrackedConnection

# Timeout for a complete command, from connecting or from the command's first byte; the protocol allows 3 s.
COMMAND_READ_TIMEOUT_S = 2.7
# An open connection is not evicted before the end of a grace period, which depends on its state.
# Grace period from the last byte; clients that are evicted sooner would reconnect again and again.
SILENT_GRACE_S = 0.25
PARTIAL_COMMAND_GRACE_S = 0.7  # grace period from the last byte of an incomplete command
IDLE_GRACE_S = 2.0  # grace period from when a connection with earlier requests became idle
MAX_EVICTIONS_PER_CALL = 16
# Time from the last byte of an incomplete command after which it gives way where memory is short.
STALLED_COMMAND_S = 0.25
MIN_SHED_BYTES = 1024  # an incomplete command that holds less is not worth a connection


class IdleConnections:
    """Tracks what each connection waits for.

    A connection is in one of these states, or in none of them while it is busy:

    * ``awaiting_command``: the first command, the rest of a command or the connection's end is due.
    * ``awaiting_body``: the command read timeout is over, but a body is still arriving.
    * ``idle_without_request``, ``idle_after_one_request``, ``idle_after_requests``: no reply is pending, and
      the client has made no request, one request or several.

    Each state keeps its connections in the order in which they entered it. See
    docs/decisions/client-idle-connections.md for the order in which they are evicted.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        # Each connection's value is the loop's time at which it entered the state.
        self.awaiting_command: OrderedDict[TrackedConnection, float] = OrderedDict()
        self.awaiting_body: dict[TrackedConnection, None] = {}
        self.idle_without_request: OrderedDict[TrackedConnection, float] = OrderedDict()
        self.idle_after_one_request: OrderedDict[TrackedConnection, float] = OrderedDict()
        self.idle_after_requests: OrderedDict[TrackedConnection, float] = OrderedDict()

    def add(self, connection: TrackedConnection, command_due_for_s: float) -> None:
        """Track a new connection.

        Args:
            connection: The connection.
            command_due_for_s: How many seconds its first command has been due already.
        """
        self.awaiting_command[connection] = self._loop.time() - command_due_for_s

    def discard(self, connection: TrackedConnection) -> None:
        """Stop tracking a connection that has ended."""
        self.awaiting_command.pop(connection, None)
        self.awaiting_body.pop(connection, None)
        self._leave_idle(connection)

    def update(self, connection: TrackedConnection, within_command: bool, took_command: bool) -> None:
        """Update what a connection waits for after bytes were read from it.

        Args:
            connection: The connection.
            within_command: Whether a command has been received in part.
            took_command: Whether at least one command was taken.
        """
        if took_command:
            self.awaiting_command.pop(connection, None)
            self.awaiting_body.pop(connection, None)
        if within_command or connection.is_closing:
            self._leave_idle(connection)
            if connection not in self.awaiting_body:
                self.awaiting_command.setdefault(connection, self._loop.time())
        elif connection.intake.has_sent_command:
            self.awaiting_command.pop(connection, None)
            if connection.pending_replies:
                self._leave_idle(connection)
            else:
                self.mark_idle(connection)

    def mark_idle(self, connection: TrackedConnection) -> None:
        """Record that all replies of a connection are written."""
        if not connection.intake.has_sent_command or connection in self.awaiting_command:
            return
        self._leave_idle(connection)
        if connection.intake.request_count > 1:
            state = self.idle_after_requests
        elif connection.intake.request_count:
            state = self.idle_after_one_request
        else:
            state = self.idle_without_request
        state[connection] = self._loop.time()

    def _leave_idle(self, connection: TrackedConnection) -> None:
        self.idle_after_requests.pop(connection, None)
        self.idle_after_one_request.pop(connection, None)
        self.idle_without_request.pop(connection, None)

    def command_due_for_s(self, connection: TrackedConnection) -> float:
        """Return how many seconds a command has been due on a connection; 0 if none is due."""
        if connection in self.awaiting_body:
            return COMMAND_READ_TIMEOUT_S
        now_s = self._loop.time()
        return now_s - self.awaiting_command.get(connection, now_s)

    def time_out_late_commands(self) -> None:
        """Time out the connections past their command read timeout, unless a body is still arriving."""
        due_before_s = self._loop.time() - COMMAND_READ_TIMEOUT_S
        # The entries are not sorted by time: handed over connections have waited in another process before.
        late = [item for item, since_s in self.awaiting_command.items() if since_s <= due_before_s]
        for connection in late:
            del self.awaiting_command[connection]
            self.awaiting_body[connection] = None
        for connection in [item for item in self.awaiting_body if not _is_receiving_body(item)]:
            del self.awaiting_body[connection]
            connection.time_out()

    def shed_stalled_commands(self, is_short: Callable[[], bool]) -> None:
        """Reject incomplete commands that have stalled, the longest silent first, while memory is short."""
        for connection in self._stalled():
            if not is_short():
                return
            connection.shed_command()

    def _stalled(self) -> list[TrackedConnection]:
        """Return the connections with an incomplete command that makes no progress, longest silent first."""
        silent_before_s = self._loop.time() - STALLED_COMMAND_S
        return sorted(
            (
                connection
                for connection in (*self.awaiting_command, *self.awaiting_body)
                if connection.intake.last_received_s < silent_before_s
                and connection.intake.partial_command_bytes >= MIN_SHED_BYTES
                and not connection.intake.is_read_paused
                and not connection.is_closing
            ),
            key=lambda connection: connection.intake.last_received_s,
        )

    def evict(self) -> None:
        """Evict unproductive connections first, then idle ones; in each group the longest waiting first."""
        wanted = MAX_EVICTIONS_PER_CALL
        for connection in self._unproductive()[: 2 * MAX_EVICTIONS_PER_CALL]:
            if wanted > 0:
                wanted -= connection.evict()
        idle_before_s = self._loop.time() - IDLE_GRACE_S
        for state in (self.idle_after_one_request, self.idle_after_requests):
            wanted -= self._evict_idle(state, idle_before_s, wanted)

    def _unproductive(self) -> list[TrackedConnection]:
        """Return connections that are closing, or silent before or within a command; longest silent first."""
        now_s = self._loop.time()
        return sorted(
            (
                connection
                for connection in (*self.awaiting_command, *self.idle_without_request)
                if connection.is_closing
                or (
                    not connection.pending_replies
                    and connection.intake.last_received_s < now_s - _grace_s(connection)
                )
            ),
            key=lambda connection: connection.intake.last_received_s,
        )

    def _evict_idle(
        self, state: OrderedDict[TrackedConnection, float], idle_before_s: float, wanted: int
    ) -> int:
        """Evict up to ``wanted`` connections that entered this state before a time; return how many."""
        evicted_count = 0
        for connection, since_s in list(islice(state.items(), max(0, wanted))):
            if since_s >= idle_before_s:
                continue
            if connection.evict():
                evicted_count += 1
                del state[connection]
            else:
                state.move_to_end(connection)  # the connection has an unread command or an unsent reply
        return evicted_count


def _is_receiving_body(connection: TrackedConnection) -> bool:
    return not connection.is_closing and connection.intake.is_receiving_body()


def _grace_s(connection: TrackedConnection) -> float:
    return PARTIAL_COMMAND_GRACE_S if connection.intake.has_partial_command() else SILENT_GRACE_S
