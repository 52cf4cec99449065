"""Injectors for the faults of a soak, with one class per way of injecting a fault."""

from __future__ import annotations

from soak.deployment import Deployment
from soak.fault_kinds import LINK_FAULTS, MOMENTARY_SERVER_FAULTS, SERVER_FAULTS, FaultKind
from soak.faults.discovery import DiscoveryMove, DiscoveryRefusing, DiscoverySilent, WatchesDropped
from soak.faults.endpoints import ServerDetachment, ServerDrain, ServerReplacement, ServerRestarter
from soak.faults.fault import Fault
from soak.faults.processes import (
    EarlyTermination,
    GatewayCrash,
    GatewayRestart,
    NewVersionKilled,
    OldVersionKilled,
    ProcessPause,
    Upgrade,
)
from soak.faults.reservations import ServerReservations
from soak.faults.roles import RoleFault
from soak.faults.system import FailingCalls, WallClockStep
from soak.shim import CallCategory

__all__ = ["Fault", "make_faults"]


def make_faults(deployment: Deployment) -> dict[FaultKind, Fault]:
    """Return an injector for every kind of fault."""
    return {
        **_make_server_faults(deployment),
        **_make_discovery_faults(deployment),
        **_make_gateway_faults(deployment),
    }


def _make_server_faults(deployment: Deployment) -> dict[FaultKind, Fault]:
    """Return the injectors for servers and the links to them, which share the reservations of servers."""
    reservations = ServerReservations(deployment.server_roles)
    links = dict.fromkeys(deployment.server_roles, deployment.proxy)
    restarter = ServerRestarter(deployment)
    server_fault = RoleFault(deployment.server_roles, reservations)
    momentary_fault = RoleFault(deployment.server_roles, reservations, is_momentary=True)
    link_fault = RoleFault(links, reservations)
    return {
        **dict.fromkeys(SERVER_FAULTS, server_fault),
        **dict.fromkeys(MOMENTARY_SERVER_FAULTS, momentary_fault),
        **dict.fromkeys(LINK_FAULTS, link_fault),
        FaultKind.SERVER_DRAIN: ServerDrain(reservations, restarter, deployment.discovery),
        FaultKind.SERVER_REPLACEMENT: ServerReplacement(reservations, restarter),
    }


def _make_discovery_faults(deployment: Deployment) -> dict[FaultKind, Fault]:
    return {
        FaultKind.DISCOVERY_SILENT: DiscoverySilent(deployment.discovery),
        FaultKind.DISCOVERY_REFUSING: DiscoveryRefusing(deployment.discovery),
        FaultKind.WATCHES_DROPPED: WatchesDropped(deployment.discovery),
        FaultKind.DISCOVERY_MOVE: DiscoveryMove(deployment.discovery, deployment.gateways),
    }


def _make_gateway_faults(deployment: Deployment) -> dict[FaultKind, Fault]:
    gateways = deployment.gateways
    return {
        FaultKind.GATEWAY_RESTART: GatewayRestart(gateways),
        FaultKind.GATEWAY_CRASH: GatewayCrash(gateways),
        FaultKind.UPGRADE: Upgrade(gateways),
        FaultKind.UPGRADE_EARLY_TERMINATION: EarlyTermination(gateways),
        FaultKind.UPGRADE_NEW_VERSION_KILLED: NewVersionKilled(gateways),
        FaultKind.UPGRADE_OLD_VERSION_KILLED: OldVersionKilled(gateways),
        FaultKind.PROCESS_PAUSE: ProcessPause(gateways),
        FaultKind.TCP_CALLS_FAIL: FailingCalls(gateways, CallCategory.TCP),
        FaultKind.UNIX_CALLS_FAIL: FailingCalls(gateways, CallCategory.UNIX),
        FaultKind.FILE_CALLS_FAIL: FailingCalls(gateways, CallCategory.FILE),
        FaultKind.WALL_CLOCK_STEP: WallClockStep(gateways),
        FaultKind.SERVER_DETACHMENT: ServerDetachment(gateways),
    }
