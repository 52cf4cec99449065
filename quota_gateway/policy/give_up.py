"""Giving up: when a request that was admitted is answered without being served: docs/decisions/engine.md."""

from typing import NamedTuple

from quota_gateway.model.actions import AnswerReason
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
    """What ends a request besides admission, scheduling and failed attempts; None where it goes on."""

    def __init__(self, mechanisms: Mechanisms) -> None:
        self._concurrency = mechanisms.concurrency
        self._queue = mechanisms.queue
        self._latencies = mechanisms.latencies
        self._endpoints = mechanisms.endpoints

    def at_deadline(self, pending: PendingRequest) -> GiveUp | None:
        """Give up as the client's deadline or the end of this process is near, unless a reply is streamed."""
        return None if pending.is_streaming else GiveUp(AnswerReason.DEADLINE)

    def at_queue_timeout(self, pending: PendingRequest) -> GiveUp | None:
        """Give up a waiting request that will miss its objective; without a ready endpoint it waits on."""
        has_ready_endpoint = any(endpoint.is_ready for endpoint in self._endpoints.by_id.values())
        is_waiting = pending.attempts == 0
        return GiveUp(AnswerReason.QUEUE_TIMEOUT) if is_waiting and has_ready_endpoint else None

    def on_late_attempt(self, pending: PendingRequest, attempt: RunningAttempt) -> GiveUp | None:
        """Give up if an attempt in flight beyond the objective is presumed lost and nothing is streamed."""
        if pending.is_streaming or not self._latencies.is_presumed_lost(pending, attempt.started_ms):
            return None
        return GiveUp(AnswerReason.ATTEMPT_PRESUMED_LOST)

    def on_enqueued(self) -> Shed | None:
        """Shed one if more are queued than may be in flight; without any known endpoint there is no bound."""
        if not self._endpoints.by_id:
            return None
        pending = self._queue.to_shed(self._concurrency.limit)
        return Shed(pending, AnswerReason.SHED) if pending else None
