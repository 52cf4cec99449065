"""One child of a scale run: a role that is called by lines of JSON on standard input and answers on output.

It ends when its input does, so that none outlives the run that started it.
"""

from __future__ import annotations

import asyncio
import logging
import os
import resource
import sys
from collections.abc import Callable
from typing import Any

import msgspec
import uvloop

from scale.discovery import StandIn
from scale.hollow import Hollows, Module
from scale.load import Load
from scale.servers import Servers

ROLES: dict[str, Callable[..., Any]] = {
    "discovery": StandIn,
    "servers": Servers,
    "load": Load,
    "hollow": Hollows,
    "module": Module,
}
LONGEST_LINE = 1 << 28


class Call(msgspec.Struct, frozen=True):
    """A call of the parent: a method of the role and its arguments."""

    name: str
    arguments: dict[str, Any]


async def _read(calls: asyncio.Queue[bytes]) -> None:
    """Take the calls in; at the end of the input go at once, also in the middle of a call."""
    reader = asyncio.StreamReader(LONGEST_LINE)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        calls.put_nowait(line)
    os._exit(0)


async def serve(role: str) -> None:
    """Make the role with the first call's arguments, then carry out one call after the other."""
    calls: asyncio.Queue[bytes] = asyncio.Queue()
    reading = asyncio.create_task(_read(calls))
    made: Any = None
    while not reading.done():
        call = msgspec.json.decode(await calls.get(), type=Call)
        try:
            if made is None:
                made = ROLES[role](**call.arguments)
                answer = {"answer": await made.start()}
            else:
                answer = {"answer": await getattr(made, call.name)(**call.arguments)}
        except Exception as error:  # told to the parent, which ends the run
            answer = {"error": repr(error)}
        sys.stdout.buffer.write(msgspec.json.encode(answer) + b"\n")
        sys.stdout.buffer.flush()


def main() -> None:
    """Serve until the input ends."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    logging.getLogger("quota_gateway").setLevel(logging.CRITICAL)  # a fleet without its watches would fill it
    uvloop.run(serve(sys.argv[1]))


if __name__ == "__main__":
    main()
