"""Random churn of servers over a day, reproducible by its seed."""

from __future__ import annotations

import random
from typing import Literal, NamedTuple

from scale.config import Churn

SECONDS_PER_DAY = 86_400.0

ChurnKind = Literal["change", "restart", "failure"]


class ChurnEvent(NamedTuple):
    """A change, restart or failure of one server.

    Attributes:
        at_s: Time of the event, in seconds from the start of churn.
        kind: Kind of event.
        draw: Random number of at least 0 and below 1 that selects the server.
    """

    at_s: float
    kind: ChurnKind
    draw: float


def churn_events(seed: int, churn: Churn, seconds: float) -> list[ChurnEvent]:
    """Return the events of this number of seconds in order; the same seed gives the same events."""
    source = random.Random(f"churn {seed}")
    events = []
    kinds: tuple[tuple[ChurnKind, float], ...] = (
        ("change", churn.changes_per_day),
        ("restart", churn.restarts_per_day),
        ("failure", churn.failures_per_day),
    )
    for kind, events_per_day in kinds:
        events_per_s = events_per_day * churn.speedup / SECONDS_PER_DAY
        at_s = 0.0
        while events_per_s and (at_s := at_s + source.expovariate(events_per_s)) < seconds:
            events.append(ChurnEvent(at_s, kind, source.random()))
    return sorted(events)
