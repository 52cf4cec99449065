"""Generates the table of docs/CAPACITY.md from results: each fitted line at the size of the target fleet."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from scale.child_process import MEBIBYTE
from scale.results import Fit, Result, Series

BEGIN_MARKER = "<!-- table: begin -->"
END_MARKER = "<!-- table: end -->"
"""Markers that enclose the table on the page."""

HEADER = (
    "role",
    "quantity",
    "slope (for one more)",
    "measured at",
    "residual",
    "at",
    "figure",
    "budget",
    "verdict",
    "extrapolated",
)

MINIMUM_SIZES = 4
MAXIMUM_RESIDUAL = 0.25
"""Minimum number of sizes and maximum residual of a line whose predictions get a verdict."""

CHANGES_PER_DAY = 2_100
RESTARTS_PER_DAY = 11_061
VERSIONS_PER_RESTART = 3
"""A restart is published as three versions: draining, gone, and ready again."""

SECONDS_PER_DAY = 86_400
VERSIONS_PER_S = (CHANGES_PER_DAY + VERSIONS_PER_RESTART * RESTARTS_PER_DAY) / SECONDS_PER_DAY

CONTROL_CPU_MS_PER_S = 18.0
CONTROL_BYTES_PER_S = 5_000.0
MEMORY_MB = 128.0
IN_FORCE_MS = 5_000.0
ADDED_LATENCY_MS = 1.3
LIST_STALL_MS = 5.0
"""Budgets of the target fleet; LIST_STALL_MS is the goal for an event loop stall due to a complete list."""

CUSTOMER_RETENTION_S = 4.0
"""Minimum time that a gateway keeps a customer when the usage period is one second."""

HEARTBEAT_BYTES_PER_S = 3.0
"""Discovery sends an empty line every 2 s."""

FLEET_SIZES = {
    "servers": 38_000.0,
    "gateways": 3_800.0,
    "requests/s": 218.0,
    "routes": 27_000.0,
    # Customers kept at a time if every request comes from another customer; earlier ones are forgotten.
    "tenants held": 218.0 * CUSTOMER_RETENTION_S,
    # Gateways for 200 servers, in the ratio of 3,800 gateways to 38,000 servers.
    "real gateways": 20.0,
}
"""Size of the target fleet, by the variable that a series is measured by."""


class Quantity(NamedTuple):
    """A row of the table: a figure at the target size, measured there or predicted by the series' line.

    Attributes:
        role: Role in the first column.
        name: Name of the quantity in the second column.
        series: Name of the series as ``role.quantity by variable``.
        unit: Unit of the figure.
        budget: Upper limit of the figure; None if there is no budget.
        factor: Factor that the value of the series is multiplied by.
        offset: Number added after the multiplication.
        only_if_measured: Whether to omit the row if there is no such series, as for a rare fault.
    """

    role: str
    name: str
    series: str
    unit: str
    budget: float | None = None
    factor: float = 1.0
    offset: float = 0.0
    only_if_measured: bool = False


QUANTITIES = (
    Quantity("gateway", "whole list", "discovery.list by servers", "bytes"),
    Quantity(
        "gateway",
        "refused list asked for again, bytes",
        "gateway.refused_sent by servers",
        "bytes/s",
        CONTROL_BYTES_PER_S,
        only_if_measured=True,
    ),
    Quantity(
        "gateway",
        "refused list asked for again, cpu",
        "gateway.refused_cpu by servers",
        "ms/s",
        CONTROL_CPU_MS_PER_S,
        only_if_measured=True,
    ),
    Quantity("gateway", "loop's stall, whole list", "gateway.list_stall by servers", "ms", LIST_STALL_MS),
    Quantity(
        "gateway", "loop's stall, one change", "gateway.change_stall by servers", "ms", ADDED_LATENCY_MS
    ),
    Quantity("gateway", "processor time, whole list", "gateway.list_cpu by servers", "ms"),
    Quantity(
        "gateway",
        "processor time, changes",
        "gateway.change_cpu by servers",
        "ms/s",
        CONTROL_CPU_MS_PER_S,
        VERSIONS_PER_S,
    ),
    Quantity(
        "gateway",
        "bytes, changes and empty lines",
        "gateway.change by servers",
        "bytes/s",
        CONTROL_BYTES_PER_S,
        VERSIONS_PER_S,
        HEARTBEAT_BYTES_PER_S,
    ),
    Quantity(
        "gateway", "whole list at 5 KB/s", "discovery.list by servers", "s", None, 1.0 / CONTROL_BYTES_PER_S
    ),
    Quantity("gateway", "memory, all", "gateway.memory by servers", "MB", MEMORY_MB),
    Quantity("gateway", "memory at most, all", "gateway.memory_peak by servers", "MB", MEMORY_MB),
    Quantity("gateway", "memory, customers", "gateway.memory by tenants held", "MB", MEMORY_MB, 1 / MEBIBYTE),
    Quantity(
        "gateway", "memory, routes as classes", "gateway.memory by routes", "MB", MEMORY_MB, 1 / MEBIBYTE
    ),
    Quantity("gateway", "added at p50, by load", "gateway.added_p50 by requests/s", "ms"),
    Quantity("gateway", "added at p99, by load", "gateway.added_p99 by requests/s", "ms", ADDED_LATENCY_MS),
    Quantity("gateway", "added at p99.9, by load", "gateway.added_p99.9 by requests/s", "ms"),
    Quantity("gateway", "added at p99, by list", "gateway.added_p99 by servers", "ms", ADDED_LATENCY_MS),
    Quantity("gateway", "processor time, requests", "gateway.cpu by requests/s", "ms/s"),
    Quantity("gateway", "sockets, by load", "gateway.sockets by requests/s", "sockets"),
    Quantity("gateway", "connections opened", "gateway.handshakes by servers", "a request"),
    Quantity("fleet", "a change in force at 99 in 100", "fleet.in_force_99 by gateways", "ms", IN_FORCE_MS),
    Quantity("fleet", "a zone lost, and back", "fleet.zone_99_worst by gateways", "ms", IN_FORCE_MS),
    Quantity("fleet", "all return, whole list of 400", "fleet.return_99 by gateways", "ms", IN_FORCE_MS),
    Quantity(
        "discovery",
        "processor time, changes",
        "discovery.change_cpu by gateways",
        "ms/s",
        None,
        VERSIONS_PER_S,
    ),
    Quantity(
        "discovery", "bytes, changes", "discovery.change_sent by gateways", "bytes/s", None, VERSIONS_PER_S
    ),
    Quantity("discovery", "memory", "discovery.memory by gateways", "MB"),
    Quantity(
        "discovery", "bytes, all 3,800 return", "discovery.list by servers", "MB", None, 3_800 / MEBIBYTE
    ),
    Quantity("server", "connections to one", "server.connections by real gateways", "connections"),
)
"""All rows of the table, in order."""


def _format_number(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def _verdict(fit: Fit, measured: float | None, figure: float, quantity: Quantity) -> str:
    """Return the verdict on a figure: within or over its budget, "-" without a budget.

    The verdict is "unknown" if the figure was not measured and its line is not reliable.
    """
    is_line_weak = len(set(fit.sizes)) < MINIMUM_SIZES or fit.residual > MAXIMUM_RESIDUAL
    if measured is None and is_line_weak:
        return "unknown"
    if quantity.budget is None:
        return "-"
    return "within" if figure <= quantity.budget else "over"


def _row(quantity: Quantity, series: Series | None) -> tuple[str, ...]:
    by = quantity.series.partition(" by ")[2]
    fleet_size = FLEET_SIZES[by]
    at = f"{_format_number(fleet_size)} {by}"
    budget = "none" if quantity.budget is None else f"{_format_number(quantity.budget)} {quantity.unit}"
    points = series.points if series else []
    measured = next((point.value for point in points if point.size == fleet_size), None)
    fit = series.fit if series else None
    if series is None or (fit is None and measured is None):
        return quantity.role, quantity.name, "none", "not measured", "", at, "", budget, "unknown", ""
    if fit is None:  # The only measured size is the target size.
        assert measured is not None
        fit = Fit(0.0, measured, 0.0, [fleet_size])
    value = fit.intercept + fit.slope * fleet_size if measured is None else measured
    figure = value * quantity.factor + quantity.offset
    largest_size = max(fit.sizes)
    return (
        quantity.role,
        quantity.name,
        f"{fit.slope:.3g} {series.unit}" if series.fit else "none",
        _format_sizes(fit, series),
        f"{fit.residual:.0%}",
        at,
        f"{_format_number(figure)} {quantity.unit}",
        budget,
        _verdict(fit, measured, figure, quantity),
        f"{fleet_size / largest_size:.1f} times" if fleet_size > largest_size else "no",
    )


def _format_sizes(fit: Fit, series: Series) -> str:
    """Return the sizes that the line is fitted to, and the notes on points."""
    sizes = ", ".join(f"{size:g}" for size in fit.sizes)
    notes = "".join(f"; {point.size:g}: {point.note}" for point in series.points if point.note)
    return sizes + notes


def make_table(results: Sequence[Result]) -> str:
    """Return a Markdown table of the results.

    If several results contain the same series, the latest one with a fitted line is used.
    """
    series_by_name: dict[str, Series] = {}
    for result in sorted(results, key=lambda result: result.started):
        for series in result.series:
            name = f"{series.role}.{series.name} by {series.by}"
            if series.fit or name not in series_by_name or not series_by_name[name].fit:
                series_by_name[name] = series
    rows = [HEADER, ("---",) * len(HEADER)]
    rows += [
        _row(quantity, series_by_name.get(quantity.series))
        for quantity in QUANTITIES
        if quantity.series in series_by_name or not quantity.only_if_measured
    ]
    return "\n".join(f"| {' | '.join(row)} |" for row in rows)


def extract_table(page: str) -> str:
    """Return the text between the markers of a page.

    Raises:
        ValueError: A marker is missing or occurs more than once.
    """
    for marker in (BEGIN_MARKER, END_MARKER):
        if page.count(marker) != 1:
            raise ValueError(f"page must contain the marker {marker} exactly once")
    return page.partition(BEGIN_MARKER)[2].partition(END_MARKER)[0].strip()


def replace_table(page: str, table: str) -> str:
    """Return the page with the table between its markers.

    Raises:
        ValueError: A marker is missing or occurs more than once.
    """
    extract_table(page)
    before, _, rest = page.partition(BEGIN_MARKER)
    return f"{before}{BEGIN_MARKER}\n{table}\n{END_MARKER}{rest.partition(END_MARKER)[2]}"
