"""The environment of a gateway's processes: configuration, ``$TMPDIR``, discovery and one upstream server."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import tempfile
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from types import MappingProxyType
from typing import Any

from tests.support.admin_calls import send_admin_call
from tests.support.fake_discovery import FakeDiscovery, encode_chunk, encode_update, make_instance
from tests.support.fake_upstream import FakeUpstream, reply_with_request_id
from tests.support.gateway_process import PROCESS_SETTINGS, ROOT, command, free_port

READY_CALL = b"GET /_ready HTTP/1.1\r\n\r\n"


class GatewayHost:
    """The processes of one gateway, and the environment that they share."""

    def __init__(
        self,
        folder: Path,
        upstream: FakeUpstream,
        discovery: FakeDiscovery,
        settings: dict[str, Any],
    ) -> None:
        self.settings = settings
        self.folder = folder
        self.upstream = upstream
        self.discovery = discovery
        self.port = free_port()
        self.temporary_folder = Path(tempfile.mkdtemp())
        self.processes: list[asyncio.subprocess.Process] = []
        self.endpoint_names = ["s-1"]

    @property
    def rendezvous(self) -> Path:
        """The path of the Unix socket on which a process requests the handover."""
        return self.temporary_folder / f"handover-127.0.0.1-{self.port}"

    async def send_snapshot(self, *names: str) -> None:
        """Wait for the next watch and send a complete endpoint list on it."""
        _, watch = await self.discovery.next_watch()
        instances = (make_instance(name, self.upstream.port) for name in names)
        watch.write(encode_chunk(encode_update(2, *instances, reset=True)))

    async def start(
        self,
        with_snapshot: bool = True,
        environment: Mapping[str, str] = MappingProxyType({}),
        program: str = "",
    ) -> tuple[asyncio.subprocess.Process, int]:
        """Start another process of the gateway.

        Args:
            with_snapshot: Whether discovery sends the process a complete endpoint list.
            environment: Variables to add to those that every process gets.
            program: Shell command to run in place of that of the deploy file.

        Returns:
            The process and the port of its admin server.
        """
        admin_port = free_port()
        path = self.folder / f"config{len(self.processes)}.json"
        path.write_text(json.dumps(self._config(admin_port)))
        env = {
            **os.environ,
            "EDGE_CONFIG": str(path),
            "TMPDIR": str(self.temporary_folder),
            **environment,
        }
        for name in ("EDGE_LISTEN", "EDGE_DISCOVERY", "EDGE_MGMT"):
            env.pop(name, None)
        process = await asyncio.create_subprocess_shell(program or command(), cwd=ROOT, env=env)
        self.processes.append(process)
        if with_snapshot:
            await self.send_snapshot(*self.endpoint_names)
        return process, admin_port

    def _config(self, admin_port: int) -> dict[str, Any]:
        return {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "mgmt": f"127.0.0.1:{admin_port}",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 80, "sockets": 384},
            "known": {"generation": 1, "reset": True, "instances": []},
            "settings": self.settings,
        }

    async def close(self) -> None:
        """Kill the running processes and delete the temporary folder."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        shutil.rmtree(self.temporary_folder, ignore_errors=True)


@asynccontextmanager
async def gateway_host(
    folder: Path,
    respond: Callable[[list[bytes]], bytes | None] = reply_with_request_id,
    settings: dict[str, Any] = PROCESS_SETTINGS,
) -> AsyncIterator[GatewayHost]:
    """Run discovery and an upstream server for a gateway whose processes the test starts."""
    async with FakeUpstream(respond) as upstream, FakeDiscovery() as discovery:
        host = GatewayHost(folder, upstream, discovery, settings)
        try:
            yield host
        finally:
            await host.close()


async def wait_ready(admin_port: int) -> None:
    """Wait until the admin server of a process reports that it is ready."""
    while True:
        with suppress(OSError):
            if (await send_admin_call(admin_port, READY_CALL)).startswith(b"HTTP/1.1 200 "):
                return
        await asyncio.sleep(0.02)
