"""Reads the commands of one client connection within bounds, and submits or answers them."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections import deque
from math import inf
from typing import Protocol

from quota_gateway.errors import CommandError, ProtocolError
from quota_gateway.net.clients.arrival import BACKLOG_READ_S, NEGLIGIBLE_S, StallDetector, arrival_s
from quota_gateway.net.clients.commands import CALL_GET, CALL_POST, PING, RequestParser
from quota_gateway.net.clients.idle_connections import IdleConnections, TrackedConnection
from quota_gateway.net.clients.pending_reply import PendingReply, ReplyChannel
from quota_gateway.net.clock import MS_PER_S
from quota_gateway.net.driver import ActiveRequest, Driver
from quota_gateway.net.resp import CommandReader
from quota_gateway.telemetry import Metric

log = logging.getLogger(__name__)

MAX_PIPELINED_COMMANDS = 64  # of one connection in hand; what comes behind waits in the kernel
MAX_IN_HAND_BYTES = 256 * 1024  # of one connection's commands and replies; what comes behind waits too
MAX_COMMANDS_PER_TURN = 64  # read of one connection before the others have their turn
MAX_CONSECUTIVE_ERRORS = 16  # bad commands, after which a connection is closed: no use comes of more
BODY_GAP_TIMEOUT_S = 1.0  # between two pieces of an overdue body: as a whole it may take longer


class IntakeServices(Protocol):
    """What the listener gives to the intake of each connection."""

    driver: Driver
    request_parser: RequestParser
    idle_connections: IdleConnections
    loop: asyncio.AbstractEventLoop
    stalls: StallDetector

    @property
    def is_suspended(self) -> bool:
        """Whether another process serves."""

    def ping_reply(self) -> bytes:
        """The reply to PING."""


class CommandConnection(ReplyChannel, TrackedConnection, Protocol):
    """What the intake needs of its connection."""

    transport: asyncio.Transport | None
    socket: socket.socket
    pending_replies: deque[PendingReply]
    must_linger: bool
    is_write_blocked: bool

    def reply_now(self, reply: bytes) -> None:
        """Give a command that is no request its reply."""

    def wants_reply(self) -> bool:
        """Whether the client is still there."""

    def is_streaming(self) -> bool:
        """Whether a large value is being written whose end has not come."""

    def close_if_done(self) -> None:
        """Close between requests, when it is time to."""


class CommandIntake:
    """Reads one connection's commands, and pauses its reading while no more may be in hand.

    See docs/decisions/client-limits.md for the bounds. The connection is handed to each call: kept here it
    would be part of a reference cycle, whose memory is freed only when the garbage collector gets to it.
    """

    __slots__ = (
        "_consecutive_errors",
        "_is_reading",
        "_resumed_s",
        "_services",
        "has_sent_command",
        "is_read_paused",
        "is_read_scheduled",
        "last_arrival_s",
        "last_received_s",
        "reader",
        "request_count",
        "waiting_since_s",
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
        self.is_read_scheduled = False  # the others have their turn before more commands are read
        self.waiting_since_s = waiting_since_s  # monotonic; what comes next may have come since then
        self.last_arrival_s = 0.0  # monotonic; of what was read last
        self._resumed_s = inf if waiting_since_s == inf else time.monotonic()
        self._is_reading = False
        self._consecutive_errors = 0

    def feed(self, connection: CommandConnection, data: bytes) -> None:
        """Take in bytes and read the commands that they complete."""
        self.reader.feed(data)
        self.last_received_s = self._services.loop.time()
        self._note_arrival(connection)
        connection.buffers.count(len(data), in_hand=False)
        self.read_commands(connection)

    def _note_arrival(self, connection: CommandConnection) -> None:
        """Note when the bytes at hand came: now, or earlier where the connection or the process waited."""
        now_s = time.monotonic()
        if now_s - self._resumed_s > BACKLOG_READ_S:
            self.waiting_since_s = inf
            self._resumed_s = inf
        earliest_s = min(self.waiting_since_s, self._services.stalls.earliest_s())
        self.last_arrival_s = arrival_s(connection.socket, earliest_s)

    def read_commands(self, connection: CommandConnection) -> None:
        """Read commands, but no more than may be in hand at once, and not so many that others wait."""
        self._is_reading = True
        taken, is_within_command = self._take_commands(connection)
        self._is_reading = False
        if is_within_command and connection.buffers.budget.is_exceeded():
            self.reject_input(connection, "out of memory")
        if taken == MAX_COMMANDS_PER_TURN and not self.is_read_scheduled:
            self.is_read_scheduled = True
            self._services.loop.call_soon(self._continue_reading, connection)
        self.update_read_pause(connection)
        self._services.idle_connections.update(connection, is_within_command, taken > 0)
        connection.close_if_done()

    def _take_commands(self, connection: CommandConnection) -> tuple[int, bool]:
        """Take the commands that are there; how many, and whether one has begun that is not complete."""
        taken = 0
        while (
            not connection.is_closing
            and connection.transport
            and not self._is_at_limit(connection)
            and taken < MAX_COMMANDS_PER_TURN
        ):
            unread_bytes = len(self.reader.buffer)
            try:
                command = self.reader.next_command()
            except ProtocolError as error:
                self.reject_input(connection, f"Protocol error: {error}")
                break
            if command is None:
                return taken, unread_bytes > 0
            taken += 1
            self.has_sent_command = True
            self._dispatch(connection, command, unread_bytes - len(self.reader.buffer))
        return taken, False

    def continue_after_reply(self, connection: CommandConnection) -> None:
        """Go on where reading had paused, now that replies were written; note an idle connection.

        A command that is answered at once comes here from within ``read_commands``, which goes on itself.
        """
        if self._is_reading:
            return
        if self.is_read_paused and not connection.is_closing:
            self.read_commands(connection)
        elif not connection.pending_replies:
            self._services.idle_connections.mark_idle(connection)
        connection.close_if_done()

    def _continue_reading(self, connection: CommandConnection) -> None:
        self.is_read_scheduled = False
        if connection.transport:
            self.read_commands(connection)

    def _is_at_limit(self, connection: CommandConnection) -> bool:
        """Whether no more commands may be in hand now."""
        return (
            connection.is_write_blocked
            or connection.is_streaming()  # which may break off, and the connection with it
            or self._services.is_suspended
            or len(connection.pending_replies) >= MAX_PIPELINED_COMMANDS
            or connection.buffers.in_hand_bytes > MAX_IN_HAND_BYTES
        )

    def update_read_pause(self, connection: CommandConnection) -> None:
        """Read from the socket, or stop to, by whether more commands may be taken."""
        transport = connection.transport
        if transport is None or transport.is_closing():
            return
        must_pause = connection.is_closing or self.is_read_scheduled or self._is_at_limit(connection)
        if must_pause == self.is_read_paused:
            return
        self.is_read_paused = must_pause
        if must_pause:
            self.waiting_since_s = min(self.waiting_since_s, time.monotonic())
            self._resumed_s = inf
            transport.pause_reading()
        else:
            self._resumed_s = time.monotonic()
            transport.resume_reading()

    def _dispatch(self, connection: CommandConnection, command: list[bytes], size_bytes: int) -> None:
        name = command[0].upper()
        if name in (CALL_GET, CALL_POST):
            self._submit_request(connection, command, size_bytes)
            return
        connection.buffers.count(-size_bytes, in_hand=False)
        if name == PING:
            connection.reply_now(self._services.ping_reply())
        else:
            self._reply_error(connection, "unknown command")

    def _submit_request(self, connection: CommandConnection, command: list[bytes], size_bytes: int) -> None:
        driver = self._services.driver
        try:
            request, encode = self._services.request_parser.parse(command, self._waited_ms())
            if request.request_id in driver.active_requests:
                raise CommandError("a request of this id is in hand")
        except CommandError as error:
            connection.buffers.count(-size_bytes, in_hand=False)
            self._reply_error(connection, str(error))
            return
        self._consecutive_errors = 0
        self.request_count += 1
        if connection.buffers.budget.is_exceeded():
            connection.buffers.count(-size_bytes, in_hand=False)
            connection.reply_now(b"-BUSY\r\n")
            return
        connection.buffers.in_hand_bytes += size_bytes
        reply = PendingReply(connection, None, request.request_id, size_bytes)
        connection.pending_replies.append(reply)
        driver.submit(
            ActiveRequest(
                request.request_id, encode, reply.set_reply, reply.start_streaming, connection.wants_reply
            ),
            request,
            request.timeout_ms,
        )

    def _waited_ms(self) -> float:
        """For how long the command at hand has waited to be read."""
        waited_s = time.monotonic() - self.last_arrival_s
        if waited_s > NEGLIGIBLE_S:
            self._services.driver.telemetry.metrics.count(Metric.LATE_COMMANDS, "waited to be read")
        return waited_s * MS_PER_S

    def _reply_error(self, connection: CommandConnection, reason: str) -> None:
        """Answer a bad command; after many in a row the connection ends."""
        self._consecutive_errors += 1
        connection.is_closing = connection.is_closing or self._consecutive_errors >= MAX_CONSECUTIVE_ERRORS
        connection.must_linger = connection.is_closing
        connection.reply_now(_error_line(reason))

    def reject_input(self, connection: CommandConnection, reason: str) -> None:
        """Answer what can't be read, and close the connection after the replies before it."""
        log.info("client connection rejected reason=%s", reason)
        connection.is_closing = True
        connection.must_linger = True
        connection.buffers.count(-len(self.reader.buffer), in_hand=False)
        self.reader = CommandReader()
        self._services.idle_connections.update(connection, within_command=True, took_command=False)
        connection.reply_now(_error_line(reason))
        self.update_read_pause(connection)

    def has_partial_command(self) -> bool:
        """Whether bytes have come that were not taken as a command."""
        return bool(self.reader.buffer)

    def is_receiving_body(self) -> bool:
        """Whether all of a command has come but a body, and that is still arriving."""
        silent_s = self._services.loop.time() - self.last_received_s
        return self.reader.is_within_body() and silent_s < BODY_GAP_TIMEOUT_S


def _error_line(reason: str) -> bytes:
    return f"-ERR {reason}\r\n".encode("ascii", "replace")
