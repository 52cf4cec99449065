"""A stand-in for a server of the shared API, as a process of its own.

It serves as the protocol page says: commands of a connection in their order, a value and two nulls for each.
The work of a request and the length of its value are given by the request's id or class, see ``Behaviour``.
It stops work for a connection that has ended. What it does is written to a log, one JSON object a line, with
times of the monotonic clock, which all processes of the machine share.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import Any, NamedTuple

if __name__ == "__main__":
    sys.path.insert(0, str(Path(__file__).parent.parent))

from support.resp import fields_of, take_command

PIECE_S = 0.02


class Behaviour(NamedTuple):
    """How a server serves.

    Attributes:
        work_s: Seconds of work for a request.
        work_by_prefix: Other seconds of work, by the beginning of the request's id.
        long_class: The class whose values are long.
        long_bytes: The length of a long value.
        long_rate: Bytes of a long value that the server gives each second.
        endless_prefix: The beginning of the ids of requests whose long value never ends: the server gives
            ``endless_bytes`` of it, and then nothing more.
        endless_bytes: See ``endless_prefix``.
    """

    work_s: float = 0.06
    work_by_prefix: dict[str, float] | None = None
    long_class: str = ""
    long_bytes: int = 0
    long_rate: float = 4e6
    endless_prefix: str | None = None
    endless_bytes: int = 0


class Log:
    """The log of one server."""

    def __init__(self, path: Path, server: str) -> None:
        self._file = path.open("a", buffering=1)
        self._server = server

    def add(self, what: str, **details: Any) -> None:
        """Write one line."""
        line = {"t": time.monotonic(), "server": self._server, "what": what, **details}
        self._file.write(json.dumps(line) + "\n")


class ServerConnection(asyncio.Protocol):
    """One connection of a gateway."""

    def __init__(self, behaviour: Behaviour, log: Log) -> None:
        self._behaviour = behaviour
        self._log = log
        self._buffer = bytearray()
        self._first_byte_s = 0.0
        self._commands: asyncio.Queue[list[bytes]] = asyncio.Queue()
        self._transport: Any = None
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to serve."""
        self._transport = transport
        self._task = asyncio.get_running_loop().create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Stop the work."""
        if self._task:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Take the commands that are complete."""
        now_s = time.monotonic()
        if not self._buffer:
            self._first_byte_s = now_s
        self._buffer += data
        while command := take_command(self._buffer):
            fields = fields_of(command[3])
            self._log.add(
                "arrived",
                id=command[2].decode(),
                first_byte=self._first_byte_s,
                last_byte=now_s,
                units=float(fields["units"]),
                service=fields["c"],
                d=fields["d"],
            )
            self._first_byte_s = now_s
            self._commands.put_nowait(command)

    async def _serve(self) -> None:
        while True:
            command = await self._commands.get()
            request_id = command[2].decode()
            await asyncio.sleep(self._work_s(request_id))
            if fields_of(command[3])["c"] == self._behaviour.long_class:
                await self._give_long_value(request_id)
            else:
                value = request_id.encode()
                self._transport.write(b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value))
            self._log.add("served", id=request_id)

    def _work_s(self, request_id: str) -> float:
        prefixes = self._behaviour.work_by_prefix or {}
        return next(
            (work_s for prefix, work_s in prefixes.items() if request_id.startswith(prefix)),
            self._behaviour.work_s,
        )

    async def _give_long_value(self, request_id: str) -> None:
        behaviour = self._behaviour
        self._log.add("value begun", id=request_id)
        piece = b"v" * int(behaviour.long_rate * PIECE_S)
        self._transport.write(b"*3\r\n$%d\r\n" % behaviour.long_bytes)
        started_s = time.monotonic()
        given = 0
        prefix = behaviour.endless_prefix
        is_endless = prefix is not None and request_id.startswith(prefix)
        to_give = behaviour.endless_bytes if is_endless else behaviour.long_bytes
        while given < to_give:
            part = piece[: to_give - given]
            self._transport.write(part)
            given += len(part)
            due_s = started_s + given / behaviour.long_rate
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        if is_endless:
            self._log.add("gives no more", id=request_id, given=given)
            await asyncio.Event().wait()
        self._transport.write(b"\r\n$-1\r\n$-1\r\n")


async def main() -> None:
    """Serve until the process is ended; the port is the first line of the output."""
    name, log_path, behaviour = sys.argv[1], Path(sys.argv[2]), Behaviour(**json.loads(sys.argv[3]))
    log = Log(log_path, name)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: ServerConnection(behaviour, log), "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
