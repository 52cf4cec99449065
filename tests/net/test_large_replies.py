"""Values that are passed on as they come: pieces, pressure both ways, what breaks within one."""

import asyncio

import pytest

from quota_gateway.errors import ProtocolError
from quota_gateway.net import upstream_pool as servers_module
from quota_gateway.net.resp import ReplyReader
from tests.support.fakes import FakeServer, array, call, node, run, until

LARGE = bytes(range(256)) * 16_384  # 4 MiB
HEAD = b"*3\r\n$%d\r\n" % len(LARGE)
TAIL = b"\r\n$6\r\nused=1\r\n$-1\r\n"


def in_pieces(answer: bytes, size: int) -> tuple[bytes, list]:
    """What a reader of answers makes of bytes that come in pieces: the large value, and all answers."""
    reader, value, answers = ReplyReader(), b"", []
    for at in range(0, len(answer), size):
        reader.feed(answer[at : at + size])
        got = reader.answer()
        if got is None and reader.left is not None:
            value += reader.piece()
            got = reader.answer()
        if got is not None:
            answers.append(got)
        assert len(reader.buffer) <= size + 64
    return value, answers


@pytest.mark.parametrize("size", [1, 7, 65_536, 10_000_000])
def test_reader_gathers_short_values_and_gives_large_ones_piece_by_piece(size):
    large = LARGE[:70_000]
    value, answers = in_pieces(b"*3\r\n$70000\r\n" + large + TAIL + array(b"short") * 2, size)
    assert value == large
    first, *rest = answers
    assert first == [b"", b"used=1", None]
    if size < 30:
        assert rest == [[b"short", None, None]] * 2


def test_reader_refuses_a_large_value_that_is_longer_than_it_says():
    with pytest.raises(ProtocolError):
        in_pieces(b"*3\r\n$70000\r\n" + LARGE[:70_001] + TAIL, 1000)


def test_large_value_reaches_the_client_as_it_comes_and_the_connection_serves_on():
    async def test():
        server = FakeServer(lambda words: None if words[2].endswith(b"1") else array(words[2]))
        async with node(server) as gateway:
            peer = await gateway.peer()
            peer.send(call(1))
            await server.until(lambda: server.commands)
            server.writers[0].write(HEAD + LARGE[:10])
            head = b"$%d\r\n" % len(LARGE)
            assert await peer.reader.readexactly(len(head) + 10) == head + LARGE[:10]
            server.writers[0].write(LARGE[10:] + TAIL)
            assert await peer.reader.readexactly(len(LARGE) - 8) == LARGE[10:] + b"\r\n"
            assert await peer.ask(call(2)) == b"0000000000000002"
            await until(lambda: not gateway.driver.active_requests)
            assert gateway.client_listener.held == gateway.upstream_pool.held == 0

    run(test())


def test_value_is_read_ahead_of_a_slow_client_and_frees_its_place():
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            peer = await gateway.peer()
            peer.writer.transport.pause_reading()
            peer.send(call(1))
            await server.until(lambda: server.commands)
            server.writers[0].write(b"*3\r\n$%d\r\n" % (2 * len(LARGE)) + LARGE + LARGE + TAIL)
            await until(lambda: not gateway.driver.active_requests)
            assert gateway.client_listener.held > 100_000
            peer.writer.transport.resume_reading()
            assert await peer.reply() == LARGE + LARGE
            await until(lambda: not gateway.client_listener.held)

    run(test())


def test_client_that_is_slower_than_its_server_holds_it_up_where_memory_is_short():
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            gateway.client_listener.max_buffered_bytes = 200_000
            peer = await gateway.peer()
            peer.writer.transport.pause_reading()
            many = 4 * LARGE
            peer.send(call(1))
            await server.until(lambda: server.commands)
            server.writers[0].write(b"*3\r\n$%d\r\n" % (len(many) // 2) + many[: len(many) // 2] + TAIL)
            (connection,) = gateway.upstream_pool.connections
            await until(lambda: connection.paused)
            assert gateway.client_listener.held < 300_000 and gateway.upstream_pool.held < 100_000
            peer.writer.transport.resume_reading()
            assert await peer.reply() == many[: len(many) // 2]

    run(test())


def test_large_value_behind_another_reply_waits_for_its_turn():
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            gateway.client_listener.max_buffered_bytes = 200_000
            peer = await gateway.peer()
            peer.send(call(1), call(2))
            await server.until(lambda: len(server.commands) == 2)
            first, second = (
                server.writers[server.by[server.commands.index(words)]]
                for words in sorted(server.commands, key=lambda words: words[2])
            )
            second.write(HEAD + LARGE + TAIL)
            await until(lambda: any(connection.paused for connection in gateway.upstream_pool.connections))
            assert gateway.client_listener.held < 300_000
            first.write(array(b"first"))
            assert await peer.reply() == b"first"
            assert await peer.reply() == LARGE

    run(test())


@pytest.mark.parametrize("rest", [None, LARGE[10:] + b"xx$-1\r\n$-1\r\n", LARGE[10:] + b"\r\n$9999\r\n"])
def test_value_that_breaks_is_cut_so_that_the_client_can_tell(rest):
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            peer = await gateway.peer()
            peer.send(call(1))
            await server.until(lambda: server.commands)
            server.writers[0].write(HEAD + LARGE[:10])
            await until(lambda: any(call.value for call in gateway.driver.active_requests.values()))
            server.writers[0].write(rest) if rest else server.writers[0].close()
            assert await peer.reply() is None
            await until(
                lambda: not gateway.driver.active_requests and not gateway.client_listener.connections
            )
            assert gateway.client_listener.held == gateway.upstream_pool.held == 0

    run(test())


def test_value_that_breaks_before_its_turn_harms_none_before_it():
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            peer = await gateway.peer()
            peer.send(call(1), call(2))
            await server.until(lambda: len(server.commands) == 2)
            first, second = (
                server.writers[server.by[server.commands.index(words)]]
                for words in sorted(server.commands, key=lambda words: words[2])
            )
            second.write(HEAD + LARGE[:10])
            await until(lambda: any(call.value for call in gateway.driver.active_requests.values()))
            second.close()
            first.write(array(b"first"))
            assert [await peer.reply(), await peer.reply()] == [b"first", None]

    run(test())


def test_server_that_stalls_within_a_value_is_given_up(monkeypatch):
    monkeypatch.setattr(servers_module, "STALLED_S", 0.2)
    monkeypatch.setattr(servers_module, "SWEEP_S", 0.05)

    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            peer = await gateway.peer()
            peer.send(call(1))
            await server.until(lambda: server.commands)
            server.writers[0].write(HEAD + LARGE[:10])
            assert await peer.reply() is None
            await server.until(lambda: server.ended)

    run(test())


def test_value_that_has_begun_outlasts_the_clients_wait():
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            peer = await gateway.peer()
            peer.send(call(1, wait=300))
            await server.until(lambda: server.commands)
            server.writers[0].write(HEAD + LARGE[:10])
            await asyncio.sleep(0.5)
            server.writers[0].write(LARGE[10:] + TAIL)
            assert await peer.reply() == LARGE

    run(test())


def test_client_that_leaves_within_a_value_ends_the_attempt():
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            peer = await gateway.peer()
            peer.send(call(1))
            await server.until(lambda: server.commands)
            server.writers[0].write(HEAD + LARGE[:10])
            await until(lambda: any(call.value for call in gateway.driver.active_requests.values()))
            peer.writer.transport.abort()
            await server.until(lambda: server.ended)
            await until(lambda: not gateway.driver.active_requests)

    run(test())


def test_of_two_copies_the_one_whose_large_value_begins_is_the_answer():
    async def test():
        server, other = FakeServer(lambda words: None), FakeServer(lambda words: None)
        async with node(server, other) as gateway:
            peer = await gateway.peer()
            peer.send(call(1))
            await until(lambda: gateway.driver.active_requests)
            (held,) = gateway.driver.active_requests.values()
            (first,) = held.out.values()
            flight = gateway.driver.engine.requests[held.request_id]
            at = next(number for number in (1, 2) if number not in flight.tried_endpoints)
            gateway.driver.engine.actions = []
            gateway.driver.engine._start(flight, gateway.driver.engine.endpoints.by_id[at])
            for action in gateway.driver.engine.actions:
                gateway.driver._perform(action)
            for fake in (server, other):
                await fake.until(lambda fake=fake: fake.commands)
            fakes = {1: server, 2: other}
            quick = fakes.pop(at)
            (slow,) = fakes.values()
            quick.writers[0].write(HEAD + LARGE + TAIL)
            assert await peer.reply() == LARGE
            await slow.until(lambda: slow.ended)
            assert first.done is None

    run(test())
