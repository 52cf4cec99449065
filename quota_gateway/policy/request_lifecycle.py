"""The lifecycle of a pending request, from its arrival to its last outcome: docs/decisions/engine.md."""

from typing import NamedTuple

from quota_gateway.model import actions, events
from quota_gateway.model.actions import Action, AnswerReason
from quota_gateway.model.endpoint_state import EndpointState
from quota_gateway.model.events import AttemptStatus
from quota_gateway.model.pending_request import PendingRequest, RequestState, RunningAttempt
from quota_gateway.model.timers import (
    AttemptLate,
    AttemptSlow,
    DeadlineReached,
    QueueTimeout,
    RequestTimer,
    WaitOver,
)
from quota_gateway.policy.admission import Admission, Admitted, Rejected
from quota_gateway.policy.attempt_feedback import AttemptFeedback
from quota_gateway.policy.customer_usage import CustomerUsage
from quota_gateway.policy.executed_requests import ExecutedRequests
from quota_gateway.policy.give_up import GiveUp, GiveUpRules
from quota_gateway.policy.pending_queue import PendingQueue
from quota_gateway.policy.request_timers import RequestTimers
from quota_gateway.policy.retries import (
    NEVER_EXECUTED,
    Hedge,
    InFlightDecision,
    Retry,
    RetryRules,
    is_retry_harmless,
)
from quota_gateway.policy.scheduling import Scheduler, StartNow, Wait

#: Maps each state in which the transition is allowed to the state that follows.
Transition = dict[RequestState, RequestState]

DELAY: Transition = {RequestState.ADMITTED: RequestState.DELAYED}
ENQUEUE: Transition = {
    RequestState.ADMITTED: RequestState.QUEUED,
    RequestState.DELAYED: RequestState.QUEUED,
    RequestState.STREAMING: RequestState.STREAMING,
}
START_ATTEMPT: Transition = {
    RequestState.ADMITTED: RequestState.IN_FLIGHT,
    RequestState.DELAYED: RequestState.IN_FLIGHT,
    RequestState.QUEUED: RequestState.IN_FLIGHT,
    RequestState.IN_FLIGHT: RequestState.IN_FLIGHT,
    RequestState.STREAMING: RequestState.STREAMING,
}
START_STREAM: Transition = {
    RequestState.DELAYED: RequestState.STREAMING,
    RequestState.QUEUED: RequestState.STREAMING,
    RequestState.IN_FLIGHT: RequestState.STREAMING,
    RequestState.STREAMING: RequestState.STREAMING,
    RequestState.ANSWERED: RequestState.ANSWERED_BY_STREAM,
    RequestState.ANSWERED_BY_STREAM: RequestState.ANSWERED_BY_STREAM,
}
ANSWER: Transition = {
    RequestState.ADMITTED: RequestState.ANSWERED,
    RequestState.DELAYED: RequestState.ANSWERED,
    RequestState.QUEUED: RequestState.ANSWERED,
    RequestState.IN_FLIGHT: RequestState.ANSWERED,
    RequestState.STREAMING: RequestState.ANSWERED_BY_STREAM,
    RequestState.ANSWERED: RequestState.ANSWERED,
    RequestState.ANSWERED_BY_STREAM: RequestState.ANSWERED_BY_STREAM,
}


class RequestRules(NamedTuple):
    """The rules that decide on a request: admission, scheduling, retries and giving up."""

    admission: Admission
    scheduler: Scheduler
    retries: RetryRules
    give_up: GiveUpRules


class RequestLifecycle:
    """Moves each pending request through its states, as events and the decisions of the rules demand.

    Attributes:
        requests: Pending requests by id, kept until they are answered and have no attempt in flight.
    """

    def __init__(
        self,
        rules: RequestRules,
        queue: PendingQueue,
        feedback: AttemptFeedback,
        usage: CustomerUsage,
        timers: RequestTimers,
        executed_requests: ExecutedRequests,
        output: list[Action],
        can_cancel: bool,
    ) -> None:
        self._rules = rules
        self._queue = queue
        self._feedback = feedback
        self._usage = usage
        self._timers = timers
        self._executed_requests = executed_requests
        self._output = output
        self._can_cancel = can_cancel
        self.requests: dict[str, PendingRequest] = {}

    def on_request(self, request: events.Request) -> None:
        """Admit or reject a request, unless one with the same id is pending.

        The second request is ignored: its rejection would be taken as the answer to the first. One that may
        have run before fails, as a rejection would promise that it has not.
        """
        if request.request_id in self.requests:
            return
        repeated = self._rules.give_up.on_repeated_request(request)
        if repeated:
            self._output.append(actions.Fail(request.request_id, repeated.reason))
            return
        decision = self._rules.admission.admit(request)
        match decision:
            case Rejected():
                retry_after_ms = decision.retry_after_ms or 0.0
                self._output.append(actions.Reject(request.request_id, retry_after_ms, decision.reason))
            case Admitted():
                self._on_admitted(decision.pending, decision.delay_ms)

    def _on_admitted(self, pending: PendingRequest, delay_ms: float) -> None:
        self.requests[pending.request.request_id] = pending
        self._timers.arm_deadline(pending)
        if delay_ms > 0.0:
            self._move(pending, DELAY)
            self._timers.arm_delay(pending, delay_ms)
        else:
            self._schedule(pending)

    def release_queued(self) -> None:
        """Schedule the queued requests again, the most valuable first, as some may now be able to start."""
        for pending in self._queue.by_value():
            if not pending.is_answered:
                self._schedule(pending)

    def _schedule(self, pending: PendingRequest) -> None:
        decision = self._rules.scheduler.schedule(pending)
        match decision:
            case StartNow():
                self._queue.discard(pending.request.request_id)
                self.start_attempt(pending, decision.endpoint)
            case Wait():
                self._enqueue(pending, decision.min_wait_ms)
            case GiveUp():
                self._answer(pending, decision.reason)

    def _enqueue(self, pending: PendingRequest, min_wait_ms: float | None) -> None:
        if self._queue.add(pending):
            self._move(pending, ENQUEUE)
            self._timers.arm_queue_timeout(pending)
        shed = self._rules.give_up.on_enqueued()
        if shed:
            self._answer(shed.pending, shed.reason)
        if min_wait_ms is not None and not pending.is_answered:
            self._timers.arm_wait(pending, min_wait_ms)

    def start_attempt(self, pending: PendingRequest, endpoint: EndpointState, is_free: bool = False) -> None:
        """Start an attempt; a retry or hedged request is charged to the retry budget unless ``is_free``."""
        self._move(pending, START_ATTEMPT)
        number = self._feedback.on_start(pending, endpoint, is_free)
        self._usage.notify_peer(pending)
        self._output.append(actions.StartAttempt(pending.request.request_id, endpoint.id))
        self._timers.arm_slow_attempt(pending, number)

    def on_timer(self, timer: RequestTimer) -> None:
        """Handle a request timer that has fired."""
        pending = timer.pending
        match timer:
            case AttemptSlow():
                self._on_slow_attempt(pending, timer.attempt)
            case AttemptLate():
                self._on_late_attempt(pending, timer.attempt)
            case WaitOver():
                if not pending.is_answered and not pending.attempts:
                    self._schedule(pending)
            case QueueTimeout():
                self._give_up(pending, self._rules.give_up.at_queue_timeout(pending))
            case DeadlineReached():
                self._give_up(pending, self._rules.give_up.at_deadline(pending))

    def _on_slow_attempt(self, pending: PendingRequest, number: int) -> None:
        self._feedback.on_slow_timer(pending, number)
        attempt = pending.in_flight.get(number)
        if attempt is None or pending.is_streaming:
            return
        self._feedback.on_slow_attempt(pending, attempt.endpoint)
        self._timers.arm_late_attempt(pending, number)
        decision = self._rules.retries.after_slowness(pending, attempt)
        match decision:
            case Hedge():
                self.start_attempt(pending, decision.endpoint)
            case InFlightDecision.CANCEL_AND_RETRY:
                self._output.append(actions.CancelAttempt(pending.request.request_id, number))

    def _on_late_attempt(self, pending: PendingRequest, number: int) -> None:
        attempt = pending.in_flight.get(number)
        if attempt:
            self._give_up(pending, self._rules.give_up.on_late_attempt(pending, attempt))

    def on_outcome(self, event: events.Outcome) -> None:
        """Record the outcome of an attempt; after a failure, retry the request, answer it or wait."""
        pending = self.requests.get(event.request_id)
        if pending is None or event.attempt not in pending.in_flight:
            return
        attempt = pending.end_attempt(event.attempt, event.status)
        pending.may_have_run |= event.status not in NEVER_EXECUTED
        self._usage.notify_peer(pending)
        if event.usage_percent is not None:
            self._usage.on_usage_report(pending, event.usage_percent)
        self._feedback.on_outcome(pending, attempt, event)
        self._after_outcome(pending, attempt, event)
        self._drop_if_done(pending)
        self.release_queued()

    def _after_outcome(self, pending: PendingRequest, attempt: RunningAttempt, event: events.Outcome) -> None:
        is_ok = event.status is AttemptStatus.OK
        if is_ok and event.final_units is not None and not pending.is_answered:
            self._usage.settle(pending, event.final_units)
        if is_ok or event.closed:
            self._move(pending, ANSWER)
        if pending.is_answered:
            return
        decision = self._rules.retries.after_failure(pending, event.status, attempt)
        match decision:
            case Retry():
                self.start_attempt(pending, decision.endpoint, decision.is_free)
            case GiveUp():
                self._answer(pending, decision.reason)

    def on_stream_started(self, event: events.StreamStarted) -> None:
        """Cancel the other attempts of the request, if permitted, as the client receives this reply."""
        pending = self.requests.get(event.request_id)
        if pending:
            self._move(pending, START_STREAM)
            self._cancel_attempts(pending, kept=event.attempt)

    def on_client_disconnected(self, event: events.ClientDisconnected) -> None:
        """Close the request of a client that has disconnected, as it needs no answer any more."""
        pending = self.requests.get(event.request_id)
        if pending and not pending.is_answered:
            self._close(pending)

    def on_shutdown_started(self, event: events.ShutdownStarted) -> None:
        """Shorten the deadlines that are later than the end of this process to the time of that end."""
        shutdown = self._timers.shutdown
        shutdown.on_shutdown_started(event)
        for pending in list(self.requests.values()):
            if not pending.is_answered and shutdown.precedes(pending.deadline_ms):
                self._timers.arm_deadline(pending)

    def _give_up(self, pending: PendingRequest, decision: GiveUp | None) -> None:
        if decision:
            self._answer(pending, decision.reason)

    def _answer(self, pending: PendingRequest, reason: AnswerReason) -> None:
        """Give the final answer: a rejection if a retry is harmless, else a failure."""
        if pending.is_answered:
            return
        request_id = pending.request.request_id
        if is_retry_harmless(pending):
            self._output.append(actions.Reject(request_id, reason=reason))
        else:
            self._output.append(actions.Fail(request_id, reason))
        self._close(pending)

    def _close(self, pending: PendingRequest) -> None:
        self._move(pending, ANSWER)
        self._cancel_attempts(pending)
        self._drop_if_done(pending)

    def _cancel_attempts(self, pending: PendingRequest, kept: int | None = None) -> None:
        if self._can_cancel:
            for number in pending.in_flight:
                if number != kept:
                    self._output.append(actions.CancelAttempt(pending.request.request_id, number))

    def _drop_if_done(self, pending: PendingRequest) -> None:
        """Remove an answered request without an attempt in flight.

        If no attempt of it was delivered, its units are taken out of the excess again.
        """
        if not pending.is_answered:
            return
        request_id = pending.request.request_id
        self._queue.discard(request_id)
        if not pending.in_flight and request_id in self.requests:
            del self.requests[request_id]
            self._executed_requests.remember(pending)
            if not pending.was_delivered:
                self._usage.settle(pending, 0.0)
            self._timers.drop(pending)

    @staticmethod
    def _move(pending: PendingRequest, transition: Transition) -> None:
        pending.state = transition[pending.state]
