"""Typing protocols between the parts of a client connection, for type checkers only.

Other modules import this one under ``TYPE_CHECKING``: protocol classes are slow to create, and none is needed
at run time.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Iterable, Sized
from typing import Protocol

from quota_gateway.model import Request
from quota_gateway.net.active_request import ActiveRequest, ClientPresence
from quota_gateway.net.buffer_budget import BufferBudget, BufferUsage
from quota_gateway.net.clients.arrival import StallDetector
from quota_gateway.net.clients.command_turns import CommandTurns
from quota_gateway.net.clients.commands import RequestParser
from quota_gateway.net.clients.connection import ClientConnection
from quota_gateway.net.clients.connection_state import CloseReason
from quota_gateway.net.clients.idle_connections import IdleConnections
from quota_gateway.net.clients.pending_reply import PendingReply
from quota_gateway.net.clients.value_reservations import ValueReservations
from quota_gateway.net.upstream.attempt import Attempt
from quota_gateway.telemetry import Telemetry


class RequestHandler(Protocol):
    """Accepts the requests of clients and answers each of them once."""

    @property
    def telemetry(self) -> Telemetry:
        """The counters, trace and invariants of the process."""

    def submit(self, active: ActiveRequest, request: Request, timeout_ms: float) -> None:
        """Start a request, which is answered through the callbacks of ``active``."""

    def is_active(self, request_id: str) -> bool:
        """Whether a request with this id is in progress."""

    def client_disconnected(self, request_id: str) -> None:
        """Drop a request whose client has closed its connection."""

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Stop an attempt whose large value is not wanted any more, through no fault of its server."""

    def time_out_attempt(self, attempt: Attempt) -> None:
        """Stop an attempt whose large value is not complete after its deadline."""


class CommandProgress(Protocol):
    """What a connection has received so far; ``last_received_s`` is a time of the event loop's clock."""

    has_sent_command: bool
    last_received_s: float
    request_count: int
    is_read_paused: bool

    @property
    def partial_command_bytes(self) -> int:
        """The number of buffered bytes that have not been taken as a command yet."""

    def has_partial_command(self) -> bool:
        """Whether received bytes have not been taken as a command yet."""

    def is_receiving_body(self) -> bool:
        """Whether only the rest of a command's body is missing and bytes of it keep arriving."""


class TrackedConnection(Protocol):
    """What ``IdleConnections`` needs from a connection."""

    @property
    def is_closing(self) -> bool:
        """Whether no more commands are taken."""

    @property
    def intake(self) -> CommandProgress:
        """What the connection has received so far."""

    @property
    def pending_replies(self) -> Sized:
        """The replies that are not written yet."""

    def time_out(self) -> None:
        """End the connection after its command read timeout."""

    def shed_command(self) -> None:
        """Reject a command that has stalled, as its memory is needed."""

    def evict(self) -> bool:
        """Close the connection unless a reply is pending or a command is unread; return whether it closed."""


class ReplyOrder(Protocol):
    """The replies of one connection, in the order of their commands."""

    def is_first(self, reply: PendingReply) -> bool:
        """Whether all replies before this one have been written."""


class ReplyConnection(Protocol):
    """What a pending reply needs from its connection."""

    @property
    def buffers(self) -> BufferUsage:
        """The bytes that are buffered for the connection."""

    @property
    def replies(self) -> ReplyOrder:
        """The replies of the connection."""

    @property
    def reservations(self) -> ValueReservations:
        """The memory reserved for large values, over all connections."""

    def flush(self) -> None:
        """Write the replies that are due."""

    def linger(self, reason: CloseReason) -> None:
        """Write no more, and close once the client has received the replies that were written."""


class CommandBuffer(Protocol):
    """What the reply writer needs from the command intake of its connection."""

    def has_partial_command(self) -> bool:
        """Whether received bytes have not been taken as a command yet."""


class IntakeServices(Protocol):
    """What the listener provides to the command intake of each connection."""

    driver: RequestHandler
    request_parser: RequestParser
    idle_connections: IdleConnections
    loop: asyncio.AbstractEventLoop
    stall_detector: StallDetector
    command_turns: CommandTurns

    @property
    def is_suspended(self) -> bool:
        """Whether reading is suspended because another process takes over."""

    def ping_reply(self) -> bytes:
        """Return the reply to PING."""


class IntakeReplies(ReplyOrder, Protocol):
    """What the command intake needs from the replies of its connection."""

    pending: deque[PendingReply]
    is_blocked: bool

    def add(self, reply: PendingReply) -> None:
        """Queue the reply to the next command."""

    def is_streaming(self) -> bool:
        """Whether a large value is partly written and not yet complete."""


class TurnTaker(CommandProgress, Protocol):
    """What ``CommandTurns`` needs from the command intake of a connection."""

    def take_turn(self, connection: CommandConnection) -> int:
        """Read on after other connections had their turn; return the number of commands that were taken."""


class IntakeLifecycle(Protocol):
    """What the command intake needs from the lifecycle of its connection."""

    def reject(self) -> None:
        """Take no more commands after malformed or missing input."""


class CommandConnection(ReplyConnection, TrackedConnection, Protocol):
    """What the command intake needs from its connection."""

    socket: socket.socket

    @property
    def transport(self) -> asyncio.Transport | None:
        """The transport; None before the event loop's first call and after it has closed the socket."""

    @property
    def replies(self) -> IntakeReplies:
        """The replies of the connection."""

    @property
    def lifecycle(self) -> IntakeLifecycle:
        """The lifecycle of the connection, which closes it."""

    @property
    def intake(self) -> TurnTaker:
        """Reads the commands of the connection."""

    def reply_now(self, reply: bytes) -> None:
        """Queue the reply to a command that needs no upstream server, and write the replies that are due."""

    def presence(self) -> ClientPresence:
        """Return whether the client is still connected."""

    def close_if_done(self) -> None:
        """Close the connection if it is to end and no reply is pending."""


class ConnectionOwner(IntakeServices, Protocol):
    """What a connection needs from the listener that accepted it."""

    budget: BufferBudget
    read_buffer: memoryview
    is_stopping: bool
    reservations: ValueReservations

    def connection_opened(self, connection: ClientConnection, command_due_for_s: float) -> None:
        """Add a connection that the event loop has started to serve."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """Remove a closed connection, and free its capacity."""


class SweptListener(Protocol):
    """What the sweeper needs from the listener."""

    reservations: ValueReservations
    idle_connections: IdleConnections
    is_stopping: bool
    stall_detector: StallDetector

    @property
    def connections(self) -> Iterable[ClientConnection]:
        """The connections that the event loop serves."""
