"""One server as discovery last described it, with its idle connections."""

from __future__ import annotations

from typing import Protocol

from quota_gateway.model import AttemptStatus, Endpoint, EndpointLifecycle
from quota_gateway.net.address import Address
from quota_gateway.net.upstream.attempt import Attempt


class HostConnection(Protocol):
    """A connection to a host, as far as the host needs it while the connection is idle."""

    idle_since_s: float

    def is_alive(self) -> bool:
        """Whether the server has neither closed it nor written on it while it was idle."""

    def send(self, attempt: Attempt) -> None:
        """Send an attempt."""

    def close(self, status: AttemptStatus) -> None:
        """Close at once."""


class UpstreamHost:
    """A server as discovery last described it. Each change that makes old connections useless is an epoch."""

    __slots__ = ("address", "cell", "detached", "epoch", "idle", "listed", "started_ms", "zone")

    def __init__(self) -> None:
        self.address: Address = ("", 0)
        self.started_ms = 0.0
        self.zone = ""
        self.cell = 0
        self.epoch = 0
        self.listed = False  # as ready, by discovery
        self.detached = False  # by operators
        self.idle: list[HostConnection] = []  # the most recently used last

    @property
    def is_ready(self) -> bool:
        """Whether anything may go there."""
        return self.listed and not self.detached

    def update(self, endpoint: Endpoint, address: Address, detached: bool) -> None:
        """Take over what discovery says; connections that it makes useless are closed.

        A server that restarted, or whose address was replaced, is another server to its old connections.
        """
        unchanged = self.address == address and self.started_ms == endpoint.started_ms
        self.address = address
        self.started_ms = endpoint.started_ms
        self.zone = endpoint.zone
        self.cell = endpoint.cell
        self.listed = endpoint.state is EndpointLifecycle.READY
        self.detached = detached
        if not (unchanged and self.is_ready):
            self.start_epoch()

    def start_epoch(self) -> None:
        """Close the idle connections; those with an attempt in flight are not kept after it."""
        self.epoch += 1
        self.close_idle()

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in list(self.idle):
            connection.close(AttemptStatus.RESET)

    def close_idle_since(self, before_s: float) -> None:
        """Close the connections that have been idle since before a time of the loop."""
        for connection in [c for c in self.idle if c.idle_since_s < before_s]:
            connection.close(AttemptStatus.RESET)

    def take_idle(self, latest_s: float) -> HostConnection | None:
        """Take the most recently used connection that is alive and idle since ``latest_s`` or earlier.

        Connections that turn out to have ended are closed.
        """
        for connection in reversed(list(self.idle)):
            if connection.idle_since_s > latest_s:
                continue
            if connection.is_alive():
                self.idle.remove(connection)
                return connection
            connection.close(AttemptStatus.RESET)
        return None
