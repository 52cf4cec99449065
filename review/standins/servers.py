"""A server that follows PROTOCOL, with a behaviour that a case may replace."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

from standins.record import Record
from standins.resp import read_command

Behaviour = Callable[["Run", asyncio.StreamWriter], Awaitable[None]]


class Run:
    """One command that a server has received whole."""

    def __init__(self, server: str, command: list[bytes], at_ms: float) -> None:
        self.server = server
        self.command = command
        self.request_id = command[2].decode()
        self.at_ms = at_ms


def value_of(run: Run) -> bytes:
    """Return the value that a server makes for a request: it names the request and the server."""
    return f"value of {run.request_id} by {run.server}".encode()


def encode_answer(value: bytes) -> bytes:
    """Encode an answer without figures on use and without a load report."""
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


def answer_after(seconds: float) -> Behaviour:
    """Return the behaviour of a sound server that works for so long on each command."""

    async def behave(run: Run, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(seconds)
        writer.write(encode_answer(value_of(run)))

    return behave


class Server:
    """Listens on a free loopback port and answers commands by its behaviour, one at a time a connection."""

    def __init__(self, name: str, record: Record, behave: Behaviour) -> None:
        self.name = name
        self.record = record
        self.behave = behave
        self.address = ""
        self.runs: list[Run] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 16)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                command = await read_command(reader)
                run = Run(self.name, command, self.record.now_ms())
                self.runs.append(run)
                self.record.write(f"{self.name} runs {run.request_id} {command[3].decode()}")
                await self.behave(run, writer)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    def reset_connections(self) -> None:
        """Close all open connections at once."""
        for writer in list(self._writers):
            writer.transport.abort()

    def stop(self) -> None:
        """Stop listening, and close all connections."""
        if self._server:
            self._server.close()
        self.reset_connections()
