"""Shares the event loop among connections that have sent more commands than are taken at once."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quota_gateway.net.clients.protocols import CommandConnection

# Commands taken in one iteration of the event loop from connections that wait for another turn. All other
# sockets are served between two iterations.
MAX_COMMANDS_PER_ITERATION = 32


class CommandTurns:
    """The connections that wait for another turn, which they get in the order in which they began to wait.

    A connection whose commands have just arrived does not wait, so that clients that send one command at a
    time are not held up by many that send hundreds.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: deque[CommandConnection] = deque()
        self._is_scheduled = False

    def add(self, connection: CommandConnection) -> None:
        """Give a connection another turn after those that wait already."""
        self._waiting.append(connection)
        self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        try:
            self._take_turns()
        finally:  # the others have their turn whatever happens in one
            self._schedule()

    def _take_turns(self) -> None:
        taken_count = 0
        for _ in range(len(self._waiting)):
            if taken_count >= MAX_COMMANDS_PER_ITERATION:
                return
            connection = self._waiting.popleft()
            taken_count += connection.intake.take_turn(connection)
