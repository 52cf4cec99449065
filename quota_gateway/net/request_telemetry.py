"""Counts and traces requests and their attempts."""

from __future__ import annotations

from quota_gateway.model import AttemptStatus, Request
from quota_gateway.net.active_request import ActiveRequest
from quota_gateway.telemetry import Invariant, Metric, Telemetry

# Labels of the metrics, which dashboards use.
SERVED_LABEL = "served"
STREAMED_LABEL = "streamed"
CLIENT_LEFT_LABEL = "client_left"
REJECTED_LABEL_PREFIX = "rejected_"
FAILED_LABEL_PREFIX = "failed_"
RETRY_AFTER_FAILURE_LABEL = "failure"
HEDGED_REQUEST_LABEL = "hedge"


class RequestTelemetry:
    """Counts and traces the life of each request, from its arrival to its answer."""

    __slots__ = ("_telemetry",)

    def __init__(self, telemetry: Telemetry) -> None:
        self._telemetry = telemetry

    def on_received(self, request: Request) -> None:
        """Trace a request that a client has sent."""
        self._telemetry.trace.add(request.request_id, "received", request.class_name)

    def on_attempt_started(self, request: ActiveRequest, server: int) -> None:
        """Trace an attempt that the policy engine has decided on."""
        self._telemetry.trace.add(request.request_id, "attempt started", server)

    def on_retry(self, request: ActiveRequest) -> None:
        """Count an attempt after the first: a hedged request while another is in flight, else a retry."""
        label = HEDGED_REQUEST_LABEL if request.attempts else RETRY_AFTER_FAILURE_LABEL
        self._telemetry.metrics.count(Metric.RETRIES, label)

    def on_attempt_ended(self, request: ActiveRequest, status: AttemptStatus) -> None:
        """Count the outcome of an attempt."""
        self._telemetry.metrics.count(Metric.ATTEMPTS, status.value)
        self._telemetry.trace.add(request.request_id, "attempt ended", status.value)

    def on_answer(self, request: ActiveRequest, label: str) -> None:
        """Count a final answer before the request's state changes, and check that it is the only one."""
        check = self._telemetry.invariants.check
        check(Invariant.ONE_FINAL_ANSWER, not request.is_answered, request.request_id, label)
        self._telemetry.metrics.count(Metric.ANSWERS, label)
        self._telemetry.trace.add(request.request_id, "answered", label)

    def on_client_left(self, request: ActiveRequest) -> None:
        """Count a request whose client has left before the answer."""
        self._telemetry.metrics.count(Metric.ANSWERS, CLIENT_LEFT_LABEL)
        self._telemetry.trace.add(request.request_id, "client left")
