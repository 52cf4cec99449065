"""A scale run ends its child processes when it finishes, is interrupted, exceeds a limit or is killed."""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import psutil
import pytest

from scale import results

ROOT = Path(__file__).parent.parent.parent


def run_command(out: Path) -> list[str]:
    """Return the command of a small run with phases of load of five minutes each."""
    command = [sys.executable, "-m", "scale", "run", "--out", str(out), "--hollow", "2", "--servers", "4"]
    return [*command, "--set", "load.seconds=300.0", "--set", "fleet.ports=4"]


def child_pids(folder: Path) -> list[int]:
    """Return the process ids of the run's child processes, read from its log."""
    lines = [line for path in folder.glob("*/run.log") for line in path.read_text().splitlines()]
    rows = [json.loads(line) for line in lines if line.endswith("}")]
    return [row["pid"] for row in rows if row["event"] == "started"]


def wait_for_children(process: subprocess.Popen, folder: Path, number: int) -> list[int]:
    """Wait until this number of child processes runs and the load begins; return their process ids."""
    while process.poll() is None:
        pids = child_pids(folder)
        if len(pids) >= number and any("churn" in path.read_text() for path in folder.glob("*/run.log")):
            return pids
        time.sleep(0.05)
    raise AssertionError("run ended before its load began")


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_interrupted_or_killed_run_leaves_no_child_process(tmp_path, number):
    process = subprocess.Popen(
        run_command(tmp_path),
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        env={**os.environ, "COLUMNS": "80"},
    )
    try:
        pids = wait_for_children(process, tmp_path, 5)
        process.send_signal(number)
        output, _ = process.communicate(timeout=60)
    finally:
        process.kill()
    _, alive = psutil.wait_procs([child for child in psutil.process_iter() if child.pid in pids], timeout=30)
    assert not alive
    if number != signal.SIGKILL:
        assert process.returncode == 130
        assert f"{number.name} came" in output.decode()
        (path,) = tmp_path.glob("*.json")
        assert results.read_result(path).stopped == f"{number.name} came"


@pytest.mark.parametrize(
    ("flag", "reason"),
    [
        ("deadline_s=4.0", "deadline_s of 4 is over"),
        ("memory_mb=64", "more than memory_mb"),
        ("processes=4", "`processes`"),
    ],
)
def test_run_that_exceeds_a_limit_stops_and_writes_a_result(tmp_path, flag, reason):
    completed = subprocess.run(
        [*run_command(tmp_path), "--set", flag],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        timeout=60,
        check=False,
    )
    (path,) = tmp_path.glob("*.json")
    assert completed.returncode == 1
    assert reason in results.read_result(path).stopped
    assert not [pid for pid in child_pids(tmp_path) if psutil.pid_exists(pid)]


def test_child_exits_at_end_of_input_while_a_command_is_executed():
    child = subprocess.Popen(
        [sys.executable, "-m", "scale.child", "load"], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    assert child.stdin
    assert child.stdout
    constructor = {"plan": "plan", "class_name": "class-0", "deadline_ms": 100.0, "spread": 1}
    long_load = {"label": "", "ports": [1], "seed": 1, "rate": 9.0, "seconds": 9e9, "tenants": 9, "skew": 1.0}
    child.stdin.write(json.dumps({"name": "", "arguments": constructor}).encode() + b"\n")
    child.stdin.write(json.dumps({"name": "run", "arguments": long_load}).encode() + b"\n")
    child.stdin.flush()
    try:
        # After this reply the child process executes the second command, the long load.
        assert json.loads(child.stdout.readline()) == {"answer": None}
        child.stdin.close()
        assert child.wait(60) == 0
    finally:
        child.kill()
