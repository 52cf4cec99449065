"""Checks whether an attempt may start, whether its bytes may be sent, and whether a rejection may be given.

The policy engine has decided by the same rules. They are checked again here against what the sockets have
observed since. See docs/invariants.md.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from enum import Enum

from quota_gateway.model import AttemptStatus, Idempotency, IdempotencyScope, RequestClass, Settings
from quota_gateway.net.active_request import (
    ActiveAttempt,
    ActiveRequest,
    ClientPresence,
    ExecutedAttempt,
)
from quota_gateway.net.upstream.host import UpstreamHost
from quota_gateway.telemetry import Invariant, Metric, Telemetry

MAX_DEADLINE_EXCESS_MS = 150.0  # limit on how far a command's timeout may exceed the client's remaining one
# A command contains the timeout that remained when it was encoded. If its last bytes are not sent by the
# maximum age, its attempt ends instead. The margin to MAX_DEADLINE_EXCESS_MS is for a process that stalls
# while it writes.
MAX_ENCODED_AGE_MS = 100.0


class StartRefusal(Enum):
    """Why an attempt is not started, or its bytes are not sent."""

    ANSWERED = "answered"
    CLIENT_LEFT = "client_left"
    CLIENT_UNSEEN = "client_unseen"
    OUT_OF_TIME = "out_of_time"
    ENCODED_TOO_LONG_AGO = "encoded_too_long_ago"
    WINDOW_OVER = "window_over"
    BROKEN_RULE = "broken_rule"


REFUSAL_BY_PRESENCE = {
    ClientPresence.LEFT: StartRefusal.CLIENT_LEFT,
    ClientPresence.UNSEEN: StartRefusal.CLIENT_UNSEEN,
}


class RequestGuard:
    """Checks attempts and rejections against the rules on repeats, deadlines and clients that have left."""

    def __init__(
        self,
        settings: Settings,
        hosts: Mapping[int, UpstreamHost],
        clock: Callable[[], float],
        telemetry: Telemetry,
    ) -> None:
        self._may_duplicate = settings.limits.may_duplicate
        self._hosts = hosts
        self._clock = clock
        self._telemetry = telemetry

    def may_start(self, attempt: ActiveAttempt) -> bool:
        """Return whether an attempt that the engine has decided on may start."""
        request = attempt.request
        if request.is_answered:
            return self._refuse(attempt, StartRefusal.ANSWERED)
        if attempt.deadline_ms <= attempt.started_ms:
            return self._refuse(attempt, StartRefusal.OUT_OF_TIME)
        check = self._telemetry.invariants.check
        is_alone = self._may_duplicate or not request.attempts
        allowed = check(Invariant.NO_CONCURRENT_ATTEMPTS, is_alone, request.request_id, attempt.server)
        is_repeatable = self._is_repeatable(request, attempt.server)
        allowed &= check(Invariant.NO_UNSAFE_REPEAT, is_repeatable, request.request_id, attempt.server)
        return allowed or self._refuse(attempt, StartRefusal.BROKEN_RULE)

    def refusal_to_send(self, attempt: ActiveAttempt) -> AttemptStatus | None:
        """Check an attempt before its first bytes are written, and before the last ones.

        Returns:
            None if the bytes may be sent; else the status that the attempt ends with.
        """
        request = attempt.request
        if not self._telemetry.invariants.check(
            Invariant.NO_ATTEMPT_AFTER_ANSWER, not request.is_answered, request.request_id, attempt.server
        ):
            self._refuse(attempt, StartRefusal.ANSWERED)
            return AttemptStatus.NOT_SENT
        presence = request.client_presence()
        if presence is not ClientPresence.CONNECTED:
            self._refuse(attempt, REFUSAL_BY_PRESENCE[presence])
            return AttemptStatus.NOT_SENT
        now_ms = self._clock()
        if now_ms >= attempt.deadline_ms:
            self._refuse(attempt, StartRefusal.OUT_OF_TIME)
            return AttemptStatus.NOT_SENT
        first = request.first_possible_execution()
        if first and first.number < attempt.number and not self._is_repeatable(request, attempt.server):
            # The idempotency window has ended since the attempt started to connect or to be written.
            self._refuse(attempt, StartRefusal.WINDOW_OVER)
            return AttemptStatus.NOT_SENT
        if now_ms - attempt.encoded_ms > MAX_ENCODED_AGE_MS:
            self._refuse(attempt, StartRefusal.ENCODED_TOO_LONG_AGO)
            return AttemptStatus.CONNECT_FAILED  # the command never ran, so a retry is allowed
        return None

    def on_sent(self, attempt: ActiveAttempt) -> None:
        """Check that the command's timeout is not too long by the time the kernel has its last byte."""
        age_ms = self._clock() - attempt.encoded_ms
        request_id = attempt.request.request_id
        self._telemetry.trace.add(request_id, "attempt sent", attempt.server)
        holds = age_ms <= MAX_DEADLINE_EXCESS_MS
        self._telemetry.invariants.check(Invariant.DEADLINE_NOT_EXTENDED, holds, request_id, age_ms)

    def may_reject(self, request: ActiveRequest) -> bool:
        """Return whether a rejection is truthful: nothing was executed, or a retry is harmless."""
        request_class = request.request_class
        holds = (
            request_class is None
            or request.first_possible_execution() is None
            or request_class.idempotency is Idempotency.IDEMPOTENT
            or _is_keyed_everywhere(request_class)
        )
        return self._telemetry.invariants.check(Invariant.REJECT_IS_HARMLESS, holds, request.request_id)

    def _refuse(self, attempt: ActiveAttempt, reason: StartRefusal) -> bool:
        self._telemetry.metrics.count(Metric.ATTEMPTS_REFUSED, reason.value)
        self._telemetry.trace.add(attempt.request.request_id, "attempt refused", reason.value)
        return False

    def _is_repeatable(self, request: ActiveRequest, server: int) -> bool:
        """Whether an attempt at this server is allowed after those that may have run or may still run."""
        request_class = request.request_class
        first = request.first_possible_execution()
        if first is None or request_class is None or request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return False
        is_in_window = self._clock() - first.started_ms <= request_class.idempotency_window_ms
        return is_in_window and self._is_in_scope(request_class.idempotency_scope, first, server)

    def _is_in_scope(self, scope: IdempotencyScope, first: ExecutedAttempt, server: int) -> bool:
        host = self._hosts.get(server)
        if scope is IdempotencyScope.ALL or host is None:
            return True
        is_in_cell = scope is not IdempotencyScope.CELL or host.cell == first.cell
        return host.zone == first.zone and is_in_cell


def _is_keyed_everywhere(request_class: RequestClass) -> bool:
    is_keyed = request_class.idempotency is Idempotency.KEYED
    return is_keyed and request_class.idempotency_scope is IdempotencyScope.ALL
