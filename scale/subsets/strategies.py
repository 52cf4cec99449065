"""Strategies that choose the subset of servers for each gateway of a fleet, implemented with NumPy arrays."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hashlib import blake2b
from math import ceil, sqrt

import numpy as np
from numpy.typing import NDArray

from quota_gateway.policy import subset

GOLDEN_RATIO_STEP = (sqrt(5.0) - 1.0) / 2.0
"""The fractional part of the golden ratio: its multiples spread evenly over a ring for any fleet size."""

RING_STEPS = (GOLDEN_RATIO_STEP, sqrt(2.0) - 1.0, sqrt(3.0) - 1.0, (sqrt(13.0) - 3.0) / 2.0)
"""Distance between consecutive gateways on each ring; the steps differ so that neighbors differ per ring."""

ServerIndexes = NDArray[np.int64]
FleetSubsets = list[ServerIndexes]
"""The servers of each gateway, by the gateway's index."""

Strategy = Callable[["Topology"], FleetSubsets]


@dataclass
class Topology:
    """All servers that exist at any time of a comparison, and the number of gateways.

    Attributes:
        names: Names of the servers, sorted.
        listed: For each server whether discovery lists it, in the order of the names.
        gateways: Number of gateways that choose a subset.
        minimum_size: Minimum number of servers in a subset.
    """

    names: list[str]
    listed: NDArray[np.bool_]
    gateways: int
    minimum_size: int

    def subset_size(self) -> int:
        """Return the number of servers in each gateway's subset."""
        return subset.Subset(self.gateways, 0, self.minimum_size).size(int(self.listed.sum()))

    def listed_indexes(self) -> ServerIndexes:
        """Return the indexes of the listed servers."""
        return np.flatnonzero(self.listed)

    def with_servers(self, servers: Iterable[int], listed: bool) -> Topology:
        """Return a copy of the topology in which these servers are listed or not listed."""
        changed = self.listed.copy()
        changed[list(servers)] = listed
        return Topology(self.names, changed, self.gateways, self.minimum_size)

    def with_gateways(self, gateways: int) -> Topology:
        """Return a topology of the same servers with another number of gateways."""
        return Topology(self.names, self.listed, gateways, self.minimum_size)


def mix_bits(numbers: NDArray[np.uint64]) -> NDArray[np.uint64]:
    """Hash many 64-bit numbers at once with the finalizer of splitmix64."""
    with np.errstate(over="ignore"):
        numbers = (numbers ^ (numbers >> np.uint64(30))) * np.uint64(0xBF58476D1CE4E5B9)
        numbers = (numbers ^ (numbers >> np.uint64(27))) * np.uint64(0x94D049BB133111EB)
    return numbers ^ (numbers >> np.uint64(31))


def hash_names(names: list[str]) -> NDArray[np.uint64]:
    """Return a 64-bit hash of each name."""
    return np.array(
        [int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "little") for name in names],
        dtype=np.uint64,
    )


def _hash_gateways(gateways: int) -> NDArray[np.uint64]:
    return mix_bits(np.arange(1, gateways + 1, dtype=np.uint64))


class RingStrategy:
    """Chooses the nearest servers on one or more hash rings, as `quota_gateway.policy.subset` does.

    Args:
        steps: Distance between consecutive gateways on each ring, as a fraction of the ring.
    """

    def __init__(self, steps: tuple[float, ...]) -> None:
        self.steps = steps
        self._positions: NDArray[np.float64] = np.empty(0)

    def choose(self, topology: Topology) -> FleetSubsets:
        """Return the subset of each gateway."""
        listed = topology.listed_indexes()
        size = topology.subset_size()
        if size == len(listed):
            return [listed] * topology.gateways
        positions = self._server_positions(topology.names)[listed]
        orders = [np.argsort(positions[:, ring]) for ring in range(len(self.steps))]
        sorted_positions = [positions[order, ring] for ring, order in enumerate(orders)]
        subsets = []
        for gateway in range(topology.gateways):
            starts = self._gateway_positions(gateway)
            candidates = self._next_on_each_ring(starts, orders, sorted_positions, size)
            distances = ((positions[candidates] - starts) % 1.0).min(axis=1)
            nearest = np.argpartition(distances, size - 1)[:size]
            subsets.append(np.sort(listed[candidates[nearest]]))
        return subsets

    def _server_positions(self, names: list[str]) -> NDArray[np.float64]:
        """Return each server's position on each ring, cached because topologies share the names."""
        if len(self._positions) != len(names):
            rings = len(self.steps)
            digests = b"".join(blake2b(name.encode(), digest_size=4 * rings).digest() for name in names)
            self._positions = np.frombuffer(digests, "<u4").reshape(-1, rings) / subset.RING_SIZE
        return self._positions

    def _gateway_positions(self, gateway: int) -> NDArray[np.float64]:
        positions = np.array(
            [gateway * int(step * subset.RING_SIZE) % subset.RING_SIZE for step in self.steps]
        )
        return positions / subset.RING_SIZE

    @staticmethod
    def _next_on_each_ring(
        starts: NDArray[np.float64],
        orders: list[ServerIndexes],
        sorted_positions: list[NDArray[np.float64]],
        size: int,
    ) -> ServerIndexes:
        """Return the union of the next ``size`` servers after the gateway on each ring."""
        rings = []
        for start, order, positions in zip(starts, orders, sorted_positions, strict=True):
            first = int(np.searchsorted(positions, start))
            rings.append(order.take(np.arange(first, first + size), mode="wrap"))
        return np.unique(np.concatenate(rings))


def rendezvous_by_gateway(topology: Topology) -> FleetSubsets:
    """Choose for each gateway the servers with the lowest hash of the pair (rendezvous hashing)."""
    listed = topology.listed_indexes()
    size = topology.subset_size()
    if size == len(listed):
        return [listed] * topology.gateways
    servers = hash_names(topology.names)[listed]
    return [
        np.sort(listed[np.argpartition(mix_bits(servers ^ gateway), size - 1)[:size]])
        for gateway in _hash_gateways(topology.gateways)
    ]


def rendezvous_by_server(topology: Topology) -> FleetSubsets:
    """Assign each server to the same number of gateways, those with the lowest hash of the pair."""
    listed = topology.listed_indexes()
    size = topology.subset_size()
    if size == len(listed):
        return [listed] * topology.gateways
    gateways_per_server = ceil(topology.gateways * size / len(listed))
    gateways = _hash_gateways(topology.gateways)
    owners = np.array(
        [
            np.argpartition(mix_bits(server ^ gateways), gateways_per_server - 1)[:gateways_per_server]
            for server in hash_names(topology.names)[listed]
        ]
    ).ravel()
    order = np.argsort(owners, kind="stable")
    boundaries = np.searchsorted(owners[order], np.arange(1, topology.gateways))
    return [np.sort(part) for part in np.split(np.repeat(listed, gateways_per_server)[order], boundaries)]


def shuffled_rounds(topology: Topology) -> FleetSubsets:
    """Split the shuffled list among the gateways of each round; the round's number is the shuffle's seed."""
    return _split_rounds(topology, lambda number, listed: np.random.default_rng(number).permutation(listed))


def hashed_rounds(topology: Topology) -> FleetSubsets:
    """Like `shuffled_rounds`, but in hash order: a new or lost server moves the others by only one place."""
    servers = hash_names(topology.names)

    def order_by_hash(number: int, listed: ServerIndexes) -> ServerIndexes:
        round_hash = mix_bits(np.array([number + 1], dtype=np.uint64))[0]
        return listed[np.argsort(mix_bits(servers[listed] ^ round_hash))]

    return _split_rounds(topology, order_by_hash)


def _split_rounds(
    topology: Topology,
    order_for_round: Callable[[int, ServerIndexes], ServerIndexes],
) -> FleetSubsets:
    listed = topology.listed_indexes()
    size = topology.subset_size()
    gateways_per_round = max(1, len(listed) // size)
    subsets: FleetSubsets = []
    for number in range(ceil(topology.gateways / gateways_per_round)):
        ordered = order_for_round(number, listed)
        subsets += [
            np.sort(ordered[place * size : (place + 1) * size]) for place in range(gateways_per_round)
        ]
    return subsets[: topology.gateways]


def random_draw(topology: Topology) -> FleetSubsets:
    """Choose random servers for each gateway, whose index is the seed."""
    listed = topology.listed_indexes()
    size = topology.subset_size()
    return [
        np.sort(np.random.default_rng(gateway).choice(listed, size, replace=False, shuffle=False))
        for gateway in range(topology.gateways)
    ]


STRATEGIES: dict[str, Strategy] = {
    "one ring": RingStrategy(RING_STEPS[:1]).choose,
    "two rings": RingStrategy(RING_STEPS[:2]).choose,
    "four rings": RingStrategy(RING_STEPS).choose,
    "two rings, one step": RingStrategy((GOLDEN_RATIO_STEP,) * 2).choose,
    "four rings, one step": RingStrategy((GOLDEN_RATIO_STEP,) * 4).choose,
    "rendezvous, gateways": rendezvous_by_gateway,
    "rendezvous, servers": rendezvous_by_server,
    "shuffled rounds": shuffled_rounds,
    "hashed rounds": hashed_rounds,
    "random draw": random_draw,
}
"""All strategies, by their names on the command line and in result files."""

CHOSEN_STRATEGY = "two rings"
"""Name of the strategy that real gateways use."""
