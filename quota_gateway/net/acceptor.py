"""Accepts connections from a listening socket, within a capacity and through transient errors."""

from __future__ import annotations

import asyncio
import socket
import time

from quota_gateway.net.transient_errors import FAILED_CONNECTION_ERRORS

MAX_ACCEPTS_PER_TURN = 32  # connections accepted before other events of the loop are handled
# After a shortage of descriptors or memory, accept is retried at once, then with an exponential backoff. The
# backoff stays short because the deadlines of the clients in the queue go on running.
MAX_IMMEDIATE_RETRIES = 3
INITIAL_BACKOFF_S = 0.005
BACKOFF_FACTOR = 2.0
MAX_BACKOFF_S = 0.08


class AcceptorOwner:
    """What an acceptor needs from its owner; the defaults suit an owner without a limit on connections."""

    def available_capacity(self) -> int:
        """Return how many more connections may be accepted now."""
        return MAX_ACCEPTS_PER_TURN

    def evict(self) -> None:
        """Close connections so that waiting ones can be accepted."""

    def on_accepted(self, sock: socket.socket, waiting_since_s: float) -> None:
        """Take a new connection, which arrived at ``waiting_since_s`` (monotonic time) or later."""
        raise NotImplementedError

    def on_accept_error(self, error: OSError) -> None:
        """Handle a failed call of accept."""
        raise NotImplementedError


class Acceptor:
    """Accepts from one listening socket.

    Attributes:
        socket: The listening socket, None before it is opened and after it is closed.
        is_accepting: Whether the event loop watches the listening socket.
        is_suspended: Whether accepting is suspended because another process takes over.
        is_shared: Whether the process that takes over already accepts from the same queue.
    """

    def __init__(self, owner: AcceptorOwner) -> None:
        self.socket: socket.socket | None = None
        self.is_accepting = False
        self.is_suspended = False
        self.is_shared = False
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        # Monotonic time since which connections may have waited in the queue; None if none can have waited.
        self._waiting_since_s: float | None = None
        self._backoff_s = INITIAL_BACKOFF_S
        self._consecutive_failures = 0  # failures in a row because of a shortage
        self._retry_timer: asyncio.TimerHandle | None = None
        self._closes_when_empty = False

    def open(self, listening_socket: socket.socket, waited_s: float = 0.0) -> None:
        """Accept from a socket, where connections may have waited for ``waited_s`` seconds."""
        listening_socket.setblocking(False)
        self.socket = listening_socket
        self._closes_when_empty = False
        self._waiting_since_s = time.monotonic() - waited_s if waited_s else None
        self.resume()

    def resume(self) -> None:
        """Start accepting, unless the acceptor is closed or suspended."""
        if self._retry_timer:
            self._retry_timer.cancel()
            self._retry_timer = None
        if self.socket is None or self.is_suspended:
            return
        if not self.is_accepting:
            self.is_accepting = True
            self._loop.add_reader(self.socket, self._accept)
        if self._closes_when_empty or self._waiting_since_s is not None:
            self._loop.call_soon(self._accept_without_event)

    def _accept_without_event(self) -> None:
        """Accept without an event of the loop, because no event reports that the queue is empty."""
        if self.is_accepting and self._owner.available_capacity() > 0:
            self._accept()

    def pause(self) -> None:
        """Stop accepting and leave new connections in the kernel."""
        if self._waiting_since_s is None:
            self._waiting_since_s = time.monotonic()
        if self.socket and self.is_accepting:
            self.is_accepting = False
            self._loop.remove_reader(self.socket)

    def close_when_empty(self) -> None:
        """Accept the connections that already wait, then close, because closing resets those in the queue.

        A process that takes over empties the queue itself as soon as it accepts from it.
        """
        self._closes_when_empty = True
        if self.is_shared:
            self.close()
        elif not self.is_suspended:
            self._accept()

    def suspend(self) -> None:
        """Stop accepting because another process takes over."""
        self.is_suspended = True
        self.pause()

    def share(self) -> None:
        """Record that the process that takes over accepts from the same queue."""
        self.is_shared = True
        if self._closes_when_empty:
            self.close()

    def end_suspension(self) -> None:
        """Accept again after an aborted handover."""
        self.is_suspended = False
        self.is_shared = False
        self.resume()

    def close(self) -> None:
        """Close the socket; connections in its queue are reset unless another process has the socket too."""
        self.pause()
        if self._retry_timer:
            self._retry_timer.cancel()
        if self.socket:
            self.socket.close()
            self.socket = None

    def _accept(self) -> None:
        """Accept while there is capacity; else have the owner evict connections.

        Capacity becomes free only once the loop has closed a descriptor; the owner then calls ``resume``.
        """
        if self.socket is None or self.is_suspended:
            return
        if self._owner.available_capacity() <= 0:
            self.pause()
            self._owner.evict()
            return
        for _ in range(min(MAX_ACCEPTS_PER_TURN, self._owner.available_capacity())):
            if self.socket is None or not self._accept_one(self.socket):
                return
        self.resume()  # the rest of the queue is accepted in the next iteration of the loop

    def _accept_one(self, listening_socket: socket.socket) -> bool:
        """Accept one connection; return whether to accept more."""
        now_s = time.monotonic()
        try:
            sock, _ = listening_socket.accept()
        except BlockingIOError:
            self._on_queue_empty()
            return False
        except OSError as error:
            self._owner.on_accept_error(error)
            return error.errno in FAILED_CONNECTION_ERRORS or self._may_retry_at_once()
        self._backoff_s = INITIAL_BACKOFF_S
        self._consecutive_failures = 0
        self._owner.on_accepted(sock, now_s if self._waiting_since_s is None else self._waiting_since_s)
        return True

    def _may_retry_at_once(self) -> bool:
        """Return whether to retry at once after a shortage; if not, schedule a retry."""
        self._consecutive_failures += 1
        if self._consecutive_failures <= MAX_IMMEDIATE_RETRIES:
            return True
        self._consecutive_failures = 0
        self._retry_later()
        return False

    def _on_queue_empty(self) -> None:
        self._waiting_since_s = None
        if self._closes_when_empty:
            self.close()
        else:
            self.resume()

    def _retry_later(self) -> None:
        self.pause()
        if self._retry_timer is None:
            self._retry_timer = self._loop.call_later(self._backoff_s, self.resume)
            self._backoff_s = min(MAX_BACKOFF_S, BACKOFF_FACTOR * self._backoff_s)
