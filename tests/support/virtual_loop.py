"""An event loop with a virtual clock that jumps to the next timer as soon as no socket is ready."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

# Real time to wait for bytes on loopback, which arrive at once except on a busy machine.
REAL_WAIT_S = 0.0002
INITIAL_TIME_S = 1000.0  # Initial time of the virtual clock.

Result = TypeVar("Result")


class VirtualClockSelector(selectors.DefaultSelector):
    """A selector that advances a virtual clock by the timeout in place of waiting for it.

    Attributes:
        now_s: Time of the virtual clock.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = INITIAL_TIME_S

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the events that are ready; if there are none, advance the clock by the timeout."""
        events = super().select(min(timeout, REAL_WAIT_S) if timeout is not None else None)
        if not events and timeout:
            self.now_s += timeout
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on the virtual clock of a ``VirtualClockSelector``.

    Attributes:
        connect_delay_s: Time that each connection takes to be established, on the virtual clock.
    """

    def __init__(self) -> None:
        self.connect_delay_s = 0.0
        self._clock = VirtualClockSelector()
        super().__init__(self._clock)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._clock.now_s

    async def create_connection(self, *args: Any, **kwargs: Any) -> Any:
        """Connect after ``connect_delay_s``."""
        await asyncio.sleep(self.connect_delay_s)
        return await super().create_connection(*args, **kwargs)


def run_virtual(test: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine on a ``VirtualLoop`` and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(test)
