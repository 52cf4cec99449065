"""Counts the buffered bytes of clients' commands and replies, per connection and in total."""

from __future__ import annotations

from typing import Protocol

# Share of the buffer budget above which large values are read only as fast as clients read.
READ_AHEAD_SHARE = 0.5


class BufferedValue(Protocol):
    """A large value that is buffered as a whole before it is written."""

    buffered_bytes: int


class BufferBudget:
    """The bytes that are buffered for all connections of a listener, and their limit.

    Attributes:
        buffered_bytes: The bytes that are buffered for all connections.
        max_buffered_bytes: The limit on them, without those of reserved values.
        reserved_values: The values with memory of their own, see ``ValueReservations``.
    """

    __slots__ = ("buffered_bytes", "max_buffered_bytes", "reserved_values")

    def __init__(self, max_buffered_bytes: int) -> None:
        self.buffered_bytes = 0
        self.max_buffered_bytes = max_buffered_bytes
        self.reserved_values: set[BufferedValue] = set()

    def _counted_bytes(self) -> int:
        return self.buffered_bytes - sum(value.buffered_bytes for value in self.reserved_values)

    def is_exceeded(self) -> bool:
        """Whether more bytes are buffered than the limit allows."""
        return self._counted_bytes() > self.max_buffered_bytes

    def read_ahead_bytes(self) -> int:
        """Return how many bytes of one large value may be buffered now; fewer as the budget fills up."""
        return max(0, int(self.max_buffered_bytes * READ_AHEAD_SHARE) - self._counted_bytes())


class BufferUsage:
    """The bytes that are buffered for one connection; they also count in the budget of all connections.

    Attributes:
        budget: The budget of all connections.
        buffered_bytes: All bytes that are buffered for this connection.
        pending_bytes: The bytes of taken commands and of replies that are not written yet.
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
            is_pending: Whether the bytes belong to a taken command or to its reply.
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
