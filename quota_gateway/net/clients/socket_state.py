"""Checks the kernel's state of a client's socket for what the event loop has not noticed yet."""

from __future__ import annotations

import select
import socket
from contextlib import suppress


def has_hung_up(sock: socket.socket) -> bool:
    """Whether the client has closed or reset the connection, even if bytes that it sent before are unread."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def has_unread_bytes(sock: socket.socket) -> bool:
    """Whether the kernel holds bytes from the client that have not been read yet."""
    with suppress(OSError):
        return bool(sock.recv(1, socket.MSG_PEEK))
    return False
