"""Starts, cancels and times out the attempts of requests, each of which reports one outcome."""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial

from quota_gateway.model import (
    AttemptStatus,
    CancelAttempt,
    Event,
    Outcome,
    StartAttempt,
    StreamStarted,
)
from quota_gateway.net.active_request import ActiveAttempt, ActiveRequest, ExecutedAttempt, RequestState
from quota_gateway.net.active_requests import ActiveRequests
from quota_gateway.net.request_answers import RequestAnswers
from quota_gateway.net.request_guard import RequestGuard
from quota_gateway.net.request_telemetry import RequestTelemetry
from quota_gateway.net.timer_queue import TimerQueue
from quota_gateway.net.upstream.attempt import (
    Attempt,
    BodyConsumer,
    EncodedCommand,
    UpstreamReply,
    discard_piece,
)
from quota_gateway.net.upstream.host import UpstreamHost
from quota_gateway.net.upstream.pool import UpstreamPool
from quota_gateway.policy.retries import NEVER_EXECUTED

log = logging.getLogger(__name__)

# Grace period after the deadline for a large value that waits for the replies before it. The time for which
# it waits for them does not count; an answer that comes up to 0.5 s after its time is not lost.
OVERDUE_GRACE_MS = 400.0

UNLISTED_HOST = UpstreamHost()  # placeholder for a server that is no longer listed


class RequestAttempts:
    """Carries out the policy engine's decisions on attempts, and posts the outcome of each attempt.

    Args:
        upstream: Sends the attempts to their servers.
        clock: The gateway's clock, in milliseconds.
        timers: Ends attempts at their deadlines.
        guard: Checks each attempt against what the sockets have observed.
        requests: The requests in progress.
        answers: Answers clients with the values that attempts deliver.
        telemetry: Counts attempts and their outcomes.
        post: Passes an event to the policy engine.
    """

    def __init__(
        self,
        upstream: UpstreamPool,
        clock: Callable[[], float],
        timers: TimerQueue,
        guard: RequestGuard,
        requests: ActiveRequests,
        answers: RequestAnswers,
        telemetry: RequestTelemetry,
        post: Callable[[Event], None],
    ) -> None:
        self.clock = clock
        self._upstream = upstream
        self._timers = timers
        self._guard = guard
        self._requests = requests
        self._answers = answers
        self._telemetry = telemetry
        self._post = post

    def start(self, action: StartAttempt) -> None:
        """Start an attempt if the guard allows it; else report that it was not sent."""
        request = self._requests.by_id.get(action.request_id)
        if request is None:
            log.error("attempt started after request end action=%r", action)
            return
        active = self._create_active_attempt(request, action)
        self._telemetry.on_attempt_started(request, action.server)
        if not self._guard.may_start(active):
            self._report_outcome(active, UpstreamReply(AttemptStatus.NOT_SENT))
            return
        attempt = self._create_upstream_attempt(active)
        if active.number:
            self._telemetry.on_retry(request)
        request.attempts[active.number] = attempt
        request.executions[active.number] = active.execution
        self._upstream.start(action.server, attempt)
        if active.number in request.attempts:
            self._timers.call_at(active.deadline_ms, self.time_out, attempt)

    def cancel(self, action: CancelAttempt) -> None:
        """Stop an attempt; its outcome is still reported."""
        request = self._requests.by_id.get(action.request_id)
        attempt = request.attempts.get(action.attempt) if request else None
        if request is None or attempt is None:
            return
        if request.state is RequestState.CLIENT_LEFT:
            # An attempt that never connected ends with NOT_SENT here, as it is no failure of the server.
            self._upstream.cancel_unsent(attempt)
        self._upstream.stop(attempt, AttemptStatus.CANCELLED)

    def time_out(self, attempt: Attempt) -> None:
        """End an attempt at its deadline, unless a large value that has begun may continue."""
        if attempt.body_consumer is None or attempt.on_deadline():
            self.stop_late(attempt)
        else:
            self._timers.call_at(self.clock() + OVERDUE_GRACE_MS, self._end_grace, attempt)

    def _end_grace(self, attempt: Attempt) -> None:
        if attempt.on_grace_over():
            self.stop_late(attempt)

    def stop_late(self, attempt: Attempt) -> None:
        """Stop an attempt after its deadline; if this gateway has paused it, its server is not to blame."""
        status = AttemptStatus.CANCELLED if attempt.was_paused else AttemptStatus.TIMEOUT
        self._upstream.stop(attempt, status)

    def _create_active_attempt(self, request: ActiveRequest, action: StartAttempt) -> ActiveAttempt:
        """Create the next attempt of a request, with the client's deadline or an earlier one."""
        number = request.attempt_count
        request.attempt_count += 1
        now_ms = self.clock()
        deadline_ms = request.deadline_ms
        if action.timeout_ms:
            deadline_ms = min(deadline_ms, now_ms + action.timeout_ms)
        host = self._upstream.hosts.get(action.server, UNLISTED_HOST)
        execution = ExecutedAttempt(number, now_ms, host.zone, host.cell)
        return ActiveAttempt(request, execution, action.server, deadline_ms)

    def _create_upstream_attempt(self, active: ActiveAttempt) -> Attempt:
        """Create the object that the upstream pool works on: the attempt's command and its callbacks."""
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

    def _encode_again(self, active: ActiveAttempt) -> EncodedCommand:
        """Encode the command again with its remaining timeout, because connecting may have taken a while."""
        active.encoded_ms = self.clock()
        return active.request.encode(active.deadline_ms - active.encoded_ms)

    def _on_body_started(self, active: ActiveAttempt, length_bytes: int) -> BodyConsumer:
        """Answer the client with a large value from its header on, unless it has an answer already."""
        request = active.request
        attempt = active.attempt
        assert attempt is not None
        if request.is_answered or request.on_body_started is None:
            self._upstream.stop(attempt, AttemptStatus.CANCELLED)
            return discard_piece
        self._answers.start_streaming(request)
        active.first_byte_latency_ms = self.clock() - active.started_ms
        body_writer = request.on_body_started(length_bytes, attempt)
        request.body_writer = body_writer
        attempt.on_deadline = body_writer.on_deadline
        attempt.on_grace_over = body_writer.on_grace_over
        self._requests.check_after_event(request)
        self._post(
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
        """Post the outcome of an attempt, after passing its value to the client if the client still waits."""
        request = active.request
        self._telemetry.on_attempt_ended(request, reply.status)
        if reply.value is not None:
            self._answers.serve(request, reply.value)
        self._requests.check_after_event(request)
        self._post(
            Outcome(
                request.request_id,
                active.number,
                active.server,
                reply.status,
                min(active.first_byte_latency_ms, self.clock() - active.started_ms),
                request.is_answered,
                reply.usage_percent,
                reply.final_units,
                reply.load,
            )
        )
