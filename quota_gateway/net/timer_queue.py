"""Many timers on one timer of the event loop."""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from itertools import count
from math import ceil
from typing import Any, TypeVar

from quota_gateway.net.clock import MS_PER_S

Argument = TypeVar("Argument")

MIN_DELAY_MS = 1  # of a timer of the loop: it rounds a shorter one down to nothing


class TimerQueue:
    """Calls back at given times, in the order of these times, then in the order of the requests.

    Args:
        clock: The time in milliseconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._order = count()
        self._alarm: tuple[float, asyncio.TimerHandle] | None = (
            None  # the loop's one timer, and when it is due
        )
        # A plain tuple compares fastest. Any: each callback has an argument of its own type.
        self.entries: list[tuple[float, int, Callable[[Any], None], Any]] = []

    def call_at(self, due_ms: float, callback: Callable[[Argument], None], argument: Argument) -> None:
        """Call ``callback(argument)`` once the clock has come to ``due_ms``."""
        heapq.heappush(self.entries, (due_ms, next(self._order), callback, argument))
        self._arm()

    def _arm(self) -> None:
        """Set the loop's timer for the first entry, in whole milliseconds rounded up.

        A shorter delay would spin until the entry is due; see docs/decisions/driver.md.
        """
        due_ms = self.entries[0][0]
        if self._alarm:
            alarm_ms, handle = self._alarm
            if alarm_ms <= due_ms:
                return
            handle.cancel()
        delay_ms = max(MIN_DELAY_MS, ceil(due_ms - self._clock()))
        self._alarm = (due_ms, self._loop.call_later(delay_ms / MS_PER_S, self._fire))

    def _fire(self) -> None:
        self._alarm = None
        now_ms = self._clock()
        try:
            while self.entries and self.entries[0][0] <= now_ms:
                _, _, callback, argument = heapq.heappop(self.entries)
                callback(argument)
        finally:  # one callback that fails must not keep the others
            if self.entries:
                self._arm()
