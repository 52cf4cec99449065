"""Faults of the discovery service."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from scale.child_process import RoleProcess
from soak.gateways.gateway import SoakGateway
from soak.plan import PlannedFault

PARTIAL_CONFIG_MAX_STRENGTH = 0.4
"""Strength below which gateways first reload half-written configuration files when discovery moves."""

PARTIAL_CONFIG_S = 0.12


class DiscoverySilent:
    """Discovery writes nothing on any connection for a while."""

    def __init__(self, discovery: RoleProcess) -> None:
        self._discovery = discovery

    async def inject(self, planned: PlannedFault) -> None:
        """Inject the fault for its planned duration."""
        await self._discovery.command("set_silent", silent=True)
        await asyncio.sleep(planned.duration_s)
        await self._discovery.command("set_silent", silent=False)


class DiscoveryRefusing:
    """Discovery rejects every call for a while, and ends its watches."""

    def __init__(self, discovery: RoleProcess) -> None:
        self._discovery = discovery

    async def inject(self, planned: PlannedFault) -> None:
        """Inject the fault for its planned duration."""
        await self._discovery.command("set_refusing", refusing=True)
        await asyncio.sleep(planned.duration_s)
        await self._discovery.command("set_refusing", refusing=False)


class WatchesDropped:
    """Discovery ends all watches once."""

    def __init__(self, discovery: RoleProcess) -> None:
        self._discovery = discovery

    async def inject(self, planned: PlannedFault) -> None:  # noqa: ARG002 - signature of Fault.inject
        """Inject the fault."""
        await self._discovery.command("drop_watches")


class DiscoveryMove:
    """Discovery moves to another port, and all gateways reload, sometimes from a partial configuration."""

    def __init__(self, discovery: RoleProcess, gateways: Sequence[SoakGateway]) -> None:
        self._discovery = discovery
        self._gateways = gateways

    async def inject(self, planned: PlannedFault) -> None:
        """Inject the fault; at a low strength the configuration files are half written for a moment."""
        is_partial = planned.strength < PARTIAL_CONFIG_MAX_STRENGTH
        port = await self._discovery.call("move", int)
        for gateway in self._gateways:
            gateway.config_file.write(port)
            if is_partial:
                gateway.config_file.truncate()
            gateway.reload()
        if is_partial:
            await asyncio.sleep(PARTIAL_CONFIG_S)
            for gateway in self._gateways:
                gateway.config_file.write(port)
