"""The typed messages between a run and its children, one JSON object a line."""

from __future__ import annotations

from typing import Any

import msgspec

MAXIMUM_LINE_BYTES = 1 << 28
"""The longest message; a whole fleet's received versions are the longest in use."""


class ChildCommand(msgspec.Struct, frozen=True):
    """A command of the run: a method of the child's role and its arguments."""

    name: str
    arguments: dict[str, Any]  # foreign JSON until the role's method takes it


class ChildReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """A child's reply: what the method returned, still encoded, or the error that it raised."""

    answer: msgspec.Raw
    error: str = ""


class EndpointListInfo(msgspec.Struct, frozen=True):
    """A list that discovery has published: its encoded size and its version."""

    size_bytes: int
    version: int


class PublishedChanges(msgspec.Struct, frozen=True):
    """The versions that discovery has published one by one, and the bytes that watches were sent for them."""

    first_version: int
    last_version: int
    sent_bytes: int


class FaultVersions(msgspec.Struct, frozen=True):
    """The versions of the list before and after a fault."""

    version_before: int
    last_version: int


class DiscoveryStatistics(msgspec.Struct, frozen=True):
    """What discovery has sent, and what it lists.

    Attributes:
        counts: Bytes and lines by kind, calls, and watches begun and ended.
        published_s: Each version and when it could first be read, on the monotonic clock.
        version: The version of the list.
        servers: How many endpoints are listed.
        watches: How many watches are open.
    """

    counts: dict[str, int]
    published_s: list[tuple[int, float]]
    version: int
    servers: int
    watches: int

    @property
    def sent_bytes(self) -> int:
        """All bytes of lists, changes and heartbeats."""
        return sum(number for name, number in self.counts.items() if name.endswith("_bytes"))

    def count(self, name: str) -> int:
        """Return one count; 0 if there was nothing of it."""
        return self.counts.get(name, 0)


class ServerStatistics(msgspec.Struct, frozen=True):
    """What the stub servers have seen.

    Attributes:
        connections: Connections that are open now, over all servers.
        opened: Connections that were opened since the last reset.
        most_per_server: The most connections that one server had at a time.
        used: Servers that had any connection.
        served: Requests that were served.
        rejected: Requests that were rejected.
        busiest: The most requests that one server has served.
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
        """How many requests were served."""
        return self.outcomes.get("served", 0)

    @property
    def unserved_share(self) -> float:
        """The share of requests that were not served."""
        return 1.0 - self.served / max(1, sum(self.outcomes.values()))


class PhaseReports(msgspec.Struct, frozen=True):
    """The reports of one phase of load, and of all phases with its label so far."""

    phase: LoadReport
    total: LoadReport


class UpdateCoverage(msgspec.Struct, frozen=True):
    """How many of a child's hollow gateways have a version."""

    updated: int
    gateways: int


class LoopStalls(msgspec.Struct, frozen=True):
    """The longest time between two turns of the event loop, by the clock and in processor time."""

    wall_ms: float
    cpu_ms: float


class PolicyCost(msgspec.Struct, frozen=True):
    """What requests cost the policy engine.

    Attributes:
        cpu_us: Processor time of a request, in microseconds.
        memory_bytes: Resident memory that the engine has taken since before it was made.
        customers: Customers that it holds at the end.
        actions: Its actions by kind.
    """

    cpu_us: float
    memory_bytes: int
    customers: int
    actions: dict[str, int]
