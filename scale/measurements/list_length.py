"""Costs of a real gateway by the length of the list: reading it, changes, load and connections."""

from __future__ import annotations

import asyncio

from scale.child_process import MEBIBYTE, RoleProcess
from scale.fleet.gateways import RealGateway
from scale.measurements.added_latency import measure_added_latency, record_added_latency
from scale.messages import EndpointListInfo
from scale.testbed import Testbed

CHANGE_GAP_S = 0.02
"""Time between two versions, long enough for a gateway to read each one separately."""

WATCH_RETURN_S = 1.5
"""Time that a gateway needs to open its watch again after it was dropped."""

REJECTED_LIST_S = 10.0
"""Duration of the measurement of a gateway that rejects the list and repeatedly requests it."""

REJECTED_LIST_LOG_TEXT = "malformed discovery document"
"""Event that a gateway logs when it rejects a list.

A gateway that logs another event is recognized by its watches, which end repeatedly.
"""


async def measure_by_list_length(testbed: Testbed) -> None:
    """Measure a real gateway at each length of the list."""
    for size in testbed.config.slopes.lists:
        testbed.report_step(f"a real gateway and {size} servers")
        discovery, port = await testbed.start_discovery(1)
        gateway = await testbed.start_gateway(port, size)
        if await _measure_reading(testbed, discovery, gateway, size):
            await _measure_changes(testbed, discovery, gateway, size)
            await testbed.supervisor.end(gateway.process)
            # Restart the gateway, as its first list determines how many requests it may have in flight.
            gateway = await testbed.start_gateway(port, size)
            start_cpu_ms = 1000.0 * gateway.process.usage().cpu_s
            testbed.measurements.add("gateway.start_cpu", "servers", "ms", size, [start_cpu_ms])
            await _measure_load(testbed, gateway, size)
        await testbed.supervisor.end(discovery, gateway.process)


async def _measure_reading(testbed: Testbed, discovery: RoleProcess, gateway: RealGateway, size: int) -> bool:
    """Measure the cost of reading a list of this size; return whether the gateway accepted the list."""
    measurements = testbed.measurements
    before = gateway.process.usage()
    ended_before = (await testbed.discovery_statistics(discovery)).count("ended")
    listed = await discovery.call("resize", EndpointListInfo, servers=size)
    await asyncio.sleep(WATCH_RETURN_S)
    await gateway.wait_until_settled()
    after = gateway.process.usage()
    ended = (await testbed.discovery_statistics(discovery)).count("ended")
    measurements.add("discovery.list", "servers", "bytes", size, [listed.size_bytes])
    rejected = gateway.count_in_log(REJECTED_LIST_LOG_TEXT)
    if rejected or ended > ended_before + 1:
        await _measure_rejected_list(testbed, discovery, gateway, size)
        for name, unit in (("list_cpu", "ms"), ("list_memory", "MB"), ("change_cpu", "ms")):
            measurements.add(f"gateway.{name}", "servers", unit, size, [], f"refused {rejected} times")
        return False
    rss_growth_bytes = after.rss_bytes - before.rss_bytes
    measurements.add("gateway.list_cpu", "servers", "ms", size, [after.cpu_ms_since(before)])
    measurements.add("gateway.list_memory", "servers", "MB", size, [rss_growth_bytes / MEBIBYTE])
    measurements.add("gateway.memory", "servers", "MB", size, [after.rss_mb])
    measurements.add("gateway.memory_peak", "servers", "MB", size, [after.peak_rss_bytes / MEBIBYTE])
    return True


async def _measure_rejected_list(
    testbed: Testbed, discovery: RoleProcess, gateway: RealGateway, size: int
) -> None:
    """Measure the cost of a rejected list, which the gateway requests repeatedly by new watches."""
    before = gateway.process.usage()
    first = await testbed.discovery_statistics(discovery)
    await asyncio.sleep(REJECTED_LIST_S)
    after = gateway.process.usage()
    last = await testbed.discovery_statistics(discovery)
    sent_lists = last.count("first_lines") - first.count("first_lines")
    sent_bytes = last.count("first_bytes") - first.count("first_bytes")
    measurements = testbed.measurements
    measurements.add("gateway.refused_asked", "servers", "times/s", size, [sent_lists / REJECTED_LIST_S])
    measurements.add("gateway.refused_sent", "servers", "bytes/s", size, [sent_bytes / REJECTED_LIST_S])
    cpu_ms_per_s = after.cpu_ms_since(before) / REJECTED_LIST_S
    measurements.add("gateway.refused_cpu", "servers", "ms/s", size, [cpu_ms_per_s])


async def _measure_changes(testbed: Testbed, discovery: RoleProcess, gateway: RealGateway, size: int) -> None:
    """Measure the processor time and the bytes of one change at a real gateway."""
    versions = testbed.config.slopes.versions
    costs_ms = []
    for _ in range(testbed.config.slopes.repeats):
        before = gateway.process.usage()
        changes = await testbed.publish_changes(discovery, versions, CHANGE_GAP_S)
        await gateway.wait_until_settled()
        costs_ms.append(gateway.process.usage().cpu_ms_since(before) / versions)
    testbed.measurements.add("gateway.change_cpu", "servers", "ms", size, costs_ms)
    testbed.measurements.add("gateway.change", "servers", "bytes", size, [changes.sent_bytes / versions])


async def _measure_load(testbed: Testbed, gateway: RealGateway, size: int) -> None:
    """Measure added latency, processor time per request and connections with a list of this size."""
    await testbed.servers.command("reset_statistics")
    before = gateway.process.usage()
    latency = await measure_added_latency(testbed, f"{size} servers", gateway.port, testbed.config.load.rate)
    after = gateway.process.usage()
    statistics = await testbed.server_statistics()
    record_added_latency(testbed, latency, "servers", size)
    request_cpu_us = 1000.0 * after.cpu_ms_since(before) / max(1, latency.through.served)
    measurements = testbed.measurements
    measurements.add("gateway.request_cpu", "servers", "us", size, [request_cpu_us])
    measurements.add("gateway.sockets", "servers", "sockets", size, [after.sockets])
    measurements.add("server.most_connections", "servers", "connections", size, [statistics.most_per_server])
