"""The interface of all fault injectors."""

from __future__ import annotations

from typing import Protocol

from soak.plan import PlannedFault


class Fault(Protocol):
    """Injects faults of one or more kinds."""

    async def inject(self, planned: PlannedFault) -> None:
        """Inject a fault, and return once it is over.

        Raises:
            ChildError: The process of a role has ended, or did not reply.
        """
