"""A timeout for a peer's next sign of life."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

READ_GRACE_S = 0.1  # of each timeout, to read what came while this process was busy


class LivenessTimer:
    """Calls back when a watch has given no sign of life for too long."""

    def __init__(self, on_timeout: Callable[[], None]) -> None:
        self._on_timeout = on_timeout
        self._handle: asyncio.TimerHandle | None = None

    def restart(self, timeout_s: float) -> None:
        """Count from now on, for longer than ``READ_GRACE_S``."""
        self.cancel()
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(timeout_s - READ_GRACE_S, self._on_grace_begun)

    def cancel(self) -> None:
        """Count no more."""
        if self._handle:
            self._handle.cancel()

    def _on_grace_begun(self) -> None:
        """Let a busy process read what was received meanwhile: its timers fall due before that is read."""
        self._handle = asyncio.get_running_loop().call_later(READ_GRACE_S, self._on_timeout)
