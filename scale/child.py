"""A child process with a role: reads commands as JSON lines on standard input, replies on standard output.

The process exits at the end of its input, so that it never outlives the run that started it.
"""

from __future__ import annotations

import asyncio
import logging
import os
import resource
import sys
from collections.abc import Callable, Mapping
from typing import Any

import msgspec
import uvloop

from scale.fleet.hollow import HollowGateways
from scale.load.client import LoadGenerator
from scale.measurements.policy_benchmark import PolicyBenchmark
from scale.messages import MAXIMUM_LINE_BYTES, ChildCommand, ChildReply
from scale.stubs.discovery import DiscoveryStub
from scale.stubs.servers import ServerStubs

ROLES: dict[str, Callable[..., Any]] = {
    "discovery": DiscoveryStub,
    "servers": ServerStubs,
    "load": LoadGenerator,
    "hollow": HollowGateways,
    "policy": PolicyBenchmark,
}
"""The class of each role, by the name that a run starts it with."""

NO_ANSWER = msgspec.Raw(b"null")


async def _read_commands(commands: asyncio.Queue[bytes]) -> None:
    """Queue commands from standard input; exit at its end, even while a command is being executed."""
    reader = asyncio.StreamReader(MAXIMUM_LINE_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        commands.put_nowait(line)
    os._exit(0)


async def serve(make_role: Callable[..., Any]) -> None:
    """Construct the role with the first command's arguments, then execute commands one by one."""
    commands: asyncio.Queue[bytes] = asyncio.Queue()
    reading = asyncio.create_task(_read_commands(commands), name="read commands")
    role: Any = None
    while not reading.done():
        command = msgspec.json.decode(await commands.get(), type=ChildCommand)
        try:
            if role is None:
                role = make_role(**command.arguments)
                answer = await role.start()
            else:
                answer = await getattr(role, command.name)(**command.arguments)
            reply = ChildReply(msgspec.Raw(msgspec.json.encode(answer)))
        except Exception as error:  # The parent gets every error and stops the run.
            reply = ChildReply(NO_ANSWER, repr(error))
        sys.stdout.buffer.write(msgspec.json.encode(reply) + b"\n")
        sys.stdout.buffer.flush()


def run_child(roles: Mapping[str, Callable[..., Any]]) -> None:
    """Run the role named by the first command-line argument until the end of standard input."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    # Hollow gateways that have lost their watches would fill the log.
    logging.getLogger("quota_gateway").setLevel(logging.CRITICAL)
    uvloop.run(serve(roles[sys.argv[1]]))


if __name__ == "__main__":
    run_child(ROLES)
