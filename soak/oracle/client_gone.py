"""Check that no attempt begins for a client that has disconnected.

Rule of docs/invariants.md:

    "no attempt begins once its client has closed or the request is answered"
"""

from __future__ import annotations

from collections.abc import Iterator

from soak.oracle.record_index import RecordIndex
from soak.oracle.tolerances import TIMING_SLACK_S
from soak.records import ClientBehaviour, RequestEnd
from soak.violation import Rule, Violation

DISCONNECT_NOTICE_S = 0.1
"""Time in which a gateway must notice that a client has disconnected."""


def find_violations(index: RecordIndex) -> Iterator[Violation]:
    """Yield attempts that reached their server after their client had disconnected."""
    for request, command in index.attempts():
        after_s = command.earliest_received_s - request.ended_s
        comes_again = request.behaviour is ClientBehaviour.REPEATED_ID  # a later attempt may be the first run
        has_disconnected = request.end is RequestEnd.CLIENT_DISCONNECTED and not comes_again
        if has_disconnected and after_s > DISCONNECT_NOTICE_S + TIMING_SLACK_S:
            detail = f"{command.server} received it {after_s:.3f} s after the client left, n{request.gateway}"
            yield Violation(Rule.CLIENT_GONE, request.request_id, detail)
