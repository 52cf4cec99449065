"""An event loop whose clock jumps to the next timer as soon as nothing is on its way between its sockets."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

# How long bytes on loopback are waited for: they are there as soon as written, but on a busy machine.
REAL_WAIT_S = 0.0002
START_S = 1000.0  # of the clock

Result = TypeVar("Result")


class JumpingSelector(selectors.DefaultSelector):
    """Waits for no time: what would be waited is added to the clock.

    Attributes:
        now_s: The clock.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = START_S

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Select what is ready at once; if nothing is, move the clock by the timeout."""
        events = super().select(min(timeout, REAL_WAIT_S) if timeout is not None else None)
        if not events and timeout:
            self.now_s += timeout
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop on the clock of a ``JumpingSelector``.

    Attributes:
        connect_delay_s: How long each connection takes to come up, on the loop's clock.
    """

    def __init__(self) -> None:
        self.connect_delay_s = 0.0
        self._clock = JumpingSelector()
        super().__init__(self._clock)

    def time(self) -> float:
        """The clock, in seconds."""
        return self._clock.now_s

    async def create_connection(self, *args: Any, **more: Any) -> Any:
        """Connect after the delay."""
        await asyncio.sleep(self.connect_delay_s)
        return await super().create_connection(*args, **more)


def run_virtual(test: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine on such a loop; what it returns."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(test)
