"""Replies that the gateway has written and the client has not read yet, when the connection is to end."""

import asyncio

import pytest

from quota_gateway.net.clients import connection as client_connection
from quota_gateway.net.clients import connection_lifecycle, idle_connections, reply_delivery
from quota_gateway.net.clients.connection import ClientConnection
from quota_gateway.net.clients.socket_state import unacknowledged_bytes
from quota_gateway.telemetry import Metric
from tests.support.fake_client import FakeClient
from tests.support.fake_upstream import CLOSE_CONNECTION, FakeUpstream
from tests.support.gateway_node import GatewayNode, connect_slow_reader, run_gateway, wait_until
from tests.support.resp_encoding import encode_call, encode_reply

# Between the sizes of the kernel's buffer for sending and of both buffers of a connection together.
LONG_VALUE = bytes(range(256)) * 3_200
VALUE_OF_ANOTHER_CALL = b"short"
PAST_LINGER_S = 4 * connection_lifecycle.REJECTED_LINGER_S


def reply_by_number(words: list[bytes]) -> bytes | None:
    """Reply to the first request with a long value, and to others with a short one."""
    return encode_reply(LONG_VALUE if words[2].endswith(b"1") else VALUE_OF_ANOTHER_CALL)


async def connect_reader_of_long_value(gateway: GatewayNode) -> tuple[FakeClient, ClientConnection]:
    """Connect a client that still reads a long value, of which the gateway has written the last byte."""
    client, connection = await connect_slow_reader(gateway)
    client.send(encode_call(1))
    await wait_until(
        lambda: (
            connection.intake.request_count
            and not connection.pending_replies
            and connection.transport
            and not connection.transport.get_write_buffer_size()
        )
    )
    assert unacknowledged_bytes(connection.socket)
    return client, connection


# Guards against a planned restart that closes a connection whose client still reads: the client's next
# request met a closed socket, and the reset dropped the rest of the reply in the kernel.
async def test_shutdown_serves_a_client_that_still_reads_its_reply():
    async with run_gateway(FakeUpstream(reply_by_number)) as gateway:
        client, _ = await connect_reader_of_long_value(gateway)
        gateway.client_listener.stop_listening()
        await asyncio.sleep(PAST_LINGER_S)
        client.send(encode_call(2))
        await asyncio.sleep(PAST_LINGER_S)
        assert await client.read_reply() == LONG_VALUE
        assert await client.read_reply() == VALUE_OF_ANOTHER_CALL
        assert await client.read_reply() is None
        await wait_until(lambda: not gateway.client_listener.is_busy())


# Guards against the same reset at the end of a shutdown, when no more commands are taken.
async def test_end_of_shutdown_does_not_reset_a_client_that_still_reads_its_reply():
    async with run_gateway(FakeUpstream(reply_by_number)) as gateway:
        client, _ = await connect_reader_of_long_value(gateway)
        gateway.client_listener.finish()
        await asyncio.sleep(PAST_LINGER_S)
        client.send(encode_call(2))
        await asyncio.sleep(PAST_LINGER_S)
        assert gateway.client_listener.is_busy()
        assert await client.read_reply() == LONG_VALUE
        assert await client.read_reply() is None
        client.close()
        await wait_until(lambda: not gateway.client_listener.is_busy())


# Guards against an error line whose connection is reset while earlier replies are still being read.
async def test_rejected_client_receives_the_replies_before_the_error_line():
    async with run_gateway(FakeUpstream(reply_by_number)) as gateway:
        client, connection = await connect_reader_of_long_value(gateway)
        client.send(b"*1\r\n$-5\r\n")
        await wait_until(lambda: connection.is_closing)
        client.send(b"more that is never read")
        await asyncio.sleep(PAST_LINGER_S)
        assert await client.read_reply() == LONG_VALUE
        assert (await client.read_reply()).startswith("-ERR Protocol error")
        assert await client.read_reply() is None
        client.close()
        await wait_until(lambda: not gateway.client_listener.connections)


# Guards against a late command whose time-out resets the connection while earlier replies are being read.
async def test_client_with_a_late_command_receives_the_replies_before_the_error_line(monkeypatch):
    monkeypatch.setattr(idle_connections, "COMMAND_READ_TIMEOUT_S", 0.2)
    async with run_gateway(FakeUpstream(reply_by_number)) as gateway:
        client, connection = await connect_reader_of_long_value(gateway)
        client.send(encode_call(2)[:30])
        await wait_until(lambda: connection.is_closing)
        client.send(encode_call(2)[30:])
        await asyncio.sleep(PAST_LINGER_S)
        assert await client.read_reply() == LONG_VALUE
        assert await client.read_reply() == "-ERR timeout"
        assert await client.read_reply() is None


# Guards against a truncated value whose close resets the replies before it, as the next command is unread.
async def test_truncated_value_does_not_cut_off_the_reply_before_it():
    truncated = LONG_VALUE[:100_000]

    def reply(words: list[bytes]) -> bytes | None:
        return None if words[2].endswith(b"2") else reply_by_number(words)

    server = FakeUpstream(reply)
    async with run_gateway(server) as gateway:
        client, connection = await connect_reader_of_long_value(gateway)
        client.send(encode_call(2))
        await server.wait_until(lambda: len(server.commands) == 2)
        writer = server.writers[server.connection_numbers[1]]
        writer.write(b"*3\r\n$%d\r\n" % len(LONG_VALUE) + truncated)
        await wait_until(connection.replies.is_streaming)
        client.send(encode_call(3))
        await client.writer.drain()
        writer.close()
        await asyncio.sleep(PAST_LINGER_S)
        assert await client.read_reply() == LONG_VALUE
        assert await client.read_reply() is None
        client.close()
        await wait_until(lambda: not gateway.client_listener.connections)
        assert len(server.commands) == 2


# Guards against an eviction for capacity that resets a client that still reads its reply.
async def test_client_that_still_reads_its_reply_is_not_evicted(monkeypatch):
    monkeypatch.setattr(idle_connections, "IDLE_GRACE_S", 0.0)
    async with run_gateway(FakeUpstream(reply_by_number), max_connections=1) as gateway:
        client, _ = await connect_reader_of_long_value(gateway)
        next_client = await gateway.connect_client()
        next_client.send(encode_call(2))
        await asyncio.sleep(PAST_LINGER_S)
        client.send(encode_call(3))
        await asyncio.sleep(PAST_LINGER_S)
        assert await client.read_reply() == LONG_VALUE
        assert await client.read_reply() == VALUE_OF_ANOTHER_CALL
        assert await next_client.read_reply() == VALUE_OF_ANOTHER_CALL


# Guards against a handed over connection that the next process takes for one with nothing left to deliver.
async def test_next_process_does_not_evict_a_client_that_still_reads_its_reply():
    async with run_gateway(FakeUpstream(reply_by_number)) as gateway:
        client, connection = await connect_reader_of_long_value(gateway)
        released = connection.release()
        assert released
        await wait_until(lambda: not gateway.client_listener.connections)
        sock = connection.socket.__class__(fileno=released.descriptor)
        gateway.client_listener.serve(sock, released.resumed)
        await wait_until(lambda: gateway.client_listener.connections)
        (resumed,) = gateway.client_listener.connections
        assert not resumed.evict()
        assert await client.read_reply() == LONG_VALUE
        await wait_until(lambda: not unacknowledged_bytes(sock))
        assert resumed.evict()


# Guards against a client that never reads and so keeps its connection, or the process, for good.
@pytest.mark.parametrize("end", ["stop_listening", "finish"])
async def test_client_that_never_reads_does_not_hold_up_a_shutdown(end, monkeypatch):
    monkeypatch.setattr(reply_delivery, "DELIVERY_TIMEOUT_S", 0.5)
    async with run_gateway(FakeUpstream(reply_by_number)) as gateway:
        client, _ = await connect_reader_of_long_value(gateway)
        getattr(gateway.client_listener, end)()
        gateway.client_listener.finish()
        await wait_until(lambda: not gateway.client_listener.connections)
        metrics = gateway.driver.telemetry.metrics
        assert metrics.total(Metric.CLIENT_CLOSES_UNDELIVERED) == 1
        client.close()


# Guards against a client that never reads and is never evicted in favour of clients that wait.
async def test_client_that_never_reads_is_evicted_in_the_end(monkeypatch):
    monkeypatch.setattr(reply_delivery, "DELIVERY_TIMEOUT_S", 0.5)
    monkeypatch.setattr(idle_connections, "IDLE_GRACE_S", 0.0)
    async with run_gateway(FakeUpstream(reply_by_number), max_connections=1) as gateway:
        client, _ = await connect_reader_of_long_value(gateway)
        next_client = await gateway.connect_client()
        assert await next_client.request(encode_call(2)) == VALUE_OF_ANOTHER_CALL
        client.close()


# Guards against a client that has closed its sending side, reads nothing, and is waited for without a limit.
async def test_client_that_has_left_and_reads_nothing_is_closed(monkeypatch):
    monkeypatch.setattr(connection_lifecycle, "DELIVERY_TIMEOUT_S", 0.3)
    async with run_gateway(FakeUpstream(lambda _: encode_reply(8 * LONG_VALUE))) as gateway:
        client, connection = await connect_slow_reader(gateway)
        client.send(encode_call(1))
        await wait_until(lambda: connection.is_write_blocked)
        client.writer.write_eof()
        await wait_until(lambda: not gateway.client_listener.connections)


# Guards against a client that reads steadily and is taken for one that does not, as the kernel reports room
# for more only once a third of its buffer is free.
async def test_client_that_reads_steadily_is_not_taken_for_stalled(monkeypatch):
    monkeypatch.setattr(client_connection, "WRITE_STALL_TIMEOUT_S", 0.3)
    value = 12 * LONG_VALUE
    async with run_gateway(FakeUpstream(lambda _: encode_reply(value))) as gateway:
        client = await gateway.connect_client()
        client.reader._limit = 1  # The stream pauses its transport at once.
        client.send(encode_call(1))
        await wait_until(lambda: gateway.client_listener.connections)
        (connection,) = gateway.client_listener.connections
        await wait_until(lambda: connection.is_write_blocked)
        received = b""
        for _ in range(20):
            received += await client.reader.readexactly(2 * reply_delivery.MIN_READ_BYTES)
            await asyncio.sleep(0.08)
        rest = len(value) + len(b"$%d\r\n\r\n" % len(value)) - len(received)
        received += await client.reader.readexactly(rest)
        assert received == b"$%d\r\n" % len(value) + value + b"\r\n"


# Guards against a client that blocks writing, does not read, and keeps the connection and its buffers.
async def test_client_that_blocks_writing_and_does_not_read_is_closed(monkeypatch):
    monkeypatch.setattr(client_connection, "WRITE_STALL_TIMEOUT_S", 0.3)
    async with run_gateway(FakeUpstream(lambda _: encode_reply(8 * LONG_VALUE))) as gateway:
        client, connection = await connect_slow_reader(gateway)
        client.send(encode_call(1))
        await wait_until(lambda: connection.is_write_blocked)
        await wait_until(lambda: not gateway.client_listener.connections)
        assert gateway.client_listener.budget.buffered_bytes == 0
        client.close()


async def test_idle_connection_closes_at_once_when_the_gateway_stops():
    async with run_gateway(FakeUpstream(lambda _: CLOSE_CONNECTION)) as gateway:
        client = await gateway.connect_client()
        await wait_until(lambda: gateway.client_listener.connections)
        gateway.client_listener.stop_listening()
        async with asyncio.timeout(connection_lifecycle.REJECTED_LINGER_S):
            assert await client.read_reply() is None
            await wait_until(lambda: not gateway.client_listener.connections)
