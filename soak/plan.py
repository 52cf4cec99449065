"""Draw the faults of a run from its seed: their kinds, times, durations and targets. Faults may overlap."""

from __future__ import annotations

import random

import msgspec

from soak.fault_kinds import (
    DISCOVERY_FAULTS,
    ENDPOINT_FAULTS,
    LINK_FAULTS,
    MOMENTARY_SERVER_FAULTS,
    PROCESS_FAULTS,
    SERVER_FAULTS,
    SYSTEM_FAULTS,
    FaultKind,
)
from soak.settings import SoakConfig

FAULT_FREE_START_S = 2.0
MIN_DURATION_S = 0.5
DURATION_RANGE_S = 3.5

FAULT_WEIGHTS: dict[FaultKind, float] = {
    **dict.fromkeys(SERVER_FAULTS, 1.0),
    **dict.fromkeys(MOMENTARY_SERVER_FAULTS, 1.0),
    **dict.fromkeys(LINK_FAULTS, 1.0),
    **dict.fromkeys(DISCOVERY_FAULTS, 1.0),
    **dict.fromkeys(PROCESS_FAULTS, 2.0),
    **dict.fromkeys(SYSTEM_FAULTS, 2.5),
    **dict.fromkeys(ENDPOINT_FAULTS, 2.0),
}
"""Relative frequency of each kind of fault. If the order changes, every seed draws other faults."""


class PlannedFault(msgspec.Struct, frozen=True):
    """One fault of a plan.

    Attributes:
        kind: The kind of fault.
        start_s: When the fault begins, from the start of the run.
        duration_s: How long the fault lasts; some kinds scale it, others ignore it.
        server: The server at which the fault is injected; unused by faults without a server.
        gateway: The index of the gateway at which it is injected; unused by faults without a gateway.
        strength: A number from 0 to 1; its effect depends on the kind of fault.
    """

    kind: FaultKind
    start_s: float
    duration_s: float
    server: str
    gateway: int
    strength: float


def draw_plan(config: SoakConfig) -> list[PlannedFault]:
    """Draw the faults of a run, in the order of their start times."""
    source = random.Random(f"plan {config.seed}")
    servers = [name for names in config.server_names for name in names]
    fault_count = round(config.duration_s * config.faults_per_s)
    kinds = source.choices(list(FAULT_WEIGHTS), list(FAULT_WEIGHTS.values()), k=fault_count)
    # The arguments draw random numbers: if their order changes, every seed draws other faults.
    faults = [
        PlannedFault(
            kind=kind,
            start_s=FAULT_FREE_START_S + source.random() * (config.duration_s - FAULT_FREE_START_S),
            duration_s=MIN_DURATION_S + DURATION_RANGE_S * source.random(),
            server=source.choice(servers),
            gateway=source.randrange(config.gateways),
            strength=source.random(),
        )
        for kind in (*kinds, *config.added_faults)
    ]
    return sorted(faults, key=lambda fault: fault.start_s)
