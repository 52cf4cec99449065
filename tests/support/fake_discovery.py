"""A fake discovery service and encoders for the lines of its watches."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from typing import Any

from tests.support.loopback_server import LoopbackServer

CLOSED_BY_GATEWAY = "by the gateway"
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: x/json\r\nTransfer-Encoding: chunked\r\n\r\n"


class FakeDiscovery(LoopbackServer):
    """A discovery service that accepts each watch; the test writes the lines.

    Attributes:
        request_targets: Request target of each watch, with path and query.
        watch_writers: Stream of each watch, on which the test writes lines as HTTP chunks.
        closed_watches: ``CLOSED_BY_GATEWAY`` for each watch that has ended, also if the test closed it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.request_targets: asyncio.Queue[str] = asyncio.Queue()
        self.watch_writers: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()
        self.closed_watches: asyncio.Queue[str] = asyncio.Queue()

    async def next_watch(self) -> tuple[str, asyncio.StreamWriter]:
        """Wait for the next watch; return its request target and the stream for its lines."""
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
    """Encode a line of a watch: a complete snapshot if ``reset`` is set, otherwise a delta."""
    document = {"generation": generation, "reset": reset, "instances": instances}
    return json.dumps(document).encode() + b"\n"


def make_instance(name: str, port: int, lifecycle: str = "Ready", started_ms: int = 0) -> dict[str, Any]:
    """Make the JSON object with which discovery lists a server."""
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
