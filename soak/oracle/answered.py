"""Check that every request is answered.

Rules of docs/invariants.md:

    "each request that was read gets one final answer within its time"
    "a connection is not closed while an answer is owed on it, or while one is not written yet"
    "connections in the queue of the listening socket are accepted before it is closed"
"""

from __future__ import annotations

from collections.abc import Iterator

from soak.oracle.record_index import RecordIndex
from soak.oracle.tolerances import TIMING_SLACK_S
from soak.records import GatewayShutdown, RequestClass, RequestEnd, RequestRecord
from soak.violation import Rule, Violation

MIN_IDLE_CLOSE_S = 1.9
"""Idle time after which a gateway may close a connection on which no answer is owed."""

ACCEPT_AFTER_SIGTERM_S = 0.4
"""Time after SIGTERM during which a gateway must still accept new connections."""

LOST_ENDS = (RequestEnd.GATEWAY_DISCONNECTED, RequestEnd.UNANSWERED)


def find_violations(index: RecordIndex) -> Iterator[Violation]:
    """Yield requests that got no answer in time, unless an outage or an allowed close explains it."""
    for request in index.records.requests:
        loss = _describe_loss(request)
        if loss and not _is_excused(request, index):
            yield Violation(Rule.ANSWERED, request.request_id, _describe(request, loss, index))


def _describe(request: RequestRecord, loss: str, index: RecordIndex) -> str:
    where = f"n{request.gateway} {request.behaviour} first={request.is_first}"
    attempts = len(index.commands_by_request.get(request.request_id, ()))
    return f"{loss} {where} sent={request.sent_s:.3f} attempts={attempts}"


def _describe_loss(request: RequestRecord) -> str:
    """Return how an answer was lost or late; empty if neither.

    Neither applies if the request was never sent, its client disconnected or its reply was truncated.
    """
    if request.class_name is RequestClass.MALFORMED:
        return "client got neither an error nor a close" if request.end is RequestEnd.UNANSWERED else ""
    if request.end is RequestEnd.ANSWERED:
        late_s = request.ended_s - request.lag_s - request.due_s
        return f"answered {late_s:.3f} s late" if late_s > TIMING_SLACK_S else ""
    return f"{request.class_name} {request.end}" if request.end in LOST_ENDS else ""


def _is_excused(request: RequestRecord, index: RecordIndex) -> bool:
    """Return whether the loss or delay of an answer is allowed.

    An outage of the gateway excuses it, and so does an allowed close before the request was read.
    """
    if _was_in_outage(request, index):
        return True
    was_read = bool(index.commands_by_request.get(request.request_id))
    if request.end is not RequestEnd.GATEWAY_DISCONNECTED or was_read:
        return False
    shutdown = _shutdown_during(request, index)
    if request.is_first:
        return shutdown is not None and request.sent_s > shutdown.start_s + ACCEPT_AFTER_SIGTERM_S
    return request.idle_before_s > MIN_IDLE_CLOSE_S or shutdown is not None


def _was_in_outage(request: RequestRecord, index: RecordIndex) -> bool:
    ended_s = request.ended_s or request.due_s
    return any(
        outage.gateway == request.gateway and outage.overlaps(request.connected_s, ended_s, TIMING_SLACK_S)
        for outage in index.records.outages
    )


def _shutdown_during(request: RequestRecord, index: RecordIndex) -> GatewayShutdown | None:
    for shutdown in index.records.shutdowns:
        is_same_gateway = shutdown.gateway == request.gateway
        if is_same_gateway and shutdown.overlaps(request.sent_s, request.ended_s, TIMING_SLACK_S):
            return shutdown
    return None
