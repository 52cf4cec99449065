"""Measure how late an event loop may have noticed an event because its process was held up."""

from __future__ import annotations

import asyncio
import time

TICK_INTERVAL_S = 0.02
NEGLIGIBLE_LAG_S = 0.01


class LoopLag:
    """Schedules a periodic tick on the event loop; a late tick shows how long the loop was held up."""

    def __init__(self) -> None:
        self._last_tick_s = time.monotonic()
        self._previous_gap_s = 0.0
        asyncio.get_running_loop().call_later(TICK_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        now_s = time.monotonic()
        self._previous_gap_s = now_s - self._last_tick_s - TICK_INTERVAL_S
        self._last_tick_s = now_s
        asyncio.get_running_loop().call_later(TICK_INTERVAL_S, self._tick)

    def seconds(self) -> float:
        """Return how many seconds ago an event noticed now may have occurred; 0 if negligible."""
        overdue_s = time.monotonic() - self._last_tick_s - TICK_INTERVAL_S
        lag_s = max(overdue_s, self._previous_gap_s, 0.0)
        return lag_s if lag_s > NEGLIGIBLE_LAG_S else 0.0
