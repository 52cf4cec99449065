"""Streamed large values: pieces, backpressure in both directions, truncated values."""

import asyncio

import pytest

from quota_gateway.errors import ProtocolError
from quota_gateway.net.clients.command_intake import MAX_PIPELINED_COMMANDS
from quota_gateway.net.resp import ReplyReader
from quota_gateway.net.upstream import pool as upstream_pool
from tests.support.fake_upstream import FakeUpstream
from tests.support.gateway_node import HEDGING_LIMITS, run_gateway, wait_until
from tests.support.resp_encoding import encode_call, encode_reply

LARGE_VALUE = bytes(range(256)) * 16_384  # 4 MiB
VALUE_HEADER = b"*3\r\n$%d\r\n" % len(LARGE_VALUE)
VALUE_END = b"\r\n$6\r\nused=1\r\n$-1\r\n"


def writer_for(server: FakeUpstream, ending: bytes) -> asyncio.StreamWriter:
    """Return the writer of the connection with the one command whose request id has this ending."""
    (number,) = [n for n, words in enumerate(server.commands) if words[2].endswith(ending)]
    return server.writers[server.connection_numbers[number]]


def read_in_pieces(data: bytes, size: int) -> tuple[bytes, list]:
    """Parse bytes that arrive in pieces; return the streamed value and all replies."""
    reader, value, replies = ReplyReader(), b"", []
    for start in range(0, len(data), size):
        reader.receive_data(data[start : start + size])
        reply = reader.next_reply()
        if reply is None and reader.streamed_bytes_left is not None:
            value += reader.take_piece()
            reply = reader.next_reply()
        if reply is not None:
            replies.append(reply)
        assert len(reader.buffer) <= size + 64
    return value, replies


@pytest.mark.parametrize("size", [1, 7, 65_536, 10_000_000])
def test_reader_gathers_short_values_and_streams_large_ones(size):
    large = LARGE_VALUE[:70_000]
    value, replies = read_in_pieces(
        b"*3\r\n$70000\r\n" + large + VALUE_END + encode_reply(b"short") * 2, size
    )
    assert value == large
    first, *rest = replies
    assert first == [b"", b"used=1", None]
    if size < 30:
        assert rest == [[b"short", None, None]] * 2


def test_large_value_longer_than_its_header_says_is_a_protocol_error():
    with pytest.raises(ProtocolError):
        read_in_pieces(b"*3\r\n$70000\r\n" + LARGE_VALUE[:70_001] + VALUE_END, 1000)


async def test_large_value_is_streamed_to_the_client_and_the_connection_is_reused():
    server = FakeUpstream(lambda words: None if words[2].endswith(b"1") else encode_reply(words[2]))
    async with run_gateway(server) as gateway:
        client = await gateway.connect_client()
        client.send(encode_call(1))
        await server.wait_until(lambda: server.commands)
        server.writers[0].write(VALUE_HEADER + LARGE_VALUE[:10])
        head = b"$%d\r\n" % len(LARGE_VALUE)
        assert await client.reader.readexactly(len(head) + 10) == head + LARGE_VALUE[:10]
        server.writers[0].write(LARGE_VALUE[10:] + VALUE_END)
        assert await client.reader.readexactly(len(LARGE_VALUE) - 8) == LARGE_VALUE[10:] + b"\r\n"
        assert await client.request(encode_call(2)) == b"0000000000000002"
        await wait_until(lambda: not gateway.driver.active_requests)
        assert gateway.client_listener.budget.buffered_bytes == gateway.upstream_pool.buffered_bytes == 0


async def test_large_value_is_read_ahead_of_a_slow_client_and_ends_its_request():
    server = FakeUpstream(lambda _words: None)
    async with run_gateway(server) as gateway:
        client = await gateway.connect_client()
        client.writer.transport.pause_reading()
        client.send(encode_call(1))
        await server.wait_until(lambda: server.commands)
        server.writers[0].write(
            b"*3\r\n$%d\r\n" % (2 * len(LARGE_VALUE)) + LARGE_VALUE + LARGE_VALUE + VALUE_END
        )
        await wait_until(lambda: not gateway.driver.active_requests)
        assert gateway.client_listener.budget.buffered_bytes > 100_000
        client.writer.transport.resume_reading()
        assert await client.read_reply() == LARGE_VALUE + LARGE_VALUE
        await wait_until(lambda: not gateway.client_listener.budget.buffered_bytes)


async def test_slow_client_pauses_its_server_where_the_buffer_budget_is_short():
    server = FakeUpstream(lambda _words: None)
    async with run_gateway(server) as gateway:
        gateway.client_listener.max_buffered_bytes = 200_000
        client = await gateway.connect_client()
        client.writer.transport.pause_reading()
        many = 4 * LARGE_VALUE
        client.send(encode_call(1))
        await server.wait_until(lambda: server.commands)
        server.writers[0].write(b"*3\r\n$%d\r\n" % (len(many) // 2) + many[: len(many) // 2] + VALUE_END)
        (connection,) = gateway.upstream_pool.connections
        await wait_until(lambda: connection.paused)
        assert gateway.client_listener.budget.buffered_bytes < 300_000
        assert gateway.upstream_pool.buffered_bytes < 100_000
        client.writer.transport.resume_reading()
        assert await client.read_reply() == many[: len(many) // 2]


async def test_large_value_after_another_reply_is_written_in_order():
    server = FakeUpstream(lambda _words: None)
    async with run_gateway(server) as gateway:
        gateway.client_listener.max_buffered_bytes = 200_000
        client = await gateway.connect_client()
        client.send(encode_call(1), encode_call(2))
        await server.wait_until(lambda: len(server.commands) == 2)
        first, second = (
            server.writers[server.connection_numbers[server.commands.index(words)]]
            for words in sorted(server.commands, key=lambda words: words[2])
        )
        second.write(VALUE_HEADER + LARGE_VALUE + VALUE_END)
        await wait_until(lambda: any(connection.paused for connection in gateway.upstream_pool.connections))
        assert gateway.client_listener.budget.buffered_bytes < 300_000
        first.write(encode_reply(b"first"))
        assert await client.read_reply() == b"first"
        assert await client.read_reply() == LARGE_VALUE


@pytest.mark.parametrize(
    "rest", [None, LARGE_VALUE[10:] + b"xx$-1\r\n$-1\r\n", LARGE_VALUE[10:] + b"\r\n$9999\r\n"]
)
async def test_truncated_large_value_closes_the_client_connection(rest):
    server = FakeUpstream(lambda _words: None)
    async with run_gateway(server) as gateway:
        client = await gateway.connect_client()
        client.send(encode_call(1))
        await server.wait_until(lambda: server.commands)
        server.writers[0].write(VALUE_HEADER + LARGE_VALUE[:10])
        await wait_until(
            lambda: any(request.body_writer for request in gateway.driver.active_requests.values())
        )
        server.writers[0].write(rest) if rest else server.writers[0].close()
        assert await client.read_reply() is None
        await wait_until(
            lambda: not gateway.driver.active_requests and not gateway.client_listener.connections
        )
        assert gateway.client_listener.budget.buffered_bytes == gateway.upstream_pool.buffered_bytes == 0


async def test_large_value_truncated_before_its_turn_does_not_affect_earlier_replies():
    server = FakeUpstream(lambda _words: None)
    async with run_gateway(server) as gateway:
        client = await gateway.connect_client()
        client.send(encode_call(1), encode_call(2))
        await server.wait_until(lambda: len(server.commands) == 2)
        first, second = (
            server.writers[server.connection_numbers[server.commands.index(words)]]
            for words in sorted(server.commands, key=lambda words: words[2])
        )
        second.write(VALUE_HEADER + LARGE_VALUE[:10])
        await wait_until(
            lambda: any(request.body_writer for request in gateway.driver.active_requests.values())
        )
        second.close()
        first.write(encode_reply(b"first"))
        assert [await client.read_reply(), await client.read_reply()] == [b"first", None]


async def test_server_that_stalls_within_a_large_value_times_out(monkeypatch):
    monkeypatch.setattr(upstream_pool, "STALL_TIMEOUT_S", 0.2)
    monkeypatch.setattr(upstream_pool, "SWEEP_INTERVAL_S", 0.05)
    server = FakeUpstream(lambda _words: None)
    async with run_gateway(server) as gateway:
        client = await gateway.connect_client()
        client.send(encode_call(1))
        await server.wait_until(lambda: server.commands)
        server.writers[0].write(VALUE_HEADER + LARGE_VALUE[:10])
        assert await client.read_reply() is None
        await server.wait_until(lambda: server.closed_connections)


async def test_large_value_that_has_begun_may_exceed_the_request_timeout():
    server = FakeUpstream(lambda _words: None)
    async with run_gateway(server) as gateway:
        client = await gateway.connect_client()
        client.send(encode_call(1, timeout_ms=300))
        await server.wait_until(lambda: server.commands)
        server.writers[0].write(VALUE_HEADER + LARGE_VALUE[:10])
        await asyncio.sleep(0.5)
        server.writers[0].write(LARGE_VALUE[10:] + VALUE_END)
        assert await client.read_reply() == LARGE_VALUE


async def test_client_that_disconnects_within_a_large_value_ends_the_attempt():
    server = FakeUpstream(lambda _words: None)
    async with run_gateway(server) as gateway:
        client = await gateway.connect_client()
        client.send(encode_call(1))
        await server.wait_until(lambda: server.commands)
        server.writers[0].write(VALUE_HEADER + LARGE_VALUE[:10])
        await wait_until(
            lambda: any(request.body_writer for request in gateway.driver.active_requests.values())
        )
        client.writer.transport.abort()
        await server.wait_until(lambda: server.closed_connections)
        await wait_until(lambda: not gateway.driver.active_requests)


async def test_hedged_request_is_answered_by_the_attempt_whose_large_value_begins_first():
    server, other = FakeUpstream(lambda _words: None), FakeUpstream(lambda _words: None)
    async with run_gateway(server, other, limits=HEDGING_LIMITS) as gateway:
        client = await gateway.connect_client()
        client.send(encode_call(1))
        await wait_until(lambda: gateway.driver.active_requests)
        (active,) = gateway.driver.active_requests.values()
        (first,) = active.attempts.values()
        pending = gateway.driver.engine.requests[active.request_id]
        server_id = next(number for number in (1, 2) if number not in pending.tried_endpoints)
        gateway.driver.engine.output.clear()
        gateway.driver.engine.lifecycle.start_attempt(
            pending, gateway.driver.engine.endpoints.by_id[server_id]
        )
        for action in gateway.driver.engine.output:
            gateway.driver._perform(action)
        for fake in (server, other):
            await fake.wait_until(lambda fake=fake: fake.commands)
        fakes = {1: server, 2: other}
        quick = fakes.pop(server_id)
        (slow,) = fakes.values()
        quick.writers[0].write(VALUE_HEADER + LARGE_VALUE + VALUE_END)
        assert await client.read_reply() == LARGE_VALUE
        await slow.wait_until(lambda: slow.closed_connections)
        assert first.on_done is None


async def test_value_truncated_before_others_are_answered_fails_alone():
    server = FakeUpstream(lambda words: None if words[2].endswith(b"1") else encode_reply(words[2]))
    async with run_gateway(server) as gateway:
        client = await gateway.connect_client()
        client.send(encode_call(1, "buy"), encode_call(2), encode_call(3))
        await server.wait_until(lambda: len(server.commands) == 3)
        broken = writer_for(server, b"1")
        broken.write(VALUE_HEADER + LARGE_VALUE[:100_000])
        await wait_until(lambda: gateway.client_listener.budget.buffered_bytes > 60_000)
        broken.close()
        assert await client.read_reply() == "-ERR failed"
        assert await client.read_reply() == b"0000000000000002"
        assert await client.read_reply() == b"0000000000000003"


async def test_command_after_a_value_that_is_being_written_stays_in_the_kernel():
    server = FakeUpstream(lambda words: None if words[2].endswith(b"1") else encode_reply(words[2]))
    async with run_gateway(server) as gateway:
        client = await gateway.connect_client()
        client.send(encode_call(1))
        await server.wait_until(lambda: server.commands)
        server.writers[0].write(VALUE_HEADER + LARGE_VALUE[:100_000])
        await client.reader.readexactly(50_000)
        client.send(encode_call(2))
        await client.writer.drain()
        server.writers[0].write(LARGE_VALUE[100_000:200_000])
        await client.reader.readexactly(100_000)
        (connection,) = gateway.client_listener.connections
        assert connection.intake.is_read_paused
        assert len(connection.pending_replies) == 1
        # The client sees a truncated value, and may safely send its second command elsewhere.
        server.writers[0].close()
        await wait_until(lambda: not gateway.client_listener.connections)
        assert len(server.commands) == 1


async def test_commands_are_taken_again_after_a_value_was_written_completely():
    server = FakeUpstream(lambda words: None if words[2].endswith(b"1") else encode_reply(words[2]))
    async with run_gateway(server) as gateway:
        client = await gateway.connect_client()
        client.send(encode_call(1))
        await server.wait_until(lambda: server.commands)
        server.writers[0].write(VALUE_HEADER + LARGE_VALUE[:100_000])
        await wait_until(lambda: gateway.client_listener.connections)
        client.send(encode_call(2))
        server.writers[0].write(LARGE_VALUE[100_000:] + VALUE_END)
        assert await client.read_reply() == LARGE_VALUE
        assert await client.read_reply() == b"0000000000000002"


async def test_value_that_is_held_back_and_stalls_fails_at_its_deadline():
    server = FakeUpstream(lambda words: None if words[2].endswith(b"1") else encode_reply(words[2]))
    async with run_gateway(server) as gateway:
        client = await gateway.connect_client()
        client.send(encode_call(1, timeout_ms=1500), encode_call(2))
        await server.wait_until(lambda: len(server.commands) == 2)
        writer_for(server, b"1").write(VALUE_HEADER + LARGE_VALUE[:100_000])
        assert await client.read_reply() == "-ERR failed"
        assert await client.read_reply() == b"0000000000000002"


async def test_value_that_is_held_back_is_written_where_memory_is_short():
    server = FakeUpstream(lambda words: None if words[2].endswith(b"1") else encode_reply(words[2]))
    async with run_gateway(server) as gateway:
        gateway.client_listener.max_buffered_bytes = 400_000
        client = await gateway.connect_client()
        client.send(encode_call(1), encode_call(2))
        await server.wait_until(lambda: len(server.commands) == 2)
        writer_for(server, b"1").write(VALUE_HEADER + LARGE_VALUE + VALUE_END)
        assert await client.read_reply() == LARGE_VALUE
        assert await client.read_reply() == b"0000000000000002"


async def test_value_truncated_before_its_turn_is_an_error_and_nothing_of_it_is_written():
    server = FakeUpstream(lambda words: encode_reply(words[2]) if words[2].endswith(b"3") else None)
    async with run_gateway(server) as gateway:
        client = await gateway.connect_client()
        client.send(encode_call(1), encode_call(2), encode_call(3))
        await server.wait_until(lambda: len(server.commands) == 3)
        first, second = writer_for(server, b"1"), writer_for(server, b"2")
        second.write(VALUE_HEADER + LARGE_VALUE[:100_000])
        await wait_until(lambda: gateway.client_listener.budget.buffered_bytes > 60_000)
        second.close()
        await wait_until(lambda: gateway.client_listener.budget.buffered_bytes < 60_000)
        first.write(encode_reply(b"first"))
        assert await client.read_reply() == b"first"
        assert await client.read_reply() == "-ERR failed"
        assert await client.read_reply() == b"0000000000000003"
        await wait_until(lambda: not gateway.client_listener.budget.buffered_bytes)


async def test_commands_that_wait_for_a_large_value_in_a_long_pipeline_are_all_answered():
    large = b"%016x" % 30
    server = FakeUpstream(lambda words: None if words[2] in (b"%016x" % 1, large) else encode_reply(words[2]))
    async with run_gateway(server, max_connections=200) as gateway:
        client = await gateway.connect_client()
        client.send(*(encode_call(number) for number in range(1, 151)))
        await server.wait_until(lambda: len(server.commands) == MAX_PIPELINED_COMMANDS)
        writers = {
            words[2]: server.writers[server.connection_numbers[number]]
            for number, words in enumerate(server.commands)
        }
        writers[large].write(VALUE_HEADER + LARGE_VALUE[:200_000] + LARGE_VALUE[200_000:] + VALUE_END)
        # All requests but the first are answered.
        await wait_until(lambda: len(gateway.driver.active_requests) == 1)
        writers[b"%016x" % 1].write(encode_reply(b"first"))
        assert await client.read_reply() == b"first"
        for number in range(2, 151):
            value = await client.read_reply()
            assert value == (LARGE_VALUE if number == 30 else b"%016x" % number)
