"""Descriptors: each is closed once, and all that are open together stay within the limit."""

import asyncio
import gc
import json
import os
import signal
import socket
from contextlib import contextmanager, suppress

import pytest

from quota_gateway import AttemptStatus, Endpoint, EndpointUpdate, UpdateKind
from quota_gateway import resources
from quota_gateway.net.upstream_pool import Attempt, UpstreamPool
from tests.process import test_process as process_module
from tests.support.fakes import (
    MOST_HELD,
    SETTINGS,
    FakeDiscovery,
    FakeServer,
    array,
    call,
    chunk,
    listing,
    resp,
    row,
    run,
    until,
)


def told(servers: UpstreamPool, listener: socket.socket) -> None:
    """The servers' list: one, at the address of a listener that never accepts."""
    servers.update(EndpointUpdate(UpdateKind.SNAPSHOT, (Endpoint(1, "a"),)), {1: listener.getsockname()})


@pytest.mark.parametrize("news", [True, False])
def test_descriptor_of_a_connection_that_ends_as_it_comes_up_is_closed_once(news):
    async def test():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            servers, ends = UpstreamPool(SETTINGS, 10, MOST_HELD), []
            told(servers, listener)
            servers.start(1, Attempt(b"x", lambda reply: ends.append(reply.status)))
            made = list(servers.connections)
            await until(lambda: made[0].socket is not None)
            number = made[0].socket.fileno()
            if news:
                servers._renew(made[0].host)
            else:
                made[0].close(AttemptStatus.CANCELLED)
            await until(lambda: ends and made[0].task.done())
            with open(os.devnull) as other:
                assert other.fileno() == number  # as its descriptor is closed, the next file has the number
                made.clear()
                servers.close()
                await asyncio.sleep(0)
                gc.collect()
                os.fstat(other.fileno())

    run(test())


def open_now(process: int | str = "self") -> int:
    return len(os.listdir(f"/proc/{process}/fd"))


@pytest.mark.parametrize("turns", range(1, 8))
def test_connections_reopened_in_one_turn_never_hold_more_descriptors_than_their_share(turns):
    async def test():
        with socket.create_server(("127.0.0.1", 0), backlog=1024) as listener:
            servers, ends, most, share = UpstreamPool(SETTINGS, 40, MOST_HELD), [], 0, 40
            told(servers, listener)
            servers.start(1, Attempt(b"x", lambda reply: None))
            (first,) = servers.connections
            await until(lambda: first.transport is not None)  # what the loop opens once is open
            first.close(AttemptStatus.CANCELLED)
            await until(lambda: servers.descriptors_in_use == 0)
            before = open_now()
            for _ in range(4):
                for _ in range(share):
                    servers.start(1, Attempt(b"x", lambda reply: ends.append(reply.status)))
                for _ in range(turns):
                    await asyncio.sleep(0)
                    most = max(most, open_now() - before)
                for connection in list(servers.connections):
                    connection.close(AttemptStatus.CANCELLED)
            for _ in range(share):
                servers.start(1, Attempt(b"x", lambda reply: ends.append(reply.status)))
            while any(connection.transport is None for connection in servers.connections):
                await asyncio.sleep(0)
                most = max(most, open_now() - before)
            assert most == servers.descriptors_in_use == len(servers.connections) == share
            assert ends == [AttemptStatus.CANCELLED] * 4 * share  # none could not connect for it
            servers.close()
            await until(lambda: servers.descriptors_in_use == 0)
            assert open_now() == before

    run(test())


def test_connection_that_waits_for_a_place_can_be_given_up():
    async def test():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            servers, ends = UpstreamPool(SETTINGS, 1, MOST_HELD), []
            told(servers, listener)
            servers.start(1, Attempt(b"x", lambda reply: None))
            (first,) = servers.connections
            await until(lambda: first.transport is not None)
            first.close(AttemptStatus.CANCELLED)
            waiting = Attempt(b"x", lambda reply: ends.append(reply.status))
            servers.start(1, waiting)
            servers.stop(waiting, AttemptStatus.TIMEOUT)
            assert ends == [AttemptStatus.CONNECT_FAILED]  # it never ran
            assert not servers.waiting and not servers.connections
            await until(lambda: servers.descriptors_in_use == 0)
            servers.close()

    run(test())


@pytest.mark.parametrize("managed", [False, True])
@pytest.mark.parametrize("limit", [256, 1024])
def test_sum_of_all_shares_is_the_limit(limit, managed):
    others = resources.OTHER_DESCRIPTORS + (resources.ADMIN_DESCRIPTORS if managed else 0)
    budget = resources.divide_descriptors(limit, 7, managed)
    assert budget.clients + budget.upstream + 7 + others == limit


class Crowd:
    """Clients that say one thing each and stay; those who are closed come again at once."""

    def __init__(self, port: int, said: list[bytes]) -> None:
        self.port, self.came = port, 0
        self.tasks = [asyncio.ensure_future(self._stay(words)) for words in said]

    async def _stay(self, words: bytes) -> None:
        while True:
            with suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                self.came += 1
                writer.write(words)
                while await reader.read(1000):
                    pass
                writer.close()
            await asyncio.sleep(0)

    async def end(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@contextmanager
def late_server():
    """The port of a server that never comes up: its queue is full, so that connecting to it just takes."""
    with socket.socket() as listener, socket.socket() as first, socket.socket() as second:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for sock in (first, second):
            sock.setblocking(False)
            sock.connect_ex(listener.getsockname())
        yield listener.getsockname()[1]


LIMIT, CROWD = 128, 200  # descriptors of the process, and clients who ask nothing
SILENT, OUT = 30, 15  # servers that only answer at the end, and at least so many attempts out to them
SAID = {"nothing": b"", "half a command": call(1)[:50], "PING": resp("PING")}


@pytest.mark.parametrize("said", SAID)
def test_news_is_heard_and_requests_are_served_while_a_crowd_holds_all_there_is_for_clients(
    said,
    tmp_path,
    monkeypatch,
    capfd,
):
    """Discovery is gone, comes back, and moves as it does; servers hold all they may meanwhile.

    The kernel itself holds the process to its limit.
    """
    monkeypatch.setattr(
        process_module, "command", lambda plain=process_module.command: f"ulimit -n {LIMIT}; {plain()}"
    )

    async def test():
        silent = await FakeServer(lambda words: None).start()
        good = await FakeServer(lambda words: array(b"v")).start()
        with late_server() as late:
            async with process_module.program(tmp_path, silent, LIMIT, SILENT) as (process, port, discovery):
                path, most = tmp_path / "config.json", 0
                _, watch = await discovery.watch()
                discovery.server.close()
                rows = json.loads(path.read_text())["known"]["instances"]
                watch.write(chunk(listing(2, *rows, reset=True)))
                early = await process_module.connect(port)
                while await early.ask(resp("PING")) != b"PONG":
                    await asyncio.sleep(0.01)
                watch.close()  # from here on it can't be reached
                crowd = Crowd(port, [SAID[said]] * CROWD)
                early.send(*(call(number, wait=60_000) for number in range(100, 160)))
                while crowd.came < CROWD + LIMIT or len(silent.commands) < OUT:
                    await asyncio.sleep(0.01)
                    most = max(most, open_now(process.pid))
                back = await asyncio.start_server(discovery._serve, "127.0.0.1", discovery.port)
                moved = await FakeDiscovery().start()
                document = json.loads(path.read_text())
                path.write_text(json.dumps({**document, "discovery": f"127.0.0.1:{moved.port}"}))
                process.send_signal(signal.SIGHUP)
                (_, old), (_, new) = await discovery.watch(), await moved.watch()
                old.write(chunk(listing(3, row("s-late", late), row("s-good", good.port), reset=True)))
                new.write(chunk(listing(9, row("s-late", late), row("s-good", good.port), reset=True)))
                assert await discovery.ended.get() == "by the gateway"  # as the new one has been heard
                most = max(most, open_now(process.pid))
                silent.answer = lambda words: array(b"late")
                for writer in silent.writers:
                    writer.write(array(b"late"))
                peer, number = await process_module.connect(port), 200
                while await peer.ask(call(number := number + 1)) != b"v":
                    await asyncio.sleep(0.01)
                most = max(most, open_now(process.pid))
                assert most <= LIMIT
                await crowd.end()
                back.close()

    run(test())
    assert "Too many open files" not in capfd.readouterr().err
