"""Cost of the policy engine alone, by customers seen and by classes."""

from __future__ import annotations

from types import NoneType
from typing import Any

from scale.fleet.gateway_settings import settings_document
from scale.messages import PolicyCost
from scale.testbed import Testbed

PLAN_UNITS_PER_S = 100.0
BURST_GAP_MS = 0.01
"""Time between two requests when all customers arrive in one burst."""

REQUESTS_BY_CLASSES = 4_000
CUSTOMERS_BY_CLASSES = 100
"""Numbers of requests and customers in each measurement by classes."""

SERVERS = 20
RUN_TIMEOUT_S = 600.0


async def measure_policy_cost(testbed: Testbed) -> None:
    """Measure the policy engine by customers and by classes.

    Classes stand for routes, which the gateway doesn't have.

    Each number of customers is measured at the load's rate, which shows how many of them a gateway keeps, and
    in a burst, which shows the memory that each one takes.
    """
    measurements = testbed.measurements
    gap_ms = 1000.0 / testbed.config.load.rate
    for customers in testbed.config.slopes.tenants:
        testbed.report_step(f"{customers} customers")
        settings = settings_document(1, 0, "a", quota=PLAN_UNITS_PER_S)
        cost = await _run_policy(testbed, settings, customers, customers, gap_ms)
        measurements.add("gateway.tenants_held", "tenants seen", "tenants", customers, [cost.customers])
        measurements.add("gateway.request_cpu", "tenants seen", "us", customers, [cost.cpu_us])
        cost = await _run_policy(testbed, settings, customers, customers, BURST_GAP_MS)
        measurements.add("gateway.memory", "tenants held", "bytes", cost.customers, [cost.memory_bytes])
    for classes in testbed.config.slopes.routes:
        testbed.report_step(f"{classes} classes")
        settings = settings_document(1, 0, "a", classes)
        cost = await _run_policy(testbed, settings, CUSTOMERS_BY_CLASSES, REQUESTS_BY_CLASSES, gap_ms)
        measurements.add("gateway.memory", "routes", "bytes", classes, [cost.memory_bytes])
        measurements.add("gateway.request_cpu", "routes", "us", classes, [cost.cpu_us])


async def _run_policy(
    testbed: Testbed,
    settings: dict[str, Any],
    customers: int,
    requests: int,
    gap_ms: float,
) -> PolicyCost:
    """Run the policy benchmark in a separate process and return its result."""
    policy, _ = await testbed.supervisor.start_role("policy", NoneType, document=settings, servers=SERVERS)
    cost = await policy.call(
        "run", PolicyCost, timeout_s=RUN_TIMEOUT_S, tenants=customers, requests=requests, gap_ms=gap_ms
    )
    await testbed.supervisor.end(policy)
    return cost
