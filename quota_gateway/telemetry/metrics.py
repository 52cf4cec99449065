"""Counters of one process, and their text format for scrapers: docs/decisions/telemetry.md."""

from __future__ import annotations

from collections import Counter
from enum import Enum

NAME_PREFIX = "quota_gateway_"


class Metric(Enum):
    """A counter; the value is its name and the name of its one label."""

    ANSWERS = ("answers_total", "reason")
    ATTEMPTS = ("attempts_total", "status")
    RETRIES = ("retries_total", "after")
    ATTEMPTS_REFUSED = ("attempts_refused_total", "reason")
    CLIENT_CONNECTIONS_CLOSED = ("client_connections_closed_total", "reason")
    CLIENT_CLOSES_UNDELIVERED = ("client_closes_undelivered_total", "reason")
    HELD_BACK_VALUES_FAILED = ("held_back_values_failed_total", "reason")
    CLIENT_ACCEPT_FAILURES = ("client_accept_failures_total", "errno")
    UPSTREAM_CONNECTIONS_CLOSED = ("upstream_connections_closed_total", "status")
    DISCOVERY_WATCHES_ENDED = ("discovery_watches_ended_total", "reason")
    STATE_TRANSITIONS = ("state_transitions_total", "state")
    LATE_COMMANDS = ("late_commands_total", "cause")
    INVARIANT_VIOLATIONS = ("invariant_violations_total", "invariant")


class Metrics:
    """Counters by metric and by the value of its label."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: Counter[tuple[Metric, str]] = Counter()

    def count(self, metric: Metric, label: str) -> None:
        """Add one to the counter of this label."""
        self._counts[metric, label] += 1

    def value(self, metric: Metric, label: str) -> int:
        """Return the count of one label."""
        return self._counts[metric, label]

    def total(self, metric: Metric) -> int:
        """Return the sum over all labels of a metric."""
        return sum(number for (counted, _), number in self._counts.items() if counted is metric)

    def render(self) -> str:
        """Return all counters in the Prometheus text exposition format, in the order of ``Metric``."""
        lines = []
        for metric in Metric:
            name, label_name = metric.value
            lines.append(f"# TYPE {NAME_PREFIX}{name} counter")
            labels = sorted(label for counted, label in self._counts if counted is metric)
            lines += [
                f'{NAME_PREFIX}{name}{{{label_name}="{label}"}} {self._counts[metric, label]}'
                for label in labels
            ]
        return "\n".join(lines)
