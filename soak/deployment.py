"""Start the processes of a soak: servers, the fault proxy to them, discovery, gateways and clients."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from scale.child_process import RoleProcess
from scale.stubs.endpoint_catalog import ListedEndpoint
from scale.supervisor import Supervisor
from soak.gateways.config_file import GatewayConfigFile
from soak.gateways.gateway import SoakGateway
from soak.gateways.launcher import GatewayLauncher
from soak.gateways.ports import draw_free_port
from soak.records import ServerColdStart
from soak.settings import (
    GATEWAY_MEMORY_MB,
    MEAN_SERVICE_S,
    SERVER_CAPACITY,
    SHORT_VALUE_CLASSES,
    SoakConfig,
    gateway_settings,
)
from soak.shim import ShimControl, build_shim

GATEWAY_LIMITS = {"cores": 1.0, "memory_mb": GATEWAY_MEMORY_MB, "sockets": 400}
"""The resource limits in the configuration of each gateway."""


@dataclass(frozen=True)
class Deployment:
    """The running processes of a soak run.

    Attributes:
        server_roles: The process of each server, by the server's name.
        proxy: The fault proxy on the links to all servers.
        discovery: The process of the discovery service.
        gateways: The gateways.
        clients: The processes that run the clients.
        cold_starts: The server restarts during the run.
    """

    server_roles: dict[str, RoleProcess]
    proxy: RoleProcess
    discovery: RoleProcess
    gateways: list[SoakGateway]
    clients: list[RoleProcess]
    cold_starts: list[ServerColdStart] = field(default_factory=list)


@dataclass(frozen=True)
class StartedServers:
    """The process and the port of each server, by the server's name."""

    roles: dict[str, RoleProcess] = field(default_factory=dict)
    ports: dict[str, int] = field(default_factory=dict)


class Deployer:
    """Starts the processes of one run.

    Args:
        config: The sizes of the run.
        supervisor: Starts the processes, and ends them after the run.
        folder: The folder for configurations and temporary folders.
    """

    def __init__(self, config: SoakConfig, supervisor: Supervisor, folder: Path) -> None:
        self._config = config
        self._supervisor = supervisor
        self._folder = folder

    async def start(self) -> Deployment:
        """Start all processes; return once the gateways have started and the clients send requests.

        Raises:
            ChildError: A process has failed.
            LimitError: The run needs more processes than the configuration allows.
        """
        servers = await self._start_servers()
        proxy, link_ports = await self._supervisor.start_role(
            "proxy", dict[str, int], server_ports=servers.ports, seed=self._config.seed
        )
        endpoints = [_listed_endpoint(name, link_ports[name]) for name in servers.ports]
        discovery, discovery_port = await self._supervisor.start_role("discovery", int, endpoints=endpoints)
        gateways = await self._start_gateways(endpoints, discovery_port)
        clients = [
            await self._start_clients(number, gateways)
            for number in range(1, self._config.client_processes + 1)
        ]
        return Deployment(servers.roles, proxy, discovery, gateways, clients)

    async def _start_servers(self) -> StartedServers:
        servers = StartedServers()
        for names in self._config.server_names:
            role, process_ports = await self._supervisor.start_role(
                "servers",
                dict[str, int],
                names=names,
                capacity=SERVER_CAPACITY,
                mean_service_s=MEAN_SERVICE_S,
                seed=self._config.seed,
            )
            servers.ports.update(process_ports)
            servers.roles.update(dict.fromkeys(names, role))
        return servers

    async def _start_gateways(
        self, endpoints: list[ListedEndpoint], discovery_port: int
    ) -> list[SoakGateway]:
        """Start all gateways in parallel; return once each is ready or has missed its time limit."""
        library = build_shim(self._folder)
        gateways = [
            self._make_gateway(index, endpoints, discovery_port, library)
            for index in range(self._config.gateways)
        ]
        started = [await gateway.start() for gateway in gateways]
        for gateway, process in zip(gateways, started, strict=True):
            await gateway.wait_until_ready(process)
        return gateways

    def _make_gateway(
        self, index: int, endpoints: list[ListedEndpoint], discovery_port: int, library: Path
    ) -> SoakGateway:
        port = draw_free_port()
        shim_control = ShimControl(self._folder / f"soak-control-{index}")
        config_file = self._make_config_file(index, port, endpoints)
        config_file.write(discovery_port)
        temporary_folder = self._folder / f"tmp-{index}"
        temporary_folder.mkdir()
        launcher = GatewayLauncher(
            self._supervisor,
            index,
            config_file.path,
            shim_control.environment(library),
            temporary_folder,
            self._config.planted_fault,
        )
        return SoakGateway(index, port, config_file, launcher, shim_control)

    def _make_config_file(self, index: int, port: int, endpoints: list[ListedEndpoint]) -> GatewayConfigFile:
        config = self._config
        document = {
            "seed": f"{config.seed:08x}{index:08x}",
            "limits": GATEWAY_LIMITS,
            "known": {"generation": 1, "reset": True, "instances": msgspec.to_builtins(endpoints)},
            "settings": gateway_settings(config, index, may_duplicate=config.seed % 2 == 0),
            "listen": f"127.0.0.1:{port}",
            "name": f"n{index}",
        }
        # The fault shim recognizes configuration files by "soak-" in their path.
        return GatewayConfigFile(self._folder / f"soak-config-{index}.json", document)

    async def _start_clients(self, number: int, gateways: list[SoakGateway]) -> RoleProcess:
        role, _ = await self._supervisor.start_role(
            "clients",
            type(None),
            gateway_ports=[gateway.port for gateway in gateways],
            class_names=list(SHORT_VALUE_CLASSES),
            connections=self._config.connections_per_process,
            seed=self._config.seed,
            number=number,
        )
        return role


def _listed_endpoint(name: str, port: int) -> ListedEndpoint:
    return ListedEndpoint(
        instance_id=name,
        host_port=f"127.0.0.1:{port}",
        zone="a",
        machine_type="m",
        cell=0,
        lifecycle="Ready",
        weight=1.0,
        started_at_ms=0,
    )
