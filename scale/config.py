"""What a scale run is told: a TOML file, flags over it, all of it checked before anything starts."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

Some = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
SERVERS_PER_GATEWAY = 10  # 38,000 servers before 3,800 gateways
Sizes = Annotated[list[Some], msgspec.Meta(min_length=1)]


class Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A part of the file; a key that it does not know is refused."""


class Fleet(Part, frozen=True):
    """Who takes part. ``ports``: real sockets of servers, which the rows of discovery share."""

    servers: Annotated[int, msgspec.Meta(ge=1, le=38_000)] = 400
    ports: Annotated[int, msgspec.Meta(ge=1, le=500)] = 200
    zones: Annotated[int, msgspec.Meta(ge=1, le=26)] = 15
    gateways: Annotated[int, msgspec.Meta(ge=0, le=3_800)] = 0  # as the settings tell each; 0: see ``told``
    real: Annotated[int, msgspec.Meta(ge=1, le=8)] = 1
    hollow: Annotated[int, msgspec.Meta(ge=0, le=3_800)] = 200
    hollow_per_process: Annotated[int, msgspec.Meta(ge=1, le=1_000)] = 100
    hollow_kind: Literal["gateway", "watch"] = "gateway"

    def told(self, servers: int) -> int:
        """How many gateways the settings name before so many servers: one to ten, as in the fleet to come.

        A gateway takes its part of what all servers can bear: told of 3,800 before 200 servers, it would
        rightly refuse nearly all.
        """
        return self.gateways or max(1, servers // SERVERS_PER_GATEWAY)


class Churn(Part, frozen=True):
    """A day's changes and how much faster than a day they are replayed."""

    changes_per_day: NotNegative = 2_100.0
    restarts_per_day: NotNegative = 11_000.0
    failures_per_day: NotNegative = 61.0
    speedup: Positive = 100.0
    down_s: Positive = 2.0  # that a server which restarts or fails is away, in the run's own time


class Load(Part, frozen=True):
    """Requests a second by Poisson, customers by Zipf, and how long servers take."""

    rate: Positive = 50.0
    seconds: Positive = 5.0  # of one phase: straight to the servers, or through the gateway
    phases: Some = 2  # of each, by turns
    tenants: Some = 2_000
    skew: NotNegative = 1.1
    hollow_rate: NotNegative = 0.5  # requests/s at each hollow gateway, in a play
    service_ms: Positive = 5.0
    deadline_ms: Positive = 2_000.0


class Fault(Part, frozen=True):
    """What befalls discovery at a time of the run, and for how long."""

    at_s: NotNegative
    kind: Literal["silent", "refuse", "lose_zone", "drop_watches"]
    for_s: NotNegative = 0.0
    zone: str = ""


class Slopes(Part, frozen=True):
    """The sizes that each slope is measured at."""

    lists: Sizes = msgspec.field(default_factory=lambda: [200, 1_000, 2_000, 4_000])
    changes: Sizes = msgspec.field(default_factory=lambda: [1, 10, 100, 400])
    tenants: Sizes = msgspec.field(default_factory=lambda: [2_000, 4_000, 8_000, 16_000])
    routes: Sizes = msgspec.field(default_factory=lambda: [64, 256, 1_024, 4_096])
    fleets: Sizes = msgspec.field(default_factory=lambda: [25, 50, 100, 200])
    reals: Sizes = msgspec.field(default_factory=lambda: [1, 2, 3, 4])
    rates: Sizes = msgspec.field(default_factory=lambda: [25, 50, 100, 200])
    repeats: Annotated[int, msgspec.Meta(ge=1, le=20)] = 3
    spread_gap_s: Positive = 0.2  # between two versions that a whole fleet is to have
    versions: Annotated[int, msgspec.Meta(ge=1, le=1_000)] = 20  # of one row each, published one by one


class Config(Part, frozen=True):
    """A whole run. ``deadline_s`` bounds all of it; ``memory_mb`` and ``processes`` bound its children."""

    seed: Annotated[int, msgspec.Meta(ge=0)] = 1
    deadline_s: Annotated[float, msgspec.Meta(gt=0, le=14_400)] = 110.0
    memory_mb: Annotated[int, msgspec.Meta(ge=64, le=12_288)] = 12_288
    processes: Annotated[int, msgspec.Meta(ge=4, le=200)] = 200
    fleet: Fleet = Fleet()
    churn: Churn = Churn()
    load: Load = Load()
    faults: list[Fault] = []
    slopes: Slopes = Slopes()


class ConfigError(ValueError):
    """The file or a flag is wrong; the text names the key."""


def _merge(under: dict[str, Any], over: dict[str, Any]) -> dict[str, Any]:
    """Both; where they say different things, the second."""
    merged = dict(under)
    for key, value in over.items():
        both = isinstance(value, dict) and isinstance(merged.get(key), dict)
        merged[key] = _merge(merged[key], value) if both else value
    return merged


def _read(text: str, what: str) -> dict[str, Any]:
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigError(f"{what}: {error}") from error


def load(path: Path | None, flags: tuple[str, ...] = ()) -> Config:
    """The file with flags like ``fleet.servers=2000`` over it; ConfigError names the key that is wrong."""
    try:
        document = _read(path.read_text(), str(path)) if path else {}
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    for flag in flags:
        document = _merge(document, _read(flag, f"flag {flag}"))
    try:
        config = msgspec.convert(document, Config)
    except msgspec.ValidationError as error:
        raise ConfigError(str(error).replace("`$.", "`")) from error
    for number, fault in enumerate(config.faults):
        if fault.kind == "lose_zone" and fault.zone not in zones(config.fleet.zones):
            raise ConfigError(f"no such zone: {fault.zone!r} - at `faults[{number}].zone`")
    return config


def zones(number: int) -> list[str]:
    """The names of so many zones."""
    return [chr(ord("a") + index) for index in range(number)]
