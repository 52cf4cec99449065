"""One server: its listener, its connections, and the faults that are injected into it."""

from __future__ import annotations

import asyncio
import time

from soak.fault_kinds import FaultKind
from soak.loop_lag import LoopLag
from soak.servers.connection import ServerConnection
from soak.servers.state import ServerState


class SoakServer:
    """A server.

    Args:
        state: The state that its connections share.
        lag: Measures how late the process notices events.

    Attributes:
        state: The state that its connections share.
        port: The port of the server, kept while it is down; 0 before it first listens.
    """

    def __init__(self, state: ServerState, lag: LoopLag) -> None:
        self.state = state
        self.port = 0
        self._lag = lag
        self._connections: set[ServerConnection] = set()
        self._listener: asyncio.Server | None = None

    async def listen(self) -> None:
        """Listen, on the same port as before if there was one."""
        self._listener = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(self.state, self._connections, self._lag), "127.0.0.1", self.port
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    def begin_fault(self, kind: FaultKind) -> None:
        """Begin a fault."""
        self.state.fault = kind
        match kind:
            case FaultKind.DOWN:
                self._stop_listening()
            case FaultKind.RESET_IDLE_CONNECTIONS:
                self._reset_connections(only_idle=True)
            case FaultKind.RESET_ALL_CONNECTIONS:
                self._reset_connections()
            case FaultKind.NOT_READING:
                for connection in self._connections:
                    connection.set_reading(False)

    async def end_fault(self) -> None:
        """End the current fault."""
        if self._listener is None:
            await self.listen()
        if self.state.fault is FaultKind.NOT_READING:
            self.state.reading_resumed_s = time.monotonic()
            for connection in self._connections:
                connection.set_reading(True)
        self.state.fault = None

    def _stop_listening(self) -> None:
        """Refuse connections, and reset those that are open."""
        if self._listener:
            self._listener.close()
            self._listener = None
        self._reset_connections()

    def _reset_connections(self, only_idle: bool = False) -> None:
        """Reset the connections, or only those without a request in flight."""
        for connection in tuple(self._connections):
            if not (only_idle and connection.commands_in_flight):
                connection.reset()
