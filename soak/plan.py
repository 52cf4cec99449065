"""Which troubles a play has, drawn from its seed: what, when, for how long, and to whom. They overlap."""

from __future__ import annotations

import random

import msgspec

from soak.settings import SoakConfig

QUIET_START_S = 2.0
SERVER_TROUBLES = ("hang", "not_reading", "slow", "busy", "spoil", "fail", "twice", "reset_under", "down")
MOMENTARY_SERVER_TROUBLES = ("reset_idle", "reset_all")
LINK_TROUBLES = ("cut", "blackhole", "delay", "break", "fragment")
DISCOVERY_TROUBLES = ("silent", "refuse", "drop_watches")
PROCESS_TROUBLES = (
    "restart",
    "crash",
    "upgrade",
    "upgrade_early_term",
    "upgrade_new_dies",
    "upgrade_old_dies",
    "reload",
    "pause",
)
SYSTEM_TROUBLES = ("tcp_calls", "unix_calls", "file_calls", "wall_step")
ENDPOINT_TROUBLES = ("drain", "replace", "detach")
KIND_WEIGHTS = {
    **dict.fromkeys(SERVER_TROUBLES, 1.0),
    **dict.fromkeys(MOMENTARY_SERVER_TROUBLES, 1.0),
    **dict.fromkeys(LINK_TROUBLES, 1.0),
    **dict.fromkeys(DISCOVERY_TROUBLES, 1.0),
    **dict.fromkeys(PROCESS_TROUBLES, 2.0),
    **dict.fromkeys(SYSTEM_TROUBLES, 2.5),
    **dict.fromkeys(ENDPOINT_TROUBLES, 2.0),
}
WALL_STEPS_S = (3600.0, -3600.0, 7.0, -7.0)


class Trouble(msgspec.Struct, frozen=True):
    """One trouble.

    Attributes:
        kind: What it is.
        at_s: When it begins, from the start of the play.
        for_s: How long it lasts, where it lasts.
        server: The server that it is about, if it is about one.
        gateway: The gateway that it is about, if it is about one.
        amount: How strong it is, from 0 to 1.
    """

    kind: str
    at_s: float
    for_s: float
    server: str
    gateway: int
    amount: float


def draw_plan(config: SoakConfig) -> list[Trouble]:
    """Draw the troubles of a play, in the order of their times."""
    source = random.Random(f"plan {config.seed}")
    servers = [name for names in config.server_names for name in names]
    number = round(config.seconds * config.troubles_per_s)
    kinds = source.choices(list(KIND_WEIGHTS), list(KIND_WEIGHTS.values()), k=number)
    troubles = [
        Trouble(
            kind=kind,
            at_s=QUIET_START_S + source.random() * (config.seconds - QUIET_START_S),
            for_s=0.5 + 3.5 * source.random(),
            server=source.choice(servers),
            gateway=source.randrange(config.gateways),
            amount=source.random(),
        )
        for kind in (*kinds, *config.kinds)
    ]
    return sorted(troubles, key=lambda trouble: trouble.at_s)
