"""The children of a run: started, called, measured, kept within their limits, and ended whatever happens."""

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
from typing import Any, NamedTuple

import msgspec
import psutil
import structlog

from scale.child import LONGEST_LINE, Call
from scale.config import Config

ROOT = Path(__file__).parent.parent
CALL_S = 90.0  # for an answer, where a call does not say more
GRACE_S = 2.0  # between SIGTERM and SIGKILL, at the end
LOOK_S = 0.5  # between two looks at the memory
MEGABYTE = 1 << 20
WITH_PARENT = ["setpriv", "--pdeathsig", "KILL"]  # the kernel ends it if the run is killed outright


class ChildError(RuntimeError):
    """A child failed, or did not answer in time; the text says which and why."""


class LimitError(RuntimeError):
    """The children would take more processes or memory than the configuration allows."""


class Usage(NamedTuple):
    """Processor time in seconds, resident memory now and at most, in bytes, and open sockets."""

    cpu_s: float
    rss: int
    peak: int
    sockets: int


class Process:
    """A child; ``name`` for the log."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name, self.process, self.pid = name, process, process.pid
        try:
            self.view = psutil.Process(process.pid)
        except psutil.Error as error:
            raise ChildError(f"{name}: it ended at once") from error

    def usage(self) -> Usage:
        """What it has used by now; ChildError if it has ended."""
        try:
            with self.view.oneshot():
                times, memory = self.view.cpu_times(), self.view.memory_info()
                status = Path(f"/proc/{self.pid}/status").read_text()
                sockets = len(self.view.net_connections("tcp"))
        except (psutil.Error, OSError) as error:
            raise ChildError(f"{self.name}: {error!r}") from error
        high = next((line.split()[1] for line in status.splitlines() if line.startswith("VmHWM")), "0")
        return Usage(times.user + times.system, memory.rss, int(high) << 10, sockets)

    def rss(self) -> int:
        """Resident memory in bytes; 0 if it has ended."""
        with suppress(psutil.Error):
            return int(self.view.memory_info().rss)
        return 0

    async def end(self) -> None:
        """SIGTERM, then SIGKILL; returns once it has ended."""
        if self.process.returncode is not None:
            return
        with suppress(ProcessLookupError):
            self.process.terminate()
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_S)
        except TimeoutError:
            with suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


class Child(Process):
    """A child with a role of this package."""

    async def call(self, name: str, patience_s: float = CALL_S, **arguments: Any) -> Any:
        """What a method of its role returns; ChildError if it fails or takes longer than that."""
        assert self.process.stdin and self.process.stdout
        try:
            self.process.stdin.write(msgspec.json.encode(Call(name, arguments)) + b"\n")
            await self.process.stdin.drain()
            line = await asyncio.wait_for(self.process.stdout.readline(), patience_s)
        except (TimeoutError, OSError) as error:
            raise ChildError(f"{self.name}.{name}: no answer within {patience_s:g} s: {error!r}") from error
        if not line:
            raise ChildError(f"{self.name}.{name}: it has ended")
        answer = msgspec.json.decode(line)
        if "error" in answer:
            raise ChildError(f"{self.name}.{name}: {answer['error']}")
        return answer["answer"]


class Children:
    """All children of a run, as a context: leaving it ends them, also after an error or a cancellation.

    SIGINT and SIGTERM cancel the task that entered it.
    """

    def __init__(self, config: Config, folder: Path, log: structlog.typing.FilteringBoundLogger) -> None:
        self.config, self.folder, self.log = config, folder, log
        self.all: list[Process] = []
        self.most_rss = self.most_processes = self.programs = 0
        self.stopped = ""  # why the run was cut short, if it was

    async def __aenter__(self) -> Children:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        assert task
        self.task = task
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, self._stop, f"{number.name} came")
        self.scratch = tempfile.TemporaryDirectory(prefix="scale-")
        self.guard = loop.create_task(self._guard())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.guard.cancel()
        ending = asyncio.ensure_future(asyncio.gather(*(process.end() for process in self.all)))
        while not ending.done():
            with suppress(asyncio.CancelledError):  # another signal, or the deadline: all are ended still
                await asyncio.shield(ending)
        self.scratch.cleanup()
        self.log.info("children ended", number=len(self.all), stopped=self.stopped)

    def _stop(self, why: str) -> None:
        if not self.stopped:
            self.stopped = why
            self.task.cancel()

    async def _guard(self) -> None:
        """Guards against a run that takes the machine's memory: it is stopped beyond the limit."""
        while True:
            rss = sum(process.rss() for process in self.all)
            self.most_rss = max(self.most_rss, rss)
            if rss > self.config.memory_mb * MEGABYTE:
                self._stop(f"the children hold more than memory_mb: {rss // MEGABYTE}")
            await asyncio.sleep(LOOK_S)

    async def _start(
        self,
        name: str,
        command: list[str],
        log: str,
        **more: Any,
    ) -> asyncio.subprocess.Process:
        running = sum(process.process.returncode is None for process in self.all)
        if running >= self.config.processes:
            raise LimitError(f"more than {self.config.processes} processes - at `processes`")
        self.most_processes = max(self.most_processes, running + 1)
        with (self.folder / log).open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                *(WITH_PARENT if shutil.which(WITH_PARENT[0]) else []),
                *command,
                cwd=ROOT,
                stderr=output,
                start_new_session=True,
                limit=LONGEST_LINE,
                **more,
            )
        self.log.info("started", child=name, pid=process.pid)
        return process

    async def child(self, role: str, **arguments: Any) -> tuple[Child, Any]:
        """A child with this role, made with these arguments, and what its start returns."""
        process = await self._start(
            role,
            [sys.executable, "-m", "scale.child", role],
            "children.log",
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        made = Child(role, process)
        self.all.append(made)
        return made, await made.call("__init__", **arguments)

    async def program(self, name: str, command: str, environment: dict[str, str]) -> Process:
        """Another program, by a line of the shell; its output goes to a log named after it."""
        self.programs += 1
        process = await self._start(
            name,
            ["/bin/sh", "-c", command],
            f"{name}.log",
            env={**os.environ, **environment},
            stdin=subprocess.DEVNULL,
        )
        made = Process(name, process)
        self.all.append(made)
        return made

    async def end(self, *processes: Process) -> None:
        """End some before the others."""
        await asyncio.gather(*(process.end() for process in processes))
        self.all = [process for process in self.all if process not in processes]
