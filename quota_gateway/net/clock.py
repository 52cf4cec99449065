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
        self._offset_s = time.time() - time.monotonic()

    def __call__(self) -> float:
        """Return the time."""
        return (time.monotonic() + self._offset_s) * MS_PER_S
