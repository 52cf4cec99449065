"""The end of this process, as far as it bounds deadlines: docs/decisions/engine.md."""

from quota_gateway.model.events import ShutdownStarted
from quota_gateway.policy.clock import DecayClock


class ShutdownDeadline:
    """When this process ends at the latest, once its shutdown has started."""

    def __init__(self, clock: DecayClock) -> None:
        self._clock = clock
        self._ends_at_ms: float | None = None

    def on_shutdown_started(self, event: ShutdownStarted) -> None:
        """Set the end."""
        self._ends_at_ms = self._clock.now_ms + event.within_ms

    def precedes(self, deadline_ms: float) -> bool:
        """Whether the process ends before this deadline."""
        return self._ends_at_ms is not None and self._ends_at_ms < deadline_ms

    def bound(self, deadline_ms: float) -> float:
        """The deadline, or the end of the process if that comes first."""
        return deadline_ms if self._ends_at_ms is None else min(deadline_ms, self._ends_at_ms)
