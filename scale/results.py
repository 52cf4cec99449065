"""The results of a run: series of points, the line through each, one JSON file a run, and a table."""

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
"""Digits that the result files keep; more would only be noise."""


class Point(msgspec.Struct, frozen=True):
    """What was measured at one size.

    Attributes:
        size: The size.
        values: The values of all repetitions.
        note: What there is in place of values, or beside them.
    """

    size: float
    values: list[float] = []
    note: str = ""

    @property
    def value(self) -> float | None:
        """The median of the values; None without any."""
        return median(self.values) if self.values else None


class Fit(msgspec.Struct, frozen=True):
    """The line of least squares through the points of a series.

    Attributes:
        slope: Growth of the value for one more of the size.
        intercept: The value at size 0.
        residual: Distance of the farthest point from the line, as a part of the largest value.
        sizes: The sizes of the points.
    """

    slope: float
    intercept: float
    residual: float
    sizes: list[float]


class Series(msgspec.Struct):
    """One quantity of one role, measured by size.

    Attributes:
        name: The quantity.
        role: The role that it is measured of.
        by: What the sizes count.
        unit: The unit of the values.
        points: What was measured.
        fit: The line through the points; None for fewer than two sizes.
    """

    name: str
    role: str
    by: str
    unit: str
    points: list[Point] = []
    fit: Fit | None = None

    def add(self, size: float, values: Sequence[float], note: str = "") -> None:
        """Add a point, and fit the line anew."""
        self.points.append(Point(size, [round(value, VALUE_DIGITS) for value in values], note))
        self.fit = fit_line([(point.size, point.value) for point in self.points if point.value is not None])


class Result(msgspec.Struct):
    """A whole run, as its JSON file holds it.

    Attributes:
        command: The command that ran.
        seed: The run's seed.
        commit: The commit of the repository.
        started: When the run began, in UTC.
        seconds: How long it took.
        stopped: Why it was cut short; empty if it was not.
        machine: The machine's cores, load and version of Python.
        limits: The most processes and memory that the children took.
        config: The run's configuration.
        series: What was measured by size.
        figures: What was measured once, by name.
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
    """Return the line of least squares through points of size and value; None for fewer than two sizes."""
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
    """Collects what a run measures.

    Attributes:
        series: What was measured by size, by name.
        figures: What was measured once, by name.
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
        """Add a point to a series, which begins with its first point.

        Args:
            name: The series as ``role.quantity``.
            by: What the sizes count.
            unit: The unit of the values.
            size: The size.
            values: The values of all repetitions.
            note: What there is in place of values, or beside them.
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
    """Make the result of a run that began at this Unix time."""
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
    """Write the result to a file in this folder and return its path."""
    started = result.started.replace(":", "").replace("-", "")
    path = folder / f"{started}-{result.command}-{result.seed}.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n")
    return path


def read_result(path: Path) -> Result:
    """Read a result's file.

    Raises:
        msgspec.DecodeError: A key of the file is missing or wrong.
    """
    return msgspec.json.decode(path.read_bytes(), type=Result)


def print_result(result: Result, console: Console) -> None:
    """Print the tables of a run."""
    if result.series:
        console.print(_series_table(result))
    if result.figures:
        console.print(_figures_table(result))
    if result.stopped:
        console.print(f"cut short: {result.stopped}")


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
