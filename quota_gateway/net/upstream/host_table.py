"""The servers that discovery lists, by number, and those that operators have detached."""

from __future__ import annotations

from collections.abc import Mapping

from quota_gateway.model import EndpointLifecycle, EndpointUpdate, UpdateKind
from quota_gateway.net.address import Address
from quota_gateway.net.upstream.host import HostConnection, UpstreamHost


class HostTable:
    """The host of each listed server. A change closes the connections that it makes unusable."""

    __slots__ = ("_detached", "by_server")

    def __init__(self) -> None:
        self.by_server: dict[int, UpstreamHost] = {}
        self._detached: set[int] = set()  # servers that operators have detached, listed or not

    def update(self, update: EndpointUpdate, addresses: Mapping[int, Address]) -> None:
        """Apply an endpoint update.

        Args:
            update: A snapshot, which names all hosts, or a delta, which names those that changed.
            addresses: The addresses of all endpoints in the update, by number.
        """
        if update.kind is not UpdateKind.DELTA:
            listed = {endpoint.server for endpoint in update.endpoints}
            for server in [number for number in self.by_server if number not in listed]:
                self._remove(server)
        for endpoint in update.endpoints:
            server = endpoint.server
            if endpoint.state is EndpointLifecycle.GONE:
                self._remove(server)
                continue
            host = self.by_server.setdefault(server, UpstreamHost())
            host.update(endpoint, addresses[server], server in self._detached)

    def _remove(self, server: int) -> None:
        host = self.by_server.pop(server, None)
        if host:
            host.listed = False
            host.start_epoch()

    def set_detached(self, server: int, detached: bool) -> UpstreamHost | None:
        """Detach or attach a server; return its host, or None if it is not listed."""
        if detached:
            self._detached.add(server)
        else:
            self._detached.discard(server)
        host = self.by_server.get(server)
        if host:
            host.detached = detached
            if detached:
                host.start_epoch()
        return host

    def longest_idle(self) -> HostConnection | None:
        """Return the connection that has been idle longest, of all hosts; None if no connection is idle."""
        longest_idle_per_host = [host.idle[0] for host in self.by_server.values() if host.idle]
        return min(longest_idle_per_host, key=lambda connection: connection.idle_since_s, default=None)

    def close_idle_since(self, before_s: float) -> None:
        """Close the connections that have been idle since before ``before_s``, in loop time."""
        for host in self.by_server.values():
            host.close_idle_since(before_s)

    def close_all_idle(self) -> None:
        """Close every idle connection."""
        for host in self.by_server.values():
            host.close_idle()
