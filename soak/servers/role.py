"""Role of a child process that runs servers."""

from __future__ import annotations

from soak.fault_kinds import FaultKind
from soak.loop_lag import LoopLag
from soak.records import BegunReply, CommandRecord, CompleteReply
from soak.servers.server import SoakServer
from soak.servers.state import ServerState


class SoakServers:
    """The servers of one process.

    Args:
        names: The names of the servers.
        capacity: The number of requests that each server can process at once without slowing down.
        mean_service_s: The median of the log-normal service times; their mean is slightly larger.
        seed: The seed of the run.
    """

    def __init__(self, names: list[str], capacity: int, mean_service_s: float, seed: int) -> None:
        self._states = {name: ServerState(name, capacity, mean_service_s, seed) for name in names}
        self._servers: dict[str, SoakServer] = {}

    async def start(self) -> dict[str, int]:
        """Listen; return the port of each server."""
        lag = LoopLag()
        self._servers = {name: SoakServer(state, lag) for name, state in self._states.items()}
        for server in self._servers.values():
            await server.listen()
        return {name: server.port for name, server in self._servers.items()}

    async def begin_fault(self, server: str, kind: str) -> None:
        """Begin a fault at one server."""
        self._servers[server].begin_fault(FaultKind(kind))

    async def end_fault(self, server: str) -> None:
        """End the fault at one server."""
        await self._servers[server].end_fault()

    async def records(self) -> list[CommandRecord]:
        """Return the commands that all servers have received."""
        return [record for server in self._servers.values() for record in server.state.records]

    async def complete_replies(self) -> list[CompleteReply]:
        """Return the long values that all servers have written whole."""
        return [reply for server in self._servers.values() for reply in server.state.complete_replies]

    async def begun_replies(self) -> list[BegunReply]:
        """Return the long values whose header a server has written ahead of the rest."""
        return [reply for server in self._servers.values() for reply in server.state.begun_replies]
