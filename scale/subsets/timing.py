"""Processing time of each strategy in pure Python, as a gateway would run it."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from functools import partial
from hashlib import blake2b
from heapq import nsmallest
from math import ceil
from typing import NamedTuple

from quota_gateway.net.discovery.nearest_endpoints import NearestEndpoints
from quota_gateway.policy import subset
from scale.subsets.strategies import CHOSEN_STRATEGY, Topology

TIMED_ROWS = 200
"""Number of rows to time for a strategy that takes milliseconds for each row."""


class TimedStrategy(NamedTuple):
    """A strategy prepared for timing.

    Attributes:
        rows: Number of rows of the list that ``run`` reads.
        needs_whole_list: Whether a single change requires reading the whole list again.
        run: Function to time.
    """

    rows: int
    needs_whole_list: bool
    run: Callable[[], object]


def _pair_hash(name: str, gateway: int) -> bytes:
    return blake2b(f"{name} {gateway}".encode(), digest_size=8).digest()


def _timed_strategies(topology: Topology) -> dict[str, TimedStrategy]:
    names = [name for name, listed in zip(topology.names, topology.listed, strict=True) if listed]
    rows = len(names)
    own_subset = subset.Subset(topology.gateways, topology.gateways // 2, topology.minimum_size)
    size = own_subset.size(rows)
    gateways_per_server = min(topology.gateways, ceil(own_subset.gateways_per_server(rows)))

    def offer_all() -> None:
        nearest = NearestEndpoints(own_subset)
        for name in names:
            nearest.offer(name)

    def rendezvous_by_server() -> None:
        for name in names[:TIMED_ROWS]:
            nsmallest(gateways_per_server, range(topology.gateways), key=partial(_pair_hash, name))

    def hash_with_one(name: str) -> bytes:
        return _pair_hash(name, 1)

    return {
        CHOSEN_STRATEGY: TimedStrategy(rows, False, offer_all),
        "rendezvous, gateways": TimedStrategy(rows, False, lambda: nsmallest(size, names, key=hash_with_one)),
        "rendezvous, servers": TimedStrategy(min(TIMED_ROWS, rows), False, rendezvous_by_server),
        "shuffled rounds": TimedStrategy(rows, True, lambda: random.Random(1).shuffle(sorted(names))),
        "hashed rounds": TimedStrategy(rows, True, lambda: sorted(names, key=hash_with_one)),
        "random draw": TimedStrategy(rows, True, lambda: random.Random(1).sample(sorted(names), size)),
    }


def time_strategies(topology: Topology) -> dict[str, dict[str, float]]:
    """Time each strategy once; other load on the machine affects the result.

    Returns:
        For each strategy the time for a row and a change in microseconds, and for the list in milliseconds.
    """
    list_length = int(topology.listed.sum())
    times = {}
    for name, strategy in _timed_strategies(topology).items():
        started_s = time.perf_counter()
        strategy.run()
        elapsed_s = time.perf_counter() - started_s
        row_us = elapsed_s / strategy.rows * 1e6
        list_ms = elapsed_s * list_length / strategy.rows * 1e3
        times[name] = {
            "us a row": row_us,
            "ms a list": list_ms,
            "us a change": list_ms * 1e3 if strategy.needs_whole_list else row_us,
        }
    return times
