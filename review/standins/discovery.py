"""A discovery agent that follows PROTOCOL: the whole list, a watch with changes, an empty line every 2 s."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from typing import Any

HEARTBEAT_S = 2.0

Row = dict[str, Any]


def make_row(name: str, address: str, zone: str = "room-a", lifecycle: str = "Ready", cell: int = 0) -> Row:
    """Return the entry of one server in discovery's list."""
    return {
        "instanceId": name,
        "hostPort": address,
        "zone": zone,
        "machineType": "std-2c",
        "cell": cell,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": 0,
    }


class Discovery:
    """Serves one list of servers, and tells each change on the open watches at once."""

    def __init__(self, rows: list[Row]) -> None:
        self.rows = {row["instanceId"]: row for row in rows}
        self.generation = 1
        self.address = ""
        self._watches: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def document(self, rows: list[Row] | None = None) -> Row:
        """Return the whole list, or a change with these entries."""
        changed = list(self.rows.values()) if rows is None else rows
        return {"generation": self.generation, "reset": rows is None, "instances": changed}

    def change(self, row: Row) -> None:
        """Change one entry, and tell all watches."""
        self.generation += 1
        self.rows[row["instanceId"]] = row
        for watch in self._watches:
            self._write(watch, json.dumps(self.document([row])))

    def _write(self, writer: asyncio.StreamWriter, line: str) -> None:
        data = line.encode() + b"\n"
        with suppress(OSError, RuntimeError):
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            if b"watch=1" not in head.split(b"\r\n")[0]:
                body = json.dumps(self.document()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._write(writer, json.dumps(self.document()))
            self._watches.add(writer)
            while not writer.is_closing():
                await asyncio.sleep(HEARTBEAT_S)
                self._write(writer, "")
                await writer.drain()
        self._watches.discard(writer)
        writer.close()

    def stop(self) -> None:
        """Stop listening and end all watches."""
        if self._server:
            self._server.close()
        for watch in list(self._watches):
            watch.close()
