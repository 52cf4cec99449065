"""Passes events to the policy engine, one after the other, and carries out the actions that it returns."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from typing import Any

from quota_gateway.model import (
    Action,
    AttemptStatus,
    CancelAttempt,
    ClientDisconnected,
    CloseIdle,
    Event,
    ExportState,
    Fail,
    LogMessage,
    NotifyPeerProcess,
    PeerProcessUsage,
    Reject,
    Request,
    RestoreState,
    SetServerDetached,
    SetTimer,
    StartAttempt,
    StateSnapshot,
    Subscribe,
    TimerFired,
)
from quota_gateway.net.active_request import ActiveRequest, RequestState
from quota_gateway.net.active_requests import ActiveRequests
from quota_gateway.net.clock import Clock
from quota_gateway.net.request_answers import RequestAnswers
from quota_gateway.net.request_attempts import RequestAttempts
from quota_gateway.net.request_guard import RequestGuard
from quota_gateway.net.request_telemetry import RequestTelemetry
from quota_gateway.net.timer_queue import TimerQueue
from quota_gateway.net.upstream.attempt import Attempt
from quota_gateway.net.upstream.pool import UpstreamPool
from quota_gateway.policy.engine import PolicyEngine

__all__ = ["ActiveRequest", "Clock", "Driver"]

log = logging.getLogger(__name__)


class Driver:
    """Drives one ``PolicyEngine``: posts events to it and carries out its actions in order.

    Args:
        engine: Decides on each event.
        upstream: Sends the attempts to their servers.
        clock: The gateway's clock.
        notify_peer: Passes usage on to the peer process of this gateway, if there is one.
    """

    def __init__(
        self,
        engine: PolicyEngine,
        upstream: UpstreamPool,
        clock: Clock,
        notify_peer: Callable[[PeerProcessUsage], None],
    ) -> None:
        self.engine = engine
        self.upstream = upstream
        self.clock = clock
        self.timers = TimerQueue(clock)
        self.telemetry = upstream.telemetry
        self._classes = {item.name: item for item in engine.settings.classes}
        self._notify_peer = notify_peer
        self._events: deque[Event] = deque()
        self._is_handling = False
        self._last_snapshot: dict[str, Any] = {}  # Any stands for the plain values of JSON
        guard = RequestGuard(engine.settings, upstream.hosts, clock, self.telemetry)
        self._request_telemetry = RequestTelemetry(self.telemetry)
        self._requests = ActiveRequests(upstream)
        self.answers = RequestAnswers(self._requests, guard, self._request_telemetry)
        self.attempts = RequestAttempts(
            upstream,
            clock,
            self.timers,
            guard,
            self._requests,
            self.answers,
            self._request_telemetry,
            self.post,
        )

    @property
    def active_requests(self) -> dict[str, ActiveRequest]:
        """The requests in progress by their ids."""
        return self._requests.by_id

    @property
    def clock_offset_ms(self) -> float:
        """The offset in milliseconds of the clock that measures all times in the engine's state."""
        return self.clock.offset_ms

    # ---- Incoming events

    def submit(self, active: ActiveRequest, request: Request, timeout_ms: float) -> None:
        """Start a client's request, which is answered once through the callbacks of ``active``."""
        active.deadline_ms = self.clock() + timeout_ms
        active.request_class = self._classes.get(request.class_name)
        self._requests.add(active)
        self._request_telemetry.on_received(request)
        self.post(request)

    def is_active(self, request_id: str) -> bool:
        """Whether a request with this id is in progress."""
        return request_id in self._requests.by_id

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Stop an attempt whose large value is not wanted any more, through no fault of its server."""
        self.upstream.stop(attempt, AttemptStatus.CANCELLED)

    def time_out_attempt(self, attempt: Attempt) -> None:
        """Stop an attempt whose large value is not complete after its deadline."""
        self.attempts.stop_late(attempt)

    def client_disconnected(self, request_id: str) -> None:
        """Drop a request whose client has closed its connection, unless the request is answered."""
        active = self._requests.by_id.get(request_id)
        if active and not active.is_answered:
            active.state = RequestState.CLIENT_LEFT
            self._request_telemetry.on_client_left(active)
            self._requests.check_after_event(active)
            self.post(ClientDisconnected(request_id))

    def export_state(self) -> dict[str, Any]:
        """Return the engine's state for a process that takes over."""
        self.post(ExportState())
        return self._last_snapshot

    def restore_state(self, state: dict[str, Any]) -> bool:
        """Restore the state of the previous process; return whether the engine could take it over."""
        self.post(RestoreState(state))
        return self.engine.has_peer_process

    def post(self, event: Event) -> None:
        """Queue an event, and handle all queued events unless that is already under way.

        Handling is never re-entrant: an event that an action causes at once (such as a refused connection)
        waits until the actions before it are carried out.
        """
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_handling = False

    def _handle(self, event: Event) -> None:
        try:
            for action in self.engine.handle(self.clock(), event):
                self._perform(action)
        except Exception:  # an engine failure on one request must not end the others
            log.exception("policy engine failed event=%r", event)
            request_id = getattr(event, "request_id", None)
            if isinstance(request_id, str):
                self.answers.fail(Fail(request_id))
        self._requests.end_answered()

    # ---- Outgoing actions

    def _perform(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self.attempts.start(action)
            case SetTimer():
                self.timers.call_at(self.clock() + action.delay_ms, self.post, TimerFired(action.token))
            case CancelAttempt():
                self.attempts.cancel(action)
            case Reject():
                self.answers.reject(action)
            case Fail():
                self.answers.fail(action)
            case LogMessage():
                log.info("%s", action.text)
            case StateSnapshot():
                self._last_snapshot = action.state
            case _:
                self._perform_on_environment(action)

    def _perform_on_environment(self, action: Action) -> None:
        """Carry out an action that belongs to no request: on connections, discovery or the peer process."""
        match action:
            case CloseIdle():
                self.upstream.close_idle(action.server)
            case SetServerDetached():
                self.upstream.set_detached(action.server, action.detached)
            case NotifyPeerProcess():
                self._notify_peer(action.usage)
            case Subscribe():
                pass  # the watch on discovery is always open in this driver
            case _:
                log.error("action unsupported action=%r", action)
