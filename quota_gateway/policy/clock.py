"""The time of the event in hand, and the exponential decay of statistics that follows from it."""

from math import exp, inf

from quota_gateway.model.endpoint_state import Moment

DECAY_MS = 4000.0  # time constant of statistics, so that an endpoint is tried again; see DecayClock.remaining


class DecayClock:
    """The current time, and the counts that slow the decay of statistics where little happens."""

    __slots__ = ("attempts", "endpoint_count", "now_ms", "started_at_ms")

    def __init__(self) -> None:
        self.now_ms = -inf
        self.started_at_ms = inf
        self.attempts = 0
        self.endpoint_count = 0

    def advance(self, now_ms: float) -> None:
        """Set the time of the next event; raises ValueError where it goes back."""
        if not now_ms >= self.now_ms:
            raise ValueError(f"now_ms: {now_ms!r} is before {self.now_ms!r}")
        self.now_ms = now_ms
        self.started_at_ms = min(self.started_at_ms, now_ms)

    def on_attempt(self) -> None:
        """Count an attempt that starts now."""
        self.attempts += 1

    def set_endpoint_count(self, endpoint_count: int) -> None:
        """Set how many endpoints are known."""
        self.endpoint_count = endpoint_count

    def restore(self, attempts: int, started_at_ms: float) -> None:
        """Go on from the counts of the process before."""
        self.attempts = attempts
        self.started_at_ms = min(self.started_at_ms, started_at_ms)

    def moment(self) -> Moment:
        """The stamp of a statistic that is updated now."""
        return Moment(self.now_ms, self.attempts)

    def remaining(self, updated: Moment) -> float:
        """What is left of a statistic: it decays, but not before each endpoint could be met again."""
        at_ms, attempts = updated
        age = min((self.now_ms - at_ms) / DECAY_MS, (self.attempts - attempts) / max(1, self.endpoint_count))
        return exp(-age)
