"""Compute by when a gateway must know of a change of the endpoint list."""

from __future__ import annotations

from soak.fault_kinds import FaultKind
from soak.oracle.tolerances import TIMING_SLACK_S
from soak.records import FaultRecord, GatewayTimeSpan, OutageKind, SoakRecords

NOTIFICATION_S = 1.0
"""Time after a change within which a gateway must know of it, if no fault delays the notification."""

NOTIFICATION_AFTER_FAULT_S = 6.0
"""Time within which a gateway must know of a change once it can reach discovery again, despite any fault."""

FAULTS_DELAYING_ALL_GATEWAYS = frozenset(
    (
        FaultKind.DISCOVERY_SILENT,
        FaultKind.DISCOVERY_REFUSING,
        FaultKind.WATCHES_DROPPED,
        FaultKind.DISCOVERY_MOVE,
    )
)
"""Faults that delay the notification of every gateway."""

FAULTS_DELAYING_THEIR_GATEWAY = frozenset(
    (
        FaultKind.TCP_CALLS_FAIL,
        FaultKind.FILE_CALLS_FAIL,
        FaultKind.PROCESS_PAUSE,
        FaultKind.GATEWAY_CRASH,
    )
)
"""Faults that delay the notification of the gateway at which they are injected."""

FAULTS_BLOCKING_DISCOVERY = frozenset(
    (FaultKind.DISCOVERY_SILENT, FaultKind.DISCOVERY_REFUSING, FaultKind.TCP_CALLS_FAIL)
)
"""Faults during which a gateway may be unable to reach discovery."""


class Notifications:
    """Computes when gateways must know of a change, from the faults and restarts around that time."""

    def __init__(self, records: SoakRecords) -> None:
        self._records = records

    def is_undisturbed(self, changed_s: float, gateway: int | None) -> bool:
        """Return whether neither a fault nor a restart delays a gateway's notification of a change."""
        return not self._delaying_faults(changed_s, gateway) and not self._restarts(changed_s, gateway)

    def latest_s(self, changed_s: float, gateway: int | None) -> float:
        """Return the time by which a gateway must know of a change, by the monotonic clock."""
        if self.is_undisturbed(changed_s, gateway):
            return changed_s + NOTIFICATION_S
        faults = self._delaying_faults(changed_s, gateway)
        reachable = [fault.end_s for fault in faults if fault.kind in FAULTS_BLOCKING_DISCOVERY]
        return max([changed_s, *reachable]) + NOTIFICATION_AFTER_FAULT_S

    def _delaying_faults(self, changed_s: float, gateway: int | None) -> list[FaultRecord]:
        return [
            fault
            for fault in self._records.faults
            if _is_near(fault, changed_s)
            and (
                fault.kind in FAULTS_DELAYING_ALL_GATEWAYS
                or (fault.gateway == gateway and fault.kind in FAULTS_DELAYING_THEIR_GATEWAY)
            )
        ]

    def _restarts(self, changed_s: float, gateway: int | None) -> list[GatewayTimeSpan]:
        """Return the shutdowns and crashes of a gateway around the time of a change."""
        crashes = [outage for outage in self._records.outages if outage.kind is OutageKind.CRASH]
        spans: list[GatewayTimeSpan] = [*self._records.shutdowns, *crashes]
        return [span for span in spans if span.gateway == gateway and _is_near(span, changed_s)]


def _is_near(span: GatewayTimeSpan, changed_s: float) -> bool:
    start_s, end_s = changed_s - NOTIFICATION_AFTER_FAULT_S, changed_s + NOTIFICATION_AFTER_FAULT_S
    return span.overlaps(start_s, end_s, TIMING_SLACK_S)
