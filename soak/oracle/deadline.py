"""Check the remaining timeouts that servers are sent.

Rule of docs/invariants.md:

    "a server is sent at most the timeout that the client has left"
"""

from __future__ import annotations

from collections.abc import Iterator

from soak.oracle.record_index import RecordIndex
from soak.oracle.tolerances import DEADLINE_SLACK_S, TIMING_SLACK_S
from soak.violation import Rule, Violation

SERVER_NOT_READING_LAG_S = 60.0
"""Lag above which a command counts as received by a server that was not reading."""


def find_violations(index: RecordIndex) -> Iterator[Violation]:
    """Yield attempts whose server was sent a longer timeout than its client had left."""
    for request, command in index.attempts():
        left_s = request.timeout_s - (command.earliest_received_s - request.sent_s)
        excess_s = command.remaining_timeout_s - left_s
        was_reading = command.lag_s < SERVER_NOT_READING_LAG_S
        if was_reading and excess_s > DEADLINE_SLACK_S + TIMING_SLACK_S:
            detail = f"timeout {excess_s:.3f} s too long, n{request.gateway} {request.behaviour}"
            yield Violation(Rule.DEADLINE, request.request_id, detail)
