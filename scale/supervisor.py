"""Starts a run's children, keeps them within their limits, and ends them whatever happens."""

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
"""Makes the kernel end a child if the run is killed outright and can't end it."""

Reply = TypeVar("Reply")


SCALE_CHILD_MODULE = "scale.child"
"""The module that makes a child of a role."""


class SupervisorLimits(Protocol):
    """What all children of a run together may take."""

    @property
    def processes(self) -> int:
        """The most children at a time."""

    @property
    def memory_mb(self) -> int:
        """The most resident memory of all."""


class LimitError(RuntimeError):
    """The children would take more processes than the configuration allows."""


class Supervisor:
    """All children of a run, as a context: leaving it ends them, also after an error or a cancellation.

    SIGINT and SIGTERM cancel the task that entered the context.

    Args:
        config: The run's limits.
        log_folder: Where the children's logs go.
        log: The run's log.
        child_module: The module that makes a child of a role.

    Attributes:
        log_folder: Where the children's logs go.
        stop_reason: Why the run was cut short; empty if it was not.
        peak_rss_bytes: The most resident memory of all children at a time.
        peak_processes: The most children at a time.
        program_count: How many programs were started.
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
        self._memory_guard: asyncio.Task[None] | None = None
        self._scratch_folder: tempfile.TemporaryDirectory[str] | None = None

    @property
    def scratch_folder(self) -> Path:
        """A folder that is removed with the context."""
        assert self._scratch_folder
        return Path(self._scratch_folder.name)

    async def __aenter__(self) -> Supervisor:
        loop = asyncio.get_running_loop()
        self._task = asyncio.current_task()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, self._stop, f"{number.name} came")
        self._scratch_folder = tempfile.TemporaryDirectory(prefix="scale-")
        self._memory_guard = loop.create_task(self._guard_memory(), name="guard memory")
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        assert self._memory_guard
        assert self._scratch_folder
        self._memory_guard.cancel()
        ending = asyncio.ensure_future(asyncio.gather(*(child.end() for child in self._children)))
        while not ending.done():
            with suppress(asyncio.CancelledError):  # by another signal, or the deadline: all are ended still
                await asyncio.shield(ending)
        self._scratch_folder.cleanup()
        self._log.info("children ended", number=len(self._children), stopped=self.stop_reason)

    def _stop(self, reason: str) -> None:
        if not self.stop_reason:
            self.stop_reason = reason
            assert self._task
            self._task.cancel()

    async def _guard_memory(self) -> None:
        """Stop the run when its children hold more memory than the configuration allows."""
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
            raise LimitError(f"more than {self._config.processes} processes - at `processes`")
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
        """Start a child with a role.

        Args:
            role: The role's name in `scale.child.ROLES`.
            reply_type: The type of what the role's ``start`` returns.
            **arguments: The arguments of the role's constructor.

        Returns:
            The child, and what the role's ``start`` returned.

        Raises:
            LimitError: There are as many children as the configuration allows.
            ChildError: The role could not be made or started.
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
        """Start another program by a shell command; its output goes to a log named after it.

        Raises:
            LimitError: There are as many children as the configuration allows.
            ChildError: It ended at once.
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
        """End some children before the others."""
        await asyncio.gather(*(child.end() for child in children))
        self._children = [child for child in self._children if child not in children]
