"""A TCP server on loopback that closes everything it opened."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from types import TracebackType
from typing import Self


class LoopbackServer(ABC):
    """Base of the fake servers; as an async context manager it runs from entry to exit.

    Attributes:
        server: the listening server, once started.
        port: where it listens, once started.
        writers: one a connection, in the order of acceptance.
    """

    server: asyncio.Server
    port: int

    def __init__(self) -> None:
        self.writers: list[asyncio.StreamWriter] = []
        self.is_started = False

    async def start(self) -> Self:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.is_started = True
        return self

    def close(self) -> None:
        """Stop listening and abort all connections."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def __aenter__(self) -> Self:
        return await self.start()

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        self.close()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        await self._serve(reader, writer)

    @abstractmethod
    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
