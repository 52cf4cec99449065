"""All measurements of slopes: how the cost of each role grows with a size."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

from scale.config import Config
from scale.measurements.fleet_size import measure_by_fleet_size
from scale.measurements.gateway_count import measure_by_gateway_count
from scale.measurements.list_length import measure_by_list_length
from scale.measurements.loop_stalls import measure_loop_stalls
from scale.measurements.policy_cost import measure_policy_cost
from scale.measurements.request_rate import measure_by_request_rate
from scale.testbed import Testbed

Measurement = Callable[[Testbed], Awaitable[None]]

MEASUREMENTS: dict[str, Measurement] = {
    "list": measure_by_list_length,
    "stall": measure_loop_stalls,
    "module": measure_policy_cost,
    "fleet": measure_by_fleet_size,
    "rate": measure_by_request_rate,
    "reals": measure_by_gateway_count,
}
"""All measurements by their names on the command line, in the order of execution."""


def count_steps(config: Config, names: Sequence[str]) -> int:
    """Return the number of steps that these measurements report."""
    slopes = config.slopes
    steps = {
        "list": len(slopes.lists),
        "stall": len(slopes.lists) + len(slopes.changes),
        "module": len(slopes.tenants) + len(slopes.routes),
        "fleet": len(slopes.fleets),
        "rate": len(slopes.rates),
        "reals": len(slopes.reals),
    }
    return sum(steps[name] for name in names)
