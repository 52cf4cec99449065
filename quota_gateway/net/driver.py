"""Between the sockets and the decisions: events in, actions out, timers, one outcome for each send."""

from __future__ import annotations

import asyncio
import heapq
import logging
import time
from collections import deque
from collections.abc import Callable
from itertools import count
from math import ceil, inf
from typing import Any, Protocol

from quota_gateway import model as api
from quota_gateway.net.peer_processes import UsageListener
from quota_gateway.net.upstream_pool import Attempt, BodyConsumer, UpstreamPool, UpstreamReply
from quota_gateway.policy.engine import PolicyEngine

log = logging.getLogger(__name__)

CLIENT_MARGIN_MS = 10.0  # kept of a client's wait: the way here and back, and a loop that is late


class Clock:
    """Unix time in milliseconds that never goes back.

    Guards against a system clock that is set while the gateway runs: read once, then counted on.
    """

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def __call__(self) -> float:
        return (time.monotonic() + self._offset) * 1000.0


class BodyWriter(Protocol):
    """Where a large value goes, at a client."""

    def take(self, piece: bytes) -> None:
        """The next bytes."""

    def end(self, whole: bool) -> None:
        """All has come, or no more will."""


class ActiveRequest:
    """A client's request in hand, until it has been answered and no attempt is out."""

    __slots__ = (
        "answered",
        "deadline",
        "encode",
        "gone",
        "on_answer",
        "on_value",
        "out",
        "request_id",
        "sends",
        "value",
        "waits",
    )

    def __init__(
        self,
        request_id: str,
        encode: Callable[[float], bytes],
        on_answer: Callable[[bytes], None],
        on_value: Callable[[int, Attempt], BodyWriter] | None = None,
        waits: Callable[[], bool] = lambda: True,
    ) -> None:
        self.request_id, self.encode, self.on_answer, self.on_value = request_id, encode, on_answer, on_value
        self.waits = waits  # whether the client is still there
        self.value: BodyWriter | None = None  # once a large one has begun
        self.deadline, self.sends, self.answered = 0.0, 0, False
        self.gone = False  # the client has left
        self.out: dict[int, Attempt] = {}


class Driver:
    """Drives one ``PolicyEngine``: hands it events one after the other and carries out what it decides."""

    def __init__(
        self,
        engine: PolicyEngine,
        upstream: UpstreamPool,
        clock: Callable[[], float],
        notify_peer: UsageListener,
    ) -> None:
        self.engine = engine
        self.upstream = upstream
        self.clock = clock
        self.active_requests: dict[str, ActiveRequest] = {}
        self.events: deque[api.Event] = deque()
        self.over: list[ActiveRequest] = []  # calls that may be over once the actions of this event are done
        self.handling = False
        self.timers: list[tuple[float, int, Callable[[Any], None], Any]] = []
        self.order = count()
        self.alarm: tuple[float, asyncio.TimerHandle] | None = None
        self.estate: dict[str, Any] = {}  # as the decisions gave it last
        self.loop = asyncio.get_running_loop()
        self.actions: dict[type, Callable[[Any], None]] = {
            api.StartAttempt: self._send,
            api.Reject: self._refuse,
            api.Fail: self._fail,
            api.CancelAttempt: self._cancel,
            api.SetTimer: self._set_timer,
            api.LogMessage: lambda action: log.info("%s", action.text),
            api.CloseIdle: lambda action: upstream.close_idle(action.server),
            api.SetServerDetached: lambda action: upstream.set_detached(action.server, action.detached),
            api.Subscribe: lambda action: None,  # the watch, always open, asks
            api.StateSnapshot: lambda action: setattr(self, "estate", action.state),
            api.NotifyPeerProcess: lambda action: notify_peer(action.usage),
        }

    # ---- Events in

    def post(self, event: api.Event) -> None:
        """Queue an event and handle all that are queued.

        Guards against re-entrance: what an action gives rise to at once (a connection that is refused)
        waits until the actions before it are carried out.
        """
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        try:
            while self.events:
                self._handle(self.events.popleft())
        finally:
            self.handling = False

    def _handle(self, event: api.Event) -> None:
        try:
            for action in self.engine.handle(self.clock(), event):
                self._perform(action)
        except Exception:  # one request that the decisions can't cope with must not take the others along
            log.exception("the decisions failed on %r", event)
            request_id = getattr(event, "request_id", None)
            if isinstance(request_id, str):
                self._fail(api.Fail(request_id))
        while self.over:  # behind the actions, which may cancel an attempt themselves
            self._end(self.over.pop())

    def _perform(self, action: api.Action) -> None:
        perform = self.actions.get(type(action))
        if perform:
            perform(action)
        else:
            log.error("no such action on these sockets: %r", action)

    def submit(self, call: ActiveRequest, request: api.Request, waits_ms: float) -> None:
        """Take a client's request; it is answered through ``call.on_answer``, once."""
        call.deadline = self.clock() + waits_ms
        self.active_requests[call.request_id] = call
        self.post(request)

    def client_disconnected(self, request_id: str) -> None:
        """The client closed its connection: nothing more is owed."""
        call = self.active_requests.get(request_id)
        if call and not call.answered:
            call.answered = call.gone = True
            self.over.append(call)
            self.post(api.ClientDisconnected(request_id))

    def export_state(self) -> dict[str, Any]:
        """The decisions' state for a process that takes over."""
        self.post(api.ExportState())
        return self.estate

    def restore_state(self, state: dict[str, Any]) -> bool:
        """Hand the decisions what a process before has left; whether they could take it over."""
        self.post(api.RestoreState(state))
        return self.engine.has_peer_process

    # ---- Actions out

    def _send(self, action: api.StartAttempt) -> None:
        call = self.active_requests.get(action.request_id)
        if call is None:
            log.error("sent after its end: %r", action)
            return
        number, now = call.sends, self.clock()
        call.sends += 1
        wait = call.deadline - now
        if action.timeout_ms:
            wait = min(wait, action.timeout_ms)
        if call.answered or wait <= 0.0:
            self._outcome(call, number, action.server, now, UpstreamReply(api.AttemptStatus.NOT_SENT))
            return

        first_ms = inf  # until the first bytes of a large value

        def done(reply: UpstreamReply) -> None:
            call.out.pop(number, None)
            if attempt.sink and call.value:
                call.value.end(reply.value is not None)
            self._outcome(call, number, action.server, now, reply, first_ms)

        def begun(length: int) -> BodyConsumer:
            nonlocal first_ms
            if call.answered or call.on_value is None:
                self.upstream.stop(attempt, api.AttemptStatus.CANCELLED)
                return lambda piece: None
            call.answered, first_ms = True, self.clock() - now
            call.value = value = call.on_value(length, attempt)
            self.over.append(call)
            self.post(api.StreamStarted(call.request_id, number, action.server, first_ms))
            return value.take

        # Guards against a server that works for longer than anybody waits, where connecting took a while.
        attempt = Attempt(
            call.encode(wait), done, begun, lambda: call.encode(now + wait - self.clock()), call.waits
        )
        call.out[number] = attempt
        self.upstream.start(action.server, attempt)
        if number in call.out:
            self._at(now + wait, self._time_out, attempt)

    def _time_out(self, attempt: Attempt) -> None:
        if attempt.sink is None:  # of a large value only the first bytes are timed
            self.upstream.stop(attempt, api.AttemptStatus.TIMEOUT)

    def _outcome(
        self,
        call: ActiveRequest,
        number: int,
        server: int,
        sent: float,
        reply: UpstreamReply,
        first_ms: float = inf,
    ) -> None:
        """The outcome of an attempt; a good answer goes to the client first, if it still waits."""
        if reply.value is not None and not call.answered:
            self._answer(call, b"$%d\r\n%b\r\n" % (len(reply.value), reply.value))
        self.over.append(call)
        self.post(
            api.Outcome(
                call.request_id,
                number,
                server,
                reply.status,
                min(first_ms, self.clock() - sent),
                call.answered,
                reply.used,
                reply.cost,
                reply.load,
            )
        )

    def _refuse(self, action: api.Reject) -> None:
        advice = round(action.retry_after_ms)
        self._final(action.request_id, b"-BUSY %d\r\n" % advice if advice > 0 else b"-BUSY\r\n")

    def _fail(self, action: api.Fail) -> None:
        self._final(action.request_id, b"-ERR failed\r\n")

    def _final(self, request_id: str, answer: bytes) -> None:
        call = self.active_requests.get(request_id)
        if call and not call.answered:
            self._answer(call, answer)
            self.over.append(call)
            if not call.out:
                self.active_requests.pop(call.request_id, None)

    def _answer(self, call: ActiveRequest, answer: bytes) -> None:
        call.answered = True
        call.on_answer(answer)

    def _end(self, call: ActiveRequest) -> None:
        """Once a request is over: call off what has not gone out whole, forget the call when nothing is out.

        Guards against a connection that comes up, or takes the rest of a command, after the answer: what
        was still to be written would be sent on behind it, for a client that has its answer or has left.
        """
        if not call.answered:
            return
        for attempt in list(call.out.values()):
            self.upstream.cancel_unsent(attempt)
        if not call.out:
            self.active_requests.pop(call.request_id, None)

    def _cancel(self, action: api.CancelAttempt) -> None:
        call = self.active_requests.get(action.request_id)
        attempt = call.out.get(action.attempt) if call else None
        if call and attempt:
            if call.gone:  # that it has not come up yet says nothing of its server
                self.upstream.cancel_unsent(attempt)
            self.upstream.stop(attempt, api.AttemptStatus.CANCELLED)

    # ---- Timers

    def _set_timer(self, action: api.SetTimer) -> None:
        self._at(self.clock() + action.delay_ms, self.post, api.TimerFired(action.token))

    def _at(self, due: float, call: Callable[[Any], None], argument: Any) -> None:
        heapq.heappush(self.timers, (due, next(self.order), call, argument))
        self._arm()

    def _arm(self) -> None:
        """One timer of the loop stands for all of these: it is set for the first that falls due.

        Whole milliseconds, rounded up. Guards against spinning: the loop rounds a shorter delay down to
        nothing, and would come back again and again until the timer is due.
        """
        due = self.timers[0][0]
        if self.alarm and self.alarm[0] <= due:
            return
        if self.alarm:
            self.alarm[1].cancel()
        delay_ms = max(1, ceil(due - self.clock()))
        self.alarm = (due, self.loop.call_later(delay_ms / 1000.0, self._fire))

    def _fire(self) -> None:
        self.alarm = None
        now = self.clock()
        while self.timers and self.timers[0][0] <= now:
            _, _, call, argument = heapq.heappop(self.timers)
            call(argument)
        if self.timers:
            self._arm()
