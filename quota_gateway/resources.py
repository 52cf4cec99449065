"""Divides the descriptors and the memory of the process among the parts of a gateway.

The reasons for the figures are in docs/decisions/resource-limits.md. The results are named tuples, as these
are cheaper to define at each start than dataclasses.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from quota_gateway.net.admin.server import MAX_CONNECTIONS as MAX_ADMIN_CONNECTIONS
from quota_gateway.net.handover.connection_handover import MAX_QUEUED_PACKETS

OWN_DESCRIPTORS = Path("/proc/self/fd")
STANDARD_STREAMS = 3  # standard input, output and error, which is the log
# epoll and its ring, the wake-up, two pipes and a socket pair for signals, one spare
EVENT_LOOP_DESCRIPTORS = 10
DISCOVERY_DESCRIPTORS = 4  # watches at discovery's previous and new address, and as many that are closing
LISTENER_DESCRIPTORS = 2  # for clients, and for the next process
# channels to both peers; queued connections; the listener handed over
HANDOVER_DESCRIPTORS = 2 + MAX_QUEUED_PACKETS + 1
FILE_DESCRIPTORS = 2  # open for a moment: the configuration at SIGHUP, a folder, a module
SPARE_DESCRIPTORS = 8
OTHER_DESCRIPTORS = (
    EVENT_LOOP_DESCRIPTORS
    + DISCOVERY_DESCRIPTORS
    + LISTENER_DESCRIPTORS
    + HANDOVER_DESCRIPTORS
    + FILE_DESCRIPTORS
    + SPARE_DESCRIPTORS
)
# an evicted connection is closed a little later; the listener
ADMIN_DESCRIPTORS = 2 * MAX_ADMIN_CONNECTIONS + 1
UPSTREAM_CONNECTION_SHARE = 0.25  # of the rest: most client connections have no request in flight
MIN_CONNECTIONS = 2  # of both sides together, however low the limit is

MEGABYTE = 1 << 20
PROGRAM_BYTES = 20 * MEGABYTE  # with an endpoint list and the state of its customers
BUFFER_MEMORY_SHARE = 0.4  # of the rest, for clients' commands; as much again for upstream replies
MIN_BUFFERED_BYTES = 2 * MEGABYTE


class DescriptorBudget(NamedTuple):
    """How many connections there may be on either side of the gateway."""

    clients: int
    upstream: int


class ResourceLimits(NamedTuple):
    """The limits of the parts of a gateway.

    Attributes:
        max_client_connections: At a time.
        max_upstream_connections: At a time.
        max_buffered_bytes: Of clients' commands, and as many of upstream replies.
        handover_spare_bytes: By how much both buffer limits are lower while the previous process still runs.
    """

    max_client_connections: int
    max_upstream_connections: int
    max_buffered_bytes: int
    handover_spare_bytes: int


def count_open_descriptors() -> int:
    """Count the descriptors that the process holds; the standard streams alone where that is not known."""
    try:
        listed = len(list(OWN_DESCRIPTORS.iterdir()))
    except OSError:
        return STANDARD_STREAMS
    return max(STANDARD_STREAMS, listed - 1)  # one of them is open to read the folder


def divide_descriptors(limit: int, inherited: int, has_admin: bool) -> DescriptorBudget:
    """Split the descriptors that the process does not need otherwise between clients and upstream.

    So idle clients never take the descriptors of the discovery watch, of upstream or of operators.

    Args:
        limit: Of the whole process.
        inherited: How many of them it was started with.
        has_admin: Whether operators are served.
    """
    reserved = inherited + OTHER_DESCRIPTORS + (ADMIN_DESCRIPTORS if has_admin else 0)
    available = max(MIN_CONNECTIONS, limit - reserved)
    upstream = int(available * UPSTREAM_CONNECTION_SHARE)
    return DescriptorBudget(clients=available - upstream, upstream=upstream)


def divide_memory(limit_bytes: int) -> int:
    """Return the bytes that may be buffered of clients' commands, and as many of upstream replies."""
    return max(MIN_BUFFERED_BYTES, int((limit_bytes - PROGRAM_BYTES) * BUFFER_MEMORY_SHARE))


def handover_spare_bytes(max_buffered_bytes: int) -> int:
    """Return by how much both buffer limits are lower while the peer process takes memory too."""
    return max(0, min(int(PROGRAM_BYTES * BUFFER_MEMORY_SHARE), max_buffered_bytes - MIN_BUFFERED_BYTES))


def divide_resources(
    descriptors: int, inherited_descriptors: int, memory_bytes: int, has_admin: bool
) -> ResourceLimits:
    """Divide the limits of the whole process among its parts.

    Args:
        descriptors: Limit of open descriptors.
        inherited_descriptors: How many of them the process was started with.
        memory_bytes: Limit of resident memory.
        has_admin: Whether operators are served.
    """
    budget = divide_descriptors(descriptors, inherited_descriptors, has_admin)
    max_buffered_bytes = divide_memory(memory_bytes)
    return ResourceLimits(
        max_client_connections=budget.clients,
        max_upstream_connections=budget.upstream,
        max_buffered_bytes=max_buffered_bytes,
        handover_spare_bytes=handover_spare_bytes(max_buffered_bytes),
    )
