"""Requests that may have run and must not run again: docs/decisions/retries.md."""

from quota_gateway.model.events import Request
from quota_gateway.model.pending_request import ExecutedRequest, PendingRequest
from quota_gateway.model.settings import Idempotency, IdempotencyScope, RequestClass, Settings
from quota_gateway.policy.clock import DecayClock

MAX_REMEMBERED_REQUESTS = 8192  # far more than a gateway runs within a deadline, in a few MB


class ExecutedRequests:
    """Remembers requests that may have run, unless their class is idempotent, after they have ended.

    A client may send a request again with the same id until its timeout is over, so that each is remembered
    for the longest deadline of all classes. Beyond ``MAX_REMEMBERED_REQUESTS`` the oldest is forgotten.

    Attributes:
        by_id: The requests by id, the one that ended first at the beginning.
    """

    def __init__(self, settings: Settings, clock: DecayClock) -> None:
        self._classes = {item.name: item for item in settings.classes}
        self._retention_ms = max((item.deadline_ms for item in settings.classes), default=0.0)
        self._clock = clock
        self.by_id: dict[str, ExecutedRequest] = {}

    def remember(self, pending: PendingRequest) -> None:
        """Remember a request that has ended, if it may have run and must not run again."""
        if pending.may_have_run and pending.request_class.idempotency is not Idempotency.IDEMPOTENT:
            self._add(pending.request.request_id, self._ended_now(pending))

    def must_not_run(self, request: Request) -> bool:
        """Return whether a request of the same id may have run, and may not be repeated now."""
        executed = self.by_id.get(request.request_id)
        if executed is None or self._is_forgotten(executed):
            return False
        request_class = self._classes.get(request.class_name)
        return request_class is None or not self._is_repeatable(request, request_class, executed)

    def _is_repeatable(
        self, request: Request, request_class: RequestClass, executed: ExecutedRequest
    ) -> bool:
        """Return whether every server recognizes the idempotency key until the request has timed out."""
        if request_class.idempotency is not Idempotency.KEYED:
            return False
        window_end_ms = executed.arrived_ms + request_class.idempotency_window_ms
        is_in_window = self._clock.now_ms + request.timeout_ms <= window_end_ms
        return is_in_window and request_class.idempotency_scope is IdempotencyScope.ALL

    def export(self, pending_requests: list[PendingRequest]) -> dict[str, ExecutedRequest]:
        """Return what the next process has to remember, with the requests that this one still answers.

        An attempt of these may start, or may run, after the next process has begun to serve.
        """
        remembered = {key: value for key, value in self.by_id.items() if not self._is_forgotten(value)}
        for pending in pending_requests:
            if pending.request_class.idempotency is not Idempotency.IDEMPOTENT:
                remembered[pending.request.request_id] = self._ended_now(pending)
        return remembered

    def restore(self, remembered: dict[str, ExecutedRequest]) -> None:
        """Remember what the previous process has exported."""
        for request_id, executed in sorted(remembered.items(), key=lambda item: item[1].ended_ms):
            self._add(request_id, executed)

    def _ended_now(self, pending: PendingRequest) -> ExecutedRequest:
        """Return what is remembered of a request; the window of a keyed one begins with its first run."""
        first = self.by_id.get(pending.request.request_id)
        return ExecutedRequest(first.arrived_ms if first else pending.arrived_ms, self._clock.now_ms)

    def _add(self, request_id: str, executed: ExecutedRequest) -> None:
        self.by_id.pop(request_id, None)
        self.by_id[request_id] = executed
        while self.by_id:
            oldest_id, oldest = next(iter(self.by_id.items()))
            if len(self.by_id) <= MAX_REMEMBERED_REQUESTS and not self._is_forgotten(oldest):
                return
            del self.by_id[oldest_id]

    def _is_forgotten(self, executed: ExecutedRequest) -> bool:
        return self._clock.now_ms - executed.ended_ms > self._retention_ms
