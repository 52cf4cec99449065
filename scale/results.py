"""What a run found: series of points, the line through each, one JSON file a run, and a table."""

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

from scale.config import Config
from scale.processes import ROOT, Children


class Point(msgspec.Struct, frozen=True):
    """The median of what was measured at one size; with a note in place of values where it was not."""

    size: float
    values: list[float] = []
    note: str = ""

    @property
    def value(self) -> float | None:
        """The median, or nothing."""
        return median(self.values) if self.values else None


class Fit(msgspec.Struct, frozen=True):
    """The line of least squares; ``residual``: the farthest point from it, in parts of the largest value."""

    slope: float
    intercept: float
    residual: float
    sizes: list[float]


class Series(msgspec.Struct):
    """One quantity of one role, measured by size. Values are in ``unit``, sizes in what ``by`` names."""

    name: str
    role: str
    by: str
    unit: str
    points: list[Point] = []
    fit: Fit | None = None

    def add(self, size: float, values: Sequence[float], note: str = "") -> None:
        """A point, and the line anew."""
        self.points.append(Point(size, [round(value, 6) for value in values], note))
        self.fit = fit([(point.size, point.value) for point in self.points if point.value is not None])


class Result(msgspec.Struct):
    """A whole run, as its JSON file holds it. ``stopped`` says why it was cut short, if it was."""

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


def fit(points: Sequence[tuple[float, float]]) -> Fit | None:
    """The line through these points (size, value); None for less than two sizes."""
    sizes, values = [size for size, _ in points], [value for _, value in points]
    if len(set(sizes)) < 2:
        return None
    slope, intercept = linear_regression(sizes, values)
    largest = max(abs(value) for value in values)
    farthest = max(abs(value - intercept - slope * size) for size, value in points)
    return Fit(slope, intercept, round(farthest / largest if largest else 0.0, 4), sizes)


class Book:
    """Gathers what a run measures."""

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
        """A point of a series, named ``role.quantity``; the series begins with its first point."""
        key = f"{name} by {by}"
        if key not in self.series:
            self.series[key] = Series(name.partition(".")[2], name.partition(".")[0], by, unit)
        self.series[key].add(size, values, note)


def _commit() -> str:
    done = subprocess.run(["git", "rev-parse", "HEAD"], cwd=ROOT, capture_output=True, text=True, check=False)
    return done.stdout.strip()


def result(command: str, config: Config, book: Book, children: Children, start: float) -> Result:
    """All of a run; ``start`` in Unix time."""
    return Result(
        command,
        config.seed,
        _commit(),
        time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(start)),
        round(time.time() - start, 1),
        children.stopped,
        {
            "cores": os.cpu_count(),
            "load": [round(part, 2) for part in os.getloadavg()],
            "python": platform.python_version(),
        },
        {"most_processes": children.most_processes, "most_rss_mb": children.most_rss >> 20},
        config,
        list(book.series.values()),
        book.figures,
    )


def write(result: Result, folder: Path) -> Path:
    """The result as a file in this folder; its path."""
    path = folder / f"{result.started.replace(':', '').replace('-', '')}-{result.command}-{result.seed}.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n")
    return path


def read(path: Path) -> Result:
    """A result's file; msgspec.DecodeError names the key that is wrong."""
    return msgspec.json.decode(path.read_bytes(), type=Result)


def show(result: Result, console: Console) -> None:
    """The tables of a run."""
    table = Table("role", "quantity", "by", "points", "slope", "residual", title=f"seed {result.seed}")
    for series in result.series:
        points = "  ".join(
            f"{point.size:g}: {point.note if point.value is None else format(point.value, '.3g')}"
            for point in series.points
        )
        line = (f"{series.fit.slope:.3g}", f"{series.fit.residual:.0%}") if series.fit else ("", "")
        table.add_row(series.role, f"{series.name} ({series.unit})", series.by, points, *line)
    if result.series:
        console.print(table)
    if result.figures:
        figures = Table("figure", "value")
        for name, value in result.figures.items():
            figures.add_row(name, f"{value:.4g}" if isinstance(value, float) else str(value))
        console.print(figures)
    if result.stopped:
        console.print(f"cut short: {result.stopped}")
