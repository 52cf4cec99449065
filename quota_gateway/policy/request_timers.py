"""The timers of a pending request, and the delay of each."""

from quota_gateway.model.actions import Action
from quota_gateway.model.pending_request import PendingRequest
from quota_gateway.model.timers import (
    AttemptLate,
    AttemptSlow,
    DeadlineReached,
    QueueTimeout,
    RequestTimer,
    TimerTable,
    WaitOver,
)
from quota_gateway.policy.clock import DecayClock
from quota_gateway.policy.concurrency import SLOW_RESPONSE_OBJECTIVE_SHARE
from quota_gateway.policy.latency import LatencyStatistics
from quota_gateway.policy.shutdown import ShutdownDeadline

ANSWER_MARGIN_TICKS = 2.0  # a timer may fire one tick late; the other tick is a reserve


class RequestTimers:
    """Sets the timers of requests; delays are in milliseconds from now."""

    def __init__(
        self,
        timers: TimerTable,
        output: list[Action],
        clock: DecayClock,
        latencies: LatencyStatistics,
        tick_ms: float,
    ) -> None:
        self._timers = timers
        self._output = output
        self._clock = clock
        self._latencies = latencies
        self._tick_ms = tick_ms
        self.shutdown = ShutdownDeadline(clock)

    def arm_deadline(self, pending: PendingRequest) -> None:
        """Set the timer for the final answer, before the client's deadline and the end of the process."""
        pending.deadline_ms = self.shutdown.bound(pending.deadline_ms)
        time_left_ms = pending.deadline_ms - self._clock.now_ms - ANSWER_MARGIN_TICKS * self._tick_ms
        self._arm(max(0.0, time_left_ms), DeadlineReached(pending))

    def arm_delay(self, pending: PendingRequest, delay_ms: float) -> None:
        """Set the timer for the end of the leaky bucket's delay."""
        self._arm(delay_ms, WaitOver(pending))

    def arm_wait(self, pending: PendingRequest, min_wait_ms: float) -> None:
        """Set the timer for the end of a wait that a limit requires, a tick later so that it is not early."""
        self._arm(min_wait_ms + self._tick_ms, WaitOver(pending))

    def arm_queue_timeout(self, pending: PendingRequest) -> None:
        """Set the timer for the latest start with which an answer still meets the objective."""
        time_left_ms = self._latencies.latest_start_ms(pending) - self._clock.now_ms
        self._arm(max(0.0, time_left_ms), QueueTimeout(pending))

    def arm_slow_attempt(self, pending: PendingRequest, attempt: int) -> None:
        """Set the timer after which a new attempt is slow."""
        slow_ms = (
            SLOW_RESPONSE_OBJECTIVE_SHARE * pending.request_class.latency_objective_ms
            + self._latencies.size_extra_ms(pending)
        )
        self._arm(slow_ms, AttemptSlow(pending, attempt))

    def arm_late_attempt(self, pending: PendingRequest, attempt: int) -> None:
        """Set the timer after which an attempt that has just become slow has missed the objective."""
        late_ms = (1.0 - SLOW_RESPONSE_OBJECTIVE_SHARE) * pending.request_class.latency_objective_ms
        self._arm(late_ms, AttemptLate(pending, attempt))

    def drop(self, pending: PendingRequest) -> None:
        """Discard the timers of a request."""
        self._timers.drop(pending)

    def _arm(self, delay_ms: float, timer: RequestTimer) -> None:
        self._output.append(self._timers.arm(delay_ms, timer))
