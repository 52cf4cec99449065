"""Check the load of servers that are warming up.

Rule of docs/invariants.md:

    "a server that warms up stays within its overload budget"
"""

from __future__ import annotations

from collections.abc import Iterator
from fractions import Fraction
from math import sqrt

from soak.oracle.notification import Notifications
from soak.oracle.record_index import RecordIndex
from soak.records import CommandRecord, ServerColdStart
from soak.settings import (
    INITIAL_CAPACITY_SHARE,
    MEAN_SERVICE_S,
    OVERLOAD_FACTOR,
    OVERLOAD_WINDOW_S,
    SERVER_CAPACITY,
    WARM_UP_S,
)
from soak.violation import Rule, Violation

SMALL_BUDGET_ATTEMPTS = 30
"""Budget below which the tolerance is wider, because random variation is larger relative to the budget."""

SMALL_BUDGET_DEVIATIONS = 3.0
LARGE_BUDGET_DEVIATIONS = 2.0
MIN_NOTIFIED_SHARE = Fraction(2, 3)
"""An overload counts as a violation if more than this share of its attempts is from notified gateways."""


def find_violations(index: RecordIndex) -> Iterator[Violation]:
    """Yield servers that got more than their overload budget in a window of their warm-up."""
    notifications = Notifications(index.records)
    for start in index.records.cold_starts:
        received = index.received_by(start.server, start.start_s, start.start_s + WARM_UP_S)
        commands = sorted(received, key=lambda command: command.received_s)
        violation = _first_overload(start, commands, index, notifications)
        if violation:
            yield violation


def _first_overload(
    start: ServerColdStart, commands: list[CommandRecord], index: RecordIndex, notifications: Notifications
) -> Violation | None:
    """Return a violation for the first window that exceeds the budget; None if there is no such window."""
    was_notified = [_was_notified(command, start, index, notifications) for command in commands]
    for position, first in enumerate(commands):
        window_end_s = first.received_s + OVERLOAD_WINDOW_S
        count = sum(command.received_s <= window_end_s for command in commands[position:])
        notified_count = sum(was_notified[position : position + count])
        age_s = first.received_s - start.start_s
        allowed = _allowed_attempts(age_s)
        if count > allowed and notified_count > MIN_NOTIFIED_SHARE * count:
            detail = (
                f"{count} attempts where {allowed:.0f} are allowed, {age_s:.1f} s after the server's start"
            )
            return Violation(Rule.SLOW_START, start.server, detail)
    return None


def _allowed_attempts(age_s: float) -> float:
    """Return how many attempts are allowed in a window that begins when a server has a given age.

    The overload budget is widened by a few standard deviations, as a tolerance for chance.
    """
    capacity_share = INITIAL_CAPACITY_SHARE + (1.0 - INITIAL_CAPACITY_SHARE) * age_s / WARM_UP_S
    budget = OVERLOAD_FACTOR * OVERLOAD_WINDOW_S * capacity_share * SERVER_CAPACITY / MEAN_SERVICE_S
    is_small = budget < SMALL_BUDGET_ATTEMPTS
    deviations = SMALL_BUDGET_DEVIATIONS if is_small else LARGE_BUDGET_DEVIATIONS
    return budget + (deviations * sqrt(budget) + deviations)


def _was_notified(
    command: CommandRecord, start: ServerColdStart, index: RecordIndex, notifications: Notifications
) -> bool:
    """Return whether the gateway that sent an attempt must have known of the server's start."""
    gateway = index.gateway_of(command)
    if notifications.is_undisturbed(start.start_s, gateway):
        return True
    return command.received_s >= notifications.latest_s(start.start_s, gateway)
