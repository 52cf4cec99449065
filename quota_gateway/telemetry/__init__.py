"""Telemetry of one process: counters, a trace of its last events, and checks of its invariants."""

from __future__ import annotations

from quota_gateway.telemetry.event_trace import EventTrace
from quota_gateway.telemetry.invariants import Invariant, InvariantMonitor
from quota_gateway.telemetry.metrics import Metric, Metrics

__all__ = ["EventTrace", "Invariant", "InvariantMonitor", "Metric", "Metrics", "Telemetry"]


class Telemetry:
    """The counters, the trace and the invariants of one process, shared by all its parts."""

    __slots__ = ("invariants", "metrics", "trace")

    def __init__(self) -> None:
        self.metrics = Metrics()
        self.trace = EventTrace()
        self.invariants = InvariantMonitor(self.metrics, self.trace)
