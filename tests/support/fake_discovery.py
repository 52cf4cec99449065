"""A fake discovery service, which serves scripted watches, and the lines it sends."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from typing import Any

from tests.support.loopback_server import LoopbackServer

CLOSED_BY_GATEWAY = "by the gateway"
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: x/json\r\nTransfer-Encoding: chunked\r\n\r\n"


class FakeDiscovery(LoopbackServer):
    """Accepts each watch and leaves its lines to the test.

    Attributes:
        request_targets: the target of each request: path and query.
        watch_writers: where to write the lines of each watch, as chunks.
        closed_watches: an item for each watch that the gateway has closed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.request_targets: asyncio.Queue[str] = asyncio.Queue()
        self.watch_writers: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()
        self.closed_watches: asyncio.Queue[str] = asyncio.Queue()

    async def next_watch(self) -> tuple[str, asyncio.StreamWriter]:
        """Wait for the next watch: the target of its request and where to write its lines."""
        return await self.request_targets.get(), await self.watch_writers.get()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        writer.write(RESPONSE_HEAD)
        self.request_targets.put_nowait(head.split()[1].decode())
        self.watch_writers.put_nowait(writer)
        with suppress(OSError):
            while await reader.read(1000):
                pass
        self.closed_watches.put_nowait(CLOSED_BY_GATEWAY)


def encode_chunk(data: bytes) -> bytes:
    """Encode a chunk of a chunked HTTP body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def encode_update(generation: int, *instances: dict[str, Any], reset: bool = False) -> bytes:
    """Encode a line of a watch; a reset is a complete snapshot, otherwise it is a delta."""
    document = {"generation": generation, "reset": reset, "instances": instances}
    return json.dumps(document).encode() + b"\n"


def make_instance(name: str, port: int, lifecycle: str = "Ready", started_ms: int = 0) -> dict[str, Any]:
    """Make the JSON object of a server, as discovery lists it."""
    return {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{port}",
        "zone": "a",
        "machineType": "m",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": started_ms,
    }
