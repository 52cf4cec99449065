"""Real gateways, started with the ``run`` command of deploy/balancer.toml."""

from __future__ import annotations

import asyncio
import json
import socket
import sys
import time
import tomllib
from pathlib import Path
from typing import Any

from scale.child_process import ChildError, ChildProcess
from scale.fleet.gateway_settings import settings_document
from scale.supervisor import REPOSITORY, Supervisor

READY_TIMEOUT_S = 30.0
PING_INTERVAL_S = 0.02

MEMORY_MB = 192
DESCRIPTORS = 1024
"""Limits of memory and file descriptors that a gateway has on the scored days (DEPLOY)."""

SETTLED_INTERVAL_S = 0.6
SETTLED_CPU_S = 0.015
"""A gateway that uses at most this processor time in an interval counts as having read all its input."""

SETTLED_TIMEOUT_S = 30.0


def gateway_command() -> str:
    """Return the deploy file's ``run`` command, with this interpreter if its environment does not exist."""
    run = str(tomllib.loads((REPOSITORY / "deploy" / "balancer.toml").read_text())["run"])
    is_built = (REPOSITORY / ".venv" / "bin" / "python").exists()
    return run if is_built else run.replace(".venv/bin/python", sys.executable)


def _free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return int(listener.getsockname()[1])


class RealGateway:
    """A real gateway in a process of its own.

    Attributes:
        process: Process of the gateway.
        port: Port that clients connect to.
    """

    def __init__(self, process: ChildProcess, port: int, log_path: Path) -> None:
        self.process = process
        self.port = port
        self._log_path = log_path

    async def wait_until_ready(self) -> float:
        """Wait until the gateway answers PING; return the waiting time in seconds.

        Raises:
            ChildError: The gateway is not ready after READY_TIMEOUT_S.
        """
        start_s = time.monotonic()
        while not await self._answers_ping():
            if time.monotonic() - start_s > READY_TIMEOUT_S:
                raise ChildError(f"{self.process.name}: not ready after {READY_TIMEOUT_S:g} s")
            await asyncio.sleep(PING_INTERVAL_S)
        return time.monotonic() - start_s

    async def _answers_ping(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        writer.write(b"*1\r\n$4\r\nPING\r\n")
        reply = await reader.readline()
        writer.close()
        return reply == b"+PONG\r\n"

    async def wait_until_settled(self) -> None:
        """Wait until the gateway uses little processor time, for at most SETTLED_TIMEOUT_S.

        Nothing else shows that the gateway has read a list.
        """
        until_s = time.monotonic() + SETTLED_TIMEOUT_S
        cpu_s = self.process.usage().cpu_s
        while time.monotonic() < until_s:
            await asyncio.sleep(SETTLED_INTERVAL_S)
            cpu_before_s = cpu_s
            cpu_s = self.process.usage().cpu_s
            if cpu_s - cpu_before_s <= SETTLED_CPU_S:
                return

    def count_in_log(self, text: str) -> int:
        """Return the number of occurrences of a text in the gateway's log."""
        return self._log_path.read_text(errors="replace").count(text)


async def start_gateway(
    supervisor: Supervisor, number: int, gateways: int, discovery_port: int, seed: int
) -> RealGateway:
    """Start a real gateway that knows only the servers that discovery lists.

    Args:
        supervisor: Supervisor of the run's child processes.
        number: Number of the gateway within the measurement.
        gateways: Number of gateways in its settings.
        discovery_port: Port of discovery.
        seed: Seed of the run.
    """
    name = f"gateway-{supervisor.program_count}"
    port = _free_port()
    folder = supervisor.scratch_folder / name
    folder.mkdir()
    config = {
        "name": name,
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": f"{seed + number:016x}",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS},
        "known": {"generation": 0, "reset": True, "instances": []},
        "settings": settings_document(gateways, number % gateways, "a"),
    }
    process = await supervisor.start_program(name, gateway_command(), _write_environment(folder, config))
    return RealGateway(process, port, supervisor.log_folder / f"{name}.log")


def _write_environment(folder: Path, config: dict[str, Any]) -> dict[str, str]:
    """Write a gateway's configuration file and create its temporary folder; return its environment."""
    config_path = folder / "config.json"
    config_path.write_text(json.dumps(config))
    temporary_folder = folder / "tmp"
    temporary_folder.mkdir()
    return {
        "EDGE_CONFIG": str(config_path),
        "EDGE_NAME": config["name"],
        "EDGE_LISTEN": config["listen"],
        "EDGE_DISCOVERY": config["discovery"],
        "TMPDIR": str(temporary_folder),
    }
