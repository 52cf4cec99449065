"""Feedback from attempts to the mechanisms: when one starts, when it becomes slow and when it ends."""

from quota_gateway.model.endpoint_state import DetectedOutlier, EndpointState
from quota_gateway.model.events import AttemptStatus, Outcome
from quota_gateway.model.pending_request import PendingRequest, RunningAttempt
from quota_gateway.policy.decision_log import DecisionLog
from quota_gateway.policy.mechanisms import Mechanisms


class AttemptFeedback:
    """Updates the mechanisms as attempts proceed; logs each outlier and adds a standby endpoint for it."""

    def __init__(self, mechanisms: Mechanisms, log: DecisionLog) -> None:
        self._clock = mechanisms.clock
        self._ceiling = mechanisms.ceiling
        self._retry_budget = mechanisms.retry_budget
        self._concurrency = mechanisms.concurrency
        self._latencies = mechanisms.latencies
        self._balancer = mechanisms.balancer
        self._outliers = mechanisms.outliers
        self._endpoints = mechanisms.endpoints
        self._log = log

    def on_start(self, pending: PendingRequest, endpoint: EndpointState, is_free: bool) -> int:
        """Record a new attempt, and return its number.

        It counts in the retry budget and the concurrency limit. A first attempt is charged to the ceiling.
        """
        number = pending.start_attempt(endpoint, self._clock.now_ms)
        if number == 0:
            self._ceiling.charge(pending)
        self._retry_budget.on_start(number, is_free)
        self._clock.on_attempt()
        self._concurrency.on_start(pending.request.request_id, number)
        return number

    def on_slow_timer(self, pending: PendingRequest, number: int) -> None:
        """Stop counting an attempt under the concurrency limit, as it has become slow."""
        self._concurrency.on_end(pending.request.request_id, number)

    def on_slow_attempt(self, pending: PendingRequest, endpoint: EndpointState) -> None:
        """Count a slow attempt in flight as a failure of its endpoint, before its outcome is known."""
        self._on_outlier(self._outliers.on_slow_attempt(pending, endpoint))

    def on_outcome(self, pending: PendingRequest, attempt: RunningAttempt, event: Outcome) -> None:
        """Update limits, failure rates, load and latencies with the outcome of an attempt."""
        endpoint = attempt.endpoint
        self._concurrency.on_end(event.request_id, event.attempt)
        self._on_outlier(self._outliers.on_outcome(pending, endpoint, event.status))
        self._balancer.on_load_report(endpoint, event.load)
        if event.status is AttemptStatus.OK:
            latency_ms = event.latency_ms - self._latencies.size_extra_ms(pending)
            self._concurrency.on_response(pending.request_class, latency_ms)
            self._balancer.on_response(pending.request_class, endpoint, latency_ms)
            self._latencies.record(pending, endpoint, event.latency_ms)

    def _on_outlier(self, outlier: DetectedOutlier | None) -> None:
        if outlier:
            self._endpoints.replace(outlier.endpoint)
            server, scope = outlier.endpoint.id, outlier.key or "all"
            self._log.log_message_once(
                f"outlier detected server={server} scope={scope!r} reason={outlier.reason}"
            )
