"""Reserves memory for large values that have to be buffered as a whole before any of them is written."""

from __future__ import annotations

from typing import Protocol

from quota_gateway.net.buffer_budget import BufferBudget, BufferedValue

# Limits on all buffered bytes, as shares of the buffer budget, with which a value is granted a reservation. A
# value whose turn it is may exceed the budget by a fifth: it is completed though others have begun to arrive.
DUE_SHARE = 1.2
EARLY_SHARE = 0.5


class UnwrittenValue(BufferedValue, Protocol):
    """A large value of which nothing is written before all of it is buffered."""

    @property
    def missing_bytes(self) -> int:
        """The number of bytes that have not arrived yet."""

    def is_due(self) -> bool:
        """Whether all replies before the value have been written."""

    def update_reading(self) -> None:
        """Pause or resume reading the value, depending on whether it has a reservation."""


class ValueReservations:
    """Lets values be read only if all of their bytes fit into the buffer budget together.

    Values that are all buffered in part would use up the memory, and wait for each other. Values whose turn
    it is come first, each group in the order of its arrival. A reservation lasts until the value is written.

    Args:
        budget: The buffer budget of all connections, which does not count reserved values for new commands.
    """

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self._granted: dict[UnwrittenValue, None] = {}
        self._waiting: dict[UnwrittenValue, None] = {}

    @property
    def max_value_bytes(self) -> int:
        """The length of the longest value for which memory can be reserved."""
        return int(self._budget.max_buffered_bytes * DUE_SHARE)

    def reserve(self, value: UnwrittenValue) -> bool:
        """Reserve memory for a value, now or as soon as there is enough.

        Returns:
            Whether the value may be read on. If not, ``update_reading`` is called when it may.
        """
        if value not in self._granted:
            self._waiting.setdefault(value)
            self.grant()
        return value in self._granted

    def release(self, value: UnwrittenValue) -> None:
        """End the reservation of a value that is written, has failed, or is written before it is complete."""
        self._waiting.pop(value, None)
        if value in self._granted:
            del self._granted[value]
            self._budget.reserved_values.discard(value)
            self.grant()

    def grant(self) -> None:
        """Grant the reservations for which there is memory now, and resume reading their values."""
        due = [value for value in self._waiting if value.is_due()]
        for value in due:
            if not self._grant_one(value, self.max_value_bytes):
                return  # a shorter value must not overtake this one again and again
        early_bytes = int(self._budget.max_buffered_bytes * EARLY_SHARE)
        for value in list(self._waiting):
            self._grant_one(value, early_bytes)

    def _grant_one(self, value: UnwrittenValue, limit_bytes: int) -> bool:
        if value not in self._waiting:
            return True  # granted or released while another value was resumed
        missing_bytes = value.missing_bytes + sum(granted.missing_bytes for granted in self._granted)
        if self._budget.buffered_bytes + missing_bytes > limit_bytes:
            return False
        del self._waiting[value]
        self._granted[value] = None
        self._budget.reserved_values.add(value)
        value.update_reading()
        return True
