"""A client's connection to a gateway."""

from __future__ import annotations

import asyncio
import time

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
        self._parser = hiredis.Reader(replyError=ReplyError)

    async def read_reply(self) -> object:
        """Read the next reply.

        Raises:
            EOFError: The connection has ended.
            OSError: The connection was reset.
            hiredis.ProtocolError: The received data is not a valid reply.
        """
        while (reply := self._parser.gets()) is False:
            data = await self.reader.read(READ_BYTES)
            if not data:
                raise EOFError
            self.has_partial_reply = True
            self._parser.feed(data)
        self.has_partial_reply = self._parser.has_data()
        return reply

    def close(self, with_reset: bool = False) -> None:
        """Close the connection at once."""
        if with_reset:
            abort_with_reset(self.writer.transport)
        else:
            self.writer.transport.abort()
