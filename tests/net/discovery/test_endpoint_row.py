"""Rows of discovery's list: valid, optional and malformed fields; only a valid row gets a number."""

import pytest

from quota_gateway import Endpoint, EndpointLifecycle
from quota_gateway.errors import DiscoveryError
from quota_gateway.net.discovery.endpoint_row import MAX_NAME_CHARACTERS, name_in, parse_row

ROW = {
    "instanceId": "s-1",
    "hostPort": "127.0.0.1:8080",
    "zone": "a",
    "machineType": "m",
    "cell": 3,
    "lifecycle": "Terminating",
    "weight": 2.0,
    "startedAtMs": 5,
}


def test_row_gives_an_endpoint_with_its_address():
    addressed = parse_row(ROW, {"s-1": 7}.__getitem__)
    assert addressed.endpoint == Endpoint(7, "a", "m", 3, EndpointLifecycle.DRAINING, 2.0, 5.0, "s-1")
    assert addressed.address == ("127.0.0.1", 8080)


def test_fields_that_may_be_missing_have_defaults():
    required = {key: ROW[key] for key in ("instanceId", "hostPort", "zone", "lifecycle")}
    endpoint = parse_row(required, {"s-1": 7}.__getitem__).endpoint
    assert endpoint == Endpoint(7, "a", "", 0, EndpointLifecycle.DRAINING, 1.0, 0.0, "s-1")


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("instanceId", ""),
        ("instanceId", 7),
        ("hostPort", "127.0.0.1:0"),
        ("hostPort", "127.0.0.1:65536"),
        ("hostPort", "example.test:80"),
        ("zone", None),
        ("machineType", 7),
        ("cell", "x"),
        ("lifecycle", "Odd"),
        ("weight", float("inf")),
        ("startedAtMs", "soon"),
    ],
)
def test_malformed_row_is_rejected_before_its_endpoint_gets_a_number(field, value):
    numbered: list[str] = []
    with pytest.raises(DiscoveryError, match="endpoint row is malformed"):
        parse_row({**ROW, field: value}, lambda name: numbered.append(name) or 1)
    assert numbered == []


@pytest.mark.parametrize("row", [None, [], "s-1", {}, {"instanceId": "n" * (MAX_NAME_CHARACTERS + 1)}])
def test_name_of_a_row_without_a_valid_name_is_none(row):
    assert name_in(row) is None
