"""The scale run's commands: ``run``, ``slopes``, ``table`` and ``capacity``."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import TextIO

import click
import msgspec
import structlog
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

from scale import capacity, results, slopes
from scale import config as config_module
from scale import play as play_module
from scale.config import Config, ConfigError
from scale.processes import ROOT, ChildError, Children, LimitError

FAILED, INTERRUPTED, MISUSED = 1, 130, 2
Measure = Callable[[slopes.Bench], Awaitable[None]]


def _log(stream: TextIO) -> structlog.typing.FilteringBoundLogger:
    """A log of one JSON object a line."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(stream),
    )
    log: structlog.typing.FilteringBoundLogger = structlog.get_logger()
    return log


async def _measure(
    config: Config,
    children: Children,
    book: results.Book,
    measures: Sequence[Measure],
    step: slopes.Step,
) -> str:
    """Carry the measures out, within the deadline; why they were cut short, if they were."""
    try:
        async with asyncio.timeout(config.deadline_s), children:
            bench = slopes.Bench(config, children, book, step)
            await bench.begin()
            for measure in measures:
                await measure(bench)
    except TimeoutError:
        return f"deadline_s of {config.deadline_s:g} is over"
    except (ChildError, LimitError) as error:
        return str(error)
    except asyncio.CancelledError:
        if not children.stopped:
            raise
    return children.stopped


def _carry_out(command: str, config: Config, out: Path, measures: Sequence[Measure], total: int) -> int:
    """A whole run; its exit code. What was measured is written also where it was cut short."""
    start, book, console = time.time(), results.Book(), Console(stderr=True)
    logs = out / f"{time.strftime('%Y%m%dT%H%M%S', time.gmtime(start))}-{command}-logs"
    logs.mkdir(parents=True, exist_ok=True)
    with (
        (logs / "run.log").open("a") as stream,
        Progress(
            TextColumn("{task.description}"),
            BarColumn(),
            MofNCompleteColumn(),
            TimeElapsedColumn(),
            console=console,
        ) as progress,
    ):
        log = _log(stream)
        task = progress.add_task("start", total=total)

        def step(what: str) -> None:
            log.info("step", what=what)
            progress.update(task, description=what)
            progress.advance(task)

        children = Children(config, logs, log)
        children.stopped = asyncio.run(_measure(config, children, book, measures, step)) or children.stopped
        result = results.result(command, config, book, children, start)
        path = results.write(result, out)
        log.info("result", path=str(path), stopped=result.stopped)
    results.show(result, Console())
    click.echo(f"result: {path}")
    return (INTERRUPTED if "SIG" in result.stopped else FAILED) if result.stopped else 0


def _config(
    file: Path | None,
    seed: int | None,
    servers: int | None,
    hollow: int | None,
    deadline: float | None,
    flags: tuple[str, ...],
) -> Config:
    named = (("seed", seed), ("fleet.servers", servers), ("fleet.hollow", hollow), ("deadline_s", deadline))
    over = tuple(f"{key}={value}" for key, value in named if value is not None)
    try:
        return config_module.load(file, over + flags)
    except ConfigError as error:
        raise click.UsageError(str(error)) from error


def _options(command: Callable[..., None]) -> Callable[..., None]:
    """The flags that go over the file."""
    for option in (
        click.option("--set", "flags", multiple=True, metavar="KEY=VALUE", help="any key, as TOML"),
        click.option("--deadline", type=float, help="seconds for all of it (deadline_s)"),
        click.option("--hollow", type=int, help="hollow gateways (fleet.hollow)"),
        click.option("--servers", type=int, help="servers that discovery lists (fleet.servers)"),
        click.option("--seed", type=int, help="the same seed gives the same events"),
        click.option(
            "--out",
            type=click.Path(file_okay=False, path_type=Path),
            default=ROOT / "found",
            help="folder for the result",
            show_default="found",
        ),
        click.option(
            "--config",
            "file",
            type=click.Path(dir_okay=False, path_type=Path),
            help="a TOML file; without it the small defaults",
        ),
    ):
        command = option(command)
    return command


@click.group()
def main() -> None:
    """Real and hollow gateways, discovery, servers and load on loopback, and what they cost."""


@main.command()
@_options
def run(
    file: Path | None,
    out: Path,
    seed: int | None,
    servers: int | None,
    hollow: int | None,
    deadline: float | None,
    flags: tuple[str, ...],
) -> None:
    """One play: a fleet under churn, faults and load."""
    config = _config(file, seed, servers, hollow, deadline, flags)
    sys.exit(_carry_out("run", config, out, [play_module.play], 3))


@main.command(name="slopes")
@click.option(
    "--only", multiple=True, type=click.Choice(list(slopes.MEASURES)), help="these measures; else all"
)
@_options
def slopes_command(
    only: tuple[str, ...],
    file: Path | None,
    out: Path,
    seed: int | None,
    servers: int | None,
    hollow: int | None,
    deadline: float | None,
    flags: tuple[str, ...],
) -> None:
    """What each role's cost grows by, size by size."""
    config, names = _config(file, seed, servers, hollow, deadline, flags), only or tuple(slopes.MEASURES)
    measures = [slopes.MEASURES[name] for name in names]
    sys.exit(_carry_out("slopes", config, out, measures, slopes.steps(config, names)))


@main.command()
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False, path_type=Path)
)
def table(files: tuple[Path, ...]) -> None:
    """The tables of results."""
    for path in files:
        results.show(_read(path), Console())


@main.command(name="capacity")
@click.option(
    "--page",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="put the table between the marks of this page",
)
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False, path_type=Path)
)
def capacity_command(page: Path | None, files: tuple[Path, ...]) -> None:
    """What the fleet to come would take, worked out from results."""
    made = capacity.table([_read(path) for path in files])
    if page is None:
        click.echo(f"{capacity.BEGIN}\n{made}\n{capacity.END}")
        return
    try:
        page.write_text(capacity.put(page.read_text(), made))
    except ValueError as error:
        raise click.UsageError(f"{page}: {error}") from error


def _read(path: Path) -> results.Result:
    try:
        return results.read(path)
    except msgspec.DecodeError as error:
        raise click.UsageError(f"{path}: {error}") from error


if __name__ == "__main__":
    main(prog_name="python -m scale")
