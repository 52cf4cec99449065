"""Load in an open loop: requests are sent when they are due, whatever became of those before."""

from __future__ import annotations

import asyncio
import random
import time

from scale.load.arrivals import encode_request, poisson_arrivals
from scale.load.connections import ConnectionPool, PendingCommand
from scale.load.statistics import LoadOutcome, LoadStatistics
from scale.messages import PhaseReports

SPIN_S = 0.0015
"""Time before a request is due in which the loop does not sleep: its timers are whole milliseconds."""

START_DELAY_S = 0.1
"""Time before the first request can be due."""

REPLY_GRACE_S = 0.5
"""Time after the last request's timeout in which a reply still counts."""

REPLY_POLL_S = 0.01


class LoadGenerator:
    """Sends load; a child's role whose methods are the run's commands.

    Args:
        plan: The plan of all requests.
        class_name: The class of all requests.
        deadline_ms: The timeout of a request.
        spread: How many gateways share a customer.
    """

    def __init__(self, plan: str, class_name: str, deadline_ms: float, spread: int) -> None:
        self._plan = plan
        self._class_name = class_name
        self._timeout_ms = deadline_ms
        self._gateway_set_size = spread
        self._totals: dict[str, LoadStatistics] = {}
        self._sent_count = 0

    async def start(self) -> None:
        """Do nothing: there is nothing to listen on."""

    async def run(
        self,
        label: str,
        ports: list[int],
        seed: int,
        rate: float,
        seconds: float,
        tenants: int,
        skew: float,
    ) -> PhaseReports:
        """Send load for so many seconds, each request to one of the ports, then wait for the replies.

        Args:
            label: What the phase's statistics are added to.
            ports: Ports on loopback.
            seed: The seed of arrivals and of the choice of ports.
            rate: Requests a second.
            seconds: How long to send for.
            tenants: How many customers there are.
            skew: The exponent of the Zipf distribution over the customers.

        Returns:
            The report of this phase and that of all phases with this label.
        """
        statistics = LoadStatistics()
        pools = [ConnectionPool(statistics, port) for port in ports]
        source = random.Random(f"ports {seed}")
        start_s = time.monotonic() + START_DELAY_S
        for arrival in poisson_arrivals(seed, rate, seconds, tenants, skew):
            due_s = start_s + arrival.due_s
            await self._sleep_until(due_s)
            statistics.pending += 1
            source.choice(pools).submit(PendingCommand(due_s, self._encode(arrival.customer)))
        await self._await_replies(statistics)
        for pool in pools:
            pool.close()
        total = self._totals.setdefault(label, LoadStatistics())
        total.merge(statistics)
        return PhaseReports(statistics.report(), total.report())

    async def _await_replies(self, statistics: LoadStatistics) -> None:
        """Wait until nothing is pending or the last timeout is over; what is pending then has no reply."""
        until_s = time.monotonic() + self._timeout_ms / 1000.0 + REPLY_GRACE_S
        while statistics.pending and time.monotonic() < until_s:  # noqa: ASYNC110 - no event on each reply's way
            await asyncio.sleep(REPLY_POLL_S)
        while statistics.pending > 0:
            statistics.record_outcome(LoadOutcome.UNANSWERED)

    @staticmethod
    async def _sleep_until(due_s: float) -> None:
        delay_s = due_s - time.monotonic()
        if delay_s > SPIN_S:
            await asyncio.sleep(delay_s - SPIN_S)
        while time.monotonic() < due_s:  # noqa: ASYNC110 - turns the loop until then, finer than its timers
            await asyncio.sleep(0)

    def _encode(self, customer: int) -> bytes:
        self._sent_count += 1
        return encode_request(
            self._class_name,
            self._plan,
            self._timeout_ms,
            customer,
            self._sent_count,
            self._gateway_set_size,
        )
