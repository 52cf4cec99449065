"""Results of a run: series of points with fitted lines, one JSON file per run, and printed tables."""

from __future__ import annotations

import os
import platform
import subprocess
import time
from collections.abc import Sequence
from pathlib import Path
from statistics import linear_regression, median
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

from scale.child_process import MEBIBYTE
from scale.config import Config
from scale.supervisor import REPOSITORY, Supervisor

MINIMUM_SIZES_OF_LINE = 2
VALUE_DIGITS = 6
RESIDUAL_DIGITS = 4
"""Decimal places kept in result files; further digits would be noise."""


class Point(msgspec.Struct, frozen=True):
    """Measured values at one size.

    Attributes:
        size: Size at which the values were measured.
        values: Values of all repetitions.
        note: Remark on the values, or the reason why there are none.
    """

    size: float
    values: list[float] = []
    note: str = ""

    @property
    def value(self) -> float | None:
        """Median of the values; None if there are none."""
        return median(self.values) if self.values else None


class Fit(msgspec.Struct, frozen=True):
    """Least-squares line through the points of a series.

    Attributes:
        slope: Growth of the value per unit of size.
        intercept: Value of the line at size 0.
        residual: Largest distance of a point from the line, as a fraction of the largest value.
        sizes: Sizes of the points.
    """

    slope: float
    intercept: float
    residual: float
    sizes: list[float]


class Series(msgspec.Struct):
    """One quantity of one role, measured at several sizes.

    Attributes:
        name: Name of the quantity.
        role: Role whose quantity is measured.
        by: Variable that the sizes count, for instance servers.
        unit: Unit of the values.
        points: Measured points.
        fit: Line through the points; None for fewer than two sizes.
    """

    name: str
    role: str
    by: str
    unit: str
    points: list[Point] = []
    fit: Fit | None = None

    def add(self, size: float, values: Sequence[float], note: str = "") -> None:
        """Add a point and fit the line again."""
        self.points.append(Point(size, [round(value, VALUE_DIGITS) for value in values], note))
        self.fit = fit_line([(point.size, point.value) for point in self.points if point.value is not None])


class Result(msgspec.Struct):
    """Result of a whole run, in the format of its JSON file.

    Attributes:
        command: Command that ran.
        seed: Seed of the run.
        commit: Commit of the repository.
        started: Start of the run, in UTC.
        seconds: Duration of the run.
        stopped: Why the run was stopped early; empty if it was not.
        machine: Number of cores, load averages and version of Python.
        limits: Maximum number of child processes and maximum memory that they used together.
        config: Configuration of the run.
        series: Quantities measured by size.
        figures: Quantities measured once, by name.
    """

    command: str
    seed: int
    commit: str
    started: str
    seconds: float
    stopped: str
    machine: dict[str, Any]
    limits: dict[str, Any]
    config: Config
    series: list[Series]
    figures: dict[str, Any]


def fit_line(points: Sequence[tuple[float, float]]) -> Fit | None:
    """Return the least-squares line through pairs of size and value; None for fewer than two sizes."""
    sizes = [size for size, _ in points]
    values = [value for _, value in points]
    if len(set(sizes)) < MINIMUM_SIZES_OF_LINE:
        return None
    slope, intercept = linear_regression(sizes, values)
    largest = max(abs(value) for value in values)
    farthest = max(abs(value - intercept - slope * size) for size, value in points)
    residual = farthest / largest if largest else 0.0
    return Fit(slope, intercept, round(residual, RESIDUAL_DIGITS), sizes)


class MeasurementLog:
    """Collects the measurements of a run.

    Attributes:
        series: Quantities measured by size, by ``role.quantity by variable``.
        figures: Quantities measured once, by name.
    """

    def __init__(self) -> None:
        self.series: dict[str, Series] = {}
        self.figures: dict[str, Any] = {}

    def add(
        self,
        name: str,
        by: str,
        unit: str,
        size: float,
        values: Sequence[float],
        note: str = "",
    ) -> None:
        """Add a point to a series, which is created with its first point.

        Args:
            name: Name of the series as ``role.quantity``.
            by: Variable that the sizes count, for instance servers.
            unit: Unit of the values.
            size: Size at which the values were measured.
            values: Values of all repetitions.
            note: Remark on the values, or the reason why there are none.
        """
        key = f"{name} by {by}"
        if key not in self.series:
            role, _, quantity = name.partition(".")
            self.series[key] = Series(quantity, role, by, unit)
        self.series[key].add(size, values, note)


def _current_commit() -> str:
    completed = subprocess.run(
        ["git", "rev-parse", "HEAD"], cwd=REPOSITORY, capture_output=True, text=True, check=False
    )
    return completed.stdout.strip()


def make_result(
    command: str,
    config: Config,
    measurements: MeasurementLog,
    supervisor: Supervisor,
    started_at_s: float,
) -> Result:
    """Return the result of a run; ``started_at_s`` is its start in Unix time."""
    return Result(
        command=command,
        seed=config.seed,
        commit=_current_commit(),
        started=time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(started_at_s)),
        seconds=round(time.time() - started_at_s, 1),
        stopped=supervisor.stop_reason,
        machine={
            "cores": os.cpu_count(),
            "load": [round(average, 2) for average in os.getloadavg()],
            "python": platform.python_version(),
        },
        limits={
            "most_processes": supervisor.peak_processes,
            "most_rss_mb": supervisor.peak_rss_bytes // MEBIBYTE,
        },
        config=config,
        series=list(measurements.series.values()),
        figures=measurements.figures,
    )


def write_result(result: Result, folder: Path) -> Path:
    """Write the result to a new file in the folder and return the file's path."""
    started = result.started.replace(":", "").replace("-", "")
    path = folder / f"{started}-{result.command}-{result.seed}.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n")
    return path


def read_result(path: Path) -> Result:
    """Read a result file.

    Raises:
        msgspec.DecodeError: The file is not valid JSON, or a key is missing or invalid.
    """
    return msgspec.json.decode(path.read_bytes(), type=Result)


def print_result(result: Result, console: Console) -> None:
    """Print the tables of a result."""
    if result.series:
        console.print(_series_table(result))
    if result.figures:
        console.print(_figures_table(result))
    if result.stopped:
        console.print(f"stopped early: {result.stopped}")


def _series_table(result: Result) -> Table:
    table = Table("role", "quantity", "by", "points", "slope", "residual", title=f"seed {result.seed}")
    for series in result.series:
        points = "  ".join(
            f"{point.size:g}: {point.note if point.value is None else format(point.value, '.3g')}"
            for point in series.points
        )
        line = (f"{series.fit.slope:.3g}", f"{series.fit.residual:.0%}") if series.fit else ("", "")
        table.add_row(series.role, f"{series.name} ({series.unit})", series.by, points, *line)
    return table


def _figures_table(result: Result) -> Table:
    table = Table("figure", "value")
    for name, value in result.figures.items():
        table.add_row(name, f"{value:.4g}" if isinstance(value, float) else str(value))
    return table
