"""The slopes: what each role's cost grows by, measured size by size on real and hollow gateways."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from math import ceil, isfinite
from typing import Any

from scale import gateways
from scale.config import Config
from scale.processes import MEGABYTE, Child, Children
from scale.results import Book

Step = Callable[[str], None]
HEARD_S = 60.0  # for a list or a change to be in force
CHANGE_GAP_S = 0.02  # between two versions, where each is to be read alone
AT_99 = 0.99
REFUSED_S = 10.0
ZONE_S = 1.0  # that a zone is lost for
MOST_UNSERVED = 0.1  # of the requests, beside which a latency of the others still tells something
QUOTA, AT_ONCE_MS, REQUESTS = 100.0, 0.01, 4_000  # units a second; between two requests; for each size
PARTS = ("p50_ms", "p99_ms", "p99.9_ms")


class Bench:
    """A run's children as the measures need them: servers once, the others anew for each size."""

    def __init__(self, config: Config, children: Children, book: Book, step: Step) -> None:
        self.config, self.children, self.book, self.step = config, children, book, step
        self.servers: Child
        self.load: Child
        self.ports: list[int] = []

    async def begin(self) -> None:
        """Start the servers and the load."""
        seed, fleet, load = self.config.seed, self.config.fleet, self.config.load
        self.servers, self.ports = await self.children.child(
            "servers", seed=seed, number=fleet.ports, service_ms=load.service_ms
        )
        self.load = await self.new_load()

    async def new_load(self) -> Child:
        """A process that sends load."""
        load, _ = await self.children.child(
            "load", plan="plan", class_name="class-0", deadline_ms=self.config.load.deadline_ms, spread=1
        )
        return load

    async def discovery(self, servers: int) -> tuple[Child, int]:
        """A discovery of so many servers, and its port."""
        child, port = await self.children.child(
            "discovery",
            seed=self.config.seed,
            servers=servers,
            ports=self.ports,
            zone_count=self.config.fleet.zones,
        )
        return child, int(port)

    async def real(self, discovery: int, servers: int, number: int = 0) -> gateways.Real:
        """A real gateway that is ready, of as many as stand before so many servers."""
        told = self.config.fleet.told(servers)
        real = await gateways.start(self.children, number, told, discovery, self.config.seed)
        await real.ready()
        await real.settled()
        return real

    async def hollow(self, servers: int, first: int, number: int, kind: str) -> Child:
        """A process of hollow gateways before so many servers, whose watches are to be begun."""
        child, _ = await self.children.child(
            "hollow",
            document=gateways.document(self.config.fleet.told(servers), 0, "a"),
            kind=kind,
            first=first,
            number=number,
            zone_count=self.config.fleet.zones,
        )
        return child

    async def run_load(
        self,
        label: str,
        ports: Sequence[int],
        seed: int,
        rate: float,
        by: Child | None = None,
    ) -> dict[str, Any]:
        """One phase of the load, to these ports; its report and the label's so far."""
        load = self.config.load
        report: dict[str, Any] = await (by or self.load).call(
            "run",
            patience_s=load.seconds + load.deadline_ms / 1000.0 + 30.0,
            label=label,
            ports=list(ports),
            seed=seed,
            rate=rate,
            seconds=load.seconds,
            tenants=load.tenants,
            skew=load.skew,
        )
        return report


async def added_latency(bench: Bench, label: str, port: int, rate: float) -> dict[str, Any]:
    """The same load straight to the servers and through a gateway by turns; what it adds, phase by phase.

    The machine is used by others too, and its tails come and go: the median over phases tells more than one.
    """
    straight: dict[str, Any] = {}
    through: dict[str, Any] = {}
    added: dict[str, list[float]] = {part: [] for part in PARTS}
    listed, opened = bench.ports[: bench.config.fleet.servers], 0
    for phase in range(bench.config.load.phases):
        seed = bench.config.seed * 1000 + phase
        straight = await bench.run_load(f"{label} straight", listed, seed, rate)
        before = (await bench.servers.call("stats"))["opened"]
        through = await bench.run_load(f"{label} through", [port], seed, rate)
        opened += (await bench.servers.call("stats"))["opened"] - before
        for part, values in added.items():
            values.append(through["phase"][part] - straight["phase"][part])
    return {"straight": straight["whole"], "through": through["whole"], "added": added, "opened": opened}


async def by_list(bench: Bench) -> None:
    """A real gateway by the length of the list: reading it, changes, load, connections."""
    config, book = bench.config, bench.book
    for size in config.slopes.lists:
        bench.step(f"a real gateway and {size} servers")
        discovery, port = await bench.discovery(1)
        real = await bench.real(port, size)
        before, ended = real.process.usage(), (await discovery.call("stats"))["counts"].get("ended", 0)
        listed = await discovery.call("resize", servers=size)
        await asyncio.sleep(1.5)  # its watch ended: it comes back within AGENT_S
        await real.settled()
        after, counts = real.process.usage(), (await discovery.call("stats"))["counts"]
        book.add("discovery.list", "servers", "bytes", size, [listed["bytes"]])
        refused = real.says("a line without end")
        if refused or counts.get("ended", 0) > ended + 1:
            await _refused(bench, discovery, real, size)
            for name, unit in (("list_cpu", "ms"), ("list_memory", "MB"), ("change_cpu", "ms")):
                book.add(f"gateway.{name}", "servers", unit, size, [], f"refused {refused} times")
        else:
            book.add("gateway.list_cpu", "servers", "ms", size, [1000.0 * (after.cpu_s - before.cpu_s)])
            book.add("gateway.list_memory", "servers", "MB", size, [(after.rss - before.rss) / MEGABYTE])
            book.add("gateway.memory", "servers", "MB", size, [after.rss / MEGABYTE])
            book.add("gateway.memory_peak", "servers", "MB", size, [after.peak / MEGABYTE])
            await _changes(bench, discovery, real, size)
            await bench.children.end(real.process)
            real = await bench.real(port, size)  # its first list says what it may have out
            book.add("gateway.start_cpu", "servers", "ms", size, [1000.0 * real.process.usage().cpu_s])
            await _loaded(bench, real, size)
        await bench.children.end(discovery, real.process)


async def _refused(bench: Bench, discovery: Child, real: gateways.Real, size: int) -> None:
    """What a list that is refused costs, as it is asked for again and again."""
    before, first = real.process.usage(), (await discovery.call("stats"))["counts"]
    await asyncio.sleep(REFUSED_S)
    after, last = real.process.usage(), (await discovery.call("stats"))["counts"]
    asked = last["first_lines"] - first["first_lines"]
    sent, spent = last["first_bytes"] - first["first_bytes"], after.cpu_s - before.cpu_s
    bench.book.add("gateway.refused_asked", "servers", "times/s", size, [asked / REFUSED_S])
    bench.book.add("gateway.refused_sent", "servers", "bytes/s", size, [sent / REFUSED_S])
    bench.book.add("gateway.refused_cpu", "servers", "ms/s", size, [1000.0 * spent / REFUSED_S])


async def _changes(bench: Bench, discovery: Child, real: gateways.Real, size: int) -> None:
    """What one change costs a real gateway, and how many bytes it is."""
    costs, versions = [], bench.config.slopes.versions
    for _ in range(bench.config.slopes.repeats):
        before = real.process.usage()
        done = await discovery.call("change", versions=versions, gap_s=CHANGE_GAP_S)
        await real.settled()
        costs.append(1000.0 * (real.process.usage().cpu_s - before.cpu_s) / versions)
    bench.book.add("gateway.change_cpu", "servers", "ms", size, costs)
    bench.book.add("gateway.change", "servers", "bytes", size, [done["counts"]["change_bytes"] / versions])


async def _loaded(bench: Bench, real: gateways.Real, size: int) -> None:
    """Load over a list of this size: latency added, processor time of a request, connections."""
    await bench.servers.call("forget")
    before, rate = real.process.usage(), bench.config.load.rate
    found = await added_latency(bench, f"{size} servers", real.port, rate)
    after, stats = real.process.usage(), await bench.servers.call("stats")
    _latency(bench, found, "servers", size)
    served = found["through"]["counts"].get("served", 0)
    bench.book.add(
        "gateway.request_cpu", "servers", "us", size, [1e6 * (after.cpu_s - before.cpu_s) / max(1, served)]
    )
    bench.book.add("gateway.sockets", "servers", "sockets", size, [after.sockets])
    bench.book.add("server.most_connections", "servers", "connections", size, [stats["most_per_server"]])


def _latency(bench: Bench, found: dict[str, Any], by: str, size: float) -> None:
    """Latency that is added, and what was not served; where that is a lot, the latency tells nothing."""
    worst = 0.0
    for way in ("straight", "through"):
        counts = found[way]["counts"]
        unserved = 1.0 - counts.get("served", 0) / max(1, sum(counts.values()))
        worst = max(worst, unserved)
        bench.book.add(f"load.{way}_p99", by, "ms", size, [found[way]["p99_ms"]])
        bench.book.add(f"load.{way}_unserved", by, "share", size, [unserved])
        others = {what: number for what, number in counts.items() if what != "served"}
        if others:
            bench.book.figures[f"{way} at {size:g} {by}: unserved"] = ", ".join(
                f"{what} {number}" for what, number in sorted(others.items())
            )
    note = f"{worst:.0%} unserved" if worst > MOST_UNSERVED else ""
    for part, values in found["added"].items():
        name = f"gateway.added_{part.removesuffix('_ms')}"
        bench.book.add(name, by, "ms", size, [] if note else values, note)
    served = found["through"]["counts"].get("served", 0)
    bench.book.add("gateway.handshakes", by, "connections/request", size, [found["opened"] / max(1, served)])


async def by_rate(bench: Bench) -> None:
    """Latency that one real gateway adds, by the requests a second that come to it."""
    servers = min(bench.config.fleet.servers, len(bench.ports))
    discovery, port = await bench.discovery(servers)
    real = await bench.real(port, servers)
    for rate in bench.config.slopes.rates:
        bench.step(f"{rate} requests/s through a real gateway")
        before = real.process.usage()
        found = await added_latency(bench, f"{rate}/s", real.port, float(rate))
        after = real.process.usage()
        _latency(bench, found, "requests/s", rate)
        seconds = bench.config.load.seconds * bench.config.load.phases
        bench.book.add(
            "gateway.cpu", "requests/s", "ms/s", rate, [1000.0 * (after.cpu_s - before.cpu_s) / seconds]
        )
        bench.book.add("gateway.sockets", "requests/s", "sockets", rate, [after.sockets])
    await bench.children.end(discovery, real.process)


async def stalls(bench: Bench) -> None:
    """How long the loop stands still, by size of list and by size of change; a hollow gateway has it."""
    config = bench.config
    for size in config.slopes.lists:
        bench.step(f"the loop's stall at {size} servers")
        await _stall(bench, size, "servers", size, 1)
    middle = config.slopes.lists[len(config.slopes.lists) // 2]
    for rows in config.slopes.changes:
        bench.step(f"the loop's stall at changes of {rows} rows")
        await _stall(bench, middle, f"rows changed of {middle}", rows, min(rows, middle))


async def _stall(bench: Bench, servers: int, by: str, size: int, rows: int) -> None:
    discovery, port = await bench.discovery(1)
    hollow = await bench.hollow(servers, 0, 1, "gateway")
    await hollow.call("watch", port=port)
    await hollow.call("heard", version=1, within_s=5.0)
    lists, walls, changes = [], [], []
    for _ in range(bench.config.slopes.repeats):
        await hollow.call("probe_begin")
        listed = await discovery.call("resize", servers=servers)
        heard = await hollow.call("heard", version=listed["version"], within_s=8.0)
        stall = await hollow.call("probe_end")
        if not heard["have"]:
            break
        lists.append(stall["cpu_ms"])
        walls.append(stall["wall_ms"])
        await hollow.call("probe_begin")
        done = await discovery.call("change", rows=rows, versions=1)
        await hollow.call("heard", version=done["last"], within_s=HEARD_S)
        changes.append((await hollow.call("probe_end"))["cpu_ms"])
    note = "" if lists else "refused: not heard within 8 s"
    if by == "servers":
        bench.book.add("gateway.list_stall", by, "ms", size, lists, note)
        bench.book.add("gateway.list_stall_wall", by, "ms", size, walls, note)
    bench.book.add("gateway.change_stall", by, "ms", size, changes, note)
    await bench.children.end(discovery, hollow)


async def by_tenants_and_routes(bench: Bench) -> None:
    """The decisions alone, by customers seen and by classes, the nearest that the gateway has to routes.

    Customers come at the load's rate, and all at once: the first shows how many a gateway holds, the second
    what one of them takes.
    """
    config, book, gap_ms = bench.config, bench.book, 1000.0 / bench.config.load.rate
    for tenants in config.slopes.tenants:
        bench.step(f"{tenants} customers")
        found = await _decide(bench, gateways.document(1, 0, "a", quota=QUOTA), tenants, tenants, gap_ms)
        book.add("gateway.tenants_held", "tenants seen", "tenants", tenants, [found["held"]])
        book.add("gateway.request_cpu", "tenants seen", "us", tenants, [found["cpu_us"]])
        found = await _decide(bench, gateways.document(1, 0, "a", quota=QUOTA), tenants, tenants, AT_ONCE_MS)
        book.add("gateway.memory", "tenants held", "bytes", found["held"], [found["memory"]])
    for classes in config.slopes.routes:
        bench.step(f"{classes} classes")
        found = await _decide(bench, gateways.document(1, 0, "a", classes), 100, REQUESTS, gap_ms)
        book.add("gateway.memory", "routes", "bytes", classes, [found["memory"]])
        book.add("gateway.request_cpu", "routes", "us", classes, [found["cpu_us"]])


async def _decide(
    bench: Bench,
    document: dict[str, Any],
    tenants: int,
    requests: int,
    gap_ms: float,
) -> dict[str, Any]:
    """What so many requests cost the decisions, in a process of its own."""
    module, _ = await bench.children.child("module", document=document, servers=20)
    found: dict[str, Any] = await module.call(
        "ask", patience_s=600.0, tenants=tenants, requests=requests, gap_ms=gap_ms
    )
    await bench.children.end(module)
    return found


def in_force(published: Sequence[Sequence[float]], heard: Sequence[Sequence[Sequence[float]]]) -> list[float]:
    """For each version the seconds until it, or a later one, was in force at 99 in 100 gateways.

    ``published``: versions and when; ``heard``: for each gateway its versions and when. A version that 99 in
    100 never had counts as infinite.
    """
    waits = []
    for version, since in published:
        times = sorted(
            next((at - since for had, at in gateway if had >= version), float("inf")) for gateway in heard
        )
        waits.append(times[ceil(AT_99 * len(times)) - 1])
    return waits


async def fleet(bench: Bench, discovery: int, number: int) -> list[Child]:
    """So many hollow gateways, begun and with a list."""
    config, hollows = bench.config.fleet, []
    for first in range(0, number, config.hollow_per_process):
        hollows.append(
            await bench.hollow(
                config.servers, first, min(config.hollow_per_process, number - first), config.hollow_kind
            )
        )
    await asyncio.gather(*(hollow.call("watch", port=discovery) for hollow in hollows))
    await asyncio.gather(*(hollow.call("heard", within_s=HEARD_S, version=1) for hollow in hollows))
    return hollows


async def by_fleet(bench: Bench) -> None:
    """Discovery and the news, by the number of gateways that watch."""
    config = bench.config
    for number in config.slopes.fleets:
        bench.step(f"{number} hollow gateways")
        discovery, port = await bench.discovery(config.fleet.servers)
        hollows = await fleet(bench, port, number)
        await asyncio.gather(*(hollow.call("told") for hollow in hollows))
        before, versions, book = discovery.usage(), config.slopes.versions, bench.book
        done = await discovery.call("change", versions=versions, gap_s=config.slopes.spread_gap_s)
        await _news(bench, discovery, hollows, "in_force", done["first"], done["last"])
        after = discovery.usage()
        spent, sent = after.cpu_s - before.cpu_s, done["counts"]["change_bytes"]
        book.add("discovery.change_cpu", "gateways", "ms", number, [1000.0 * spent / versions])
        book.add("discovery.change_sent", "gateways", "bytes", number, [sent / versions])
        book.add("discovery.memory", "gateways", "MB", number, [after.rss / MEGABYTE])
        lost = await discovery.call("fault", kind="lose_zone", zone="a", for_s=ZONE_S)
        await _news(bench, discovery, hollows, "zone", lost["before"] + 1, lost["last"])
        anew = await discovery.call("resize", servers=config.fleet.servers)
        await _news(bench, discovery, hollows, "return", anew["version"], anew["version"])
        await bench.children.end(discovery, *hollows)


async def _news(
    bench: Bench,
    discovery: Child,
    hollows: list[Child],
    name: str,
    first: int,
    last: int,
) -> None:
    """How soon these versions were in force at 99 in 100 gateways: the median over them, and the worst."""
    await asyncio.gather(*(hollow.call("heard", version=last, within_s=HEARD_S) for hollow in hollows))
    told = [await hollow.call("told") for hollow in hollows]
    heard = [versions for part in told for versions in part["heard"]]
    published = [
        (version, at)
        for version, at in (await discovery.call("stats"))["published"]
        if first <= version <= last
    ]
    waits = in_force(published, heard)
    known = [1000.0 * wait for wait in waits if isfinite(wait)]
    note = "" if len(known) == len(waits) else f"{len(waits) - len(known)} versions never in force"
    bench.book.add(f"fleet.{name}_99", "gateways", "ms", len(heard), known, note)
    bench.book.add(f"fleet.{name}_99_worst", "gateways", "ms", len(heard), [] if note else [max(known)], note)


async def by_reals(bench: Bench) -> None:
    """Connections to a server, by the number of real gateways that send load to the same servers at once."""
    config = bench.config
    servers = min(config.fleet.servers, len(bench.ports))
    loads = [bench.load]
    for number in config.slopes.reals:
        bench.step(f"{number} real gateways before {servers} servers")
        discovery, port = await bench.discovery(servers)
        reals = [await bench.real(port, servers, index) for index in range(number)]
        while len(loads) < number:
            loads.append(await bench.new_load())
        await bench.servers.call("forget")
        await asyncio.gather(
            *(
                bench.run_load("reals", [real.port], 1000 * index, config.load.rate, load)
                for index, (real, load) in enumerate(zip(reals, loads, strict=False))
            )
        )
        stats = await bench.servers.call("stats")
        bench.book.add(
            "server.connections", "real gateways", "connections", number, [stats["connections"] / servers]
        )
        bench.book.add(
            "server.connections_worst", "real gateways", "connections", number, [stats["most_per_server"]]
        )
        await bench.children.end(discovery, *(real.process for real in reals))


MEASURES = {
    "list": by_list,
    "stall": stalls,
    "module": by_tenants_and_routes,
    "fleet": by_fleet,
    "rate": by_rate,
    "reals": by_reals,
}


def steps(config: Config, names: Sequence[str]) -> int:
    """How many steps these measures take."""
    slopes = config.slopes
    sizes = {
        "list": len(slopes.lists),
        "stall": len(slopes.lists) + len(slopes.changes),
        "module": len(slopes.tenants) + len(slopes.routes),
        "fleet": len(slopes.fleets),
        "rate": len(slopes.rates),
        "reals": len(slopes.reals),
    }
    return sum(sizes[name] for name in names)
