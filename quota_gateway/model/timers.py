"""The timers that the policy engine has set and that have not fired yet."""

from __future__ import annotations

from typing import NamedTuple

from quota_gateway.model.actions import SetTimer
from quota_gateway.model.events import TimerFired
from quota_gateway.model.pending_request import PendingRequest


class WaitOver(NamedTuple):
    """A request has waited out its delay, or the time that a limit named: it may be scheduled again."""

    pending: PendingRequest


class QueueTimeout(NamedTuple):
    """A queued request can no longer be answered within its latency objective."""

    pending: PendingRequest


class AttemptSlow(NamedTuple):
    """An attempt has been in flight for as long as a slow response takes."""

    pending: PendingRequest
    attempt: int


class AttemptLate(NamedTuple):
    """An attempt has been in flight for as long as the latency objective."""

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
        """Set a timer that fires after ``delay_ms`` milliseconds; one for a request is noted there."""
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
        """Forget the timers of a request, which would keep it until the last of them is due."""
        for token in pending.timer_tokens:
            self.armed.pop(token, None)
        pending.timer_tokens.clear()
