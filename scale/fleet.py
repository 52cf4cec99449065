"""The servers that discovery lists, their versions (PROTOCOL, Discovery), and a day's churn from a seed."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from typing import Literal, NamedTuple

import msgspec

from scale.config import Churn, zones

HISTORY = 20_000  # versions that a watch can ask to go on from; before them it gets the whole list
DAY_S = 86_400.0
EventKind = Literal["change", "restart", "failure"]


class Row(msgspec.Struct, frozen=True, rename="camel"):
    """A server as discovery lists it; ``started_at_ms`` in Unix time, 0 if long ago."""

    instance_id: str
    host_port: str
    zone: str
    machine_type: str
    cell: int
    lifecycle: Literal["Ready", "Terminating", "Gone"]
    weight: float
    started_at_ms: int


class Event(NamedTuple):
    """A thing that happens to a server: seconds from the start, what, and a draw that picks the server."""

    at_s: float
    kind: EventKind
    draw: float


def churn(seed: int, churn: Churn, seconds: float) -> list[Event]:
    """What happens in so many seconds of the run, in order; the same seed gives the same."""
    source, events = random.Random(f"churn {seed}"), []
    kinds: tuple[tuple[EventKind, float], ...] = (
        ("change", churn.changes_per_day),
        ("restart", churn.restarts_per_day),
        ("failure", churn.failures_per_day),
    )
    for kind, per_day in kinds:
        rate, at_s = per_day * churn.speedup / DAY_S, 0.0
        while rate and (at_s := at_s + source.expovariate(rate)) < seconds:
            events.append(Event(at_s, kind, source.random()))
    return sorted(events)


def rows(seed: int, number: int, ports: Iterable[int], zone_count: int) -> list[Row]:
    """So many servers, spread over the zones, that share these ports; the same seed gives the same."""
    source, names, listened = random.Random(f"rows {seed}"), zones(zone_count), list(ports)
    return [
        Row(
            f"s-{index:04x}{source.getrandbits(16):04x}",
            f"127.0.0.1:{listened[index % len(listened)]}",
            names[index % len(names)],
            f"m{source.randint(1, 3)}",
            index // 40,
            "Ready",
            1.0,
            0,
        )
        for index in range(number)
    ]


class Catalogue:
    """What discovery knows: the rows by name, their version, and what changed with each version lately."""

    def __init__(self, listed: Iterable[Row], version: int = 1) -> None:
        self.rows: dict[str, Row] = {}
        self.encoded: dict[str, bytes] = {}
        self.history: deque[tuple[int, dict[str, bytes]]] = deque(maxlen=HISTORY)
        self.version = version
        self.since_version = version  # the first that a watch can go on from
        self._whole: tuple[int, bytes] = (-1, b"")
        self._put(listed)

    def _put(self, changed: Iterable[Row]) -> dict[str, bytes]:
        lines = {}
        for row in changed:
            lines[row.instance_id] = line = msgspec.json.encode(row)
            if row.lifecycle == "Gone":
                self.rows.pop(row.instance_id, None)
                self.encoded.pop(row.instance_id, None)
            else:
                self.rows[row.instance_id] = row
                self.encoded[row.instance_id] = line
        return lines

    def change(self, changed: Iterable[Row]) -> int:
        """Take these rows in as one version; its number."""
        self.version += 1
        if len(self.history) == self.history.maxlen:
            self.since_version = self.history[0][0]
        self.history.append((self.version, self._put(changed)))
        return self.version

    def replace(self, listed: Iterable[Row]) -> None:
        """Another list altogether, which no watch can go on to: each gets it whole."""
        self.rows.clear()
        self.encoded.clear()
        self.history.clear()
        self._put(listed)
        self.version += 1
        self.since_version = self.version

    def whole(self) -> bytes:
        """The whole list as one line."""
        if self._whole[0] != self.version:
            self._whole = self.version, self._line(True, self.encoded.values())
        return self._whole[1]

    def after(self, version: int | None) -> bytes:
        """The first line of a watch: what changed after that version; the whole list if it is unknown."""
        if version is None or not self.since_version <= version <= self.version:
            return self.whole()
        changed: dict[str, bytes] = {}
        for number, lines in reversed(self.history):
            if number <= version:
                break
            changed = lines | changed
        return self._line(False, changed.values())

    def _line(self, reset: bool, lines: Iterable[bytes]) -> bytes:
        return b'{"generation":%d,"reset":%s,"instances":[%b]}\n' % (
            self.version,
            b"true" if reset else b"false",
            b",".join(lines),
        )
