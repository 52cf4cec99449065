"""Accepts connections from a listening socket, within limits and through errors that pass."""

from __future__ import annotations

import asyncio
import socket
import time

from quota_gateway.net.transient_errors import FAILED_CONNECTION_ERRORS

MAX_ACCEPTS_PER_TURN = 32  # connections accepted before the others have their turn
MAX_RETRIES_AT_ONCE = 3  # of a call that failed for want of something: many pass at once
FIRST_RETRY_S = 0.005  # after the system was short of descriptors or memory; twice as long each time
MAX_RETRY_S = 0.08  # what waits meanwhile is owed an answer in its time


class AcceptorOwner:
    """What an acceptor asks of its owner; the defaults suit one with few connections."""

    def free_places(self) -> int:
        """How many connections there is room for."""
        return MAX_ACCEPTS_PER_TURN

    def make_room(self) -> None:
        """Close connections of no use, as others wait."""

    def on_accepted(self, sock: socket.socket, waiting_since_s: float) -> None:
        """Take a connection, which has come at this monotonic time or later."""
        raise NotImplementedError

    def on_accept_error(self, error: OSError) -> None:
        """Note that a call has failed."""
        raise NotImplementedError


class Acceptor:
    """One listening socket.

    Attributes:
        socket: The listening socket, None before it is opened and after it is closed.
        is_accepting: Whether the loop watches it.
        is_suspended: Whether nothing is accepted here, as another process takes over.
        is_shared: Whether that process accepts from the same queue already.
    """

    def __init__(self, owner: AcceptorOwner) -> None:
        self.socket: socket.socket | None = None
        self.is_accepting = False
        self.is_suspended = False
        self.is_shared = False
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        self._waiting_since_s: float | None = None  # since when the queue was not emptied
        self._retry_s = FIRST_RETRY_S
        self._failures = 0  # of calls in a row, for want of something
        self._retry_timer: asyncio.TimerHandle | None = None
        self._closes_when_empty = False

    def open(self, listening_socket: socket.socket, waited_s: float = 0.0) -> None:
        """Accept from this socket, whose queue nobody may have emptied for so long."""
        listening_socket.setblocking(False)
        self.socket = listening_socket
        self._closes_when_empty = False
        self._waiting_since_s = time.monotonic() - waited_s if waited_s else None
        self.resume()

    def resume(self) -> None:
        """Accept, unless it is closed or suspended."""
        if self._retry_timer:
            self._retry_timer.cancel()
            self._retry_timer = None
        if self.socket is None or self.is_suspended:
            return
        if not self.is_accepting:
            self.is_accepting = True
            self._loop.add_reader(self.socket, self._accept)
        if self._closes_when_empty or self._waiting_since_s is not None:
            self._loop.call_soon(self._probe)

    def _probe(self) -> None:
        """Look whether anything waits, if there is room: the loop does not tell that nothing does."""
        if self.is_accepting and self._owner.free_places() > 0:
            self._accept()

    def pause(self) -> None:
        """Leave new connections in the kernel."""
        if self._waiting_since_s is None:
            self._waiting_since_s = time.monotonic()
        if self.socket and self.is_accepting:
            self.is_accepting = False
            self._loop.remove_reader(self.socket)

    def close_when_empty(self) -> None:
        """Accept what waits already, then close: closing resets what is in the queue.

        Where another process takes over, the queue is its to empty, from when it accepts from it.
        """
        self._closes_when_empty = True
        if self.is_shared:
            self.close()
        elif not self.is_suspended:
            self._accept()

    def suspend(self) -> None:
        """Accept nothing, as another process takes over."""
        self.is_suspended = True
        self.pause()

    def share(self) -> None:
        """The other process accepts from the same queue."""
        self.is_shared = True
        if self._closes_when_empty:
            self.close()

    def take_back(self) -> None:
        """Accept again, as there is no other process after all."""
        self.is_suspended = False
        self.is_shared = False
        self.resume()

    def close(self) -> None:
        """Close the socket; what waits in its queue is reset, unless another process has the socket too."""
        self.pause()
        if self._retry_timer:
            self._retry_timer.cancel()
        if self.socket:
            self.socket.close()
            self.socket = None

    def _accept(self) -> None:
        """Accept while there is room; else make some.

        A place is free only once the loop has closed its descriptor: the owner calls ``resume`` then.
        """
        if self.socket is None or self.is_suspended:
            return
        if self._owner.free_places() <= 0:
            self.pause()
            self._owner.make_room()
            return
        for _ in range(min(MAX_ACCEPTS_PER_TURN, self._owner.free_places())):
            if self.socket is None or not self._accept_one(self.socket):
                return
        self.resume()  # the rest of the queue in the next turn

    def _accept_one(self, listening_socket: socket.socket) -> bool:
        """Accept one connection; whether to go on."""
        now_s = time.monotonic()
        try:
            sock, _ = listening_socket.accept()
        except BlockingIOError:
            self._on_queue_empty()
            return False
        except OSError as error:
            self._owner.on_accept_error(error)
            return error.errno in FAILED_CONNECTION_ERRORS or self._may_try_again()
        self._retry_s = FIRST_RETRY_S
        self._failures = 0
        self._owner.on_accepted(sock, now_s if self._waiting_since_s is None else self._waiting_since_s)
        return True

    def _may_try_again(self) -> bool:
        """Whether to try again at once after a shortage; else that is done a little later."""
        self._failures += 1
        if self._failures <= MAX_RETRIES_AT_ONCE:
            return True
        self._failures = 0
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
            self._retry_timer = self._loop.call_later(self._retry_s, self.resume)
            self._retry_s = min(MAX_RETRY_S, 2.0 * self._retry_s)
