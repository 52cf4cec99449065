"""The bounds on upstream connections and on their descriptors."""

from __future__ import annotations

import asyncio
from collections import deque
from contextlib import suppress

from quota_gateway.net.upstream.connection import UpstreamConnection


class ConnectionLimiter:
    """Opens connections while descriptors are available; those of the peer process count too.

    The loop closes a descriptor some iterations after its connection; see
    docs/decisions/upstream-connections.md.

    Args:
        max_connections: The maximum number of connections, and of descriptors, at a time.
    """

    __slots__ = (
        "_loop",
        "connections",
        "descriptors_in_use",
        "max_connections",
        "peer_connections",
        "waiting_to_open",
    )

    def __init__(self, max_connections: int) -> None:
        self._loop = asyncio.get_running_loop()
        self.max_connections = max_connections
        self.peer_connections = 0  # connections of this gateway's peer process
        self.connections: set[UpstreamConnection] = set()  # all connections that are not closed
        self.descriptors_in_use = 0  # Descriptors count from before they are opened until they are closed.
        self.waiting_to_open: deque[UpstreamConnection] = deque()  # connections that wait for a descriptor

    def is_full(self) -> bool:
        """Whether the limit on connections is reached."""
        return len(self.connections) + self.peer_connections >= self.max_connections

    def add(self, connection: UpstreamConnection) -> None:
        """Open a connection, or queue it until a descriptor is available."""
        self.connections.add(connection)
        self.waiting_to_open.append(connection)
        self.open_waiting()

    def open_waiting(self) -> None:
        """Open queued connections while descriptors are available."""
        while self.waiting_to_open and self.descriptors_in_use + self.peer_connections < self.max_connections:
            connection = self.waiting_to_open.popleft()
            self.descriptors_in_use += 1
            connection.task = self._loop.create_task(connection.open())
            connection.task.add_done_callback(connection.on_open_ended)

    def remove(self, connection: UpstreamConnection) -> None:
        """Forget a connection that is closing; its descriptor counts until it is closed."""
        self.connections.discard(connection)
        with suppress(ValueError):
            self.waiting_to_open.remove(connection)

    def on_descriptor_closed(self) -> None:
        """Count a descriptor as closed, and open a queued connection with it."""
        self.descriptors_in_use -= 1
        self.open_waiting()
