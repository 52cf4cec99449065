"""Divides the descriptors and the memory of the process among the parts of a gateway.

The reasons for the figures are in docs/decisions/resource-limits.md. The results are named tuples, which are
cheaper to define at each start than dataclasses.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from quota_gateway.net.admin.server import MAX_CONNECTIONS as MAX_ADMIN_CONNECTIONS
from quota_gateway.net.handover.connection_handover import MAX_QUEUED_PACKETS

DESCRIPTOR_FOLDER = Path("/proc/self/fd")
STANDARD_STREAMS = 3  # standard input, standard output, and standard error for the log
# The event loop has epoll and its io_uring, the wake-up descriptor, two pipes and a socket pair for signals,
# and one descriptor to spare.
EVENT_LOOP_DESCRIPTORS = 10
DISCOVERY_DESCRIPTORS = 4  # two watches, at discovery's previous and new address, and as many being closed
LISTENER_DESCRIPTORS = 2  # one listener for clients, one for the next process
# The handover has channels to both peer processes, queued connections, and the listener that is handed over.
HANDOVER_DESCRIPTORS = 2 + MAX_QUEUED_PACKETS + 1
FILE_DESCRIPTORS = 2  # files open for a moment: the configuration at SIGHUP, a folder, a module
SPARE_DESCRIPTORS = 8
OTHER_DESCRIPTORS = (
    EVENT_LOOP_DESCRIPTORS
    + DISCOVERY_DESCRIPTORS
    + LISTENER_DESCRIPTORS
    + HANDOVER_DESCRIPTORS
    + FILE_DESCRIPTORS
    + SPARE_DESCRIPTORS
)
# Twice the admin connections, as an evicted one is closed a little later, plus the listener.
ADMIN_DESCRIPTORS = 2 * MAX_ADMIN_CONNECTIONS + 1
# Share of the remaining descriptors for upstream connections. It is small, as most client connections have
# no request in flight.
UPSTREAM_CONNECTION_SHARE = 0.25
MIN_CONNECTIONS = 2  # minimum of client and upstream connections together, however low the limit is

MEGABYTE = 1 << 20
PROGRAM_BYTES = 20 * MEGABYTE  # memory of the program with an endpoint list and the state of its customers
# Share of the remaining memory for the buffered bytes of commands and replies.
BUFFER_MEMORY_SHARE = 0.75
MIN_BUFFERED_BYTES = 2 * MEGABYTE


class DescriptorBudget(NamedTuple):
    """The maximum numbers of client connections and of upstream connections."""

    clients: int
    upstream: int


class ResourceLimits(NamedTuple):
    """The limits of the parts of a gateway.

    Attributes:
        max_client_connections: Maximum number of client connections at a time.
        max_upstream_connections: Maximum number of upstream connections at a time.
        max_buffered_bytes: Maximum bytes of buffered commands and replies.
        handover_spare_bytes: Bytes by which that limit is lower while the previous process runs.
    """

    max_client_connections: int
    max_upstream_connections: int
    max_buffered_bytes: int
    handover_spare_bytes: int


def count_open_descriptors() -> int:
    """Count the open descriptors of the process; count the standard streams alone if that fails."""
    try:
        listed = len(list(DESCRIPTOR_FOLDER.iterdir()))
    except OSError:
        return STANDARD_STREAMS
    # One of the listed descriptors is open to read the folder itself.
    return max(STANDARD_STREAMS, listed - 1)


def divide_descriptors(limit: int, inherited: int, has_admin: bool) -> DescriptorBudget:
    """Divide the descriptors that are not reserved between client and upstream connections.

    Idle clients can thus never take the descriptors of the discovery watch, of upstream or of operators.

    Args:
        limit: Limit of open descriptors of the whole process.
        inherited: Number of descriptors that the process was started with.
        has_admin: Whether admin calls are served.
    """
    reserved = inherited + OTHER_DESCRIPTORS + (ADMIN_DESCRIPTORS if has_admin else 0)
    available = max(MIN_CONNECTIONS, limit - reserved)
    upstream = int(available * UPSTREAM_CONNECTION_SHARE)
    return DescriptorBudget(clients=available - upstream, upstream=upstream)


def divide_memory(limit_bytes: int) -> int:
    """Return the maximum bytes of buffered commands and replies."""
    return max(MIN_BUFFERED_BYTES, int((limit_bytes - PROGRAM_BYTES) * BUFFER_MEMORY_SHARE))


def handover_spare_bytes(max_buffered_bytes: int) -> int:
    """Return the bytes by which the buffer limit is lower while a peer process uses memory too."""
    return max(0, min(int(PROGRAM_BYTES * BUFFER_MEMORY_SHARE), max_buffered_bytes - MIN_BUFFERED_BYTES))


def divide_resources(
    descriptors: int, inherited_descriptors: int, memory_bytes: int, has_admin: bool
) -> ResourceLimits:
    """Divide the limits of the whole process among its parts.

    Args:
        descriptors: Limit of open descriptors.
        inherited_descriptors: Number of descriptors that the process was started with.
        memory_bytes: Limit of resident memory.
        has_admin: Whether admin calls are served.
    """
    budget = divide_descriptors(descriptors, inherited_descriptors, has_admin)
    max_buffered_bytes = divide_memory(memory_bytes)
    return ResourceLimits(
        max_client_connections=budget.clients,
        max_upstream_connections=budget.upstream,
        max_buffered_bytes=max_buffered_bytes,
        handover_spare_bytes=handover_spare_bytes(max_buffered_bytes),
    )
