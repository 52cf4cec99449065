"""The timers that the policy engine has set and that have not fired yet."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from quota_gateway.model.actions import SetTimer
from quota_gateway.model.events import TimerFired
from quota_gateway.model.pending_request import PendingRequest

TimerCallback = Callable[[Any], None]  # is called with the argument that the timer was set with


class TimerTable:
    """What to call when a timer fires, by its token."""

    __slots__ = ("_last_token", "armed")

    def __init__(self) -> None:
        self._last_token = 0
        self.armed: dict[int, tuple[TimerCallback, object]] = {}

    def arm(
        self, delay_ms: float, call: TimerCallback, argument: object, pending: PendingRequest | None = None
    ) -> SetTimer:
        """Set a timer; one that is for a pending request alone is noted there, to be dropped with it."""
        self._last_token += 1
        self.armed[self._last_token] = (call, argument)
        if pending:
            pending.timer_tokens.append(self._last_token)
        return SetTimer(self._last_token, delay_ms)

    def on_fired(self, event: TimerFired) -> None:
        """Call what was set, unless it was dropped."""
        timer = self.armed.pop(event.token, None)
        if timer:
            call, argument = timer
            call(argument)

    def drop(self, pending: PendingRequest) -> None:
        """Forget the timers of a request, which would keep it until the last of them is due."""
        for token in pending.timer_tokens:
            self.armed.pop(token, None)
        pending.timer_tokens.clear()
