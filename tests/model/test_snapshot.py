"""The state snapshot keeps the form that the version before reads and writes.

``engine-state-4431b5a.json`` was exported by the engine of commit 4431b5a after sixty requests of all plans.
"""

import json
from pathlib import Path

import pytest

from quota_gateway import ExportState, RestoreState, StateSnapshot
from quota_gateway.errors import StateError
from quota_gateway.model.snapshot import EngineState
from tests.support.engine_harness import SETTINGS, EngineHarness, make_endpoint

RECORDED = Path(__file__).parent.parent / "support" / "snapshots" / "engine-state-4431b5a.json"
LATER_MS = 10_000.0  # than all times in the record
EARLY_MS = 100.0  # before most of them


def test_snapshot_of_the_version_before_is_read_and_written_without_a_change():
    recorded = json.loads(RECORDED.read_text())
    state = EngineState.from_json(recorded, SETTINGS, LATER_MS)
    assert json.dumps(state.to_json()) == json.dumps(recorded)


def test_engine_goes_on_from_the_snapshot_of_the_version_before():
    recorded = json.loads(RECORDED.read_text())
    harness = EngineHarness()
    harness.servers(make_endpoint(1), make_endpoint(2), make_endpoint(3, started_ms=900.0), make_endpoint(4))
    harness.run(LATER_MS)
    harness.do(RestoreState(recorded))
    (action,) = [a for a in harness.do(ExportState()) if isinstance(a, StateSnapshot)]
    assert json.dumps(action.state) == json.dumps(recorded)
    assert not harness.gateway.endpoints.by_id[2].is_ready


@pytest.mark.parametrize("key", ["customers", "servers", "marks", "sends", "pool", "retries", "started_at"])
def test_snapshot_without_a_part_is_malformed_and_none_of_it_is_restored(key):
    recorded = json.loads(RECORDED.read_text())
    del recorded[key]
    harness = EngineHarness()
    with pytest.raises(StateError, match=key):
        harness.do(RestoreState(recorded))
    assert not harness.gateway.customers
    assert not harness.gateway.has_peer_process


def test_times_ahead_of_this_process_s_clock_count_as_now():
    recorded = json.loads(RECORDED.read_text())
    state = EngineState.from_json(recorded, SETTINGS, EARLY_MS)
    records = [*state.failures.values(), *(r for e in state.endpoints.values() for r in e.failures.values())]
    assert records
    assert all(record.updated.at_ms <= EARLY_MS for record in records)
    assert all(endpoint.started_ms <= EARLY_MS for endpoint in state.endpoints.values())
    assert state.started_at_ms <= EARLY_MS
    assert max(state.detached.values(), default=0.0) <= EARLY_MS
