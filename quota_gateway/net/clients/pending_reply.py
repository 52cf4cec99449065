"""The reply to one command: a short reply, or a large value in pieces."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from quota_gateway.net.client_replies import FAILED_REPLY, encode_value_header
from quota_gateway.net.clients.connection_state import CloseReason
from quota_gateway.net.upstream.attempt import Attempt

if TYPE_CHECKING:
    from quota_gateway.net.clients.protocols import ReplyConnection


class PendingReply:
    """The reply to one command, from the command's arrival until it is written.

    A short reply is set at once with ``set_reply``. A large value comes in pieces: ``start_streaming`` is
    called first, ``take`` for each piece, and ``end`` last. See docs/decisions/client-large-values.md.

    Attributes:
        reply: The encoded reply; None until it is known, and empty for a value that comes in pieces.
        buffered_bytes: The number of buffered bytes, first of the command and later of the reply.
        attempt: The attempt that delivers a large value, until the value ends; else None.
        pieces: The received pieces of a large value that are not written yet; None for a short reply.
        has_started_writing: Whether a part of a large value has been written.
        may_gather: Whether a large value may be held back until it is complete.
    """

    __slots__ = (
        "attempt",
        "buffered_bytes",
        "connection",
        "has_started_writing",
        "may_gather",
        "pieces",
        "reply",
        "request_id",
    )

    def __init__(
        self,
        connection: ReplyConnection,
        reply: bytes | None = None,
        request_id: str = "",
        buffered_bytes: int = 0,
    ) -> None:
        self.connection = connection
        self.reply = reply
        self.request_id = request_id
        self.buffered_bytes = buffered_bytes
        self.attempt: Attempt | None = None
        self.pieces: deque[bytes] | None = None
        self.has_started_writing = False
        self.may_gather = True

    def set_reply(self, reply: bytes) -> None:
        """Set the one reply to the command; it may replace a large value of which nothing is written."""
        self.reply = reply
        self.pieces = None
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
        self.pieces = deque()
        self.reply = b""
        self.connection.buffers.count(-self.buffered_bytes)
        self.buffered_bytes = 0
        self.take(encode_value_header(length_bytes))
        return self

    def take(self, piece: bytes) -> None:
        """Buffer the next bytes of a large value, and pause its attempt if too much is buffered."""
        assert self.pieces is not None
        self.pieces.append(piece)
        self.connection.buffers.count(len(piece))
        self.buffered_bytes += len(piece)
        if self.exceeds_read_ahead() and self.attempt:
            self.attempt.pause(True)
        self.connection.flush()

    def exceeds_read_ahead(self) -> bool:
        """Whether more of a large value is buffered than may be read ahead of the client."""
        return self.buffered_bytes > self.connection.buffers.budget.read_ahead_bytes()

    def is_streaming(self) -> bool:
        """Whether a large value is partly written and not yet complete."""
        return self.has_started_writing and self.attempt is not None

    def on_deadline(self) -> bool:
        """Handle the end of the client's timeout; return whether the value fails now.

        The value fails if nothing of it is written although all replies before it are written.
        """
        self.may_gather = False
        return not self.has_started_writing and self.connection.replies.is_first(self)

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
            self.set_reply(FAILED_REPLY)
