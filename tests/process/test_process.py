"""The program as deploy/balancer.toml starts it: configuration, readiness, SIGTERM."""

import asyncio
import json
import logging
import os
import signal
import socket
import sys
import tomllib
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from quota_gateway import config as config_module
from quota_gateway import log_rate_limiter
from quota_gateway import server as server_module
from quota_gateway.errors import ConfigError
from quota_gateway.net.command_intake import MAX_PIPELINED_COMMANDS
from tests.support.fakes import SETTINGS as FAKE_SETTINGS
from tests.support.fakes import (
    FakeDiscovery,
    FakeServer,
    Peer,
    array,
    call,
    chunk,
    listing,
    node,
    resp,
    row,
    run,
    slow_reader,
    until,
)
from tests.unit.test_simulator import ENV

ROOT = Path(__file__).parent.parent.parent
RUN = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
SETTINGS = {
    **ENV,
    "services": [{**ENV["services"][0], "name": "read", "hard_limit_ms": 60_000.0, "slo_ms": 30_000.0}],
    "tariffs": [{**ENV["tariffs"][0], "name": "free", "refill": 0.0, "most_at_once": 0.0}],
}


def command() -> str:
    """The deploy file's command; where its environment is not built, this interpreter in its place."""
    if (ROOT / ".venv" / "bin" / "python").exists():
        return RUN
    return RUN.replace(".venv/bin/python", sys.executable)


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]


async def until_ready(peer: Peer) -> None:
    """Ask until the program serves."""
    while await peer.ask(resp("PING")) != b"PONG":  # noqa: ASYNC110 - the answer is all that tells
        await asyncio.sleep(0.01)


async def connect(port: int) -> Peer:
    """Connect as soon as the program listens."""
    while True:
        try:
            return await Peer().open(port)
        except ConnectionRefusedError:
            await asyncio.sleep(0.01)


@asynccontextmanager
async def program(
    tmp_path,
    server: FakeServer,
    descriptors: int = 1024,
    known: int = 1,
    discovery: FakeDiscovery | None = None,
):
    """The running program, the port it listens on and the discovery it watches.

    It knows so many servers, all at the address of the one.
    """
    discovery, port = discovery or await FakeDiscovery().start(), free_port()
    path = tmp_path / "config.json"
    path.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": f"127.0.0.1:{port}",
                "discovery": f"127.0.0.1:{discovery.port}",
                "seed": "8c1f30d27a5be964",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": descriptors},
                "known": {
                    "generation": 1,
                    "reset": True,
                    "instances": [row(f"s-{number}", server.port) for number in range(1, known + 1)],
                },
                "settings": SETTINGS,
            }
        )
    )
    env = {
        **os.environ,
        "EDGE_CONFIG": str(path),
        "EDGE_NAME": "n0",
        "EDGE_LISTEN": f"127.0.0.1:{port}",
        "EDGE_DISCOVERY": f"127.0.0.1:{discovery.port}",
    }
    process = await asyncio.create_subprocess_shell(command(), cwd=ROOT, env=env)
    try:
        yield process, port, discovery
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


def test_starts_is_ready_once_it_has_a_list_and_serves(tmp_path):
    async def test():
        server = await FakeServer(lambda _words: array(b"v")).start()
        async with program(tmp_path, server) as (process, port, discovery):
            peer = await connect(port)
            _, watch = await discovery.watch()
            watch.write(chunk(listing(2, row("s-1", server.port), reset=True)))
            await until_ready(peer)
            assert await peer.ask(call(1)) == b"v"
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    run(test())


def test_sigterm_answers_what_was_taken_and_closes_between_requests(tmp_path):
    async def test():
        server = await FakeServer(lambda words: None if words[2].endswith(b"1") else array(b"v")).start()
        async with program(tmp_path, server) as (process, port, _):
            idle, busy, silent = await connect(port), await connect(port), await connect(port)
            assert await idle.ask(call(2)) == b"v"
            silent.send(call(17, wait=60_000))
            busy.send(call(1, wait=60_000))
            await server.until(lambda: len(server.commands) == 3)
            process.send_signal(signal.SIGTERM)
            assert await idle.reply() is None
            number = next(
                n
                for n, words in zip(server.by, server.commands, strict=True)
                if words[2] == b"0000000000000001"
            )
            server.writers[number].write(array(b"late"))
            assert await busy.reply() == b"late"
            assert await busy.reply() is None
            # The server stays silent on this one, whose client would wait for a minute: refused in time.
            assert await silent.reply() == "-BUSY"
            assert await silent.reply() is None
            assert await process.wait() == 0

    run(test())


def test_while_stopping_it_accepts_for_a_while_and_then_closes_between_requests(monkeypatch):
    monkeypatch.setattr(server_module, "ACCEPT_PERIOD_S", 2.0)

    async def test():
        async with node(FakeServer()) as gateway:
            shutdown = start_shutdown(gateway)
            await asyncio.sleep(0)
            late = await gateway.peer()
            assert await late.ask(call(3)) == b"0000000000000003"
            assert await late.reply() is None
            await shutdown
            assert not gateway.client_listener.connections

    run(test())


def start_shutdown(gateway):
    return asyncio.ensure_future(
        server_module.shut_down_gracefully(
            FAKE_SETTINGS, gateway.driver, gateway.client_listener, gateway.handover
        )
    )


@pytest.fixture
def short_shutdown(monkeypatch):
    """The end comes soon, and what is on its way then has long enough."""
    monkeypatch.setattr(server_module, "ACCEPT_PERIOD_S", 0.05)
    monkeypatch.setattr(server_module, "MAX_DEADLINE_S", 0.1)
    monkeypatch.setattr(server_module, "KILL_GRACE_S", server_module.ANSWERED_BEFORE_KILL_S + 0.1)
    monkeypatch.setattr(server_module, "FLUSH_TIMEOUT_S", 30.0)


@pytest.mark.usefixtures("short_shutdown")
def test_answers_that_a_client_has_not_taken_at_the_end_still_reach_it():
    async def test():
        value, many = b"v" * 65_000, MAX_PIPELINED_COMMANDS
        async with node(FakeServer(lambda _words: array(value))) as gateway:
            peer, client = await slow_reader(gateway)
            peer.send(*(call(number) for number in range(many)))
            await until(
                lambda: client.is_write_blocked and all(reply.reply for reply in client.pending_replies)
            )
            shutdown = start_shutdown(gateway)
            await until(lambda: client.is_closing or not gateway.client_listener.connections)
            for _ in range(many):
                assert await peer.reply() == value
            assert await peer.reply() is None
            await shutdown

    run(test())


@pytest.mark.usefixtures("short_shutdown")
def test_command_that_is_read_in_the_last_instant_is_answered(monkeypatch):
    async def test():
        server = FakeServer(lambda _words: None)
        async with node(server) as gateway:
            peer = await gateway.peer()
            peer.send(call(1, wait=60_000))
            await server.until(lambda: len(server.commands) == 1)
            (client,) = gateway.client_listener.connections
            finish = gateway.client_listener.finish

            def last():
                client.data_received(call(2))
                finish()

            monkeypatch.setattr(gateway.client_listener, "finish", last)
            monkeypatch.setattr(
                client,
                "close_if_done",
                lambda plain=client.close_if_done: plain() if client.is_closing else None,
            )  # as if it sent on and on
            shutdown = start_shutdown(gateway)
            assert await peer.reply() == "-BUSY"
            assert await peer.reply() == "-BUSY"
            assert await peer.reply() is None
            await shutdown

    run(test())


def test_command_that_has_come_when_a_connection_would_be_closed_is_read_first():
    async def test():
        async with node(FakeServer()) as gateway:
            peer = await gateway.peer()
            assert await peer.ask(call(1)) == b"0000000000000001"
            os.write(peer.writer.get_extra_info("socket").fileno(), call(2))  # before the loop could read it
            gateway.client_listener.stop_listening()
            assert await peer.reply() == b"0000000000000002"
            assert await peer.reply() is None

    run(test())


def test_sighup_moves_the_watch_to_where_the_file_names_discovery_now(tmp_path):
    async def test():
        first = await FakeServer(lambda _words: array(b"1")).start()
        second = await FakeServer(lambda _words: array(b"2")).start()
        async with program(tmp_path, first) as (process, port, discovery):
            _, watch = await discovery.watch()
            watch.write(chunk(listing(2, row("s-1", first.port), reset=True)))
            peer = await connect(port)
            await until_ready(peer)
            path = tmp_path / "config.json"
            document = json.loads(path.read_text())
            for text in ("{half", json.dumps({**document, "discovery": 7}), None):
                path.unlink()
                if text:
                    path.write_text(text)
                process.send_signal(signal.SIGHUP)  # can't be read: what is stays
            assert await peer.ask(call(1)) == b"1"
            for number, generation in ((2, 9), (3, 4)):
                moved = await FakeDiscovery().start()
                path.write_text(json.dumps({**document, "discovery": f"127.0.0.1:{moved.port}"}))
                process.send_signal(signal.SIGHUP)
                target, watch = await moved.watch()
                assert target == "/discovery/hosts?watch=1"
                watch.write(chunk(listing(generation, row("s-2", second.port), reset=True)))
                await discovery.ended.get()
                assert await peer.ask(call(number)) == b"2"
                discovery = moved
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    run(test())


def test_signal_that_comes_while_the_program_starts_waits_for_its_handler(tmp_path, monkeypatch):
    """SIGHUP at the first moment that code of ours runs in ``main``: its default would end the process."""

    async def test():
        code = (
            "import os, signal; from quota_gateway import __main__ as program\n"
            "load = program.load_config\n"
            "def slow(env):\n    os.kill(os.getpid(), signal.SIGHUP)\n    return load(env)\n"
            "program.load_config = slow\n"
            "raise SystemExit(program.main())"
        )
        monkeypatch.setattr(sys.modules[__name__], "command", lambda: f'exec {sys.executable} -c "$CODE"')
        monkeypatch.setenv("CODE", code)
        server = await FakeServer(lambda _words: array(b"v")).start()
        async with program(tmp_path, server) as (process, port, _):
            peer = await connect(port)
            assert await peer.ask(call(1)) == b"v"
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    run(test())


def test_log_lines_are_limited_and_suppressed_ones_are_counted():
    limiter, lines = log_rate_limiter.LogRateLimiter(), []
    for number in range(3 * log_rate_limiter.MAX_LINES_PER_PERIOD):
        record = logging.makeLogRecord({"msg": "bad %d", "args": (number,), "created": 1000.0})
        lines += [record.getMessage()] if limiter.filter(record) else []
    assert len(lines) == log_rate_limiter.MAX_LINES_PER_PERIOD
    record = logging.makeLogRecord({"msg": "later", "created": 1000.0 + log_rate_limiter.LOG_PERIOD_S})
    assert limiter.filter(record)
    assert record.getMessage() == f"later suppressed_lines={2 * log_rate_limiter.MAX_LINES_PER_PERIOD}"


@pytest.mark.parametrize(
    "text", ["127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1", ":80", "127.0.0.1:", "h:1_0", 7]
)
def test_malformed_address_is_reported_by_its_field_and_the_watch_stays(text, tmp_path, caplog):
    class Watched:
        def watch(self, address):
            raise AssertionError(address)

    path = tmp_path / "config.json"
    path.write_text(json.dumps({"discovery": text}))
    server_module.reload_discovery_address(path, Watched())
    assert "discovery" in caplog.text
    assert repr(text) in caplog.text
    with pytest.raises(ConfigError, match="listen"):
        config_module.parse_address("listen", text)
