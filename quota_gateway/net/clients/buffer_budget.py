"""How many bytes clients' commands and replies take, by connection and in sum."""

from __future__ import annotations

READ_AHEAD_SHARE = 0.5  # of the budget: large values beyond it are read only as their clients take them


class BufferBudget:
    """The bytes that all connections of a listener hold, and how many they may."""

    __slots__ = ("buffered_bytes", "max_buffered_bytes")

    def __init__(self, max_buffered_bytes: int) -> None:
        self.buffered_bytes = 0
        self.max_buffered_bytes = max_buffered_bytes

    def is_exceeded(self) -> bool:
        """Whether more is held than may be."""
        return self.buffered_bytes > self.max_buffered_bytes

    def read_ahead_bytes(self) -> int:
        """How far one large value may be ahead of its client: less as less of the budget is left."""
        return max(0, int(self.max_buffered_bytes * READ_AHEAD_SHARE) - self.buffered_bytes)


class BufferUsage:
    """The bytes that one connection holds; they count in the budget of all.

    ``in_hand_bytes`` is the part of ``buffered_bytes`` in commands that were taken and in replies that are
    not written.
    """

    __slots__ = ("_is_released", "budget", "buffered_bytes", "in_hand_bytes")

    def __init__(self, budget: BufferBudget) -> None:
        self.budget = budget
        self.buffered_bytes = 0
        self.in_hand_bytes = 0
        self._is_released = False

    def count(self, size_bytes: int, in_hand: bool = True) -> None:
        """Count bytes that are held, or are not any more.

        Args:
            size_bytes: How many more, or fewer where it is negative.
            in_hand: Whether they belong to a command that was taken, or to its reply.
        """
        if self._is_released:
            return  # a value that breaks off after its client
        self.buffered_bytes += size_bytes
        self.budget.buffered_bytes += size_bytes
        if in_hand:
            self.in_hand_bytes += size_bytes

    def release_all(self) -> None:
        """Count nothing more in the budget, at the connection's end."""
        self.budget.buffered_bytes -= self.buffered_bytes
        self._is_released = True
