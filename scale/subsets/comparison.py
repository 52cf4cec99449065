"""Compare strategies for each gateway to choose its servers: balance, churn, lost zones, and time for a row.

All strategies get the size that `quota_gateway.policy.subset` gives, the same servers and the same shares of
traffic for the gateways. `scale.subsets.metrics` documents the metrics.
"""

from __future__ import annotations

import random

import msgspec
import numpy as np

from quota_gateway.net.discovery.nearest_endpoints import NearestEndpoints
from quota_gateway.policy import subset
from scale.subsets.metrics import (
    SINGLE_SERVER_CHANGES,
    balance_metrics,
    churn_metrics,
    failure_domain_metrics,
)
from scale.subsets.strategies import CHOSEN_STRATEGY, STRATEGIES, FleetSubsets, Topology
from scale.subsets.timing import time_strategies

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
