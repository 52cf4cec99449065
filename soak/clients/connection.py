"""A client's connection to a gateway."""

from __future__ import annotations

import asyncio
import time
from math import inf

import hiredis

from soak.records import ClientBehaviour
from soak.tcp_reset import abort_with_reset

READ_BYTES = 65_536


class ReplyError(Exception):
    """An error reply; hiredis returns it as the value of the reply."""


class ClientConnection:
    """A connection with its reply parser and the data that request records need.

    Attributes:
        reader: Reads from the gateway.
        writer: Writes to the gateway.
        gateway: The gateway's index.
        behaviour: How the client uses the connection.
        request_count: The number of requests that were written on the connection.
        connected_s: When the connection was opened, by the monotonic clock.
        idle_since_s: The time since which no answer is owed, by the monotonic clock.
        has_partial_reply: Whether the beginning of an incomplete reply has been read.
        read_bytes_per_s: The rate at which the client reads; infinite for as fast as it can.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gateway: int,
        behaviour: ClientBehaviour,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.gateway = gateway
        self.behaviour = behaviour
        self.request_count = 0
        self.connected_s = time.monotonic()
        self.idle_since_s = self.connected_s
        self.has_partial_reply = False
        self.read_bytes_per_s = inf
        self._parser = hiredis.Reader(replyError=ReplyError)

    async def begin_reply(self) -> None:
        """Read the first bytes of the next reply, unless they have been read already.

        Raises:
            EOFError: The connection has ended.
            OSError: The connection was reset.
        """
        if not self._parser.has_data():
            await self._read_some()

    async def read_reply(self) -> object:
        """Read the next reply.

        Raises:
            EOFError: The connection has ended.
            OSError: The connection was reset.
            hiredis.ProtocolError: The received data is not a valid reply.
        """
        while (reply := self._parser.gets()) is False:
            await self._read_some()
        self.has_partial_reply = self._parser.has_data()
        return reply

    async def _read_some(self) -> None:
        data = await self.reader.read(READ_BYTES)
        if not data:
            raise EOFError
        self.has_partial_reply = True
        self._parser.feed(data)
        await asyncio.sleep(len(data) / self.read_bytes_per_s)

    def close(self, with_reset: bool = False) -> None:
        """Close the connection at once."""
        if with_reset:
            abort_with_reset(self.writer.transport)
        else:
            self.writer.transport.abort()
