"""Check how the gateways' processes ended and what they logged.

Rule of docs/invariants.md:

    "no start, shutdown, signal or failed system call crashes a process"
"""

from __future__ import annotations

from collections.abc import Iterator

from soak.oracle.record_index import RecordIndex
from soak.records import ProcessEnd
from soak.violation import Rule, Violation

TRACEBACK = "Traceback"
SHOWN_BEFORE_TRACEBACK_CHARACTERS = 200
SHOWN_OF_TRACEBACK_CHARACTERS = 600


def find_violations(index: RecordIndex) -> Iterator[Violation]:
    """Yield processes that failed, ended too late, logged a traceback or counted invariant violations."""
    for process in index.records.processes:
        for detail in _describe_failures(process):
            yield Violation(Rule.PROCESS, process.name, detail)


def _describe_failures(process: ProcessEnd) -> Iterator[str]:
    if process.exit_code and not process.was_killed:
        yield f"exit code {process.exit_code}"
    if process.is_overdue:
        yield "had not ended within the shutdown timeout"
    if TRACEBACK in process.log:
        start = process.log.index(TRACEBACK)
        shown_from = max(0, start - SHOWN_BEFORE_TRACEBACK_CHARACTERS)
        yield process.log[shown_from : start + SHOWN_OF_TRACEBACK_CHARACTERS]
    if process.violations:
        yield f"counted {process.violations} invariant violations"
