"""Faults of the operating system under a gateway: failing system calls and steps of the wall clock."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from soak.gateways.gateway import SoakGateway
from soak.plan import PlannedFault
from soak.shim import CallCategory

MIN_FAILING_PERCENT = 2.0
MAX_FAILING_PERCENT = 25.0
FAILING_CALLS_DURATION_FACTOR = 2.0
WALL_CLOCK_STEPS_S = (3600.0, -3600.0, 7.0, -7.0)
WALL_CLOCK_DURATION_FACTOR = 3.0


class FailingCalls:
    """Some of a gateway's system calls of one category fail.

    Args:
        gateways: All gateways.
        category: The category of system calls that fail.
    """

    def __init__(self, gateways: Sequence[SoakGateway], category: CallCategory) -> None:
        self._gateways = gateways
        self._category = category

    async def inject(self, planned: PlannedFault) -> None:
        """Inject the fault for twice its planned duration; the strength scales the share of failing calls."""
        control = self._gateways[planned.gateway].shim_control
        range_percent = MAX_FAILING_PERCENT - MIN_FAILING_PERCENT
        control.set_failing(self._category, MIN_FAILING_PERCENT + range_percent * planned.strength)
        await asyncio.sleep(FAILING_CALLS_DURATION_FACTOR * planned.duration_s)
        control.set_failing(self._category, 0.0)


class WallClockStep:
    """A gateway's wall clock is stepped, and stepped back later."""

    def __init__(self, gateways: Sequence[SoakGateway]) -> None:
        self._gateways = gateways

    async def inject(self, planned: PlannedFault) -> None:
        """Inject the fault for three times its planned duration; the strength selects the step."""
        control = self._gateways[planned.gateway].shim_control
        step_s = WALL_CLOCK_STEPS_S[int(planned.strength * len(WALL_CLOCK_STEPS_S))]
        control.wall_step_s += step_s
        control.apply()
        await asyncio.sleep(WALL_CLOCK_DURATION_FACTOR * planned.duration_s)
        control.wall_step_s -= step_s
        control.apply()
