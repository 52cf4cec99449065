"""Between the sockets and the policy engine: events in, actions out, timers, one outcome for each attempt."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from functools import partial
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
    Outcome,
    Reject,
    Request,
    RestoreState,
    SetServerDetached,
    SetTimer,
    StartAttempt,
    StateSnapshot,
    StreamStarted,
    Subscribe,
    TimerFired,
)
from quota_gateway.net.active_request import ActiveAttempt, ActiveRequest, BodyWriter, ExecutedAttempt
from quota_gateway.net.clock import Clock
from quota_gateway.net.handover.peer_processes import UsageListener
from quota_gateway.net.request_guard import RequestGuard
from quota_gateway.net.timer_queue import TimerQueue
from quota_gateway.net.upstream.attempt import Attempt, BodyConsumer, UpstreamReply, discard_piece
from quota_gateway.net.upstream.host import UpstreamHost
from quota_gateway.net.upstream.pool import UpstreamPool
from quota_gateway.policy.engine import PolicyEngine
from quota_gateway.policy.retries import NEVER_EXECUTED
from quota_gateway.telemetry import Invariant, Metric

__all__ = ["CLIENT_MARGIN_MS", "ActiveRequest", "BodyWriter", "Clock", "Driver"]

log = logging.getLogger(__name__)

FAILED_REPLY = b"-ERR failed\r\n"
NO_HOST = UpstreamHost()  # of an attempt at a server that is not listed any more
CLIENT_MARGIN_MS = 10.0  # kept of a client's timeout: the way here and back, and a loop that is late


class Driver:
    """Drives one ``PolicyEngine``: hands it events one after the other and carries out its actions.

    Args:
        engine: Decides on each event.
        upstream: Carries the attempts.
        clock: The gateway's clock.
        notify_peer: Passes usage on to the other process of this gateway, if there is one.
    """

    def __init__(
        self,
        engine: PolicyEngine,
        upstream: UpstreamPool,
        clock: Clock,
        notify_peer: UsageListener,
    ) -> None:
        self.engine = engine
        self.upstream = upstream
        self.clock = clock
        self.active_requests: dict[str, ActiveRequest] = {}
        self.timers = TimerQueue(clock)
        self.telemetry = upstream.telemetry
        self._classes = {item.name: item for item in engine.settings.classes}
        self._guard = RequestGuard(engine.settings, upstream.hosts, clock, self.telemetry)
        self._notify_peer = notify_peer
        self._events: deque[Event] = deque()
        self._is_handling = False
        self._maybe_over: list[ActiveRequest] = []  # looked at once the actions of the event are carried out
        self._exported_state: dict[str, Any] = {}  # as the engine gave it last
        # Any: each method takes the one type of action that it stands beside.
        self._action_handlers: dict[type, Callable[[Any], None]] = {
            StartAttempt: self._start_attempt,
            Reject: self._reject,
            Fail: self._fail,
            CancelAttempt: self._cancel_attempt,
            SetTimer: self._set_timer,
            LogMessage: self._log_message,
            CloseIdle: self._close_idle,
            SetServerDetached: self._set_server_detached,
            Subscribe: self._subscribe,
            StateSnapshot: self._keep_snapshot,
            NotifyPeerProcess: self._notify_peer_process,
        }

    @property
    def clock_offset_ms(self) -> float:
        """The offset of the clock by which all times of the engine's state are."""
        return self.clock.offset_ms

    # ---- Events in

    def post(self, event: Event) -> None:
        """Queue an event and handle all that are queued.

        Never re-entrant: what an action gives rise to at once (a connection that is refused) waits until the
        actions before it are carried out.
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
        except Exception:  # one request that the engine fails on must not take the others along
            log.exception("policy engine failed event=%r", event)
            request_id = getattr(event, "request_id", None)
            if isinstance(request_id, str):
                self._fail(Fail(request_id))
        while self._maybe_over:  # behind the actions, which may cancel an attempt themselves
            self._end_if_answered(self._maybe_over.pop())

    def _perform(self, action: Action) -> None:
        handler = self._action_handlers.get(type(action))
        if handler:
            handler(action)
        else:
            log.error("action unsupported action=%r", action)

    def submit(self, active: ActiveRequest, request: Request, timeout_ms: float) -> None:
        """Take a client's request; it is answered once, through the callbacks of ``active``."""
        active.deadline_ms = self.clock() + timeout_ms
        active.request_class = self._classes.get(request.class_name)
        self.active_requests[active.request_id] = active
        self.telemetry.trace.add(active.request_id, "received", request.class_name)
        self.post(request)

    def client_disconnected(self, request_id: str) -> None:
        """The client closed its connection: nothing more is owed."""
        active = self.active_requests.get(request_id)
        if active and not active.answered:
            active.answered = True
            active.client_left = True
            self.telemetry.metrics.count(Metric.ANSWERS, "client_left")
            self.telemetry.trace.add(request_id, "client left")
            self._maybe_over.append(active)
            self.post(ClientDisconnected(request_id))

    def export_state(self) -> dict[str, Any]:
        """Return the engine's state for a process that takes over."""
        self.post(ExportState())
        return self._exported_state

    def restore_state(self, state: dict[str, Any]) -> bool:
        """Hand the engine the state of the process before; return whether it could take it over."""
        self.post(RestoreState(state))
        return self.engine.has_peer_process

    # ---- Attempts

    def _start_attempt(self, action: StartAttempt) -> None:
        request = self.active_requests.get(action.request_id)
        if request is None:
            log.error("attempt started after request end action=%r", action)
            return
        active = self._next_attempt(request, action)
        self.telemetry.trace.add(request.request_id, "attempt started", action.server)
        if not self._guard.may_start(active):
            self._report_outcome(active, UpstreamReply(AttemptStatus.NOT_SENT))
            return
        attempt = self._make_attempt(active)
        if active.number:
            self.telemetry.metrics.count(Metric.RETRIES, "hedge" if request.attempts else "failure")
        request.attempts[active.number] = attempt
        request.executions[active.number] = active.execution
        self.upstream.start(action.server, attempt)
        if active.number in request.attempts:
            self.timers.call_at(active.deadline_ms, self._time_out, attempt)

    def _next_attempt(self, request: ActiveRequest, action: StartAttempt) -> ActiveAttempt:
        """Number the next attempt of a request; it ends with the client's time, or before."""
        number = request.attempt_count
        request.attempt_count += 1
        now_ms = self.clock()
        deadline_ms = request.deadline_ms
        if action.timeout_ms:
            deadline_ms = min(deadline_ms, now_ms + action.timeout_ms)
        host = self.upstream.hosts.get(action.server, NO_HOST)
        execution = ExecutedAttempt(number, now_ms, host.zone, host.cell)
        return ActiveAttempt(request, execution, action.server, deadline_ms)

    def _make_attempt(self, active: ActiveAttempt) -> Attempt:
        """What the upstream pool carries of an attempt: its command, and whom it tells."""
        attempt = Attempt(
            active.request.encode(active.deadline_ms - active.started_ms),
            partial(self._on_attempt_done, active),
            partial(self._on_body_started, active),
            partial(self._encode_again, active),
            partial(self._guard.refusal_to_send, active),
            partial(self._guard.on_sent, active),
        )
        active.attempt = attempt
        return attempt

    def _encode_again(self, active: ActiveAttempt) -> bytes:
        """Encode the command with what is left of its time, as connecting may have taken a while."""
        active.encoded_ms = self.clock()
        return active.request.encode(active.deadline_ms - active.encoded_ms)

    def _on_body_started(self, active: ActiveAttempt, length: int) -> BodyConsumer:
        """The first bytes of a large value answer the client, if no other answer has."""
        request = active.request
        attempt = active.attempt
        assert attempt is not None
        if request.answered or request.on_body_started is None:
            self.upstream.stop(attempt, AttemptStatus.CANCELLED)
            return discard_piece
        self._note_answer(request, "streamed")
        request.answered = True
        active.first_byte_latency_ms = self.clock() - active.started_ms
        body_writer = request.on_body_started(length, attempt)
        request.body_writer = body_writer
        attempt.on_deadline = body_writer.on_deadline
        self._maybe_over.append(request)
        self.post(
            StreamStarted(request.request_id, active.number, active.server, active.first_byte_latency_ms)
        )
        return body_writer.take

    def _on_attempt_done(self, active: ActiveAttempt, reply: UpstreamReply) -> None:
        request = active.request
        request.attempts.pop(active.number, None)
        if reply.status in NEVER_EXECUTED:
            request.executions.pop(active.number, None)
        if active.attempt and active.attempt.body_consumer and request.body_writer:
            request.body_writer.end(reply.value is not None)
        self._report_outcome(active, reply)

    def _report_outcome(self, active: ActiveAttempt, reply: UpstreamReply) -> None:
        """Report the outcome of an attempt; a good answer goes to the client first, if it still waits."""
        request = active.request
        self.telemetry.metrics.count(Metric.ATTEMPTS, reply.status.value)
        self.telemetry.trace.add(request.request_id, "attempt ended", reply.status.value)
        if reply.value is not None and not request.answered:
            self._note_answer(request, "served")
            self._answer(request, b"$%d\r\n%b\r\n" % (len(reply.value), reply.value))
        self._maybe_over.append(request)
        self.post(
            Outcome(
                request.request_id,
                active.number,
                active.server,
                reply.status,
                min(active.first_byte_latency_ms, self.clock() - active.started_ms),
                request.answered,
                reply.usage_percent,
                reply.final_units,
                reply.load,
            )
        )

    def _time_out(self, attempt: Attempt) -> None:
        if attempt.body_consumer is None or attempt.on_deadline():
            self.upstream.stop(attempt, AttemptStatus.TIMEOUT)

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        request = self.active_requests.get(action.request_id)
        attempt = request.attempts.get(action.attempt) if request else None
        if request and attempt:
            if request.client_left:  # that it has not come up yet says nothing of its server
                self.upstream.cancel_unsent(attempt)
            self.upstream.stop(attempt, AttemptStatus.CANCELLED)

    # ---- Answers

    def _reject(self, action: Reject) -> None:
        retry_after_ms = round(action.retry_after_ms)
        answer = b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms > 0 else b"-BUSY\r\n"
        request = self.active_requests.get(action.request_id)
        if request and not request.answered and not self._guard.may_reject(request):
            answer = FAILED_REPLY
        self._answer_finally(action.request_id, answer, f"rejected_{action.reason.value}")

    def _fail(self, action: Fail) -> None:
        self._answer_finally(action.request_id, FAILED_REPLY, f"failed_{action.reason.value}")

    def _answer_finally(self, request_id: str, answer: bytes, reason: str) -> None:
        request = self.active_requests.get(request_id)
        if request and not request.answered:
            self._note_answer(request, reason)
            self._answer(request, answer)
            self._maybe_over.append(request)
            if not request.attempts:
                self.active_requests.pop(request_id, None)

    def _answer(self, request: ActiveRequest, answer: bytes) -> None:
        request.answered = True
        request.on_answer(answer)

    def _note_answer(self, request: ActiveRequest, reason: str) -> None:
        """Count a final answer, which has to be the only one."""
        check = self.telemetry.invariants.check
        check(Invariant.ONE_FINAL_ANSWER, not request.answered, request.request_id, reason)
        self.telemetry.metrics.count(Metric.ANSWERS, reason)
        self.telemetry.trace.add(request.request_id, "answered", reason)

    def _end_if_answered(self, request: ActiveRequest) -> None:
        """Once a request is answered, cancel its unsent attempts; forget it when none is in flight.

        An attempt still to be written would go out behind the answer; see docs/decisions/driver.md.
        """
        if not request.answered:
            return
        for attempt in list(request.attempts.values()):
            self.upstream.cancel_unsent(attempt)
        if not request.attempts:
            self.active_requests.pop(request.request_id, None)

    # ---- Other actions

    def _set_timer(self, action: SetTimer) -> None:
        self.timers.call_at(self.clock() + action.delay_ms, self.post, TimerFired(action.token))

    def _log_message(self, action: LogMessage) -> None:
        log.info("%s", action.text)

    def _close_idle(self, action: CloseIdle) -> None:
        self.upstream.close_idle(action.server)

    def _set_server_detached(self, action: SetServerDetached) -> None:
        self.upstream.set_detached(action.server, action.detached)

    def _subscribe(self, action: Subscribe) -> None:
        """Do nothing: the watch of discovery is always open here."""

    def _keep_snapshot(self, action: StateSnapshot) -> None:
        self._exported_state = action.state

    def _notify_peer_process(self, action: NotifyPeerProcess) -> None:
        self._notify_peer(action.usage)
