"""The table of docs/CAPACITY.md, worked out from results: each slope at the size of the fleet to come."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from scale.results import Fit, Result, Series

BEGIN, END = "<!-- table: begin -->", "<!-- table: end -->"
HEAD = (
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
LEAST_SIZES, MOST_RESIDUAL = 4, 0.25  # a line through fewer sizes, or farther off, tells nothing of others

DELTA, RESTARTS, VERSIONS = 2_100, 11_061, 3  # a day; a restart is told as draining, gone, and ready again
VERSIONS_S = (DELTA + VERSIONS * RESTARTS) / 86_400
CONTROL_MS, CONTROL_BYTES, MEMORY_MB, IN_FORCE_MS, ADDED_MS = 18.0, 5_000.0, 128.0, 5_000.0, 1.3
STALL_MS = 5.0  # the aim for a whole list, in the letter on the larger fleet
NEWS_S = 4.0  # that a gateway keeps a customer for, at least, where a meter's period is a second
BEAT_BYTES = 3.0  # a second: an empty line every 2 s
MEGABYTE = 1 << 20
AT = {  # the size of the fleet to come, by what a series goes by
    "servers": 38_000.0,
    "gateways": 3_800.0,
    "requests/s": 218.0,
    "routes": 27_000.0,
    "tenants held": 218.0 * NEWS_S,  # at once, if no two requests are of one; a gateway forgets the others
    "real gateways": 20.0,  # before 200 servers: one to ten, as 3,800 before 38,000
}


class Quantity(NamedTuple):
    """A figure at the fleet's size, times ``times``, and ``plus``: as measured there, or else by the line."""

    role: str
    name: str
    series: str  # ``role.quantity by size``
    unit: str
    budget: float | None = None
    times: float = 1.0
    plus: float = 0.0
    only_if_seen: bool = False  # of a fault that may not come about: without its series there is no row


QUANTITIES = (
    Quantity("gateway", "whole list", "discovery.list by servers", "bytes"),
    Quantity(
        "gateway",
        "refused list asked for again, bytes",
        "gateway.refused_sent by servers",
        "bytes/s",
        CONTROL_BYTES,
        only_if_seen=True,
    ),
    Quantity(
        "gateway",
        "refused list asked for again, cpu",
        "gateway.refused_cpu by servers",
        "ms/s",
        CONTROL_MS,
        only_if_seen=True,
    ),
    Quantity("gateway", "loop's stall, whole list", "gateway.list_stall by servers", "ms", STALL_MS),
    Quantity("gateway", "loop's stall, one change", "gateway.change_stall by servers", "ms", ADDED_MS),
    Quantity("gateway", "processor time, whole list", "gateway.list_cpu by servers", "ms"),
    Quantity(
        "gateway", "processor time, changes", "gateway.change_cpu by servers", "ms/s", CONTROL_MS, VERSIONS_S
    ),
    Quantity(
        "gateway",
        "bytes, changes and empty lines",
        "gateway.change by servers",
        "bytes/s",
        CONTROL_BYTES,
        VERSIONS_S,
        BEAT_BYTES,
    ),
    Quantity("gateway", "whole list at 5 KB/s", "discovery.list by servers", "s", None, 1.0 / CONTROL_BYTES),
    Quantity("gateway", "memory, all", "gateway.memory by servers", "MB", MEMORY_MB),
    Quantity("gateway", "memory at most, all", "gateway.memory_peak by servers", "MB", MEMORY_MB),
    Quantity("gateway", "memory, customers", "gateway.memory by tenants held", "MB", MEMORY_MB, 1 / MEGABYTE),
    Quantity(
        "gateway", "memory, routes as classes", "gateway.memory by routes", "MB", MEMORY_MB, 1 / MEGABYTE
    ),
    Quantity("gateway", "added at p50, by load", "gateway.added_p50 by requests/s", "ms"),
    Quantity("gateway", "added at p99, by load", "gateway.added_p99 by requests/s", "ms", ADDED_MS),
    Quantity("gateway", "added at p99.9, by load", "gateway.added_p99.9 by requests/s", "ms"),
    Quantity("gateway", "added at p99, by list", "gateway.added_p99 by servers", "ms", ADDED_MS),
    Quantity("gateway", "processor time, requests", "gateway.cpu by requests/s", "ms/s"),
    Quantity("gateway", "sockets, by load", "gateway.sockets by requests/s", "sockets"),
    Quantity("gateway", "connections opened", "gateway.handshakes by servers", "a request"),
    Quantity("fleet", "a change in force at 99 in 100", "fleet.in_force_99 by gateways", "ms", IN_FORCE_MS),
    Quantity("fleet", "a zone lost, and back", "fleet.zone_99_worst by gateways", "ms", IN_FORCE_MS),
    Quantity("fleet", "all return, whole list of 400", "fleet.return_99 by gateways", "ms", IN_FORCE_MS),
    Quantity(
        "discovery", "processor time, changes", "discovery.change_cpu by gateways", "ms/s", None, VERSIONS_S
    ),
    Quantity("discovery", "bytes, changes", "discovery.change_sent by gateways", "bytes/s", None, VERSIONS_S),
    Quantity("discovery", "memory", "discovery.memory by gateways", "MB"),
    Quantity(
        "discovery", "bytes, all 3,800 return", "discovery.list by servers", "MB", None, 3_800 / MEGABYTE
    ),
    Quantity("server", "connections to one", "server.connections by real gateways", "connections"),
)


def _number(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def _verdict(fit: Fit, measured: float | None, figure: float, quantity: Quantity) -> str:
    """Within or over the budget; unknown where there is no line to go by, "-" where there is no budget."""
    if measured is None and (len(set(fit.sizes)) < LEAST_SIZES or fit.residual > MOST_RESIDUAL):
        return "unknown"
    if quantity.budget is None:
        return "-"
    return "within" if figure <= quantity.budget else "over"


def _row(quantity: Quantity, series: Series | None) -> tuple[str, ...]:
    by = quantity.series.partition(" by ")[2]
    at, name = f"{_number(AT[by])} {by}", (quantity.role, quantity.name)
    budget = "none" if quantity.budget is None else f"{_number(quantity.budget)} {quantity.unit}"
    points = series.points if series else []
    measured = next((point.value for point in points if point.size == AT[by]), None)
    fit = series.fit if series else None
    if series is None or (fit is None and measured is None):
        return *name, "none", "not measured", "", at, "", budget, "unknown", ""
    if fit is None:  # one size only, which is the one asked for
        assert measured is not None
        fit = Fit(0.0, measured, 0.0, [AT[by]])
    there = fit.intercept + fit.slope * AT[by] if measured is None else measured
    figure, largest = there * quantity.times + quantity.plus, max(fit.sizes)
    sizes = ", ".join(f"{size:g}" for size in fit.sizes)
    notes = "".join(f"; {point.size:g}: {point.note}" for point in series.points if point.note)
    return (
        *name,
        f"{fit.slope:.3g} {series.unit}" if series.fit else "none",
        sizes + notes,
        f"{fit.residual:.0%}",
        at,
        f"{_number(figure)} {quantity.unit}",
        budget,
        _verdict(fit, measured, figure, quantity),
        f"{AT[by] / largest:.1f} times" if AT[by] > largest else "no",
    )


def table(results: Sequence[Result]) -> str:
    """The Markdown table of these results; where two measured the same, the later one with a line counts."""
    found: dict[str, Series] = {}
    for result in sorted(results, key=lambda result: result.started):
        for series in result.series:
            key = f"{series.role}.{series.name} by {series.by}"
            if series.fit or key not in found or not found[key].fit:
                found[key] = series
    rows = [HEAD, ("---",) * len(HEAD)]
    rows += [
        _row(quantity, found.get(quantity.series))
        for quantity in QUANTITIES
        if quantity.series in found or not quantity.only_if_seen
    ]
    return "\n".join(f"| {' | '.join(row)} |" for row in rows)


def between(page: str) -> str:
    """What stands between the marks of a page; ValueError if one is missing."""
    for mark in (BEGIN, END):
        if page.count(mark) != 1:
            raise ValueError(f"the page does not have one mark {mark}")
    return page.partition(BEGIN)[2].partition(END)[0].strip()


def put(page: str, made: str) -> str:
    """The page with this table between its marks; ValueError if one is missing."""
    between(page)
    before, _, rest = page.partition(BEGIN)
    return f"{before}{BEGIN}\n{made}\n{END}{rest.partition(END)[2]}"
