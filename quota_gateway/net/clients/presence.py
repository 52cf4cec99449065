"""Tracks whether the end of a client's connection could be seen: docs/decisions/client-disconnect.md."""

from __future__ import annotations

import socket
import time
from math import inf

from quota_gateway.net.clients.socket_state import receive_buffer_bytes, unread_bytes

# Share of the receive buffer. Half of the buffer is for data, and the kernel closes the window when half of
# that is used at the earliest; with fewer unread bytes, all that the client has sent comes in, and its end.
UNREAD_SHARE = 1 / 8
# Longest time for which a client that can't be seen is taken to be present; an attempt may begin up to 0.1 s
# after its client has closed.
MAX_UNSEEN_S = 0.08


class PresenceTracker:
    """Tracks since when the end of one client's connection may have waited behind unread bytes.

    Args:
        unseen_since_s: Time of the monotonic clock from which on bytes may have waited to be read; infinite
            for a connection whose bytes are read as they arrive.
    """

    __slots__ = ("_is_read_paused", "_unseen_since_s")

    def __init__(self, unseen_since_s: float = inf) -> None:
        self._unseen_since_s = unseen_since_s
        self._is_read_paused = False

    def on_pause(self) -> None:
        """Record that reading is paused."""
        self._is_read_paused = True
        self._unseen_since_s = min(self._unseen_since_s, time.monotonic())

    def on_resume(self) -> None:
        """Record that reading has resumed; the unread bytes are still to be read."""
        self._is_read_paused = False

    def is_unseen(self, sock: socket.socket) -> bool:
        """Whether the client may have closed its connection ``MAX_UNSEEN_S`` ago without being noticed."""
        if self._unseen_since_s == inf:
            return False
        now_s = time.monotonic()
        if unread_bytes(sock) < UNREAD_SHARE * receive_buffer_bytes(sock):
            self._unseen_since_s = now_s if self._is_read_paused else inf
            return False
        return now_s - self._unseen_since_s > MAX_UNSEEN_S
