"""Check that servers detached by operators get no new requests.

Rules of docs/invariants.md:

    "no new attempt goes to a server that drains, is gone or is detached"
    "a customer's bucket and the detachments outlive an upgrade"
"""

from __future__ import annotations

from collections.abc import Iterator

from soak.oracle.record_index import RecordIndex
from soak.violation import Rule, Violation

IN_FLIGHT_SLACK_S = 0.08
"""Time after the reply to a detach call in which attempts already in flight may still arrive."""


def find_violations(index: RecordIndex) -> Iterator[Violation]:
    """Yield attempts that a gateway sent to a server while the server was detached at that gateway."""
    for detachment in index.records.detachments:
        start_s = detachment.start_s + IN_FLIGHT_SLACK_S
        for command in index.received_by(detachment.server, start_s, detachment.end_s):
            if index.gateway_of(command) == detachment.gateway:
                detail = f"attempt at {detachment.server} by n{detachment.gateway}"
                yield Violation(Rule.DETACHED, command.request_id, detail)
