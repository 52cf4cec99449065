"""Reads the commands of one client connection within bounds, and submits or answers them."""

from __future__ import annotations

import logging
from collections.abc import Callable
from math import inf
from typing import TYPE_CHECKING, NamedTuple

from quota_gateway.errors import CommandError, ProtocolError
from quota_gateway.net.active_request import ActiveRequest
from quota_gateway.net.buffer_budget import REQUEST_OVERHEAD_BYTES, BufferBudget, BufferLease
from quota_gateway.net.client_replies import BUSY_REPLY, encode_error
from quota_gateway.net.clients.arrival import NEGLIGIBLE_WAIT_S, ArrivalTracker
from quota_gateway.net.clients.commands import CALL_GET, CALL_POST, PING
from quota_gateway.net.clients.pending_reply import PendingReply
from quota_gateway.net.clients.presence import PresenceTracker
from quota_gateway.net.clock import MS_PER_S
from quota_gateway.net.resp import Command, CommandReader
from quota_gateway.telemetry import Metric

if TYPE_CHECKING:
    from quota_gateway.net.clients.protocols import CommandConnection, IntakeServices

log = logging.getLogger(__name__)

# Limits for one connection. Input beyond the first two limits waits in the kernel.
MAX_PIPELINED_COMMANDS = 64
MAX_PENDING_BYTES = 256 * 1024  # bytes of taken commands and of replies that are not written yet
MAX_COMMANDS_PER_TURN = 4  # commands taken from one connection before it waits for another turn
MAX_CONSECUTIVE_ERRORS = 16  # malformed commands in a row, after which the connection is closed
BODY_GAP_TIMEOUT_S = 1.0  # longest gap between pieces of a body that goes on after the command read timeout


class TakenCommands(NamedTuple):
    """The number of commands that one read has taken, and whether an incomplete one is left."""

    command_count: int
    is_within_command: bool


class CommandIntake:
    """Reads one connection's commands, and pauses its reading while too many of them are pending.

    See docs/decisions/client-limits.md for the limits. The connection is passed to each call: an attribute
    would form a reference cycle, whose memory is freed only when the garbage collector runs.
    """

    __slots__ = (
        "_consecutive_errors",
        "_is_reading",
        "_services",
        "arrivals",
        "has_sent_command",
        "is_read_paused",
        "is_read_scheduled",
        "last_received_s",
        "presence",
        "reader",
        "request_count",
    )

    def __init__(
        self,
        services: IntakeServices,
        has_sent_command: bool,
        request_count: int,
        waiting_since_s: float = inf,
    ) -> None:
        self._services = services
        self.reader = CommandReader()
        self.has_sent_command = has_sent_command
        self.request_count = request_count
        self.last_received_s = services.loop.time()
        self.is_read_paused = False
        self.is_read_scheduled = False  # true while the connection waits for another turn
        self.arrivals = ArrivalTracker(waiting_since_s)
        self.presence = PresenceTracker(waiting_since_s)
        self._is_reading = False
        self._consecutive_errors = 0

    def receive(self, connection: CommandConnection, data: bytes) -> None:
        """Buffer received bytes and read the commands that they complete."""
        self.reader.receive_data(data)
        self.last_received_s = self._services.loop.time()
        self.arrivals.on_read(connection.socket, self._services.stall_detector.earliest_arrival_s())
        connection.buffers.count(len(data), is_pending=False)
        self.read_commands(connection)

    def read_commands(self, connection: CommandConnection) -> int:
        """Read commands up to the limits of the connection, and close the connection if it is to end.

        Returns:
            The number of commands that were taken.
        """
        self._is_reading = True
        taken = self._take_commands(connection)
        self._is_reading = False
        budget = connection.buffers.budget
        is_over = budget.is_short if self.reader.is_within_long_body() else budget.is_exceeded
        if taken.is_within_command and not self._has_room(is_over, budget):
            self.reject_input(connection, "out of memory")
        if taken.command_count == MAX_COMMANDS_PER_TURN and not self.is_read_scheduled:
            self.is_read_scheduled = True
            self._services.command_turns.add(connection)
        self.update_read_pause(connection)
        self._services.idle_connections.update(connection, taken.is_within_command, taken.command_count > 0)
        connection.close_if_done()
        return taken.command_count

    def _take_commands(self, connection: CommandConnection) -> TakenCommands:
        """Take as many complete commands as the limits allow."""
        taken_count = 0
        while (
            not connection.is_closing
            and connection.transport
            and not self._is_at_limit(connection)
            and taken_count < MAX_COMMANDS_PER_TURN
        ):
            unread_bytes = self.reader.buffered_bytes
            try:
                command = self.reader.next_command()
            except ProtocolError as error:
                self.reject_input(connection, f"Protocol error: {error}")
                break
            if command is None:
                return TakenCommands(taken_count, self.reader.is_within_command())
            taken_count += 1
            self.has_sent_command = True
            self._dispatch(connection, command, unread_bytes - self.reader.buffered_bytes)
        return TakenCommands(taken_count, is_within_command=False)

    def _has_room(self, is_over: Callable[[], bool], budget: BufferBudget) -> bool:
        """Whether there is memory for a command, once stalled commands of other clients have given way."""
        if is_over():
            self._services.idle_connections.shed_stalled_commands(budget.is_short)
        return not is_over()

    def continue_after_reply(self, connection: CommandConnection) -> None:
        """Resume paused reading after replies were written, or record that the connection is idle.

        Does nothing while ``read_commands`` runs, where a command may be answered at once, and while the
        connection waits for another turn: the reply may be given during the turn of another one.
        """
        if self._is_reading or self.is_read_scheduled:
            return
        if self.is_read_paused and not connection.is_closing:
            self.read_commands(connection)
        elif not connection.replies.pending:
            self._services.idle_connections.mark_idle(connection)
        connection.close_if_done()

    def take_turn(self, connection: CommandConnection) -> int:
        """Read on after other connections had their turn; return the number of commands that were taken."""
        self.is_read_scheduled = False
        return self.read_commands(connection) if connection.transport else 0

    def _is_at_limit(self, connection: CommandConnection) -> bool:
        """Whether no more commands may be taken now."""
        replies = connection.replies
        return (
            replies.is_blocked
            or replies.is_streaming()  # if the value is truncated, later commands get no reply
            or self._services.is_suspended
            or len(replies.pending) >= MAX_PIPELINED_COMMANDS
            or connection.buffers.pending_bytes > MAX_PENDING_BYTES
        )

    def update_read_pause(self, connection: CommandConnection) -> None:
        """Pause or resume reading from the socket, depending on whether more commands may be taken."""
        transport = connection.transport
        if transport is None or transport.is_closing():
            return
        must_pause = connection.is_closing or self.is_read_scheduled or self._is_at_limit(connection)
        if must_pause == self.is_read_paused:
            return
        self.is_read_paused = must_pause
        if must_pause:
            self.arrivals.on_pause()
            self.presence.on_pause()
            transport.pause_reading()
        else:
            self.arrivals.on_resume()
            self.presence.on_resume()
            transport.resume_reading()

    def _dispatch(self, connection: CommandConnection, command: Command, size_bytes: int) -> None:
        if command.name in (CALL_GET, CALL_POST):
            self._submit_request(connection, command, size_bytes)
            return
        connection.buffers.count(-size_bytes, is_pending=False)
        if command.name == PING:
            connection.reply_now(self._services.ping_reply())
        else:
            self._reply_error(connection, "unknown command")

    def _submit_request(self, connection: CommandConnection, command: Command, size_bytes: int) -> None:
        driver = self._services.driver
        budget = connection.buffers.budget
        has_room = self._has_room(budget.is_exceeded, budget)
        connection.buffers.count(-size_bytes, is_pending=False)  # they count for the request from here on
        try:
            request, encode = self._services.request_parser.parse(command, self._waited_ms())
            if driver.is_active(request.request_id):
                raise CommandError("a request of this id is in hand")
        except CommandError as error:
            self._reply_error(connection, str(error))
            return
        self._consecutive_errors = 0
        self.request_count += 1
        if not has_room:
            connection.reply_now(BUSY_REPLY)
            return
        reply = PendingReply(connection, None, request.request_id, size_bytes)
        connection.replies.add(reply)
        active = ActiveRequest(
            request.request_id,
            encode,
            reply.set_reply,
            reply.start_streaming,
            connection.presence,
            BufferLease(budget, encode.size_bytes + REQUEST_OVERHEAD_BYTES),
        )
        driver.submit(active, request, request.timeout_ms)

    def _waited_ms(self) -> float:
        """Return how many milliseconds the command has waited to be read; count it if the wait was long."""
        waited_s = self.arrivals.waited_s()
        if waited_s > NEGLIGIBLE_WAIT_S:
            self._services.driver.telemetry.metrics.count(Metric.LATE_COMMANDS, "waited to be read")
        return waited_s * MS_PER_S

    def _reply_error(self, connection: CommandConnection, reason: str) -> None:
        """Answer a malformed command with an error; reject a client that sends many in a row."""
        self._consecutive_errors += 1
        if self._consecutive_errors >= MAX_CONSECUTIVE_ERRORS:
            connection.lifecycle.reject()
        connection.reply_now(encode_error(reason))

    def reject_input(self, connection: CommandConnection, reason: str) -> None:
        """Answer malformed or missing input with an error, and close the connection after all replies."""
        log.info("client connection rejected reason=%s", reason)
        connection.lifecycle.reject()
        connection.buffers.count(-self.reader.buffered_bytes, is_pending=False)
        self.reader = CommandReader()
        self._services.idle_connections.update(connection, within_command=True, took_command=False)
        connection.reply_now(encode_error(reason))
        self.update_read_pause(connection)

    def has_partial_command(self) -> bool:
        """Whether received bytes have not been taken as a command yet."""
        return self.reader.is_within_command()

    @property
    def partial_command_bytes(self) -> int:
        """The number of buffered bytes that have not been taken as a command yet."""
        return self.reader.buffered_bytes

    def is_receiving_body(self) -> bool:
        """Whether only the rest of a command's body is missing and bytes of it keep arriving."""
        silent_s = self._services.loop.time() - self.last_received_s
        return self.reader.is_within_body() and silent_s < BODY_GAP_TIMEOUT_S
