"""What all injected faults have in common."""

from __future__ import annotations

from typing import Protocol

from soak.plan import PlannedFault


class Fault(Protocol):
    """A way to inject faults."""

    async def inject(self, planned: PlannedFault) -> None:
        """Inject a fault, and return once it is over.

        Raises:
            ChildError: A role's process has ended, or did not reply.
        """
