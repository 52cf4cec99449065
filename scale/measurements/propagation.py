"""Delay from a version's publication by discovery until it is in force at 99 in 100 gateways."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from math import ceil, inf

from scale.child_process import RoleProcess
from scale.testbed import Testbed

COVERED_SHARE = 0.99
"""Share of the gateways where a version must be in force to count as propagated."""

ReceivedVersions = Sequence[tuple[int, float]]
"""Versions that a gateway has received, in order, and the time when each came into force, in seconds."""


def propagation_delays(
    published_s: Sequence[tuple[int, float]],
    received: Sequence[ReceivedVersions],
) -> list[float]:
    """Return for each version the seconds until it, or a later one, was in force at 99 in 100 gateways.

    Args:
        published_s: Versions and the time when each was published.
        received: For each gateway its versions and the time when each came into force.

    Returns:
        Delays in the order of the versions; infinite if a version never was in force at 99 in 100 gateways.
    """
    delays = []
    for version, version_published_s in published_s:
        delays_by_gateway = sorted(
            next(
                (
                    at_s - version_published_s
                    for received_version, at_s in gateway
                    if received_version >= version
                ),
                inf,
            )
            for gateway in received
        )
        delays.append(delays_by_gateway[ceil(COVERED_SHARE * len(delays_by_gateway)) - 1])
    return delays


async def take_received_versions(processes: Sequence[RoleProcess]) -> list[ReceivedVersions]:
    """Return each hollow gateway's latest version of the last call, and those it has received since then."""
    received: list[ReceivedVersions] = []
    for process in processes:
        received += await process.call("take_received", list[list[tuple[int, float]]])
    return received


async def forget_received_versions(processes: Sequence[RoleProcess]) -> None:
    """Discard the received versions except each gateway's latest, which `take_received_versions` repeats."""
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
