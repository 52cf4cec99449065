"""Clients that follow PROTOCOL: they send requests with ids of their own and keep their connections."""

from __future__ import annotations

import asyncio
from itertools import count

from standins.record import Record
from standins.resp import encode, read_reply

_numbers = count(1)


def new_id() -> str:
    """Return a request id that was not used before."""
    return f"{next(_numbers):016x}"


class Call:
    """One request: its class, customer, plan and units, and how long its client waits for the answer."""

    def __init__(
        self,
        customer: int = 1,
        class_name: str = "trip-search",
        plan: str = "erhverv",
        wait_ms: int = 1500,
        units: int = 1,
        body: bytes | None = None,
        spread: int = 1,
    ) -> None:
        self.request_id = new_id()
        key = "" if body is None else f",k={self.request_id}"
        fields = f"c={class_name},t={plan},d={wait_ms}{key},units={units},spread={spread},first=0"
        self.words = [
            b"CALL.GET" if body is None else b"CALL.POST",
            f"{customer:016x}".encode(),
            self.request_id.encode(),
            fields.encode(),
        ]
        if body is not None:
            self.words.append(body)

    def encode(self) -> bytes:
        """Return the bytes of the command."""
        return encode(self.words)


class Client:
    """One connection of a client."""

    def __init__(self, record: Record, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.record = record
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, record: Record, address: str) -> Client:
        """Connect to a gateway."""
        host, _, port = address.rpartition(":")
        return cls(record, *await asyncio.open_connection(host, int(port), limit=1 << 16))

    def send(self, call: Call) -> None:
        """Send a request whole."""
        self.record.write(f"client sends {call.request_id} {call.words[3].decode()}")
        self.writer.write(call.encode())

    async def receive(self, call: Call) -> bytes | None:
        """Return the reply to a request; None if the connection ends without a whole one."""
        try:
            reply = await read_reply(self.reader)
        except (OSError, asyncio.IncompleteReadError):
            self.record.write(f"client sees its connection end without an answer to {call.request_id}")
            return None
        self.record.write(f"client receives {reply[:60]!r} for {call.request_id}")
        return reply

    async def call(self, call: Call) -> bytes | None:
        """Send a request and return its reply; None if the connection ends without a whole one."""
        self.send(call)
        return await self.receive(call)

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()
