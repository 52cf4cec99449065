"""The listener for clients, which owns their connections, suspends them and closes them."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from quota_gateway import model as api
from quota_gateway.net.buffer_budget import BufferBudget
from quota_gateway.net.client_replies import LOADING_REPLY, PONG_REPLY
from quota_gateway.net.clients.arrival import StallDetector
from quota_gateway.net.clients.command_turns import CommandTurns
from quota_gateway.net.clients.commands import RequestParser
from quota_gateway.net.clients.connection import MAX_READ_SIZE_BYTES, ClientConnection
from quota_gateway.net.clients.connection_admission import ConnectionAdmission
from quota_gateway.net.clients.connection_sweeper import ConnectionSweeper
from quota_gateway.net.clients.idle_connections import IdleConnections
from quota_gateway.net.clients.resumed_connection import ResumedConnection
from quota_gateway.net.clients.value_reservations import ValueReservations

if TYPE_CHECKING:
    from quota_gateway.net.clients.protocols import RequestHandler

__all__ = ["ClientConnection", "ClientListener", "ResumedConnection"]

SWEEP_INTERVAL_S = 0.1  # the sweep interval is much shorter than any timeout that the sweep enforces
LISTEN_BACKLOG = 1024  # connections that wait in the kernel while the capacity is used up


class ClientListener:
    """The listening socket and the connections accepted from it, bounded in number and in memory.

    Args:
        driver: Answers the requests of clients.
        settings: The classes and plans that requests may name, and their bounds.
        max_connections: The maximum number of connections, in both processes of this gateway together.
        budget: Counts the bytes of commands and replies.

    Attributes:
        connections: The connections that the event loop serves, in the order in which they were accepted.
        is_ready: Whether an endpoint list is known.
        is_stopping: Whether each connection closes once all its replies are written.
    """

    def __init__(
        self, driver: RequestHandler, settings: api.Settings, max_connections: int, budget: BufferBudget
    ) -> None:
        self.driver = driver
        self.request_parser = RequestParser(settings)
        self.budget = budget
        self.read_buffer = memoryview(bytearray(MAX_READ_SIZE_BYTES))
        self.reservations = ValueReservations(self.budget)
        self.connections: dict[ClientConnection, None] = {}
        self.idle_connections = IdleConnections()
        self.is_ready = False
        self.is_stopping = False
        self.loop = asyncio.get_running_loop()
        self.command_turns = CommandTurns(self.loop)
        self._admission = ConnectionAdmission(self, max_connections)
        self.acceptor = self._admission.acceptor
        self.stall_detector = StallDetector(SWEEP_INTERVAL_S)
        self._sweeper = ConnectionSweeper(self, self._admission, SWEEP_INTERVAL_S)

    # ---- Listening

    @property
    def listening_socket(self) -> socket.socket | None:
        """The listening socket; None before it is opened and after it is closed."""
        return self.acceptor.socket

    @property
    def is_accepting(self) -> bool:
        """Whether the event loop watches the listening socket."""
        return self.acceptor.is_accepting

    @property
    def is_suspended(self) -> bool:
        """Whether accepting and reading are suspended because another process takes over."""
        return self.acceptor.is_suspended

    def listen(self, host: str, port: int) -> tuple[str, int]:
        """Listen on an address that another process may listen on too.

        Returns:
            The address, with the port that the kernel chose if ``port`` is 0.

        Raises:
            OSError: The address is in use or does not belong to this machine.
        """
        return self.adopt(socket.create_server((host, port), backlog=LISTEN_BACKLOG, reuse_port=True))

    def adopt(self, listening_socket: socket.socket, waited_s: float = 0.0) -> tuple[str, int]:
        """Accept from a listening socket that another process may have accepted from before.

        Args:
            listening_socket: The socket.
            waited_s: How many seconds connections may have waited in the socket's queue.

        Returns:
            The socket's address.
        """
        self.acceptor.open(listening_socket, waited_s)
        address: tuple[str, int] = listening_socket.getsockname()
        return address

    @property
    def descriptors_in_use(self) -> int:
        """The number of connections, from accepting them until the event loop has closed their sockets."""
        return self._admission.descriptors_in_use

    @property
    def peer_connections(self) -> int:
        """The number of connections of the peer process, which shares the capacity of this gateway."""
        return self._admission.peer_connections

    @peer_connections.setter
    def peer_connections(self, count: int) -> None:
        self._admission.peer_connections = count

    def serve(self, sock: socket.socket, resumed: ResumedConnection) -> None:
        """Serve a connection that another process has served until now.

        Args:
            sock: The connection's socket, which is closed with the connection.
            resumed: The state of the connection in the other process.
        """
        self._admission.admit(sock, resumed)

    # ---- Callbacks of the connections

    def ping_reply(self) -> bytes:
        """Return the reply to PING: PONG, which attracts traffic, only if an endpoint list is known."""
        return PONG_REPLY if self.is_ready else LOADING_REPLY

    def connection_opened(self, connection: ClientConnection, command_due_for_s: float) -> None:
        """Add a connection that the event loop has started to serve.

        Args:
            connection: The connection.
            command_due_for_s: How many seconds its first command has been due.
        """
        self.connections[connection] = None
        self.idle_connections.add(connection, command_due_for_s)

    def connection_closed(self, connection: ClientConnection) -> None:
        """Remove a closed connection, and free its capacity."""
        self.connections.pop(connection, None)
        self.idle_connections.discard(connection)
        connection.buffers.release_all()
        self._admission.release_descriptor()

    # ---- Suspending and closing

    def suspend(self) -> None:
        """Stop accepting and reading because another process takes over; taken commands are answered."""
        self.acceptor.suspend()
        for connection in list(self.connections):
            connection.intake.update_read_pause(connection)

    def resume(self) -> None:
        """Accept and read again after an aborted handover."""
        self.acceptor.end_suspension()
        for connection in list(self.connections):
            connection.intake.read_commands(connection)

    def stop_listening(self) -> None:
        """Accept the connections that already wait, and close each one once all its replies are written."""
        self.is_stopping = True
        for connection in list(self.connections):
            connection.flush()
        self.acceptor.close_when_empty()

    def is_busy(self) -> bool:
        """Whether connections are open, being admitted, or may still wait to be accepted."""
        return self.descriptors_in_use > 0 or self.listening_socket is not None

    def finish(self) -> None:
        """Stop accepting and reading; each connection closes once all its replies are written."""
        self.acceptor.close()
        for connection in list(self.connections):
            connection.finish()

    def abort(self) -> None:
        """Close all connections at once; replies that are not sent yet are lost."""
        self.acceptor.close()
        self._sweeper.stop()
        for connection in list(self.connections):
            connection.abort()
