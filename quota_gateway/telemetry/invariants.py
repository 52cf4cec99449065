"""Invariants, which hold at every moment, and the count of their violations: docs/invariants.md."""

from __future__ import annotations

import logging
from enum import Enum

from quota_gateway.telemetry.event_trace import EventTrace
from quota_gateway.telemetry.metrics import Metric, Metrics

log = logging.getLogger(__name__)


class Invariant(Enum):
    """A property that must hold on every code path."""

    ONE_FINAL_ANSWER = "one_final_answer"
    NO_CLOSE_WHILE_OWED = "no_close_while_owed"
    NO_ATTEMPT_AFTER_ANSWER = "no_attempt_after_answer"
    DEADLINE_NOT_EXTENDED = "deadline_not_extended"
    NO_UNSAFE_REPEAT = "no_unsafe_repeat"
    NO_CONCURRENT_ATTEMPTS = "no_concurrent_attempts"
    REJECT_IS_HARMLESS = "reject_is_harmless"
    NO_SEND_TO_UNREADY = "no_send_to_unready"


class InvariantMonitor:
    """Counts violations, and logs each with the events that led to it."""

    __slots__ = ("_metrics", "_trace")

    def __init__(self, metrics: Metrics, trace: EventTrace) -> None:
        self._metrics = metrics
        self._trace = trace

    def check(self, invariant: Invariant, holds: bool, subject: str, detail: object = "") -> bool:
        """Count and log a violation if ``holds`` is false.

        Args:
            invariant: The property that is checked.
            holds: Whether the property holds.
            subject: The request or connection that the property is checked for.
            detail: Further information for the log.

        Returns:
            ``holds``, so that the caller can refuse an operation that would break the property.
        """
        if not holds:
            self._metrics.count(Metric.INVARIANT_VIOLATIONS, invariant.value)
            log.error(
                "invariant violated invariant=%s subject=%s detail=%s events=%r",
                invariant.value,
                subject,
                detail,
                self._trace.describe(subject),
            )
        return holds
