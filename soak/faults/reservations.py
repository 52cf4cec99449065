"""Keep enough servers free of faults."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from contextlib import contextmanager


class ServerReservations:
    """Allows one fault per server at a time, at no more than half of the servers (rounded up).

    Args:
        servers: The names of all servers.
    """

    def __init__(self, servers: Collection[str]) -> None:
        self._servers = servers
        self._reserved: set[str] = set()

    @contextmanager
    def reserve(self, server: str) -> Iterator[bool]:
        """Reserve a server for the duration of the context; yield whether that was possible."""
        is_possible = server not in self._reserved and 2 * len(self._reserved) < len(self._servers)
        if is_possible:
            self._reserved.add(server)
        try:
            yield is_possible
        finally:
            if is_possible:
                self._reserved.discard(server)
