"""Which client connections are idle, which are overdue, and which are closed to make room for others."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Sized
from itertools import islice
from typing import Protocol

COMMAND_TIMEOUT_S = 2.7  # for a first command, from connecting, and for the rest of a begun one; of 3 s
SILENT_GRACE_S = 0.25  # a silent client closed sooner would reconnect at once, again and again
STOPPED_GRACE_S = 0.7  # after so long without a byte, a client within a command may be closed for room
IDLE_GRACE_S = 2.0  # after so long without a request, a connection may be closed for room
MAX_CLOSED_FOR_ROOM = 16  # connections closed at once when there is no room for another


class CommandProgress(Protocol):
    """What has come on a connection so far."""

    has_sent_command: bool
    last_received_s: float
    request_count: int

    def has_partial_command(self) -> bool:
        """Whether a part of a command has come."""

    def is_receiving_body(self) -> bool:
        """Whether a body, and only that, is still arriving."""


class TrackedConnection(Protocol):
    """What the tracking needs of a connection."""

    is_closing: bool

    @property
    def intake(self) -> CommandProgress:
        """What has come on it."""

    @property
    def pending_replies(self) -> Sized:
        """The replies that are still owed."""

    def time_out(self) -> None:
        """End the connection, as its command is overdue."""

    def close_to_make_room(self) -> bool:
        """Close the connection unless an answer or an unread command is on it; whether it was closed."""


class IdleConnections:
    """Tracks what each connection waits for; each is in one of these states, or in none while it is busy.

    * ``awaiting_command``: a first command, the rest of one, or the end of the connection is due.
    * ``awaiting_body``: overdue, but for a body that is still arriving.
    * ``idle_without_request``, ``idle_after_one_request``, ``idle_after_requests``: nothing is owed; by how
      many requests the client has made.

    Each keeps its connections in the order in which they entered. See
    docs/decisions/client-idle-connections.md for the order in which they are closed to make room.
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
            connection: The connection; a command is due on it.
            command_due_for_s: For how long that has been, where it has waited before.
        """
        self.awaiting_command[connection] = self._loop.time() - command_due_for_s

    def discard(self, connection: TrackedConnection) -> None:
        """Forget a connection that has ended."""
        self.awaiting_command.pop(connection, None)
        self.awaiting_body.pop(connection, None)
        self._leave_idle(connection)

    def update(self, connection: TrackedConnection, within_command: bool, took_command: bool) -> None:
        """Note what a connection waits for after something was read on it.

        Args:
            connection: The connection.
            within_command: Whether a command has begun that is not complete.
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
        """Note that all that came on a connection has been answered."""
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
        """For how long a command has been due on a connection; 0 where none is."""
        if connection in self.awaiting_body:
            return COMMAND_TIMEOUT_S  # it is overdue, but for a body that is still arriving
        now_s = self._loop.time()
        return now_s - self.awaiting_command.get(connection, now_s)

    def time_out_overdue(self) -> None:
        """End the connections whose command is overdue, but for those whose body is still arriving."""
        due_before_s = self._loop.time() - COMMAND_TIMEOUT_S
        overdue = [item for item, since_s in self.awaiting_command.items() if since_s <= due_before_s]
        for connection in overdue:  # not in the order of time: some have waited elsewhere before
            del self.awaiting_command[connection]
            self.awaiting_body[connection] = None
        for connection in [item for item in self.awaiting_body if not _is_receiving_body(item)]:
            del self.awaiting_body[connection]
            connection.time_out()

    def make_room(self) -> None:
        """Close connections of no use, then idle ones; among each the one that has been so for longest."""
        wanted = MAX_CLOSED_FOR_ROOM
        for connection in self._unproductive()[: 2 * MAX_CLOSED_FOR_ROOM]:
            if wanted > 0:
                wanted -= connection.close_to_make_room()
        idle_before_s = self._loop.time() - IDLE_GRACE_S
        for state in (self.idle_after_one_request, self.idle_after_requests):
            wanted -= self._close_idle(state, idle_before_s, wanted)

    def _unproductive(self) -> list[TrackedConnection]:
        """Connections that are closing, silent or stopped within a command; the longest silent first."""
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

    def _close_idle(
        self, state: OrderedDict[TrackedConnection, float], idle_before_s: float, wanted: int
    ) -> int:
        """Close at most ``wanted`` connections that have been in this state since before; how many."""
        closed = 0
        for connection, since_s in list(islice(state.items(), max(0, wanted))):
            if since_s >= idle_before_s:
                continue
            if connection.close_to_make_room():
                closed += 1
                del state[connection]
            else:
                state.move_to_end(connection)  # it has a command to be read
        return closed


def _is_receiving_body(connection: TrackedConnection) -> bool:
    return not connection.is_closing and connection.intake.is_receiving_body()


def _grace_s(connection: TrackedConnection) -> float:
    return STOPPED_GRACE_S if connection.intake.has_partial_command() else SILENT_GRACE_S
