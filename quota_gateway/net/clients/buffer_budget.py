"""How many bytes clients' commands and replies take, by connection and in sum."""

from __future__ import annotations

READ_AHEAD_SHARE = 0.5  # of the budget; beyond it large values are read only as fast as their clients read


class BufferBudget:
    """The bytes that are buffered for all connections of a listener, and their limit."""

    __slots__ = ("buffered_bytes", "max_buffered_bytes")

    def __init__(self, max_buffered_bytes: int) -> None:
        self.buffered_bytes = 0
        self.max_buffered_bytes = max_buffered_bytes

    def is_exceeded(self) -> bool:
        """Whether more bytes are buffered than the limit."""
        return self.buffered_bytes > self.max_buffered_bytes

    def read_ahead_bytes(self) -> int:
        """Return how many bytes of one large value may be buffered now; fewer as the budget fills up."""
        return max(0, int(self.max_buffered_bytes * READ_AHEAD_SHARE) - self.buffered_bytes)


class BufferUsage:
    """The bytes that are buffered for one connection; they count in the budget of all.

    Attributes:
        budget: The budget of all connections.
        buffered_bytes: All bytes that are buffered for this one.
        pending_bytes: Those of commands that were taken and of replies that are not written yet.
    """

    __slots__ = ("_is_released", "budget", "buffered_bytes", "pending_bytes")

    def __init__(self, budget: BufferBudget) -> None:
        self.budget = budget
        self.buffered_bytes = 0
        self.pending_bytes = 0
        self._is_released = False

    def count(self, size_bytes: int, is_pending: bool = True) -> None:
        """Count bytes that are buffered, or are not any more.

        Args:
            size_bytes: How many more, or fewer where it is negative.
            is_pending: Whether they belong to a command that was taken, or to its reply.
        """
        if self._is_released:
            return  # a large value may break off after its connection has ended
        self.buffered_bytes += size_bytes
        self.budget.buffered_bytes += size_bytes
        if is_pending:
            self.pending_bytes += size_bytes

    def release_all(self) -> None:
        """Take all bytes of this connection off the budget, at its end."""
        self.budget.buffered_bytes -= self.buffered_bytes
        self._is_released = True
