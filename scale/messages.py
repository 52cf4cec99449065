"""Typed messages between a run and its child processes, one JSON object per line."""

from __future__ import annotations

from typing import Any

import msgspec

MAXIMUM_LINE_BYTES = 1 << 28
"""Maximum length of a message; the longest hold the received versions of all gateways of a process."""


class ChildCommand(msgspec.Struct, frozen=True):
    """A command to a child process: a method of its role and the arguments."""

    name: str
    arguments: dict[str, Any]  # Decoded JSON, checked only by the role's method.


class ChildReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Reply of a child process: the method's return value as encoded JSON, or the error it raised."""

    answer: msgspec.Raw
    error: str = ""


class EndpointListInfo(msgspec.Struct, frozen=True):
    """Encoded size and version of an endpoint list that discovery has published."""

    size_bytes: int
    version: int


class PublishedChanges(msgspec.Struct, frozen=True):
    """Range of versions that discovery has published one by one, and the bytes sent to watches for them."""

    first_version: int
    last_version: int
    sent_bytes: int


class FaultVersions(msgspec.Struct, frozen=True):
    """Versions of the endpoint list before and after a fault."""

    version_before: int
    last_version: int


class DiscoveryStatistics(msgspec.Struct, frozen=True):
    """Statistics of discovery: counts of what it has sent, and the current state of its list.

    Attributes:
        counts: Bytes and lines by kind, calls, and watches begun and ended.
        published_s: Each version and the time of its publication, on the monotonic clock.
        version: Current version of the list.
        servers: Number of listed endpoints.
        watches: Number of open watches.
    """

    counts: dict[str, int]
    published_s: list[tuple[int, float]]
    version: int
    servers: int
    watches: int

    @property
    def sent_bytes(self) -> int:
        """Total bytes of lists, changes and heartbeats."""
        return sum(number for name, number in self.counts.items() if name.endswith("_bytes"))

    def count(self, name: str) -> int:
        """Return the count with this name; 0 if nothing was counted."""
        return self.counts.get(name, 0)


class ServerStatistics(msgspec.Struct, frozen=True):
    """Connections and requests at the stub servers.

    Attributes:
        connections: Connections open now, over all servers.
        opened: Connections opened since the last reset.
        most_per_server: Maximum number of connections that one server had at a time.
        used: Number of servers that had at least one connection.
        served: Number of requests served.
        rejected: Number of requests rejected.
        busiest: Number of requests served by the server with the most.
    """

    connections: int
    opened: int
    most_per_server: int
    used: int
    served: int
    rejected: int
    busiest: int


class LoadReport(msgspec.Struct, frozen=True):
    """Latencies in milliseconds by percentile (`LATENCY_PERCENTILES`), and requests by `LoadOutcome`."""

    latencies_ms: dict[str, float]
    outcomes: dict[str, int]

    @property
    def served(self) -> int:
        """Number of requests served."""
        return self.outcomes.get("served", 0)

    @property
    def unserved_share(self) -> float:
        """Share of requests that were not served."""
        return 1.0 - self.served / max(1, sum(self.outcomes.values()))


class PhaseReports(msgspec.Struct, frozen=True):
    """Reports on one phase of load and on all phases with the same label so far."""

    phase: LoadReport
    total: LoadReport


class UpdateCoverage(msgspec.Struct, frozen=True):
    """Number of hollow gateways in a child process, and how many of them have a given version."""

    updated: int
    gateways: int


class LoopStalls(msgspec.Struct, frozen=True):
    """Longest time between two iterations of the event loop, in wall-clock and in processor time."""

    wall_ms: float
    cpu_ms: float


class PolicyCost(msgspec.Struct, frozen=True):
    """Cost of requests in the policy engine.

    Attributes:
        cpu_us: Processor time per request, in microseconds.
        memory_bytes: Growth of resident memory since before the engine was constructed.
        customers: Number of customers that the engine keeps at the end.
        actions: Number of the engine's actions by kind.
    """

    cpu_us: float
    memory_bytes: int
    customers: int
    actions: dict[str, int]
