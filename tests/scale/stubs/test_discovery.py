"""The discovery stub: watches, snapshots, deltas and injected faults."""

import asyncio
import json
from collections.abc import Callable

import httptools
import msgspec
import pytest

from scale.config import Fault
from scale.stubs.discovery import DiscoveryStub
from scale.stubs.endpoint_catalog import ListedEndpoint
from tests.support.async_tests import TIME_LIMIT_S


class DiscoveryReader:
    """A test client that sends one HTTP request to discovery and reads the lines of its response."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body = b""
        self.status = 0

    async def open(self, port: int, query: str) -> "DiscoveryReader":
        """Connect and send the request."""
        self.stream, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.writer.write(f"GET /discovery/hosts{query} HTTP/1.1\r\nHost: d\r\n\r\n".encode())
        return self

    def on_headers_complete(self) -> None:
        """Store the status; called by the parser."""
        self.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body; called by the parser."""
        self.body += body

    async def read_until(self, is_done: Callable[[], bool]) -> None:
        """Read until the condition is true or the connection is closed."""
        while not is_done() and (data := await self.stream.read(65536)):
            self.parser.feed_data(data)

    async def read_line(self) -> dict:
        """Read and decode the next line that is not empty."""
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


async def test_watch_resumes_from_its_version_or_gets_a_complete_snapshot(stub):
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
        # Two changes of the same endpoint are merged into one.
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


async def test_injected_silence_rejection_dropped_watches_and_zone_loss(stub):
    async with asyncio.timeout(TIME_LIMIT_S):
        port = await stub.start()
        watch = await open_watch(port)
        await watch.read_line()
        stub.state.is_silent = True
        waiting = await open_watch(port)
        await asyncio.sleep(0)
        stub.state.publish([listed_endpoints(stub)[0]])
        # This fault has no duration, so it ends the silence immediately.
        await stub.events.play_fault(Fault(0.0, "silent"))
        assert (await watch.read_line())["generation"] == 2
        assert (await waiting.read_line())["generation"] == 2
        stub.state.drop_watches()
        # The dropped watch is read until its connection is closed.
        await watch.read_until(lambda: False)
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
