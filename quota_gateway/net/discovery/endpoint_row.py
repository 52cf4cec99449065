"""Parses a row of discovery's endpoint list: turns untrusted JSON into an endpoint with its address."""

from __future__ import annotations

import socket
from collections.abc import Callable
from math import isfinite
from typing import Any, NamedTuple

from quota_gateway import model as api
from quota_gateway.errors import DiscoveryError
from quota_gateway.net.address import Address

# The name of every listed endpoint is held in memory, but rows are held only for the nearest endpoints.
MAX_NAME_CHARACTERS = 256
PORT_LIMIT = 1 << 16  # the lowest number above all TCP ports
LIFECYCLE_GONE = "Gone"  # discovery's value for an endpoint that is no longer listed
LIFECYCLES = {  # lifecycles by the values that discovery sends
    "Ready": api.EndpointLifecycle.READY,
    "Terminating": api.EndpointLifecycle.DRAINING,
    LIFECYCLE_GONE: api.EndpointLifecycle.GONE,
}
NO_ADDRESS: Address = ("", 0)  # the placeholder address of an endpoint that is gone

EndpointRow = dict[str, Any]  # a row as discovery sent it


class AddressedEndpoint(NamedTuple):
    """An endpoint as the policy engine knows it, with its address.

    A named tuple is cheap to create, and one is created for each row.
    """

    endpoint: api.Endpoint
    address: Address


class RegistryChange(NamedTuple):
    """The changes that one update makes to the endpoint list, or a part of them.

    Attributes:
        update: The changed endpoints for the policy engine.
        addresses: The addresses of these endpoints, by number.
    """

    update: api.EndpointUpdate
    addresses: dict[int, Address]


def name_in(row: object) -> str | None:
    """Return the endpoint's name in a row; None if the row has no valid name."""
    if not isinstance(row, dict):
        return None
    name = row.get("instanceId")
    return name if isinstance(name, str) and 0 < len(name) <= MAX_NAME_CHARACTERS else None


def _as_reported(_name: str, reported_ms: float) -> float:
    return reported_ms


def parse_row(
    row: EndpointRow,
    number_for: Callable[[str], int],
    started_for: Callable[[str, float], float] = _as_reported,
) -> AddressedEndpoint:
    """Parse one row.

    Args:
        row: The row as discovery sent it.
        number_for: Returns the number for a name; called once all fields are checked.
        started_for: Returns the start time by the gateway's clock for a name and a reported start time,
            all in milliseconds.

    Raises:
        DiscoveryError: A field is missing, has the wrong type or is out of range.
    """
    try:
        return _parse_fields(row, number_for, started_for)
    except (ValueError, KeyError, TypeError, AttributeError, OverflowError, OSError) as error:
        raise DiscoveryError(f"endpoint row is malformed: {error!r}") from error


def _parse_fields(
    row: EndpointRow, number_for: Callable[[str], int], started_for: Callable[[str, float], float]
) -> AddressedEndpoint:
    address = _parse_address(row["hostPort"])
    name = row["instanceId"]
    zone = row["zone"]
    kind = row.get("machineType") or ""
    size = float(row.get("weight") or 1.0)
    started_ms = float(row.get("startedAtMs") or 0.0)
    lifecycle = LIFECYCLES[row["lifecycle"]]
    cell = row.get("cell") or 0
    if not (
        name_in(row) is not None
        and isinstance(zone, str)
        and isinstance(kind, str)
        and isinstance(cell, int)
        and isfinite(size)
        and isfinite(started_ms)
    ):
        raise DiscoveryError(
            f"field is invalid: instanceId {name!r:.80}, zone {zone!r:.80}, machineType {kind!r:.80}, "
            f"cell {cell!r:.80}, weight {size}, startedAtMs {started_ms}"
        )
    endpoint = api.Endpoint(
        server=number_for(name),
        zone=zone,
        kind=kind,
        cell=cell,
        state=lifecycle,
        size=size,
        started_ms=started_for(name, started_ms),
        name=name,
    )
    return AddressedEndpoint(endpoint, address)


def _parse_address(host_port: str) -> Address:
    host, _, port_text = host_port.rpartition(":")
    canonical_host = socket.inet_ntoa(socket.inet_aton(host))
    port = int(port_text)
    if not 0 < port < PORT_LIMIT:
        raise DiscoveryError(f"hostPort {host_port!r} has a port out of range")
    return canonical_host, port
