"""Compare strategies that choose each gateway's subset of servers; print a table and optionally write JSON.

Example: python -m scale.subsets --gateways 3800 --servers 38000 --seed 1 --json result.json
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
    """Parse the flags, print the table and write the JSON file if requested."""
    parser = argparse.ArgumentParser(prog="scale.subsets", description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--gateways", type=int, default=500)
    parser.add_argument("--servers", type=int, default=5000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--least", type=int, default=subset.MIN_SUBSET_SIZE, help="minimum number of servers in a subset"
    )
    parser.add_argument(
        "--way", action="append", choices=list(STRATEGIES), help="compare only this strategy; may be repeated"
    )
    parser.add_argument("--json", type=Path, help="JSON file that the metrics are written to")
    flags = parser.parse_args()
    for flag, minimum in (("gateways", 2), ("servers", SERVERS_PER_RACK), ("least", 1)):
        if getattr(flags, flag) < minimum:
            parser.error(f"--{flag} must be at least {minimum}")
    strategies = flags.way or list(STRATEGIES)
    result = compare(flags.gateways, flags.servers, flags.seed, flags.least, strategies)
    print(format_table(result))
    if flags.json:
        flags.json.write_text(json.dumps(msgspec.to_builtins(result), indent=1) + "\n")


if __name__ == "__main__":
    main()
