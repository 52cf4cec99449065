"""Compares strategies that choose the subsets: load balance, churn, lost failure domains, processing time.

All strategies use the subset size of `quota_gateway.policy.subset`, the same servers and the same shares of
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
"""Approximate number of gateways for which both implementations of the chosen strategy are compared."""


class Comparison(msgspec.Struct):
    """Metrics of all strategies, in the format of the JSON file.

    Attributes:
        gateways: Number of gateways in the fleet.
        servers: Number of listed servers.
        seed: Seed of all random numbers.
        size: Number of servers in a gateway's subset.
        ways: Metrics by the name of the strategy, then by the name of the metric.
    """

    gateways: int
    servers: int
    seed: int
    size: int
    ways: dict[str, dict[str, float]]


def verify_chosen_strategy(topology: Topology, subsets: FleetSubsets) -> None:
    """Check that the array implementation chooses the same servers as the gateway's implementation.

    Raises:
        RuntimeError: The implementations choose different servers for a gateway.
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
    """Return a topology of listed servers with random names, and spare ones that can be added later."""
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
    """Measure strategies on the same servers; the same seed gives the same metrics except for times."""
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
    """Return the metrics as a text table with a column for each strategy."""
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
