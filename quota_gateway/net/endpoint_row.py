"""One row of discovery's endpoint list: foreign JSON in, a checked endpoint with its address out."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass
from math import isfinite
from typing import Any

from quota_gateway import model as api
from quota_gateway.errors import DiscoveryError
from quota_gateway.net.address import Address

MAX_NAME_LENGTH = 256  # characters: names are kept for each listed endpoint, also where no row is
PORT_LIMIT = 1 << 16  # the first number that is no TCP port
LIFECYCLE_GONE = "Gone"  # discovery's word for an endpoint that is listed no more
LIFECYCLES = {  # by discovery's words
    "Ready": api.EndpointLifecycle.READY,
    "Terminating": api.EndpointLifecycle.DRAINING,
    LIFECYCLE_GONE: api.EndpointLifecycle.GONE,
}
NO_ADDRESS: Address = ("", 0)  # of an endpoint that is gone: nothing connects to it any more

EndpointRow = dict[str, Any]  # a row as discovery gave it


@dataclass(frozen=True, slots=True)
class AddressedEndpoint:
    """An endpoint as the policy engine knows it, and where it is reached."""

    endpoint: api.Endpoint
    address: Address


@dataclass(frozen=True, slots=True)
class RegistryChange:
    """What an update of the endpoint list tells.

    Attributes:
        update: What the policy engine is told.
        addresses: By its number, where each endpoint of the update is reached.
    """

    update: api.EndpointUpdate
    addresses: dict[int, Address]


def is_endpoint_name(value: object) -> bool:
    """Whether a value from outside can be the name of an endpoint."""
    return isinstance(value, str) and 0 < len(value) <= MAX_NAME_LENGTH


def name_in(row: object) -> str | None:
    """The name that a row gives its endpoint; None if it has none that can be used."""
    name = row.get("instanceId") if isinstance(row, dict) else None
    return name if is_endpoint_name(name) else None


def parse_row(row: EndpointRow, number_for: Callable[[str], int]) -> AddressedEndpoint:
    """Read one row.

    Args:
        row: The row as discovery gave it.
        number_for: Gives an endpoint its number by its name; called once everything else is checked.

    Raises:
        DiscoveryError: A field is missing, of another type, or out of range.
    """
    try:
        return _parse_fields(row, number_for)
    except (ValueError, KeyError, TypeError, AttributeError, OverflowError, OSError) as error:
        raise DiscoveryError(f"endpoint row is malformed: {error!r}") from error


def _parse_fields(row: EndpointRow, number_for: Callable[[str], int]) -> AddressedEndpoint:
    address = _parse_address(row["hostPort"])
    name = row["instanceId"]
    zone = row["zone"]
    kind = row.get("machineType") or ""
    size = float(row.get("weight") or 1.0)
    started_ms = float(row.get("startedAtMs") or 0.0)
    lifecycle = LIFECYCLES[row["lifecycle"]]
    cell = row.get("cell") or 0
    if not is_endpoint_name(name):
        raise DiscoveryError("instanceId is no name")
    _require(zone, str, "zone")
    _require(kind, str, "machineType")
    _require(cell, int, "cell")
    if not (isfinite(size) and isfinite(started_ms)):
        raise DiscoveryError(f"weight {size} or startedAtMs {started_ms} is not finite")
    endpoint = api.Endpoint(
        server=number_for(name),
        zone=zone,
        kind=kind,
        cell=cell,
        state=lifecycle,
        size=size,
        started_ms=started_ms,
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


def _require(value: object, wanted: type, field: str) -> None:
    if not isinstance(value, wanted):
        raise DiscoveryError(f"{field} {value!r} is no {wanted.__name__}")
