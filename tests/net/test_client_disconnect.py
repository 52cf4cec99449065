"""A client that has closed or reset its connection is gone: no attempt, first or further, begins any more.

In each case here its end is in the kernel and the loop has had no turn since, as where it is busy or reads
nothing of the connection, when an attempt falls due.
"""

import asyncio
import select
import socket
import struct

import hiredis
import pytest

from quota_gateway import Endpoint, GatewayLimits, Idempotency, Plan, RequestClass, TimerFired
from quota_gateway.net import client_listener as clients_module
from quota_gateway.net import upstream_pool as servers_module
from quota_gateway.net.upstream_pool import Attempt, UpstreamConnection
from tests.support.fakes import FakeServer, Peer, array, call, node, run, until

CLASSES = (
    RequestClass("read", 200_000.0, 600_000.0, Idempotency.IDEMPOTENT),  # nothing falls due by itself
    RequestClass("buy", 200_000.0, 600_000.0, Idempotency.NON_IDEMPOTENT),
)
PLANS = (Plan("free"), Plan("held", rate=0.2, burst=2.0), Plan("two", max_in_flight=2))  # one of two here
LIMITS = GatewayLimits(max_attempts=3, may_duplicate=True, can_cancel=True, connect_timeout_ms=2000.0)
LIMIT_MS = 10_000  # generous: what a loopback end takes to arrive
FIRST, SECOND = 1, 2  # requests of the client that leaves
OTHER, LAST = 50, 99  # of another client
LONG = range(100, 108)  # with a long answer


def ask(number: int, plan: str = "free", **more) -> bytes:
    return call(number, plan=plan, wait=600_000, **more)


def name(number: int) -> bytes:
    return b"%016x" % number


class Leaver:
    """A client that leaves by an orderly end or by a reset, its connection at the gateway, the servers."""

    def __init__(self, how: str, *servers: FakeServer) -> None:
        self.how, self.servers = how, servers
        self.others: list[Peer] = []  # clients that stay

    async def open(self, gateway) -> "Leaver":
        address = gateway.client_listener.listening_socket.getsockname()
        known = set(gateway.client_listener.connections)
        self.socket = socket.create_connection(address)
        await until(lambda: len(gateway.client_listener.connections) > len(known))
        (self.client,) = set(gateway.client_listener.connections) - known
        return self

    def go(self) -> None:
        """Leave; on return the end has come to the gateway's kernel, and its loop has had no turn."""
        if self.how == "reset":
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.socket.close()
        else:
            self.socket.shutdown(socket.SHUT_WR)
        arrived = select.poll()
        arrived.register(self.client.socket.fileno(), select.POLLRDHUP)
        assert arrived.poll(LIMIT_MS)

    def began(self, *numbers: int) -> list[bytes]:
        """The attempts that have come to servers whole, of these requests or of all that are its own."""
        came = [words[2] for server in self.servers for words in server.commands]
        wanted = [name(number) for number in numbers or (FIRST, SECOND, *range(10, 30))]
        return sorted(number for number in came if number in wanted)


def fire(gateway, which: str) -> None:
    """Let a timer of the decisions fall due."""
    (token,) = [
        token for token, (call, _) in gateway.driver.engine.timers.armed.items() if call.__name__ == which
    ]
    gateway.driver.post(TimerFired(token))


def out(gateway, number: int) -> list[UpstreamConnection]:
    """The connections that a request is out on."""
    held = gateway.driver.active_requests[name(number).decode()]
    return [attempt.connection for attempt in held.out.values()]


def answer(connection: UpstreamConnection, reply: bytes) -> None:
    """A server's answer, which the loop reads before it comes to the client."""
    connection.data_received(reply)


async def sent(gateway, leaver: Leaver, number: int) -> None:
    """A request is in hand, and each of its attempts has come to its server."""
    await until(lambda: len(leaver.began(number)) > 0)
    await until(lambda: len(leaver.began(number)) == len(out(gateway, number)))


async def other(gateway, leaver: Leaver, plan: str) -> None:
    """Another client has a request out."""
    leaver.others.append(await gateway.peer())
    leaver.others[-1].send(ask(OTHER, plan))
    await sent(gateway, leaver, OTHER)


async def waiting(gateway, number: int) -> None:
    await until(lambda: name(number).decode() in gateway.driver.active_requests)
    assert not out(gateway, number)


# Each case: what happens before the client leaves, and what makes an attempt fall due once it has.


async def held(gateway, leaver):
    peer = await gateway.peer()
    assert await peer.ask(ask(OTHER + 1, "held")) == name(OTHER + 1)
    leaver.socket.sendall(ask(FIRST, "held"))
    await waiting(gateway, FIRST)
    return lambda: fire(gateway, "_on_delay_over")


async def parked_under_a_cap(gateway, leaver, plan="two"):
    await other(gateway, leaver, plan)
    leaver.socket.sendall(ask(FIRST, plan=plan))
    await waiting(gateway, FIRST)
    return lambda: answer(*out(gateway, OTHER), array(b"v"))


async def parked_for_the_pool(gateway, leaver):
    gateway.driver.engine.concurrency.limit = 1.0
    return await parked_under_a_cap(gateway, leaver, "free")


async def failed(gateway, leaver):
    leaver.socket.sendall(ask(FIRST))
    await sent(gateway, leaver, FIRST)
    return lambda: answer(*out(gateway, FIRST), b"-ERR\r\n")


async def timed_out(gateway, leaver):
    leaver.socket.sendall(ask(FIRST))
    await sent(gateway, leaver, FIRST)
    (attempt,) = gateway.driver.active_requests[name(FIRST).decode()].out.values()
    return lambda: gateway.driver._time_out(attempt)


async def slow(gateway, leaver):
    leaver.socket.sendall(ask(FIRST))
    await sent(gateway, leaver, FIRST)
    return lambda: fire(gateway, "_on_slow")


async def slow_and_not_read(gateway, leaver):
    due = await slow(gateway, leaver)
    leaver.client.pause_writing()  # as the loop does where answers are not taken
    return due


async def hedged(gateway, leaver):
    leaver.socket.sendall(ask(FIRST))
    await sent(gateway, leaver, FIRST)
    fire(gateway, "_on_slow")
    await sent(gateway, leaver, FIRST)
    first, second = out(gateway, FIRST)  # a third server is left
    return lambda: (answer(first, b"-ERR\r\n"), answer(second, b"-ERR\r\n"))


async def pipelined(gateway, leaver):
    leaver.socket.sendall(ask(FIRST, "two") + ask(SECOND, "two"))
    await sent(gateway, leaver, FIRST)
    await waiting(gateway, SECOND)
    return lambda: answer(*out(gateway, FIRST), array(b"v"))


async def answers_not_taken(gateway, leaver):
    leaver.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    leaver.client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    await other(gateway, leaver, "two")
    leaver.socket.sendall(b"".join(ask(number) for number in LONG) + ask(FIRST, "two"))
    await until(lambda: leaver.client.stuck and leaver.client.paused)
    await waiting(gateway, FIRST)
    return lambda: answer(*out(gateway, OTHER), array(b"v"))


async def not_read_yet(gateway, leaver):
    leaver.socket.sendall(ask(FIRST))
    return lambda: None  # the loop comes to the command first, then to the end


async def reset_not_told_yet(gateway, leaver):
    due = await parked_under_a_cap(gateway, leaver)
    return lambda: (leaver.client.transport.abort(), due())  # as the loop does once reading has failed


CASES = [
    held,
    parked_under_a_cap,
    parked_for_the_pool,
    failed,
    timed_out,
    slow,
    slow_and_not_read,
    hedged,
    pipelined,
    answers_not_taken,
    not_read_yet,
    reset_not_told_yet,
]


async def warm(gateway, servers: int) -> None:
    """Leave an idle connection at each server: what falls due goes out at once."""
    for number in range(1, servers + 1):
        done = []
        gateway.upstream_pool.start(number, Attempt(ask(LAST), done.append))
        await until(lambda done=done: bool(done))


async def nothing_more(gateway, leaver: Leaver, before: list[bytes]) -> None:
    """Once another client's request has been served, nothing of who left has come, and nothing is kept."""
    decisions = gateway.driver.engine
    decisions.concurrency.limit = 100.0
    assert await (await gateway.peer()).ask(ask(LAST)) == name(LAST)
    assert leaver.began() == before
    await until(lambda: not gateway.driver.active_requests)
    assert not decisions.requests and not decisions.queue.requests and not decisions.concurrency.in_flight
    assert not any(server.in_flight for server in decisions.endpoints.by_id.values())
    assert not any(customer.in_flight for customer in decisions.customers.values())


@pytest.mark.parametrize("how", ["end", "reset"])
@pytest.mark.parametrize("case", CASES)
def test_attempt_that_falls_due_once_its_client_has_left_does_not_begin(case, how, monkeypatch):
    monkeypatch.setattr(servers_module, "REST_S", 0.0)
    monkeypatch.setattr(clients_module, "SWEEP_S", 3600.0)
    monkeypatch.setattr(clients_module, "STALLED_S", 3600.0)
    silent = set()

    def reply(words):
        long = b"v" * 60_000 if int(words[2], 16) in LONG else words[2]
        return None if words[2] in silent else array(long)

    async def test():
        servers = [FakeServer(reply) for _ in range(3)]
        async with node(*servers, classes=CLASSES, plans=PLANS, limits=LIMITS) as gateway:
            await warm(gateway, len(servers))
            silent.update(map(name, (FIRST, SECOND, OTHER)))
            leaver = await Leaver(how, *servers).open(gateway)
            due = await case(gateway, leaver)
            before = leaver.began()
            leaver.go()
            due()
            await nothing_more(gateway, leaver, before)

    run(test())


@pytest.mark.parametrize("how", ["end", "reset"])
def test_connection_that_comes_up_once_the_client_has_left_brings_nothing_to_the_server(how, monkeypatch):
    made, leavers = UpstreamConnection.connection_made, []

    def leave_first(self, transport):
        while leavers:
            leavers.pop().go()
        made(self, transport)

    async def test():
        server = FakeServer()
        async with node(server, classes=CLASSES, plans=PLANS) as gateway:
            leaver = await Leaver(how, server).open(gateway)
            leaver.socket.sendall(ask(FIRST))
            leavers.append(leaver)
            await until(lambda: not leavers)
            await nothing_more(gateway, leaver, [])

    monkeypatch.setattr(UpstreamConnection, "connection_made", leave_first)
    run(test())


@pytest.mark.parametrize("how", ["end", "reset"])
def test_of_a_client_that_left_while_it_was_not_read_nothing_is_sent_on_before_that_is_noticed(
    how, monkeypatch
):
    monkeypatch.setattr(clients_module, "SWEEP_S", 3600.0)
    monkeypatch.setattr(clients_module, "MOST_PIPELINED", 8)

    async def test():
        server = FakeServer()
        async with node(classes=CLASSES, plans=PLANS) as gateway:
            await server.start()
            leaver = await Leaver(how, server).open(gateway)
            leaver.socket.sendall(b"".join(map(ask, range(10, 22))))
            await until(lambda: leaver.client.paused)
            leaver.go()
            gateway.told(server.entry(1))
            await nothing_more(gateway, leaver, [])
            assert leaver.client.asked == 8  # and nothing is read on

    run(test())


async def half_written(gateway, listener, leaver) -> socket.socket:
    """A client has sent a command that its server takes only in part; the server's end of the connection."""
    loop = asyncio.get_running_loop()
    listener.setblocking(False)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    gateway.told((Endpoint(1, "a"), listener.getsockname()))
    await leaver.open(gateway)
    leaver.socket.setblocking(False)
    await loop.sock_sendall(leaver.socket, ask(FIRST, kind="buy", body=b"x" * 4_000_000))
    accepted, _ = await loop.sock_accept(listener)
    await until(lambda: leaver.client.paused and bool(gateway.driver.active_requests))
    (connection,) = out(gateway, FIRST)
    await until(lambda: connection.transport and connection.transport.get_write_buffer_size() > 0)
    return accepted


@pytest.mark.parametrize("how", ["end", "reset"])
def test_last_byte_of_a_command_that_its_server_is_slow_to_take_is_not_written_once_the_client_has_left(
    how, monkeypatch
):
    monkeypatch.setattr(clients_module, "SWEEP_S", 3600.0)

    async def test():
        async with node(classes=CLASSES, plans=PLANS) as gateway:
            with socket.create_server(("127.0.0.1", 0)) as listener:
                leaver, reader = Leaver(how), hiredis.Reader()
                accepted = await half_written(gateway, listener, leaver)
                leaver.go()
                command = False
                while command is False and (data := await received(accepted)):
                    reader.feed(data)
                    command = reader.gets()
                assert command is False
                await until(lambda: not gateway.driver.active_requests)
                accepted.close()

    run(test())


def test_connection_on_which_an_answer_came_before_the_command_was_written_whole_is_not_used_again():
    async def test():
        async with node(classes=CLASSES, plans=PLANS) as gateway:
            with socket.create_server(("127.0.0.1", 0)) as listener:
                leaver = Leaver("end")
                accepted = await half_written(gateway, listener, leaver)
                accepted.send(b"-ERR\r\n")
                await until(lambda: not gateway.driver.active_requests)
                assert not gateway.upstream_pool.hosts[1].idle and not gateway.upstream_pool.connections
                accepted.close()

    run(test())


async def received(sock: socket.socket) -> bytes:
    """The next bytes, or none once the connection has ended in whatever way."""
    try:
        return await asyncio.get_running_loop().sock_recv(sock, 1 << 20)
    except OSError:
        return b""
