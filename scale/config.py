"""Configuration of a scale run: a TOML file and flags that override it, validated before anything starts."""

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
"""Ratio in the target fleet: 38,000 servers for 3,800 gateways."""


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class for sections of the file; unknown keys are errors."""


class Fleet(Section, frozen=True):
    """The gateways and servers of a run.

    Attributes:
        servers: Number of servers that discovery lists.
        ports: Number of listening sockets, which the listed servers share.
        zones: Number of zones that servers and gateways are spread over.
        gateways: Number of gateways in the settings; 0 to derive it (`gateways_in_settings`).
        real: Number of real gateways.
        hollow: Number of hollow gateways.
        hollow_per_process: Number of hollow gateways in one process.
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
        """Return the number of gateways in the settings, by default one for every ten servers.

        A gateway uses only its share of the servers' capacity: with 3,800 gateways in the settings and 200
        servers it would correctly reject nearly all requests.
        """
        return self.gateways or max(1, servers // SERVERS_PER_GATEWAY)


class Churn(Section, frozen=True):
    """Changes of servers in a day, and the speed at which they are replayed.

    Attributes:
        changes_per_day: Changes of a server's weight.
        restarts_per_day: Restarts of a server.
        failures_per_day: Failures of a server, which is replaced by another one.
        speedup: Factor by which the replay is faster than real time.
        down_s: Time that a restarting or failed server is not listed, not divided by the speed-up.
    """

    changes_per_day: NonNegativeNumber = 2_100.0
    restarts_per_day: NonNegativeNumber = 11_000.0
    failures_per_day: NonNegativeNumber = 61.0
    speedup: PositiveNumber = 100.0
    down_s: PositiveNumber = 2.0


class Load(Section, frozen=True):
    """Open-loop load with Poisson arrivals and Zipf-distributed customers, and the mean service time.

    Attributes:
        rate: Requests per second.
        seconds: Length of one phase, either straight to the servers or through the gateway.
        phases: Number of phases of each kind, which alternate.
        tenants: Number of customers.
        skew: Exponent of the Zipf distribution.
        hollow_rate: Requests per second at each hollow gateway, in the ``run`` command.
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
        at_s: Start of the fault, in seconds from the start of churn.
        kind: Kind of fault.
        for_s: Duration of the fault.
        zone: Zone that is lost, for ``lose_zone``.
    """

    at_s: NonNegativeNumber
    kind: Literal["silent", "refuse", "lose_zone", "drop_watches"]
    for_s: NonNegativeNumber = 0.0
    zone: str = ""


class Slopes(Section, frozen=True):
    """Sizes at which each slope is measured.

    Attributes:
        lists: Numbers of servers in the list.
        changes: Numbers of endpoints in one change.
        tenants: Numbers of customers of the policy engine.
        routes: Numbers of request classes of the policy engine.
        fleets: Numbers of hollow gateways.
        reals: Numbers of real gateways.
        rates: Requests per second through one gateway.
        repeats: Number of repetitions of a measurement.
        spread_gap_s: Time between two versions whose propagation over a fleet is measured.
        versions: Number of versions, each changing one endpoint, that are published one by one.
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
    """Configuration of a whole run.

    Attributes:
        seed: Seed of all random numbers.
        deadline_s: Maximum duration of the run.
        memory_mb: Maximum resident memory of all child processes together, in MiB.
        processes: Maximum number of child processes at a time.
        fleet: Gateways and servers.
        churn: Changes of servers in a day.
        load: Requests.
        faults: Faults of discovery.
        slopes: Sizes at which slopes are measured.
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
    """The configuration file or a flag is invalid; the message names the key."""


def _merge(base: dict[str, Any], overrides: dict[str, Any]) -> dict[str, Any]:
    """Return both documents merged recursively; the overrides win where both set a key."""
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
    """Load and validate the configuration.

    Args:
        path: Path of the TOML file; None for the defaults.
        flags: Overrides such as ``fleet.servers=2000``.

    Raises:
        ConfigError: A key or its value is invalid, or the file can't be read.
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
            raise ConfigError(f"unknown zone: {fault.zone!r} - at `faults[{number}].zone`")
    return config


def zone_names(number: int) -> list[str]:
    """Return the names of this number of zones: ``a``, ``b`` and so on."""
    return [chr(ord("a") + index) for index in range(number)]
