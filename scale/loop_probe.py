"""Measures how long an event loop is blocked."""

from __future__ import annotations

import asyncio
import time

from scale.messages import LoopStalls

NANOSECONDS_PER_MILLISECOND = 1e6


class LoopProbe:
    """Measures the longest time between two iterations of the loop, in wall-clock and thread processor time.

    While the probe is active, the loop iterates without sleeping. On a machine with other users, the
    processor time shows how long the loop itself was busy.
    """

    def __init__(self) -> None:
        self._is_active = False
        self._longest_wall_ns = 0
        self._longest_cpu_ns = 0

    def begin(self) -> None:
        """Start measuring."""
        self._is_active = True
        self._longest_wall_ns = 0
        self._longest_cpu_ns = 0
        self._record_iteration(time.monotonic_ns(), time.thread_time_ns())

    def _record_iteration(self, last_wall_ns: int, last_cpu_ns: int) -> None:
        wall_ns = time.monotonic_ns()
        cpu_ns = time.thread_time_ns()
        self._longest_wall_ns = max(self._longest_wall_ns, wall_ns - last_wall_ns)
        self._longest_cpu_ns = max(self._longest_cpu_ns, cpu_ns - last_cpu_ns)
        if self._is_active:
            asyncio.get_running_loop().call_soon(self._record_iteration, wall_ns, cpu_ns)

    def end(self) -> LoopStalls:
        """Stop measuring and return the longest stalls."""
        self._is_active = False
        return LoopStalls(
            wall_ms=self._longest_wall_ns / NANOSECONDS_PER_MILLISECOND,
            cpu_ms=self._longest_cpu_ns / NANOSECONDS_PER_MILLISECOND,
        )
