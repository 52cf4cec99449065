"""Signals that arrive while a process is about to exit."""

import shlex
import signal
import sys

import pytest

from tests.support.gateway_host import gateway_host, wait_ready

# Runs the program and sends it a signal after its event loop has closed. The default action of the signal is
# restored first, as the interpreter does when it exits.
PROGRAM = """
import os, signal, uvloop
from quota_gateway import __main__ as gateway
run = uvloop.run
def run_then_signal(coroutine):
    run(coroutine)
    signal.signal({number}, signal.SIG_DFL)
    os.kill(os.getpid(), {number})
gateway.uvloop.run = run_then_signal
raise SystemExit(gateway.main())
"""


@pytest.mark.parametrize("late_signal", [signal.SIGHUP, signal.SIGTERM])
async def test_signal_after_the_event_loop_closed_does_not_change_the_exit_code(tmp_path, late_signal):
    program = f"exec {sys.executable} -c {shlex.quote(PROGRAM.format(number=int(late_signal)))}"
    async with gateway_host(tmp_path) as host:
        process, admin_port = await host.start(program=program)
        await wait_ready(admin_port)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
