"""The reply to one command: a short reply, or a large value in pieces."""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import TYPE_CHECKING

from quota_gateway.net.client_replies import FAILED_REPLY, encode_value_header
from quota_gateway.net.clients.connection_state import CloseReason
from quota_gateway.net.upstream.attempt import Attempt

if TYPE_CHECKING:
    from quota_gateway.net.clients.protocols import ReplyConnection


class HeldBackFailure(Enum):
    """Why a large value failed before any of it was written; the values are the labels of the metric."""

    OVERDUE = "overdue"
    TOO_LARGE = "too_large"
    SHUTDOWN = "shutdown"


class PendingReply:
    """The reply to one command, from the command's arrival until it is written.

    A short reply is set at once with ``set_reply``. A large value comes in pieces: ``start_streaming`` is
    called first, ``take`` for each piece, and ``end`` last. See docs/decisions/client-large-values.md.

    Attributes:
        reply: The encoded reply; None until it is known, and empty for a value that comes in pieces.
        buffered_bytes: The number of buffered bytes of the reply.
        attempt: The attempt that delivers a large value, until the value ends; else None.
        pieces: The received pieces of a large value that are not written yet; None for a short reply.
        length_bytes: The length of a large value; 0 for a short reply.
        has_started_writing: Whether a part of a large value has been written.
        is_overdue: Whether a large value was not complete a grace period after the client's timeout.
    """

    __slots__ = (
        "_command_bytes",
        "attempt",
        "buffered_bytes",
        "connection",
        "has_started_writing",
        "is_overdue",
        "length_bytes",
        "pieces",
        "reply",
        "request_id",
    )

    def __init__(
        self,
        connection: ReplyConnection,
        reply: bytes | None = None,
        request_id: str = "",
        command_bytes: int = 0,
    ) -> None:
        self.connection = connection
        self.reply = reply
        self.request_id = request_id
        self.buffered_bytes = len(reply) if reply else 0
        self._command_bytes = command_bytes  # the command's part of the connection's pending bytes
        connection.buffers.count(self.buffered_bytes)
        connection.buffers.pending_bytes += command_bytes
        self.attempt: Attempt | None = None
        self.pieces: deque[bytes] | None = None
        self.length_bytes = 0
        self.has_started_writing = False
        self.is_overdue = False

    def set_reply(self, reply: bytes) -> None:
        """Set the one reply to the command; it may replace a large value of which nothing is written."""
        self.reply = reply
        self.pieces = None
        self._release_command()
        self.connection.buffers.count(len(reply) - self.buffered_bytes)
        self.buffered_bytes = len(reply)
        self.connection.flush()

    def start_streaming(self, length_bytes: int, attempt: Attempt) -> PendingReply:
        """Start a large value, whose pieces are written as they arrive.

        Args:
            length_bytes: The length of the value.
            attempt: The attempt that delivers the value; it is paused while too much is buffered.

        Returns:
            This pending reply, which takes the pieces.
        """
        self.attempt = attempt
        self.length_bytes = length_bytes
        self.pieces = deque()
        self.reply = b""
        self._release_command()
        self._buffer(encode_value_header(length_bytes))
        return self

    def _release_command(self) -> None:
        self.connection.buffers.pending_bytes -= self._command_bytes
        self._command_bytes = 0

    def take(self, piece: bytes) -> None:
        """Take the next bytes of a large value, and pause its attempt if too much is buffered.

        The first piece may be empty: the header of the value is written then.
        """
        if piece:
            self._buffer(piece)
        self.connection.flush()
        self.update_reading()

    def _buffer(self, piece: bytes) -> None:
        assert self.pieces is not None
        self.pieces.append(piece)
        self.connection.buffers.count(len(piece))
        self.buffered_bytes += len(piece)

    @property
    def missing_bytes(self) -> int:
        """The number of bytes of an unwritten large value that have not arrived yet."""
        return max(0, self.length_bytes - self.buffered_bytes) if self.attempt else 0

    def is_due(self) -> bool:
        """Whether all replies before this one have been written."""
        return self.connection.replies.is_first(self)

    def update_reading(self) -> None:
        """Pause or resume reading a large value, depending on whether more of it may be buffered."""
        if self.attempt:
            self.attempt.pause(not self._may_read_on())

    def _may_read_on(self) -> bool:
        if self.has_started_writing:
            return self.buffered_bytes <= self.connection.buffers.budget.read_ahead_bytes()
        return self.connection.reservations.reserve(self)

    def on_writing_started(self) -> None:
        """Record that a large value begins to be written; if it is not complete, it is now read ahead."""
        if self.has_started_writing:
            return
        self.has_started_writing = True
        if self.attempt:
            self.connection.reservations.release(self)

    def is_streaming(self) -> bool:
        """Whether a large value is partly written and not yet complete."""
        return self.has_started_writing and self.attempt is not None

    def is_unwritten_value(self) -> bool:
        """Whether this is a large value that is not complete, and nothing of it is written."""
        return self.attempt is not None and not self.has_started_writing

    def on_deadline(self) -> bool:
        """Handle the end of the client's timeout; return whether the value fails now.

        The value fails if nothing of it is written although all replies before it are written.
        """
        return not self.has_started_writing and self.is_due()

    def on_grace_over(self) -> bool:
        """Handle the end of the grace period after the timeout; return whether the value fails now.

        A value that still waits for the replies before it fails at its turn, unless it is complete by then or
        no request waits behind it.
        """
        self.is_overdue = True
        return self.on_deadline()

    def held_back_failure(self) -> HeldBackFailure | None:
        """Return why a value that is held back fails now; None if it is still waited for."""
        if self.is_overdue:
            return HeldBackFailure.OVERDUE
        if self.length_bytes > self.connection.reservations.max_value_bytes:
            return HeldBackFailure.TOO_LARGE
        return None

    def end(self, is_complete: bool) -> None:
        """End a large value.

        The last two bytes are written only now, so that a client can recognize a truncated value.

        Args:
            is_complete: Whether the server's whole reply has arrived and is well-formed.
        """
        self.attempt = None
        if is_complete:
            self.take(b"\r\n")
        elif self.has_started_writing:
            self.connection.linger(CloseReason.VALUE_TRUNCATED)
        else:
            self.connection.reservations.release(self)
            self.set_reply(FAILED_REPLY)
