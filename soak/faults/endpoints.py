"""Changes of the endpoint list: servers that drain, are replaced, or are detached by operators."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence

from scale.child_process import RoleProcess
from soak.deployment import Deployment
from soak.fault_kinds import FaultKind
from soak.faults.reservations import ServerReservations
from soak.gateways.gateway import SoakGateway
from soak.plan import PlannedFault
from soak.records import EndpointLifecycle, ServerColdStart
from soak.settings import MS_PER_S

DRAIN_S = 11.0
GONE_S = 1.0
DETACHED_DURATION_FACTOR = 2.0


class ServerRestarter:
    """Removes servers from the endpoint list and restarts them, so that they warm up again."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment

    async def restart(self, server: str) -> None:
        """Restart a server, and record its cold start."""
        role = self._deployment.server_roles[server]
        discovery = self._deployment.discovery
        await discovery.command("publish", server=server, lifecycle=EndpointLifecycle.GONE)
        await role.command("begin_fault", server=server, kind=FaultKind.DOWN)
        await asyncio.sleep(GONE_S)
        await role.command("end_fault", server=server)
        started_at_ms = int(time.time() * MS_PER_S)
        self._deployment.cold_starts.append(ServerColdStart(server, time.monotonic()))
        await discovery.command(
            "publish", server=server, lifecycle=EndpointLifecycle.READY, started_at_ms=started_at_ms
        )


class ServerDrain:
    """A server drains for a long time, is gone, and restarts cold."""

    def __init__(
        self, reservations: ServerReservations, restarter: ServerRestarter, discovery: RoleProcess
    ) -> None:
        self._reservations = reservations
        self._restarter = restarter
        self._discovery = discovery

    async def inject(self, planned: PlannedFault) -> None:
        """Inject the fault if the server can be reserved."""
        with self._reservations.reserve(planned.server) as is_reserved:
            if is_reserved:
                await self._discovery.command(
                    "publish", server=planned.server, lifecycle=EndpointLifecycle.TERMINATING
                )
                await asyncio.sleep(DRAIN_S)
                await self._restarter.restart(planned.server)


class ServerReplacement:
    """A server is gone without draining first, and restarts cold."""

    def __init__(self, reservations: ServerReservations, restarter: ServerRestarter) -> None:
        self._reservations = reservations
        self._restarter = restarter

    async def inject(self, planned: PlannedFault) -> None:
        """Inject the fault if the server can be reserved."""
        with self._reservations.reserve(planned.server) as is_reserved:
            if is_reserved:
                await self._restarter.restart(planned.server)


class ServerDetachment:
    """An operator detaches a server and attaches it again; the gateway's processes may change meanwhile."""

    def __init__(self, gateways: Sequence[SoakGateway]) -> None:
        self._gateways = gateways

    async def inject(self, planned: PlannedFault) -> None:
        """Inject the fault for twice its planned duration."""
        gateway = self._gateways[planned.gateway]
        await gateway.detach(planned.server)
        await asyncio.sleep(DETACHED_DURATION_FACTOR * planned.duration_s)
        await gateway.attach(planned.server)
