"""Metrics of a fleet's subsets: load balance, capacity left after losing a failure domain, and churn."""

from __future__ import annotations

import numpy as np
from numpy.typing import NDArray

from scale.subsets.strategies import FleetSubsets, ServerIndexes, Strategy, Topology

ZONES = 15
REGIONS = 4
"""Number of regions that the zones belong to."""

SERVERS_PER_RACK = 40

UNEVEN_TRAFFIC_DRAWS = 20
"""Number of draws of gamma-distributed traffic, shape 1; 1% of the gateways have over 4.6 times the mean."""

SETTLED_TRAFFIC_DRAWS = 4
"""Number of draws of settled traffic; fewer, because each one needs SETTLING_STEPS steps."""

SETTLING_STEPS = 40
"""Number of steps until traffic is settled on less loaded servers; each step goes half the way."""

SINGLE_SERVER_CHANGES = 5
"""Number of servers to remove and number of servers to add, one at a time."""


def balance_metrics(
    subsets: FleetSubsets,
    topology: Topology,
    generator: np.random.Generator,
) -> dict[str, float]:
    """Measure the loads of servers relative to their mean, with even, uneven and settled traffic.

    A server's load is the sum, over its gateways, of the gateway's traffic divided by the size of its subset.

    Returns:
        Maximum and 99.9th percentile of the load with each kind of traffic, the number of gateways that share
        a server, and the sizes of subsets, by their names in the result files.
    """
    gateways = len(subsets)
    even = _server_loads(subsets, topology, np.ones(gateways))
    uneven = [
        _server_loads(subsets, topology, generator.gamma(1.0, size=gateways))
        for _ in range(UNEVEN_TRAFFIC_DRAWS)
    ]
    settled = [
        settled_loads(subsets, topology, generator.gamma(1.0, size=gateways))
        for _ in range(SETTLED_TRAFFIC_DRAWS)
    ]
    return {
        "max": float(even.max()),
        "p99.9": float(np.quantile(even, 0.999)),
        **_mean_peaks("uneven", uneven),
        **_mean_peaks("settled", settled),
        **_size_metrics(subsets, topology),
    }


def _mean_peaks(traffic: str, draws: list[NDArray[np.float64]]) -> dict[str, float]:
    """Return the means over all draws of the maximum and the 99.9th percentile of the load."""
    return {
        f"{traffic} max": float(np.mean([load.max() for load in draws])),
        f"{traffic} p99.9": float(np.mean([np.quantile(load, 0.999) for load in draws])),
    }


def _size_metrics(subsets: FleetSubsets, topology: Topology) -> dict[str, float]:
    """Return the minimum and mean number of gateways that share a server, and the extreme subset sizes."""
    sizes = [len(servers) for servers in subsets]
    gateways_per_server = np.bincount(np.concatenate(subsets), minlength=len(topology.names))[topology.listed]
    return {
        "least sharers": float(gateways_per_server.min()),
        "mean sharers": float(gateways_per_server.mean()),
        "least size": float(min(sizes)),
        "most size": float(max(sizes)),
    }


def _server_loads(
    subsets: FleetSubsets,
    topology: Topology,
    traffic: NDArray[np.float64],
) -> NDArray[np.float64]:
    """Return each listed server's load relative to the mean, with traffic spread evenly over each subset."""
    sizes = np.array([len(servers) for servers in subsets])
    portions = np.repeat(traffic / np.maximum(1, sizes), sizes)
    loads = np.bincount(np.concatenate(subsets), portions, len(topology.names))[topology.listed]
    return np.asarray(loads / loads.mean())


def settled_loads(
    subsets: FleetSubsets,
    topology: Topology,
    traffic: NDArray[np.float64],
) -> NDArray[np.float64]:
    """Return the listed servers' loads after gateways have shifted traffic to their less loaded servers.

    Gateways that choose servers by the load in replies do this. Neighbors that share all their servers can't,
    as none of those is less loaded.
    """
    servers = np.concatenate(subsets)
    owners = np.repeat(np.arange(len(subsets)), [len(indexes) for indexes in subsets])
    portions = np.ones(len(servers))
    for _ in range(SETTLING_STEPS + 1):
        portions *= (traffic / np.maximum(1e-12, np.bincount(owners, portions, len(subsets))))[owners]
        loads = np.bincount(servers, portions, len(topology.names)).astype(float)
        loads = loads / loads[topology.listed].mean()
        portions /= np.sqrt(np.maximum(1e-6, loads))[servers]
    return np.asarray(loads[topology.listed])


def failure_domain_metrics(
    subsets: FleetSubsets,
    topology: Topology,
    generator: np.random.Generator,
) -> dict[str, float]:
    """Measure the smallest share of its subset that a gateway keeps when a zone, region or rack is lost.

    Returns:
        For each kind of failure domain that share, relative to the share of all servers that is left.
    """
    server_count = len(topology.names)
    zones = generator.permutation(server_count) % ZONES
    racks = zones + ZONES * (generator.permutation(server_count) // (SERVERS_PER_RACK * ZONES))
    metrics = {}
    for name, domains in (("zone", zones), ("region", zones % REGIONS), ("rack", racks)):
        domain_count = int(domains.max()) + 1
        lost_share = max(
            float(np.bincount(domains[servers], minlength=domain_count).max()) / max(1, len(servers))
            for servers in subsets
        )
        lost_share_of_all = float(np.bincount(domains[topology.listed]).max()) / topology.listed.sum()
        metrics[f"{name} left"] = float((1.0 - lost_share) / (1.0 - lost_share_of_all))
    return metrics


def churn(before: FleetSubsets, after: FleetSubsets) -> float:
    """Return the number of new pairs of gateway and server as a share of the old ones.

    Only gateways that are in both fleets count.
    """
    common = min(len(before), len(after))
    added = sum(
        len(new) - len(np.intersect1d(old, new, assume_unique=True))
        for old, new in zip(before[:common], after[:common], strict=True)
    )
    return added / max(1, sum(len(old) for old in before[:common]))


def churn_metrics(
    choose: Strategy,
    topology: Topology,
    subsets: FleetSubsets,
    generator: np.random.Generator,
) -> dict[str, float]:
    """Return the churn caused by each kind of change, by its name in the result files."""
    listed = topology.listed_indexes()
    spare = np.flatnonzero(~topology.listed)
    one_percent = max(1, len(listed) // 100)
    down = generator.choice(listed, one_percent, replace=False)
    without_down = topology.with_servers(down, False)
    # Servers that are down stay listed, so the subset size does not change.
    down_but_listed = Topology(topology.names, without_down.listed, topology.gateways, topology.subset_size())
    removed = generator.choice(listed, SINGLE_SERVER_CHANGES, replace=False)

    added = spare[:SINGLE_SERVER_CHANGES]

    def churn_to(changed: Topology) -> float:
        return churn(subsets, choose(changed))

    def mean_churn(servers: ServerIndexes, listed: bool) -> float:
        return float(np.mean([churn_to(topology.with_servers([server], listed)) for server in servers]))

    return {
        "server goes": mean_churn(removed, listed=False),
        "server comes": mean_churn(added, listed=True),
        "gateway goes": churn_to(topology.with_gateways(topology.gateways - 1)),
        "gateway comes": churn_to(topology.with_gateways(topology.gateways + 1)),
        "1% down": churn_to(down_but_listed),
        "1% replaced": churn_to(without_down.with_servers(spare[:one_percent], True)),
    }
