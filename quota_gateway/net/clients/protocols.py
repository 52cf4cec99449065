"""What the parts of a client connection need of each other, for type checkers only.

Other modules import this one under ``TYPE_CHECKING``: protocols are slow to create, and none is needed at
run time.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Iterable, Sized
from typing import Protocol

from quota_gateway.model import Request
from quota_gateway.net.active_request import ActiveRequest
from quota_gateway.net.clients.arrival import StallDetector
from quota_gateway.net.clients.buffer_budget import BufferBudget, BufferUsage
from quota_gateway.net.clients.commands import RequestParser
from quota_gateway.net.clients.connection import ClientConnection
from quota_gateway.net.clients.connection_state import CloseReason
from quota_gateway.net.clients.idle_connections import IdleConnections
from quota_gateway.net.clients.pending_reply import PendingReply
from quota_gateway.net.upstream.attempt import Attempt
from quota_gateway.telemetry import Telemetry


class RequestHandler(Protocol):
    """Takes the requests of clients and answers each once."""

    @property
    def telemetry(self) -> Telemetry:
        """Counters, trace and invariants of the process."""

    def submit(self, active: ActiveRequest, request: Request, timeout_ms: float) -> None:
        """Start on a request, which is answered through the callbacks of ``active``."""

    def is_active(self, request_id: str) -> bool:
        """Whether a request of this id is in progress."""

    def client_disconnected(self, request_id: str) -> None:
        """Drop a request whose client has closed its connection."""

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Stop an attempt whose value nobody reads any more."""


class CommandProgress(Protocol):
    """What has come on a connection so far; ``last_received_s`` is by the event loop's clock."""

    has_sent_command: bool
    last_received_s: float
    request_count: int

    def has_partial_command(self) -> bool:
        """Whether bytes have come that were not taken as a command."""

    def is_receiving_body(self) -> bool:
        """Whether only the rest of a command's body is missing, and that is still coming."""


class TrackedConnection(Protocol):
    """What the tracking needs of a connection."""

    @property
    def is_closing(self) -> bool:
        """Whether no more commands are taken."""

    @property
    def intake(self) -> CommandProgress:
        """What has come on the connection."""

    @property
    def pending_replies(self) -> Sized:
        """The replies that are not written yet."""

    def time_out(self) -> None:
        """End the connection after its command read timeout."""

    def evict(self) -> bool:
        """Close the connection unless a reply is pending or a command unread; whether it was closed."""


class ReplyOrder(Protocol):
    """The replies of one connection."""

    def is_first(self, reply: PendingReply) -> bool:
        """Whether all replies before this one have been written."""


class ReplyLifecycle(Protocol):
    """The end of a connection."""

    def close(self, reason: CloseReason) -> None:
        """Close the connection; what was written still goes out."""


class ReplyConnection(Protocol):
    """What a pending reply needs of its connection."""

    @property
    def buffers(self) -> BufferUsage:
        """The bytes that are buffered for the connection."""

    @property
    def replies(self) -> ReplyOrder:
        """The replies of the connection."""

    @property
    def lifecycle(self) -> ReplyLifecycle:
        """The end of the connection."""

    def flush(self) -> None:
        """Write the replies that are due."""


class CommandBuffer(Protocol):
    """What the writer needs of the connection's command intake."""

    def has_partial_command(self) -> bool:
        """Whether bytes have come that were not taken as a command."""


class IntakeServices(Protocol):
    """What the listener gives to the intake of each connection."""

    driver: RequestHandler
    request_parser: RequestParser
    idle_connections: IdleConnections
    loop: asyncio.AbstractEventLoop
    stalls: StallDetector

    @property
    def is_suspended(self) -> bool:
        """Whether another process takes over, so that nothing is read here."""

    def ping_reply(self) -> bytes:
        """Return the reply to PING."""


class IntakeReplies(ReplyOrder, Protocol):
    """What the intake needs of the replies of its connection."""

    pending: deque[PendingReply]
    is_blocked: bool

    def add(self, reply: PendingReply) -> None:
        """Add the reply to the next command."""

    def is_streaming(self) -> bool:
        """Whether a large value is partly written and not yet complete."""


class IntakeLifecycle(ReplyLifecycle, Protocol):
    """What the intake needs of the lifecycle of its connection."""

    def reject(self) -> None:
        """Take no more commands, and linger before the close."""


class CommandConnection(ReplyConnection, TrackedConnection, Protocol):
    """What the intake needs of its connection."""

    socket: socket.socket

    @property
    def transport(self) -> asyncio.Transport | None:
        """The transport, while there is one."""

    @property
    def replies(self) -> IntakeReplies:
        """The replies of the connection."""

    @property
    def lifecycle(self) -> IntakeLifecycle:
        """The end of the connection."""

    def reply_now(self, reply: bytes) -> None:
        """Add the reply to a command that needs no upstream server."""

    def wants_reply(self) -> bool:
        """Whether the client is still connected."""

    def close_if_done(self) -> None:
        """Close between requests if the connection is to end."""


class ConnectionOwner(IntakeServices, Protocol):
    """What a connection needs of the listener that accepted it."""

    budget: BufferBudget
    is_stopping: bool

    def connection_opened(self, connection: ClientConnection, command_due_for_s: float) -> None:
        """Add a connection that the event loop serves now."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """Remove a connection; its descriptor is free."""


class SweptListener(Protocol):
    """What the sweeper needs of the listener."""

    idle_connections: IdleConnections
    stalls: StallDetector

    @property
    def connections(self) -> Iterable[ClientConnection]:
        """The connections that the event loop serves."""
