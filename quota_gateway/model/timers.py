"""The timers that the policy engine has set and that have not fired yet."""

from __future__ import annotations

from typing import NamedTuple

from quota_gateway.model.actions import SetTimer
from quota_gateway.model.events import TimerFired
from quota_gateway.model.pending_request import PendingRequest


class WaitOver(NamedTuple):
    """The delay of a request, or a wait required by a limit, is over: the request may be scheduled."""

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
    """A poll of discovery for endpoint updates is due."""

    __slots__ = ()


RequestTimer = WaitOver | QueueTimeout | AttemptSlow | AttemptLate | DeadlineReached
Timer = RequestTimer | PollDue


class TimerTable:
    """The armed timers, by token."""

    __slots__ = ("_last_token", "armed")

    def __init__(self) -> None:
        self._last_token = 0
        self.armed: dict[int, Timer] = {}

    def arm(self, delay_ms: float, timer: Timer) -> SetTimer:
        """Arm a timer that fires after ``delay_ms``; the request, if any, keeps the token of its timer."""
        self._last_token += 1
        token = self._last_token
        self.armed[token] = timer
        if not isinstance(timer, PollDue):
            timer.pending.timer_tokens.append(token)
        return SetTimer(token, delay_ms)

    def take(self, event: TimerFired) -> Timer | None:
        """Remove and return the timer that has fired; return None if it was dropped."""
        return self.armed.pop(event.token, None)

    def drop(self, pending: PendingRequest) -> None:
        """Discard the timers of a request, which would keep it in memory until the last of them is due."""
        for token in pending.timer_tokens:
            self.armed.pop(token, None)
        pending.timer_tokens.clear()
