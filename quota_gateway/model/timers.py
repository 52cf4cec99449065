"""The timers that the policy engine has set and that have not fired yet."""

from __future__ import annotations

from typing import NamedTuple

from quota_gateway.model.actions import SetTimer
from quota_gateway.model.events import TimerFired
from quota_gateway.model.pending_request import PendingRequest


class WaitOver(NamedTuple):
    """A request's delay is over, or the time for which a limit made it wait: it may be scheduled."""

    pending: PendingRequest


class QueueTimeout(NamedTuple):
    """A queued request can no longer be answered within its latency objective."""

    pending: PendingRequest


class AttemptSlow(NamedTuple):
    """An attempt has been in flight for so long that its response would be slow."""

    pending: PendingRequest
    attempt: int


class AttemptLate(NamedTuple):
    """An attempt has been in flight for the whole latency objective or longer."""

    pending: PendingRequest
    attempt: int


class DeadlineReached(NamedTuple):
    """The final answer of a request is due."""

    pending: PendingRequest


class PollDue:
    """Discovery is to be asked for endpoint updates."""

    __slots__ = ()


RequestTimer = WaitOver | QueueTimeout | AttemptSlow | AttemptLate | DeadlineReached
Timer = RequestTimer | PollDue


class TimerTable:
    """What each armed timer is for, by its token."""

    __slots__ = ("_last_token", "armed")

    def __init__(self) -> None:
        self._last_token = 0
        self.armed: dict[int, Timer] = {}

    def arm(self, delay_ms: float, timer: Timer) -> SetTimer:
        """Set a timer that fires after ``delay_ms``; a request keeps the tokens of its timers."""
        self._last_token += 1
        token = self._last_token
        self.armed[token] = timer
        if not isinstance(timer, PollDue):
            timer.pending.timer_tokens.append(token)
        return SetTimer(token, delay_ms)

    def take(self, event: TimerFired) -> Timer | None:
        """Return what the fired timer is for, or None if it was dropped."""
        return self.armed.pop(event.token, None)

    def drop(self, pending: PendingRequest) -> None:
        """Forget the timers of a request, as they would keep it in memory until the last of them is due."""
        for token in pending.timer_tokens:
            self.armed.pop(token, None)
        pending.timer_tokens.clear()
