"""Check the records of a soak against the rules of docs/invariants.md, with one module per rule."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from soak.oracle import (
    answered,
    client_gone,
    deadline,
    detached,
    drain,
    process,
    reject,
    repeat,
    slow_start,
    value,
)
from soak.oracle.record_index import RecordIndex
from soak.records import SoakRecords
from soak.violation import Violation

__all__ = ["find_violations"]

RuleCheck = Callable[[RecordIndex], Iterator[Violation]]

_RULE_CHECKS: tuple[RuleCheck, ...] = (
    answered.find_violations,
    deadline.find_violations,
    client_gone.find_violations,
    repeat.find_violations,
    reject.find_violations,
    value.find_violations,
    drain.find_violations,
    detached.find_violations,
    slow_start.find_violations,
    process.find_violations,
)


def find_violations(records: SoakRecords) -> list[Violation]:
    """Return every rule violation; those recorded when processes started come last."""
    index = RecordIndex(records)
    found = [violation for check in _RULE_CHECKS for violation in check(index)]
    return [*found, *records.start_violations]
