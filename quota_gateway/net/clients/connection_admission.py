"""Admits client connections within the capacity of the gateway, and evicts others when it is used up."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from typing import TYPE_CHECKING

from quota_gateway.net.acceptor import Acceptor, AcceptorOwner
from quota_gateway.net.clients.arrival import arrival_s
from quota_gateway.net.clients.connection import ClientConnection
from quota_gateway.net.clients.resumed_connection import ResumedConnection
from quota_gateway.net.transient_errors import errno_name
from quota_gateway.telemetry import Metric

if TYPE_CHECKING:
    from quota_gateway.net.clients.protocols import ConnectionOwner

log = logging.getLogger(__name__)


class ConnectionAdmission(AcceptorOwner):
    """Takes connections from the listening socket, as far as capacity allows, and from another process.

    Args:
        owner: The listener, which owns each connection once it is admitted.
        max_connections: The maximum number of connections, in both processes of this gateway together.

    Attributes:
        acceptor: Accepts from the listening socket.
        descriptors_in_use: The number of connections, from accepting them until their sockets are closed.
        peer_connections: The number of connections of the peer process of this gateway.
    """

    def __init__(self, owner: ConnectionOwner, max_connections: int) -> None:
        self.acceptor = Acceptor(self)
        self.descriptors_in_use = 0
        self.peer_connections = 0
        self._owner = owner
        self._max_connections = max_connections
        self._tasks: set[asyncio.Task[None]] = set()

    def available_capacity(self) -> int:
        """Return how many more connections may be open in both processes of this gateway together."""
        return self._max_connections - self.descriptors_in_use - self.peer_connections

    def evict(self) -> None:
        """Close idle and unproductive connections because others wait to be accepted."""
        self._owner.idle_connections.evict()

    def accept_or_evict(self) -> None:
        """Accept again if capacity is free; else evict connections in favour of those that wait."""
        if self.available_capacity() > 0:
            self.acceptor.resume()
        elif not self.acceptor.is_accepting:
            self.evict()

    def on_accepted(self, sock: socket.socket, waiting_since_s: float) -> None:
        """Serve a new connection, whose command read timeout runs from its arrival."""
        waited_s = time.monotonic() - arrival_s(sock, waiting_since_s)
        self.admit(sock, ResumedConnection(command_due_for_s=waited_s, waiting_since_s=waiting_since_s))

    def on_accept_error(self, error: OSError) -> None:
        """Log and count a failed call of accept, which is retried."""
        log.warning("client accept failed reason=%r", error)
        self._owner.driver.telemetry.metrics.count(Metric.CLIENT_ACCEPT_FAILURES, errno_name(error))

    def admit(self, sock: socket.socket, resumed: ResumedConnection) -> None:
        """Serve a connection: a new one, or one that another process has served until now.

        Args:
            sock: The connection's socket, which is closed with the connection.
            resumed: The state of the connection before this process serves it.
        """
        self.descriptors_in_use += 1
        task = self._owner.loop.create_task(self._connect(sock, resumed))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def release_descriptor(self) -> None:
        """Free the capacity of a connection that the event loop has closed."""
        self.descriptors_in_use -= 1
        self.acceptor.resume()

    async def _connect(self, sock: socket.socket, resumed: ResumedConnection) -> None:
        owner = self._owner
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await owner.loop.connect_accepted_socket(lambda: ClientConnection(owner, sock, resumed), sock)
        except OSError:
            sock.close()
            self.release_descriptor()
