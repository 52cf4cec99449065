"""A fault proxy on the links to the servers: it cuts links, or drops, delays, truncates or fragments data."""

from __future__ import annotations

import asyncio
import random

from soak.fault_kinds import FaultKind
from soak.tcp_reset import abort_with_reset

READ_BYTES = 65_536
MAX_FRAGMENT_BYTES = 9
MAX_FRAGMENTS = 100
"""Approximate limit on the fragments of one piece of data; more data is split into larger fragments."""

MAX_DELAY_S = 0.3
TRUNCATED_SHARE = 0.3


class ProxyLink:
    """The link to one server, and its current fault.

    Attributes:
        port: The port of the link, kept after each cut; 0 before the link first listens.
        fault: The current fault; None if there is none.
    """

    def __init__(self, server_port: int, seed: str) -> None:
        self.port = 0
        self.fault: FaultKind | None = None
        self._server_port = server_port
        self._random = random.Random(seed)
        self._writers: set[asyncio.StreamWriter] = set()
        self._listener: asyncio.Server | None = None

    @property
    def is_listening(self) -> bool:
        """Whether the link accepts connections."""
        return self._listener is not None

    async def listen(self) -> None:
        """Listen, on the same port as before if there was one."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._listener.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Refuse connections, and reset those that are open."""
        if self._listener:
            self._listener.close()
            self._listener = None
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset the open connections."""
        for writer in tuple(self._writers):
            abort_with_reset(writer.transport)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            server_reader, server_writer = await asyncio.open_connection("127.0.0.1", self._server_port)
        except OSError:
            abort_with_reset(writer.transport)
            return
        self._writers |= {writer, server_writer}
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(reader, server_writer, is_reply=False))
                group.create_task(self._forward(server_reader, writer, is_reply=True))
        finally:
            self._writers -= {writer, server_writer}

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_reply: bool
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if self.fault is FaultKind.BLACKHOLE:
                    continue
                if is_reply:
                    await self._pass_reply(data, writer)
                else:
                    writer.write(data)
                    await writer.drain()
            writer.close()
        except OSError:
            abort_with_reset(writer.transport)

    async def _pass_reply(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        if self.fault is FaultKind.DELAYED_REPLY:
            await asyncio.sleep(MAX_DELAY_S * self._random.random())
        if self.fault is FaultKind.TRUNCATED_REPLY and self._random.random() < TRUNCATED_SHARE:
            writer.write(data[: self._random.randrange(len(data))])
            await asyncio.sleep(0)
            abort_with_reset(writer.transport)
            return
        fragment_bytes = self._fragment_bytes(len(data))
        for start in range(0, len(data), fragment_bytes):
            writer.write(data[start : start + fragment_bytes])
            await writer.drain()
            await asyncio.sleep(0)

    def _fragment_bytes(self, data_bytes: int) -> int:
        """Return the size of the fragments for some data; the whole size unless a fault fragments replies."""
        if self.fault is not FaultKind.FRAGMENTED_REPLY:
            return data_bytes
        drawn_bytes = self._random.randint(1, MAX_FRAGMENT_BYTES)
        if data_bytes > MAX_FRAGMENTS * drawn_bytes:
            return data_bytes // MAX_FRAGMENTS
        return drawn_bytes


class FaultProxy:
    """Role of a child process that runs the links to all servers.

    Args:
        server_ports: The port of each server, by name.
        seed: The seed of the run.
    """

    def __init__(self, server_ports: dict[str, int], seed: int) -> None:
        self._links = {name: ProxyLink(port, f"{name} {seed}") for name, port in server_ports.items()}

    async def start(self) -> dict[str, int]:
        """Listen; return the port of the link to each server."""
        for link in self._links.values():
            await link.listen()
        return {name: link.port for name, link in self._links.items()}

    async def begin_fault(self, server: str, kind: str) -> None:
        """Begin a fault on the link to one server."""
        link = self._links[server]
        link.fault = FaultKind(kind)
        if link.fault is FaultKind.LINK_CUT:
            link.cut()

    async def end_fault(self, server: str) -> None:
        """End the fault on the link to one server."""
        link = self._links[server]
        if not link.is_listening:
            await link.listen()
        if link.fault is FaultKind.BLACKHOLE:
            link.reset_connections()  # The connections that stayed open have lost data.
        link.fault = None
