"""Compare strategies for each gateway to choose its servers; prints a table, and writes a JSON file if asked.

python -m scale.subsets --gateways 3800 --servers 38000 --seed 1 --json result.json
"""

from __future__ import annotations

import argparse
import json
from pathlib import Path

import msgspec

from quota_gateway.policy import subset
from scale.subsets.comparison import compare, format_table
from scale.subsets.metrics import SERVERS_PER_RACK
from scale.subsets.strategies import STRATEGIES


def main() -> None:
    """Read the flags, print the table and write the JSON file."""
    parser = argparse.ArgumentParser(prog="scale.subsets", description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--gateways", type=int, default=500)
    parser.add_argument("--servers", type=int, default=5000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--least", type=int, default=subset.MIN_SUBSET_SIZE, help="the smallest subset, in servers"
    )
    parser.add_argument(
        "--way", action="append", choices=list(STRATEGIES), help="only this one; may be repeated"
    )
    parser.add_argument("--json", type=Path, help="where the figures are written to")
    flags = parser.parse_args()
    for flag, minimum in (("gateways", 2), ("servers", SERVERS_PER_RACK), ("least", 1)):
        if getattr(flags, flag) < minimum:
            parser.error(f"--{flag} is at least {minimum}")
    strategies = flags.way or list(STRATEGIES)
    result = compare(flags.gateways, flags.servers, flags.seed, flags.least, strategies)
    print(format_table(result))
    if flags.json:
        flags.json.write_text(json.dumps(msgspec.to_builtins(result), indent=1) + "\n")


if __name__ == "__main__":
    main()
