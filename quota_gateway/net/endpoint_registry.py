"""Discovery's lists: which servers they name, the rows of those this gateway works with, their numbers.

A list of any length is read, and a row costs no more than its name where the server is none of the nearest
of this gateway's subset. What is short is read at once, what is long in pieces, see LongDocument.
"""

from __future__ import annotations

import logging
import socket
from collections.abc import Iterator
from itertools import count, islice
from math import isfinite
from typing import Any

import ijson

from quota_gateway import model as api
from quota_gateway.net.address import Address
from quota_gateway.policy.subset import NearestEndpoints, Subset

log = logging.getLogger(__name__)

MOST_ABSENT = 256  # servers that a list named before, whose numbers are remembered
MOST_LISTED = 400_000  # names: ten times the largest fleet that is planned, and some 40 MB
LONGEST_NAME = 256
LONGEST_ROW = 64 * 1024  # bytes of a long list in which no row ends
SLICE = 32  # rows of a long list that are told at a time, or more where a gateway works with most servers,
MOST_SLICES = 64  # as all that are known are sorted anew after each
STATES = {
    "Ready": api.EndpointLifecycle.READY,
    "Terminating": api.EndpointLifecycle.DRAINING,
    "Gone": api.EndpointLifecycle.GONE,
}
Row = dict[str, Any]
Told = tuple[api.Endpoint, Address]
RegistryChange = tuple[
    api.EndpointUpdate, dict[int, Address]
]  # what has changed, and the addresses of those in it


class EndpointRegistry:
    """The servers that are listed; the nearest of them get numbers, as the decisions know them."""

    def __init__(self, subset: Subset | None = None) -> None:
        self.subset = subset or Subset(1, 0)
        self.nearest = NearestEndpoints(self.subset)  # the names of ``rows``
        self.others: set[str] = set()  # the names of those that are listed too
        self.numbers: dict[str, int] = {}
        self.absent: dict[str, int] = {}  # of servers that have no row any more, the latest last
        self.detached: set[str] = set()  # servers that operators took out: their numbers are never forgotten
        self.rows: dict[str, Row] = {}  # as discovery last gave them
        self.unused = count(1)  # never used for another: an attempt on a server that is gone may still be out

    def find(self, name: str) -> int | None:
        """The number of a server that has a row, or had."""
        return self.numbers.get(name, self.absent.get(name))

    def is_known(self, name: str) -> bool:
        """Whether a server is listed, or was, as far as is remembered."""
        return name in self.others or self.find(name) is not None

    def number_of(self, name: str) -> int:
        """The number of a server that is listed or that another process of this gateway knows."""
        number = self.find(name)
        if number is None:
            number = self.absent[name] = next(self.unused)
        return number

    def export_state(self) -> dict[str, Any]:
        """What a process that takes over has to know: the list, and which number stands for whom."""
        return {
            "rows": list(self.rows.values()),
            "numbers": self.numbers,
            "absent": self.absent,
            "barred": sorted(self.detached),
        }

    def restore_state(self, left: Any) -> dict[str, Any]:
        """Take over what the process before has left; the list as a document. ValueError if malformed."""
        try:
            named = {
                str(name): int(number)
                for part in (left["numbers"], left["absent"])
                for name, number in part.items()
            }
            rows, detached = list(left["rows"]), {str(name) for name in left["barred"]}
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"the roster that was left is malformed: {error!r}") from error
        if len(set(named.values())) != len(named) or not detached <= set(named):
            raise ValueError("the roster that was left contradicts itself")
        self.numbers, self.absent, self.detached = {}, named, detached  # the list takes its own out of these
        self.unused = count(max(named.values(), default=0) + 1)
        return {"generation": 0, "reset": True, "instances": rows}

    def used_up(self) -> bool:
        """Whether so many of the nearest have gone that only the whole list tells which follow them."""
        return self.nearest.sure() < self.subset.size(self.nearest.listed)

    def read(self, document: Any, known: bool = False) -> RegistryChange:
        """A short list; raises ValueError, KeyError or TypeError if it is malformed."""
        full, rows = known or bool(document["reset"]), list(document["instances"])
        generation = int(document["generation"])
        reading = SnapshotReader(self, full)
        for row in rows:
            reading.take(row)
        told = reading.told()
        if full:
            reading.replace()
        kind = api.UpdateKind.CACHED if known else api.UpdateKind.SNAPSHOT if full else api.UpdateKind.DELTA
        return reading.news(kind, told, generation)

    def forget(self, name: str) -> Told | None:
        """A server has no row any more, as it is gone or others are nearer; what the decisions are told."""
        row, number = self.rows.pop(name, None), self.numbers.pop(name, None)
        if row is None or number is None:
            return None
        self.absent[name] = number
        if len(self.absent) > MOST_ABSENT:
            oldest = next((name for name in self.absent if name not in self.detached), None)
            self.absent.pop(oldest or name)
        return api.Endpoint(number, row["zone"], state=api.EndpointLifecycle.GONE, name=name), ("", 0)

    def as_known(self, row: Any) -> Row | None:
        """What was known of the server of a row that can't be read, if that can be told at all.

        Guards against a whole list that is lost for one row of it, over and over, and with it all that
        drains and starts; and against dropping a server whose row alone is spoilt.
        """
        name = row.get("instanceId") if isinstance(row, dict) else None
        return self.rows.get(name) if isinstance(name, str) else None

    def entry(self, row: Row) -> Told:
        """One row; everything in it is checked before its server gets a number."""
        host, _, port = row["hostPort"].rpartition(":")
        address = socket.inet_ntoa(socket.inet_aton(host)), int(port)
        name, zone, kind = row["instanceId"], row["zone"], row.get("machineType") or ""
        size, started = float(row.get("weight") or 1.0), float(row.get("startedAtMs") or 0.0)
        state, cell = STATES[row["lifecycle"]], row.get("cell") or 0
        if not (
            _is_name(name)
            and isinstance(zone, str)
            and isinstance(kind, str)
            and isinstance(cell, int)
            and isfinite(size)
            and isfinite(started)
            and 0 < address[1] < 1 << 16
        ):
            raise ValueError("a field is out of range")
        number = self.numbers.get(name)
        if number is None:
            number = self.numbers[name] = self.absent.pop(name, 0) or next(self.unused)
        entry = api.Endpoint(
            server=number,
            zone=zone,
            kind=kind,
            cell=cell,
            state=state,
            size=size,
            started_ms=started,
            name=name,
        )
        return entry, address


def _is_name(name: Any) -> bool:
    return isinstance(name, str) and 0 < len(name) <= LONGEST_NAME


class SnapshotReader:
    """One list while it is read. A whole list changes nothing in the roster until it takes its place."""

    def __init__(self, registry: EndpointRegistry, full: bool) -> None:
        self.registry, self.full = registry, full
        self.nearest = NearestEndpoints(registry.subset) if full else registry.nearest
        self.others: set[str] = set() if full else registry.others
        self.rows: dict[str, Row] = {}  # of those to be told of, in the list's order
        self.taken = False  # whether there was any

    def take(self, row: Any) -> None:
        """The next row: kept if its server is near, noted by its name if not, passed over if unreadable."""
        self.taken = True
        name = row.get("instanceId") if isinstance(row, dict) else None
        if name is None or not _is_name(name):
            log.error("malformed row from discovery: %.200r", row)
            return
        gone = row.get("lifecycle") == "Gone"
        if name in self.others:
            if gone:
                self.others.discard(name)
                self.nearest.drop(name)
        elif name in self.rows or not self.full and name in self.registry.rows:
            self.rows[name] = row
        elif not gone:
            self._offer(name, row)

    def _offer(self, name: str, row: Row) -> None:
        kept, out = self.nearest.offer(name)
        if kept:
            self.rows[name] = row
        if not kept or out is not None:
            self._pass(out or name)
        if len(self.others) > MOST_LISTED:
            raise ValueError("more servers than there is memory for")

    def _pass(self, name: str) -> None:
        """Others are nearer: the server is listed, but no more of it is known."""
        self.others.add(name)
        if self.full or name not in self.registry.rows:
            self.rows.pop(name, None)
        else:
            self.rows[name] = {**self.registry.rows[name], "lifecycle": "Gone"}

    def told(self) -> list[Told]:
        """What the decisions are told of all the rows."""
        return [told for name in list(self.rows) if (told := self._tell(name))]

    def slices(self, version: int) -> Iterator[RegistryChange]:
        """The same as changes, some at a time; the last part alone has the list's version.

        A whole list takes the place of the one before behind its rows. ValueError for one of which no row
        can be read; the one before stays then.
        """
        size = max(SLICE, len(self.rows) // MOST_SLICES)
        rows = iter(list(self.rows))
        while part := list(islice(rows, size)):
            told = [one for name in part if (one := self._tell(name))]
            yield self.news(api.UpdateKind.DELTA, told, 0)
        yield self.news(api.UpdateKind.DELTA, self.replace() if self.full else [], version)

    def _tell(self, name: str) -> Told | None:
        """The row of this name, or what was known before where it can't be read; None if nothing was."""
        registry, row = self.registry, self.rows[name]
        try:
            entry, address = registry.entry(row)
        except (ValueError, KeyError, TypeError, AttributeError, OverflowError, OSError) as error:
            log.error("malformed row from discovery: %r in %.200r", error, row)
            known = registry.as_known(row)
            if known is None:
                self.nearest.drop(name)
                del self.rows[name]
                return None
            row = self.rows[name] = known
            entry, address = registry.entry(row)
        if entry.state is api.EndpointLifecycle.GONE:
            if name in self.nearest:  # else others are nearer now
                self.nearest.drop(name)
            registry.rows[name] = row
            registry.forget(name)
        else:
            registry.rows[name] = row
        return entry, address

    def news(self, kind: api.UpdateKind, told: list[Told], version: int) -> RegistryChange:
        """What the decisions and the connections are told."""
        listing = api.EndpointUpdate(kind, tuple(entry for entry, _ in told), version, self.nearest.listed)
        return listing, {entry.server: address for entry, address in told}

    def replace(self) -> list[Told]:
        """Take the place of the list before; what is told of servers that it alone has named."""
        registry = self.registry
        if self.taken and not self.rows:
            raise ValueError("no row can be read")
        registry.nearest, registry.others = self.nearest, self.others
        return [
            told for name in list(registry.rows) if name not in self.rows and (told := registry.forget(name))
        ]


class StreamingSnapshotReader:
    """Reads a list too long to be read at once, in pieces of any size; indented or not.

    Guards against one long stall of all requests, and against a document that never ends: rows may go on
    up to MOST_LISTED, and each has to end. ValueError for what is malformed.
    """

    def __init__(self, registry: EndpointRegistry) -> None:
        self.registry, self.errors = registry, (ijson.JSONError, UnicodeDecodeError)
        self.events = ijson.sendable_list()
        self.parser = ijson.basic_parse_coro(self.events, use_float=True)
        self.fields: Row = {}  # of the document beside its rows
        self.row: Row = {}
        self.key = ""
        self.depth, self.rows, self.since = 0, 0, 0  # brackets open, rows so far, bytes since one ended
        self.whole, self.blank = False, True  # whether nothing stands on the line so far
        self.early: list[Any] = []  # rows that came before it was known whether the list is whole
        self.reading: SnapshotReader | None = None

    def take(self, piece: bytes) -> bytes | None:
        """The next bytes; what came behind the end of the document, or None while it has not come."""
        while piece:
            line, end, piece = piece.partition(b"\n")
            self.blank = self.blank and not line.strip()
            if end and self.blank:
                raise ValueError("a document that breaks off")
            self.blank = self.blank or bool(end)
            before = self.rows
            self._feed(line + end)
            self.since = self.since + len(line) if self.rows == before else len(line)
            if self.since > LONGEST_ROW:
                raise ValueError("a row without end")
            if self.whole:
                return piece
        return None

    def _feed(self, line: bytes) -> None:
        try:
            self.parser.send(line)
        except self.errors as error:
            raise ValueError(f"not JSON: {error}") from error
        for kind, value in self.events:
            self._event(kind, value)
        del self.events[:]

    def _event(self, kind: str, value: Any) -> None:
        """One step of the document: fields at depth 1, rows at depth 2, their fields at depth 3."""
        if kind == "map_key":
            if self.depth in (1, 3):
                self.key = value
        elif kind in ("start_map", "start_array"):
            self._open(kind)
        elif kind in ("end_map", "end_array"):
            self._close()
        elif self.depth == 3:
            self.row[self.key] = value
        elif self.depth == 2:
            self._take(value)
        elif self.depth == 1:
            self.fields[self.key] = value
        elif self.depth == 0:
            raise ValueError("no list")

    def _open(self, kind: str) -> None:
        self.depth += 1
        if self.depth == 1 and kind != "start_map":
            raise ValueError("no list")
        if self.depth == 2 and (self.key != "instances" or kind != "start_array"):
            raise ValueError("a field is no plain value, or the rows are no list")
        if self.depth == 3:
            self.row = {}
        elif self.depth > 3:
            self.row[self.key] = None  # no field of a row has brackets of its own

    def _close(self) -> None:
        self.depth -= 1
        if self.depth == 2:
            self._take(self.row)
        elif self.depth == 0:
            self.whole = True

    def _take(self, row: Any) -> None:
        self.rows += 1
        if self.reading is None and "reset" in self.fields:
            self._begin()
        if self.reading is None:
            self.early.append(row)
        else:
            self.reading.take(row)
        if self.rows > MOST_LISTED:
            raise ValueError("more rows than there is memory for")

    def _begin(self) -> SnapshotReader:
        self.reading = SnapshotReader(self.registry, bool(self.fields["reset"]))
        for row in self.early:
            self.reading.take(row)
        self.early = []
        return self.reading

    def news(self) -> Iterator[RegistryChange]:
        """What the document tells, some at a time, once it is whole; ValueError if a field is missing."""
        try:
            self.fields["generation"] = int(self.fields["generation"])
            reading = self.reading or self._begin()
        except (KeyError, TypeError) as error:
            raise ValueError(f"a field is missing or malformed: {error!r}") from error
        return reading.slices(self.generation)

    @property
    def generation(self) -> int:
        """The version of the list, once ``news`` has been called."""
        return int(self.fields["generation"])

    @property
    def is_whole_list(self) -> bool:
        """Whether it names all servers, not changes alone, once ``news`` has been called."""
        return bool(self.fields["reset"])
