"""A reply that a client is owed: its place in the order of the connection's commands."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from quota_gateway.net.clients.buffer_budget import BufferUsage
from quota_gateway.net.upstream.attempt import Attempt


class ReplyChannel(Protocol):
    """What a pending reply needs of its connection."""

    @property
    def buffers(self) -> BufferUsage:
        """The bytes that the connection holds."""

    def flush(self) -> None:
        """Write the replies that are due."""

    def is_next(self, reply: PendingReply) -> bool:
        """Whether all replies before this one have been written."""

    def close_truncated(self) -> None:
        """Close within a value that can't be completed."""


class PendingReply:
    """The place of one command's reply in the order of its connection.

    A short reply comes whole, by ``set_reply``. A large value comes in pieces: ``start_streaming``, then
    ``take`` for each piece, then ``end``. See docs/decisions/client-large-values.md.
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
        connection: ReplyChannel,
        reply: bytes | None = None,
        request_id: str = "",
        buffered_bytes: int = 0,
    ) -> None:
        self.connection = connection
        self.reply = reply  # None until it is known; empty for a value that comes in pieces
        self.request_id = request_id
        self.buffered_bytes = buffered_bytes  # of the command, later of the reply
        self.attempt: Attempt | None = None  # that a large value comes from, until all of it has come
        self.pieces: deque[bytes] | None = None  # of a large value, not written yet
        self.has_started_writing = False
        self.may_gather = True  # whether a large value may be held back until all of it has come

    def set_reply(self, reply: bytes) -> None:
        """Give the command's one reply, also in place of a value of which nothing was written."""
        self.reply = reply
        self.pieces = None
        self.connection.buffers.count(len(reply) - self.buffered_bytes)
        self.buffered_bytes = len(reply)
        self.connection.flush()

    def start_streaming(self, length: int, attempt: Attempt) -> PendingReply:
        """Begin a large value, whose pieces are written as they come.

        Args:
            length: The value's bytes.
            attempt: Where it comes from; it is paused while the client is too far behind.

        Returns:
            This reply, which takes the pieces.
        """
        self.attempt = attempt
        self.pieces = deque()
        self.reply = b""
        self.connection.buffers.count(-self.buffered_bytes)
        self.buffered_bytes = 0
        self.take(b"$%d\r\n" % length)
        return self

    def take(self, piece: bytes) -> None:
        """Take the next bytes of a large value; they are read ahead of the client while there is memory."""
        assert self.pieces is not None
        self.pieces.append(piece)
        self.connection.buffers.count(len(piece))
        self.buffered_bytes += len(piece)
        if self.is_far_ahead() and self.attempt:
            self.attempt.pause(True)
        self.connection.flush()

    def is_far_ahead(self) -> bool:
        """Whether more of a large value is held than its client may be behind."""
        return self.buffered_bytes > self.connection.buffers.budget.read_ahead_bytes()

    def is_streaming(self) -> bool:
        """Whether a part of a large value has been written, and more of it is still to come."""
        return self.has_started_writing and self.attempt is not None

    def on_deadline(self) -> bool:
        """The client's time is over: whether the value fails now, as nothing of it is written in its turn."""
        self.may_gather = False
        return not self.has_started_writing and self.connection.is_next(self)

    def end(self, is_complete: bool) -> None:
        """End a large value.

        Its last two bytes are written only now, so that a client can tell a value that broke off.

        Args:
            is_complete: Whether all of it has come, in good order.
        """
        self.attempt = None
        if is_complete:
            self.take(b"\r\n")
        elif self.has_started_writing:
            self.connection.close_truncated()
        else:
            self.set_reply(b"-ERR failed\r\n")
