"""Real gateways, started by ``run`` of deploy/balancer.toml, and the settings that all gateways are told."""

from __future__ import annotations

import asyncio
import json
import socket
import sys
import time
import tomllib
from pathlib import Path
from typing import Any

from scale.processes import ROOT, ChildError, Children, Process

START_S = 30.0  # until it answers PING
MEMORY_MB, DESCRIPTORS = 192, 1024  # DEPLOY: at most so much on the scored days
SETTLED_S, SETTLED_CPU_S = 0.6, 0.015  # that long with no more than so much processor time: it has read all


def document(gateways: int, index: int, zone: str, classes: int = 1, quota: float = 0.0) -> dict[str, Any]:
    """The settings object (DEPLOY): so many safe classes, a plan of so many units a second, or a free one."""
    return {
        "balancers": gateways,
        "slot_no": index,
        "locality": zone,
        "discovery": "automatic",
        "tick_ms": 2.0,
        "services": [
            {
                "name": f"class-{number}",
                "slo_ms": 500.0,
                "hard_limit_ms": 2000.0,
                "effect": "safe",
                "value": 1.0,
                "late_share": 0.0,
                "key_scope": "all",
                "memory_span_ms": 5000.0,
                "stream": False,
            }
            for number in range(classes)
        ],
        "tariffs": [
            {
                "name": "plan",
                "refill": quota,
                "most_at_once": quota,
                "parallel": 0,
                "value_factor": 1.0,
                "excess_worth": 0.0,
                "overrun_cost": 1.0,
                "cap_rate": 0.0,
                "cap_depth": 0.0,
                "hard_slack": 0.0,
            }
        ],
        "limits": {
            "attempts_cap": 3,
            "may_duplicate": False,
            "cancelling": True,
            "probes": False,
            "peers": False,
            "retry_after": True,
            "open_cap": 1000,
            "connect_timeout_ms": 250.0,
            "max_retry_after_ms": 1000.0,
        },
        "contract": {
            "answer_slack_ms": 8.0,
            "drain_grace_ms": 1000.0,
            "start_capacity": 0.2,
            "warm_up_ms": 10000.0,
            "tip_multiple": 3.0,
            "fall_ms": 2000.0,
            "must_ask_in_ms": 10000.0,
        },
        "load_info": {"how": "answers", "names": ["busy", "q"]},
        "family_info": {
            "meter_ms": 1000.0,
            "largest": 1,
            "settles": False,
            "has_counter": False,
            "count_limit_ms": 0.0,
        },
        "deductions": {"cross_zone": 0.0},
    }


def command() -> str:
    """The deploy file's ``run``; where its environment is not built, this interpreter in its place."""
    run = str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])
    built = (ROOT / ".venv" / "bin" / "python").exists()
    return run if built else run.replace(".venv/bin/python", sys.executable)


def _free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return int(listener.getsockname()[1])


class Real:
    """A real gateway: its process, and the port that clients come to."""

    def __init__(self, process: Process, port: int, log: Path) -> None:
        self.process, self.port, self.log = process, port, log

    async def ready(self) -> float:
        """Wait until it answers PING; the seconds that took. ChildError after START_S."""
        start = time.monotonic()
        while not await self._pings():
            if time.monotonic() - start > START_S:
                raise ChildError(f"{self.process.name}: not ready after {START_S:g} s")
            await asyncio.sleep(0.02)
        return time.monotonic() - start

    async def _pings(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        writer.write(b"*1\r\n$4\r\nPING\r\n")
        answer = await reader.readline()
        writer.close()
        return answer == b"+PONG\r\n"

    async def settled(self, within_s: float = 30.0) -> None:
        """Wait until it takes next to no processor time: there is no other sign that a list has been read."""
        until = time.monotonic() + within_s
        spent = self.process.usage().cpu_s
        while time.monotonic() < until:
            await asyncio.sleep(SETTLED_S)
            before, spent = spent, self.process.usage().cpu_s
            if spent - before <= SETTLED_CPU_S:
                return

    def says(self, words: str) -> int:
        """How many lines of its log hold these words."""
        return self.log.read_text(errors="replace").count(words)


async def start(children: Children, number: int, gateways: int, discovery: int, seed: int) -> Real:
    """One more real gateway; it knows no servers but what discovery at this port tells."""
    name, port = f"gateway-{children.programs}", _free_port()
    folder = Path(children.scratch.name) / name
    folder.mkdir()
    path = folder / "config.json"
    path.write_text(
        json.dumps(
            {
                "name": name,
                "listen": f"127.0.0.1:{port}",
                "discovery": f"127.0.0.1:{discovery}",
                "seed": f"{seed + number:016x}",
                "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS},
                "known": {"generation": 0, "reset": True, "instances": []},
                "settings": document(gateways, number % gateways, "a"),
            }
        )
    )
    temporary = folder / "tmp"
    temporary.mkdir()
    environment = {
        "EDGE_CONFIG": str(path),
        "EDGE_NAME": name,
        "EDGE_LISTEN": f"127.0.0.1:{port}",
        "EDGE_DISCOVERY": f"127.0.0.1:{discovery}",
        "TMPDIR": str(temporary),
    }
    process = await children.program(name, command(), environment)
    return Real(process, port, children.folder / f"{name}.log")
