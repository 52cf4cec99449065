"""The gateway's clock."""

from __future__ import annotations

import time

MS_PER_S = 1000.0


class Clock:
    """Unix time in milliseconds that never goes back.

    The system clock is read once, then a monotonic one is counted on from there: a system clock that is set
    while the gateway runs moves nothing.
    """

    def __init__(self) -> None:
        self.offset_ms = (time.time() - time.monotonic()) * MS_PER_S

    def adopt(self, offset_ms: float) -> None:
        """Go by the clock of the previous process on this machine; call it before any time is read.

        Args:
            offset_ms: That process's ``offset_ms``.
        """
        self.offset_ms = offset_ms

    def __call__(self) -> float:
        """Return the time."""
        return time.monotonic() * MS_PER_S + self.offset_ms
