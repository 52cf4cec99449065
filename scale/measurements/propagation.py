"""How soon a version that discovery publishes is in force at 99 in 100 gateways."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from math import ceil, inf

from scale.child_process import RoleProcess
from scale.testbed import Testbed

COVERED_SHARE = 0.99
"""Share of the gateways at which a version has to be in force."""

ReceivedVersions = Sequence[tuple[int, float]]
"""A gateway's versions in order, and when each was in force, in seconds."""


def propagation_delays(
    published_s: Sequence[tuple[int, float]],
    received: Sequence[ReceivedVersions],
) -> list[float]:
    """Return for each version the seconds until it, or a later one, was in force at 99 in 100 gateways.

    Args:
        published_s: The versions, and when each was published.
        received: For each gateway its versions, and when each was in force.

    Returns:
        The delays in the order of the versions; infinite where 99 in 100 gateways never had the version.
    """
    delays = []
    for version, version_published_s in published_s:
        delays_by_gateway = sorted(
            next((at_s - version_published_s for own, at_s in gateway if own >= version), inf)
            for gateway in received
        )
        delays.append(delays_by_gateway[ceil(COVERED_SHARE * len(delays_by_gateway)) - 1])
    return delays


async def take_received_versions(processes: Sequence[RoleProcess]) -> list[ReceivedVersions]:
    """Return for each hollow gateway of these processes its versions since the last call."""
    received: list[ReceivedVersions] = []
    for process in processes:
        received += await process.call("take_received", list[list[tuple[int, float]]])
    return received


async def forget_received_versions(processes: Sequence[RoleProcess]) -> None:
    """Drop the versions so far, so that the next call of `take_received_versions` has only later ones."""
    await asyncio.gather(
        *(process.call("take_received", list[list[tuple[int, float]]]) for process in processes)
    )


async def delays_between(
    testbed: Testbed,
    discovery: RoleProcess,
    received: Sequence[ReceivedVersions],
    first_version: int,
    last_version: int,
) -> list[float]:
    """Return the propagation delays in seconds of the versions from the first to the last."""
    statistics = await testbed.discovery_statistics(discovery)
    published_s = [
        (version, at_s)
        for version, at_s in statistics.published_s
        if first_version <= version <= last_version
    ]
    return propagation_delays(published_s, received)
