"""Faults that a role's process plays itself: those of servers, and of the links to them."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from scale.child_process import RoleProcess
from soak.faults.reservations import ServerReservations
from soak.plan import PlannedFault


class RoleFault:
    """Lets the process of a role begin and end a fault at one server.

    Args:
        roles: The process that plays the fault, by server.
        reservations: A server that is reserved for another fault gets none.
        is_momentary: Whether the fault ends as soon as it has begun.
    """

    def __init__(
        self, roles: Mapping[str, RoleProcess], reservations: ServerReservations, is_momentary: bool = False
    ) -> None:
        self._roles = roles
        self._reservations = reservations
        self._is_momentary = is_momentary

    async def inject(self, planned: PlannedFault) -> None:
        """Inject the fault, where the server is free."""
        role = self._roles[planned.server]
        with self._reservations.reserve(planned.server) as is_reserved:
            if not is_reserved:
                return
            await role.command("begin_fault", server=planned.server, kind=planned.kind)
            await asyncio.sleep(0.0 if self._is_momentary else planned.duration_s)
            await role.command("end_fault", server=planned.server)
