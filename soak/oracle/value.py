"""Check the values that clients receive.

Rule of docs/invariants.md:

    "a value reaches the client as its server wrote it"
"""

from __future__ import annotations

from collections.abc import Iterator

from soak.oracle.record_index import RecordIndex
from soak.records import WRONG_VALUE_PREFIX
from soak.violation import Rule, Violation


def find_violations(index: RecordIndex) -> Iterator[Violation]:
    """Yield requests whose client received a value other than the expected one."""
    for request in index.records.requests:
        if request.reply.startswith(WRONG_VALUE_PREFIX):
            yield Violation(Rule.VALUE, request.request_id, request.reply)
