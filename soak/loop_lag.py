"""How late a role's event loop may have noticed something, as its process was held up."""

from __future__ import annotations

import asyncio
import time

TICK_S = 0.02
NEGLIGIBLE_S = 0.01


class LoopLag:
    """Ticks on the loop; a tick that is late tells for how long nothing was noticed."""

    def __init__(self) -> None:
        self._last_tick_s = time.monotonic()
        self._previous_gap_s = 0.0
        asyncio.get_running_loop().call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        now_s = time.monotonic()
        self._previous_gap_s = now_s - self._last_tick_s - TICK_S
        self._last_tick_s = now_s
        asyncio.get_running_loop().call_later(TICK_S, self._tick)

    def seconds(self) -> float:
        """By how much earlier than now something may have come that is noticed now."""
        overdue_s = time.monotonic() - self._last_tick_s - TICK_S
        lag_s = max(overdue_s, self._previous_gap_s, 0.0)
        return lag_s if lag_s > NEGLIGIBLE_S else 0.0
