"""What the kernel knows of a client's socket that the event loop has not seen yet."""

from __future__ import annotations

import select
import socket
from contextlib import suppress


def has_hung_up(sock: socket.socket) -> bool:
    """Whether the client has closed or reset the connection, though what it sent before is unread."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def has_unread_bytes(sock: socket.socket) -> bool:
    """Whether the kernel has bytes of the client that were not read yet."""
    with suppress(OSError):
        return bool(sock.recv(1, socket.MSG_PEEK))
    return False
