"""The endpoint registry's state on the channel between two processes, also of different versions."""

import json

import pytest

from quota_gateway import Endpoint, EndpointLifecycle, EndpointUpdate, UpdateKind
from quota_gateway.errors import StateError
from quota_gateway.net.discovery.endpoint_registry import EndpointRegistry
from quota_gateway.net.discovery.registry_state import RegistryState
from tests.support.fake_discovery import make_instance

# A state that commit 4431b5a exported, before these modules were split: s-1 and s-2 were listed, s-1 was
# removed, s-3 was added, and operators detached s-1.
RECORDED_STATE = (
    '{"rows": [{"instanceId": "s-2", "hostPort": "127.0.0.1:2", "zone": "a", "machineType": "m"'
    ', "cell": 0, "lifecycle": "Ready", "weight": 1.0, "startedAtMs": 0}, {"instanceId": "s-3",'
    ' "hostPort": "127.0.0.1:3", "zone": "a", "machineType": "m", "cell": 0, "lifecycle": "Read'
    'y", "weight": 1.0, "startedAtMs": 0}], "numbers": {"s-2": 2, "s-3": 3}, "absent": {"s-1": '
    '1}, "barred": ["s-1"]}'
)


def registry_with_history() -> EndpointRegistry:
    registry = EndpointRegistry()
    registry.read(
        {"generation": 1, "reset": True, "instances": [make_instance("s-1", 1), make_instance("s-2", 2)]}
    )
    registry.read(
        {
            "generation": 2,
            "reset": False,
            "instances": [make_instance("s-1", 1, "Gone"), make_instance("s-3", 3)],
        }
    )
    registry.detached.add("s-1")
    return registry


def test_exported_state_is_byte_for_byte_that_of_the_previous_version():
    assert json.dumps(registry_with_history().export_state()) == RECORDED_STATE


def test_state_exported_by_the_previous_version_is_restored():
    registry = EndpointRegistry()
    known_list = registry.restore_state(json.loads(RECORDED_STATE))
    assert registry.detached == {"s-1"}
    change = registry.read(known_list, is_cached=True)
    assert change.update == EndpointUpdate(
        UpdateKind.CACHED,
        (
            Endpoint(2, "a", kind="m", state=EndpointLifecycle.READY, name="s-2"),
            Endpoint(3, "a", kind="m", state=EndpointLifecycle.READY, name="s-3"),
        ),
        version=0,
        listed=2,
    )
    assert change.addresses == {2: ("127.0.0.1", 2), 3: ("127.0.0.1", 3)}
    assert registry.numbers == {"s-2": 2, "s-3": 3}
    assert registry.absent == {"s-1": 1}
    assert registry.number_of("s-4") == 4  # No number is assigned twice.
    assert json.dumps(RegistryState.from_json(json.loads(RECORDED_STATE)).to_json()) == RECORDED_STATE


@pytest.mark.parametrize(
    "changes",
    [
        {"numbers": None},
        {"numbers": {"s-2": "two"}},
        {"numbers": {"s-2": 1}},
        {"absent": []},
        {"rows": 7},
        {"barred": None},
        {"barred": ["s-9"]},
    ],
)
def test_malformed_state_is_rejected_and_nothing_of_it_is_restored(changes):
    registry = registry_with_history()
    before = json.dumps(registry.export_state())
    with pytest.raises(StateError, match="endpoint registry"):
        registry.restore_state({**json.loads(RECORDED_STATE), **changes})
    assert json.dumps(registry.export_state()) == before


@pytest.mark.parametrize("key", ["rows", "numbers", "absent", "barred"])
def test_state_without_one_of_its_keys_is_rejected(key):
    document = json.loads(RECORDED_STATE)
    del document[key]
    with pytest.raises(StateError, match=key):
        EndpointRegistry().restore_state(document)
