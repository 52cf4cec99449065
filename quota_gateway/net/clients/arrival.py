"""Determines when bytes arrived, which may be long before they are read.

See docs/decisions/arrival-time.md. All times are in seconds of the monotonic clock.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from math import inf

from quota_gateway.net.clock import MS_PER_S

NEGLIGIBLE_WAIT_S = 0.03  # short waits are ignored, as they are far below the permitted error of a deadline
BACKLOG_READ_S = 0.05  # time after reading resumes by which all bytes that waited have been read
MIN_POLL_DELAY_S = 0.001  # delay of a timer that fires only after the loop has polled for input

# In struct tcp_info of linux/tcp.h, tcpi_last_data_recv is in milliseconds. It follows eight bytes of flags
# and eleven numbers of four bytes each.
TCP_INFO_BYTES = 56
LAST_DATA_RECEIVED = struct.Struct("@52xI")


def seconds_since_data(sock: socket.socket) -> float | None:
    """Return how many seconds ago the kernel last received data on a connection; None if it is unknown."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return None
    if len(info) < LAST_DATA_RECEIVED.size:
        return None
    (milliseconds,) = LAST_DATA_RECEIVED.unpack_from(info)
    return float(milliseconds) / MS_PER_S


def arrival_s(sock: socket.socket, earliest_s: float) -> float:
    """Return the arrival time of the bytes that are being read from a connection.

    Args:
        sock: The connection.
        earliest_s: The earliest possible arrival time of the bytes.

    Returns:
        The current time, unless the bytes may have waited for longer than is negligible; then the time that
        the kernel reports, or ``earliest_s`` if that is later or the kernel reports none.
    """
    now_s = time.monotonic()
    if now_s - earliest_s <= NEGLIGIBLE_WAIT_S:
        return now_s
    age_s = seconds_since_data(sock)
    return earliest_s if age_s is None else max(earliest_s, now_s - age_s)


class ArrivalTracker:
    """Tracks how long the bytes most recently read from one connection have waited to be read.

    Args:
        waiting_since_s: The earliest possible arrival time of the first bytes; infinite if none wait yet.

    Attributes:
        waiting_since_s: The earliest possible arrival time of the bytes read next; infinite if none wait yet.
    """

    __slots__ = ("_last_arrival_s", "_resumed_s", "waiting_since_s")

    def __init__(self, waiting_since_s: float = inf) -> None:
        self.waiting_since_s = waiting_since_s
        self._last_arrival_s = 0.0
        self._resumed_s = inf if waiting_since_s == inf else time.monotonic()

    def on_pause(self) -> None:
        """Record that reading is paused."""
        self.waiting_since_s = min(self.waiting_since_s, time.monotonic())
        self._resumed_s = inf

    def on_resume(self) -> None:
        """Record that reading has resumed; the bytes read next may have waited."""
        self._resumed_s = time.monotonic()

    def on_read(self, sock: socket.socket, stalled_since_s: float) -> None:
        """Record when the bytes just read arrived: now, or earlier if reading was paused or stalled.

        Args:
            sock: The connection's socket.
            stalled_since_s: The earliest possible arrival time of any bytes that this process reads now.
        """
        now_s = time.monotonic()
        if now_s - self._resumed_s > BACKLOG_READ_S:
            self.waiting_since_s = inf
            self._resumed_s = inf
        self._last_arrival_s = arrival_s(sock, min(self.waiting_since_s, stalled_since_s))

    def waited_s(self) -> float:
        """Return how many seconds ago the most recently read bytes arrived."""
        return time.monotonic() - self._last_arrival_s


class StallDetector:
    """Detects that the process was stalled, from a periodic call that comes late.

    Args:
        interval_s: The time between two calls of ``tick``, in seconds.
    """

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._last_tick_s = time.monotonic()
        self._stalled_since_s: float | None = None  # start of a stall, None once input has been polled

    def tick(self) -> None:
        """Record that the event loop is running."""
        now_s = time.monotonic()
        if now_s - self._last_tick_s > self._interval_s + NEGLIGIBLE_WAIT_S:
            self._stalled_since_s = self._last_tick_s
            asyncio.get_running_loop().call_later(MIN_POLL_DELAY_S, self._on_input_read)
        self._last_tick_s = now_s

    def earliest_arrival_s(self) -> float:
        """Return the earliest possible arrival time of bytes that are read now."""
        if self._stalled_since_s is not None:
            return self._stalled_since_s
        now_s = time.monotonic()
        is_stalled = now_s - self._last_tick_s > self._interval_s + NEGLIGIBLE_WAIT_S
        return self._last_tick_s if is_stalled else now_s

    def _on_input_read(self) -> None:
        self._stalled_since_s = None
