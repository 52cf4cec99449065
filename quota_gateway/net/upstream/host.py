"""One server as discovery last described it, with its idle connections."""

from __future__ import annotations

from typing import Protocol

from quota_gateway.model import AttemptStatus, Endpoint, EndpointLifecycle
from quota_gateway.net.address import Address
from quota_gateway.net.upstream.attempt import Attempt


class HostConnection(Protocol):
    """The part of a connection's interface that its host uses while the connection is idle."""

    idle_since_s: float

    def is_alive(self) -> bool:
        """Whether the server has neither closed the idle connection nor sent bytes on it."""

    def send(self, attempt: Attempt) -> None:
        """Send an attempt on the connection."""

    def close(self, status: AttemptStatus) -> None:
        """Close the connection at once."""


class UpstreamHost:
    """A server as discovery last described it.

    Each change that makes existing connections unusable starts a new epoch.

    Attributes:
        epoch: The number of the current epoch.
        listed: Whether discovery lists the server as ready.
        detached: Whether operators have detached the server.
        idle: The idle connections, the most recently used one last.
    """

    __slots__ = ("address", "cell", "detached", "epoch", "idle", "listed", "started_ms", "zone")

    def __init__(self) -> None:
        self.address: Address = ("", 0)
        self.started_ms = 0.0
        self.zone = ""
        self.cell = 0
        self.epoch = 0
        self.listed = False
        self.detached = False
        self.idle: list[HostConnection] = []

    @property
    def is_ready(self) -> bool:
        """Whether attempts may be sent to the server."""
        return self.listed and not self.detached

    def update(self, endpoint: Endpoint, address: Address, detached: bool) -> None:
        """Apply discovery's description of the server, and close connections that it makes unusable.

        Connections are unusable after a restart or a change of address, and while the server is not ready.
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
        """Close the idle connections; one with an attempt in flight is not reused after the attempt."""
        self.epoch += 1
        self.close_idle()

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in list(self.idle):
            connection.close(AttemptStatus.RESET)

    def close_idle_since(self, before_s: float) -> None:
        """Close the connections that have been idle since before ``before_s``, in loop time."""
        for connection in [c for c in self.idle if c.idle_since_s < before_s]:
            connection.close(AttemptStatus.RESET)

    def take_idle(self, latest_s: float) -> HostConnection | None:
        """Remove and return the most recently used connection that is alive; None if there is none.

        It has to be idle since ``latest_s`` or earlier, in loop time. Connections that turn out to have ended
        are closed.
        """
        for connection in reversed(list(self.idle)):
            if connection.idle_since_s > latest_s:
                continue
            if connection.is_alive():
                self.idle.remove(connection)
                return connection
            connection.close(AttemptStatus.RESET)
        return None
