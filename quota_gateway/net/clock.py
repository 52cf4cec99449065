"""The gateway's clock."""

from __future__ import annotations

import time

MS_PER_S = 1000.0


class Clock:
    """Unix time in milliseconds that never goes back.

    The system clock is read only once; after that a monotonic clock is added to it. Setting the system clock
    while the gateway runs has no effect.
    """

    def __init__(self) -> None:
        self.offset_ms = (time.time() - time.monotonic()) * MS_PER_S

    def adopt(self, offset_ms: float) -> None:
        """Use the clock of the previous process on this machine; must be called before any time is read.

        Args:
            offset_ms: The ``offset_ms`` of the previous process.
        """
        self.offset_ms = offset_ms

    def __call__(self) -> float:
        """Return the Unix time in milliseconds."""
        return time.monotonic() * MS_PER_S + self.offset_ms
