"""Compares ways for each gateway to choose its servers: balance, churn, lost zones, and what a row costs.

    python -m scale.subsets --gateways 3800 --servers 38000 --seed 1 --json result.json

All ways get the size that policy.subset gives, the same servers and the same gateways' parts of the
traffic. Balance: a server's load is the sum, over its gateways, of the gateway's traffic by the size of its
subset. Churn: share of the fleet's entries (a gateway and a server) that are new after a change.
"""

from __future__ import annotations

import argparse
import json
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from hashlib import blake2b
from heapq import nsmallest
from math import ceil, sqrt
from pathlib import Path
from typing import Any

import numpy as np
from numpy.typing import NDArray

from quota_gateway.net.nearest_endpoints import NearestEndpoints
from quota_gateway.policy import subset

ZONES, REGIONS, RACK = 15, 4, 40  # zones, the regions they lie in, and servers in a rack
DRAWS = 20  # of uneven traffic: gamma with shape 1, a gateway in a hundred has 4.6 times the mean
SETTLED, STEPS = 4, 40  # draws, and steps of half the way, until gateways have moved to servers with less
DELTA = 5  # servers that go, and that come, one at a time
ROWS = 200  # timed for a way whose rows take milliseconds
GOLDEN = (sqrt(5.0) - 1.0) / 2.0
OWN = (GOLDEN, sqrt(2.0) - 1.0, sqrt(3.0) - 1.0, (sqrt(13.0) - 3.0) / 2.0)  # a step for each ring

Ids = NDArray[np.int64]
Fleet = list[Ids]  # each gateway's servers
Way = Callable[["World"], Fleet]


@dataclass
class World:
    """Every server there is at any time of a run, by sorted name, and those that are listed."""

    names: list[str]
    listed: NDArray[np.bool_]
    gateways: int
    least: int

    def size(self) -> int:
        """Servers for each gateway."""
        return subset.Subset(self.gateways, 0, self.least).size(int(self.listed.sum()))

    def but(self, servers: Iterable[int], listed: bool) -> World:
        """The same world where these servers are listed, or are not."""
        mask = self.listed.copy()
        mask[list(servers)] = listed
        return World(self.names, mask, self.gateways, self.least)


def mix(numbers: NDArray[np.uint64]) -> NDArray[np.uint64]:
    """The finalizer of splitmix64: a hash of many numbers at once."""
    with np.errstate(over="ignore"):
        numbers = (numbers ^ (numbers >> np.uint64(30))) * np.uint64(0xBF58476D1CE4E5B9)
        numbers = (numbers ^ (numbers >> np.uint64(27))) * np.uint64(0x94D049BB133111EB)
    return numbers ^ (numbers >> np.uint64(31))


def hashes(names: list[str]) -> NDArray[np.uint64]:
    """A number of 64 bits for each name."""
    return np.array(
        [int.from_bytes(blake2b(n.encode(), digest_size=8).digest(), "little") for n in names],
        dtype=np.uint64,
    )


class Ring:
    """The nearest servers on one or more rings; the way that quota_gateway.policy.subset goes."""

    def __init__(self, steps: tuple[float, ...]) -> None:
        self.steps, self.places = steps, np.empty(0)

    def choose(self, world: World) -> Fleet:
        rings = len(self.steps)
        if len(self.places) != len(world.names):
            raw = b"".join(blake2b(n.encode(), digest_size=4 * rings).digest() for n in world.names)
            self.places = np.frombuffer(raw, "<u4").reshape(-1, rings) / subset.TURN
        ids, size = np.flatnonzero(world.listed), world.size()
        if size == len(ids):
            return [ids] * world.gateways
        places = self.places[ids]
        orders = [np.argsort(places[:, ring]) for ring in range(rings)]
        sorted_places = [places[order, ring] for ring, order in enumerate(orders)]
        fleet = []
        for gateway in range(world.gateways):
            starts = np.array([gateway * int(step * subset.TURN) % subset.TURN for step in self.steps])
            starts = starts / subset.TURN
            near = np.unique(
                np.concatenate(
                    [
                        order.take(np.arange(first, first + size), mode="wrap")
                        for order, first in (
                            (orders[ring], int(np.searchsorted(sorted_places[ring], starts[ring])))
                            for ring in range(rings)
                        )
                    ]
                )
            )
            distance = ((places[near] - starts) % 1.0).min(axis=1)
            fleet.append(np.sort(ids[near[np.argpartition(distance, size - 1)[:size]]]))
        return fleet


def rendezvous_of_gateways(world: World) -> Fleet:
    """Each gateway takes the servers with the lowest hash of both."""
    ids, size = np.flatnonzero(world.listed), world.size()
    servers = hashes(world.names)[ids]
    if size == len(ids):
        return [ids] * world.gateways
    return [
        np.sort(ids[np.argpartition(mix(servers ^ gateway), size - 1)[:size]])
        for gateway in mix(np.arange(1, world.gateways + 1, dtype=np.uint64))
    ]


def rendezvous_of_servers(world: World) -> Fleet:
    """Each server is taken by as many gateways, those with the lowest hash of both."""
    ids, size = np.flatnonzero(world.listed), world.size()
    if size == len(ids):
        return [ids] * world.gateways
    sharers = ceil(world.gateways * size / len(ids))
    gateways = mix(np.arange(1, world.gateways + 1, dtype=np.uint64))
    takers = np.array(
        [
            np.argpartition(mix(server ^ gateways), sharers - 1)[:sharers]
            for server in hashes(world.names)[ids]
        ]
    )
    order = np.argsort(takers.ravel(), kind="stable")
    bounds = np.searchsorted(takers.ravel()[order], np.arange(1, world.gateways))
    return [np.sort(part) for part in np.split(np.repeat(ids, sharers)[order], bounds)]


def shuffled_rounds(world: World) -> Fleet:
    """Gateways in rounds; each round deals out a shuffle of the whole list, with its number as seed."""
    return _rounds(world, lambda number, ids: np.random.default_rng(number).permutation(ids))


def hashed_rounds(world: World) -> Fleet:
    """The same, but each round's shuffle is an order by hash, so that one server moves the others by one."""
    servers = hashes(world.names)
    return _rounds(
        world,
        lambda number, ids: ids[
            np.argsort(mix(servers[ids] ^ mix(np.array([number + 1], dtype=np.uint64))[0]))
        ],
    )


def _rounds(world: World, shuffle: Callable[[int, Ids], Ids]) -> Fleet:
    ids, size = np.flatnonzero(world.listed), world.size()
    slices, fleet = max(1, len(ids) // size), []
    for number in range(ceil(world.gateways / slices)):
        dealt = shuffle(number, ids)
        fleet += [np.sort(dealt[place * size : (place + 1) * size]) for place in range(slices)]
    return fleet[: world.gateways]


def random_draw(world: World) -> Fleet:
    """Each gateway draws from the list, with its index as seed."""
    ids, size = np.flatnonzero(world.listed), world.size()
    return [
        np.sort(np.random.default_rng(gateway).choice(ids, size, replace=False, shuffle=False))
        for gateway in range(world.gateways)
    ]


WAYS: dict[str, Way] = {
    "one ring": Ring(OWN[:1]).choose,
    "two rings": Ring(OWN[:2]).choose,
    "four rings": Ring(OWN).choose,
    "two rings, one step": Ring((GOLDEN,) * 2).choose,
    "four rings, one step": Ring((GOLDEN,) * 4).choose,
    "rendezvous, gateways": rendezvous_of_gateways,
    "rendezvous, servers": rendezvous_of_servers,
    "shuffled rounds": shuffled_rounds,
    "hashed rounds": hashed_rounds,
    "random draw": random_draw,
}
CHOSEN = "two rings"


def balance(fleet: Fleet, world: World, rng: np.random.Generator) -> dict[str, float]:
    """Of the servers' loads: worst and 99.9th of a hundred to the mean, with even and uneven gateways."""
    flat, sizes = np.concatenate(fleet), np.array([len(own) for own in fleet])

    def loads(traffic: NDArray[np.float64]) -> NDArray[np.float64]:
        parts = np.repeat(traffic / np.maximum(1, sizes), sizes)
        load = np.bincount(flat, parts, len(world.names))[world.listed]
        return np.asarray(load / load.mean())

    even = loads(np.ones(len(fleet)))
    uneven = [loads(rng.gamma(1.0, size=len(fleet))) for _ in range(DRAWS)]
    settled = [settle(fleet, world, rng.gamma(1.0, size=len(fleet))) for _ in range(SETTLED)]
    sharers = np.bincount(flat, minlength=len(world.names))[world.listed]
    return {
        "max": float(even.max()),
        "p99.9": float(np.quantile(even, 0.999)),
        "uneven max": float(np.mean([load.max() for load in uneven])),
        "uneven p99.9": float(np.mean([np.quantile(load, 0.999) for load in uneven])),
        "settled max": float(np.mean([load.max() for load in settled])),
        "settled p99.9": float(np.mean([np.quantile(load, 0.999) for load in settled])),
        "least sharers": float(sharers.min()),
        "mean sharers": float(sharers.mean()),
        "least size": float(sizes.min()),
        "most size": float(sizes.max()),
    }


def settle(fleet: Fleet, world: World, traffic: NDArray[np.float64]) -> NDArray[np.float64]:
    """The servers' loads, by the mean, once gateways have moved their traffic to those of theirs with less.

    As they do that choose by what answers show; where neighbours share all servers there is no such server.
    """
    flat, owner = np.concatenate(fleet), np.repeat(np.arange(len(fleet)), [len(own) for own in fleet])
    part = np.ones(len(flat))
    for _ in range(STEPS + 1):
        part *= (traffic / np.maximum(1e-12, np.bincount(owner, part, len(fleet))))[owner]
        load = np.bincount(flat, part, len(world.names)).astype(float)
        load = load / load[world.listed].mean()
        part /= np.sqrt(np.maximum(1e-6, load))[flat]
    return np.asarray(load[world.listed])


def lost(fleet: Fleet, world: World, rng: np.random.Generator) -> dict[str, float]:
    """The least part of its subset that a gateway keeps when a zone, region or rack goes, by the mean."""
    zones = rng.permutation(len(world.names)) % ZONES
    places = {
        "zone": zones,
        "region": zones % REGIONS,
        "rack": zones + ZONES * (rng.permutation(len(world.names)) // (RACK * ZONES)),
    }
    left = {}
    for name, where in places.items():
        count = int(where.max()) + 1
        gone = max(float(np.bincount(where[own], minlength=count).max()) / max(1, len(own)) for own in fleet)
        total = float(np.bincount(where[world.listed]).max()) / world.listed.sum()
        left[f"{name} left"] = (1.0 - gone) / (1.0 - total)
    return left


def churn(old: Fleet, new: Fleet) -> float:
    """Share of the entries of gateways in both fleets that are new."""
    both = min(len(old), len(new))
    fresh = sum(
        len(after) - len(np.intersect1d(before, after, assume_unique=True))
        for before, after in zip(old[:both], new[:both], strict=True)
    )
    return fresh / max(1, sum(len(own) for own in old[:both]))


def changes(choose: Way, world: World, fleet: Fleet, rng: np.random.Generator) -> dict[str, float]:
    """Churn by kind of change."""
    ids, spare = np.flatnonzero(world.listed), np.flatnonzero(~world.listed)
    more = World(world.names, world.listed, world.gateways + 1, world.least)
    fewer = World(world.names, world.listed, world.gateways - 1, world.least)
    part = max(1, len(ids) // 100)
    down = rng.choice(ids, part, replace=False)
    return {
        "server goes": float(
            np.mean(
                [churn(fleet, choose(world.but([s], False))) for s in rng.choice(ids, DELTA, replace=False)]
            )
        ),
        "server comes": float(np.mean([churn(fleet, choose(world.but([s], True))) for s in spare[:DELTA]])),
        "gateway goes": churn(fleet, choose(fewer)),
        "gateway comes": churn(fleet, choose(more)),
        "1% down": churn(
            fleet, choose(World(world.names, world.but(down, False).listed, world.gateways, world.size()))
        ),  # they stay listed, so the size stays
        "1% replaced": churn(fleet, choose(world.but(down, False).but(spare[:part], True))),
    }


def timed(world: World) -> dict[str, dict[str, float]]:
    """Microseconds a row, in plain Python as a gateway would do it; once, and the machine may be busy."""
    names = [name for name, listed in zip(world.names, world.listed, strict=True) if listed]
    chosen = subset.Subset(world.gateways, world.gateways // 2, world.least)
    size = chosen.size(len(names))
    sharers = min(world.gateways, ceil(chosen.sharers(len(names))))

    def both(name: str, gateway: int) -> bytes:
        return blake2b(f"{name} {gateway}".encode(), digest_size=8).digest()

    def stream() -> None:
        nearest = NearestEndpoints(chosen)
        for name in names:
            nearest.offer(name)

    ways: dict[str, tuple[int, Callable[[], Any]]] = {
        CHOSEN: (len(names), stream),
        "rendezvous, gateways": (len(names), lambda: nsmallest(size, names, key=lambda name: both(name, 1))),
        "rendezvous, servers": (
            min(ROWS, len(names)),
            lambda: [
                nsmallest(sharers, range(world.gateways), key=partial(both, name)) for name in names[:ROWS]
            ],
        ),
        "shuffled rounds": (len(names), lambda: random.Random(1).shuffle(sorted(names))),
        "hashed rounds": (len(names), lambda: sorted(names, key=lambda name: both(name, 1))),
        "random draw": (len(names), lambda: random.Random(1).sample(sorted(names), size)),
    }
    times = {}
    for name, (rows, run) in ways.items():
        begun = time.perf_counter()
        run()
        spent = time.perf_counter() - begun
        whole = spent * len(names) / rows * 1e3
        anew = name in ("shuffled rounds", "hashed rounds", "random draw")  # the whole list is needed again
        times[name] = {
            "us a row": spent / rows * 1e6,
            "ms a list": whole,
            "us a change": whole * 1e3 if anew else spent / rows * 1e6,
        }
    return times


def agree(world: World, fleet: Fleet) -> None:
    """The chosen way, as numbers here and as the gateway does it, gives the same; RuntimeError if not."""
    for gateway in range(0, world.gateways, max(1, world.gateways // 5)):
        nearest = NearestEndpoints(subset.Subset(world.gateways, gateway, world.least))
        for index in np.flatnonzero(world.listed):
            nearest.offer(world.names[index])
        if sorted(list(nearest)[: world.size()]) != [world.names[index] for index in fleet[gateway]]:
            raise RuntimeError(f"gateway {gateway}: the comparison and the module choose different servers")


def compare(gateways: int, servers: int, seed: int, least: int, ways: list[str]) -> dict[str, Any]:
    """Every figure of every way."""
    drawn, spare = random.Random(seed), max(DELTA, servers // 100)
    names: set[str] = set()
    while len(names) < servers + spare:
        names.add(f"s-{drawn.getrandbits(32):08x}")
    world = World(sorted(names), np.ones(servers + spare, dtype=bool), gateways, least)
    world = world.but(drawn.sample(range(servers + spare), spare), False)
    result: dict[str, Any] = {
        "gateways": gateways,
        "servers": servers,
        "seed": seed,
        "size": world.size(),
        "ways": {},
    }
    times = timed(world)
    for name in ways:
        choose, rng = WAYS[name], np.random.default_rng(seed)
        fleet = choose(world)
        if name == CHOSEN:
            agree(world, fleet)
        result["ways"][name] = {
            **balance(fleet, world, rng),
            **lost(fleet, world, rng),
            **changes(choose, world, fleet, rng),
            **times.get(name, {}),
        }
    return result


def table(result: dict[str, Any]) -> str:
    """The figures, a way a column."""
    ways = result["ways"]
    keys = list(dict.fromkeys(key for figures in ways.values() for key in figures))
    lines = [
        f"{result['gateways']} gateways, {result['servers']} servers, seed {result['seed']}: "
        f"{result['size']} servers for each gateway",
        " " * 14 + "".join(f"{name:>22}" for name in ways),
    ]
    for key in keys:
        cells = (f"{ways[name][key]:.4g}" if key in ways[name] else "-" for name in ways)
        lines.append(f"{key:14}" + "".join(f"{cell:>22}" for cell in cells))
    return "\n".join(lines)


def main() -> None:
    """Reads the flags, prints the table, writes the JSON."""
    parser = argparse.ArgumentParser(prog="scale.subsets", description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--gateways", type=int, default=500)
    parser.add_argument("--servers", type=int, default=5000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--least", type=int, default=subset.LEAST, help="the smallest subset, in servers")
    parser.add_argument("--way", action="append", choices=list(WAYS), help="only this one; may be repeated")
    parser.add_argument("--json", type=Path, help="where the figures are written to")
    given = parser.parse_args()
    for flag, least in (("gateways", 2), ("servers", RACK), ("least", 1)):
        if getattr(given, flag) < least:
            parser.error(f"--{flag} is at least {least}")
    result = compare(given.gateways, given.servers, given.seed, given.least, given.way or list(WAYS))
    print(table(result))
    if given.json:
        given.json.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()
