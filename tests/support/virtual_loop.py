"""An event loop whose clock jumps to the next timer as soon as nothing is on its way between its sockets."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

REAL_S = 0.0002  # for bytes on loopback, which are there as soon as they are written but on a busy machine


class JumpingSelector(selectors.DefaultSelector):
    """Waits for no time: what would be waited is added to ``now``."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        events = super().select(min(timeout, REAL_S) if timeout is not None else None)
        if not events and timeout:
            self.now += timeout
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """``dial_s``: how long each connection takes to come up, on the loop's clock."""

    def __init__(self) -> None:
        self.jumping = JumpingSelector()
        self.dial_s = 0.0
        super().__init__(self.jumping)

    def time(self) -> float:
        return self.jumping.now

    async def create_connection(self, *args: Any, **more: Any) -> Any:
        await asyncio.sleep(self.dial_s)
        return await super().create_connection(*args, **more)


def run_virtual(test: Coroutine[Any, Any, Any]) -> Any:
    """Run a test on such a loop; what it returns."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(test)
