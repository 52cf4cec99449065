"""The policy engine: events in (quota_gateway/model), actions out: docs/decisions/engine.md."""

from collections.abc import Callable
from math import inf
from random import Random
from typing import Any

from quota_gateway.model import actions, events
from quota_gateway.model.actions import AnswerReason
from quota_gateway.model.customer_state import CustomerState
from quota_gateway.model.endpoint_state import DetectedOutlier, EndpointState
from quota_gateway.model.events import AttemptStatus, UpdateKind
from quota_gateway.model.pending_request import PendingRequest
from quota_gateway.model.settings import DiscoveryMode, Settings
from quota_gateway.model.snapshot import EngineState
from quota_gateway.model.timers import TimerCallback, TimerTable
from quota_gateway.policy.clock import DecayClock
from quota_gateway.policy.concurrency import SLOW_RESPONSE_OBJECTIVE_SHARE, ConcurrencyLimit
from quota_gateway.policy.customer_table import CustomerTable
from quota_gateway.policy.endpoints import EndpointTable
from quota_gateway.policy.hard_ceiling import HardCeiling
from quota_gateway.policy.in_flight_limit import InFlightLimit
from quota_gateway.policy.latency import LatencyStatistics
from quota_gateway.policy.leaky_bucket import LeakyBucket
from quota_gateway.policy.load_balancing import LoadBalancer
from quota_gateway.policy.outliers import FailureTracker, OutlierDetector
from quota_gateway.policy.pending_queue import PendingQueue
from quota_gateway.policy.quota import LocalQuota
from quota_gateway.policy.retries import RetryBudget, is_retry_harmless
from quota_gateway.policy.slow_start import SlowStart
from quota_gateway.policy.subset import Subset
from quota_gateway.policy.unknown_customers import UnknownCustomerAdmission

ANSWER_TICKS = 2.0  # ticks before the client's deadline of the last answer: one to fire, one to spare
POLL_SHARE = 0.5  # of the time in which discovery must be asked: room for one failed call
MAX_LOGGED_ONCE = 100  # lines remembered so as not to be repeated


class PolicyEngine:
    """One gateway's decisions. Feed events in order; carry out the actions in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.classes = {item.name: item for item in settings.classes}
        self.plans = {item.name: item for item in settings.plans}
        self.requests: dict[str, PendingRequest] = {}
        self.timers = TimerTable()
        self.ends_at_ms = inf
        self.has_peer_process = False  # whether another process of this gateway must hear of usage
        self.logged: set[str] = set()
        self.actions: list[actions.Action] = []
        self._make_mechanisms()
        self.handlers: dict[type, Callable[[Any], None]] = {
            events.Request: self._on_request,
            events.Outcome: self._on_outcome,
            events.TimerFired: self.timers.on_fired,
            events.EndpointUpdate: self._on_endpoint_update,
            events.ClientDisconnected: self._on_client_disconnected,
            events.StreamStarted: self._on_stream_started,
            events.HealthCheckResult: self._on_health_check,
            events.ShutdownStarted: self._on_shutdown_started,
            events.DetachServer: self._on_detach,
            events.AttachServer: self._on_attach,
            events.ExportState: self._on_export,
            events.RestoreState: self._on_restore,
            events.PeerProcessUsage: self._on_peer_usage,
            events.PeerProcessExited: self._on_peer_exited,
        }

    def _make_mechanisms(self) -> None:
        settings, clock = self.settings, DecayClock()
        self.clock = clock
        self.quota = LocalQuota(settings, clock)
        self.admission = UnknownCustomerAdmission(settings, clock, self.random, self.quota)
        self.ceiling = HardCeiling(clock)
        self.customer_table = CustomerTable(settings, clock, self.quota, self.ceiling)
        self.bucket = LeakyBucket(settings, clock, self.quota)
        self.in_flight_limit = InFlightLimit(settings, clock)
        self.latencies = LatencyStatistics(settings.classes, clock)
        self.concurrency = ConcurrencyLimit()
        self.queue = PendingQueue(self.latencies)
        self.retries = RetryBudget(settings.limits, clock)
        self.failures = FailureTracker(clock)
        self.outliers = OutlierDetector(self.failures)
        self.slow_start = SlowStart(settings.contract, clock)
        self.balancer = LoadBalancer(settings, clock, self.random, self.slow_start, self.outliers)
        self.subset = Subset(settings.gateways, settings.index)
        self.endpoints = EndpointTable(clock, self.subset, self.slow_start, self.outliers)

    @property
    def customers(self) -> dict[tuple[str, str], CustomerState]:
        """The customers known, by plan and name."""
        return self.customer_table.by_key

    def handle(self, now_ms: float, event: events.Event) -> list[actions.Action]:
        """Decide on one event at this time; times never go back."""
        self.clock.advance(now_ms)
        self.actions = []
        handler = self.handlers.get(type(event))
        if handler:
            handler(event)
        return self.actions

    def _on_request(self, event: events.Request) -> None:
        request_class, plan = self.classes.get(event.class_name), self.plans.get(event.plan)
        if event.request_id in self.requests:
            return  # it is pending already, and may have been executed: a rejection would be its answer
        if request_class is None or plan is None:
            self._log_once(f"request rejected reason=unknown class={event.class_name!r} plan={event.plan!r}")
            self.actions.append(actions.Reject(event.request_id, reason=AnswerReason.UNKNOWN_CLASS_OR_PLAN))
            return
        customer = self.customer_table.use(event, plan)
        is_thin_retry = event.is_retry and self.quota.share_is_below_one_request(customer, plan)
        if is_thin_retry or not self.admission.admits(customer, plan):
            reason = AnswerReason.RETRY_BELOW_ONE_REQUEST if is_thin_retry else AnswerReason.UNKNOWN_CUSTOMER
            self.actions.append(actions.Reject(event.request_id, reason=reason))
            return
        draw = self.random.random()
        pending = PendingRequest(event, request_class, plan, customer, self.clock.now_ms, draw)
        mean_ms = self.latencies.mean_ms(pending)
        delay_ms = self.bucket.offer(pending, mean_ms)
        if delay_ms == inf:
            wait_ms = self.bucket.retry_after_ms(pending, mean_ms, self.latencies.latest_start_ms(pending))
            self.actions.append(actions.Reject(event.request_id, wait_ms, AnswerReason.OVER_QUOTA))
            return
        pending.is_contended = self.in_flight_limit.on_arrival(customer, plan)
        self.requests[event.request_id] = pending
        self._arm_deadline(pending)
        if delay_ms > 0.0:
            pending.is_delayed = True
            self._arm(delay_ms, self._on_delay_over, pending, pending)
        else:
            self._release(pending)

    def _on_delay_over(self, pending: PendingRequest) -> None:
        pending.is_delayed = False
        if not pending.is_closed and pending.attempts == 0:
            self._release(pending)

    def _release(self, pending: PendingRequest) -> None:
        """Start the first attempt if limits and an endpoint allow it; else queue the request or answer it."""
        now_ms = self.clock.now_ms
        wait_ms = self.ceiling.wait_ms(pending)
        turn_ms = self.in_flight_limit.turn_wait_ms(pending)
        is_too_late = wait_ms >= pending.deadline_ms - now_ms
        if is_too_late or turn_ms > max(0.0, self.latencies.latest_start_ms(pending) - now_ms):
            self._answer(pending, AnswerReason.NO_PLACE_IN_TIME)
            return
        wait_ms = max(wait_ms, turn_ms)
        has_place = self.in_flight_limit.has_place(pending, self.quota.share(pending.customer))
        endpoint = self._choose(pending) if has_place and not wait_ms else None
        if endpoint:
            self.queue.discard(pending.request.request_id)
            self._start(pending, endpoint)
        else:
            self._enqueue(pending, wait_ms)

    def _enqueue(self, pending: PendingRequest, wait_ms: float) -> None:
        """Queue what can not start now, for ``wait_ms`` at least; the queue may shed one for it."""
        if self.queue.add(pending):
            time_left_ms = self.latencies.latest_start_ms(pending) - self.clock.now_ms
            self._arm(max(0.0, time_left_ms), self._on_queue_timeout, pending, pending)
        to_shed = self.queue.to_shed(self.concurrency.limit) if self.endpoints.by_id else None
        if to_shed:
            self._answer(to_shed, AnswerReason.SHED)
        if wait_ms and not pending.is_closed:
            self._arm(wait_ms + self.settings.tick_ms, self._on_delay_over, pending, pending)

    def _on_queue_timeout(self, pending: PendingRequest) -> None:
        if pending.attempts == 0 and any(endpoint.is_ready for endpoint in self.endpoints.by_id.values()):
            self._answer(pending, AnswerReason.QUEUE_TIMEOUT)

    def _release_queued(self) -> None:
        for pending in self.queue.by_value():
            if not pending.is_closed:
                self._release(pending)

    def _choose(self, pending: PendingRequest) -> EndpointState | None:
        if not pending.attempts and not self.concurrency.has_room(pending.slow_start_draw):
            return None  # a limit of 1.4: one in flight for each request, a second for four in ten
        endpoints = self.endpoints
        return self.balancer.choose(pending, endpoints.ready, endpoints.warming, endpoints.subset_radius)

    def _start(self, pending: PendingRequest, endpoint: EndpointState, is_free: bool = False) -> None:
        request_id = pending.request.request_id
        number = pending.start_attempt(endpoint, self.clock.now_ms)
        if number == 0:
            self.ceiling.draw(pending)
        self.retries.on_start(number, is_free)
        self._notify_peer(pending)
        self.clock.on_attempt()
        self.concurrency.on_start(request_id, number)
        self.actions.append(actions.StartAttempt(request_id, endpoint.id))
        slow_ms = (
            SLOW_RESPONSE_OBJECTIVE_SHARE * pending.request_class.latency_objective_ms
            + self.latencies.size_extra_ms(pending)
        )
        self._arm(slow_ms, self._on_slow, (pending, number), pending)

    def _on_slow(self, which: tuple[PendingRequest, int]) -> None:
        """An attempt in flight that is slow tells so before its answer does; it may be taken elsewhere."""
        pending, number = which
        self.concurrency.on_end(pending.request.request_id, number)
        attempt = pending.in_flight.get(number)
        if attempt is None or pending.is_streaming:
            return
        self._eject(self.outliers.on_slow_attempt(pending, attempt.endpoint))
        late_ms = (1.0 - SLOW_RESPONSE_OBJECTIVE_SHARE) * pending.request_class.latency_objective_ms
        self._arm(late_ms, self._on_late, which, pending)
        is_presumed_lost = self.latencies.is_presumed_lost(pending, attempt.started_ms)
        is_suspect = is_presumed_lost or self.outliers.is_outlier_under_key(
            attempt.endpoint, pending.failure_keys.request_class
        )
        if not is_suspect or not self.retries.allows_hedge(pending):
            return
        pending.first_executed = pending.first_executed or attempt
        if not self.retries.allows(pending) or not self.concurrency.has_room():
            return
        other = self._choose(pending)
        if other and other is not attempt.endpoint and self.settings.limits.may_duplicate:
            self._start(pending, other)
        elif other and self.settings.limits.can_cancel:
            self.actions.append(actions.CancelAttempt(pending.request.request_id, number))

    def _on_late(self, which: tuple[PendingRequest, int]) -> None:
        """Give up a request whose attempt is lost: beyond the objective, and far beyond the mean."""
        pending, number = which
        attempt = pending.in_flight.get(number)
        if (
            attempt
            and not pending.is_streaming
            and self.latencies.is_presumed_lost(pending, attempt.started_ms)
        ):
            self._answer(pending, AnswerReason.ATTEMPT_LOST)

    def _on_outcome(self, event: events.Outcome) -> None:
        pending = self.requests.get(event.request_id)
        if pending is None or event.attempt not in pending.in_flight:
            return
        attempt = pending.end_attempt(event.attempt, event.status)
        self.concurrency.on_end(event.request_id, event.attempt)
        self._notify_peer(pending)
        self._eject(self.outliers.on_outcome(pending, attempt.endpoint, event.status))
        if event.usage_percent is not None:
            self._on_usage_report(pending, event.usage_percent / 100.0)
        self.balancer.on_load_report(attempt.endpoint, event.load)
        if event.status is AttemptStatus.OK:
            self._on_response(pending, attempt.endpoint, event)
        if event.closed or event.status is AttemptStatus.OK:
            pending.is_closed = True
        if not pending.is_closed:
            may_retry = self.retries.on_failure(pending, event.status, attempt)
            self._retry_or_answer(pending, may_retry, event.status is AttemptStatus.CONNECT_FAILED)
        self._drop_if_done(pending)
        self._release_queued()

    def _on_response(self, pending: PendingRequest, endpoint: EndpointState, event: events.Outcome) -> None:
        latency_ms = event.latency_ms - self.latencies.size_extra_ms(pending)
        self.concurrency.on_response(pending.request_class, latency_ms)
        self.balancer.on_response(pending.request_class, endpoint, latency_ms)
        self.latencies.record(pending, endpoint, event.latency_ms)
        if event.final_units is not None and not pending.is_closed:
            self._settle(pending, event.final_units)

    def _on_usage_report(self, pending: PendingRequest, usage: float) -> None:
        customer = pending.customer
        self.admission.on_usage_report(customer, pending.plan, usage)
        customer.usage = usage
        customer.usage_at_ms = self.clock.now_ms
        self.in_flight_limit.on_usage_report(customer, usage)

    def _retry_or_answer(self, pending: PendingRequest, may_retry: bool, is_free: bool) -> None:
        if pending.in_flight or pending.is_streaming:
            return
        endpoint = self._choose(pending) if may_retry else None
        if endpoint:
            self._start(pending, endpoint, is_free)
        else:
            self._answer(pending, AnswerReason.NO_FURTHER_ATTEMPT)

    def _answer(self, pending: PendingRequest, reason: AnswerReason) -> None:
        """The final answer: a rejection where a retry is harmless, else a failure."""
        if pending.is_closed:
            return
        request_id = pending.request.request_id
        if is_retry_harmless(pending):
            self.actions.append(actions.Reject(request_id, reason=reason))
        else:
            self.actions.append(actions.Fail(request_id, reason))
        self._close(pending)

    def _close(self, pending: PendingRequest) -> None:
        pending.is_closed = True
        self._cancel_attempts(pending)
        self._drop_if_done(pending)

    def _cancel_attempts(self, pending: PendingRequest, kept: int | None = None) -> None:
        if self.settings.limits.can_cancel:
            numbers = [number for number in pending.in_flight if number != kept]
            self.actions.extend(actions.CancelAttempt(pending.request.request_id, n) for n in numbers)

    def _drop_if_done(self, pending: PendingRequest) -> None:
        """Forget a request that is answered; one that was never delivered leaves no excess."""
        if not pending.is_closed:
            return
        request_id = pending.request.request_id
        self.queue.discard(request_id)
        if not pending.in_flight and request_id in self.requests:
            del self.requests[request_id]
            if not pending.was_delivered:
                self._settle(pending, 0.0)
            self.timers.drop(pending)

    def _settle(self, pending: PendingRequest, final_units: float) -> None:
        self._notify_peer(pending, self.bucket.settle(pending, final_units))

    def _arm_deadline(self, pending: PendingRequest) -> None:
        """Set the timer of the final answer: before the client's deadline, and before the process ends."""
        pending.deadline_ms = min(pending.deadline_ms, self.ends_at_ms)
        time_left_ms = pending.deadline_ms - self.clock.now_ms - ANSWER_TICKS * self.settings.tick_ms
        self._arm(max(0.0, time_left_ms), self._on_deadline, pending, pending)

    def _on_deadline(self, pending: PendingRequest) -> None:
        if not pending.is_streaming:
            self._answer(pending, AnswerReason.DEADLINE)

    def _on_client_disconnected(self, event: events.ClientDisconnected) -> None:
        pending = self.requests.get(event.request_id)
        if pending and not pending.is_closed:
            self._close(pending)

    def _on_stream_started(self, event: events.StreamStarted) -> None:
        """The client gets this attempt's reply; the others are not waited for."""
        pending = self.requests.get(event.request_id)
        if pending:
            pending.is_streaming = True
            self._cancel_attempts(pending, kept=event.attempt)

    def _on_shutdown_started(self, event: events.ShutdownStarted) -> None:
        """Answer requests before the end whose clients would wait for longer."""
        self.ends_at_ms = self.clock.now_ms + event.within_ms
        for pending in list(self.requests.values()):
            if not pending.is_closed and pending.deadline_ms > self.ends_at_ms:
                self._arm_deadline(pending)

    def _on_health_check(self, event: events.HealthCheckResult) -> None:
        endpoint = self.endpoints.by_id.get(event.server)
        if endpoint:
            self.balancer.on_load_report(endpoint, event.load)

    def _on_endpoint_update(self, event: events.EndpointUpdate) -> None:
        is_stale = event.kind in (UpdateKind.CACHED, UpdateKind.FAILED)
        if is_stale and self.settings.discovery is DiscoveryMode.ASK:
            retry_ms = self.settings.contract.poll_deadline_ms * POLL_SHARE
            delay_ms = 0.0 if event.kind is UpdateKind.CACHED else retry_ms
            self.actions.append(self.timers.arm(delay_ms, self._subscribe, None))
        if event.kind is UpdateKind.FAILED:
            return
        self.endpoints.update(event)
        if event.kind is UpdateKind.CACHED or not self.concurrency.limit:  # the first update may be empty
            self.concurrency.set_initial(self.endpoints.listed_count, self.settings.gateways)
        self._release_queued()

    def _eject(self, outlier: DetectedOutlier | None) -> None:
        if outlier:
            self.endpoints.replace(outlier.endpoint)
            server, scope = outlier.endpoint.id, outlier.key or "all"
            self._log_once(f"outlier detected server={server} scope={scope!r} reason={outlier.reason}")

    def _on_detach(self, event: events.DetachServer, since_ms: float | None = None) -> None:
        if self.endpoints.detach(event.server, since_ms):
            self._log(f"server detached server={event.server}")
        self.actions.append(actions.SetServerDetached(event.server, True))

    def _on_attach(self, event: events.AttachServer) -> None:
        self.actions.append(actions.SetServerDetached(event.server, False))
        if self.endpoints.attach(event.server):
            self._log(f"server attached server={event.server}")
            self._release_queued()

    def _notify_peer(self, pending: PendingRequest, excess_change: float = 0.0) -> None:
        """Tell the other process what a customer has in flight here: limits hold over both."""
        if self.has_peer_process:
            plan, customer = pending.request.plan, pending.request.customer
            usage = events.PeerProcessUsage(plan, customer, pending.customer.in_flight, excess_change)
            self.actions.append(actions.NotifyPeerProcess(usage))

    def _on_export(self, _: events.ExportState) -> None:
        self.has_peer_process = True
        state = EngineState(
            customers=self.customers,
            endpoints={number: endpoint.export() for number, endpoint in self.endpoints.by_id.items()},
            failures=self.failures.totals,
            attempts=self.clock.attempts,
            admitted_shares=self.admission.admitted_shares,
            concurrency_limit=self.concurrency.limit,
            retry_tokens=self.retries.tokens,
            started_at_ms=self.clock.started_at_ms,
            detached=self.endpoints.detached,
            attached=self.endpoints.attached,
            latencies=self.latencies.means,
        )
        self.actions.append(actions.StateSnapshot(state.to_json()))

    def _on_restore(self, event: events.RestoreState) -> None:
        """Take over what the process before has left; all of it, or none if any is malformed."""
        state = EngineState.from_json(event.state, self.settings, self.clock.now_ms)
        self.has_peer_process = True
        self.customer_table.by_key = state.customers
        self.failures.totals = state.failures
        self.clock.restore(state.attempts, state.started_at_ms)
        self.concurrency.restore(state.concurrency_limit)
        self.retries.restore(state.retry_tokens)
        self.admission.restore(state.admitted_shares)
        self.latencies.means.update(state.latencies)
        self.endpoints.restore(state.endpoints, state.attached)
        for number, since_ms in state.detached.items():
            self._on_detach(events.DetachServer(number), since_ms)
        self._log(f"state restored customers={len(state.customers)} detached={len(state.detached)}")

    def _on_peer_usage(self, event: events.PeerProcessUsage) -> None:
        customer = self.customers.get((event.plan, event.customer))
        if customer:
            customer.peer_in_flight = event.in_flight
            self.bucket.adjust(customer, event.excess_change)
            self._release_queued()

    def _on_peer_exited(self, _: events.PeerProcessExited) -> None:
        self.has_peer_process = False
        for customer in self.customers.values():
            customer.peer_in_flight = 0
        self._release_queued()

    def _arm(self, delay_ms: float, call: TimerCallback, argument: object, pending: PendingRequest) -> None:
        self.actions.append(self.timers.arm(delay_ms, call, argument, pending))

    def _subscribe(self, _: None) -> None:
        self.actions.append(actions.Subscribe(True))

    def _log(self, text: str) -> None:
        self.actions.append(actions.LogMessage(text))

    def _log_once(self, text: str) -> None:
        if text not in self.logged and len(self.logged) < MAX_LOGGED_ONCE:
            self.logged.add(text)
            self._log(text)
