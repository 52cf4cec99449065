"""Giving up: decides when an admitted request is answered without being served.

See docs/decisions/engine.md.
"""

from typing import NamedTuple

from quota_gateway.model.actions import AnswerReason
from quota_gateway.model.events import Request
from quota_gateway.model.pending_request import PendingRequest, RunningAttempt
from quota_gateway.policy.mechanisms import Mechanisms


class GiveUp(NamedTuple):
    """The request is answered now, by a rejection or a failure."""

    reason: AnswerReason


class Shed(NamedTuple):
    """A queued request is answered to keep the queue within its bound."""

    pending: PendingRequest
    reason: AnswerReason


class GiveUpRules:
    """Decides for repeated requests, at timeouts, for late attempts and for a full queue what is given up.

    A method returns None if no request is given up. Admission, scheduling and retries decide on other cases.
    """

    def __init__(self, mechanisms: Mechanisms) -> None:
        self._concurrency = mechanisms.concurrency
        self._queue = mechanisms.queue
        self._latencies = mechanisms.latencies
        self._endpoints = mechanisms.endpoints
        self._executed_requests = mechanisms.executed_requests

    def on_repeated_request(self, request: Request) -> GiveUp | None:
        """Give up an arriving request that may have run before and must not run again."""
        must_not_run = self._executed_requests.must_not_run(request)
        return GiveUp(AnswerReason.REPEATED_REQUEST) if must_not_run else None

    def at_deadline(self, pending: PendingRequest) -> GiveUp | None:
        """Give up just before the deadline or the end of this process, unless a reply is being streamed."""
        return None if pending.is_streaming else GiveUp(AnswerReason.DEADLINE)

    def at_queue_timeout(self, pending: PendingRequest) -> GiveUp | None:
        """Give up a waiting request that will miss its objective, unless no endpoint is ready."""
        has_ready_endpoint = any(endpoint.is_ready for endpoint in self._endpoints.by_id.values())
        is_waiting = pending.attempts == 0
        return GiveUp(AnswerReason.QUEUE_TIMEOUT) if is_waiting and has_ready_endpoint else None

    def on_late_attempt(self, pending: PendingRequest, attempt: RunningAttempt) -> GiveUp | None:
        """Give up if an attempt in flight beyond the objective is presumed lost and no reply is streamed."""
        if pending.is_streaming or not self._latencies.is_presumed_lost(pending, attempt.started_ms):
            return None
        return GiveUp(AnswerReason.ATTEMPT_PRESUMED_LOST)

    def on_enqueued(self) -> Shed | None:
        """Shed a request if more are queued than may be in flight, unless no endpoint is known."""
        if not self._endpoints.by_id:
            return None
        pending = self._queue.to_shed(self._concurrency.limit)
        return Shed(pending, AnswerReason.SHED) if pending else None
