"""Events and actions: their order, one outcome for each send, timers, time."""

import asyncio
import gc
import socket
import time
import weakref

import pytest

from quota_gateway import (
    AttemptStatus,
    CancelAttempt,
    ClientDisconnected,
    Endpoint,
    Fail,
    LogMessage,
    Outcome,
    Reject,
    Request,
    SetTimer,
    StartAttempt,
    TimerFired,
    UpdateKind,
)
from quota_gateway.net.driver import ActiveRequest, Clock, Driver
from quota_gateway.net.upstream_pool import Attempt, UpstreamConnection
from tests.support.fakes import FakeServer, array, call, node, run, until


class Script:
    """Decisions by heart: answers each event with what the test says, and keeps the events."""

    def __init__(self, **answers) -> None:
        self.answers, self.events, self.times, self.depth = answers, [], [], 0

    def handle(self, now_ms, event):
        assert self.depth == 0, "events came one inside the other"
        self.events.append(event)
        self.times.append(now_ms)
        self.depth += 1
        actions = self.answers.get(type(event).__name__, lambda _: [])(event)
        self.depth -= 1
        return actions

    def outcomes(self):
        return [(e.attempt, e.status, e.closed) for e in self.events if isinstance(e, Outcome)]


def scripted(gateway, script, wait_ms=60_000.0):
    """Put a request before a script; the answers its client gets."""
    gateway.driver.engine, answers = script, []
    made = ActiveRequest("r", lambda wait: b"*1\r\n$4\r\nWAIT\r\n", answers.append)
    gateway.driver.submit(made, Request("r", "read", "free", "c", wait_ms), wait_ms)
    return answers


def test_outcome_known_at_once_is_queued_behind_the_actions_before_it():
    async def test():
        async with node() as gateway:
            sends = []
            script = Script(
                Request=lambda e: [StartAttempt("r", 9), StartAttempt("r", 9), LogMessage("after both")],
                Outcome=lambda e: (
                    sends.append(gateway.driver.active_requests["r"].sends)
                    or ([Reject("r")] if e.attempt == 1 else [])
                ),
            )
            answers = scripted(gateway, script)
            assert sends == [2, 2]
            assert script.outcomes() == [
                (0, AttemptStatus.CONNECT_FAILED, False),
                (1, AttemptStatus.CONNECT_FAILED, False),
            ]
            assert answers == [b"-BUSY\r\n"] and not gateway.driver.active_requests

    run(test())


def test_only_the_first_final_answer_goes_out_and_advice_is_in_whole_milliseconds():
    async def test():
        async with node() as gateway:
            script = Script(
                Request=lambda e: [Reject("r", 249.6), Fail("r"), Reject("r"), StartAttempt("r", 1)]
            )
            assert scripted(gateway, script) == [b"-BUSY 250\r\n"]
            assert script.outcomes() == [] and not gateway.driver.active_requests

    run(test())


def test_send_after_the_answer_is_not_sent_and_still_has_its_outcome():
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            script = Script(
                Request=lambda e: [
                    StartAttempt("r", 1),
                    Fail("r"),
                    Reject("r"),
                    StartAttempt("r", 1),
                    CancelAttempt("r", 0),
                ]
            )
            assert scripted(gateway, script) == [b"-ERR failed\r\n"]
            assert sorted(script.outcomes(), key=lambda outcome: outcome[0]) == [
                (0, AttemptStatus.CONNECT_FAILED, True),
                (1, AttemptStatus.NOT_SENT, True),
            ]
            assert not server.commands and not gateway.driver.active_requests

    run(test())


def test_cancelled_attempt_is_closed_before_the_next_goes_out():
    async def test():
        server, other = FakeServer(lambda words: None), FakeServer(lambda words: None)
        async with node(server, other) as gateway:
            script = Script(
                Request=lambda e: [StartAttempt("r", 1)],
                Outcome=lambda e: [StartAttempt("r", 2)] if e.attempt == 0 else [],
            )
            scripted(gateway, script)
            await server.until(lambda: len(server.commands) == 1)
            gateway.driver._perform(CancelAttempt("r", 0))
            gateway.driver._perform(CancelAttempt("r", 0))
            await server.until(lambda: server.ended == 1)
            await other.until(lambda: len(other.commands) == 1)
            assert script.outcomes() == [(0, AttemptStatus.CANCELLED, False)]

    run(test())


@pytest.mark.parametrize("end", ["answered by another", "refused", "left"])
def test_connection_that_comes_up_after_the_end_brings_nothing_to_the_server(end, monkeypatch):
    async def test():
        quick, late = FakeServer(lambda words: None), FakeServer()
        async with node(quick, late) as gateway:
            script = Script(
                Request=lambda e: [StartAttempt("r", 1), StartAttempt("r", 2)],
                TimerFired=lambda e: [Reject("r")],
            )
            answers = scripted(gateway, script)
            await quick.until(lambda: len(quick.commands) == 1)  # the second is gated from here on
            assert answers == [] and script.outcomes() == []
            if end == "answered by another":
                quick.writers[0].write(array(b"v"))
                await until(lambda: bool(answers))
            elif end == "refused":
                gateway.driver.post(TimerFired(1))
            else:
                gateway.driver.client_disconnected("r")
            up.set()
            await until(lambda: any(e[:2] == (1, AttemptStatus.NOT_SENT) for e in script.outcomes()))
            told = asyncio.Event()
            gateway.upstream_pool.start(2, Attempt(b"*1\r\n$4\r\nLAST\r\n", lambda reply: told.set()))
            await told.wait()
            assert [words[0] for words in late.commands] == [b"LAST"]
            if end == "answered by another":
                assert [status for _, status, _ in script.outcomes()] == [
                    AttemptStatus.OK,
                    AttemptStatus.NOT_SENT,
                ]
                assert not gateway.driver.active_requests

    up, plain = asyncio.Event(), UpstreamConnection.open

    async def open_late(self):
        if self.host.address[1] != first_port(self):
            await up.wait()
        await plain(self)

    def first_port(connection):
        return connection.servers.hosts[1].address[1]

    monkeypatch.setattr(UpstreamConnection, "open", open_late)
    run(test())


def test_command_that_is_half_written_at_the_end_is_not_written_on():
    async def test():
        async with node() as gateway:
            with socket.create_server(("127.0.0.1", 0)) as listener:
                listener.setblocking(False)
                gateway.told((Endpoint(1, "a"), listener.getsockname()))
                script, whole = Script(Request=lambda e: [StartAttempt("r", 1)]), 32_000_000
                gateway.driver.engine = script
                gateway.driver.submit(
                    ActiveRequest("r", lambda wait: b"x" * whole, lambda answer: None),
                    Request("r", "read", "free", "c", 60_000.0),
                    60_000.0,
                )
                loop = asyncio.get_running_loop()
                accepted, _ = await loop.sock_accept(listener)
                got = len(await loop.sock_recv(accepted, 1))  # the rest waits for this reader
                gateway.driver.client_disconnected("r")
                assert script.outcomes() == [(0, AttemptStatus.NOT_SENT, True)]
                while piece := await received(loop, accepted):
                    got += len(piece)
                assert 0 < got < whole
                accepted.close()

    run(test())


async def received(loop, sock):
    """The next bytes, or none once the connection has ended in whatever way."""
    try:
        return await loop.sock_recv(sock, 1 << 20)
    except OSError:
        return b""


def test_attempt_times_out_after_its_time_and_its_connection_is_closed():
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            script = Script(Request=lambda e: [StartAttempt("r", 1, 200.0)], Outcome=lambda e: [Fail("r")])
            answers = scripted(gateway, script)
            await server.until(lambda: server.ended == 1)
            assert script.outcomes() == [(0, AttemptStatus.TIMEOUT, False)] and answers == [
                b"-ERR failed\r\n"
            ]

    run(test())


def test_client_that_left_is_told_once_and_its_late_answer_goes_nowhere():
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            script = Script(Request=lambda e: [StartAttempt("r", 1)])
            answers = scripted(gateway, script)
            await server.until(lambda: len(server.commands) == 1)
            gateway.driver.client_disconnected("r")
            gateway.driver.client_disconnected("r")
            server.writers[0].write(array(b"late"))
            await until(lambda: bool(script.outcomes()))
            assert script.outcomes() == [(0, AttemptStatus.OK, True)] and answers == []
            assert [e for e in script.events if isinstance(e, ClientDisconnected)] == [
                ClientDisconnected("r")
            ]
            assert not gateway.driver.active_requests

    run(test())


def test_timers_fire_once_in_order_of_their_time_and_time_never_goes_back():
    async def test():
        async with node() as gateway:
            script = Script(Request=lambda e: [SetTimer(3, 30.0), SetTimer(1, 10.0), SetTimer(2, 10.0)])
            scripted(gateway, script)
            await until(lambda: len(script.events) == 4)
            assert script.events[1:] == [TimerFired(1), TimerFired(2), TimerFired(3)]
            assert script.times == sorted(script.times)
            assert script.times[3] - script.times[0] >= 30.0
            assert not gateway.driver.timers

    run(test())


def test_timer_between_two_milliseconds_does_not_spin_until_it_is_due(monkeypatch):
    fired = []
    plain = Driver._fire
    monkeypatch.setattr(Driver, "_fire", lambda self: fired.append(1) or plain(self))

    async def test():
        async with node() as gateway:
            driver, due = gateway.driver, asyncio.Event()
            for number in range(20):
                due.clear()
                driver._at(driver.clock() + 5.0 + number / 20.0, lambda _: due.set(), None)
                await due.wait()
            assert 20 <= len(fired) <= 100

    run(test())


def test_clock_is_unix_time_and_not_moved_by_a_clock_that_is_set(monkeypatch):
    clock = Clock()
    assert abs(clock() - time.time() * 1000.0) < 60_000.0
    before = clock()
    monkeypatch.setattr(time, "time", lambda: 0.0)
    assert clock() >= before


def test_decisions_that_fail_on_one_request_leave_the_others_alone():
    async def test():
        def failing(event):
            raise RuntimeError("no decision")

        async with node(FakeServer()) as gateway:
            good = gateway.driver.engine
            assert scripted(gateway, Script(Request=failing)) == [b"-ERR failed\r\n"]
            gateway.driver.engine = good
            assert await (await gateway.peer()).ask(call(1)) == b"0000000000000001"

    run(test())


def test_restarted_server_is_cold_by_the_clock_that_discovery_uses():
    async def test():
        server = FakeServer()
        async with node() as gateway:
            await server.start()
            _, address = server.entry(1)
            started = gateway.driver.clock() - 5_000.0  # half of the warm-up
            gateway.told((Endpoint(1, "a", started_ms=started), address), kind=UpdateKind.SNAPSHOT)
            (known,) = gateway.driver.engine.endpoints.by_id.values()
            assert 0.59 < gateway.driver.engine.slow_start.capacity_share(known) < 1.0
            await asyncio.sleep(0)

    run(test())


def test_attempt_that_is_done_lets_its_command_go_though_its_timer_is_not_due():
    async def test():
        async with node(FakeServer()) as gateway:
            peer = await gateway.peer()
            assert await peer.ask(call(1, "buy", body=b"x" * 60_000)) == b"0000000000000001"
            kept = [argument for *_, argument in gateway.driver.timers if isinstance(argument, Attempt)]
            assert len(kept) == 1 and kept[0].payload == b"" and not gateway.driver.active_requests

    run(test())


@pytest.mark.parametrize("how", ["end", "reset"])
def test_client_that_leaves_while_its_server_is_connected_to_says_nothing_against_the_server(
    how, monkeypatch
):
    async def never(self):
        await asyncio.Event().wait()

    async def test():
        server = FakeServer()
        async with node(server) as gateway:
            monkeypatch.setattr(UpstreamConnection, "open", never)
            peer = await gateway.peer()
            peer.send(call(1))
            await until(lambda: any(held.out for held in gateway.driver.active_requests.values()))
            (peer.writer.close if how == "end" else peer.writer.transport.abort)()
            await until(lambda: not gateway.driver.active_requests)
            decisions = gateway.driver.engine
            assert (
                decisions.endpoints.by_id[1].failures == {} == decisions.failures.totals
                and not decisions.requests
            )
            assert not gateway.upstream_pool.connections and not server.commands

    run(test())


def test_request_that_is_over_is_let_go_whole_though_the_timer_of_its_attempt_is_not_due():
    async def test():
        async with node(FakeServer()) as gateway:
            peer = await gateway.peer()
            peer.send(call(1, "buy", body=b"x" * 60_000))
            await until(lambda: bool(gateway.driver.active_requests))
            encode = weakref.ref(
                next(iter(gateway.driver.active_requests.values())).encode
            )  # it has the command
            assert await peer.reply() == b"0000000000000001" and not gateway.driver.active_requests
            assert any(isinstance(argument, Attempt) for *_, argument in gateway.driver.timers)
            gc.collect()
            assert encode() is None

    run(test())
