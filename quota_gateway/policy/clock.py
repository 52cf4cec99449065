"""The time of the current event, and the exponential decay of statistics."""

from math import exp, inf

from quota_gateway.model.endpoint_state import Moment

# Time in which a statistic decays by a factor of e, so that a failed endpoint is tried again.
DECAY_MS = 4000.0


class DecayClock:
    """The time of the current event, and the counts that slow the decay of statistics under low load.

    Attributes:
        now_ms: Time of the current event; minus infinity before the first.
        started_at_ms: Time of the first event of this gateway, over all its processes.
        attempts: Number of attempts started by this gateway so far.
        endpoint_count: Number of known endpoints.
    """

    __slots__ = ("attempts", "endpoint_count", "now_ms", "started_at_ms")

    def __init__(self) -> None:
        self.now_ms = -inf
        self.started_at_ms = inf
        self.attempts = 0
        self.endpoint_count = 0

    def advance(self, now_ms: float) -> None:
        """Set the time of the next event.

        Raises:
            ValueError: The time is before that of the last event, or is not a number.
        """
        if not now_ms >= self.now_ms:
            raise ValueError(f"now_ms: {now_ms!r} is before {self.now_ms!r}")
        self.now_ms = now_ms
        self.started_at_ms = min(self.started_at_ms, now_ms)

    def on_attempt(self) -> None:
        """Count an attempt that starts now."""
        self.attempts += 1

    def set_endpoint_count(self, endpoint_count: int) -> None:
        """Set the number of known endpoints."""
        self.endpoint_count = endpoint_count

    def restore(self, attempts: int, started_at_ms: float) -> None:
        """Restore the number of attempts and the start time of the previous process."""
        self.attempts = attempts
        self.started_at_ms = min(self.started_at_ms, started_at_ms)

    def moment(self) -> Moment:
        """Return the time stamp of a statistic that is updated now."""
        return Moment(self.now_ms, self.attempts)

    def remaining(self, updated: Moment) -> float:
        """Return the share of a statistic that remains now, from 0 to 1.

        It decays by a factor of e in each ``DECAY_MS``, or in each round of attempts if that takes longer. A
        round is as many attempts of this gateway as there are endpoints, so each may have been tried once.
        """
        updated_ms, attempts_then = updated
        elapsed_periods = (self.now_ms - updated_ms) / DECAY_MS
        elapsed_rounds = (self.attempts - attempts_then) / max(1, self.endpoint_count)
        return exp(-min(elapsed_periods, elapsed_rounds))
