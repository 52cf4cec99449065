"""Counts the bytes that a process buffers for clients and from servers against one budget."""

from __future__ import annotations

from typing import Protocol

# Share of the budget above which large values are read only as fast as clients read.
READ_AHEAD_SHARE = 0.5
# Share of the budget above which long bodies are no longer received, so that other requests find memory.
LONG_BODY_SHARE = 0.75
# Share of the budget above which short replies of servers are dropped. Their requests may have run, so that
# new commands are rejected first.
REPLY_SHARE = 1.1
# Allowance for the objects of one request in progress, without the command that its client sent.
REQUEST_OVERHEAD_BYTES = 6 * 1024


class BufferedValue(Protocol):
    """A large value that is buffered as a whole before it is written."""

    buffered_bytes: int


class BufferBudget:
    """The bytes that a process buffers, and their limit.

    Each buffered copy counts where it is held: bytes of incomplete commands and unwritten replies at their
    client connection, commands at their requests until no attempt can send them any more, and incomplete
    replies at their upstream connection.

    Attributes:
        buffered_bytes: The bytes that this process buffers.
        peer_buffered_bytes: The bytes that the peer process of this gateway buffers, as it last reported.
        max_buffered_bytes: The limit on them, without those of reserved values.
        reserved_values: The values with memory of their own, see ``ValueReservations``.
    """

    __slots__ = ("buffered_bytes", "max_buffered_bytes", "peer_buffered_bytes", "reserved_values")

    def __init__(self, max_buffered_bytes: int) -> None:
        self.buffered_bytes = 0
        self.peer_buffered_bytes = 0
        self.max_buffered_bytes = max_buffered_bytes
        self.reserved_values: set[BufferedValue] = set()

    def _counted_bytes(self) -> int:
        reserved_bytes = sum(value.buffered_bytes for value in self.reserved_values)
        return self.buffered_bytes + self.peer_buffered_bytes - reserved_bytes

    def is_exceeded(self) -> bool:
        """Whether more bytes are buffered than the limit allows, so that new commands are rejected."""
        return self._counted_bytes() > self.max_buffered_bytes

    def is_short(self) -> bool:
        """Whether so many bytes are buffered that long or stalled commands are not received any more."""
        return self._counted_bytes() > self.max_buffered_bytes * LONG_BODY_SHARE

    def free_bytes(self) -> int:
        """Return how many bytes may be buffered until long commands are not received any more."""
        return max(0, int(self.max_buffered_bytes * LONG_BODY_SHARE) - self._counted_bytes())

    def can_buffer_reply(self) -> bool:
        """Whether the bytes of a server's incomplete reply may be buffered."""
        return self._counted_bytes() <= self.max_buffered_bytes * REPLY_SHARE

    def read_ahead_bytes(self) -> int:
        """Return how many bytes of one large value may be buffered now; fewer as the budget fills up."""
        return max(0, int(self.max_buffered_bytes * READ_AHEAD_SHARE) - self._counted_bytes())


class BufferLease:
    """A fixed number of bytes in the budget, from its creation until it is released."""

    __slots__ = ("_budget", "_size_bytes")

    def __init__(self, budget: BufferBudget, size_bytes: int) -> None:
        self._budget = budget
        self._size_bytes = size_bytes
        budget.buffered_bytes += size_bytes

    def release(self) -> None:
        """Return the bytes to the budget; further calls do nothing."""
        self._budget.buffered_bytes -= self._size_bytes
        self._size_bytes = 0


class BufferUsage:
    """The bytes that are buffered for one client connection; they also count in the budget.

    Attributes:
        budget: The budget of the process.
        buffered_bytes: The bytes of incomplete commands and of unwritten replies of this connection.
        pending_bytes: The bytes of commands without a reply and of unwritten replies.
    """

    __slots__ = ("_is_released", "budget", "buffered_bytes", "pending_bytes")

    def __init__(self, budget: BufferBudget) -> None:
        self.budget = budget
        self.buffered_bytes = 0
        self.pending_bytes = 0
        self._is_released = False

    def count(self, size_bytes: int, is_pending: bool = True) -> None:
        """Count bytes that are newly buffered or no longer buffered.

        Args:
            size_bytes: The number of newly buffered bytes; negative for bytes that are no longer buffered.
            is_pending: Whether the bytes belong to a reply.
        """
        if self._is_released:
            return  # a large value may end after its connection has closed
        self.buffered_bytes += size_bytes
        self.budget.buffered_bytes += size_bytes
        if is_pending:
            self.pending_bytes += size_bytes

    def release_all(self) -> None:
        """Release all bytes of this connection from the budget when it ends."""
        self.budget.buffered_bytes -= self.buffered_bytes
        self._is_released = True
