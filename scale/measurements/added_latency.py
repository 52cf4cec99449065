"""Latency added by a gateway: the same load alternates between the servers and the gateway."""

from __future__ import annotations

import msgspec

from scale.load.statistics import LATENCY_PERCENTILES, LoadOutcome
from scale.messages import LoadReport
from scale.testbed import Testbed

MAXIMUM_UNSERVED_SHARE = 0.1
"""Share of unserved requests above which the added latency is meaningless and not recorded."""

PHASE_SEED_FACTOR = 1000
"""Difference between the seeds of the same phase in two runs with consecutive seeds."""


class AddedLatency(msgspec.Struct, frozen=True):
    """Latency of a load without and with a gateway.

    Attributes:
        straight: Report on all phases sent straight to the servers.
        through: Report on all phases sent through the gateway.
        added_ms: Latency added by the gateway in each phase, by percentile.
        opened_connections: Connections to servers opened in the phases through the gateway.
    """

    straight: LoadReport
    through: LoadReport
    added_ms: dict[str, list[float]]
    opened_connections: int

    def reports(self) -> tuple[tuple[str, LoadReport], ...]:
        """Return both reports, each with its name in the result files."""
        return ("straight", self.straight), ("through", self.through)


async def measure_added_latency(testbed: Testbed, label: str, port: int, rate: float) -> AddedLatency:
    """Alternate phases of the same load straight to the servers and through the gateway at a port.

    On a machine with other users, tail latencies vary over time, so the median over several phases is more
    reliable than a single phase.
    """
    added_ms: dict[str, list[float]] = {name: [] for name in LATENCY_PERCENTILES}
    server_ports = testbed.server_ports[: testbed.config.fleet.servers]
    opened = 0
    for phase in range(testbed.config.load.phases):
        seed = testbed.config.seed * PHASE_SEED_FACTOR + phase
        straight = await testbed.run_load(f"{label} straight", server_ports, seed, rate)
        opened_before = (await testbed.server_statistics()).opened
        through = await testbed.run_load(f"{label} through", [port], seed, rate)
        opened += (await testbed.server_statistics()).opened - opened_before
        for name, values in added_ms.items():
            values.append(through.phase.latencies_ms[name] - straight.phase.latencies_ms[name])
    return AddedLatency(straight.total, through.total, added_ms, opened)


def record_added_latency(testbed: Testbed, latency: AddedLatency, by: str, size: float) -> None:
    """Record the added latency and the unserved requests.

    Above MAXIMUM_UNSERVED_SHARE, a note takes the place of the added latency.
    """
    measurements = testbed.measurements
    for way, report in latency.reports():
        measurements.add(f"load.{way}_p99", by, "ms", size, [report.latencies_ms["p99_ms"]])
        measurements.add(f"load.{way}_unserved", by, "share", size, [report.unserved_share])
        unserved = {
            outcome: number for outcome, number in report.outcomes.items() if outcome != LoadOutcome.SERVED
        }
        if unserved:
            measurements.figures[f"{way} at {size:g} {by}: unserved"] = format_counts(unserved)
    worst_share = max(0.0, latency.straight.unserved_share, latency.through.unserved_share)
    note = f"{worst_share:.0%} unserved" if worst_share > MAXIMUM_UNSERVED_SHARE else ""
    for percentile, values in latency.added_ms.items():
        name = f"gateway.added_{percentile.removesuffix('_ms')}"
        measurements.add(name, by, "ms", size, [] if note else values, note)
    opened_per_request = latency.opened_connections / max(1, latency.through.served)
    measurements.add("gateway.handshakes", by, "connections/request", size, [opened_per_request])


def format_counts(counts: dict[str, int]) -> str:
    """Return the counts as text, sorted by name."""
    return ", ".join(f"{name} {number}" for name, number in sorted(counts.items()))
