"""Writes the command of an attempt, the end of a long one only while the client still waits."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from quota_gateway.model import AttemptStatus
from quota_gateway.net.upstream.attempt import Attempt

MAX_WHOLE_WRITE_BYTES = 16 * 1024  # of a command that the kernel takes at once, as nothing else waits there
WITHHELD_BYTES = 2  # of a longer command's end: without its CR LF a server does not run it


class CommandWriter:
    """Writes one command at a time on a connection.

    The last byte starts an attempt, and it must not go out for a client that has left; see
    docs/decisions/upstream-attempts.md. The transport has to report an empty buffer (a limit of 0).

    Args:
        transport: Of the connection, established.
        close: Closes the connection with the status of its attempt.
    """

    __slots__ = ("_attempt", "_close", "_transport", "_withheld", "fully_sent")

    def __init__(self, transport: asyncio.Transport, close: Callable[[AttemptStatus], None]) -> None:
        self._transport = transport
        self._close = close
        self._attempt: Attempt | None = None
        self._withheld = b""  # end of the command, not written until the kernel has the rest
        self.fully_sent = False  # whether the kernel has the attempt's last byte

    def write(self, attempt: Attempt, payload: bytes) -> None:
        """Write a command; the end of one that the kernel may not take at once only once it has the rest."""
        self._attempt = attempt
        self.fully_sent = False
        if len(payload) <= MAX_WHOLE_WRITE_BYTES:
            self._withheld = b""
            self._transport.write(payload)
        else:
            self._withheld = payload[-WITHHELD_BYTES:]
            self._transport.write(memoryview(payload)[:-WITHHELD_BYTES])
        self.on_buffer_empty()

    def on_buffer_empty(self) -> None:
        """Go on once the kernel has all that was written; a write that failed leaves nothing either."""
        if self._is_open() and self._transport.get_write_buffer_size() == 0:
            self._on_written()

    def on_attempt_ended(self) -> None:
        """Write nothing more for the attempt."""
        self._attempt = None

    def _is_open(self) -> bool:
        return not self._transport.is_closing()

    def _on_written(self) -> None:
        """Write what was withheld, if the client still waits, or note that the command is fully sent."""
        withheld = self._withheld
        self._withheld = b""
        if not withheld:
            self._on_fully_sent()
        elif self._attempt and self._is_open():
            refusal = self._attempt.refusal_to_send()
            if refusal:
                self._close(refusal)
                return
            self._transport.write(withheld)
            if self._is_open() and self._transport.get_write_buffer_size() == 0:
                self._on_fully_sent()

    def _on_fully_sent(self) -> None:
        self.fully_sent = True
        if self._attempt:
            self._attempt.on_sent()
