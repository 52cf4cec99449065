"""Command line of scale runs: ``run``, ``slopes``, ``table`` and ``capacity``."""

from __future__ import annotations

import asyncio
import functools
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, TextIO

import click
import msgspec
import structlog
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

from scale import capacity, results, slopes
from scale import config as config_module
from scale import play as play_module
from scale.child_process import ChildError
from scale.config import Config, ConfigError
from scale.slopes import Measurement
from scale.supervisor import REPOSITORY, LimitError, Supervisor
from scale.testbed import ReportStep, Testbed

EXIT_FAILED = 1
EXIT_INTERRUPTED = 130
"""Exit code of a run ended by SIGINT or SIGTERM: the code that shells use for SIGINT."""

PLAY_STEPS = 3
"""Number of steps that the ``run`` command reports."""


def _make_log(stream: TextIO) -> structlog.typing.FilteringBoundLogger:
    """Return a logger that writes one JSON object per line."""
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
    supervisor: Supervisor,
    measurement_log: results.MeasurementLog,
    measurements: Sequence[Measurement],
    report_step: ReportStep,
) -> str:
    """Run the measurements within the deadline; return why they were stopped early, or an empty string."""
    try:
        async with asyncio.timeout(config.deadline_s), supervisor:
            testbed = Testbed(config, supervisor, measurement_log, report_step)
            await testbed.start()
            for measure in measurements:
                await measure(testbed)
    except TimeoutError:
        return f"deadline_s of {config.deadline_s:g} is over"
    except (ChildError, LimitError) as error:
        return str(error)
    except asyncio.CancelledError:
        if not supervisor.stop_reason:
            raise
    return supervisor.stop_reason


def _make_progress() -> Progress:
    """Return the progress bar that is shown on standard error."""
    return Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeElapsedColumn(),
        console=Console(stderr=True),
    )


def _execute(command: str, config: Config, out: Path, measurements: Sequence[Measurement], steps: int) -> int:
    """Execute a whole run and return its exit code; a run that is stopped early writes its result, too."""
    started_at_s = time.time()
    measurement_log = results.MeasurementLog()
    log_folder = out / f"{time.strftime('%Y%m%dT%H%M%S', time.gmtime(started_at_s))}-{command}-logs"
    log_folder.mkdir(parents=True, exist_ok=True)
    with (log_folder / "run.log").open("a") as stream, _make_progress() as progress:
        log = _make_log(stream)
        task = progress.add_task("start", total=steps)

        def report_step(description: str) -> None:
            log.info("step", what=description)
            progress.update(task, description=description)
            progress.advance(task)

        supervisor = Supervisor(config, log_folder, log)
        stop_reason = asyncio.run(_measure(config, supervisor, measurement_log, measurements, report_step))
        supervisor.stop_reason = stop_reason or supervisor.stop_reason
        result = results.make_result(command, config, measurement_log, supervisor, started_at_s)
        path = results.write_result(result, out)
        log.info("result", path=str(path), stopped=result.stopped)
    results.print_result(result, Console())
    click.echo(f"result: {path}")
    if not result.stopped:
        return 0
    return EXIT_INTERRUPTED if "SIG" in result.stopped else EXIT_FAILED


def _load_config(
    file: Path | None,
    seed: int | None,
    servers: int | None,
    hollow: int | None,
    deadline: float | None,
    flags: tuple[str, ...],
) -> Config:
    values_by_key = (
        ("seed", seed),
        ("fleet.servers", servers),
        ("fleet.hollow", hollow),
        ("deadline_s", deadline),
    )
    overrides = tuple(f"{key}={value}" for key, value in values_by_key if value is not None)
    try:
        return config_module.load(file, overrides + flags)
    except ConfigError as error:
        raise click.UsageError(str(error)) from error


def _run_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the common options to a command, which is called with the loaded configuration and ``out``."""

    @functools.wraps(command)
    def load_and_run(
        *,
        file: Path | None,
        out: Path,
        seed: int | None,
        servers: int | None,
        hollow: int | None,
        deadline: float | None,
        flags: tuple[str, ...],
        **own_options: Any,
    ) -> None:
        config = _load_config(file, seed, servers, hollow, deadline, flags)
        command(config=config, out=out, **own_options)

    wrapped: Callable[..., None] = load_and_run
    for option in (
        click.option(
            "--set",
            "flags",
            multiple=True,
            metavar="KEY=VALUE",
            help="set a configuration key, in TOML syntax",
        ),
        click.option("--deadline", type=float, help="time limit of the run in seconds (deadline_s)"),
        click.option("--hollow", type=int, help="number of hollow gateways (fleet.hollow)"),
        click.option("--servers", type=int, help="number of servers that discovery lists (fleet.servers)"),
        click.option("--seed", type=int, help="the same seed gives the same events"),
        click.option(
            "--out",
            type=click.Path(file_okay=False, path_type=Path),
            default=REPOSITORY / "found",
            help="folder for the result and the logs",
            show_default="found",
        ),
        click.option(
            "--config",
            "file",
            type=click.Path(dir_okay=False, path_type=Path),
            help="TOML configuration file; without it, the defaults for a small fleet",
        ),
    ):
        wrapped = option(wrapped)
    return wrapped


@click.group()
def main() -> None:
    """Measure what real and hollow gateways, discovery and servers cost under load on loopback."""


@main.command()
@_run_options
def run(config: Config, out: Path) -> None:
    """Run a fleet under churn, faults and load and measure it as a whole."""
    sys.exit(_execute("run", config, out, [play_module.play], PLAY_STEPS))


@main.command(name="slopes")
@click.option(
    "--only",
    multiple=True,
    type=click.Choice(list(slopes.MEASUREMENTS)),
    help="measurements to run; default: all",
)
@_run_options
def slopes_command(config: Config, out: Path, only: tuple[str, ...]) -> None:
    """Measure how the cost of each role grows with the size of the fleet, list or load."""
    names = only or tuple(slopes.MEASUREMENTS)
    measurements = [slopes.MEASUREMENTS[name] for name in names]
    sys.exit(_execute("slopes", config, out, measurements, slopes.count_steps(config, names)))


@main.command(name="table")
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False, path_type=Path)
)
def table_command(files: tuple[Path, ...]) -> None:
    """Print the tables of result files."""
    for path in files:
        results.print_result(_read_result(path), Console())


@main.command(name="capacity")
@click.option(
    "--page",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="write the table between the markers of this page",
)
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False, path_type=Path)
)
def capacity_command(page: Path | None, files: tuple[Path, ...]) -> None:
    """Calculate from result files what the target fleet would need."""
    table = capacity.make_table([_read_result(path) for path in files])
    if page is None:
        click.echo(f"{capacity.BEGIN_MARKER}\n{table}\n{capacity.END_MARKER}")
        return
    try:
        page.write_text(capacity.replace_table(page.read_text(), table))
    except ValueError as error:
        raise click.UsageError(f"{page}: {error}") from error


def _read_result(path: Path) -> results.Result:
    try:
        return results.read_result(path)
    except msgspec.DecodeError as error:
        raise click.UsageError(f"{path}: {error}") from error


if __name__ == "__main__":
    main(prog_name="python -m scale")
