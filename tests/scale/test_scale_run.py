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
import msgspec
import psutil
import pytest

from scale import config, results
from scale.config import Churn, Fault
from scale.load import arrivals
from scale.measurements.propagation import propagation_delays
from scale.stubs import churn, endpoint_catalog
from scale.stubs.discovery import DiscoveryStub
from scale.stubs.endpoint_catalog import ListedEndpoint
from tests.support.async_tests import TIME_LIMIT_S

ROOT = Path(__file__).parent.parent.parent


class DiscoveryReader:
    """A call of discovery, and the lines that it is sent."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body = b""
        self.status = 0

    async def open(self, port: int, query: str) -> "DiscoveryReader":
        """Connect and send the call."""
        self.stream, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.writer.write(f"GET /discovery/hosts{query} HTTP/1.1\r\nHost: d\r\n\r\n".encode())
        return self

    def on_headers_complete(self) -> None:
        """Take the status from the parser."""
        self.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Take a part of the body from the parser."""
        self.body += body

    async def read_until(self, is_done: Callable[[], bool]) -> None:
        """Read until then, or until the connection ends."""
        while not is_done() and (data := await self.stream.read(65536)):
            self.parser.feed_data(data)

    async def read_line(self) -> dict:
        """Read the next line that is not empty."""
        while True:
            await self.read_until(lambda: b"\n" in self.body)
            line, _, self.body = self.body.partition(b"\n")
            if line:
                return json.loads(line)


async def open_watch(port: int, resume_from: str = "") -> DiscoveryReader:
    return await DiscoveryReader().open(port, f"?watch=1{resume_from and '&from=' + resume_from}")


@pytest.fixture
def stub() -> DiscoveryStub:
    return DiscoveryStub(seed=1, servers=4, ports=[1001, 1002], zone_count=2)


def listed_endpoints(stub: DiscoveryStub) -> list[ListedEndpoint]:
    return list(stub.state.catalog.endpoints.values())


def lifecycles(document: dict) -> list[tuple[str, str]]:
    return [(row["instanceId"], row["lifecycle"]) for row in document["instances"]]


async def test_watch_resumes_from_its_version_or_gets_the_complete_list(stub):
    async with asyncio.timeout(TIME_LIMIT_S):
        port = await stub.start()
        endpoints = listed_endpoints(stub)
        snapshot = await (await open_watch(port)).read_line()
        assert (snapshot["generation"], snapshot["reset"], len(snapshot["instances"])) == (1, True, 4)
        assert set(snapshot["instances"][0]) == {
            "instanceId",
            "hostPort",
            "zone",
            "machineType",
            "cell",
            "lifecycle",
            "weight",
            "startedAtMs",
        }
        watch = await open_watch(port, "1")
        assert await watch.read_line() == {"generation": 1, "reset": False, "instances": []}
        gone = msgspec.structs.replace(endpoints[0], lifecycle="Gone")
        draining = msgspec.structs.replace(endpoints[1], lifecycle="Terminating")
        stub.state.publish([gone])
        delta = await watch.read_line()
        assert (delta["generation"], lifecycles(delta)) == (2, [(endpoints[0].instance_id, "Gone")])
        stub.state.publish([draining])
        stub.state.publish([msgspec.structs.replace(draining, weight=2.0)])
        assert [(await watch.read_line())["generation"] for _ in range(2)] == [3, 4]
        # Both changes of one endpoint are sent as one.
        late_delta = await (await open_watch(port, "1")).read_line()
        assert (late_delta["generation"], late_delta["reset"]) == (4, False)
        assert dict(lifecycles(late_delta)) == {
            gone.instance_id: "Gone",
            draining.instance_id: "Terminating",
        }
        assert len(lifecycles(late_delta)) == 2
        for unknown_version in ("9", "0", "x"):
            snapshot = await (await open_watch(port, unknown_version)).read_line()
            assert snapshot["reset"]
            assert len(snapshot["instances"]) == 3
        await stub.resize(2)
        snapshot = await (await open_watch(port, "4")).read_line()
        assert (snapshot["generation"], snapshot["reset"], len(snapshot["instances"])) == (5, True, 2)


async def test_discovery_faults_silence_refusal_dropped_watches_and_a_lost_zone(stub):
    async with asyncio.timeout(TIME_LIMIT_S):
        port = await stub.start()
        watch = await open_watch(port)
        await watch.read_line()
        stub.state.is_silent = True
        waiting = await open_watch(port)
        await asyncio.sleep(0)
        stub.state.publish([listed_endpoints(stub)[0]])
        await stub.events.play_fault(Fault(0.0, "silent"))  # it ends at once
        assert (await watch.read_line())["generation"] == 2
        assert (await waiting.read_line())["generation"] == 2
        stub.state.drop_watches()
        await watch.read_until(lambda: False)  # until it ends
        stub.state.is_refusing = True
        refused = await open_watch(port)
        await refused.read_until(lambda: refused.status > 0)
        assert refused.status == 503
        stub.state.is_refusing = False
        watch = await open_watch(port)
        await watch.read_line()
        await stub.events.play_fault(Fault(0.0, "lose_zone", zone="a"))
        lost = await watch.read_line()
        restored = await watch.read_line()
        assert [lifecycle for _, lifecycle in lifecycles(lost)] == ["Gone", "Gone"]
        assert {row["zone"] for row in lost["instances"]} == {"a"}
        assert all(row["startedAtMs"] > 0 and row["lifecycle"] == "Ready" for row in restored["instances"])


def test_same_seed_gives_the_same_endpoints_churn_and_load():
    day = Churn(speedup=1.0)
    events = churn.churn_events(7, day, churn.SECONDS_PER_DAY)
    assert events == churn.churn_events(7, day, churn.SECONDS_PER_DAY)
    assert events != churn.churn_events(8, day, churn.SECONDS_PER_DAY)
    assert events == sorted(events)
    assert all(0.0 <= event.draw < 1.0 for event in events)
    counts = {kind: sum(event.kind == kind for event in events) for kind in ("change", "restart", "failure")}
    assert counts == {"change": 2036, "restart": 11043, "failure": 47}  # 2,100, 11,000 and 61 expected
    endpoints = endpoint_catalog.make_endpoints(7, 50, [1], 15)
    assert endpoints == endpoint_catalog.make_endpoints(7, 50, [1], 15)
    assert endpoints != endpoint_catalog.make_endpoints(8, 50, [1], 15)
    requests = list(arrivals.poisson_arrivals(7, 100.0, 20.0, 1000, 1.1))
    assert requests == list(arrivals.poisson_arrivals(7, 100.0, 20.0, 1000, 1.1))
    assert abs(len(requests) - 2000) < 200
    assert requests == sorted(requests)
    of_first = sum(arrival.customer == 0 for arrival in requests)
    of_tenth = sum(arrival.customer == 9 for arrival in requests)
    assert of_first > 4 * of_tenth > 0


@pytest.mark.parametrize(
    ("text", "key"),
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
def test_wrong_file_is_rejected_with_the_name_of_the_key(tmp_path, text, key):
    path = tmp_path / "wrong.toml"
    path.write_text(text)
    with pytest.raises(config.ConfigError, match=key.replace("[", r"\[").replace("]", r"\]")):
        config.load(path)


def test_flags_override_the_file(tmp_path):
    path = tmp_path / "some.toml"
    path.write_text("seed = 3\n[fleet]\nservers = 10\nhollow = 5")
    loaded = config.load(path, ("fleet.servers=20", "load.rate=2.5"))
    assert (loaded.seed, loaded.fleet.servers, loaded.fleet.hollow, loaded.load.rate) == (3, 20, 5, 2.5)
    assert config.load(ROOT / "scale" / "small.toml").deadline_s < 120.0
    with pytest.raises(config.ConfigError, match=r"fleet\.srvers|srvers"):
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
def test_run_beyond_its_limits_is_cut_short_and_leaves_a_result(tmp_path, flag, reason):
    completed = subprocess.run(
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
    assert completed.returncode == 1
    assert reason in results.read_result(path).stopped
    assert not [pid for pid in child_pids(tmp_path) if psutil.pid_exists(pid)]


def test_child_ends_with_its_input_also_in_the_middle_of_a_command():
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
        assert json.loads(child.stdout.readline()) == {"answer": None}  # it is in the second command by now
        child.stdin.close()
        assert child.wait(60) == 0
    finally:
        child.kill()


def child_pids(folder: Path) -> list[int]:
    """Return the children's process ids, by the log."""
    lines = [line for path in folder.glob("*/run.log") for line in path.read_text().splitlines()]
    rows = [json.loads(line) for line in lines if line.endswith("}")]
    return [row["pid"] for row in rows if row["event"] == "started"]


def wait_for_children(process: subprocess.Popen, folder: Path, number: int) -> list[int]:
    """Wait for so many children and for the load to begin; return the children's process ids."""
    while process.poll() is None:
        pids = child_pids(folder)
        if len(pids) >= number and any("churn" in path.read_text() for path in folder.glob("*/run.log")):
            return pids
        time.sleep(0.05)
    raise AssertionError("the run ended by itself")


def test_line_of_least_squares_and_its_residual():
    straight = results.fit_line([(1.0, 3.0), (2.0, 5.0), (4.0, 9.0), (8.0, 17.0)])
    assert straight
    assert (straight.slope, straight.intercept, straight.residual) == (2.0, 1.0, 0.0)
    bent = results.fit_line([(1.0, 1.0), (2.0, 4.0), (3.0, 9.0), (4.0, 16.0)])
    assert bent
    assert (bent.slope, bent.intercept) == pytest.approx((5.0, -5.0))
    assert bent.residual == pytest.approx(1.0 / 16.0, abs=1e-4)  # the line is 1 off at all four sizes
    assert results.fit_line([(1.0, 2.0), (1.0, 3.0)]) is None
    series = results.Series("cpu", "gateway", "servers", "ms")
    for size in (1, 2):
        series.add(size, [size, 3.0 * size, 100.0])
    series.add(3, [], "refused")
    assert series.fit
    assert series.fit.slope == 3.0
    assert series.fit.sizes == [1, 2]


def test_version_is_in_force_once_99_in_100_have_it_or_a_later_one():
    received = [[(2, 10.0 + number / 100.0)] for number in range(99)] + [[(3, 50.0)]]
    assert propagation_delays([(2, 9.0)], received) == [pytest.approx(1.98)]
    assert propagation_delays([(3, 9.0)], received) == [float("inf")]
    assert propagation_delays([(2, 9.0)], received[:98] + received[99:] * 2) == [41.0]
