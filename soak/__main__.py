"""The soak's command line: plays seeds, or planted faults, and says what the oracle found."""

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
from soak.planted import PLANTED_FAULTS
from soak.play import SoakPlay
from soak.records import SoakRecords
from soak.records_file import write_records
from soak.settings import SoakConfig
from soak.violation import Violation

SHOWN_PER_CHECK = 3
RECORDS_FILE = "records.json"


def play(config: SoakConfig, folder: Path) -> tuple[SoakRecords, list[Violation]]:
    """Play one seed; what was recorded, and what the oracle found. Its logs stay in the folder."""
    shutil.rmtree(folder, ignore_errors=True)  # of an earlier play
    folder.mkdir(parents=True)
    records = asyncio.run(SoakPlay(config, folder).run())
    write_records(records, folder / RECORDS_FILE)
    return records, find_violations(records)


def describe(records: SoakRecords, violations: list[Violation]) -> str:
    """One line on a play, then some of each kind of violation."""
    ends = Counter(request.end for request in records.requests)
    replies = Counter(request.reply.split(" ")[0] for request in records.requests if request.reply)
    rules = Counter(violation.rule for violation in violations)
    lines = [
        f"{len(records.requests)} requests {dict(ends)} {dict(replies)}, {len(records.commands)} attempts, "
        f"{len(records.faults)} faults, {len(records.processes)} gateway processes: "
        f"{dict(rules) or 'no violation'}"
    ]
    for rule in rules:
        some = [violation for violation in violations if violation.rule == rule][:SHOWN_PER_CHECK]
        lines += [f"  {rule}: {violation.subject}: {violation.detail}" for violation in some]
    return "\n".join(lines)


def run_seeds(arguments: argparse.Namespace) -> bool:
    """Play each seed; whether none broke anything."""
    is_clean = True
    low, _, high = arguments.seeds.partition("-")
    for seed in range(int(low), int(high or low) + 1):
        config = SoakConfig(seed, arguments.seconds, troubles_per_s=arguments.troubles)
        records, violations = play(config, arguments.out / f"seed-{seed}")
        print(f"seed {seed}: {describe(records, violations)}", flush=True)
        is_clean = is_clean and not violations
    return is_clean


def run_planted(arguments: argparse.Namespace) -> bool:
    """Play each planted fault until the check that is due meets it; whether all were met."""
    all_met = True
    for name, fault in PLANTED_FAULTS.items():
        if arguments.only and name not in arguments.only.split(","):
            continue
        for seed in range(1, arguments.tries + 1):
            config = SoakConfig(
                seed,
                arguments.seconds,
                troubles_per_s=arguments.troubles,
                planted=name,
                kinds=fault.injected,
            )
            _, violations = play(config, arguments.out / f"{name}-{seed}")
            counts = Counter(violation.rule for violation in violations)
            is_met = counts[fault.rule] > 0
            print(
                f"{name}: seed {seed}, {fault.rule} {'met' if is_met else 'NOT met'}: {dict(counts)}",
                flush=True,
            )
            if is_met:
                break
        all_met = all_met and is_met
    return all_met


def main() -> int:
    """Run the command; 0 where nothing was broken, or all that was planted was met."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING))
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    for name, run in (("run", run_seeds), ("planted", run_planted)):
        command = commands.add_parser(name)
        command.set_defaults(run=run)
        command.add_argument("--seconds", type=float, default=20.0, help="how long troubles begin")
        command.add_argument("--troubles", type=float, default=1.2, help="troubles that begin in a second")
        command.add_argument("--out", type=Path, default=None, help="where logs and records are kept")
    commands.choices["run"].add_argument("--seeds", default="1", help="one seed, or LOW-HIGH")
    commands.choices["planted"].add_argument("--tries", type=int, default=3, help="seeds for each fault")
    commands.choices["planted"].add_argument("--only", default="", help="names, with commas between them")
    arguments = parser.parse_args()
    arguments.out = arguments.out or Path(tempfile.mkdtemp(prefix="soak-"))
    started_s = time.monotonic()
    is_good = bool(arguments.run(arguments))
    seconds = time.monotonic() - started_s
    print(f"{'passed' if is_good else 'FAILED'} in {seconds:.0f} s, logs in {arguments.out}")
    return 0 if is_good else 1


if __name__ == "__main__":
    sys.exit(main())
