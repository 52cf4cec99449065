"""Compare strategies for each gateway to choose its servers: balance, churn, lost zones, and time for a row.

    python -m scale.subsets --gateways 3800 --servers 38000 --seed 1 --json result.json

All strategies get the size that `quota_gateway.policy.subset` gives, the same servers and the same shares of
traffic for the gateways. `scale.subset_metrics` documents the metrics.
"""

from __future__ import annotations

import argparse
import json
import random
from pathlib import Path

import msgspec
import numpy as np

from quota_gateway.net.discovery.nearest_endpoints import NearestEndpoints
from quota_gateway.policy import subset
from scale.subset_metrics import (
    SERVERS_PER_RACK,
    SINGLE_SERVER_CHANGES,
    balance_metrics,
    churn_metrics,
    failure_domain_metrics,
)
from scale.subset_strategies import CHOSEN_STRATEGY, STRATEGIES, FleetSubsets, Topology
from scale.subset_timing import time_strategies

VERIFIED_GATEWAYS = 5
"""About how many gateways the array implementation is compared with the gateway's own on."""


class Comparison(msgspec.Struct):
    """The metrics of every strategy, as the JSON file holds them.

    Attributes:
        gateways: Gateways in the fleet.
        servers: Servers that are listed.
        seed: The seed of all random numbers.
        size: Servers in a gateway's subset.
        ways: The metrics by name, by the strategy's name.
    """

    gateways: int
    servers: int
    seed: int
    size: int
    ways: dict[str, dict[str, float]]


def verify_chosen_strategy(topology: Topology, subsets: FleetSubsets) -> None:
    """Check that the array implementation and the gateway's own choose the same servers.

    Raises:
        RuntimeError: They differ for some gateway.
    """
    for gateway in range(0, topology.gateways, max(1, topology.gateways // VERIFIED_GATEWAYS)):
        nearest = NearestEndpoints(subset.Subset(topology.gateways, gateway, topology.minimum_size))
        for index in topology.listed_indexes():
            nearest.offer(topology.names[index])
        chosen = sorted(list(nearest)[: topology.subset_size()])
        if chosen != [topology.names[index] for index in subsets[gateway]]:
            raise RuntimeError(
                f"gateway {gateway}: the comparison and the gateway's policy choose different servers"
            )


def make_topology(gateways: int, servers: int, seed: int, minimum_size: int) -> Topology:
    """Make so many listed servers with random names, and spare ones that can be added later."""
    source = random.Random(seed)
    spare = max(SINGLE_SERVER_CHANGES, servers // 100)
    names: set[str] = set()
    while len(names) < servers + spare:
        names.add(f"s-{source.getrandbits(32):08x}")
    topology = Topology(sorted(names), np.ones(servers + spare, dtype=bool), gateways, minimum_size)
    return topology.with_servers(source.sample(range(servers + spare), spare), False)


def compare(
    gateways: int,
    servers: int,
    seed: int,
    minimum_size: int,
    strategies: list[str],
) -> Comparison:
    """Measure these strategies on the same servers; the same seed gives the same metrics but for times."""
    topology = make_topology(gateways, servers, seed, minimum_size)
    times = time_strategies(topology)
    result = Comparison(gateways, servers, seed, topology.subset_size(), {})
    for name in strategies:
        choose = STRATEGIES[name]
        generator = np.random.default_rng(seed)
        subsets = choose(topology)
        if name == CHOSEN_STRATEGY:
            verify_chosen_strategy(topology, subsets)
        result.ways[name] = {
            **balance_metrics(subsets, topology, generator),
            **failure_domain_metrics(subsets, topology, generator),
            **churn_metrics(choose, topology, subsets, generator),
            **times.get(name, {}),
        }
    return result


def format_table(result: Comparison) -> str:
    """Return the metrics as text, a strategy a column."""
    names = list(dict.fromkeys(name for metrics in result.ways.values() for name in metrics))
    lines = [
        f"{result.gateways} gateways, {result.servers} servers, seed {result.seed}: "
        f"{result.size} servers for each gateway",
        " " * 14 + "".join(f"{strategy:>22}" for strategy in result.ways),
    ]
    for name in names:
        cells = (f"{metrics[name]:.4g}" if name in metrics else "-" for metrics in result.ways.values())
        lines.append(f"{name:14}" + "".join(f"{cell:>22}" for cell in cells))
    return "\n".join(lines)


def main() -> None:
    """Read the flags, print the table and write the JSON file."""
    parser = argparse.ArgumentParser(prog="scale.subsets", description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--gateways", type=int, default=500)
    parser.add_argument("--servers", type=int, default=5000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--least", type=int, default=subset.LEAST, help="the smallest subset, in servers")
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
