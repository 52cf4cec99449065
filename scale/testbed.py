"""Starts the processes of measurements: shared servers and load, and discovery and gateways for each size."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from types import NoneType

from scale.child_process import ChildError, RoleProcess
from scale.config import Config
from scale.fleet.gateway_settings import settings_document
from scale.fleet.gateways import RealGateway, start_gateway
from scale.messages import (
    DiscoveryStatistics,
    PhaseReports,
    PublishedChanges,
    ServerStatistics,
    UpdateCoverage,
)
from scale.results import MeasurementLog
from scale.supervisor import Supervisor

ReportStep = Callable[[str], None]

UPDATE_TIMEOUT_S = 60.0
"""Maximum time until a list or a change is in force at all hollow gateways."""

LOAD_GRACE_S = 30.0
"""Additional time for a phase of load, beyond its length and its requests' timeout."""


class Testbed:
    """Starts the processes that measurements need.

    Args:
        config: Configuration of the run.
        supervisor: Supervisor of the run's child processes.
        measurements: Log that measurements are recorded in.
        report_step: Function called with a description at the start of each step.

    Attributes:
        config: Configuration of the run.
        supervisor: Supervisor of the run's child processes.
        measurements: Log that measurements are recorded in.
        report_step: Function called with a description at the start of each step.
        server_ports: Ports of the stub servers.
    """

    def __init__(
        self,
        config: Config,
        supervisor: Supervisor,
        measurements: MeasurementLog,
        report_step: ReportStep,
    ) -> None:
        self.config = config
        self.supervisor = supervisor
        self.measurements = measurements
        self.report_step = report_step
        self.servers: RoleProcess
        self.load: RoleProcess
        self.server_ports: list[int] = []

    async def start(self) -> None:
        """Start the stub servers and the shared load generator."""
        self.servers, self.server_ports = await self.supervisor.start_role(
            "servers",
            list[int],
            seed=self.config.seed,
            number=self.config.fleet.ports,
            service_ms=self.config.load.service_ms,
        )
        self.load = await self.start_load()

    async def start_load(self) -> RoleProcess:
        """Start a load generator."""
        load, _ = await self.supervisor.start_role(
            "load",
            NoneType,
            plan="plan",
            class_name="class-0",
            deadline_ms=self.config.load.deadline_ms,
            spread=1,
        )
        return load

    async def start_discovery(self, servers: int) -> tuple[RoleProcess, int]:
        """Start a discovery stub that lists this number of servers; return its process and its port."""
        return await self.supervisor.start_role(
            "discovery",
            int,
            seed=self.config.seed,
            servers=servers,
            ports=self.server_ports,
            zone_count=self.config.fleet.zones,
        )

    async def start_gateway(self, discovery_port: int, servers: int, number: int = 0) -> RealGateway:
        """Start a real gateway with settings for this number of servers; wait until it is settled."""
        gateways = self.config.fleet.gateways_in_settings(servers)
        gateway = await start_gateway(self.supervisor, number, gateways, discovery_port, self.config.seed)
        await gateway.wait_until_ready()
        await gateway.wait_until_settled()
        return gateway

    async def start_hollow_gateways(self, servers: int, first: int, number: int, kind: str) -> RoleProcess:
        """Start a process with hollow gateways whose watches are not open yet.

        Args:
            servers: Number of servers that the settings are made for.
            first: Index of the first gateway.
            number: Number of gateways.
            kind: Kind of gateway, as in `Fleet.hollow_kind`.
        """
        gateways = self.config.fleet.gateways_in_settings(servers)
        hollow, _ = await self.supervisor.start_role(
            "hollow",
            NoneType,
            document=settings_document(gateways, 0, "a"),
            kind=kind,
            first=first,
            number=number,
            zone_count=self.config.fleet.zones,
        )
        return hollow

    async def start_hollow_fleet(self, discovery_port: int, number: int) -> list[RoleProcess]:
        """Start this number of hollow gateways in several processes, and wait until all have a list."""
        fleet = self.config.fleet
        processes = []
        for first in range(0, number, fleet.hollow_per_process):
            in_process = min(fleet.hollow_per_process, number - first)
            processes.append(
                await self.start_hollow_gateways(fleet.servers, first, in_process, fleet.hollow_kind)
            )
        await asyncio.gather(*(process.command("open_watches", port=discovery_port) for process in processes))
        await self.await_version(processes, 1)
        return processes

    async def await_version(self, processes: Sequence[RoleProcess], version: int) -> None:
        """Wait until all hollow gateways have this version, for at most UPDATE_TIMEOUT_S."""
        await asyncio.gather(
            *(
                process.call("await_version", UpdateCoverage, version=version, within_s=UPDATE_TIMEOUT_S)
                for process in processes
            )
        )

    async def publish_changes(self, discovery: RoleProcess, versions: int, gap_s: float) -> PublishedChanges:
        """Publish this number of versions, each of which changes one endpoint.

        Raises:
            ChildError: No watch was open to receive the changes.
        """
        changes = await discovery.call("publish_changes", PublishedChanges, versions=versions, gap_s=gap_s)
        if not changes.sent_bytes:
            raise ChildError(f"{discovery.name}: no open watch received the changes")
        return changes

    async def discovery_statistics(self, discovery: RoleProcess) -> DiscoveryStatistics:
        """Return the statistics of discovery since its start."""
        return await discovery.call("statistics", DiscoveryStatistics)

    async def server_statistics(self) -> ServerStatistics:
        """Return the statistics of the servers since the last reset."""
        return await self.servers.call("statistics", ServerStatistics)

    async def run_load(
        self,
        label: str,
        ports: Sequence[int],
        seed: int,
        rate: float,
        generator: RoleProcess | None = None,
    ) -> PhaseReports:
        """Run one phase of load.

        Args:
            label: Label whose totals the phase is added to.
            ports: Ports that requests are sent to.
            seed: Seed of the phase.
            rate: Requests per second.
            generator: Load generator to use; None for the shared one.
        """
        load = self.config.load
        return await (generator or self.load).call(
            "run",
            PhaseReports,
            timeout_s=load.seconds + load.deadline_ms / 1000.0 + LOAD_GRACE_S,
            label=label,
            ports=list(ports),
            seed=seed,
            rate=rate,
            seconds=load.seconds,
            tenants=load.tenants,
            skew=load.skew,
        )
