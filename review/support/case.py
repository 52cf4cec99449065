"""Runs a case: starts its processes, writes its record, and ends all that it started."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from support.discovery import Discovery, instance

ROOT = Path(__file__).parent.parent.parent
RUN_COMMAND: str = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
READY_TIMEOUT_S = 10.0
LIMIT_S = 110.0

# The settings of the site samkoer-main where they matter, as a gateway gets them.
SETTINGS: dict[str, Any] = {
    "balancers": 2,
    "slot_no": 0,
    "locality": "room-a",
    "zones": ["room-a"],
    "discovery": "automatic",
    "tick_ms": 4.0,
    "services": [],
    "tariffs": [],
    "limits": {
        "attempts_cap": 5,
        "may_duplicate": True,
        "cancelling": True,
        "probes": False,
        "peers": False,
        "retry_after": True,
        "open_cap": 20000,
        "connect_timeout_ms": 250.0,
        "max_retry_after_ms": 500.0,
        "conn_idle_ms": 30000.0,
    },
    "contract": {
        "answer_slack_ms": 16.0,
        "drain_grace_ms": 2000.0,
        "start_capacity": 0.19,
        "warm_up_ms": 18000.0,
        "tip_multiple": 2.5,
        "fall_ms": 3000.0,
        "must_ask_in_ms": 10000.0,
    },
    "load_info": {"how": "none", "names": []},
    "family_info": {
        "meter_ms": 1000.0,
        "largest": 4,
        "settles": False,
        "has_counter": False,
        "count_limit_ms": 0.0,
    },
    "deductions": {"cross_zone": 0.02},
}


def service(name: str, slo_ms: float, effect: str, **other: Any) -> dict[str, Any]:
    """Return the settings of a class with the deadline of the site."""
    return {
        "name": name,
        "slo_ms": slo_ms,
        "hard_limit_ms": 1500.0,
        "effect": effect,
        "key_scope": "all",
        "memory_span_ms": 1500.0,
        "late_share": 0.2,
        "value": 1.0,
        "stream": False,
        **other,
    }


def tariff(name: str, **other: Any) -> dict[str, Any]:
    """Return the settings of a plan without quotas, but for those given."""
    return {
        "name": name,
        "refill": 0.0,
        "most_at_once": 0.0,
        "parallel": 0,
        "value_factor": 1.0,
        "excess_worth": 0.0,
        "overrun_cost": 1.2,
        "cap_rate": 0.0,
        "cap_depth": 0.0,
        "hard_slack": 0.0,
        **other,
    }


def free_port() -> int:
    """Return a loopback port that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port: int = listener.getsockname()[1]
        return port


class Gateway:
    """One gateway: its addresses, its configuration, and its processes."""

    def __init__(self, case: Case, index: int, settings: dict[str, Any], limits: dict[str, Any]) -> None:
        self.case = case
        self.name = f"n{index}"
        self.port = free_port()
        self.folder = case.folder / f"tmp-{index}"
        self.folder.mkdir()
        self._config = case.folder / f"config-{index}.json"
        document = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{case.discovery.port}",
            "seed": f"8c1f30d27a5be96{index:x}",
            "limits": limits,
            "known": case.discovery.document,
            "settings": {**settings, "slot_no": index},
        }
        self._config.write_text(json.dumps(document))

    async def start(self) -> GatewayProcess:
        """Start a process by the deploy file's command; return once it is ready."""
        admin_port = free_port()
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(self.folder),
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": f"127.0.0.1:{self.port}",
            "EDGE_DISCOVERY": f"127.0.0.1:{self.case.discovery.port}",
            "EDGE_CONFIG": str(self._config),
            "EDGE_MGMT": f"127.0.0.1:{admin_port}",
        }
        process = self.case.start_process(["/bin/sh", "-c", RUN_COMMAND], environment, stderr=True)
        started = GatewayProcess(process, admin_port)
        await started.wait_until_ready()
        return started


class GatewayProcess:
    """A process of a gateway."""

    def __init__(self, process: subprocess.Popen[bytes], admin_port: int) -> None:
        self.process = process
        self._admin_port = admin_port

    async def wait_until_ready(self) -> None:
        """Wait for the yes to the operators' call ``_ready``."""
        give_up_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < give_up_s and self.process.poll() is None:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self._admin_port)
                writer.write(b"GET /_ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
                answer = await reader.read()
                writer.close()
                if answer.startswith(b"HTTP/1.1 200"):
                    return
            except OSError:
                pass
            await asyncio.sleep(0.02)
        raise RuntimeError("a gateway did not get ready")


class Case:
    """One run of a case."""

    def __init__(self, folder: Path) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.discovery = Discovery([])
        self._log = self.folder / "servers.jsonl"
        self._processes: list[subprocess.Popen[bytes]] = []
        self.servers: dict[str, subprocess.Popen[bytes]] = {}
        self._record = (folder / "record.txt").open("w", buffering=1)
        self._zero_s = time.monotonic()

    def start_process(
        self, command: list[str], environment: dict[str, str], stderr: bool = False
    ) -> subprocess.Popen[bytes]:
        """Start a process, which is ended with the case."""
        with (self.folder / f"process-{len(self._processes)}.log").open("wb") as output:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output if stderr else subprocess.PIPE,
                stderr=output if stderr else subprocess.DEVNULL,
            )
        self._processes.append(process)
        return process

    async def start_servers(self, count: int, behaviour: dict[str, Any]) -> None:
        """Start servers, then discovery, which lists them."""
        program = str(Path(__file__).parent / "server.py")
        for number in range(count):
            name = f"s-{number}"
            command = [sys.executable, program, name, str(self._log), json.dumps(behaviour)]
            process = self.start_process(command, dict(os.environ))
            assert process.stdout
            port = int(await asyncio.to_thread(process.stdout.readline))
            self.servers[name] = process
            self.discovery.document["instances"].append(instance(name, port))  # type: ignore[attr-defined]
        await self.discovery.start()

    def server_events(self) -> list[dict[str, Any]]:
        """Return what the servers have logged so far, in the order of time."""
        if not self._log.exists():
            return []
        lines = self._log.read_text().splitlines()
        return sorted((json.loads(line) for line in lines), key=lambda event: event["t"])

    def note(self, text: str, at_s: float | None = None) -> None:
        """Write a line to the record, with the seconds since the start of the case."""
        at_s = time.monotonic() if at_s is None else at_s
        self._record.write(f"{at_s - self._zero_s:9.3f} {text}\n")

    def note_servers(self) -> None:
        """Write what the servers have logged to the record."""
        for event in self.server_events():
            details = " ".join(f"{key}={value}" for key, value in event.items() if key not in ("t", "what"))
            self.note(f"server: {event['what']} {details}", event["t"])

    def note_gateway_logs(self) -> None:
        """Write the logs of the gateways to the record."""
        for path in sorted(self.folder.glob("process-*.log")):
            for line in path.read_text(errors="replace").splitlines():
                self._record.write(f"{path.stem}: {line}\n")

    def close(self) -> None:
        """End all processes, and remove the temporary folder."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
        for process in self._processes:
            process.wait()
        self.note_gateway_logs()
        self._record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder: Path, play: Callable[[Case], Awaitable[bool]]) -> int:
    """Play a case and judge it.

    Args:
        folder: The folder of the case, for its record.
        play: Plays the case; returns whether the rule held.

    Returns:
        The exit code of the case's script.
    """
    case = Case(folder)

    async def bounded() -> bool:
        async with asyncio.timeout(LIMIT_S):
            return await play(case)

    try:
        held = asyncio.run(bounded())
    except Exception as error:  # whatever kept the case from running
        case.note(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        return COULD_NOT_RUN
    finally:
        case.close()
    print("held" if held else "BROKEN")
    return HELD if held else BROKEN
