"""Keeps the last events of one process in memory, to log a violation with the events that led to it."""

from __future__ import annotations

import time
from collections import deque
from typing import NamedTuple

MS_PER_S = 1000.0
MAX_EVENTS = 4096  # a busy gateway reaches the maximum in some seconds
MAX_SHOWN_EVENTS = 12  # maximum number of one subject's events in one log line; the last ones are shown


class TracedEvent(NamedTuple):
    """One event.

    Attributes:
        at_s: Monotonic time of the event in seconds.
        subject: The request or connection that the event belongs to.
        what: What happened.
        detail: Further information; empty if there is none.
    """

    at_s: float
    subject: str
    what: str
    detail: object


class EventTrace:
    """A ring buffer of the last events."""

    __slots__ = ("_events",)

    def __init__(self) -> None:
        self._events: deque[TracedEvent] = deque(maxlen=MAX_EVENTS)

    def add(self, subject: str, what: str, detail: object = "") -> None:
        """Append an event."""
        self._events.append(TracedEvent(time.monotonic(), subject, what, detail))

    def of(self, subject: str) -> list[TracedEvent]:
        """Return the events of one request or connection that are still held, the oldest first."""
        return [event for event in self._events if event.subject == subject]

    def describe(self, subject: str) -> str:
        """Return the last events of one subject in a line: ms relative to now, what happened, its detail."""
        now_s = time.monotonic()
        shown = self.of(subject)[-MAX_SHOWN_EVENTS:]
        return " ".join(
            f"{(event.at_s - now_s) * MS_PER_S:.1f}:{event.what}{f'({event.detail})' if event.detail else ''}"
            for event in shown
        )
