"""Benchmark of the policy engine without sockets, by servers, customers and classes."""

from __future__ import annotations

import gc
import heapq
import time
from collections import Counter
from itertools import count
from typing import Any

import psutil

from quota_gateway import model
from quota_gateway.policy.engine import PolicyEngine
from quota_gateway.settings_format import settings_from_document
from scale.messages import PolicyCost

SERVER_LATENCY_MS = 5.0
"""Latency of every attempt that the benchmark reports to the engine."""

REQUEST_TIMEOUT_MS = 1000.0
FINAL_LATENCIES = 10
"""Time that the clock advances after the last request, in server latencies, so that all attempts end."""

ENGINE_SEED = 1


class PolicyBenchmark:
    """Role of a child process that runs a policy engine on a simulated clock; the run calls its methods.

    Args:
        document: Settings in the form that gateways read.
        servers: Number of servers that the engine knows.
    """

    def __init__(self, document: dict[str, Any], servers: int) -> None:
        self._process = psutil.Process()
        gc.collect()
        self._initial_rss_bytes = self._process.memory_info().rss
        self._settings = settings_from_document(document)
        self._engine = PolicyEngine(self._settings, ENGINE_SEED)
        self._now_ms = 0.0
        self._event_numbers = count()
        self._scheduled: list[tuple[float, int, model.Event]] = []
        self._actions: Counter[str] = Counter()
        endpoints = tuple(model.Endpoint(number, self._settings.zone) for number in range(1, servers + 1))
        self._handle(model.EndpointUpdate(model.UpdateKind.SNAPSHOT, endpoints, 1))

    async def start(self) -> None:
        """Do nothing: this role does not listen on a port."""

    async def run(self, tenants: int, requests: int, gap_ms: float) -> PolicyCost:
        """Submit requests, cycling through the customers and through all pairs of class and plan.

        Args:
            tenants: Number of customers.
            requests: Total number of requests.
            gap_ms: Simulated time between two requests.
        """
        gc.collect()
        started_s = time.thread_time()
        routes = [
            (request_class.name, plan.name)
            for request_class in self._settings.classes
            for plan in self._settings.plans
        ]
        for number in range(requests):
            self._advance_to(self._now_ms + gap_ms)
            class_name, plan_name = routes[number % len(routes)]
            customer = f"{number % tenants:016x}"
            self._handle(model.Request(f"r{number}", class_name, plan_name, customer, REQUEST_TIMEOUT_MS))
        self._advance_to(self._now_ms + FINAL_LATENCIES * SERVER_LATENCY_MS)
        elapsed_s = time.thread_time() - started_s
        gc.collect()
        return PolicyCost(
            cpu_us=1e6 * elapsed_s / requests,
            memory_bytes=self._process.memory_info().rss - self._initial_rss_bytes,
            customers=len(self._engine.customers),
            actions=dict(self._actions),
        )

    def _advance_to(self, end_ms: float) -> None:
        while self._scheduled and self._scheduled[0][0] <= end_ms:
            due_ms, _, event = heapq.heappop(self._scheduled)
            self._now_ms = max(self._now_ms, due_ms)
            self._handle(event)
        self._now_ms = end_ms

    def _handle(self, event: model.Event) -> None:
        for action in self._engine.handle(self._now_ms, event):
            self._actions[type(action).__name__] += 1
            if isinstance(action, model.SetTimer):
                self._schedule(action.delay_ms, model.TimerFired(action.token))
            elif isinstance(action, model.StartAttempt):
                outcome = model.Outcome(
                    action.request_id, 0, action.server, model.AttemptStatus.OK, SERVER_LATENCY_MS, True
                )
                self._schedule(SERVER_LATENCY_MS, outcome)

    def _schedule(self, delay_ms: float, event: model.Event) -> None:
        heapq.heappush(self._scheduled, (self._now_ms + delay_ms, next(self._event_numbers), event))
