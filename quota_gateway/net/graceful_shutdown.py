"""The graceful shutdown of a gateway: all accepted requests are answered before SIGKILL arrives.

The order of the steps matters; see docs/decisions/start-and-shutdown.md.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from quota_gateway.model import Settings, ShutdownStarted
from quota_gateway.net.clients.listener import ClientListener
from quota_gateway.net.clock import MS_PER_S
from quota_gateway.net.driver import Driver
from quota_gateway.net.handover.handover import Handover

log = logging.getLogger("quota_gateway")

ACCEPT_PERIOD_S = 0.45  # time to go on accepting after SIGTERM; clients go on connecting for 0.4 s
# SIGKILL follows SIGTERM after the longest deadline of a class (at most MAX_DEADLINE_S) plus KILL_GRACE_S.
MAX_DEADLINE_S = 3.0
KILL_GRACE_S = 0.7
ANSWERED_BEFORE_KILL_S = 0.3  # time before SIGKILL at which all pending requests are answered
# Part of ANSWERED_BEFORE_KILL_S that is left for replies to clients that still send or read slowly.
FLUSH_TIMEOUT_S = 0.2
SHUTDOWN_CHECK_S = 0.01  # interval between checks for requests in progress


async def shut_down_gracefully(
    settings: Settings, driver: Driver, clients: ClientListener, handover: Handover
) -> None:
    """Accept for another ``ACCEPT_PERIOD_S``, answer all accepted requests and close before SIGKILL arrives.

    If the next process has taken over, connections are handed over to it instead of being closed.
    """
    loop = asyncio.get_running_loop()
    longest_deadline_s = max(request_class.deadline_ms for request_class in settings.classes) / MS_PER_S
    timeout_s = min(MAX_DEADLINE_S, longest_deadline_s) + KILL_GRACE_S - ANSWERED_BEFORE_KILL_S
    end = loop.time() + timeout_s
    log.info("shutdown started timeout_s=%.3f connections=%d", timeout_s, len(clients.connections))
    driver.post(ShutdownStarted(timeout_s * MS_PER_S))
    await asyncio.sleep(ACCEPT_PERIOD_S)
    clients.stop_listening()
    handover.refuse()
    await _wait_while(lambda: clients.is_busy() or handover.is_sending(), until=end)
    clients.finish()
    await _wait_while(clients.is_busy, until=end + FLUSH_TIMEOUT_S)
    clients.abort()


async def _wait_while(is_busy: Callable[[], bool], until: float) -> None:
    loop = asyncio.get_running_loop()
    while is_busy() and loop.time() < until:  # noqa: ASYNC110 - an event would add work to each request
        await asyncio.sleep(SHUTDOWN_CHECK_S)
