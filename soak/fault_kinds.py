"""The kinds of faults that a soak can inject, with the names that plans and records use for them."""

from __future__ import annotations

from enum import StrEnum


class FaultKind(StrEnum):
    """A kind of injected fault.

    If the order of the kinds in the groups below changes, every seed draws other faults: append new kinds to
    their group only.
    """

    # Faults at a server
    HANG = "hang"
    NOT_READING = "not_reading"
    SLOW = "slow"
    OVERLOADED = "busy"
    MALFORMED_REPLY = "spoil"
    ERROR_REPLY = "fail"
    DUPLICATE_REPLY = "twice"
    RESET_DURING_REQUEST = "reset_under"
    DOWN = "down"
    # Momentary faults at a server
    RESET_IDLE_CONNECTIONS = "reset_idle"
    RESET_ALL_CONNECTIONS = "reset_all"
    # Faults on the link between the gateways and a server
    LINK_CUT = "cut"
    BLACKHOLE = "blackhole"
    DELAYED_REPLY = "delay"
    TRUNCATED_REPLY = "break"
    FRAGMENTED_REPLY = "fragment"
    # Faults of discovery
    DISCOVERY_SILENT = "silent"
    DISCOVERY_REFUSING = "refuse"
    WATCHES_DROPPED = "drop_watches"
    # Faults of a gateway's processes
    GATEWAY_RESTART = "restart"
    GATEWAY_CRASH = "crash"
    UPGRADE = "upgrade"
    UPGRADE_EARLY_TERMINATION = "upgrade_early_term"
    UPGRADE_NEW_VERSION_KILLED = "upgrade_new_dies"
    UPGRADE_OLD_VERSION_KILLED = "upgrade_old_dies"
    DISCOVERY_MOVE = "reload"
    PROCESS_PAUSE = "pause"
    # Faults of a gateway's operating system
    TCP_CALLS_FAIL = "tcp_calls"
    UNIX_CALLS_FAIL = "unix_calls"
    FILE_CALLS_FAIL = "file_calls"
    WALL_CLOCK_STEP = "wall_step"
    # Changes of the endpoint list
    SERVER_DRAIN = "drain"
    SERVER_REPLACEMENT = "replace"
    SERVER_DETACHMENT = "detach"


SERVER_FAULTS = (
    FaultKind.HANG,
    FaultKind.NOT_READING,
    FaultKind.SLOW,
    FaultKind.OVERLOADED,
    FaultKind.MALFORMED_REPLY,
    FaultKind.ERROR_REPLY,
    FaultKind.DUPLICATE_REPLY,
    FaultKind.RESET_DURING_REQUEST,
    FaultKind.DOWN,
)
MOMENTARY_SERVER_FAULTS = (FaultKind.RESET_IDLE_CONNECTIONS, FaultKind.RESET_ALL_CONNECTIONS)
LINK_FAULTS = (
    FaultKind.LINK_CUT,
    FaultKind.BLACKHOLE,
    FaultKind.DELAYED_REPLY,
    FaultKind.TRUNCATED_REPLY,
    FaultKind.FRAGMENTED_REPLY,
)
DISCOVERY_FAULTS = (FaultKind.DISCOVERY_SILENT, FaultKind.DISCOVERY_REFUSING, FaultKind.WATCHES_DROPPED)
PROCESS_FAULTS = (
    FaultKind.GATEWAY_RESTART,
    FaultKind.GATEWAY_CRASH,
    FaultKind.UPGRADE,
    FaultKind.UPGRADE_EARLY_TERMINATION,
    FaultKind.UPGRADE_NEW_VERSION_KILLED,
    FaultKind.UPGRADE_OLD_VERSION_KILLED,
    FaultKind.DISCOVERY_MOVE,
    FaultKind.PROCESS_PAUSE,
)
SYSTEM_FAULTS = (
    FaultKind.TCP_CALLS_FAIL,
    FaultKind.UNIX_CALLS_FAIL,
    FaultKind.FILE_CALLS_FAIL,
    FaultKind.WALL_CLOCK_STEP,
)
ENDPOINT_FAULTS = (FaultKind.SERVER_DRAIN, FaultKind.SERVER_REPLACEMENT, FaultKind.SERVER_DETACHMENT)
