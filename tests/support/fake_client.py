"""A client of the gateway, or of anything else that speaks RESP2."""

from __future__ import annotations

import asyncio
from types import TracebackType
from typing import Any, Self

import hiredis

READ_SIZE_BYTES = 65_536


class ErrorReply(Exception):  # noqa: N818 - a reply that hiredis makes, not an error that is raised
    """An error reply as a client reads it."""


class FakeClient:
    """One connection, which sends commands and reads replies; as an async context manager it closes."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def __init__(self) -> None:
        self.parser = hiredis.Reader(replyError=ErrorReply)

    async def open(self, port: int) -> Self:
        """Connect to a port of this machine."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        return self

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        self.close()

    def send(self, *commands: bytes) -> None:
        """Send commands in one write."""
        self.writer.write(b"".join(commands))

    async def read_reply(self) -> Any:
        """Read the next reply: an error as text after a dash, None when the connection has ended."""
        while (reply := self.parser.gets()) is False:
            data = await self.reader.read(READ_SIZE_BYTES)
            if not data:
                return None
            self.parser.feed(data)
        return f"-{reply}" if isinstance(reply, ErrorReply) else reply

    async def request(self, *commands: bytes) -> Any:
        """Send commands and read one reply."""
        self.send(*commands)
        return await self.read_reply()
