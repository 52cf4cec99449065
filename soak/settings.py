"""The sizes of a soak, and the settings of its gateways."""

from __future__ import annotations

from typing import Any

import msgspec

from scale.fleet.gateway_settings import settings_document
from soak.fault_kinds import FaultKind
from soak.records import RequestClass

IDEMPOTENCY_WINDOW_S = 1.0
DEADLINE_S = 1.5
DRAIN_GRACE_S = 1.0
KILL_GRACE_S = 0.7
SHUTDOWN_TIMEOUT_S = DEADLINE_S + KILL_GRACE_S
"""Time between SIGTERM and SIGKILL."""

LATENCY_OBJECTIVE_MS = 600.0
IDLE_CLOSE_MS = 4000.0
MAX_OPEN_REQUESTS = 400
INITIAL_CAPACITY_SHARE = 0.1
WARM_UP_S = 5.0
OVERLOAD_FACTOR = 2.0
OVERLOAD_WINDOW_S = 2.0
GATEWAY_MEMORY_MB = 96
SERVER_CAPACITY = 4
"""Number of requests that a server can process at once without slowing down."""

MEAN_SERVICE_S = 0.045
MS_PER_S = 1000.0
IDEMPOTENCY_BY_CLASS = {
    RequestClass.READ: "safe",
    RequestClass.KEYED: "keyed",
    RequestClass.ORDER: "unsafe",
    RequestClass.DOWNLOAD: "safe",
}
"""The idempotency of each request class, as named in the settings."""

SHORT_VALUE_CLASSES = (RequestClass.READ, RequestClass.KEYED, RequestClass.ORDER)
"""The classes that most clients draw from."""


class SoakConfig(msgspec.Struct, frozen=True):
    """The sizes of a run.

    Attributes:
        seed: The seed of all random draws.
        duration_s: The time during which faults begin.
        gateways: The number of gateways; each has one process, or two during an upgrade.
        server_processes: The number of processes that run servers.
        servers_per_process: The number of servers in each of these processes.
        client_processes: The number of processes that run clients.
        connections_per_process: The number of connections of each client process.
        faults_per_s: The mean number of faults that begin per second.
        memory_mb: The limit on the memory of all processes together.
        processes: The limit on the number of processes.
        planted_fault: The name of the planted fault in the gateways; empty for none.
        added_faults: The faults injected in addition to those drawn, one for each entry.
        restarts_all: Whether each gateway is restarted under load after the last fault.
    """

    seed: int
    duration_s: float = 20.0
    gateways: int = 5
    server_processes: int = 3
    servers_per_process: int = 2
    client_processes: int = 3
    connections_per_process: int = 12
    faults_per_s: float = 1.2
    memory_mb: int = 8000
    processes: int = 40
    planted_fault: str = ""
    added_faults: tuple[FaultKind, ...] = ()
    restarts_all: bool = True

    @property
    def server_names(self) -> list[list[str]]:
        """The names of the servers, with one list per process."""
        return [
            [f"s-{process}{index}" for index in range(self.servers_per_process)]
            for process in range(self.server_processes)
        ]


def gateway_settings(config: SoakConfig, index: int, may_duplicate: bool) -> dict[str, Any]:
    """Return the settings of one gateway, with a class of each idempotency and a plan without a quota.

    Args:
        config: The sizes of the run.
        index: The index of the gateway.
        may_duplicate: Whether the gateway may send hedged requests.
    """
    document = settings_document(config.gateways, index, "a")
    class_template = document["services"][0]
    document["services"] = [
        _class_settings(class_template, name, idempotency)
        for name, idempotency in IDEMPOTENCY_BY_CLASS.items()
    ]
    document["tariffs"][0].update(name="free", refill=0.0, most_at_once=0.0)
    document["limits"].update(
        may_duplicate=may_duplicate, open_cap=MAX_OPEN_REQUESTS, idle_close_ms=IDLE_CLOSE_MS
    )
    document["contract"].update(
        drain_grace_ms=MS_PER_S * DRAIN_GRACE_S,
        start_capacity=INITIAL_CAPACITY_SHARE,
        warm_up_ms=MS_PER_S * WARM_UP_S,
        tip_multiple=OVERLOAD_FACTOR,
        fall_ms=MS_PER_S * OVERLOAD_WINDOW_S,
    )
    document["load_info"] = {"how": "answers", "names": ["busy", "q"]}
    return document


def _class_settings(template: dict[str, Any], name: str, idempotency: str) -> dict[str, Any]:
    return {
        **template,
        "name": name,
        "effect": idempotency,
        "slo_ms": LATENCY_OBJECTIVE_MS,
        "hard_limit_ms": MS_PER_S * DEADLINE_S,
        "memory_span_ms": MS_PER_S * IDEMPOTENCY_WINDOW_S,
    }
