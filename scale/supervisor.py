"""Starts a run's child processes, enforces their limits, and ends them however the run ends."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import subprocess
import sys
import tempfile
from contextlib import suppress
from pathlib import Path
from types import TracebackType
from typing import Any, Protocol, TypeVar

import structlog

from scale.child_process import CALL_TIMEOUT_S, MEBIBYTE, ChildProcess, RoleProcess
from scale.messages import MAXIMUM_LINE_BYTES

REPOSITORY = Path(__file__).parent.parent

MEMORY_CHECK_INTERVAL_S = 0.5

END_WITH_PARENT_COMMAND = ["setpriv", "--pdeathsig", "KILL"]
"""Makes the kernel kill a child process when the run is killed and can't end the child itself."""

Reply = TypeVar("Reply")


SCALE_CHILD_MODULE = "scale.child"
"""Module that a child process with a role executes."""


class SupervisorLimits(Protocol):
    """Limits for all child processes of a run together."""

    @property
    def processes(self) -> int:
        """Maximum number of child processes at a time."""

    @property
    def memory_mb(self) -> int:
        """Maximum resident memory of all child processes, in MiB."""


class LimitError(RuntimeError):
    """Another child process would exceed the limit of the configuration."""


class Supervisor:
    """Context manager that owns all child processes of a run and ends them on exit.

    They are ended after an error or a cancellation, too.

    SIGINT and SIGTERM cancel the task that entered the context.

    Args:
        config: The run's limits.
        log_folder: Folder for the logs of the child processes.
        log: The run's log.
        child_module: Module that a child process with a role executes.

    Attributes:
        log_folder: Folder for the logs of the child processes.
        stop_reason: Why the run was stopped early; empty if it was not.
        peak_rss_bytes: Maximum resident memory of all child processes together.
        peak_processes: Maximum number of child processes at a time.
        program_count: Number of programs started.
    """

    def __init__(
        self,
        config: SupervisorLimits,
        log_folder: Path,
        log: structlog.typing.FilteringBoundLogger,
        child_module: str = SCALE_CHILD_MODULE,
    ) -> None:
        self._child_module = child_module
        self.log_folder = log_folder
        self.stop_reason = ""
        self.peak_rss_bytes = 0
        self.peak_processes = 0
        self.program_count = 0
        self._config = config
        self._log = log
        self._children: list[ChildProcess] = []
        self._task: asyncio.Task[Any] | None = None
        self._memory_limit_task: asyncio.Task[None] | None = None
        self._scratch_folder: tempfile.TemporaryDirectory[str] | None = None

    @property
    def scratch_folder(self) -> Path:
        """Temporary folder that is removed when the context exits."""
        assert self._scratch_folder
        return Path(self._scratch_folder.name)

    async def __aenter__(self) -> Supervisor:
        loop = asyncio.get_running_loop()
        self._task = asyncio.current_task()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, self._stop, f"{number.name} came")
        self._scratch_folder = tempfile.TemporaryDirectory(prefix="scale-")
        self._memory_limit_task = loop.create_task(self._enforce_memory_limit(), name="enforce memory limit")
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        assert self._memory_limit_task
        assert self._scratch_folder
        self._memory_limit_task.cancel()
        ending = asyncio.ensure_future(asyncio.gather(*(child.end() for child in self._children)))
        while not ending.done():
            # Another signal or the deadline must not interrupt the shutdown.
            with suppress(asyncio.CancelledError):
                await asyncio.shield(ending)
        self._scratch_folder.cleanup()
        self._log.info("children ended", number=len(self._children), stopped=self.stop_reason)

    def _stop(self, reason: str) -> None:
        if not self.stop_reason:
            self.stop_reason = reason
            assert self._task
            self._task.cancel()

    async def _enforce_memory_limit(self) -> None:
        """Stop the run when its child processes use more memory than the configuration allows."""
        while True:
            rss_bytes = sum(child.rss_bytes() for child in self._children)
            self.peak_rss_bytes = max(self.peak_rss_bytes, rss_bytes)
            if rss_bytes > self._config.memory_mb * MEBIBYTE:
                self._stop(f"the children hold more than memory_mb: {rss_bytes // MEBIBYTE}")
            await asyncio.sleep(MEMORY_CHECK_INTERVAL_S)

    async def _start(
        self,
        name: str,
        command: list[str],
        log_name: str,
        **options: Any,
    ) -> asyncio.subprocess.Process:
        running = sum(child.is_running for child in self._children)
        if running >= self._config.processes:
            raise LimitError(f"limit of {self._config.processes} child processes reached - at `processes`")
        self.peak_processes = max(self.peak_processes, running + 1)
        with (self.log_folder / log_name).open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                *(END_WITH_PARENT_COMMAND if shutil.which(END_WITH_PARENT_COMMAND[0]) else []),
                *command,
                cwd=REPOSITORY,
                stderr=output,
                start_new_session=True,
                limit=MAXIMUM_LINE_BYTES,
                **options,
            )
        self._log.info("started", child=name, pid=process.pid)
        return process

    async def start_role(
        self, role: str, reply_type: type[Reply], **arguments: object
    ) -> tuple[RoleProcess, Reply]:
        """Start a child process with a role.

        Args:
            role: The role's name in the child module; in scale runs, a key of `scale.child.ROLES`.
            reply_type: Return type of the role's ``start`` method.
            **arguments: Arguments of the role's constructor.

        Returns:
            The child process and the return value of the role's ``start`` method.

        Raises:
            LimitError: The maximum number of child processes is running already.
            ChildError: The role could not be constructed or started.
        """
        process = await self._start(
            role,
            [sys.executable, "-m", self._child_module, role],
            "children.log",
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        child = RoleProcess(role, process)
        self._children.append(child)
        return child, await child.call("__init__", reply_type, CALL_TIMEOUT_S, **arguments)

    async def start_program(self, name: str, command: str, environment: dict[str, str]) -> ChildProcess:
        """Start a program by a shell command, with its standard error in a log file named after it.

        Raises:
            LimitError: The maximum number of child processes is running already.
            ChildError: The program ended right after its start.
        """
        self.program_count += 1
        process = await self._start(
            name,
            ["/bin/sh", "-c", command],
            f"{name}.log",
            env={**os.environ, **environment},
            stdin=subprocess.DEVNULL,
        )
        child = ChildProcess(name, process)
        self._children.append(child)
        return child

    async def end(self, *children: ChildProcess) -> None:
        """End these child processes; the others go on."""
        await asyncio.gather(*(child.end() for child in children))
        self._children = [child for child in self._children if child not in children]
