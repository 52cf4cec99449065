"""Runs many timers on one timer of the event loop."""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from itertools import count
from math import ceil, inf
from typing import Any, TypeVar

from quota_gateway.net.clock import MS_PER_S

Argument = TypeVar("Argument")

MIN_LOOP_DELAY_MS = 1  # the event loop rounds delays of less than 1 ms down to zero

# Due time in milliseconds, sequence number, callback and its argument. A plain tuple compares fastest.
# Any stands for the argument, whose type depends on the callback.
TimerEntry = tuple[float, int, Callable[[Any], None], Any]


class TimerQueue:
    """Calls callbacks at given times, in the order of their times and then of the ``call_at`` calls.

    Args:
        clock: Returns the time in milliseconds.

    Attributes:
        entries: The timers that are not due yet, as a heap.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._order = count()
        self._loop_timer: asyncio.TimerHandle | None = None
        self._loop_timer_due_ms = inf
        self.entries: list[TimerEntry] = []

    def call_at(self, due_ms: float, callback: Callable[[Argument], None], argument: Argument) -> None:
        """Call ``callback(argument)`` once the clock has reached ``due_ms``."""
        heapq.heappush(self.entries, (due_ms, next(self._order), callback, argument))
        self._arm()

    def _arm(self) -> None:
        """Set the event loop's timer for the first entry, in whole milliseconds rounded up.

        With a shorter delay the loop would spin until the entry is due; see docs/decisions/driver.md.
        """
        due_ms = self.entries[0][0]
        if self._loop_timer:
            if self._loop_timer_due_ms <= due_ms:
                return
            self._loop_timer.cancel()
        delay_ms = max(MIN_LOOP_DELAY_MS, ceil(due_ms - self._clock()))
        self._loop_timer_due_ms = due_ms
        self._loop_timer = self._loop.call_later(delay_ms / MS_PER_S, self._fire)

    def _fire(self) -> None:
        self._loop_timer = None
        now_ms = self._clock()
        try:
            while self.entries and self.entries[0][0] <= now_ms:
                _, _, callback, argument = heapq.heappop(self.entries)
                callback(argument)
        finally:  # a callback that fails must not hold up the others
            if self.entries:
                self._arm()
