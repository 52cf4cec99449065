"""Starts gateways by the ``run`` line of the deploy file, as separate processes."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import tomllib
from asyncio.subprocess import Process
from contextlib import suppress
from pathlib import Path

from standins.settings import Addresses

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 30.0  # the longest time that the pages give a gateway to be ready


def free_address() -> str:
    """Return a loopback address whose port is free now."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
        return f"{host}:{port}"


class CaseCannotRunError(Exception):
    """The case can't run here; this says nothing about the gateway."""


class Gateway:
    """One gateway process, and the files that it is given."""

    def __init__(self, folder: Path, configuration: Path, addresses: Addresses, log_name: str) -> None:
        self.addresses = addresses
        self.log_path = folder / f"{log_name}.log"
        self._configuration = configuration
        self._temporary = folder / "tmp"
        self._process: Process | None = None

    @property
    def pid(self) -> int:
        """The id of the process."""
        assert self._process is not None
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """The exit code of the process; None while it runs."""
        return self._process.returncode if self._process else None

    async def start(self) -> None:
        """Start the process by the deploy file's ``run`` line."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self._temporary.mkdir(exist_ok=True)
        environment = {
            **os.environ,
            "EDGE_NAME": "n1",
            "EDGE_LISTEN": self.addresses.listen,
            "EDGE_DISCOVERY": self.addresses.discovery,
            "EDGE_MGMT": self.addresses.management,
            "EDGE_CONFIG": str(self._configuration),
            "TMPDIR": str(self._temporary),
        }
        environment.pop("PYTHONPATH", None)
        with self.log_path.open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_until_ready(self) -> None:
        """Wait until the operators' call says that the process is ready.

        Raises:
            CaseCannotRunError: The process is not ready in time.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + READY_TIMEOUT_S
        while loop.time() < end_s and self.exit_code is None:
            with suppress(OSError):
                if (await self.operator_call("GET", "/_ready"))[:1] == "2":
                    return
            await asyncio.sleep(0.02)
        raise CaseCannotRunError(f"the gateway is not ready: {self.log_path.read_text()[-2000:]}")

    async def operator_call(self, method: str, path: str, body: str = "") -> str:
        """Make one operators' call; return the status code of its answer, empty without one."""
        host, _, port = self.addresses.management.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write((head + body).encode())
        answer = (await reader.read()).decode()
        writer.close()
        return answer.split(" ")[1] if " " in answer else ""

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it still runs."""
        if self._process and self.exit_code is None:
            with suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def wait(self, timeout_s: float) -> int | None:
        """Wait for the process to end; return its exit code, or None if it still runs."""
        assert self._process is not None
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._process.wait()
        return self.exit_code

    async def kill(self) -> None:
        """Kill the process if it still runs."""
        self.signal(signal.SIGKILL)
        if self._process:
            await self._process.wait()

    def memory_kb(self, name: str) -> int:
        """Return a figure of the process's memory, such as ``VmHWM``, in KiB; 0 if the process has ended."""
        with suppress(OSError):
            for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
                if line.startswith(f"{name}:"):
                    return int(line.split()[1])
        return 0
