"""A base class for fake TCP servers on loopback."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from types import TracebackType
from typing import Self


class LoopbackServer(ABC):
    """A TCP server on loopback; as an async context manager it runs from entry to exit.

    Attributes:
        server: Listening server; set by ``start``.
        port: Port that the server listens on; set by ``start``.
        writers: Stream writers of all connections, in the order of acceptance.
        is_started: Whether ``start`` has been called.
    """

    server: asyncio.Server
    port: int

    def __init__(self) -> None:
        self.writers: list[asyncio.StreamWriter] = []
        self.is_started = False

    async def start(self) -> Self:
        """Listen on a free port and return this server."""
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
