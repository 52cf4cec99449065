"""Cost of discovery and propagation of its updates, by the number of gateways with a watch."""

from __future__ import annotations

from collections.abc import Sequence
from math import isfinite

from scale.child_process import RoleProcess
from scale.measurements.propagation import (
    delays_between,
    forget_received_versions,
    take_received_versions,
)
from scale.messages import EndpointListInfo, FaultVersions
from scale.testbed import Testbed

LOST_ZONE = "a"
ZONE_LOSS_S = 1.0


async def measure_by_fleet_size(testbed: Testbed) -> None:
    """Measure discovery and a fleet of hollow gateways at each size of the fleet."""
    servers = testbed.config.fleet.servers
    for size in testbed.config.slopes.fleets:
        testbed.report_step(f"{size} hollow gateways")
        discovery, port = await testbed.start_discovery(servers)
        processes = await testbed.start_hollow_fleet(port, size)
        await forget_received_versions(processes)
        await _measure_changes(testbed, discovery, processes, size)
        lost = await discovery.call(
            "play_fault", FaultVersions, kind="lose_zone", zone=LOST_ZONE, for_s=ZONE_LOSS_S
        )
        await _record_propagation(
            testbed, discovery, processes, "zone", (lost.version_before + 1, lost.last_version)
        )
        listed = await discovery.call("resize", EndpointListInfo, servers=servers)
        await _record_propagation(testbed, discovery, processes, "return", (listed.version, listed.version))
        await testbed.supervisor.end(discovery, *processes)


async def _measure_changes(
    testbed: Testbed, discovery: RoleProcess, processes: Sequence[RoleProcess], size: int
) -> None:
    slopes = testbed.config.slopes
    measurements = testbed.measurements
    before = discovery.usage()
    changes = await testbed.publish_changes(discovery, slopes.versions, slopes.spread_gap_s)
    await _record_propagation(
        testbed, discovery, processes, "in_force", (changes.first_version, changes.last_version)
    )
    after = discovery.usage()
    cpu_ms = after.cpu_ms_since(before) / slopes.versions
    sent_bytes = changes.sent_bytes / slopes.versions
    measurements.add("discovery.change_cpu", "gateways", "ms", size, [cpu_ms])
    measurements.add("discovery.change_sent", "gateways", "bytes", size, [sent_bytes])
    measurements.add("discovery.memory", "gateways", "MB", size, [after.rss_mb])


async def _record_propagation(
    testbed: Testbed,
    discovery: RoleProcess,
    processes: Sequence[RoleProcess],
    name: str,
    versions: tuple[int, int],
) -> None:
    """Record the time until each version, from the first to the last, was in force at 99 in 100 gateways."""
    first_version, last_version = versions
    await testbed.await_version(processes, last_version)
    received = await take_received_versions(processes)
    delays_s = await delays_between(testbed, discovery, received, first_version, last_version)
    finite_delays_ms = [1000.0 * delay_s for delay_s in delays_s if isfinite(delay_s)]
    missing = len(delays_s) - len(finite_delays_ms)
    note = f"{missing} versions never in force" if missing else ""
    worst_ms = [] if missing else [max(finite_delays_ms)]
    gateways = len(received)
    testbed.measurements.add(f"fleet.{name}_99", "gateways", "ms", gateways, finite_delays_ms, note)
    testbed.measurements.add(f"fleet.{name}_99_worst", "gateways", "ms", gateways, worst_ms, note)
