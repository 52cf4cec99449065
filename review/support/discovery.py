"""A stand-in for discovery's agent: the whole list at once, then an empty line every 2 s."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from typing import Any

HEARTBEAT_S = 2.0
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"


def instance(name: str, port: int) -> dict[str, Any]:
    """Return the entry of a server that started long ago."""
    return {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{port}",
        "zone": "room-a",
        "machineType": "std-2c",
        "cell": 0,
        "lifecycle": "Ready",
        "weight": 1.0,
        "startedAtMs": 0,
    }


class Discovery:
    """Discovery, in the process of the test."""

    def __init__(self, instances: list[dict[str, Any]]) -> None:
        self.document = {"generation": 1, "reset": True, "instances": instances}
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD)
            line = json.dumps(self.document).encode() + b"\n"
            while True:
                writer.write(b"%x\r\n%b\r\n" % (len(line), line))
                await writer.drain()
                line = b"\n"
                await asyncio.sleep(HEARTBEAT_S)
        writer.close()
