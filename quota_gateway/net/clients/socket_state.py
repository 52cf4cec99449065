"""Checks the kernel's state of a client's socket for what the event loop has not noticed yet."""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import termios
from contextlib import suppress

QUEUED_BYTES = struct.Struct("@i")  # the result of TIOCOUTQ and of FIONREAD


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
    return _queued_bytes(sock, termios.TIOCOUTQ)


def unread_bytes(sock: socket.socket) -> int:
    """Return how many bytes from the client the kernel holds that have not been read; 0 if unknown."""
    return _queued_bytes(sock, termios.FIONREAD)


def receive_buffer_bytes(sock: socket.socket) -> int:
    """Return the size of the kernel's receive buffer, half of which holds data (tcp(7)); 0 if unknown."""
    with suppress(OSError):
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
    return 0


def _queued_bytes(sock: socket.socket, request: int) -> int:
    with suppress(OSError):
        (queued_bytes,) = QUEUED_BYTES.unpack(fcntl.ioctl(sock.fileno(), request, bytes(QUEUED_BYTES.size)))
        return int(queued_bytes)
    return 0
