"""The listener for clients: accepts connections within limits, sweeps them, suspends and ends them."""

from __future__ import annotations

import asyncio
import logging
import socket
import time

from quota_gateway import model as api
from quota_gateway.net.acceptor import Acceptor, AcceptorOwner
from quota_gateway.net.clients.arrival import StallDetector, arrival_s
from quota_gateway.net.clients.buffer_budget import BufferBudget
from quota_gateway.net.clients.commands import RequestParser
from quota_gateway.net.clients.connection import ClientConnection, ResumedConnection
from quota_gateway.net.clients.idle_connections import IdleConnections
from quota_gateway.net.driver import Driver
from quota_gateway.net.transient_errors import errno_name
from quota_gateway.telemetry import Metric

__all__ = ["ClientConnection", "ClientListener", "ResumedConnection"]

log = logging.getLogger(__name__)

SWEEP_INTERVAL_S = 0.1  # between two looks at who is overdue: short against the shortest time-out
LISTEN_BACKLOG = 1024  # connections that wait in the kernel: all that come while there is no room


class ClientListener(AcceptorOwner):
    """The listening socket and the connections accepted from it, bounded in number and in memory."""

    def __init__(
        self, driver: Driver, settings: api.Settings, max_connections: int, max_buffered_bytes: int
    ) -> None:
        self.driver = driver
        self.request_parser = RequestParser(settings)
        self.max_connections = max_connections
        self.budget = BufferBudget(max_buffered_bytes)  # of commands and replies
        self.connections: dict[ClientConnection, None] = {}  # in the order in which they were accepted
        self.idle_connections = IdleConnections()
        self.descriptors_in_use = 0  # from accepting until the loop has closed them
        self.peer_connections = 0  # of the other process of this gateway
        self.is_ready = False  # whether an endpoint list is known
        self.is_stopping = False  # each connection closes once nothing is owed on it
        self.acceptor = Acceptor(self)
        self.stalls = StallDetector(SWEEP_INTERVAL_S)
        self.loop = asyncio.get_running_loop()
        self._admission_tasks: set[asyncio.Task[None]] = set()
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    @property
    def max_buffered_bytes(self) -> int:
        """How many bytes of commands and replies may be held; two processes share them at a handover."""
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
        """Whether the loop watches the listening socket."""
        return self.acceptor.is_accepting

    @property
    def is_suspended(self) -> bool:
        """Whether another process serves: nothing is accepted or read here."""
        return self.acceptor.is_suspended

    def listen(self, host: str, port: int) -> tuple[str, int]:
        """Listen on one address; a new version may listen there beside this one.

        Returns:
            The address, with the port that was chosen where ``port`` is 0.

        Raises:
            OSError: The address can't be had.
        """
        return self.adopt(socket.create_server((host, port), backlog=LISTEN_BACKLOG, reuse_port=True))

    def adopt(self, listening_socket: socket.socket, waited_s: float = 0.0) -> tuple[str, int]:
        """Accept from a socket that another process may have accepted from; its address.

        Args:
            listening_socket: The socket.
            waited_s: For how long nobody may have accepted from it.
        """
        self.acceptor.open(listening_socket, waited_s)
        address: tuple[str, int] = listening_socket.getsockname()
        return address

    def free_places(self) -> int:
        """How many connections there is room for, counted over all processes of this gateway."""
        return self.max_connections - self.descriptors_in_use - self.peer_connections

    def make_room(self) -> None:
        """Close connections of no use, as others wait to be accepted."""
        self.idle_connections.make_room()

    def on_accepted(self, sock: socket.socket, waiting_since_s: float) -> None:
        """Serve a new connection; its command is due from when it came."""
        waited_s = time.monotonic() - arrival_s(sock, waiting_since_s)
        self.serve(sock, ResumedConnection(command_due_for_s=waited_s, waiting_since_s=waiting_since_s))

    def on_accept_error(self, error: OSError) -> None:
        """Note that a call of accept has failed; it is tried again soon."""
        log.warning("client accept failed reason=%r", error)
        self.driver.telemetry.metrics.count(Metric.CLIENT_ACCEPT_FAILURES, errno_name(error))

    def serve(self, sock: socket.socket, resumed: ResumedConnection) -> None:
        """Serve a connection: a new one, or one that another process has served until now.

        Args:
            sock: The connection, which is this listener's to close from now on.
            resumed: What went before on it.
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

    # ---- What connections ask of their listener

    def ping_reply(self) -> bytes:
        """The reply to PING: PONG, on which traffic comes, only once there are endpoints to forward it to."""
        return b"+PONG\r\n" if self.is_ready else b"-LOADING the list of servers is not known yet\r\n"

    def connection_opened(self, connection: ClientConnection, command_due_for_s: float) -> None:
        """Count a connection that the loop serves now.

        Args:
            connection: The connection; its first command is due.
            command_due_for_s: For how long that has been.
        """
        self.connections[connection] = None
        self.idle_connections.add(connection, command_due_for_s)

    def connection_closed(self, connection: ClientConnection) -> None:
        """Count a connection no more; its descriptor is free."""
        self.connections.pop(connection, None)
        self.idle_connections.discard(connection)
        connection.buffers.release_all()
        self._release_descriptor()

    # ---- The sweep

    def _sweep(self) -> None:
        """Look after connections that nothing else wakes: overdue, disconnected, or in others' place."""
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        self.stalls.tick()
        self.idle_connections.time_out_overdue()
        for connection in [item for item in self.connections if item.is_owed_while_unread()]:
            connection.close_if_disconnected()
        if self.free_places() > 0:
            self.acceptor.resume()
        elif not self.is_accepting:
            self.idle_connections.make_room()  # somebody waits

    # ---- Suspending and ending

    def suspend(self) -> None:
        """Accept and read no more, as another process takes over; what was taken is still answered."""
        self.acceptor.suspend()
        for connection in list(self.connections):
            connection.intake.update_read_pause(connection)

    def resume(self) -> None:
        """Go on as before, as there is no other process after all."""
        self.acceptor.take_back()
        for connection in list(self.connections):
            connection.intake.read_commands(connection)

    def stop_listening(self) -> None:
        """Accept what waits already, and close each connection once nothing is owed on it."""
        self.is_stopping = True
        for connection in list(self.connections):
            connection.flush()
        self.acceptor.close_when_empty()

    def is_busy(self) -> bool:
        """Whether connections are open or on their way in, or some may still wait to be accepted."""
        return self.descriptors_in_use > 0 or self.listening_socket is not None

    def finish(self) -> None:
        """Read no more; each connection closes once what was read is answered and the replies are written."""
        self.acceptor.close()
        for connection in list(self.connections):
            connection.finish()

    def abort(self) -> None:
        """Close what is left, at the very end."""
        self.acceptor.close()
        self._sweep_timer.cancel()
        for connection in list(self.connections):
            connection.abort()
