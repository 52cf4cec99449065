"""Check that requests are executed more than once only where their class allows it.

Rules of docs/invariants.md:

    "a request that may have run is not repeated unless its class allows it, nor where its id comes again"
    "two attempts of a request are in flight only where the settings allow it"
"""

from __future__ import annotations

from collections.abc import Iterator

from soak.oracle.record_index import RecordIndex
from soak.oracle.tolerances import TIMING_SLACK_S
from soak.records import ClientBehaviour, CommandRecord, RequestClass, RequestRecord
from soak.settings import IDEMPOTENCY_WINDOW_S
from soak.violation import Rule, Violation


def find_violations(index: RecordIndex) -> Iterator[Violation]:
    """Yield non-idempotent requests executed twice, and keyed ones executed again after their window."""
    for request_id, commands in index.commands_by_request.items():
        request = index.request(request_id)
        executed = [command for command in commands if command.was_executed]
        if request is None or len(executed) < 2:
            continue
        if _was_forgotten(request, executed, index):
            continue
        if request.class_name is RequestClass.ORDER:
            detail = f"non-idempotent request executed {len(executed)} times, n{request.gateway}"
            yield Violation(Rule.REPEAT, request_id, detail)
        elif request.class_name is RequestClass.KEYED:
            after_s = max(command.earliest_received_s for command in executed) - executed[0].received_s
            if after_s > IDEMPOTENCY_WINDOW_S + TIMING_SLACK_S:
                yield Violation(
                    Rule.REPEAT, request_id, f"keyed request executed again after {after_s:.3f} s"
                )


def _was_forgotten(request: RequestRecord, executed: list[CommandRecord], index: RecordIndex) -> bool:
    """Return whether the client sent the id again and the gateway's process was killed meanwhile."""
    return request.behaviour is ClientBehaviour.REPEATED_ID and any(
        outage.gateway == request.gateway
        and outage.overlaps(request.connected_s, executed[-1].received_s, TIMING_SLACK_S)
        for outage in index.records.outages
    )
