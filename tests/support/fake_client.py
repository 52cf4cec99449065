"""A test client for the gateway and other RESP2 servers."""

from __future__ import annotations

import asyncio
from types import TracebackType
from typing import Any, Self

import hiredis

READ_SIZE_BYTES = 65_536


class ErrorReply(Exception):  # noqa: N818 - hiredis returns it as a reply and never raises it
    """An error reply that a client has read."""


class FakeClient:
    """A client with one connection; as an async context manager it closes the connection on exit."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def __init__(self) -> None:
        self.parser = hiredis.Reader(replyError=ErrorReply)

    async def open(self, port: int) -> Self:
        """Connect to a port on loopback and return this client."""
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
        """Read the next reply.

        Returns:
            The reply, with an error reply as its text after a dash; None if the connection has ended.
        """
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
