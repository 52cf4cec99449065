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
    """Decides whether a timer or a full queue ends an admitted request; None if the request goes on."""

    def __init__(self, mechanisms: Mechanisms) -> None:
        self._concurrency = mechanisms.concurrency
        self._queue = mechanisms.queue
        self._latencies = mechanisms.latencies
        self._endpoints = mechanisms.endpoints

    def at_deadline(self, pending: PendingRequest) -> GiveUp | None:
        """Give up: the client's deadline or the end of this process is near. A streamed reply goes on."""
        return None if pending.is_streaming else GiveUp(AnswerReason.DEADLINE)

    def at_queue_timeout(self, pending: PendingRequest) -> GiveUp | None:
        """Give up a request without an attempt, as one started now would miss the latency objective.

        While no endpoint is ready it stays queued, up to its deadline.
        """
        has_ready_endpoint = any(endpoint.is_ready for endpoint in self._endpoints.by_id.values())
        is_waiting = pending.attempts == 0
        return GiveUp(AnswerReason.QUEUE_TIMEOUT) if is_waiting and has_ready_endpoint else None

    def on_late_attempt(self, pending: PendingRequest, attempt: RunningAttempt) -> GiveUp | None:
        """Give up if an attempt in flight beyond the latency objective is also presumed lost."""
        if pending.is_streaming or not self._latencies.is_presumed_lost(pending, attempt.started_ms):
            return None
        return GiveUp(AnswerReason.ATTEMPT_PRESUMED_LOST)

    def on_enqueued(self) -> Shed | None:
        """Shed the least valuable request if more are queued than the concurrency limit allows in flight.

        Before any endpoint is known the queue has no bound.
        """
        if not self._endpoints.by_id:
            return None
        pending = self._queue.to_shed(self._concurrency.limit)
        return Shed(pending, AnswerReason.SHED) if pending else None
