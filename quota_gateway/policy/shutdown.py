"""The upper bound on deadlines while this process shuts down: docs/decisions/engine.md."""

from quota_gateway.model.events import ShutdownStarted
from quota_gateway.policy.clock import DecayClock


class ShutdownDeadline:
    """The latest time at which this process ends, known once its shutdown has started."""

    def __init__(self, clock: DecayClock) -> None:
        self._clock = clock
        self._ends_at_ms: float | None = None

    def on_shutdown_started(self, event: ShutdownStarted) -> None:
        """Set the time at which the process ends, counted from now."""
        self._ends_at_ms = self._clock.now_ms + event.within_ms

    def precedes(self, deadline_ms: float) -> bool:
        """Return whether the process ends before this clock time; False before its shutdown has started."""
        return self._ends_at_ms is not None and self._ends_at_ms < deadline_ms

    def bound(self, deadline_ms: float) -> float:
        """Return the earlier of a deadline and the end of the process, both clock times in milliseconds."""
        return deadline_ms if self._ends_at_ms is None else min(deadline_ms, self._ends_at_ms)
