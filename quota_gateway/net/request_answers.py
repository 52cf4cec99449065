"""The one final answer of each request: a value, a rejection or a failure, in the client's protocol."""

from __future__ import annotations

from quota_gateway.model import Fail, Reject
from quota_gateway.net.active_request import ActiveRequest, RequestState
from quota_gateway.net.active_requests import ActiveRequests
from quota_gateway.net.client_replies import FAILED_REPLY, encode_busy, encode_value
from quota_gateway.net.request_guard import RequestGuard
from quota_gateway.net.request_telemetry import (
    FAILED_LABEL_PREFIX,
    REJECTED_LABEL_PREFIX,
    SERVED_LABEL,
    STREAMED_LABEL,
    RequestTelemetry,
)


class RequestAnswers:
    """Gives each request its final answer; answers after the first are dropped."""

    def __init__(self, requests: ActiveRequests, guard: RequestGuard, telemetry: RequestTelemetry) -> None:
        self._requests = requests
        self._guard = guard
        self._telemetry = telemetry

    def reject(self, action: Reject) -> None:
        """Tell the client that it may safely send the request again, and after how many milliseconds.

        If the guard does not allow a rejection, the reply is a failure; the answer is still counted as
        rejected.
        """
        reply = encode_busy(action.retry_after_ms)
        request = self._requests.by_id.get(action.request_id)
        if request and not request.is_answered and not self._guard.may_reject(request):
            reply = FAILED_REPLY
        self._answer_unserved(action.request_id, reply, REJECTED_LABEL_PREFIX + action.reason.value)

    def fail(self, action: Fail) -> None:
        """Tell the client that the request failed, and promise nothing about its effect."""
        self._answer_unserved(action.request_id, FAILED_REPLY, FAILED_LABEL_PREFIX + action.reason.value)

    def serve(self, request: ActiveRequest, value: bytes) -> None:
        """Answer with the complete value of a server, unless the request is answered already."""
        if request.is_answered:
            return
        self._telemetry.on_answer(request, SERVED_LABEL)
        self.send(request, encode_value(value))

    def start_streaming(self, request: ActiveRequest) -> None:
        """Count a large value as the answer, from its header on."""
        self._telemetry.on_answer(request, STREAMED_LABEL)
        request.state = RequestState.STREAMING

    def send(self, request: ActiveRequest, reply: bytes) -> None:
        """Pass a reply to the client's connection."""
        request.state = RequestState.ANSWERED
        request.on_answer(reply)

    def _answer_unserved(self, request_id: str, reply: bytes, label: str) -> None:
        request = self._requests.by_id.get(request_id)
        if request is None or request.is_answered:
            return
        self._telemetry.on_answer(request, label)
        self.send(request, reply)
        self._requests.check_after_event(request)
        self._requests.remove_if_idle(request)
