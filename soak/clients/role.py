"""Role of a child process that runs clients."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress

from soak.clients.behaviours import BEHAVIOUR_WEIGHTS, behave
from soak.clients.commands import CommandSource
from soak.clients.connection import ClientConnection
from soak.clients.session import ClientContext, ClientSession
from soak.loop_lag import LoopLag
from soak.records import RequestClass, RequestRecord

RECONNECT_INTERVAL_S = 0.05


class SoakClients:
    """Clients that repeatedly connect to a gateway drawn at random.

    Args:
        gateway_ports: The port of each gateway.
        class_names: The classes of their requests.
        connections: The number of concurrent connections.
        seed: The seed of the run.
        number: The number of this client process.
    """

    def __init__(
        self, gateway_ports: list[int], class_names: list[str], connections: int, seed: int, number: int
    ) -> None:
        self._gateway_ports = gateway_ports
        self._connections = connections
        self._random = random.Random(f"clients {seed} {number}")
        self._commands = CommandSource(self._random, [RequestClass(name) for name in class_names], number)
        self._is_stopping = False
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start sending requests."""
        context = ClientContext(self._random, self._commands, LoopLag(), lambda: self._is_stopping)
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._keep_connecting(context)) for _ in range(self._connections)]

    async def stop(self) -> None:
        """Start no more requests, and wait for the answers that are still owed."""
        self._is_stopping = True
        await asyncio.gather(*self._tasks)

    async def records(self) -> list[RequestRecord]:
        """Return the records of all requests."""
        return self._commands.records

    async def _keep_connecting(self, context: ClientContext) -> None:
        """Open and use one connection after another until the clients are stopped."""
        while not self._is_stopping:
            connection = await self._connect()
            if connection is None:
                await asyncio.sleep(RECONNECT_INTERVAL_S)
                continue
            # The event loop raises RuntimeError for a write on a connection that is closed.
            with suppress(OSError, EOFError, TimeoutError, RuntimeError):
                await behave(ClientSession(context, connection))
            with suppress(RuntimeError):
                connection.close()

    async def _connect(self) -> ClientConnection | None:
        """Connect to a gateway drawn at random; return None if it does not accept the connection."""
        gateway = self._random.randrange(len(self._gateway_ports))
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self._gateway_ports[gateway])
        except OSError:
            return None
        behaviour = self._random.choices(list(BEHAVIOUR_WEIGHTS), list(BEHAVIOUR_WEIGHTS.values()))[0]
        return ClientConnection(reader, writer, gateway, behaviour)
