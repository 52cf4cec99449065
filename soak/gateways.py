"""The gateways of a soak: started, stopped, killed, upgraded, reloaded, held up, and their logs read."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

from scale.child_process import ChildProcess
from scale.fleet.gateways import gateway_command
from scale.supervisor import Supervisor
from soak.records import Detachment, GatewayOutage, GatewayShutdown, OutageKind, ProcessEnd
from soak.settings import DEADLINE_S, KILL_GRACE_S
from soak.shim import ShimControl
from soak.violation import Rule, Violation

READY_TIMEOUT_S = 10.0
READY_INTERVAL_S = 0.03
ADMIN_TIMEOUT_S = 1.5
END_CHECK_S = 0.01
UPGRADE_END_TIMEOUT_S = 5.0
RESUME_S = 0.2
VIOLATIONS_AT_END = re.compile(r"shutdown complete .*violations=(\d+)")
VIOLATION_LINE = "invariant violated"


_drawn_ports: set[int] = set()


def free_port() -> int:
    """A port of loopback that nobody listens on, and that this run has not drawn before."""
    while True:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = int(listener.getsockname()[1])
        if port not in _drawn_ports:
            _drawn_ports.add(port)
            return port


async def admin_call(port: int, line: bytes, body: bytes = b"") -> tuple[int, str]:
    """Make an operator's call; 0 in place of the status where nobody answers."""
    try:
        async with asyncio.timeout(ADMIN_TIMEOUT_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"%b HTTP/1.1\r\nContent-Length: %d\r\n\r\n%b" % (line, len(body), body))
            response = await reader.read()
            writer.close()
    except (OSError, TimeoutError):
        return 0, ""
    head, _, text = response.partition(b"\r\n\r\n")
    return (int(head.split()[1]), text.decode()) if head.startswith(b"HTTP/") else (0, "")


class GatewayProcess:
    """One process of a gateway."""

    def __init__(self, child: ChildProcess, admin_port: int, log_path: Path) -> None:
        self.child = child
        self.admin_port = admin_port
        self.log_path = log_path
        self.started_s = time.monotonic()
        self.was_killed = False
        self.was_ready = False
        self.is_overdue = False
        self.stop_sent_s = 0.0

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if it still runs."""
        if self.child.is_running:
            with suppress(ProcessLookupError):
                os.kill(self.child.pid, number)

    def kill(self) -> None:
        """End it outright."""
        self.was_killed = True
        self.send(signal.SIGKILL)

    async def is_ready(self) -> bool:
        """Whether it says that it is ready."""
        status, _ = await admin_call(self.admin_port, b"GET /_ready")
        return status == 200

    async def wait_for_end(self, timeout_s: float) -> bool:
        """Wait until it has ended; whether it has."""
        end_s = time.monotonic() + timeout_s
        while self.child.is_running and time.monotonic() < end_s:  # noqa: ASYNC110 - no event tells
            await asyncio.sleep(END_CHECK_S)
        return not self.child.is_running


class SoakGateway:
    """One gateway: its port, its folder, its processes one after the other."""

    def __init__(
        self,
        index: int,
        supervisor: Supervisor,
        folder: Path,
        library: Path,
        document: dict[str, Any],
        planted: str,
    ) -> None:
        self.index = index
        self.port = free_port()
        self.lock = asyncio.Lock()  # one change of its processes at a time
        self.control = ShimControl(folder / f"soak-control-{index}")
        self.processes: list[GatewayProcess] = []
        self.outages: list[GatewayOutage] = []  # it was killed, or is overdue: requests may be lost
        self.shutdowns: list[GatewayShutdown] = []  # from SIGTERM to the end
        self.detachments: list[Detachment] = []
        self.start_violations: list[Violation] = []
        self._detached: dict[str, float] = {}
        self._supervisor = supervisor
        self._folder = folder
        self._library = library
        self._planted = planted
        self._document = {**document, "listen": f"127.0.0.1:{self.port}", "name": f"n{index}"}
        self._config_path = folder / f"soak-config-{index}.json"
        self._temporary_folder = folder / f"tmp-{index}"
        self._temporary_folder.mkdir()
        self.write_config(document["discovery"])

    @property
    def current(self) -> GatewayProcess:
        """The process that was started last."""
        return self.processes[-1]

    def write_config(self, discovery: str) -> None:
        """Write the configuration, with this address of discovery."""
        self._document["discovery"] = discovery
        self._config_path.write_text(json.dumps(self._document))

    def write_half_config(self) -> None:
        """Write only a part of the configuration, as one that is being written."""
        text = self._config_path.read_text()
        self._config_path.write_text(text[: len(text) // 2])

    # ---- Start and end

    async def start(self) -> GatewayProcess:
        """Start a process; return at once."""
        admin_port = free_port()
        name = f"gateway-{self.index}-{len(self.processes)}"
        environment = {
            "EDGE_CONFIG": str(self._config_path),
            "EDGE_MGMT": f"127.0.0.1:{admin_port}",
            "TMPDIR": str(self._temporary_folder),
            "LD_PRELOAD": str(self._library),
            "SOAK_SHIM_CONTROL": str(self.control.path),
            "SOAK_SHIM_SEED": str(1000 * self.index + len(self.processes)),
        }
        command = gateway_command()
        if self._planted:
            environment["SOAK_PLANTED"] = self._planted
            command = f"exec {sys.executable} -m soak.planted"
        child = await self._supervisor.start_program(name, command, environment)
        process = GatewayProcess(child, admin_port, self._supervisor.log_folder / f"{name}.log")
        self.processes.append(process)
        return process

    async def wait_until_ready(self, process: GatewayProcess) -> bool:
        """Wait until a process is ready; one that is not in time is noted."""
        while time.monotonic() - process.started_s < READY_TIMEOUT_S and process.child.is_running:
            if await process.is_ready():
                process.was_ready = True
                return True
            await asyncio.sleep(READY_INTERVAL_S)
        if not process.was_killed:
            self.start_violations.append(Violation(Rule.START, process.child.name, "not ready within 10 s"))
        return False

    async def _end(self, process: GatewayProcess, timeout_s: float) -> None:
        """Send SIGTERM, and SIGKILL when that comes."""
        start_s = process.stop_sent_s = time.monotonic()
        process.send(signal.SIGTERM)
        if not await process.wait_for_end(timeout_s):
            process.is_overdue = True
            process.kill()
            await process.wait_for_end(timeout_s)
        self.shutdowns.append(GatewayShutdown(gateway=self.index, start_s=start_s, end_s=time.monotonic()))

    def _forget_detachments(self) -> None:
        """A process that starts from nothing knows of none."""
        for server in list(self._detached):
            self._note_attached(server)

    async def restart(self) -> None:
        """A planned restart."""
        self._forget_detachments()
        await self._end(self.current, DEADLINE_S + KILL_GRACE_S)
        await self.wait_until_ready(await self.start())

    async def crash(self) -> None:
        """It is killed outright, and started again."""
        self._forget_detachments()
        start_s = time.monotonic()
        self.current.kill()
        await self.current.wait_for_end(1.0)
        self.outages.append(
            GatewayOutage(kind=OutageKind.CRASH, gateway=self.index, start_s=start_s, end_s=time.monotonic())
        )
        await self.wait_until_ready(await self.start())

    async def upgrade(self) -> None:
        """A new version beside the old one, then SIGTERM to that."""
        old, new = self.current, await self.start()
        if await self.wait_until_ready(new):
            await self._end(old, UPGRADE_END_TIMEOUT_S)
        else:
            await self._kill_new(old, new)

    async def upgrade_early_term(self, after_s: float) -> None:
        """SIGTERM comes to the old version before the new one is ready, in whatever they are doing."""
        self._forget_detachments()  # they may be lost, as by a restart
        old, new = self.current, await self.start()
        await asyncio.sleep(after_s)
        _, is_ready = await asyncio.gather(
            self._end(old, DEADLINE_S + KILL_GRACE_S), self.wait_until_ready(new)
        )
        if not is_ready:
            new.kill()

    async def upgrade_new_dies(self, after_s: float) -> None:
        """The new version is killed a while after its start; the old one has to serve on."""
        old, new = self.current, await self.start()
        await asyncio.sleep(after_s)
        start_s = time.monotonic()
        await self._kill_new(old, new)
        await asyncio.sleep(RESUME_S)
        while not await old.is_ready() and time.monotonic() - start_s < READY_TIMEOUT_S:  # noqa: ASYNC110
            await asyncio.sleep(READY_INTERVAL_S)
        if not await old.is_ready():
            detail = "does not serve on after the new version died"
            self.start_violations.append(Violation(Rule.START, old.child.name, detail))

    async def _kill_new(self, old: GatewayProcess, new: GatewayProcess) -> None:
        """Kill a new version; the old one is the current process again."""
        start_s = time.monotonic()
        new.kill()
        await new.wait_for_end(1.0)
        self.outages.append(
            GatewayOutage(
                kind=OutageKind.NEW_VERSION_KILLED,
                gateway=self.index,
                start_s=start_s,
                end_s=time.monotonic(),
            )
        )
        self.processes.remove(new)
        self.processes.insert(self.processes.index(old), new)

    async def upgrade_old_dies(self) -> None:
        """The old version is killed as soon as the new one serves."""
        old = self.current
        if await self.wait_until_ready(await self.start()):
            start_s = time.monotonic()
            old.kill()
            await old.wait_for_end(1.0)
            self.outages.append(
                GatewayOutage(
                    kind=OutageKind.OLD_VERSION_KILLED,
                    gateway=self.index,
                    start_s=start_s,
                    end_s=time.monotonic(),
                )
            )

    async def pause(self, seconds: float) -> None:
        """It is held up for a moment."""
        process = self.current
        process.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.send(signal.SIGCONT)

    def reload(self) -> None:
        """SIGHUP to its processes that are ready; by TERMS it does not come before."""
        for process in self.processes:
            if process.was_ready:
                process.send(signal.SIGHUP)

    # ---- Detachments

    async def detach(self, server: str) -> None:
        """Detach a server; from the yes on nothing may go there."""
        status, _ = await admin_call(self.current.admin_port, b"POST /_servers/detach", server.encode())
        if status == 200:
            self._detached[server] = time.monotonic()

    async def attach(self, server: str) -> None:
        """Attach a server again."""
        self._note_attached(server)
        await admin_call(self.current.admin_port, b"POST /_servers/attach", server.encode())

    def _note_attached(self, server: str) -> None:
        since_s = self._detached.pop(server, None)
        if since_s is not None:
            self.detachments.append(
                Detachment(server=server, gateway=self.index, start_s=since_s, end_s=time.monotonic())
            )

    # ---- The end of the play

    async def finish(self) -> list[ProcessEnd]:
        """End the last process; how all of them ended."""
        self._forget_detachments()
        async with self.lock:
            await self._end(self.current, DEADLINE_S + KILL_GRACE_S)
        return [self._process_end(process) for process in self.processes]

    def _process_end(self, process: GatewayProcess) -> ProcessEnd:
        log = process.log_path.read_text(errors="replace") if process.log_path.exists() else ""
        counted = [int(number) for number in VIOLATIONS_AT_END.findall(log)]
        violations = max([*counted, log.count(VIOLATION_LINE)])
        exit_code = process.child.exit_code
        return ProcessEnd(
            process.child.name, self.index, exit_code, process.was_killed, process.is_overdue, log, violations
        )
