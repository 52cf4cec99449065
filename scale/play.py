"""The ``run`` command: a whole fleet under accelerated churn, faults and load."""

from __future__ import annotations

import asyncio
from math import isfinite
from statistics import median
from typing import NamedTuple

import msgspec

from scale.child_process import MEBIBYTE, ChildProcess, ResourceUsage, RoleProcess
from scale.fleet.gateways import RealGateway
from scale.load.statistics import LATENCY_PERCENTILES
from scale.measurements.added_latency import AddedLatency, format_counts, measure_added_latency
from scale.measurements.propagation import (
    forget_received_versions,
    propagation_delays,
    take_received_versions,
)
from scale.messages import DiscoveryStatistics
from scale.testbed import Testbed

SETTLING_S = 8.0
"""Wait after the load: an update counts as notified 6 s after its publication (PROTOCOL, Figures)."""

PHASE_GAP_S = 0.2
"""Additional time of each phase beyond the length of its load."""

HOLLOW_LOAD_GRACE_S = 60.0
"""Additional time for the load at hollow gateways, beyond its length."""

HOLLOW_SEED_FACTOR = 1_000
"""Difference between the hollow gateways' load seeds in two runs with consecutive seeds."""

ERROR_LOG_TEXT = " ERROR "
"""Text by which an error is recognized in a gateway's log."""


class PlayProcesses(NamedTuple):
    """Processes whose resource usage is measured."""

    discovery: RoleProcess
    hollow: list[RoleProcess]
    gateways: list[RealGateway]

    def usages(self) -> dict[ChildProcess, ResourceUsage]:
        """Return the resource usage of each process since its start."""
        gateway_processes = (gateway.process for gateway in self.gateways)
        return {process: process.usage() for process in (self.discovery, *self.hollow, *gateway_processes)}


async def play(testbed: Testbed) -> None:
    """Run a fleet under churn, faults and load, and record what it costs."""
    processes = await _start_processes(testbed)
    before = processes.usages()
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    await _run_churn(testbed, processes)
    after = processes.usages()
    wall_s = loop.time() - start_s
    cpu_ms_per_s = {process: after[process].cpu_ms_since(before[process]) / wall_s for process in after}
    statistics = await testbed.discovery_statistics(processes.discovery)
    _record_discovery(
        testbed, statistics, cpu_ms_per_s[processes.discovery], after[processes.discovery].rss_mb
    )
    await _record_servers(testbed)
    for number, gateway in enumerate(processes.gateways):
        usage = after[gateway.process]
        _record_gateway(testbed, number, gateway, usage, cpu_ms_per_s[gateway.process])
    await _record_propagation(testbed, statistics, processes.hollow)


async def _run_churn(testbed: Testbed, processes: PlayProcesses) -> None:
    """Run churn, faults and load at the same time, wait for updates to propagate, and record the events."""
    config = testbed.config
    seconds = _churn_seconds(testbed, len(processes.gateways))
    testbed.report_step(
        f"churn for {seconds:.0f} s at {config.churn.speedup:g} times real-time speed, with load"
    )
    events_by_kind = await processes.discovery.call(
        "play", dict[str, int], config=msgspec.to_builtins(config), seconds=seconds
    )
    await _run_loads(testbed, processes, seconds)
    testbed.report_step(f"waiting {SETTLING_S:g} s for updates to propagate")
    await asyncio.sleep(SETTLING_S)
    testbed.measurements.figures |= {
        f"events: {kind}": number for kind, number in sorted(events_by_kind.items())
    }


async def _start_processes(testbed: Testbed) -> PlayProcesses:
    fleet = testbed.config.fleet
    testbed.report_step(f"starting {fleet.real} real and {fleet.hollow} hollow gateways")
    discovery, port = await testbed.start_discovery(fleet.servers)
    gateways = [await testbed.start_gateway(port, fleet.servers, number) for number in range(fleet.real)]
    hollow = await testbed.start_hollow_fleet(port, fleet.hollow)
    await forget_received_versions(hollow)
    return PlayProcesses(discovery, hollow, gateways)


def _churn_seconds(testbed: Testbed, gateways: int) -> float:
    """Return the duration of churn: until all gateways have had their load and all faults have ended."""
    config = testbed.config
    load_s = 2 * config.load.phases * gateways * (config.load.seconds + PHASE_GAP_S)
    return max(load_s, max((fault.at_s + fault.for_s for fault in config.faults), default=0.0))


async def _run_loads(testbed: Testbed, processes: PlayProcesses, seconds: float) -> None:
    """Load the real gateways one by one and the hollow ones meanwhile; record latencies and outcomes."""
    figures = testbed.measurements.figures
    hollow_loads = [
        asyncio.create_task(_load_hollow_gateways(testbed, process, number, seconds), name="hollow load")
        for number, process in enumerate(processes.hollow)
    ]
    for number, gateway in enumerate(processes.gateways):
        rate = testbed.config.load.rate
        latency = await measure_added_latency(testbed, f"play {number}", gateway.port, rate)
        _record_latency(testbed, f"gateway {number}", latency)
    for outcomes in await asyncio.gather(*hollow_loads):
        for outcome, count in outcomes.items():
            name = f"hollow gateways: {outcome}"
            figures[name] = figures.get(name, 0) + count


async def _load_hollow_gateways(
    testbed: Testbed, process: RoleProcess, number: int, seconds: float
) -> dict[str, int]:
    """Load the hollow gateways of one process over their own upstream connections; return the outcomes."""
    config = testbed.config
    load = config.load
    if not load.hollow_rate or config.fleet.hollow_kind != "gateway":
        await asyncio.sleep(seconds)
        return {}
    return await process.call(
        "run_load",
        dict[str, int],
        timeout_s=seconds + HOLLOW_LOAD_GRACE_S,
        rate=load.hollow_rate,
        seconds=seconds,
        seed=config.seed * HOLLOW_SEED_FACTOR + number,
        tenants=load.tenants,
        skew=load.skew,
    )


def _record_latency(testbed: Testbed, name: str, latency: AddedLatency) -> None:
    figures = testbed.measurements.figures
    for percentile in LATENCY_PERCENTILES:
        label = percentile.replace("_", " ")
        for way, report in latency.reports():
            figures[f"{name}: {way} {label}"] = report.latencies_ms[percentile]
        figures[f"{name}: added {label}, median of phases"] = median(latency.added_ms[percentile])
    for way, report in latency.reports():
        figures[f"{name}: {way} requests"] = format_counts(report.outcomes)


def _record_discovery(
    testbed: Testbed, statistics: DiscoveryStatistics, cpu_ms_per_s: float, memory_mb: float
) -> None:
    testbed.measurements.figures |= {
        "versions published": len(statistics.published_s),
        "servers listed at the end": statistics.servers,
        "watches open at the end": statistics.watches,
        "watches ended": statistics.count("ended"),
        "discovery: cpu ms/s": cpu_ms_per_s,
        "discovery: memory MB": memory_mb,
        "discovery: MB sent": statistics.sent_bytes / MEBIBYTE,
    }


async def _record_servers(testbed: Testbed) -> None:
    statistics = await testbed.server_statistics()
    testbed.measurements.figures |= {
        "servers: most connections to one": statistics.most_per_server,
        "servers: connections opened": statistics.opened,
        "servers: requests turned away": statistics.rejected,
        "servers: used": statistics.used,
    }


def _record_gateway(
    testbed: Testbed, number: int, gateway: RealGateway, usage: ResourceUsage, cpu_ms_per_s: float
) -> None:
    testbed.measurements.figures |= {
        f"gateway {number}: cpu ms/s": cpu_ms_per_s,
        f"gateway {number}: memory MB": usage.rss_mb,
        f"gateway {number}: sockets": usage.sockets,
        f"gateway {number}: lines of errors": gateway.count_in_log(ERROR_LOG_TEXT),
    }


async def _record_propagation(
    testbed: Testbed, statistics: DiscoveryStatistics, hollow: list[RoleProcess]
) -> None:
    """Record the time until the versions were in force at 99 in 100 of the hollow gateways."""
    received = await take_received_versions(hollow)
    delays_s = sorted(propagation_delays(statistics.published_s, received)) if received else []
    finite_delays_s = [delay_s for delay_s in delays_s if isfinite(delay_s)]
    figures = testbed.measurements.figures
    if finite_delays_s:
        figures["in force at 99 in 100: median ms"] = 1000.0 * finite_delays_s[len(finite_delays_s) // 2]
        figures["in force at 99 in 100: worst ms"] = 1000.0 * finite_delays_s[-1]
    figures["versions never in force at 99 in 100"] = len(delays_s) - len(finite_delays_s)
