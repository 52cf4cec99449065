"""Tells when bytes arrived that are read only now: docs/decisions/arrival-time.md.

All times are of the monotonic clock, in seconds.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from math import inf

from quota_gateway.net.clock import MS_PER_S

NEGLIGIBLE_WAIT_S = 0.03  # far below the permitted error of a deadline
BACKLOG_READ_S = 0.05  # after reading resumes, until all that came before has been read
MIN_POLL_DELAY_S = 0.001  # of a timer that is due after the loop has polled for input once

# struct tcp_info of linux/tcp.h: tcpi_last_data_recv, in milliseconds, follows eight bytes of flags and
# eleven numbers of four bytes.
TCP_INFO_BYTES = 56
LAST_DATA_RECEIVED = struct.Struct("@52xI")


def seconds_since_data(sock: socket.socket) -> float | None:
    """Return how long ago the kernel last received data on a connection, None if it does not tell."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return None
    if len(info) < LAST_DATA_RECEIVED.size:
        return None
    (milliseconds,) = LAST_DATA_RECEIVED.unpack_from(info)
    return float(milliseconds) / MS_PER_S


def arrival_s(sock: socket.socket, earliest_s: float) -> float:
    """Return when the bytes arrived that are read now on a connection.

    Args:
        sock: The connection.
        earliest_s: A time before which they can't have arrived.

    Returns:
        Now, unless they may have waited for longer than is negligible; then what the kernel tells, or the
        earliest time if it tells nothing.
    """
    now_s = time.monotonic()
    if now_s - earliest_s <= NEGLIGIBLE_WAIT_S:
        return now_s
    age_s = seconds_since_data(sock)
    return earliest_s if age_s is None else max(earliest_s, now_s - age_s)


class ArrivalTracker:
    """Tells for how long the bytes read last on one connection have waited to be read.

    Args:
        waiting_since_s: A time before which the first bytes can't have arrived; infinite for now.

    Attributes:
        waiting_since_s: The same of what is read next; infinite while nothing waits.
    """

    __slots__ = ("_last_arrival_s", "_resumed_s", "waiting_since_s")

    def __init__(self, waiting_since_s: float = inf) -> None:
        self.waiting_since_s = waiting_since_s
        self._last_arrival_s = 0.0
        self._resumed_s = inf if waiting_since_s == inf else time.monotonic()

    def on_pause(self) -> None:
        """Note that nothing is read from now on."""
        self.waiting_since_s = min(self.waiting_since_s, time.monotonic())
        self._resumed_s = inf

    def on_resume(self) -> None:
        """Note that reading has resumed; what is read next may have waited."""
        self._resumed_s = time.monotonic()

    def on_read(self, sock: socket.socket, stalled_since_s: float) -> None:
        """Note when the bytes just read arrived: now, or earlier if the connection or the process waited.

        Args:
            sock: The connection's socket.
            stalled_since_s: A time before which nothing can have arrived that this process reads now.
        """
        now_s = time.monotonic()
        if now_s - self._resumed_s > BACKLOG_READ_S:
            self.waiting_since_s = inf
            self._resumed_s = inf
        self._last_arrival_s = arrival_s(sock, min(self.waiting_since_s, stalled_since_s))

    def waited_s(self) -> float:
        """Return for how long the bytes read last have waited since they arrived."""
        return time.monotonic() - self._last_arrival_s


class StallDetector:
    """Detects that the process was held up, by a periodic call that comes late.

    Args:
        interval_s: The time between two calls of ``tick``.
    """

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._last_tick_s = time.monotonic()
        self._stalled_since_s: float | None = None  # until the loop has polled for input once more

    def tick(self) -> None:
        """Note that the event loop is running."""
        now_s = time.monotonic()
        if now_s - self._last_tick_s > self._interval_s + NEGLIGIBLE_WAIT_S:
            self._stalled_since_s = self._last_tick_s
            asyncio.get_running_loop().call_later(MIN_POLL_DELAY_S, self._on_input_read)
        self._last_tick_s = now_s

    def earliest_s(self) -> float:
        """Return a time before which nothing can have arrived that is read now."""
        if self._stalled_since_s is not None:
            return self._stalled_since_s
        now_s = time.monotonic()
        is_held_up = now_s - self._last_tick_s > self._interval_s + NEGLIGIBLE_WAIT_S
        return self._last_tick_s if is_held_up else now_s

    def _on_input_read(self) -> None:
        self._stalled_since_s = None
