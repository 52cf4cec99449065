"""Checks the kernel's state of a client's socket for what the event loop has not noticed yet."""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import termios
from contextlib import suppress

QUEUED_BYTES = struct.Struct("@i")  # the result of TIOCOUTQ


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


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many bytes the kernel holds that the client's machine has not acknowledged; 0 if unknown.

    The kernel drops these bytes if the connection is reset (tcp(7), SIOCOUTQ).
    """
    with suppress(OSError):
        result = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(QUEUED_BYTES.size))
        (queued_bytes,) = QUEUED_BYTES.unpack(result)
        return int(queued_bytes)
    return 0
