"""Plays a soak: starts its processes, lets the troubles of its plan overlap, gathers what was recorded."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import structlog

from scale.child_process import RoleProcess
from scale.supervisor import Supervisor
from soak.fault_kinds import FaultKind
from soak.gateways import SoakGateway
from soak.plan import (
    LINK_TROUBLES,
    MOMENTARY_SERVER_TROUBLES,
    SERVER_TROUBLES,
    WALL_STEPS_S,
    Trouble,
    draw_plan,
)
from soak.records import (
    CommandRecord,
    EndpointChange,
    FaultRecord,
    RequestRecord,
    ServerColdStart,
    SoakRecords,
)
from soak.settings import CLASSES, MEAN_SERVICE_S, SERVER_CAPACITY, SoakConfig, gateway_settings
from soak.shim import build_shim

DRAIN_S = 11.0
GONE_S = 1.0
MAX_PAUSE_S = 0.12
MAX_FAULT_PERCENT = 25.0
SETTLE_S = 3.0
HALF_WRITTEN_S = 0.12


class SoakPlay:
    """One play of one seed."""

    def __init__(self, config: SoakConfig, folder: Path) -> None:
        self._config = config
        self._folder = folder
        self._records = SoakRecords()
        self._gateways: list[SoakGateway] = []
        self._clients: list[RoleProcess] = []
        self._servers: dict[str, RoleProcess] = {}
        self._busy_servers: set[str] = set()

    async def run(self) -> SoakRecords:
        """Play it; what was recorded."""
        log = structlog.get_logger()
        async with Supervisor(self._config, self._folder, log, child_module="soak.child") as supervisor:
            await self._start_world(supervisor)
            self._start_s = time.monotonic()
            async with asyncio.TaskGroup() as group:
                for trouble in draw_plan(self._config):
                    group.create_task(self._play_trouble(trouble))
            await asyncio.sleep(SETTLE_S)
            await self._gather()
        return self._records

    # ---- The world

    async def _start_world(self, supervisor: Supervisor) -> None:
        config = self._config
        server_ports: dict[str, int] = {}
        for names in config.server_names:
            child, ports = await supervisor.start_role(
                "servers",
                dict[str, int],
                names=names,
                capacity=SERVER_CAPACITY,
                mean_service_s=MEAN_SERVICE_S,
                seed=config.seed,
            )
            server_ports |= ports
            self._servers |= dict.fromkeys(names, child)
        self._proxy, link_ports = await supervisor.start_role(
            "proxy", dict[str, int], server_ports=server_ports, seed=config.seed
        )
        endpoints = [_endpoint(name, link_ports[name]) for name in server_ports]
        self._discovery, self._discovery_port = await supervisor.start_role(
            "discovery", int, endpoints=endpoints
        )
        await self._start_gateways(supervisor, endpoints)
        for number in range(1, config.client_processes + 1):
            child, _ = await supervisor.start_role(
                "clients",
                type(None),
                gateway_ports=[gateway.port for gateway in self._gateways],
                class_names=list(CLASSES),
                connections=config.connections,
                seed=config.seed,
                number=number,
            )
            self._clients.append(child)

    async def _start_gateways(self, supervisor: Supervisor, endpoints: list[dict[str, Any]]) -> None:
        config = self._config
        library = build_shim(self._folder)
        for index in range(config.gateways):
            document = {
                "discovery": f"127.0.0.1:{self._discovery_port}",
                "seed": f"{config.seed:08x}{index:08x}",
                "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 400},
                "known": {"generation": 1, "reset": True, "instances": endpoints},
                "settings": gateway_settings(config, index, may_duplicate=config.seed % 2 == 0),
            }
            gateway = SoakGateway(index, supervisor, self._folder, library, document, config.planted)
            self._gateways.append(gateway)
        started = [await gateway.start() for gateway in self._gateways]
        for gateway, process in zip(self._gateways, started, strict=True):
            await gateway.wait_until_ready(process)

    async def _gather(self) -> None:
        records = self._records
        for child in self._clients:
            await child.command("stop")
        for child in self._clients:
            records.requests += await child.call("records", list[RequestRecord])
        for child in set(self._servers.values()):
            records.commands += await child.call("records", list[CommandRecord])
        records.endpoint_changes = await self._discovery.call("records", list[EndpointChange])
        for gateway in self._gateways:
            records.processes += await gateway.finish()
            records.detachments += gateway.detachments
            records.outages += gateway.outages
            records.shutdowns += gateway.shutdowns
            records.start_violations += gateway.start_violations

    # ---- Troubles

    async def _play_trouble(self, trouble: Trouble) -> None:
        await asyncio.sleep(max(0.0, self._start_s + trouble.at_s - time.monotonic()))
        begin_s = time.monotonic()
        if trouble.kind in SERVER_TROUBLES + MOMENTARY_SERVER_TROUBLES:
            await self._play_at(self._servers[trouble.server], trouble)
        elif trouble.kind in LINK_TROUBLES:
            await self._play_at(self._proxy, trouble)
        else:
            await getattr(self, f"_play_{trouble.kind}")(trouble)
        record = FaultRecord(
            kind=FaultKind(trouble.kind),
            server=trouble.server,
            gateway=trouble.gateway,
            start_s=begin_s,
            end_s=time.monotonic(),
        )
        self._records.faults.append(record)

    async def _play_at(self, child: RoleProcess, trouble: Trouble) -> None:
        async with self._reserved(trouble.server) as is_free:
            if not is_free:
                return
            await child.command("begin_trouble", server=trouble.server, kind=trouble.kind)
            await asyncio.sleep(0.0 if trouble.kind in MOMENTARY_SERVER_TROUBLES else trouble.for_s)
            await child.command("end_trouble", server=trouble.server)

    @asynccontextmanager
    async def _reserved(self, server: str) -> AsyncIterator[bool]:
        """One trouble a server at a time, and never more than half of the servers."""
        is_free = server not in self._busy_servers and 2 * len(self._busy_servers) < len(self._servers)
        if is_free:
            self._busy_servers.add(server)
        try:
            yield is_free
        finally:
            if is_free:
                self._busy_servers.discard(server)

    async def _play_silent(self, trouble: Trouble) -> None:
        await self._discovery.command("set_silent", silent=True)
        await asyncio.sleep(trouble.for_s)
        await self._discovery.command("set_silent", silent=False)

    async def _play_refuse(self, trouble: Trouble) -> None:
        await self._discovery.command("set_refusing", refusing=True)
        await asyncio.sleep(trouble.for_s)
        await self._discovery.command("set_refusing", refusing=False)

    async def _play_drop_watches(self, _: Trouble) -> None:
        await self._discovery.command("drop_watches")

    async def _play_drain(self, trouble: Trouble) -> None:
        """A server drains for long, is gone, and comes back cold."""
        async with self._reserved(trouble.server) as is_free:
            if is_free:
                await self._discovery.command("publish", server=trouble.server, lifecycle="Terminating")
                await asyncio.sleep(DRAIN_S)
                await self._restart_server(trouble.server)

    async def _play_replace(self, trouble: Trouble) -> None:
        """A server goes at once, and comes back cold."""
        async with self._reserved(trouble.server) as is_free:
            if is_free:
                await self._restart_server(trouble.server)

    async def _restart_server(self, server: str) -> None:
        child = self._servers[server]
        await self._discovery.command("publish", server=server, lifecycle="Gone")
        await child.command("begin_trouble", server=server, kind="down")
        await asyncio.sleep(GONE_S)
        await child.command("end_trouble", server=server)
        started_at_ms = int(time.time() * 1000.0)
        self._records.cold_starts.append(ServerColdStart(server, time.monotonic()))
        await self._discovery.command(
            "publish", server=server, lifecycle="Ready", started_at_ms=started_at_ms
        )

    async def _play_detach(self, trouble: Trouble) -> None:
        """Detach and attach cross whatever happens to the gateway's processes meanwhile."""
        gateway = self._gateways[trouble.gateway]
        await gateway.detach(trouble.server)
        await asyncio.sleep(2.0 * trouble.for_s)
        await gateway.attach(trouble.server)

    async def _play_restart(self, trouble: Trouble) -> None:
        gateway = self._gateways[trouble.gateway]
        async with gateway.lock:
            await gateway.restart()

    async def _play_crash(self, trouble: Trouble) -> None:
        gateway = self._gateways[trouble.gateway]
        async with gateway.lock:
            await gateway.crash()

    async def _play_upgrade(self, trouble: Trouble) -> None:
        gateway = self._gateways[trouble.gateway]
        async with gateway.lock:
            await gateway.upgrade()

    async def _play_upgrade_early_term(self, trouble: Trouble) -> None:
        gateway = self._gateways[trouble.gateway]
        async with gateway.lock:
            await gateway.upgrade_early_term(0.8 * trouble.amount)

    async def _play_upgrade_new_dies(self, trouble: Trouble) -> None:
        gateway = self._gateways[trouble.gateway]
        async with gateway.lock:
            await gateway.upgrade_new_dies(1.2 * trouble.amount)

    async def _play_upgrade_old_dies(self, trouble: Trouble) -> None:
        gateway = self._gateways[trouble.gateway]
        async with gateway.lock:
            await gateway.upgrade_old_dies()

    async def _play_pause(self, trouble: Trouble) -> None:
        await self._gateways[trouble.gateway].pause(MAX_PAUSE_S * trouble.amount)

    async def _play_reload(self, trouble: Trouble) -> None:
        """Discovery moves; some find only half of the new configuration at first."""
        self._discovery_port = await self._discovery.call("move", int)
        for gateway in self._gateways:
            gateway.write_config(f"127.0.0.1:{self._discovery_port}")
            if trouble.amount < 0.4:
                gateway.write_half_config()
            gateway.reload()
        if trouble.amount < 0.4:
            await asyncio.sleep(HALF_WRITTEN_S)
            for gateway in self._gateways:
                gateway.write_config(f"127.0.0.1:{self._discovery_port}")

    async def _play_tcp_calls(self, trouble: Trouble) -> None:
        await self._play_calls(trouble, "tcp_percent")

    async def _play_unix_calls(self, trouble: Trouble) -> None:
        await self._play_calls(trouble, "unix_percent")

    async def _play_file_calls(self, trouble: Trouble) -> None:
        await self._play_calls(trouble, "file_percent")

    async def _play_calls(self, trouble: Trouble, name: str) -> None:
        control = self._gateways[trouble.gateway].control
        setattr(control, name, 2.0 + (MAX_FAULT_PERCENT - 2.0) * trouble.amount)
        control.apply()
        await asyncio.sleep(2.0 * trouble.for_s)
        setattr(control, name, 0.0)
        control.apply()

    async def _play_wall_step(self, trouble: Trouble) -> None:
        """The wall clock is set, and set again later."""
        control = self._gateways[trouble.gateway].control
        step_s = WALL_STEPS_S[int(trouble.amount * len(WALL_STEPS_S))]
        control.wall_step_s += step_s
        control.apply()
        await asyncio.sleep(3.0 * trouble.for_s)
        control.wall_step_s -= step_s
        control.apply()


def _endpoint(name: str, port: int) -> dict[str, Any]:
    """A server as discovery lists it."""
    return {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{port}",
        "zone": "a",
        "machineType": "m",
        "cell": 0,
        "lifecycle": "Ready",
        "weight": 1.0,
        "startedAtMs": 0,
    }
