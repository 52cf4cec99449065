"""Run the soak with seeds or planted faults on real gateways, and print what the oracle found."""

from __future__ import annotations

import argparse
import asyncio
import logging
import shutil
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import structlog

from soak.oracle import find_violations
from soak.planted import PLANTED_FAULTS, PlantedFault
from soak.play import run_soak
from soak.records import SoakRecords
from soak.records_file import write_records
from soak.settings import SoakConfig
from soak.violation import Violation

SHOWN_PER_RULE = 3
RECORDS_FILE = "records.json"


def run_and_check(config: SoakConfig, folder: Path) -> tuple[SoakRecords, list[Violation]]:
    """Run one seed; return its records and the violations that the oracle found.

    Args:
        config: The seed and the sizes of the run.
        folder: The folder for configurations, logs and records; it is emptied first.
    """
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    records = asyncio.run(run_soak(config, folder))
    write_records(records, folder / RECORDS_FILE)
    return records, find_violations(records)


def describe(records: SoakRecords, violations: list[Violation]) -> str:
    """Return a summary line of a run, then some violations of each rule."""
    ends = Counter(str(request.end) for request in records.requests)
    replies = Counter(request.reply.split(" ")[0] for request in records.requests if request.reply)
    rules = Counter(str(violation.rule) for violation in violations)
    lines = [
        f"{len(records.requests)} requests {dict(ends)} {dict(replies)}, {len(records.commands)} attempts, "
        f"{len(records.faults)} faults, {len(records.processes)} gateway processes: "
        f"{dict(rules) or 'no violation'}"
    ]
    for rule in rules:
        shown = [violation for violation in violations if violation.rule == rule][:SHOWN_PER_RULE]
        lines += [f"  {rule}: {violation.subject}: {violation.detail}" for violation in shown]
    return "\n".join(lines)


def run_seeds(arguments: argparse.Namespace) -> bool:
    """Run each seed; return whether no run had violations."""
    has_violations = False
    first_seed, _, last_seed = arguments.seeds.partition("-")
    for seed in range(int(first_seed), int(last_seed or first_seed) + 1):
        config = SoakConfig(seed, arguments.seconds, faults_per_s=arguments.faults_per_second)
        records, violations = run_and_check(config, arguments.out / f"seed-{seed}")
        print(f"seed {seed}: {describe(records, violations)}", flush=True)
        has_violations = has_violations or bool(violations)
    return not has_violations


def run_planted(arguments: argparse.Namespace) -> bool:
    """Run each planted fault until its rule is found violated; return whether all were found."""
    selected = arguments.only.split(",") if arguments.only else list(PLANTED_FAULTS)
    are_found = [
        _is_found(name, fault, arguments) for name, fault in PLANTED_FAULTS.items() if name in selected
    ]
    return all(are_found)


def _is_found(name: str, fault: PlantedFault, arguments: argparse.Namespace) -> bool:
    """Run a planted fault with successive seeds; return whether its rule was found violated."""
    for seed in range(1, arguments.tries + 1):
        config = SoakConfig(
            seed,
            arguments.seconds,
            faults_per_s=arguments.faults_per_second,
            planted_fault=name,
            added_faults=fault.injected,
        )
        _, violations = run_and_check(config, arguments.out / f"{name}-{seed}")
        counts = Counter(str(violation.rule) for violation in violations)
        is_found = counts[fault.rule] > 0
        verdict = "met" if is_found else "NOT met"
        print(f"{name}: seed {seed}, {fault.rule} {verdict}: {dict(counts)}", flush=True)
        if is_found:
            return True
    return False


def make_parser() -> argparse.ArgumentParser:
    """Make the parser of the command line."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    for name, run in (("run", run_seeds), ("planted", run_planted)):
        command = commands.add_parser(name)
        command.set_defaults(run=run)
        command.add_argument("--seconds", type=float, default=20.0, help="time during which faults begin")
        command.add_argument(
            "--faults-per-second",
            "--troubles",
            type=float,
            default=1.2,
            help="mean number of faults that begin per second",
        )
        command.add_argument("--out", type=Path, default=None, help="folder for logs and records")
    commands.choices["run"].add_argument("--seeds", default="1", help="one seed, or LOW-HIGH")
    commands.choices["planted"].add_argument(
        "--tries", type=int, default=3, help="seeds to try for each planted fault"
    )
    commands.choices["planted"].add_argument(
        "--only", default="", help="names of planted faults, separated by commas"
    )
    return parser


def main() -> int:
    """Run the command; return 0 if no rule was violated or all planted faults were found, otherwise 1."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING))
    arguments = make_parser().parse_args()
    arguments.out = arguments.out or Path(tempfile.mkdtemp(prefix="soak-"))
    started_s = time.monotonic()
    has_passed = bool(arguments.run(arguments))
    duration_s = time.monotonic() - started_s
    print(f"{'passed' if has_passed else 'FAILED'} in {duration_s:.0f} s, logs in {arguments.out}")
    return 0 if has_passed else 1


if __name__ == "__main__":
    sys.exit(main())
