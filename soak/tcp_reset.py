"""Close TCP connections by a reset."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress

_LINGER_WITHOUT_TIME = struct.pack("ii", 1, 0)


def abort_with_reset(transport: asyncio.WriteTransport) -> None:
    """Close a connection so that the peer sees a reset; one that is closed already is left as it is."""
    with suppress(OSError):
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_WITHOUT_TIME)
    transport.abort()
