"""Outcomes and latencies of the requests of a load."""

from __future__ import annotations

import time
from collections import Counter
from enum import StrEnum

from hdrh.histogram import HdrHistogram

from scale.messages import LoadReport

LATENCY_PERCENTILES = {"p50_ms": 50.0, "p99_ms": 99.0, "p99.9_ms": 99.9}
"""Reported percentiles, by their names in the result files."""

MAXIMUM_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_SECOND = 1e6
MICROSECONDS_PER_MILLISECOND = 1000.0


class LoadOutcome(StrEnum):
    """Outcome of a request, with the names used in the result files."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    LOST = "lost"
    UNANSWERED = "silent"


class ErrorReply(Exception):  # noqa: N818 - hiredis requires an exception class for error replies
    """An error reply of the protocol; the parser returns it instead of raising it."""


class LoadStatistics:
    """Outcomes of requests, and the latencies of the served ones.

    Attributes:
        pending: Number of requests without an outcome yet.
    """

    def __init__(self) -> None:
        self.pending = 0
        self._latencies_us = HdrHistogram(1, MAXIMUM_LATENCY_US, SIGNIFICANT_DIGITS)
        self._outcomes: Counter[LoadOutcome] = Counter()

    def record_outcome(self, outcome: LoadOutcome) -> None:
        """Count the outcome of a pending request."""
        self._outcomes[outcome] += 1
        self.pending -= 1

    def record_reply(self, due_s: float, reply: object) -> None:
        """Count a reply; latency is measured from the request's due time on the monotonic clock."""
        if isinstance(reply, ErrorReply):
            is_rejected = str(reply).startswith("BUSY")
            self.record_outcome(LoadOutcome.REJECTED if is_rejected else LoadOutcome.FAILED)
            return
        self.record_outcome(LoadOutcome.SERVED)
        latency_us = (time.monotonic() - due_s) * MICROSECONDS_PER_SECOND
        self._latencies_us.record_value(max(1, round(latency_us)))

    def merge(self, other: LoadStatistics) -> None:
        """Add the outcomes and latencies of another instance."""
        self._latencies_us.add(other._latencies_us)
        self._outcomes += other._outcomes

    def report(self) -> LoadReport:
        """Return the number of requests by outcome and the latency at each reported percentile."""
        latencies_ms = {
            name: self._latencies_us.get_value_at_percentile(percentile) / MICROSECONDS_PER_MILLISECOND
            for name, percentile in LATENCY_PERCENTILES.items()
        }
        outcomes = {outcome.value: number for outcome, number in self._outcomes.items()}
        return LoadReport(latencies_ms, outcomes)
