"""Writes the command of an attempt. The end of a long command is written only if the client still waits."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from quota_gateway.model import AttemptStatus
from quota_gateway.net.segmented_bytes import Buffer, total_bytes
from quota_gateway.net.upstream.attempt import Attempt, EncodedCommand

# Longest command that is written whole: the kernel takes it at once, as nothing else is queued.
MAX_WHOLE_WRITE_BYTES = 16 * 1024
WITHHELD_BYTES = 2  # The final CR LF of a long command is withheld; a server runs no command without it.


class CommandWriter:
    """Writes one command at a time on a connection.

    The server runs a command once it has the last byte, which must not be sent for a client that has left;
    see docs/decisions/upstream-attempts.md. The write buffer limit of the transport has to be 0 so that the
    transport reports an empty buffer.

    Args:
        transport: The transport of the established connection.
        close: Closes the connection; its attempt ends with the given status.

    Attributes:
        fully_sent: Whether the kernel has the last byte of the attempt.
    """

    __slots__ = ("_attempt", "_close", "_transport", "_withheld", "fully_sent")

    def __init__(self, transport: asyncio.Transport, close: Callable[[AttemptStatus], None]) -> None:
        self._transport = transport
        self._close = close
        self._attempt: Attempt | None = None
        self._withheld: Buffer = b""  # the end of a long command, not written until the kernel has the rest
        self.fully_sent = False

    def write(self, attempt: Attempt, payload: EncodedCommand) -> None:
        """Write a command. The end of a long command is withheld until the kernel has the rest."""
        self._attempt = attempt
        self.fully_sent = False
        if total_bytes(payload) <= MAX_WHOLE_WRITE_BYTES:
            self._withheld = b""
            self._transport.write(b"".join(payload))
        else:
            *pieces, last = payload
            self._withheld = last[-WITHHELD_BYTES:]
            self._transport.writelines([*pieces, memoryview(last)[:-WITHHELD_BYTES]])  # without joining them
        self.on_buffer_empty()

    def on_buffer_empty(self) -> None:
        """Continue once the kernel has all that was written.

        A failed write leaves the buffer empty too, so the transport has to be open as well.
        """
        if self._is_open() and self._transport.get_write_buffer_size() == 0:
            self._on_written()

    def on_attempt_ended(self) -> None:
        """Stop writing for the attempt, as it has ended."""
        self._attempt = None

    def _is_open(self) -> bool:
        return not self._transport.is_closing()

    def _on_written(self) -> None:
        """Write the withheld end if the client still waits, or record that the command is fully sent."""
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
