"""The configuration of a scale run: a TOML file with flags over it, checked before anything starts."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

PositiveInteger = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
PositiveNumber = Annotated[float, msgspec.Meta(gt=0)]
NonNegativeNumber = Annotated[float, msgspec.Meta(ge=0)]
Sizes = Annotated[list[PositiveInteger], msgspec.Meta(min_length=1)]

SERVERS_PER_GATEWAY = 10
"""Servers for each gateway in the fleet to come: 38,000 before 3,800 gateways."""


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A section of the file; an unknown key is an error."""


class Fleet(Section, frozen=True):
    """The gateways and servers that take part.

    Attributes:
        servers: Servers that discovery lists.
        ports: Listening sockets of servers, which the listed servers share.
        zones: Zones that servers and gateways are spread over.
        gateways: Gateways that the settings name; 0 for `gateways_in_settings` to derive it.
        real: Real gateways.
        hollow: Hollow gateways.
        hollow_per_process: Hollow gateways in one process.
        hollow_kind: Whether a hollow gateway has a policy engine, or only holds the watch open.
    """

    servers: Annotated[int, msgspec.Meta(ge=1, le=38_000)] = 400
    ports: Annotated[int, msgspec.Meta(ge=1, le=500)] = 200
    zones: Annotated[int, msgspec.Meta(ge=1, le=26)] = 15
    gateways: Annotated[int, msgspec.Meta(ge=0, le=3_800)] = 0
    real: Annotated[int, msgspec.Meta(ge=1, le=8)] = 1
    hollow: Annotated[int, msgspec.Meta(ge=0, le=3_800)] = 200
    hollow_per_process: Annotated[int, msgspec.Meta(ge=1, le=1_000)] = 100
    hollow_kind: Literal["gateway", "watch"] = "gateway"

    def gateways_in_settings(self, servers: int) -> int:
        """Return how many gateways the settings name before so many servers: one to ten by default.

        A gateway takes its share of the servers' capacity: with 3,800 gateways in the settings and 200
        servers it would rightly reject nearly all requests.
        """
        return self.gateways or max(1, servers // SERVERS_PER_GATEWAY)


class Churn(Section, frozen=True):
    """A day's changes and how much faster than a day they are replayed.

    Attributes:
        changes_per_day: Changes of a server's weight.
        restarts_per_day: Restarts of a server.
        failures_per_day: Failures after which another server comes in its place.
        speedup: How many times faster than a day.
        down_s: How long a server that restarts or fails is away, in the run's own time.
    """

    changes_per_day: NonNegativeNumber = 2_100.0
    restarts_per_day: NonNegativeNumber = 11_000.0
    failures_per_day: NonNegativeNumber = 61.0
    speedup: PositiveNumber = 100.0
    down_s: PositiveNumber = 2.0


class Load(Section, frozen=True):
    """An open-loop load: Poisson arrivals, customers by Zipf, and the servers' mean service time.

    Attributes:
        rate: Requests a second.
        seconds: Length of one phase, straight to the servers or through the gateway.
        phases: Phases of each kind, in turn.
        tenants: Customers.
        skew: Exponent of the Zipf distribution.
        hollow_rate: Requests a second at each hollow gateway, in a play.
        service_ms: Mean service time of a server.
        deadline_ms: Timeout of a request.
    """

    rate: PositiveNumber = 50.0
    seconds: PositiveNumber = 5.0
    phases: PositiveInteger = 2
    tenants: PositiveInteger = 2_000
    skew: NonNegativeNumber = 1.1
    hollow_rate: NonNegativeNumber = 0.5
    service_ms: PositiveNumber = 5.0
    deadline_ms: PositiveNumber = 2_000.0


class Fault(Section, frozen=True):
    """A fault of discovery.

    Attributes:
        at_s: When it begins, in seconds from the start of the play.
        kind: What happens.
        for_s: How long it lasts.
        zone: The zone that is lost.
    """

    at_s: NonNegativeNumber
    kind: Literal["silent", "refuse", "lose_zone", "drop_watches"]
    for_s: NonNegativeNumber = 0.0
    zone: str = ""


class Slopes(Section, frozen=True):
    """The sizes that each slope is measured at.

    Attributes:
        lists: Servers in the list.
        changes: Endpoints in one change.
        tenants: Customers of the policy engine.
        routes: Request classes of the policy engine.
        fleets: Hollow gateways.
        reals: Real gateways.
        rates: Requests a second through one gateway.
        repeats: Repetitions of a measurement.
        spread_gap_s: Time between two versions that a whole fleet is to have.
        versions: Versions of one endpoint each, published one by one.
    """

    lists: Sizes = msgspec.field(default_factory=lambda: [200, 1_000, 2_000, 4_000])
    changes: Sizes = msgspec.field(default_factory=lambda: [1, 10, 100, 400])
    tenants: Sizes = msgspec.field(default_factory=lambda: [2_000, 4_000, 8_000, 16_000])
    routes: Sizes = msgspec.field(default_factory=lambda: [64, 256, 1_024, 4_096])
    fleets: Sizes = msgspec.field(default_factory=lambda: [25, 50, 100, 200])
    reals: Sizes = msgspec.field(default_factory=lambda: [1, 2, 3, 4])
    rates: Sizes = msgspec.field(default_factory=lambda: [25, 50, 100, 200])
    repeats: Annotated[int, msgspec.Meta(ge=1, le=20)] = 3
    spread_gap_s: PositiveNumber = 0.2
    versions: Annotated[int, msgspec.Meta(ge=1, le=1_000)] = 20


class Config(Section, frozen=True):
    """The configuration of a whole run.

    Attributes:
        seed: The seed of all random numbers.
        deadline_s: The longest time that the run may take.
        memory_mb: The most resident memory that all children may take.
        processes: The most children at a time.
        fleet: The gateways and servers.
        churn: The changes of a day.
        load: The requests.
        faults: The faults of discovery.
        slopes: The sizes that slopes are measured at.
    """

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
    """The file or a flag is wrong; the message names the key."""


def _merge(base: dict[str, Any], overrides: dict[str, Any]) -> dict[str, Any]:
    """Return both documents merged, with the overrides' values for keys that are in both."""
    merged = dict(base)
    for key, value in overrides.items():
        are_tables = isinstance(value, dict) and isinstance(merged.get(key), dict)
        merged[key] = _merge(merged[key], value) if are_tables else value
    return merged


def _parse(text: str, source: str) -> dict[str, Any]:
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigError(f"{source}: {error}") from error


def load(path: Path | None, flags: tuple[str, ...] = ()) -> Config:
    """Read the configuration.

    Args:
        path: The file; None for the defaults.
        flags: Overrides like ``fleet.servers=2000``.

    Raises:
        ConfigError: A key or its value is wrong, or the file can't be read.
    """
    try:
        document = _parse(path.read_text(), str(path)) if path else {}
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    for flag in flags:
        document = _merge(document, _parse(flag, f"flag {flag}"))
    try:
        config = msgspec.convert(document, Config)
    except msgspec.ValidationError as error:
        raise ConfigError(str(error).replace("`$.", "`")) from error
    for number, fault in enumerate(config.faults):
        if fault.kind == "lose_zone" and fault.zone not in zone_names(config.fleet.zones):
            raise ConfigError(f"no such zone: {fault.zone!r} - at `faults[{number}].zone`")
    return config


def zone_names(number: int) -> list[str]:
    """Return the names of so many zones."""
    return [chr(ord("a") + index) for index in range(number)]
