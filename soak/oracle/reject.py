"""Check that rejected requests were not executed.

Rule of docs/invariants.md:

    "a request that was rejected has not been executed"
"""

from __future__ import annotations

from collections.abc import Iterator

from soak.oracle.record_index import RecordIndex
from soak.records import BUSY_REPLY, RequestClass
from soak.violation import Rule, Violation


def find_violations(index: RecordIndex) -> Iterator[Violation]:
    """Yield non-idempotent requests that were rejected although a server executed them."""
    for request, command in index.attempts():
        is_rejected_order = request.reply == BUSY_REPLY and request.class_name is RequestClass.ORDER
        if is_rejected_order and command.was_executed:
            yield Violation(
                Rule.REJECT, request.request_id, f"rejected although executed at {command.server}"
            )
