"""The program as started by deploy/balancer.toml: readiness, shutdown, reload and log limits."""

import asyncio
import json
import logging
import os
import signal
import sys
from contextlib import AsyncExitStack

import pytest

from quota_gateway import config as config_module
from quota_gateway import log_rate_limiter
from quota_gateway import server as server_module
from quota_gateway.errors import ConfigError
from quota_gateway.net import graceful_shutdown
from quota_gateway.net.clients.command_intake import MAX_PIPELINED_COMMANDS
from tests.support import gateway_process
from tests.support.fake_client import FakeClient
from tests.support.fake_discovery import FakeDiscovery, encode_chunk, encode_update, make_instance
from tests.support.fake_upstream import FakeUpstream
from tests.support.gateway_node import SETTINGS, GatewayNode, connect_slow_reader, run_gateway, wait_until
from tests.support.gateway_process import connect, run_gateway_process
from tests.support.resp_encoding import encode_call, encode_command, encode_reply

POLL_INTERVAL_S = 0.01
READ_DELAY_S = 0.3  # time for which a slow client does not read
LONG_VALUE = bytes(range(256)) * 6_000  # more than the client's kernel takes, less than both kernels do


async def until_ready(client: FakeClient) -> None:
    """Send PING until the program replies that it is ready."""
    while await client.request(encode_command("PING")) != b"PONG":  # noqa: ASYNC110 - another process signals no event
        await asyncio.sleep(POLL_INTERVAL_S)


def run_by_code(monkeypatch: pytest.MonkeyPatch, code: str) -> None:
    """Make ``run_gateway_process`` run these Python statements in place of the deploy file's command."""
    monkeypatch.setattr(gateway_process, "command", lambda: f'exec {sys.executable} -c "$CODE"')
    monkeypatch.setenv("CODE", code)


async def test_process_is_ready_with_the_first_endpoint_list_and_serves(tmp_path):
    async with (
        FakeUpstream(lambda _: encode_reply(b"v")) as server,
        run_gateway_process(tmp_path, server) as (process, port, discovery),
    ):
        client = await connect(port)
        _, watch = await discovery.next_watch()
        watch.write(encode_chunk(encode_update(2, make_instance("s-1", server.port), reset=True)))
        await until_ready(client)
        assert await client.request(encode_call(1)) == b"v"
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0


async def test_sigterm_answers_accepted_requests_and_closes_between_requests(tmp_path):
    async with (
        FakeUpstream(lambda arguments: None if arguments[2].endswith(b"1") else encode_reply(b"v")) as server,
        run_gateway_process(tmp_path, server) as (process, port, _),
    ):
        idle, busy, silent = await connect(port), await connect(port), await connect(port)
        assert await idle.request(encode_call(2)) == b"v"
        silent.send(encode_call(17, timeout_ms=60_000))
        busy.send(encode_call(1, timeout_ms=60_000))
        await server.wait_until(lambda: len(server.commands) == 3)
        process.send_signal(signal.SIGTERM)
        assert await idle.read_reply() is None
        number = next(
            n
            for n, arguments in zip(server.connection_numbers, server.commands, strict=True)
            if arguments[2] == b"0000000000000001"
        )
        server.writers[number].write(encode_reply(b"late"))
        assert await busy.read_reply() == b"late"
        assert await busy.read_reply() is None
        # The server never replies to this request; the shutdown rejects it long before its deadline.
        assert await silent.read_reply() == "-BUSY"
        assert await silent.read_reply() is None
        assert await process.wait() == 0


# Guards against a process that ends while a client still reads: its next request met a closed socket, and the
# reset dropped the rest of a reply that the gateway had written.
async def test_sigterm_serves_a_client_that_still_reads_a_written_reply(tmp_path):
    async with (
        FakeUpstream(lambda words: encode_reply(LONG_VALUE if words[2].endswith(b"1") else b"v")) as server,
        run_gateway_process(tmp_path, server) as (process, port, _),
    ):
        client = await connect(port)
        client.reader._limit = 1  # The stream pauses its transport at once.
        client.send(encode_call(1, timeout_ms=60_000))
        await server.wait_until(lambda: server.commands)
        await asyncio.sleep(READ_DELAY_S)  # The kernel has all of the value by now.
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(graceful_shutdown.ACCEPT_PERIOD_S + READ_DELAY_S)
        client.send(encode_call(2, timeout_ms=60_000))
        await asyncio.sleep(READ_DELAY_S)
        assert await client.read_reply() == LONG_VALUE
        assert await client.read_reply() == b"v"
        assert await client.read_reply() is None
        client.close()
        assert await process.wait() == 0


async def test_shutdown_accepts_for_a_period_and_then_closes_between_requests(monkeypatch):
    monkeypatch.setattr(graceful_shutdown, "ACCEPT_PERIOD_S", 2.0)

    async with run_gateway(FakeUpstream()) as gateway:
        shutdown = start_shutdown(gateway)
        await asyncio.sleep(0)
        late = await gateway.connect_client()
        assert await late.request(encode_call(3)) == b"0000000000000003"
        assert await late.read_reply() is None
        await shutdown
        assert not gateway.client_listener.connections


def start_shutdown(gateway: GatewayNode) -> asyncio.Task[None]:
    """Start the graceful shutdown of a gateway."""
    return asyncio.create_task(
        graceful_shutdown.shut_down_gracefully(
            SETTINGS, gateway.driver, gateway.client_listener, gateway.handover
        )
    )


@pytest.fixture
def short_shutdown(monkeypatch):
    """Shorten the shutdown, but leave enough time to write pending replies."""
    monkeypatch.setattr(graceful_shutdown, "ACCEPT_PERIOD_S", 0.05)
    monkeypatch.setattr(graceful_shutdown, "MAX_DEADLINE_S", 0.1)
    monkeypatch.setattr(graceful_shutdown, "KILL_GRACE_S", graceful_shutdown.ANSWERED_BEFORE_KILL_S + 0.1)
    monkeypatch.setattr(graceful_shutdown, "FLUSH_TIMEOUT_S", 30.0)


@pytest.mark.usefixtures("short_shutdown")
async def test_shutdown_delivers_replies_that_a_slow_client_has_not_read():
    value, many = b"v" * 65_000, MAX_PIPELINED_COMMANDS
    async with run_gateway(FakeUpstream(lambda _: encode_reply(value))) as gateway:
        client, connection = await connect_slow_reader(gateway)
        client.send(*(encode_call(number) for number in range(many)))
        await wait_until(
            lambda: connection.is_write_blocked and all(reply.reply for reply in connection.pending_replies)
        )
        shutdown = start_shutdown(gateway)
        await wait_until(lambda: connection.is_closing or not gateway.client_listener.connections)
        for _ in range(many):
            assert await client.read_reply() == value
        assert await client.read_reply() is None
        await shutdown


@pytest.mark.usefixtures("short_shutdown")
async def test_command_read_just_before_the_end_of_a_shutdown_is_answered(monkeypatch):
    server = FakeUpstream(lambda _: None)
    async with run_gateway(server) as gateway:
        client = await gateway.connect_client()
        client.send(encode_call(1, timeout_ms=60_000))
        await server.wait_until(lambda: len(server.commands) == 1)
        (connection,) = gateway.client_listener.connections
        finish = gateway.client_listener.finish

        def read_command_and_finish():
            connection.data_received(encode_call(2))
            finish()

        monkeypatch.setattr(gateway.client_listener, "finish", read_command_and_finish)
        monkeypatch.setattr(
            connection,
            "close_if_done",
            # Keeps the connection open until the end, as if the client kept sending.
            lambda plain=connection.close_if_done: plain() if connection.is_closing else None,
        )
        shutdown = start_shutdown(gateway)
        assert await client.read_reply() == "-BUSY"
        assert await client.read_reply() == "-BUSY"
        assert await client.read_reply() is None
        await shutdown


async def test_command_that_arrived_before_a_connection_closes_is_answered():
    async with run_gateway(FakeUpstream()) as gateway:
        client = await gateway.connect_client()
        assert await client.request(encode_call(1)) == b"0000000000000001"
        # The command is in the kernel before the event loop can read it.
        os.write(client.writer.get_extra_info("socket").fileno(), encode_call(2))
        gateway.client_listener.stop_listening()
        assert await client.read_reply() == b"0000000000000002"
        assert await client.read_reply() is None


async def test_sighup_moves_the_watch_to_the_address_of_discovery_in_the_file(tmp_path):
    async with (
        FakeUpstream(lambda _: encode_reply(b"1")) as first,
        FakeUpstream(lambda _: encode_reply(b"2")) as second,
        AsyncExitStack() as moved_discoveries,
        run_gateway_process(tmp_path, first) as (process, port, discovery),
    ):
        _, watch = await discovery.next_watch()
        watch.write(encode_chunk(encode_update(2, make_instance("s-1", first.port), reset=True)))
        client = await connect(port)
        await until_ready(client)
        path = tmp_path / "config.json"
        document = json.loads(path.read_text())
        for text in ("{half", json.dumps({**document, "discovery": 7}), None):
            path.unlink()
            if text:
                path.write_text(text)
            process.send_signal(signal.SIGHUP)  # A malformed or missing file leaves the address unchanged.
        assert await client.request(encode_call(1)) == b"1"
        for number, generation in ((2, 9), (3, 4)):
            moved = await moved_discoveries.enter_async_context(FakeDiscovery())
            path.write_text(json.dumps({**document, "discovery": f"127.0.0.1:{moved.port}"}))
            process.send_signal(signal.SIGHUP)
            target, watch = await moved.next_watch()
            assert target == "/discovery/hosts?watch=1"
            watch.write(
                encode_chunk(encode_update(generation, make_instance("s-2", second.port), reset=True))
            )
            await discovery.closed_watches.get()
            assert await client.request(encode_call(number)) == b"2"
            discovery = moved
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0


async def test_signal_during_the_start_waits_for_its_handler(tmp_path, monkeypatch):
    """A SIGHUP as soon as ``main`` starts must not end the process, as its default action would."""
    code = (
        "import os, signal; from quota_gateway import __main__ as program\n"
        "load = program.load_config\n"
        "def slow(env):\n    os.kill(os.getpid(), signal.SIGHUP)\n    return load(env)\n"
        "program.load_config = slow\n"
        "raise SystemExit(program.main())"
    )
    run_by_code(monkeypatch, code)
    async with (
        FakeUpstream(lambda _: encode_reply(b"v")) as server,
        run_gateway_process(tmp_path, server) as (process, port, _),
    ):
        client = await connect(port)
        assert await client.request(encode_call(1)) == b"v"
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0


@pytest.mark.parametrize("wall_step_s", [0.0, 3600.0, -3600.0])
def test_log_lines_are_limited_and_suppressed_ones_are_counted(monkeypatch, wall_step_s):
    now_s = [1000.0]
    monkeypatch.setattr(log_rate_limiter.time, "monotonic", lambda: now_s[0])
    limiter, lines = log_rate_limiter.LogRateLimiter(), []
    for number in range(3 * log_rate_limiter.MAX_LINES_PER_PERIOD):
        record = logging.makeLogRecord({"msg": "bad %d", "args": (number,), "created": 1000.0})
        lines += [record.getMessage()] if limiter.filter(record) else []
    assert len(lines) == log_rate_limiter.MAX_LINES_PER_PERIOD
    now_s[0] += log_rate_limiter.LOG_PERIOD_S
    created = 1000.0 + log_rate_limiter.LOG_PERIOD_S + wall_step_s
    record = logging.makeLogRecord({"msg": "later", "created": created})
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
