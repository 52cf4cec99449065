"""Check how the gateways' processes ended and what they logged.

Rules of docs/invariants.md:

    "a process stays within its memory"
    "no start, shutdown, signal or failed system call crashes a process"
"""

from __future__ import annotations

from collections.abc import Iterator

from soak.oracle.record_index import RecordIndex
from soak.records import ProcessEnd
from soak.settings import GATEWAY_MEMORY_MB
from soak.violation import Rule, Violation

KIB_PER_MIB = 1024
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
    if process.peak_memory_kib > GATEWAY_MEMORY_MB * KIB_PER_MIB:
        yield f"had {process.peak_memory_kib} KiB of memory, {GATEWAY_MEMORY_MB} MiB are allowed"
    if process.violations:
        yield f"counted {process.violations} invariant violations"
