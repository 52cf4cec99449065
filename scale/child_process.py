"""Child processes of a run: calls of their methods, resource usage and termination."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from pathlib import Path
from types import NoneType
from typing import NamedTuple, TypeVar

import msgspec
import psutil

from scale.messages import ChildCommand, ChildReply

CALL_TIMEOUT_S = 90.0
"""Default time to wait for the reply to a call."""

TERMINATION_GRACE_S = 2.0
"""Time that a child process has to end after SIGTERM, before SIGKILL."""

MEBIBYTE = 1 << 20

Reply = TypeVar("Reply")


class ChildError(RuntimeError):
    """A child process failed or did not reply in time; the message names the process and the reason."""


class ResourceUsage(NamedTuple):
    """Resources that a process has used since its start.

    Attributes:
        cpu_s: Processor time.
        rss_bytes: Current resident memory.
        peak_rss_bytes: Maximum resident memory since the start.
        sockets: Number of open TCP sockets.
    """

    cpu_s: float
    rss_bytes: int
    peak_rss_bytes: int
    sockets: int

    @property
    def rss_mb(self) -> float:
        """Resident memory in MiB."""
        return self.rss_bytes / MEBIBYTE

    def cpu_ms_since(self, before: ResourceUsage) -> float:
        """Return the processor time used since an earlier reading, in milliseconds."""
        return 1000.0 * (self.cpu_s - before.cpu_s)


class ChildProcess:
    """A process that the run has started.

    Args:
        name: Name of the process in the log.
        process: The process.

    Raises:
        ChildError: The process has ended already.
    """

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self.pid = process.pid
        self._process = process
        try:
            self._system_process = psutil.Process(process.pid)
        except psutil.Error as error:
            raise ChildError(f"{name}: process ended right after its start") from error

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended yet."""
        return self._process.returncode is None

    @property
    def exit_code(self) -> int:
        """Exit code of the process, negative if a signal ended it; 0 while it runs."""
        return self._process.returncode or 0

    def usage(self) -> ResourceUsage:
        """Return the resources that the process has used since its start.

        Raises:
            ChildError: The process has ended.
        """
        try:
            with self._system_process.oneshot():
                cpu_times = self._system_process.cpu_times()
                rss_bytes = self._system_process.memory_info().rss
                status = Path(f"/proc/{self.pid}/status").read_text()
                sockets = len(self._system_process.net_connections("tcp"))
        except (psutil.Error, OSError) as error:
            raise ChildError(f"{self.name}: {error!r}") from error
        peak_kib = next((line.split()[1] for line in status.splitlines() if line.startswith("VmHWM")), "0")
        return ResourceUsage(cpu_times.user + cpu_times.system, rss_bytes, int(peak_kib) << 10, sockets)

    def rss_bytes(self) -> int:
        """Return the resident memory of the process; 0 if it has ended."""
        with suppress(psutil.Error):
            return int(self._system_process.memory_info().rss)
        return 0

    async def end(self) -> None:
        """End the process with SIGTERM, then SIGKILL; return once it has ended."""
        if not self.is_running:
            return
        with suppress(ProcessLookupError):
            self._process.terminate()
        try:
            await asyncio.wait_for(self._process.wait(), TERMINATION_GRACE_S)
        except TimeoutError:
            with suppress(ProcessLookupError):
                self._process.kill()
            await self._process.wait()


class RoleProcess(ChildProcess):
    """A child process with a role; concurrent calls are made one after the other."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        super().__init__(name, process)
        self._call_lock = asyncio.Lock()

    async def call(
        self,
        name: str,
        reply_type: type[Reply],
        timeout_s: float = CALL_TIMEOUT_S,
        **arguments: object,
    ) -> Reply:
        """Call a method of the role and return its result.

        Args:
            name: Name of the method.
            reply_type: Type of the result.
            timeout_s: Maximum time to wait for the reply.
            **arguments: Arguments of the method.

        Raises:
            ChildError: The method failed or took too long, or the process has ended.
        """
        try:
            async with self._call_lock:
                line = await self._exchange(ChildCommand(name, arguments), timeout_s)
        except (TimeoutError, OSError) as error:
            raise ChildError(
                f"{self.name}.{name}: call failed, timeout {timeout_s:g} s: {error!r}"
            ) from error
        if not line:
            raise ChildError(f"{self.name}.{name}: process ended without a reply")
        reply = msgspec.json.decode(line, type=ChildReply)
        if reply.error:
            raise ChildError(f"{self.name}.{name}: {reply.error}")
        return msgspec.json.decode(reply.answer, type=reply_type)

    async def _exchange(self, command: ChildCommand, timeout_s: float) -> bytes:
        """Send a command and return the line of the reply; empty if the process has ended."""
        assert self._process.stdin
        assert self._process.stdout
        self._process.stdin.write(msgspec.json.encode(command) + b"\n")
        await self._process.stdin.drain()
        return await asyncio.wait_for(self._process.stdout.readline(), timeout_s)

    async def command(self, name: str, **arguments: object) -> None:
        """Call a method that returns nothing; raises the same errors as `call`."""
        await self.call(name, NoneType, CALL_TIMEOUT_S, **arguments)
