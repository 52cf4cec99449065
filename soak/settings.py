"""What a soak plays with: its sizes, and the settings that its gateways are given."""

from __future__ import annotations

from typing import Any

import msgspec

from scale.fleet.gateway_settings import settings_document

IDEMPOTENCY_WINDOW_S = 1.0
DEADLINE_S = 1.5
DRAIN_GRACE_S = 1.0
KILL_GRACE_S = 0.7
INITIAL_CAPACITY_SHARE = 0.1
WARM_UP_S = 5.0
OVERLOAD_FACTOR = 2.0
OVERLOAD_WINDOW_S = 2.0
SERVER_CAPACITY = 4
"""Requests that a server works on at a time without getting slower."""

MEAN_SERVICE_S = 0.045
CLASSES = {"read": "safe", "keyed": "keyed", "order": "unsafe"}
"""The classes by name, and whether they may be repeated, in the words of the settings."""


class SoakConfig(msgspec.Struct, frozen=True):
    """The sizes of a play.

    Attributes:
        seed: Of everything that is drawn.
        seconds: How long troubles begin.
        gateways: Gateways, each a process, or two during an upgrade.
        server_processes: Processes with servers.
        servers_per_process: Servers in each of them.
        client_processes: Processes with clients.
        connections: Connections of each of them.
        troubles_per_s: Troubles that begin in a second, on average.
        memory_mb: The most memory of all processes.
        processes: The most processes.
        planted: The name of a planted fault; none by default.
        kinds: Troubles that are added to those that are drawn, so many of each as it is named.
    """

    seed: int
    seconds: float = 20.0
    gateways: int = 5
    server_processes: int = 3
    servers_per_process: int = 2
    client_processes: int = 3
    connections: int = 12
    troubles_per_s: float = 1.2
    memory_mb: int = 8000
    processes: int = 40
    planted: str = ""
    kinds: tuple[str, ...] = ()

    @property
    def server_names(self) -> list[list[str]]:
        """The names of the servers, a list a process."""
        return [
            [f"s-{process}{index}" for index in range(self.servers_per_process)]
            for process in range(self.server_processes)
        ]


def gateway_settings(config: SoakConfig, index: int, may_duplicate: bool) -> dict[str, Any]:
    """The settings of one gateway: three classes that may be repeated freely, by their key, or never."""
    document = settings_document(config.gateways, index, "a")
    service = document["services"][0]
    document["services"] = [
        {
            **service,
            "name": name,
            "effect": effect,
            "slo_ms": 600.0,
            "hard_limit_ms": 1000.0 * DEADLINE_S,
            "memory_span_ms": 1000.0 * IDEMPOTENCY_WINDOW_S,
        }
        for name, effect in CLASSES.items()
    ]
    document["tariffs"][0].update(name="free", refill=0.0, most_at_once=0.0)
    document["limits"].update(may_duplicate=may_duplicate, open_cap=400, idle_close_ms=4000.0)
    document["contract"].update(
        drain_grace_ms=1000.0 * DRAIN_GRACE_S,
        start_capacity=INITIAL_CAPACITY_SHARE,
        warm_up_ms=1000.0 * WARM_UP_S,
        tip_multiple=OVERLOAD_FACTOR,
        fall_ms=1000.0 * OVERLOAD_WINDOW_S,
    )
    document["load_info"] = {"how": "answers", "names": ["busy", "q"]}
    return document
