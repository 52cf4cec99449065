"""The listener for clients: accepts connections within its capacity, suspends and ends them."""

from __future__ import annotations

import asyncio
import logging
import socket
import time

from quota_gateway import model as api
from quota_gateway.net.acceptor import Acceptor, AcceptorOwner
from quota_gateway.net.client_replies import LOADING_REPLY, PONG_REPLY
from quota_gateway.net.clients.arrival import StallDetector, arrival_s
from quota_gateway.net.clients.buffer_budget import BufferBudget
from quota_gateway.net.clients.commands import RequestParser
from quota_gateway.net.clients.connection import ClientConnection
from quota_gateway.net.clients.connection_sweeper import ConnectionSweeper
from quota_gateway.net.clients.idle_connections import IdleConnections
from quota_gateway.net.clients.request_handler import RequestHandler
from quota_gateway.net.clients.resumed_connection import ResumedConnection
from quota_gateway.net.transient_errors import errno_name
from quota_gateway.telemetry import Metric

__all__ = ["ClientConnection", "ClientListener", "ResumedConnection"]

log = logging.getLogger(__name__)

SWEEP_INTERVAL_S = 0.1  # short against the shortest timeout that the sweep enforces
LISTEN_BACKLOG = 1024  # connections that wait in the kernel while the capacity is used up


class ClientListener(AcceptorOwner):
    """The listening socket and the connections accepted from it, bounded in number and in memory.

    Args:
        driver: Answers the requests of clients.
        settings: The classes and plans that requests may name, and their bounds.
        max_connections: The capacity in connections, over both processes of this gateway.
        max_buffered_bytes: The bytes of commands and replies that may be buffered.

    Attributes:
        connections: The connections that the event loop serves, in the order in which they were accepted.
        descriptors_in_use: Connections from accepting until the event loop has closed their sockets.
        peer_connections: The connections of the peer process of this gateway.
        is_ready: Whether an endpoint list is known.
        is_stopping: Whether each connection closes once all its replies are written.
    """

    def __init__(
        self, driver: RequestHandler, settings: api.Settings, max_connections: int, max_buffered_bytes: int
    ) -> None:
        self.driver = driver
        self.request_parser = RequestParser(settings)
        self.max_connections = max_connections
        self.budget = BufferBudget(max_buffered_bytes)
        self.connections: dict[ClientConnection, None] = {}
        self.idle_connections = IdleConnections()
        self.descriptors_in_use = 0
        self.peer_connections = 0
        self.is_ready = False
        self.is_stopping = False
        self.acceptor = Acceptor(self)
        self.loop = asyncio.get_running_loop()
        self._admission_tasks: set[asyncio.Task[None]] = set()
        self.stalls = StallDetector(SWEEP_INTERVAL_S)
        self._sweeper = ConnectionSweeper(self, SWEEP_INTERVAL_S)

    @property
    def max_buffered_bytes(self) -> int:
        """How many bytes of commands and replies may be buffered; two processes share them at a handover."""
        return self.budget.max_buffered_bytes

    @max_buffered_bytes.setter
    def max_buffered_bytes(self, size_bytes: int) -> None:
        self.budget.max_buffered_bytes = size_bytes

    # ---- Listening and accepting

    @property
    def listening_socket(self) -> socket.socket | None:
        """The listening socket, until it is closed."""
        return self.acceptor.socket

    @property
    def is_accepting(self) -> bool:
        """Whether the event loop watches the listening socket."""
        return self.acceptor.is_accepting

    @property
    def is_suspended(self) -> bool:
        """Whether another process takes over, so that nothing is accepted or read here."""
        return self.acceptor.is_suspended

    def listen(self, host: str, port: int) -> tuple[str, int]:
        """Listen on one address; another process may listen there too.

        Returns:
            The address, with the port that was chosen where ``port`` is 0.

        Raises:
            OSError: The address is in use or not one of this machine.
        """
        return self.adopt(socket.create_server((host, port), backlog=LISTEN_BACKLOG, reuse_port=True))

    def adopt(self, listening_socket: socket.socket, waited_s: float = 0.0) -> tuple[str, int]:
        """Accept from a listening socket, which another process may have accepted from before.

        Args:
            listening_socket: The socket.
            waited_s: For how many seconds connections may have waited in its queue.

        Returns:
            The socket's address.
        """
        self.acceptor.open(listening_socket, waited_s)
        address: tuple[str, int] = listening_socket.getsockname()
        return address

    def available_capacity(self) -> int:
        """Return how many more connections may be open, over both processes of this gateway."""
        return self.max_connections - self.descriptors_in_use - self.peer_connections

    def evict(self) -> None:
        """Close idle and unproductive connections, as others wait to be accepted."""
        self.idle_connections.evict()

    def accept_or_evict(self) -> None:
        """Accept again where capacity is free, else evict connections for those that wait."""
        if self.available_capacity() > 0:
            self.acceptor.resume()
        elif not self.is_accepting:
            self.evict()

    def on_accepted(self, sock: socket.socket, waiting_since_s: float) -> None:
        """Serve a new connection; its command read timeout runs from when it came."""
        waited_s = time.monotonic() - arrival_s(sock, waiting_since_s)
        self.serve(sock, ResumedConnection(command_due_for_s=waited_s, waiting_since_s=waiting_since_s))

    def on_accept_error(self, error: OSError) -> None:
        """Log and count a failed call of accept, which is retried."""
        log.warning("client accept failed reason=%r", error)
        self.driver.telemetry.metrics.count(Metric.CLIENT_ACCEPT_FAILURES, errno_name(error))

    def serve(self, sock: socket.socket, resumed: ResumedConnection) -> None:
        """Serve a connection: a new one, or one that another process has served until now.

        Args:
            sock: The connection's socket, which this listener closes.
            resumed: The past of the connection.
        """
        self.descriptors_in_use += 1
        task = self.loop.create_task(self._admit(sock, resumed))
        self._admission_tasks.add(task)
        task.add_done_callback(self._admission_tasks.discard)

    async def _admit(self, sock: socket.socket, resumed: ResumedConnection) -> None:
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.loop.connect_accepted_socket(lambda: ClientConnection(self, sock, resumed), sock)
        except OSError:
            sock.close()
            self._release_descriptor()

    def _release_descriptor(self) -> None:
        self.descriptors_in_use -= 1
        self.acceptor.resume()

    # ---- Calls of the connections

    def ping_reply(self) -> bytes:
        """Return the reply to PING: PONG, which attracts traffic, only once an endpoint list is known."""
        return PONG_REPLY if self.is_ready else LOADING_REPLY

    def connection_opened(self, connection: ClientConnection, command_due_for_s: float) -> None:
        """Add a connection that the event loop serves now.

        Args:
            connection: The connection.
            command_due_for_s: For how many seconds its first command has been due.
        """
        self.connections[connection] = None
        self.idle_connections.add(connection, command_due_for_s)

    def connection_closed(self, connection: ClientConnection) -> None:
        """Remove a connection; its descriptor is free."""
        self.connections.pop(connection, None)
        self.idle_connections.discard(connection)
        connection.buffers.release_all()
        self._release_descriptor()

    # ---- Suspending and ending

    def suspend(self) -> None:
        """Accept and read no more, as another process takes over; commands that were taken are answered."""
        self.acceptor.suspend()
        for connection in list(self.connections):
            connection.intake.update_read_pause(connection)

    def resume(self) -> None:
        """Accept and read again, as the other process has given up."""
        self.acceptor.take_back()
        for connection in list(self.connections):
            connection.intake.read_commands(connection)

    def stop_listening(self) -> None:
        """Accept what waits already, and close each connection once all its replies are written."""
        self.is_stopping = True
        for connection in list(self.connections):
            connection.flush()
        self.acceptor.close_when_empty()

    def is_busy(self) -> bool:
        """Whether connections are open, being admitted, or may still wait to be accepted."""
        return self.descriptors_in_use > 0 or self.listening_socket is not None

    def finish(self) -> None:
        """Read no more; each connection closes once all its replies are written."""
        self.acceptor.close()
        for connection in list(self.connections):
            connection.finish()

    def abort(self) -> None:
        """Close all connections at once; replies that are not sent yet are lost."""
        self.acceptor.close()
        self._sweeper.stop()
        for connection in list(self.connections):
            connection.abort()
