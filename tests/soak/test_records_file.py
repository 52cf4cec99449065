"""The file of records must keep the format that earlier versions of the soak wrote."""

import json

import pytest

from soak.fault_kinds import FaultKind
from soak.records import (
    Detachment,
    FaultRecord,
    GatewayOutage,
    GatewayShutdown,
    OutageKind,
    RequestClass,
    RequestEnd,
    ServerColdStart,
)
from soak.records_file import read_records, write_records

DOCUMENT = {
    "requests": [
        {
            "request_id": "1",
            "class_name": "order",
            "behaviour": "steady",
            "gateway": 1,
            "connected_s": 1.0,
            "sent_s": 2.0,
            "timeout_s": 0.4,
            "is_first": True,
            "rested_s": 0.5,
            "due_s": 2.9,
            "lag_s": 0.0,
            "end": "silent",
            "ended_s": 3.9,
            "reply": "",
        }
    ],
    "commands": [
        {"request_id": "1", "server": "s-00", "received_s": 2.1, "lag_s": 0.0, "told_s": 0.3, "has_run": True}
    ],
    "changes": [{"server": "s-00", "lifecycle": "Terminating", "at_s": 4.0}],
    "detachments": [{"kind": "s-00", "target": "1", "start_s": 5.0, "end_s": 6.0}],
    "troubles": [
        {"kind": "crash", "target": "s-01 n1", "start_s": 1.0, "end_s": 2.0},
        {"kind": "upgrade_old_dies", "target": "s-01 n0", "start_s": 1.0, "end_s": 2.0},
        {"kind": "cold", "target": "s-00", "start_s": 7.0, "end_s": 7.0},
        {"kind": "crash", "target": "1", "start_s": 1.0, "end_s": 1.5},
        {"kind": "new dies", "target": "0", "start_s": 3.0, "end_s": 3.5},
        {"kind": "stop", "target": "1", "start_s": 8.0, "end_s": 8.5},
    ],
    "processes": [
        {
            "name": "gateway-1-0",
            "gateway": 1,
            "exit_code": -9,
            "was_killed": True,
            "is_overdue": False,
            "log": "log",
            "violations": 0,
        }
    ],
    "starts": [{"check": "start", "subject": "gateway-1-0", "detail": "not ready within 10 s"}],
}


def write_document(folder):
    """Write the document to a records file; return its path."""
    path = folder / "records.json"
    path.write_text(json.dumps(DOCUMENT))
    return path


COMPLETE_REPLIES = {"complete_replies": [{"request_id": "1", "server": "s-00", "at_s": 2.4}]}
"""A list that files of earlier versions lack."""


@pytest.mark.parametrize("added", [{}, COMPLETE_REPLIES])
def test_records_round_trip_in_the_same_format(tmp_path, added):
    path = write_document(tmp_path)
    path.write_text(json.dumps(DOCUMENT | added))
    write_records(read_records(path), tmp_path / "again.json")
    assert json.loads((tmp_path / "again.json").read_text()) == DOCUMENT | added


def test_intervals_are_read_into_a_type_for_each_kind(tmp_path):
    records = read_records(write_document(tmp_path))
    assert records.faults == [
        FaultRecord(kind=FaultKind.GATEWAY_CRASH, server="s-01", gateway=1, start_s=1.0, end_s=2.0),
        FaultRecord(
            kind=FaultKind.UPGRADE_OLD_VERSION_KILLED, server="s-01", gateway=0, start_s=1.0, end_s=2.0
        ),
    ]
    assert records.cold_starts == [ServerColdStart("s-00", 7.0)]
    assert records.outages == [
        GatewayOutage(kind=OutageKind.CRASH, gateway=1, start_s=1.0, end_s=1.5),
        GatewayOutage(kind=OutageKind.NEW_VERSION_KILLED, gateway=0, start_s=3.0, end_s=3.5),
    ]
    assert records.shutdowns == [GatewayShutdown(gateway=1, start_s=8.0, end_s=8.5)]
    assert records.detachments == [Detachment(server="s-00", gateway=1, start_s=5.0, end_s=6.0)]


def test_enum_values_of_requests_are_decoded(tmp_path):
    request = read_records(write_document(tmp_path)).requests[0]
    assert request.class_name is RequestClass.ORDER
    assert request.end is RequestEnd.UNANSWERED
