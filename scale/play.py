"""One play: a fleet under a day's churn and faults at a chosen speed-up, with load, measured as a whole."""

from __future__ import annotations

import asyncio
from math import isfinite
from statistics import median
from typing import Any

import msgspec

from scale import slopes
from scale.processes import MEGABYTE, Child

TAIL_S = 8.0  # after the load: what discovery has to tell counts as told 6 s on (PROTOCOL, Figures)


async def play(bench: slopes.Bench) -> None:
    """Start all, let churn and faults run beside the load, and note what it cost."""
    config, book = bench.config, bench.book
    bench.step(f"{config.fleet.real} real and {config.fleet.hollow} hollow gateways start")
    discovery, port = await bench.discovery(config.fleet.servers)
    reals = [await bench.real(port, config.fleet.servers, number) for number in range(config.fleet.real)]
    hollows = await slopes.fleet(bench, port, config.fleet.hollow)
    await asyncio.gather(*(hollow.call("told") for hollow in hollows))
    before = [process.usage() for process in (discovery, *hollows, *(real.process for real in reals))]
    load_s = 2 * config.load.phases * len(reals) * (config.load.seconds + 0.2)
    seconds = max(load_s, max((fault.at_s + fault.for_s for fault in config.faults), default=0.0))
    bench.step(f"churn for {seconds:.0f} s at {config.churn.speedup:g} times a day's speed, with load")
    loop = asyncio.get_running_loop()
    start = loop.time()
    begun = await discovery.call("play", config=msgspec.to_builtins(config), seconds=seconds)
    asked = [loop.create_task(_ask(bench, hollow, number, seconds)) for number, hollow in enumerate(hollows)]
    for number, real in enumerate(reals):
        found = await slopes.added_latency(bench, f"play {number}", real.port, config.load.rate)
        _latency(book.figures, f"gateway {number}", found)
    for answers in await asyncio.gather(*asked):
        for what, number in answers.items():
            name = f"hollow gateways: {what}"
            book.figures[name] = book.figures.get(name, 0) + number
    bench.step(f"the news settles for {TAIL_S:g} s")
    await asyncio.sleep(TAIL_S)
    after = [process.usage() for process in (discovery, *hollows, *(real.process for real in reals))]
    wall_s = loop.time() - start
    spent = [1000.0 * (late.cpu_s - early.cpu_s) / wall_s for early, late in zip(before, after, strict=True)]
    stats, servers = await discovery.call("stats"), await bench.servers.call("stats")
    book.figures |= {
        **{f"events: {kind}": number for kind, number in sorted(begun.items())},
        "versions published": len(stats["published"]),
        "servers listed at the end": stats["servers"],
        "watches open at the end": stats["watching"],
        "watches ended": stats["counts"].get("ended", 0),
        "discovery: cpu ms/s": spent[0],
        "discovery: memory MB": after[0].rss / MEGABYTE,
        "discovery: MB sent": sum(
            number for name, number in stats["counts"].items() if name.endswith("_bytes")
        )
        / MEGABYTE,
        "servers: most connections to one": servers["most_per_server"],
        "servers: connections opened": servers["opened"],
        "servers: requests turned away": servers["refused"],
        "servers: used": servers["used"],
    }
    for number, real in enumerate(reals):
        use = after[len(after) - len(reals) + number]
        book.figures |= {
            f"gateway {number}: cpu ms/s": spent[len(after) - len(reals) + number],
            f"gateway {number}: memory MB": use.rss / MEGABYTE,
            f"gateway {number}: sockets": use.sockets,
            f"gateway {number}: lines of errors": real.says(" ERROR "),
        }
    await _news(bench, stats, hollows)


async def _ask(bench: slopes.Bench, hollow: Child, number: int, seconds: float) -> dict[str, int]:
    """Load at the hollow gateways of one process, which hold their own connections to the servers."""
    load, config = bench.config.load, bench.config
    if not load.hollow_rate or config.fleet.hollow_kind != "gateway":
        await asyncio.sleep(seconds)
        return {}
    answers: dict[str, int] = await hollow.call(
        "ask",
        patience_s=seconds + 60.0,
        rate=load.hollow_rate,
        seconds=seconds,
        seed=config.seed * 1_000 + number,
        tenants=load.tenants,
        skew=load.skew,
    )
    return answers


def _latency(figures: dict[str, Any], name: str, found: dict[str, Any]) -> None:
    for part in slopes.PARTS:
        for way in ("straight", "through"):
            figures[f"{name}: {way} {part.replace('_', ' ')}"] = float(found[way][part])
        figures[f"{name}: added {part.replace('_', ' ')}, median of phases"] = median(found["added"][part])
    for way in ("straight", "through"):
        figures[f"{name}: {way} requests"] = ", ".join(
            f"{what} {number}" for what, number in sorted(found[way]["counts"].items())
        )


async def _news(bench: slopes.Bench, stats: dict[str, Any], hollows: list[Child]) -> None:
    """How soon the versions were in force at 99 in 100 of the hollow gateways."""
    told = [await hollow.call("told") for hollow in hollows]
    heard = [versions for part in told for versions in part["heard"]]
    waits = sorted(slopes.in_force(stats["published"], heard)) if heard else []
    known = [wait for wait in waits if isfinite(wait)]
    if known:
        bench.book.figures |= {
            "in force at 99 in 100: median ms": 1000.0 * known[len(known) // 2],
            "in force at 99 in 100: worst ms": 1000.0 * known[-1],
        }
    bench.book.figures["versions never in force at 99 in 100"] = len(waits) - len(known)
