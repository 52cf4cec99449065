"""The tests of KNOWN-RED.txt: each is expected to fail, and fails the run if it does not."""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent.parent / "KNOWN-RED.txt"
MAX_KNOWN = 3


def known_failures() -> dict[str, str]:
    """By the test's name, the line that lists it; all cases of a parametrized test go by one name.

    Raises:
        ValueError: A line is malformed, or there are too many.
    """
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    known = {}
    for line in lines:
        test, separator, reason = line.partition(": ")
        if not separator or "::" not in test or not reason:
            raise ValueError(f"KNOWN-RED.txt: {line!r} is no test with its cause and issue")
        known[test] = line
    if len(known) > MAX_KNOWN:
        raise ValueError(f"KNOWN-RED.txt: more than {MAX_KNOWN} tests are listed")
    return known


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail."""
    known = known_failures()
    for item in items:
        test = item.nodeid.partition("[")[0]
        if test in known:
            item.add_marker(pytest.mark.xfail(strict=True, reason=known[test]))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print what is listed."""
    for line in known_failures().values():
        terminalreporter.write_line(f"known failure: {line}")
