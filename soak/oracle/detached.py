"""Check that servers that operators have detached get no new requests.

Rules of docs/invariants.md:

    "no new attempt goes to a server that drains, is gone or is detached"
    "a customer's bucket and the detachments outlive an upgrade"
"""

from __future__ import annotations

from collections.abc import Iterator

from soak.oracle.record_index import RecordIndex
from soak.violation import Rule, Violation

IN_FLIGHT_SLACK_S = 0.08
"""How long attempts still arrive that were on their way when the operator's call was answered."""


def find_violations(index: RecordIndex) -> Iterator[Violation]:
    """Yield attempts that a gateway made at a server while it was detached there."""
    for detachment in index.records.detachments:
        start_s = detachment.start_s + IN_FLIGHT_SLACK_S
        for command in index.received_by(detachment.server, start_s, detachment.end_s):
            if index.gateway_of(command) == detachment.gateway:
                detail = f"{detachment.server} by n{detachment.gateway}"
                yield Violation(Rule.DETACHED, command.request_id, detail)
