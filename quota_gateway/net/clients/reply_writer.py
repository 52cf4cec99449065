"""Writes the replies of one client connection in the order of its commands."""

from __future__ import annotations

import asyncio
from collections import deque
from itertools import islice
from typing import TYPE_CHECKING

from quota_gateway.net.buffer_budget import BufferUsage
from quota_gateway.net.clients.pending_reply import PendingReply

if TYPE_CHECKING:
    from quota_gateway.net.clients.protocols import CommandBuffer


class ReplyWriter:
    """Holds the pending replies of one connection, and writes those that are known while the client reads.

    The transport is passed to each call: an attribute would form a reference cycle, whose memory is freed
    only when the garbage collector runs.

    Attributes:
        pending: The replies that are not written yet, in the order of their commands.
        is_blocked: Whether the transport's buffer is full because the client does not read.
    """

    __slots__ = ("_buffers", "_unsent_bytes", "is_blocked", "pending")

    def __init__(self, buffers: BufferUsage) -> None:
        self.pending: deque[PendingReply] = deque()
        self.is_blocked = False
        self._buffers = buffers
        self._unsent_bytes = 0  # size of the transport's buffer when it filled up

    def add(self, reply: PendingReply) -> None:
        """Queue the reply to the next command."""
        self.pending.append(reply)

    def take_all(self) -> deque[PendingReply]:
        """Remove and return all pending replies when the connection ends."""
        replies, self.pending = self.pending, deque()
        return replies

    def block(self, unsent_bytes: int) -> None:
        """Stop writing, and count the bytes that the client has not read yet as buffered."""
        self.is_blocked = True
        self._unsent_bytes = unsent_bytes
        self._buffers.count(unsent_bytes)

    def unblock(self) -> None:
        """Write again after the client has read its replies."""
        self.is_blocked = False
        self._buffers.count(-self._unsent_bytes)
        self._unsent_bytes = 0

    def has_unanswered(self) -> bool:
        """Whether a request that was read has no answer yet."""
        return any(reply.reply is None for reply in self.pending)

    def has_requests_behind_first(self) -> bool:
        """Whether requests wait, answered or not, for the first reply to be written."""
        return any(reply.request_id for reply in islice(self.pending, 1, None))

    def is_first(self, reply: PendingReply) -> bool:
        """Whether all replies before this one have been written."""
        return bool(self.pending) and self.pending[0] is reply

    def is_streaming(self) -> bool:
        """Whether a large value is partly written and not yet complete."""
        return bool(self.pending) and self.pending[0].is_streaming()

    def write_due(self, transport: asyncio.Transport, commands: CommandBuffer) -> bool:
        """Write replies in the order of their commands, up to the first that is not known yet.

        Returns:
            Whether anything was written.
        """
        has_written = False
        while self.pending and not self.is_blocked:
            reply = self.pending[0]
            if reply.reply is None:
                break
            if reply.pieces is None:
                self.pending.popleft()
                self._buffers.count(-reply.buffered_bytes)
                transport.write(reply.reply)
                has_written = True
                continue
            if reply.is_unwritten_value() and self._has_others_behind(commands):
                break  # held back until it is complete: if it is truncated, nobody behind it gets an answer
            has_written |= bool(reply.pieces)
            self._write_pieces(transport, reply, reply.pieces)
            if reply.pieces or reply.attempt:
                break
            self.pending.popleft()
            reply.connection.reservations.release(reply)
        return has_written

    def held_back_value(self, commands: CommandBuffer) -> PendingReply | None:
        """Return the large value that is held back although it is its turn; None if there is none."""
        if not self.pending or self.is_blocked:
            return None
        reply = self.pending[0]
        return reply if reply.is_unwritten_value() and self._has_others_behind(commands) else None

    def _has_others_behind(self, commands: CommandBuffer) -> bool:
        """Whether commands have been read whose replies come after the first one."""
        return len(self.pending) > 1 or commands.has_partial_command()

    def _write_pieces(
        self,
        transport: asyncio.Transport,
        reply: PendingReply,
        pieces: deque[bytes],
    ) -> None:
        """Write pieces of a large value while the client reads, then resume its attempt if buffers allow."""
        while pieces and not self.is_blocked:
            reply.on_writing_started()
            piece = pieces.popleft()
            self._buffers.count(-len(piece))
            reply.buffered_bytes -= len(piece)
            transport.write(piece)
        reply.update_reading()
