"""Readiness after a start, whatever state discovery is in and whether any server is known."""

import asyncio
import sys

import pytest

from tests.process import test_process as process_module
from tests.process.test_process import connect, program, until_ready
from tests.support.fakes import FakeDiscovery, FakeServer, array, call, chunk, listing, row, run

FAULTS = ("connection refused", "status 503", "silent")


class FaultyDiscovery(FakeDiscovery):
    """A discovery with a fault until it has recovered."""

    def __init__(self, fault: str) -> None:
        super().__init__()
        self.fault = fault

    async def start(self) -> FakeDiscovery:
        """Begin, refusing connections where that is the fault."""
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
        """Serve as discovery should from now on."""
        if self.fault == "connection refused":
            self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.fault = ""


async def restart(folder, fault: str, known: int) -> None:
    """One process from its start until it has heard discovery again and serves by that."""
    folder.mkdir()
    old = await FakeServer(lambda _words: array(b"old")).start()
    new = await FakeServer(lambda _words: array(b"new")).start()
    discovery = await FaultyDiscovery(fault).start()
    async with program(folder, old, known=known, discovery=discovery) as (process, port, _):
        peer, number = await connect(port), 1
        await until_ready(peer)
        assert discovery.targets.empty()  # it has heard nothing
        if known:
            assert await peer.ask(call(number)) == b"old"
        await discovery.recover()
        _, watch = await discovery.watch()
        watch.write(chunk(listing(2, row("s-new", new.port), reset=True)))
        while await peer.ask(call(number := number + 1)) != b"new":  # noqa: ASYNC110 - asked from outside
            await asyncio.sleep(0.01)
        assert process.returncode is None


@pytest.mark.parametrize("known", [2, 0])
def test_restarted_process_is_ready_and_serves_whatever_state_discovery_is_in(known, tmp_path):
    async def test():
        await asyncio.gather(*(restart(tmp_path / fault, fault, known) for fault in FAULTS))

    run(test())


@pytest.mark.parametrize("fault", ["connection refused", "status 503"])
def test_process_that_discovery_refuses_serves_by_the_known_list_at_once(fault, tmp_path, monkeypatch):
    code = (
        "from quota_gateway import __main__ as program, server\n"
        "server.FIRST_UPDATE_TIMEOUT_S = 3600.0\n"
        "raise SystemExit(program.main())"
    )
    monkeypatch.setattr(process_module, "command", lambda: f'exec {sys.executable} -c "$CODE"')
    monkeypatch.setenv("CODE", code)
    run(restart(tmp_path / fault, fault, 2))
