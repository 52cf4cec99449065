"""A timeout for the next sign of life on a discovery watch."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

READ_GRACE_S = 0.1  # the last part of each timeout, for reading what arrived while this process was busy


class LivenessTimer:
    """Calls ``on_timeout`` when a watch has given no sign of life for too long."""

    def __init__(self, on_timeout: Callable[[], None]) -> None:
        self._on_timeout = on_timeout
        self._handle: asyncio.TimerHandle | None = None

    def restart(self, timeout_s: float) -> None:
        """Start the timeout anew; it has to be longer than ``READ_GRACE_S``."""
        self.cancel()
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(timeout_s - READ_GRACE_S, self._on_grace_begun)

    def cancel(self) -> None:
        """Stop the timeout."""
        if self._handle:
            self._handle.cancel()

    def _on_grace_begun(self) -> None:
        """Let a busy process read what it received: its loop runs due timers before it reads."""
        self._handle = asyncio.get_running_loop().call_later(READ_GRACE_S, self._on_timeout)
