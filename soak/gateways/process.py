"""One process of a gateway."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import time
from contextlib import suppress
from pathlib import Path

from scale.child_process import ChildProcess
from soak.gateways.admin_call import READY_CALL, is_accepted
from soak.gateways.memory import peak_memory_kib
from soak.records import ProcessEnd

END_CHECK_INTERVAL_S = 0.01
VIOLATIONS_AT_SHUTDOWN = re.compile(r"shutdown complete .*violations=(\d+)")
VIOLATION_LOG_TEXT = "invariant violated"


class GatewayProcess:
    """A process of a gateway, from its start to the reading of its log.

    Attributes:
        admin_port: The port for admin calls.
        started_s: When the process was started, by the monotonic clock.
        was_killed: Whether the soak has sent SIGKILL.
        was_ready: Whether the process has reported at least once that it is ready.
        is_overdue: Whether the process had not ended within its shutdown timeout.
        peak_memory_kib: The most memory of its own that the process had by the last signal sent to it.
    """

    def __init__(self, child: ChildProcess, admin_port: int, log_path: Path) -> None:
        self.admin_port = admin_port
        self.started_s = time.monotonic()
        self.was_killed = False
        self.was_ready = False
        self.is_overdue = False
        self.peak_memory_kib = 0
        self._child = child
        self._log_path = log_path

    @property
    def name(self) -> str:
        """The name of the process in the logs."""
        return self._child.name

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended yet."""
        return self._child.is_running

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process is still running."""
        if self._child.is_running:
            self.peak_memory_kib = max(self.peak_memory_kib, peak_memory_kib(self._child.pid))
            with suppress(ProcessLookupError):
                os.kill(self._child.pid, number)

    def kill(self) -> None:
        """Send SIGKILL."""
        self.was_killed = True
        self.send(signal.SIGKILL)

    async def is_ready(self) -> bool:
        """Return whether the process reports that it is ready."""
        return await is_accepted(self.admin_port, READY_CALL)

    async def wait_for_end(self, timeout_s: float) -> bool:
        """Wait until the process has ended; return whether it ended within the timeout."""
        end_s = time.monotonic() + timeout_s
        while self._child.is_running and time.monotonic() < end_s:  # noqa: ASYNC110 - no event to wait for
            await asyncio.sleep(END_CHECK_INTERVAL_S)
        return not self._child.is_running

    def describe_end(self, gateway: int) -> ProcessEnd:
        """Return how the process ended, with its log."""
        log = self._log_path.read_text(errors="replace") if self._log_path.exists() else ""
        counted = [int(number) for number in VIOLATIONS_AT_SHUTDOWN.findall(log)]
        return ProcessEnd(
            name=self._child.name,
            gateway=gateway,
            exit_code=self._child.exit_code,
            was_killed=self.was_killed,
            is_overdue=self.is_overdue,
            log=log,
            violations=max([*counted, log.count(VIOLATION_LOG_TEXT)]),
            peak_memory_kib=self.peak_memory_kib,
        )
