"""The scale run: versions, churn from a seed, a refused file, children that end, a line and its residual."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import httptools
import psutil
import pytest

from scale import config, fleet, load, results
from scale.discovery import StandIn
from scale.slopes import in_force
from tests.support.fakes import run

ROOT = Path(__file__).parent.parent.parent


class Reader:
    """One call of discovery, and the lines that come."""

    def __init__(self) -> None:
        self.parser, self.body, self.status = httptools.HttpResponseParser(self), b"", 0

    async def open(self, port: int, query: str) -> "Reader":
        self.stream, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.writer.write(f"GET /discovery/hosts{query} HTTP/1.1\r\nHost: d\r\n\r\n".encode())
        return self

    def on_headers_complete(self) -> None:
        self.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        self.body += body

    async def until(self, true: Callable[[], bool]) -> None:
        while not true() and (data := await self.stream.read(65536)):
            self.parser.feed_data(data)

    async def line(self) -> dict:
        """The next line that is not empty."""
        while True:
            await self.until(lambda: b"\n" in self.body)
            line, _, self.body = self.body.partition(b"\n")
            if line:
                return json.loads(line)


def standin(servers: int = 4) -> StandIn:
    return StandIn(1, servers, [1001, 1002], 2)


def names(document: dict) -> list[tuple[str, str]]:
    return [(row["instanceId"], row["lifecycle"]) for row in document["instances"]]


def test_watch_goes_on_from_its_version_or_gets_the_whole_list():
    async def test():
        made = standin()
        port = await made.start()
        rows = list(made.catalogue.rows.values())
        whole = await (await Reader().open(port, "?watch=1")).line()
        assert (whole["generation"], whole["reset"], len(whole["instances"])) == (1, True, 4)
        assert set(whole["instances"][0]) == {
            "instanceId",
            "hostPort",
            "zone",
            "machineType",
            "cell",
            "lifecycle",
            "weight",
            "startedAtMs",
        }
        watch = await Reader().open(port, "?watch=1&from=1")
        assert await watch.line() == {"generation": 1, "reset": False, "instances": []}
        gone = fleet.msgspec.structs.replace(rows[0], lifecycle="Gone")
        drains = fleet.msgspec.structs.replace(rows[1], lifecycle="Terminating")
        made.publish([gone])
        told = await watch.line()
        assert (told["generation"], names(told)) == (2, [(rows[0].instance_id, "Gone")])
        made.publish([drains])
        made.publish([fleet.msgspec.structs.replace(drains, weight=2.0)])
        assert [(await watch.line())["generation"] for _ in range(2)] == [3, 4]
        late = await (await Reader().open(port, "?watch=1&from=1")).line()  # both changes of a row are one
        assert (late["generation"], late["reset"]) == (4, False)
        assert dict(names(late)) == {gone.instance_id: "Gone", drains.instance_id: "Terminating"}
        assert len(names(late)) == 2
        for unknown in ("from=9", "from=0", "from=x"):
            again = await (await Reader().open(port, f"?watch=1&{unknown}")).line()
            assert again["reset"] and len(again["instances"]) == 3
        await made.resize(2)
        anew = await (await Reader().open(port, "?watch=1&from=4")).line()
        assert (anew["generation"], anew["reset"], len(anew["instances"])) == (5, True, 2)

    run(test())


def test_faults_silence_refusal_dropped_watches_and_a_lost_zone():
    async def test():
        made = standin()
        port = await made.start()
        watch = await Reader().open(port, "?watch=1")
        await watch.line()
        made.silent = True
        asked = await Reader().open(port, "?watch=1")
        await asyncio.sleep(0)
        made.publish([list(made.catalogue.rows.values())[0]])
        await made._fault(config.Fault(0.0, "silent"))  # it ends at once
        assert (await watch.line())["generation"] == 2 and (await asked.line())["generation"] == 2
        made.drop()
        await watch.until(lambda: False)  # until it ends
        made.refusing = True
        refused = await Reader().open(port, "?watch=1")
        await refused.until(lambda: refused.status > 0)
        assert refused.status == 503
        made.refusing = False
        watch = await Reader().open(port, "?watch=1")
        await watch.line()
        await made._fault(config.Fault(0.0, "lose_zone", zone="a"))
        lost, back = await watch.line(), await watch.line()
        assert [state for _, state in names(lost)] == ["Gone", "Gone"]
        assert {row["zone"] for row in lost["instances"]} == {"a"}
        assert all(row["startedAtMs"] > 0 and row["lifecycle"] == "Ready" for row in back["instances"])

    run(test())


def test_same_seed_gives_the_same_rows_churn_and_load():
    day = config.Churn(speedup=1.0)
    events = fleet.churn(7, day, fleet.DAY_S)
    assert events == fleet.churn(7, day, fleet.DAY_S) != fleet.churn(8, day, fleet.DAY_S)
    assert events == sorted(events) and all(0.0 <= event.draw < 1.0 for event in events)
    number = {kind: sum(event.kind == kind for event in events) for kind in ("change", "restart", "failure")}
    assert number == {"change": 2036, "restart": 11043, "failure": 47}  # 2,100, 11,000 and 61 expected
    assert fleet.rows(7, 50, [1], 15) == fleet.rows(7, 50, [1], 15) != fleet.rows(8, 50, [1], 15)
    asked = list(load.arrivals(7, 100.0, 20.0, 1000, 1.1))
    assert asked == list(load.arrivals(7, 100.0, 20.0, 1000, 1.1))
    assert abs(len(asked) - 2000) < 200 and asked == sorted(asked)
    first = sum(arrival.tenant == 0 for arrival in asked)
    assert first > 4 * sum(arrival.tenant == 9 for arrival in asked) > 0


@pytest.mark.parametrize(
    "text, key",
    [
        ("[fleet]\nservers = 0", "fleet.servers"),
        ("[fleet]\nservers = 38001", "fleet.servers"),
        ("[flet]\nservers = 5", "flet"),
        ("[load]\nrate = 'x'", "load.rate"),
        ("[[faults]]\nat_s = 1.0\nkind = 'flood'", "faults[0].kind"),
        ("[[faults]]\nkind = 'silent'", "at_s"),
        ("[[faults]]\nat_s = 1.0\nkind = 'lose_zone'\nzone = 'zz'", "faults[0].zone"),
        ("[slopes]\nlists = []", "slopes.lists"),
        ("processes = 201", "processes"),
        ("seed = ", "wrong.toml"),
    ],
)
def test_wrong_file_is_refused_with_the_name_of_the_key(tmp_path, text, key):
    path = tmp_path / "wrong.toml"
    path.write_text(text)
    with pytest.raises(config.ConfigError, match=key.replace("[", r"\[").replace("]", r"\]")):
        config.load(path)


def test_flags_go_over_the_file(tmp_path):
    path = tmp_path / "some.toml"
    path.write_text("seed = 3\n[fleet]\nservers = 10\nhollow = 5")
    loaded = config.load(path, ("fleet.servers=20", "load.rate=2.5"))
    assert (loaded.seed, loaded.fleet.servers, loaded.fleet.hollow, loaded.load.rate) == (3, 20, 5, 2.5)
    assert config.load(ROOT / "scale" / "small.toml").deadline_s < 120.0
    with pytest.raises(config.ConfigError, match="fleet.srvers|srvers"):
        config.load(path, ("fleet.srvers=20",))


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_children_end_with_the_run_also_when_it_is_interrupted(tmp_path, number):
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "scale",
            "run",
            "--out",
            str(tmp_path),
            "--hollow",
            "2",
            "--servers",
            "4",
            "--set",
            "load.seconds=300.0",
            "--set",
            "fleet.ports=4",
        ],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        env={**os.environ, "COLUMNS": "80"},
    )
    try:
        pids = _started(process, tmp_path, 5)
        process.send_signal(number)
        output, _ = process.communicate(timeout=60)
    finally:
        process.kill()
    _, alive = psutil.wait_procs([child for child in psutil.process_iter() if child.pid in pids], timeout=30)
    assert not alive
    if number != signal.SIGKILL:
        assert process.returncode == 130 and f"{number.name} came" in output.decode()
        (path,) = tmp_path.glob("*.json")
        assert results.read(path).stopped == f"{number.name} came"


@pytest.mark.parametrize(
    "flag, why",
    [
        ("deadline_s=4.0", "deadline_s of 4 is over"),
        ("memory_mb=64", "more than memory_mb"),
        ("processes=4", "`processes`"),
    ],
)
def test_run_beyond_its_limits_is_cut_short_and_leaves_a_result(tmp_path, flag, why):
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "scale",
            "run",
            "--out",
            str(tmp_path),
            "--hollow",
            "2",
            "--servers",
            "4",
            "--set",
            "load.seconds=300.0",
            "--set",
            "fleet.ports=4",
            "--set",
            flag,
        ],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        timeout=60,
        check=False,
    )
    (path,) = tmp_path.glob("*.json")
    assert done.returncode == 1 and why in results.read(path).stopped
    assert not [pid for pid in _pids(tmp_path) if psutil.pid_exists(pid)]


def test_child_ends_with_its_input_also_in_the_middle_of_a_call():
    child = subprocess.Popen(
        [sys.executable, "-m", "scale.child", "load"], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    assert child.stdin and child.stdout
    made = {"plan": "plan", "class_name": "class-0", "deadline_ms": 100.0, "spread": 1}
    long = {"label": "", "ports": [1], "seed": 1, "rate": 9.0, "seconds": 9e9, "tenants": 9, "skew": 1.0}
    child.stdin.write(json.dumps({"name": "", "arguments": made}).encode() + b"\n")
    child.stdin.write(json.dumps({"name": "run", "arguments": long}).encode() + b"\n")
    child.stdin.flush()
    try:
        assert json.loads(child.stdout.readline()) == {"answer": None}  # it is in the second call by now
        child.stdin.close()
        assert child.wait(60) == 0
    finally:
        child.kill()


def _pids(folder: Path) -> list[int]:
    """The children's ids, by the log."""
    lines = [line for path in folder.glob("*/run.log") for line in path.read_text().splitlines()]
    rows = [json.loads(line) for line in lines if line.endswith("}")]
    return [row["pid"] for row in rows if row["event"] == "started"]


def _started(process: subprocess.Popen, folder: Path, number: int) -> list[int]:
    """The children's ids, once there are so many and load is sent."""
    while process.poll() is None:
        pids = _pids(folder)
        if len(pids) >= number and any("churn" in path.read_text() for path in folder.glob("*/run.log")):
            return pids
        time.sleep(0.05)
    raise AssertionError("the run ended by itself")


def test_line_of_least_squares_and_its_residual():
    straight = results.fit([(1.0, 3.0), (2.0, 5.0), (4.0, 9.0), (8.0, 17.0)])
    assert straight and (straight.slope, straight.intercept, straight.residual) == (2.0, 1.0, 0.0)
    bent = results.fit([(1.0, 1.0), (2.0, 4.0), (3.0, 9.0), (4.0, 16.0)])
    assert bent and (bent.slope, bent.intercept) == pytest.approx((5.0, -5.0))
    assert bent.residual == pytest.approx(1.0 / 16.0, abs=1e-4)  # the line is 1 off at all four sizes
    assert results.fit([(1.0, 2.0), (1.0, 3.0)]) is None
    series = results.Series("cpu", "gateway", "servers", "ms")
    for size in (1, 2):
        series.add(size, [size, 3.0 * size, 100.0])
    series.add(3, [], "refused")
    assert series.fit and series.fit.slope == 3.0 and series.fit.sizes == [1, 2]


def test_version_is_in_force_once_99_in_100_have_it_or_a_later_one():
    heard = [[(2, 10.0 + number / 100.0)] for number in range(99)] + [[(3, 50.0)]]
    assert in_force([(2, 9.0)], heard) == [pytest.approx(1.98)]
    assert in_force([(3, 9.0)], heard) == [float("inf")]
    assert in_force([(2, 9.0)], heard[:98] + heard[99:] * 2) == [41.0]
