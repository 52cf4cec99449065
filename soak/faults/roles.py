"""Faults that a role's process injects on command: faults of servers and of the links to them."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from scale.child_process import RoleProcess
from soak.faults.reservations import ServerReservations
from soak.plan import PlannedFault


class RoleFault:
    """Injects a fault at one server, or on the link to it, by commands to the process of a role.

    Args:
        roles: The process that injects the fault, by server name.
        reservations: The reservations of servers; a server that can't be reserved gets no fault.
        is_momentary: Whether the fault ends as soon as it has begun.
    """

    def __init__(
        self, roles: Mapping[str, RoleProcess], reservations: ServerReservations, is_momentary: bool = False
    ) -> None:
        self._roles = roles
        self._reservations = reservations
        self._is_momentary = is_momentary

    async def inject(self, planned: PlannedFault) -> None:
        """Inject the fault if the server can be reserved."""
        role = self._roles[planned.server]
        with self._reservations.reserve(planned.server) as is_reserved:
            if not is_reserved:
                return
            await role.command("begin_fault", server=planned.server, kind=planned.kind)
            await asyncio.sleep(0.0 if self._is_momentary else planned.duration_s)
            await role.command("end_fault", server=planned.server)
