"""Readiness after a start while discovery is faulty, with and without known servers."""

import asyncio
from typing import Self

import pytest

from tests.process.test_process import POLL_INTERVAL_S, run_by_code, until_ready
from tests.support.fake_discovery import FakeDiscovery, encode_chunk, encode_update, make_instance
from tests.support.fake_upstream import FakeUpstream
from tests.support.gateway_process import connect, run_gateway_process
from tests.support.resp_encoding import encode_call, encode_reply

FAULTS = ("connection refused", "status 503", "silent")


class FaultyDiscovery(FakeDiscovery):
    """A discovery service that has a fault until ``recover`` is called."""

    def __init__(self, fault: str) -> None:
        super().__init__()
        self.fault = fault

    async def start(self) -> Self:
        """Listen, or refuse connections if that is the fault."""
        await super().start()
        if self.fault == "connection refused":
            self.server.close()
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.fault:
            await super()._serve(reader, writer)
            return
        if self.fault == "status 503":
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        else:
            await reader.read()
        writer.close()

    async def recover(self) -> None:
        """Serve watches without a fault from now on."""
        if self.fault == "connection refused":
            self.server = await asyncio.start_server(self._accept, "127.0.0.1", self.port)
        self.fault = ""


async def restart(folder, fault: str, known: int) -> None:
    """Start a process while discovery is faulty, let discovery recover, and wait until its update applies."""
    folder.mkdir()
    async with (
        FakeUpstream(lambda _: encode_reply(b"old")) as old,
        FakeUpstream(lambda _: encode_reply(b"new")) as new,
        FaultyDiscovery(fault) as discovery,
        run_gateway_process(folder, old, known=known, discovery=discovery) as (process, port, _),
    ):
        client, number = await connect(port), 1
        await until_ready(client)
        assert discovery.request_targets.empty()  # Discovery has served no watch yet.
        if known:
            assert await client.request(encode_call(number)) == b"old"
        await discovery.recover()
        _, watch = await discovery.next_watch()
        watch.write(encode_chunk(encode_update(2, make_instance("s-new", new.port), reset=True)))
        while await client.request(encode_call(number := number + 1)) != b"new":  # noqa: ASYNC110 - another process signals no event
            await asyncio.sleep(POLL_INTERVAL_S)
        assert process.returncode is None


@pytest.mark.parametrize("known", [2, 0])
async def test_restarted_process_is_ready_and_serves_whatever_state_discovery_is_in(known, tmp_path):
    await asyncio.gather(*(restart(tmp_path / fault, fault, known) for fault in FAULTS))


@pytest.mark.parametrize("fault", ["connection refused", "status 503"])
async def test_process_serves_by_the_known_list_at_once_if_discovery_refuses_it(fault, tmp_path, monkeypatch):
    code = (
        "from quota_gateway import __main__ as program, server\n"
        "server.FIRST_UPDATE_TIMEOUT_S = 3600.0\n"
        "raise SystemExit(program.main())"
    )
    run_by_code(monkeypatch, code)
    await restart(tmp_path / fault, fault, 2)
