"""Pytest hooks for KNOWN-RED.txt: a test listed there is expected to fail; the run fails if it passes."""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_FAILURES_FILE = Path(__file__).parent.parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3


def known_failures() -> dict[str, str]:
    """Return the lines of KNOWN-RED.txt by the name of their test.

    All cases of a parametrized test share one line.

    Raises:
        ValueError: A line is malformed, or more than ``MAX_KNOWN_FAILURES`` tests are listed.
    """
    lines = KNOWN_FAILURES_FILE.read_text().splitlines() if KNOWN_FAILURES_FILE.exists() else []
    known = {}
    for line in lines:
        test, separator, reason = line.partition(": ")
        if not separator or "::" not in test or not reason:
            raise ValueError(f"KNOWN-RED.txt: {line!r} is not a test followed by its cause and issue")
        known[test] = line
    if len(known) > MAX_KNOWN_FAILURES:
        raise ValueError(f"KNOWN-RED.txt: more than {MAX_KNOWN_FAILURES} tests are listed")
    return known


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures."""
    known = known_failures()
    for item in items:
        test = item.nodeid.partition("[")[0]
        if test in known:
            item.add_marker(pytest.mark.xfail(strict=True, reason=known[test]))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the lines of KNOWN-RED.txt."""
    for line in known_failures().values():
        terminalreporter.write_line(f"known failure: {line}")
