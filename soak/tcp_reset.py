"""Close TCP connections by a reset."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress

_LINGER_WITHOUT_TIME = struct.pack("ii", 1, 0)


def abort_with_reset(transport: asyncio.WriteTransport) -> None:
    """Close a connection with a TCP reset; a connection that is already closed stays as it is."""
    with suppress(OSError):
        sock = transport.get_extra_info("socket")
        if sock is not None:  # the transport has not forgotten its socket yet
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_WITHOUT_TIME)
    transport.abort()
