"""Translates start times of servers to the gateway's clock; see docs/decisions/wall-clock.md."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import NamedTuple

from quota_gateway.net.clock import MS_PER_S

MAX_CLOCK_SKEW_MS = 1000.0  # the maximum skew between machines whose clocks have not been set


def unix_time_ms() -> float:
    """Return the time of the wall clock, in milliseconds; the clock may be set at any time."""
    return time.time() * MS_PER_S


class KnownStart(NamedTuple):
    """A start time as discovery reported it, and the same time by the gateway's clock."""

    reported_ms: float
    started_ms: float


class StartTimes:
    """Translates start times of servers from Unix time to the gateway's clock, which is never set.

    If the wall clock has been set since the gateway's clock was started, a reported start time may be by
    either clock. The later of the possible times that is in the past is used: at worst, a server warms up for
    too long.

    Args:
        clock: The gateway's clock, in milliseconds.
    """

    def __init__(self, clock: Callable[[], float] = unix_time_ms) -> None:
        self._clock = clock
        self._known: dict[str, KnownStart] = {}

    def by_gateway_clock(self, name: str, reported_ms: float) -> float:
        """Return the start time of a server by the gateway's clock, in milliseconds.

        The result stays the same for as long as discovery reports the same start time.

        Args:
            name: The server's name.
            reported_ms: The server's start time in Unix time; 0 if it was long ago.
        """
        if reported_ms <= 0.0:
            return reported_ms
        known = self._known.get(name)
        if known is None or known.reported_ms != reported_ms:
            known = self._known[name] = KnownStart(reported_ms, self._translate(reported_ms))
        return known.started_ms

    def forget(self, name: str) -> None:
        """Forget a server that is no longer listed."""
        self._known.pop(name, None)

    def _translate(self, reported_ms: float) -> float:
        now_ms = self._clock()
        wall_clock_ahead_ms = unix_time_ms() - now_ms
        if abs(wall_clock_ahead_ms) <= MAX_CLOCK_SKEW_MS:
            return reported_ms if reported_ms <= now_ms + MAX_CLOCK_SKEW_MS else now_ms
        candidates = (reported_ms, reported_ms - wall_clock_ahead_ms)
        return max((start for start in candidates if start <= now_ms + MAX_CLOCK_SKEW_MS), default=now_ms)
