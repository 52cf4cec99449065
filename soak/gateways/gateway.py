"""One gateway of a soak: its processes run one after another, or side by side during an upgrade."""

from __future__ import annotations

import asyncio
import signal
import time

from soak.gateways.admin_call import ATTACH_CALL, DETACH_CALL, is_accepted
from soak.gateways.config_file import GatewayConfigFile
from soak.gateways.launcher import GatewayLauncher
from soak.gateways.process import GatewayProcess
from soak.records import Detachment, GatewayOutage, GatewayShutdown, OutageKind, ProcessEnd
from soak.settings import SHUTDOWN_TIMEOUT_S
from soak.shim import ShimControl
from soak.violation import Rule, Violation

READY_TIMEOUT_S = 10.0
READY_CHECK_INTERVAL_S = 0.03
KILL_TIMEOUT_S = 1.0


class SoakGateway:
    """A gateway, with its records for the oracle.

    Args:
        index: Its index among the gateways.
        port: The port that clients connect to.
        config_file: Its configuration.
        launcher: Starts its processes.
        shim_control: Controls its failing system calls and its wall clock.

    Attributes:
        port: The port that clients connect to.
        config_file: Its configuration.
        shim_control: Controls its failing system calls and its wall clock.
        change_lock: Held while its processes are changed.
        processes: All its processes, the current one last.
        outages: The time spans in which a process was killed.
        shutdowns: The time spans in which a process was ended by SIGTERM.
        detachments: The time spans in which a server was detached.
        start_violations: The violations by processes that were not ready in time.
    """

    def __init__(
        self,
        index: int,
        port: int,
        config_file: GatewayConfigFile,
        launcher: GatewayLauncher,
        shim_control: ShimControl,
    ) -> None:
        self.port = port
        self.config_file = config_file
        self.shim_control = shim_control
        self.change_lock = asyncio.Lock()
        self.processes: list[GatewayProcess] = []
        self.outages: list[GatewayOutage] = []
        self.shutdowns: list[GatewayShutdown] = []
        self.detachments: list[Detachment] = []
        self.start_violations: list[Violation] = []
        self._index = index
        self._launcher = launcher
        self._detached_since_s: dict[str, float] = {}

    @property
    def current(self) -> GatewayProcess:
        """The process that was started last, or the old version after `kill_new_version`."""
        return self.processes[-1]

    # ---- Processes

    async def start(self) -> GatewayProcess:
        """Start a process; return before it is ready."""
        process = await self._launcher.start(len(self.processes))
        self.processes.append(process)
        return process

    async def wait_until_ready(self, process: GatewayProcess) -> bool:
        """Wait until a process is ready; if it isn't, record a violation unless the soak killed it.

        Returns:
            Whether the process is ready.
        """
        while time.monotonic() - process.started_s < READY_TIMEOUT_S and process.is_running:
            if await process.is_ready():
                process.was_ready = True
                return True
            await asyncio.sleep(READY_CHECK_INTERVAL_S)
        if not process.was_killed:
            self.record_start_violation(process, f"not ready within {READY_TIMEOUT_S:g} s")
        return False

    async def start_and_wait(self) -> bool:
        """Start a process; return whether it is ready in time."""
        return await self.wait_until_ready(await self.start())

    async def terminate(self, process: GatewayProcess, timeout_s: float = SHUTDOWN_TIMEOUT_S) -> None:
        """End a process by SIGTERM, or by SIGKILL if it has not ended within the timeout."""
        start_s = time.monotonic()
        process.send(signal.SIGTERM)
        if not await process.wait_for_end(timeout_s):
            process.is_overdue = True
            process.kill()
            await process.wait_for_end(timeout_s)
        shutdown = GatewayShutdown(gateway=self._index, start_s=start_s, end_s=time.monotonic())
        self.shutdowns.append(shutdown)

    async def kill(self, process: GatewayProcess, kind: OutageKind) -> None:
        """End a process by SIGKILL, and record the outage."""
        start_s = time.monotonic()
        process.kill()
        await process.wait_for_end(KILL_TIMEOUT_S)
        outage = GatewayOutage(kind=kind, gateway=self._index, start_s=start_s, end_s=time.monotonic())
        self.outages.append(outage)

    async def kill_new_version(self, old: GatewayProcess, new: GatewayProcess) -> None:
        """End a new version by SIGKILL, and make the old one the current process again."""
        await self.kill(new, OutageKind.NEW_VERSION_KILLED)
        self.processes.remove(new)
        self.processes.insert(self.processes.index(old), new)

    def record_start_violation(self, process: GatewayProcess, detail: str) -> None:
        """Record that a process is not ready."""
        self.start_violations.append(Violation(Rule.START, process.name, detail))

    def reload(self) -> None:
        """Send SIGHUP to the processes that have been ready; TERMS rules out an earlier SIGHUP."""
        for process in self.processes:
            if process.was_ready:
                process.send(signal.SIGHUP)

    async def finish(self) -> list[ProcessEnd]:
        """End the current process; return how each process of the gateway ended."""
        self.forget_detachments()
        async with self.change_lock:
            await self.terminate(self.current)
        return [process.describe_end(self._index) for process in self.processes]

    # ---- Detachments

    async def detach(self, server: str) -> None:
        """Detach a server by an admin call; once the call is answered, no attempt may begin at the server."""
        if await is_accepted(self.current.admin_port, DETACH_CALL, server.encode()):
            self._detached_since_s[server] = time.monotonic()

    async def attach(self, server: str) -> None:
        """Attach a server again by an admin call."""
        self._end_detachment(server)
        await is_accepted(self.current.admin_port, ATTACH_CALL, server.encode())

    def forget_detachments(self) -> None:
        """Record the end of all detachments; a process that starts without a handover does not know them."""
        for server in list(self._detached_since_s):
            self._end_detachment(server)

    def _end_detachment(self, server: str) -> None:
        since_s = self._detached_since_s.pop(server, None)
        if since_s is not None:
            detachment = Detachment(
                server=server, gateway=self._index, start_s=since_s, end_s=time.monotonic()
            )
            self.detachments.append(detachment)
