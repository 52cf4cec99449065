"""A fault proxy before the servers: cuts, swallows, delays and breaks what goes through it."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from contextlib import suppress

READ_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
MAX_FRAGMENT_BYTES = 9
MAX_DELAY_S = 0.3
BREAK_SHARE = 0.3


class ProxyLink:
    """The way to one server, and its trouble."""

    def __init__(self, server_port: int, seed: str) -> None:
        self.server_port = server_port
        self.trouble = ""
        self.random = random.Random(seed)
        self.writers: set[asyncio.StreamWriter] = set()
        self.listener: asyncio.Server | None = None
        self.port = 0

    async def listen(self) -> None:
        """Listen, at the same port as before if there was one."""
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.listener.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Refuse connections, and reset those that are open."""
        if self.listener:
            self.listener.close()
            self.listener = None
        for writer in tuple(self.writers):
            _reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            server_reader, server_writer = await asyncio.open_connection("127.0.0.1", self.server_port)
        except OSError:
            _reset(writer)
            return
        self.writers |= {writer, server_writer}
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(reader, server_writer, is_reply=False))
                group.create_task(self._forward(server_reader, writer, is_reply=True))
        finally:
            self.writers -= {writer, server_writer}

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_reply: bool
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if self.trouble == "blackhole":
                    continue
                if is_reply:
                    await self._pass_reply(data, writer)
                else:
                    writer.write(data)
                    await writer.drain()
            writer.close()
        except OSError:
            _reset(writer)

    async def _pass_reply(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        if self.trouble == "delay":
            await asyncio.sleep(MAX_DELAY_S * self.random.random())
        if self.trouble == "break" and self.random.random() < BREAK_SHARE:
            writer.write(data[: self.random.randrange(len(data))])
            await asyncio.sleep(0)
            _reset(writer)
            return
        size = self.random.randint(1, MAX_FRAGMENT_BYTES) if self.trouble == "fragment" else len(data)
        if len(data) > 100 * size:
            size = len(data) // 100
        for start in range(0, len(data), size):
            writer.write(data[start : start + size])
            await writer.drain()
            await asyncio.sleep(0)


def _reset(writer: asyncio.StreamWriter) -> None:
    with suppress(OSError):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


class FaultProxy:
    """The links to all servers; a child's role."""

    def __init__(self, server_ports: dict[str, int], seed: int) -> None:
        self._links = {name: ProxyLink(port, f"{name} {seed}") for name, port in server_ports.items()}

    async def start(self) -> dict[str, int]:
        """Listen; return the port of the link to each server."""
        for link in self._links.values():
            await link.listen()
        return {name: link.port for name, link in self._links.items()}

    async def begin_trouble(self, server: str, kind: str) -> None:
        """Begin a trouble on the way to one server."""
        link = self._links[server]
        link.trouble = kind
        if kind == "cut":
            link.cut()

    async def end_trouble(self, server: str) -> None:
        """End it."""
        link = self._links[server]
        if link.listener is None:
            await link.listen()
        if link.trouble == "blackhole":  # bytes are missing on what stayed open
            for writer in tuple(link.writers):
                _reset(writer)
        link.trouble = ""
