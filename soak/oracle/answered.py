"""Check that every request is answered.

Rules of docs/invariants.md:

    "each request that was read gets one final answer within its time"
    "a connection is not closed while an answer is owed on it, or while one is not written yet"
    "a reply that was written is not cut off while its client reads"
    "a long value that its server has begun is not given up"
    "connections in the queue of the listening socket are accepted before it is closed"
"""

from __future__ import annotations

from collections.abc import Iterator

from soak.fault_kinds import LINK_FAULTS, MOMENTARY_SERVER_FAULTS, SERVER_FAULTS, FaultKind
from soak.oracle.record_index import RecordIndex
from soak.oracle.tolerances import TIMING_SLACK_S
from soak.records import (
    VALUE_REPLY,
    ClientBehaviour,
    GatewayShutdown,
    RequestClass,
    RequestEnd,
    RequestRecord,
)
from soak.settings import SHUTDOWN_TIMEOUT_S
from soak.violation import Rule, Violation

MIN_IDLE_CLOSE_S = 1.9
"""Idle time after which a gateway may close a connection on which no answer is owed."""

ACCEPT_AFTER_SIGTERM_S = 0.4
"""Time after SIGTERM during which a gateway must still accept new connections."""

MIN_FULL_SHUTDOWN_S = SHUTDOWN_TIMEOUT_S - 0.4
"""Duration of a shutdown that has used its time: replies that clients still read may be cut off then."""

TRUNCATING_FAULTS = frozenset(
    (
        *SERVER_FAULTS,
        *MOMENTARY_SERVER_FAULTS,
        *LINK_FAULTS,
        FaultKind.SERVER_DRAIN,
        FaultKind.SERVER_REPLACEMENT,
    )
)
"""Faults of a server or of its link that may truncate its replies, after it has written them too."""

BEGUN_NOTICE_S = 0.1
"""Time in which a gateway must notice that a server has begun a long value."""

LOST_ENDS = (RequestEnd.GATEWAY_DISCONNECTED, RequestEnd.UNANSWERED)


def find_violations(index: RecordIndex) -> Iterator[Violation]:
    """Yield requests that got no answer in time, unless an outage or an allowed close explains it."""
    for request in index.records.requests:
        loss = _describe_loss(request, index)
        if loss and not _is_excused(request, index):
            yield Violation(Rule.ANSWERED, request.request_id, _describe(request, loss, index))


def _describe(request: RequestRecord, loss: str, index: RecordIndex) -> str:
    where = f"n{request.gateway} {request.behaviour} first={request.is_first}"
    attempts = len(index.commands_by_request.get(request.request_id, ()))
    return f"{loss} {where} sent={request.sent_s:.3f} attempts={attempts}"


def _describe_loss(request: RequestRecord, index: RecordIndex) -> str:
    """Return how an answer was lost or late; empty if neither.

    Neither applies if the request was never sent, its client disconnected, its server truncated the reply, or
    such a reply came before it and it was not read.
    """
    if request.class_name is RequestClass.MALFORMED:
        return "client got neither an error nor a close" if request.end is RequestEnd.UNANSWERED else ""
    if request.end is RequestEnd.ANSWERED:
        late_s = request.ended_s - request.lag_s - request.due_s
        if late_s > TIMING_SLACK_S:
            return f"answered {late_s:.3f} s late"
        return f"{request.reply} though its server had begun" if _was_given_up(request, index) else ""
    if request.end is RequestEnd.TRUNCATED:
        return "cut off though its server has written it" if _was_cut_off(request, index) else ""
    if request.end is RequestEnd.BEHIND_TRUNCATED:
        return "read behind a truncated reply" if index.commands_by_request.get(request.request_id) else ""
    return f"{request.class_name} {request.end}" if request.end in LOST_ENDS else ""


def _was_cut_off(request: RequestRecord, index: RecordIndex) -> bool:
    """Return whether a gateway cut off a reply that its server had written whole, for no allowed reason."""
    complete = index.complete_reply(request.request_id)
    if complete is None or complete.at_s > request.ended_s:
        return False
    has_server_fault = _had_truncating_fault(request, complete.at_s, index)
    shutdown = _shutdown_during(request, index)
    has_full_shutdown = shutdown is not None and shutdown.end_s - shutdown.start_s > MIN_FULL_SHUTDOWN_S
    return not has_server_fault and not has_full_shutdown


def _was_given_up(request: RequestRecord, index: RecordIndex) -> bool:
    """Return whether a long value was rejected or failed although its server had begun it.

    Only a value with nothing before it on its connection counts: others may be held back until they are
    whole.
    """
    begun = index.begun_reply(request.request_id)
    is_alone = request.behaviour is ClientBehaviour.SLOW_READ and request.reply != VALUE_REPLY
    if begun is None or not is_alone or begun.at_s > request.ended_s - request.lag_s - BEGUN_NOTICE_S:
        return False
    return not _had_truncating_fault(request, request.ended_s, index) and not _shutdown_during(request, index)


def _had_truncating_fault(request: RequestRecord, end_s: float, index: RecordIndex) -> bool:
    """Return whether a server of the request, or its link, had a fault between the request and a time."""
    servers = {command.server for command in index.commands_by_request.get(request.request_id, ())}
    return any(
        fault.kind in TRUNCATING_FAULTS
        and fault.server in servers
        and fault.overlaps(request.sent_s, end_s, TIMING_SLACK_S)
        for fault in index.records.faults
    )


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
