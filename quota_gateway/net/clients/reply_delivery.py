"""Tracks whether a client has received the replies that were written to its connection."""

from __future__ import annotations

import asyncio
import socket
from math import inf

from quota_gateway.net.clients.socket_state import unacknowledged_bytes

# Longest time for which a connection waits for a client that receives fewer than MIN_READ_BYTES meanwhile.
DELIVERY_TIMEOUT_S = 15.0
MIN_READ_BYTES = 64 * 1024


class ReplyDelivery:
    """Tracks one connection's written replies until the client's machine has acknowledged them.

    Written replies wait in the transport's buffer, then in the kernel. A reset drops them there.

    Args:
        sock: The connection's socket.
        loop: The event loop, for its clock.
    """

    __slots__ = ("_loop", "_pending_until_s", "_progress_bytes", "_progress_s", "_socket")

    def __init__(self, sock: socket.socket, loop: asyncio.AbstractEventLoop) -> None:
        self._socket = sock
        self._loop = loop
        self._pending_until_s = -inf  # the latest time at which delivery is known to have been pending
        self._progress_s = -inf  # when the client was last seen to have received MIN_READ_BYTES more
        self._progress_bytes = inf  # the unacknowledged bytes at that time; infinite if not yet known

    def on_written(self) -> None:
        """Record that a reply, or a piece of one, has been written."""
        self._pending_until_s = self._loop.time()
        self._progress_bytes = inf

    def unacknowledged_bytes(self, transport: asyncio.Transport) -> int:
        """Return how many written bytes the client's machine has not acknowledged yet."""
        return transport.get_write_buffer_size() + unacknowledged_bytes(self._socket)

    def is_pending(self, transport: asyncio.Transport) -> bool:
        """Whether to wait for the client to receive its replies.

        It is false once the client has received them all, or has received next to nothing for
        ``DELIVERY_TIMEOUT_S``.
        """
        now_s = self._loop.time()
        unacknowledged = self.unacknowledged_bytes(transport)
        if unacknowledged <= self._progress_bytes - MIN_READ_BYTES:
            self._progress_s = now_s
            self._progress_bytes = unacknowledged
        if not unacknowledged or now_s - self._progress_s > DELIVERY_TIMEOUT_S:
            return False
        self._pending_until_s = now_s
        return True

    def seconds_since_pending(self) -> float:
        """Return for how long delivery has not been known to be pending; infinite if nothing was written."""
        return self._loop.time() - self._pending_until_s
