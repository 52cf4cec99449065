"""Start times of servers by the gateway's clock: docs/decisions/wall-clock.md."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import NamedTuple

from quota_gateway.net.clock import MS_PER_S

MAX_CLOCK_SKEW_MS = 1000.0  # between clocks of machines that were not set


def unix_time_ms() -> float:
    """Return the wall clock's time, which may be set at any time."""
    return time.time() * MS_PER_S


class KnownStart(NamedTuple):
    """A start as discovery reported it, and the same by the gateway's clock."""

    reported_ms: float
    started_ms: float


class StartTimes:
    """Translates start times of servers from Unix time to the gateway's clock, which is never set.

    Where the wall clock has been set since the gateway's clock was read, the reported start may be by either
    of them: the later one that is in the past is taken. A server then warms up for too long at worst.

    Args:
        clock: The gateway's clock, in milliseconds.
    """

    def __init__(self, clock: Callable[[], float] = unix_time_ms) -> None:
        self._clock = clock
        self._known: dict[str, KnownStart] = {}

    def by_gateway_clock(self, name: str, reported_ms: float) -> float:
        """Return when a server started; the same for as long as discovery reports the same start.

        Args:
            name: The server's name.
            reported_ms: Its start in Unix time, 0 if it was long ago.
        """
        if reported_ms <= 0.0:
            return reported_ms
        known = self._known.get(name)
        if known is None or known.reported_ms != reported_ms:
            known = self._known[name] = KnownStart(reported_ms, self._translate(reported_ms))
        return known.started_ms

    def forget(self, name: str) -> None:
        """Forget a server that is not listed any more."""
        self._known.pop(name, None)

    def _translate(self, reported_ms: float) -> float:
        now_ms = self._clock()
        wall_clock_ahead_ms = unix_time_ms() - now_ms
        if abs(wall_clock_ahead_ms) <= MAX_CLOCK_SKEW_MS:
            return reported_ms if reported_ms <= now_ms + MAX_CLOCK_SKEW_MS else now_ms
        candidates = (reported_ms, reported_ms - wall_clock_ahead_ms)
        return max((start for start in candidates if start <= now_ms + MAX_CLOCK_SKEW_MS), default=now_ms)
