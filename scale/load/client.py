"""Open-loop load generator: requests are sent when they are due, regardless of earlier replies."""

from __future__ import annotations

import asyncio
import random
import time

from scale.load.arrivals import encode_request, poisson_arrivals
from scale.load.connections import ConnectionPool, PendingCommand
from scale.load.statistics import LoadOutcome, LoadStatistics
from scale.messages import PhaseReports

SPIN_S = 0.0015
"""Time before a due request in which the event loop doesn't sleep, as its timers are whole milliseconds."""

START_DELAY_S = 0.1
"""Time from the start of a phase until its first request may be due."""

REPLY_GRACE_S = 0.5
"""Additional time after the last request's timeout in which a reply still counts."""

REPLY_POLL_S = 0.01


class LoadGenerator:
    """Role of a child process that sends load; the run calls its public methods.

    Args:
        plan: Plan of all requests.
        class_name: Class of all requests.
        deadline_ms: Timeout of a request.
        spread: Number of gateways that serve the same customer.
    """

    def __init__(self, plan: str, class_name: str, deadline_ms: float, spread: int) -> None:
        self._plan = plan
        self._class_name = class_name
        self._timeout_ms = deadline_ms
        self._gateway_set_size = spread
        self._totals: dict[str, LoadStatistics] = {}
        self._sent_count = 0

    async def start(self) -> None:
        """Do nothing: this role does not listen on a port."""

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
        """Send one phase of load, each request to a randomly chosen port, then wait for the replies.

        Args:
            label: Label whose totals the phase is added to.
            ports: Ports on loopback.
            seed: Seed of arrivals and of the choice of ports.
            rate: Mean requests per second.
            seconds: Duration of the phase.
            tenants: Number of customers.
            skew: Exponent of the Zipf distribution over the customers.

        Returns:
            Reports on this phase and on all phases with this label so far.
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
        """Wait until no request is pending or the last one has timed out; count the rest as unanswered."""
        until_s = time.monotonic() + self._timeout_ms / 1000.0 + REPLY_GRACE_S
        while statistics.pending and time.monotonic() < until_s:  # noqa: ASYNC110 - an event would cost time per reply
            await asyncio.sleep(REPLY_POLL_S)
        while statistics.pending > 0:
            statistics.record_outcome(LoadOutcome.UNANSWERED)

    @staticmethod
    async def _sleep_until(due_s: float) -> None:
        delay_s = due_s - time.monotonic()
        if delay_s > SPIN_S:
            await asyncio.sleep(delay_s - SPIN_S)
        while time.monotonic() < due_s:  # noqa: ASYNC110 - loop timers are too coarse
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
