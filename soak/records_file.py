"""Write and read the JSON file with the records of a run.

The file holds faults, outages, shutdowns and cold starts in one list of intervals, each with a kind and a
target: ``SERVER nGATEWAY`` for a fault, the server for a cold start, the gateway's index for the others.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from soak.fault_kinds import FaultKind
from soak.records import (
    BegunReply,
    CommandRecord,
    CompleteReply,
    Detachment,
    EndpointChange,
    FaultRecord,
    GatewayOutage,
    GatewayShutdown,
    OutageKind,
    ProcessEnd,
    RequestRecord,
    ServerColdStart,
    SoakRecords,
)
from soak.violation import Violation

COLD_START_KIND = "cold"
SHUTDOWN_KIND = "stop"
GATEWAY_SEPARATOR = " n"


class _Interval(msgspec.Struct, frozen=True):
    kind: str
    target: str
    start_s: float
    end_s: float


class _Document(msgspec.Struct, omit_defaults=True):
    requests: list[RequestRecord]
    commands: list[CommandRecord]
    changes: list[EndpointChange]
    detachments: list[_Interval]
    troubles: list[_Interval]
    processes: list[ProcessEnd]
    starts: list[Violation]
    complete_replies: list[CompleteReply] = []
    begun_replies: list[BegunReply] = []


def write_records(records: SoakRecords, path: Path) -> None:
    """Write the records of a run."""
    document = _Document(
        requests=records.requests,
        commands=records.commands,
        changes=records.endpoint_changes,
        detachments=[
            _Interval(item.server, str(item.gateway), item.start_s, item.end_s)
            for item in records.detachments
        ],
        troubles=_to_intervals(records),
        processes=records.processes,
        starts=records.start_violations,
        complete_replies=records.complete_replies,
        begun_replies=records.begun_replies,
    )
    path.write_bytes(msgspec.json.encode(document))


def read_records(path: Path) -> SoakRecords:
    """Read the records of a run.

    Raises:
        OSError: The file can't be read.
        msgspec.DecodeError: The file does not hold valid records.
        ValueError: An interval has an unknown kind or target.
    """
    document = msgspec.json.decode(path.read_bytes(), type=_Document)
    records = SoakRecords(
        requests=document.requests,
        commands=document.commands,
        endpoint_changes=document.changes,
        detachments=[
            Detachment(server=item.kind, gateway=int(item.target), start_s=item.start_s, end_s=item.end_s)
            for item in document.detachments
        ],
        processes=document.processes,
        start_violations=document.starts,
        complete_replies=document.complete_replies,
        begun_replies=document.begun_replies,
    )
    for interval in document.troubles:
        _add_interval(records, interval)
    return records


def _to_intervals(records: SoakRecords) -> list[_Interval]:
    return [
        *(
            _Interval(item.kind, f"{item.server}{GATEWAY_SEPARATOR}{item.gateway}", item.start_s, item.end_s)
            for item in records.faults
        ),
        *(
            _Interval(COLD_START_KIND, item.server, item.start_s, item.start_s)
            for item in records.cold_starts
        ),
        *(_Interval(item.kind, str(item.gateway), item.start_s, item.end_s) for item in records.outages),
        *(
            _Interval(SHUTDOWN_KIND, str(item.gateway), item.start_s, item.end_s)
            for item in records.shutdowns
        ),
    ]


def _add_interval(records: SoakRecords, interval: _Interval) -> None:
    start_s, end_s = interval.start_s, interval.end_s
    server, is_fault, gateway = interval.target.rpartition(GATEWAY_SEPARATOR)
    if is_fault:
        kind = FaultKind(interval.kind)
        fault = FaultRecord(kind=kind, server=server, gateway=int(gateway), start_s=start_s, end_s=end_s)
        records.faults.append(fault)
    elif interval.kind == COLD_START_KIND:
        records.cold_starts.append(ServerColdStart(interval.target, start_s))
    elif interval.kind == SHUTDOWN_KIND:
        shutdown = GatewayShutdown(gateway=int(interval.target), start_s=start_s, end_s=end_s)
        records.shutdowns.append(shutdown)
    else:
        outage = GatewayOutage(
            kind=OutageKind(interval.kind), gateway=int(interval.target), start_s=start_s, end_s=end_s
        )
        records.outages.append(outage)
