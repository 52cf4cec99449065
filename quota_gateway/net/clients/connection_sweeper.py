"""Checks client connections at regular intervals for what no event of the loop reports."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quota_gateway.net.clients.connection_admission import ConnectionAdmission

if TYPE_CHECKING:
    from quota_gateway.net.clients.protocols import SweptListener


class ConnectionSweeper:
    """Enforces command read timeouts, and detects clients that left while their connection is not read.

    It also resumes reading large values for which there is memory again, and during a shutdown ends the
    connections whose clients have received their replies meanwhile.

    Args:
        listener: The listener whose connections are swept.
        admission: Accepts again, or evicts, after each sweep.
        interval_s: The time between two sweeps in seconds; has to be that of the stall detector too.
    """

    def __init__(self, listener: SweptListener, admission: ConnectionAdmission, interval_s: float) -> None:
        self._listener = listener
        self._admission = admission
        self._interval_s = interval_s
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(interval_s, self._sweep)

    def stop(self) -> None:
        """Stop sweeping."""
        self._timer.cancel()

    def _sweep(self) -> None:
        self._timer = self._loop.call_later(self._interval_s, self._sweep)
        self._listener.stall_detector.tick()
        self._listener.idle_connections.time_out_late_commands()
        self._listener.reservations.grant()
        unread = [item for item in self._listener.connections if item.is_unread_with_pending_replies()]
        for connection in unread:
            connection.close_if_disconnected()
        if self._listener.is_stopping:
            for connection in list(self._listener.connections):
                connection.close_if_done()
        self._admission.accept_or_evict()
