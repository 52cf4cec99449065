"""Run a gateway with a planted fault, to show that the oracle finds the rule that the fault violates."""

from __future__ import annotations

import os
import random
import sys
from collections.abc import Callable
from typing import Any, NamedTuple

from quota_gateway import __main__ as gateway_main
from quota_gateway import server as gateway_server
from quota_gateway.model import AttemptStatus, EndpointLifecycle
from quota_gateway.net import graceful_shutdown, request_guard
from quota_gateway.net.active_request import RequestState
from quota_gateway.net.clients.commands import CommandEncoder
from quota_gateway.net.clients.connection import ClientConnection
from quota_gateway.net.clients.connection_lifecycle import ConnectionLifecycle
from quota_gateway.net.clients.listener import ClientListener
from quota_gateway.net.clients.reply_writer import ReplyWriter
from quota_gateway.net.request_answers import RequestAnswers
from quota_gateway.net.request_attempts import RequestAttempts
from quota_gateway.net.upstream.host import UpstreamHost
from quota_gateway.net.upstream.pool import UpstreamPool
from quota_gateway.net.upstream.reply_receiver import ReplyReceiver
from quota_gateway.policy import request_lifecycle
from quota_gateway.policy.endpoints import EndpointTable
from quota_gateway.policy.executed_requests import ExecutedRequests
from quota_gateway.policy.retries import RetryRules
from quota_gateway.policy.slow_start import SlowStart
from soak.fault_kinds import FaultKind
from soak.violation import Rule

RARE_SHARE = 0.01
DROPPED_SHARE = 0.05
EXTRA_TIMEOUT_MS = 400.0
UNREAD_QUEUE_S = 0.3  # time for which connections wait in the queue that is then closed

# Planted faults replace methods with different signatures, so the type accepts any arguments.
PatchedMethod = Callable[..., Any]


def _disable_guard() -> None:
    guard: Any = request_guard.RequestGuard
    guard.may_start = lambda _self, _attempt: True
    guard.may_reject = lambda _self, _request: True
    guard.refusal_to_send = lambda _self, _attempt: None


def _extend_deadline() -> None:
    original: PatchedMethod = RequestAttempts.start

    def start(self: RequestAttempts, action: Any) -> None:
        request = self._requests.by_id.get(action.request_id)
        if request and not request.attempt_count:
            encode = request.encode
            request.encode = lambda timeout_ms: encode(timeout_ms + EXTRA_TIMEOUT_MS)
        original(self, action)

    RequestAttempts.start = start  # type: ignore[method-assign]


def _repeat_unsafe() -> None:
    _disable_guard()
    original: PatchedMethod = RetryRules.may_retry

    def may_retry(self: Any, pending: Any, status: AttemptStatus, attempt: Any) -> bool:
        is_reset = status in (AttemptStatus.RESET, AttemptStatus.ERROR)
        return bool(original(self, pending, AttemptStatus.CONNECT_FAILED if is_reset else status, attempt))

    RetryRules.may_retry = may_retry  # type: ignore[method-assign]


def _ignore_client_end() -> None:
    connection: Any = ClientConnection
    connection._has_disconnected = lambda _self: False
    connection.eof_received = lambda _self: True


def _drop_answers() -> None:
    original: PatchedMethod = RequestAnswers.send

    def send(self: RequestAnswers, request: Any, reply: bytes) -> None:
        if random.random() < DROPPED_SHARE:
            request.state = RequestState.ANSWERED
        else:
            original(self, request, reply)

    RequestAnswers.send = send  # type: ignore[method-assign]


def _ignore_drain() -> None:
    original: PatchedMethod = UpstreamHost.update
    apply_detachment: PatchedMethod = EndpointTable._apply_detachment

    def update(self: UpstreamHost, endpoint: Any, address: Any, detached: bool) -> None:
        original(self, endpoint, address, detached)
        self.listed = endpoint.state is not EndpointLifecycle.GONE

    def apply_as_ready(self: EndpointTable, state: Any) -> None:
        state.is_ready = state.is_listed = True
        apply_detachment(self, state)

    UpstreamHost.update = update  # type: ignore[method-assign]
    EndpointTable._apply_detachment = apply_as_ready  # type: ignore[method-assign]


def _ignore_detach() -> None:
    table: Any = EndpointTable
    table.detach = lambda _self, _number, _since_ms=None: True
    pool: Any = UpstreamPool
    pool.set_detached = lambda _self, _server, _detached: None


def _reject_after_run() -> None:
    _disable_guard()
    module: Any = request_lifecycle
    module.is_retry_harmless = lambda _pending: True


def _mix_values() -> None:
    original: PatchedMethod = RequestAnswers.send

    def send(self: RequestAnswers, request: Any, reply: bytes) -> None:
        is_value = reply.startswith(b"$16\r\n")
        original(
            self,
            request,
            b"$16\r\n" + 16 * b"0" + b"\r\n" if is_value and random.random() < RARE_SHARE else reply,
        )

    RequestAnswers.send = send  # type: ignore[method-assign]


def _close_queue_unread() -> None:
    def stop_listening(self: ClientListener) -> None:
        self.acceptor.suspend()
        self.loop.call_later(UNREAD_QUEUE_S, self.acceptor.close)
        self.is_stopping = True

    module: Any = graceful_shutdown
    module.ACCEPT_PERIOD_S = 0.0
    ClientListener.stop_listening = stop_listening  # type: ignore[method-assign]


def _crash_on_reload() -> None:
    def crash(*_: object) -> None:
        os._exit(3)

    module: Any = gateway_server
    module.reload_discovery_address = crash


def _ignore_slow_start() -> None:
    table: Any = SlowStart
    table.capacity_share = lambda _self, _endpoint: 1.0


def _close_while_owed() -> None:
    original: PatchedMethod = ClientConnection.flush

    def flush(self: ClientConnection) -> None:
        if self.replies.has_unanswered() and random.random() < RARE_SHARE:
            self.abort()
        original(self)

    ClientConnection.flush = flush  # type: ignore[method-assign]


def _close_undelivered() -> None:
    lifecycle: Any = ConnectionLifecycle
    lifecycle.linger = ConnectionLifecycle.close
    lifecycle.is_delivery_pending = lambda _self: False


def _write_unfinished_values() -> None:
    writer: Any = ReplyWriter
    writer._has_others_behind = lambda _self, _commands: False


def _forget_executed_requests() -> None:
    requests: Any = ExecutedRequests
    requests.must_not_run = lambda _self, _request: False


def _wait_for_bodies() -> None:
    original: PatchedMethod = ReplyReceiver._stream_body

    def stream_body(self: ReplyReceiver, attempt: Any, bytes_left: int) -> None:
        if attempt.body_consumer or self.has_surplus_bytes:
            original(self, attempt, bytes_left)

    ReplyReceiver._stream_body = stream_body  # type: ignore[method-assign]


def _keep_copies_of_commands() -> None:
    original: PatchedMethod = CommandEncoder.__call__
    kept: list[bytes] = []

    def encode(self: CommandEncoder, timeout_ms: float) -> Any:
        pieces = original(self, timeout_ms)
        kept.append(b"".join(pieces))
        return pieces

    CommandEncoder.__call__ = encode  # type: ignore[method-assign]


class PlantedFault(NamedTuple):
    """A fault that is planted in the gateway's code.

    Attributes:
        plant: Patches the gateway's code in this process.
        rule: The rule that the oracle must find violated.
        injected: The faults that must be injected for the violation to occur.
    """

    plant: Callable[[], None]
    rule: Rule
    injected: tuple[FaultKind, ...] = ()


PLANTED_FAULTS: dict[str, PlantedFault] = {
    # The gateway sends servers a longer remaining timeout than the client has left.
    "extend_deadline": PlantedFault(_extend_deadline, Rule.DEADLINE),
    # The gateway repeats non-idempotent requests that may have been executed.
    "repeat_unsafe": PlantedFault(
        _repeat_unsafe, Rule.REPEAT, (FaultKind.RESET_DURING_REQUEST, FaultKind.ERROR_REPLY)
    ),
    # The gateway does not notice that clients disconnect.
    "ignore_client_end": PlantedFault(
        _ignore_client_end,
        Rule.CLIENT_GONE,
        (FaultKind.SLOW, FaultKind.OVERLOADED, FaultKind.OVERLOADED, FaultKind.HANG),
    ),
    # The gateway never writes some answers.
    "drop_answers": PlantedFault(_drop_answers, Rule.ANSWERED),
    # The gateway sends requests to servers that are draining.
    "ignore_drain": PlantedFault(_ignore_drain, Rule.DRAIN, (FaultKind.SERVER_DRAIN, FaultKind.SERVER_DRAIN)),
    # The gateway sends requests to detached servers.
    "ignore_detach": PlantedFault(
        _ignore_detach, Rule.DETACHED, (FaultKind.SERVER_DETACHMENT, FaultKind.SERVER_DETACHMENT)
    ),
    # The gateway rejects requests that may have been executed.
    "reject_after_run": PlantedFault(
        _reject_after_run, Rule.REJECT, (FaultKind.ERROR_REPLY, FaultKind.RESET_DURING_REQUEST)
    ),
    # The gateway replaces some values.
    "mix_values": PlantedFault(_mix_values, Rule.VALUE),
    # The gateway closes its listening socket before it has accepted the connections in the queue.
    "close_queue_unread": PlantedFault(
        _close_queue_unread,
        Rule.ANSWERED,
        (FaultKind.GATEWAY_RESTART, FaultKind.GATEWAY_RESTART, FaultKind.TCP_CALLS_FAIL),
    ),
    # The gateway exits on SIGHUP.
    "crash_on_reload": PlantedFault(_crash_on_reload, Rule.PROCESS, (FaultKind.DISCOVERY_MOVE,)),
    # The gateway sends their full load to servers that are warming up.
    "ignore_slow_start": PlantedFault(
        _ignore_slow_start,
        Rule.SLOW_START,
        (FaultKind.SERVER_REPLACEMENT, FaultKind.SERVER_REPLACEMENT, FaultKind.SERVER_REPLACEMENT),
    ),
    # The gateway closes some connections on which an answer is owed.
    "close_while_owed": PlantedFault(_close_while_owed, Rule.PROCESS),
    # The gateway closes connections whose clients still read a reply that it has written.
    "close_undelivered": PlantedFault(_close_undelivered, Rule.ANSWERED),
    # The gateway writes a large value before it is complete, though requests wait behind it.
    "write_unfinished_values": PlantedFault(_write_unfinished_values, Rule.ANSWERED),
    # The gateway forgets which requests may have run.
    "forget_executed_requests": PlantedFault(_forget_executed_requests, Rule.REPEAT),
    # The gateway starts a large value with the first bytes behind its header.
    "wait_for_bodies": PlantedFault(_wait_for_bodies, Rule.ANSWERED),
    # The gateway keeps a copy of each command that it sends.
    "keep_copies_of_commands": PlantedFault(_keep_copies_of_commands, Rule.PROCESS),
}
"""The planted faults, by their names on the command line."""


if __name__ == "__main__":
    PLANTED_FAULTS[os.environ["SOAK_PLANTED"]].plant()
    sys.exit(gateway_main.main())
