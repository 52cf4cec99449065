"""The server for admin calls, at an address of its own, with one call per connection.

``docs/decisions/admin.md`` has the reasons for the bounds.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import OrderedDict
from collections.abc import Callable

from quota_gateway.net.acceptor import Acceptor, AcceptorOwner
from quota_gateway.net.address import Address
from quota_gateway.net.admin.calls import AdminCalls, SetDetached
from quota_gateway.net.admin.connection import AdminConnection
from quota_gateway.net.transient_errors import BIND_ERRORS
from quota_gateway.telemetry import Metrics

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 8  # maximum number of open admin connections; a new one evicts the oldest
# Time limit from connecting to the end of the call; operators wait 1 s for the response.
REQUEST_TIMEOUT_S = 2.0
LISTEN_RETRY_S = 0.5  # time between two calls of ``listen`` while the address is not available
LISTEN_BACKLOG = 64  # connections that the kernel queues until they are accepted


class AdminServer(AcceptorOwner):
    """Serves admin calls, with bounds on their number, length and duration.

    Args:
        is_ready: Returns whether the gateway is ready to serve clients.
        set_detached: Detaches or attaches a server.
        metrics: The metrics of this process.
    """

    def __init__(
        self, is_ready: Callable[[], bool], set_detached: SetDetached, metrics: Metrics | None = None
    ) -> None:
        self.calls = AdminCalls(is_ready, set_detached, metrics or Metrics())
        # The open connections, from the oldest to the newest.
        self.connections: OrderedDict[AdminConnection, None] = OrderedDict()
        self.acceptor = Acceptor(self)
        self._admission_tasks: set[asyncio.Task[None]] = set()
        self._listen_retry: asyncio.TimerHandle | None = None

    def listen(self, address: Address) -> None:
        """Listen for admin calls at this address.

        A failure is logged, and retried if it may be transient. Clients are served in any case.
        """
        try:
            self.acceptor.open(socket.create_server(address, backlog=LISTEN_BACKLOG))
        except OSError as error:
            log.error("admin listener failed host=%s port=%d reason=%r", *address, error)
            if error.errno in BIND_ERRORS:
                loop = asyncio.get_running_loop()
                self._listen_retry = loop.call_later(LISTEN_RETRY_S, self.listen, address)

    def on_accepted(self, sock: socket.socket, waiting_since_s: float) -> None:  # noqa: ARG002 - no deadline
        """Serve a new connection."""
        task = asyncio.get_running_loop().create_task(self._admit(sock))
        self._admission_tasks.add(task)
        task.add_done_callback(self._admission_tasks.discard)

    async def _admit(self, sock: socket.socket) -> None:
        try:
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.connect_accepted_socket(lambda: AdminConnection(self, self.calls), sock)
        except OSError:
            sock.close()

    def on_accept_error(self, error: OSError) -> None:
        """Log a failed accept, which the acceptor retries."""
        log.warning("admin accept failed reason=%r", error)

    def on_connected(self, connection: AdminConnection) -> None:
        """Evict the oldest connection if there are too many, and limit the duration of this one."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            oldest, _ = self.connections.popitem(last=False)
            oldest.abort()
        asyncio.get_running_loop().call_later(REQUEST_TIMEOUT_S, connection.abort)

    def on_disconnected(self, connection: AdminConnection) -> None:
        """Remove a connection that has ended."""
        self.connections.pop(connection, None)

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._listen_retry:
            self._listen_retry.cancel()
        self.acceptor.close()
        for connection in list(self.connections):
            connection.abort()
