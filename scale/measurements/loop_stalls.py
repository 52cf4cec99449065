"""Stalls of a hollow gateway's event loop, by the size of the list and of a change."""

from __future__ import annotations

from scale.messages import EndpointListInfo, LoopStalls, PublishedChanges, UpdateCoverage
from scale.testbed import Testbed

FIRST_LIST_TIMEOUT_S = 5.0
LIST_TIMEOUT_S = 8.0
"""Maximum time until a list is in force; a gateway that takes longer has rejected the list."""


async def measure_loop_stalls(testbed: Testbed) -> None:
    """Measure stalls at each size of the list, and at each size of a change of the median list."""
    slopes = testbed.config.slopes
    for size in slopes.lists:
        testbed.report_step(f"event loop stalls with {size} servers")
        await _measure_stalls(testbed, size, "servers", size, 1)
    middle = slopes.lists[len(slopes.lists) // 2]
    for changed in slopes.changes:
        testbed.report_step(f"event loop stalls with changes of {changed} rows")
        await _measure_stalls(testbed, middle, f"rows changed of {middle}", changed, min(changed, middle))


async def _measure_stalls(testbed: Testbed, servers: int, by: str, size: int, changed: int) -> None:
    discovery, port = await testbed.start_discovery(1)
    hollow = await testbed.start_hollow_gateways(servers, 0, 1, "gateway")
    await hollow.command("open_watches", port=port)
    await hollow.call("await_version", UpdateCoverage, version=1, within_s=FIRST_LIST_TIMEOUT_S)
    list_stalls: list[LoopStalls] = []
    change_stalls: list[LoopStalls] = []
    for _ in range(testbed.config.slopes.repeats):
        await hollow.command("begin_probe")
        listed = await discovery.call("resize", EndpointListInfo, servers=servers)
        coverage = await hollow.call(
            "await_version", UpdateCoverage, version=listed.version, within_s=LIST_TIMEOUT_S
        )
        stalls = await hollow.call("end_probe", LoopStalls)
        if not coverage.updated:
            break
        list_stalls.append(stalls)
        await hollow.command("begin_probe")
        changes = await discovery.call("publish_changes", PublishedChanges, endpoints=changed, versions=1)
        await testbed.await_version([hollow], changes.last_version)
        change_stalls.append(await hollow.call("end_probe", LoopStalls))
    _record_stalls(testbed, by, size, list_stalls, change_stalls)
    await testbed.supervisor.end(discovery, hollow)


def _record_stalls(
    testbed: Testbed, by: str, size: int, list_stalls: list[LoopStalls], change_stalls: list[LoopStalls]
) -> None:
    measurements = testbed.measurements
    note = "" if list_stalls else "refused: not heard within 8 s"
    if by == "servers":
        cpu_ms = [stalls.cpu_ms for stalls in list_stalls]
        wall_ms = [stalls.wall_ms for stalls in list_stalls]
        measurements.add("gateway.list_stall", by, "ms", size, cpu_ms, note)
        measurements.add("gateway.list_stall_wall", by, "ms", size, wall_ms, note)
    change_cpu_ms = [stalls.cpu_ms for stalls in change_stalls]
    measurements.add("gateway.change_stall", by, "ms", size, change_cpu_ms, note)
