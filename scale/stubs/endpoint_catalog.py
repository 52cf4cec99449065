"""Endpoints that discovery lists, with their version and recent changes, encoded as lines of JSON."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from typing import Literal

import msgspec

from scale.config import zone_names

HISTORY_VERSIONS = 20_000
"""Number of versions that a watch can resume from; a watch with an older one gets the complete list."""

ENDPOINTS_PER_CELL = 40


class ListedEndpoint(msgspec.Struct, frozen=True, rename="camel"):
    """An endpoint as discovery lists it (PROTOCOL, Discovery).

    Attributes:
        instance_id: Name of the endpoint.
        host_port: Address of the endpoint.
        zone: Zone of the endpoint.
        machine_type: Type of the endpoint's machine.
        cell: Number of the endpoint's cell.
        lifecycle: State of the endpoint; ``Gone`` removes it from the list.
        weight: Weight of the endpoint.
        started_at_ms: Start of the endpoint in Unix time; 0 if it was long ago.
    """

    instance_id: str
    host_port: str
    zone: str
    machine_type: str
    cell: int
    lifecycle: Literal["Ready", "Terminating", "Gone"]
    weight: float
    started_at_ms: int


def make_endpoints(seed: int, number: int, ports: Iterable[int], zone_count: int) -> list[ListedEndpoint]:
    """Return this number of endpoints, spread over zones and ports; the same seed gives the same ones."""
    source = random.Random(f"rows {seed}")
    zones = zone_names(zone_count)
    shared_ports = list(ports)
    return [
        ListedEndpoint(
            instance_id=f"s-{index:04x}{source.getrandbits(16):04x}",
            host_port=f"127.0.0.1:{shared_ports[index % len(shared_ports)]}",
            zone=zones[index % len(zones)],
            machine_type=f"m{source.randint(1, 3)}",
            cell=index // ENDPOINTS_PER_CELL,
            lifecycle="Ready",
            weight=1.0,
            started_at_ms=0,
        )
        for index in range(number)
    ]


class EndpointCatalog:
    """The listed endpoints by name, their version, and the changes of recent versions.

    Args:
        endpoints: Endpoints of the first version.
        version: Number of the first version.
    """

    def __init__(self, endpoints: Iterable[ListedEndpoint], version: int = 1) -> None:
        self.endpoints: dict[str, ListedEndpoint] = {}
        self.version = version
        self._encoded: dict[str, bytes] = {}
        self._history: deque[tuple[int, dict[str, bytes]]] = deque(maxlen=HISTORY_VERSIONS)
        self._oldest_resumable_version = version
        self._snapshot = b""
        self._snapshot_version = -1
        self._store(endpoints)

    def _store(self, changed: Iterable[ListedEndpoint]) -> dict[str, bytes]:
        """Add, update or remove these endpoints; return their encoded forms by name."""
        encoded_changes = {}
        for endpoint in changed:
            encoded = msgspec.json.encode(endpoint)
            encoded_changes[endpoint.instance_id] = encoded
            if endpoint.lifecycle == "Gone":
                self.endpoints.pop(endpoint.instance_id, None)
                self._encoded.pop(endpoint.instance_id, None)
            else:
                self.endpoints[endpoint.instance_id] = endpoint
                self._encoded[endpoint.instance_id] = encoded
        return encoded_changes

    def update(self, changed: Iterable[ListedEndpoint]) -> int:
        """Apply these changes as one version and return its number."""
        self.version += 1
        if len(self._history) == self._history.maxlen:
            self._oldest_resumable_version = self._history[0][0]
        self._history.append((self.version, self._store(changed)))
        return self.version

    def replace(self, endpoints: Iterable[ListedEndpoint]) -> None:
        """Replace the whole list; watches can't resume from earlier versions and get the complete list."""
        self.endpoints.clear()
        self._encoded.clear()
        self._history.clear()
        self._store(endpoints)
        self.version += 1
        self._oldest_resumable_version = self.version

    def snapshot_line(self) -> bytes:
        """Return the complete list as one line."""
        if self._snapshot_version != self.version:
            self._snapshot = self._encode_line(True, self._encoded.values())
            self._snapshot_version = self.version
        return self._snapshot

    def line_after(self, version: int | None) -> bytes:
        """Return the changes after a version as one line, or the complete list if the version is unknown."""
        if version is None or not self._oldest_resumable_version <= version <= self.version:
            return self.snapshot_line()
        changed: dict[str, bytes] = {}
        for number, encoded_changes in reversed(self._history):
            if number <= version:
                break
            changed = encoded_changes | changed
        return self._encode_line(False, changed.values())

    def _encode_line(self, is_complete: bool, encoded_endpoints: Iterable[bytes]) -> bytes:
        return b'{"generation":%d,"reset":%s,"instances":[%b]}\n' % (
            self.version,
            b"true" if is_complete else b"false",
            b",".join(encoded_endpoints),
        )
