"""Faults of a gateway's processes: restarts, crashes, pauses, and upgrades that may fail at some step."""

from __future__ import annotations

import asyncio
import signal
import time
from abc import ABC, abstractmethod
from collections.abc import Sequence

from soak.gateways.gateway import READY_CHECK_INTERVAL_S, READY_TIMEOUT_S, SoakGateway
from soak.gateways.process import GatewayProcess
from soak.plan import PlannedFault
from soak.records import OutageKind

UPGRADE_SHUTDOWN_TIMEOUT_S = 5.0
MAX_TERMINATION_DELAY_S = 0.8
MAX_KILL_DELAY_S = 1.2
RESUME_S = 0.2
MAX_PAUSE_S = 0.12


class GatewayProcessFault(ABC):
    """A change of a gateway's processes; each gateway undergoes one change at a time."""

    def __init__(self, gateways: Sequence[SoakGateway]) -> None:
        self._gateways = gateways

    async def inject(self, planned: PlannedFault) -> None:
        """Inject the fault once the gateway's previous change is over."""
        gateway = self._gateways[planned.gateway]
        async with gateway.change_lock:
            await self.change(gateway, planned.strength)

    @abstractmethod
    async def change(self, gateway: SoakGateway, strength: float) -> None:
        """Change the processes of a gateway."""


async def restart(gateway: SoakGateway) -> None:
    """End the current process of a gateway by SIGTERM, and start another one."""
    await gateway.terminate(gateway.current)
    gateway.forget_detachments()  # also those that the process accepted while it shut down
    await gateway.start_and_wait()


class GatewayRestart(GatewayProcessFault):
    """The current process is ended by SIGTERM, then another one is started."""

    async def change(self, gateway: SoakGateway, strength: float) -> None:  # noqa: ARG002 - nothing to scale
        """Restart the gateway."""
        await restart(gateway)


class GatewayCrash(GatewayProcessFault):
    """The current process is ended by SIGKILL, then another one is started."""

    async def change(self, gateway: SoakGateway, strength: float) -> None:  # noqa: ARG002 - nothing to scale
        """Kill the gateway's current process and start another one."""
        gateway.forget_detachments()
        await gateway.kill(gateway.current, OutageKind.CRASH)
        await gateway.start_and_wait()


class Upgrade(GatewayProcessFault):
    """A new version starts beside the old one, which gets SIGTERM once the new one is ready."""

    async def change(self, gateway: SoakGateway, strength: float) -> None:  # noqa: ARG002 - nothing to scale
        """Upgrade the gateway; a new version that is not ready in time is killed."""
        old, new = gateway.current, await gateway.start()
        if await gateway.wait_until_ready(new):
            await gateway.terminate(old, UPGRADE_SHUTDOWN_TIMEOUT_S)
        else:
            await gateway.kill_new_version(old, new)


class EarlyTermination(GatewayProcessFault):
    """The old version gets SIGTERM before the new one is ready."""

    async def change(self, gateway: SoakGateway, strength: float) -> None:
        """Upgrade the gateway; the strength scales the time until SIGTERM."""
        gateway.forget_detachments()  # An interrupted handover may lose the detachments.
        old, new = gateway.current, await gateway.start()
        await asyncio.sleep(MAX_TERMINATION_DELAY_S * strength)
        _, is_ready = await asyncio.gather(gateway.terminate(old), gateway.wait_until_ready(new))
        if not is_ready:
            new.kill()


class NewVersionKilled(GatewayProcessFault):
    """The new version is killed a while after its start; the old one must keep serving."""

    async def change(self, gateway: SoakGateway, strength: float) -> None:
        """Upgrade the gateway; the strength scales the time until the new version is killed."""
        old, new = gateway.current, await gateway.start()
        await asyncio.sleep(MAX_KILL_DELAY_S * strength)
        killed_s = time.monotonic()
        await gateway.kill_new_version(old, new)
        await asyncio.sleep(RESUME_S)
        if not await self._serves_on(old, killed_s + READY_TIMEOUT_S):
            gateway.record_start_violation(old, "does not serve on after the new version died")

    async def _serves_on(self, old: GatewayProcess, until_s: float) -> bool:
        while not await old.is_ready() and time.monotonic() < until_s:  # noqa: ASYNC110 - no event to wait for
            await asyncio.sleep(READY_CHECK_INTERVAL_S)
        return await old.is_ready()


class OldVersionKilled(GatewayProcessFault):
    """The old version is killed as soon as the new one is ready."""

    async def change(self, gateway: SoakGateway, strength: float) -> None:  # noqa: ARG002 - nothing to scale
        """Upgrade the gateway; a new version that is not ready in time is killed."""
        old, new = gateway.current, await gateway.start()
        if await gateway.wait_until_ready(new):
            await gateway.kill(old, OutageKind.OLD_VERSION_KILLED)
        else:
            await gateway.kill_new_version(old, new)


class ProcessPause:
    """The current process is stopped for a moment, possibly during another change of the gateway."""

    def __init__(self, gateways: Sequence[SoakGateway]) -> None:
        self._gateways = gateways

    async def inject(self, planned: PlannedFault) -> None:
        """Inject the fault; the strength scales its duration."""
        process = self._gateways[planned.gateway].current
        process.send(signal.SIGSTOP)
        await asyncio.sleep(MAX_PAUSE_S * planned.strength)
        process.send(signal.SIGCONT)
