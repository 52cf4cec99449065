"""Tests of the rules without an engine: admission, scheduling, retries, hedged requests and giving up."""

from dataclasses import replace
from random import Random

import pytest

from quota_gateway import (
    AnswerReason,
    AttemptStatus,
    Endpoint,
    EndpointUpdate,
    LogMessage,
    Request,
    ShutdownStarted,
    UpdateKind,
)
from quota_gateway.model.pending_request import PendingRequest, RequestState
from quota_gateway.policy.admission import Admission, Admitted, Rejected
from quota_gateway.policy.decision_log import DecisionLog
from quota_gateway.policy.give_up import GiveUp, GiveUpRules, Shed
from quota_gateway.policy.mechanisms import Mechanisms
from quota_gateway.policy.request_lifecycle import ANSWER, DELAY, ENQUEUE, START_ATTEMPT, START_STREAM
from quota_gateway.policy.retries import Hedge, InFlightDecision, Retry, RetryRules
from quota_gateway.policy.scheduling import WAIT_FOR_CAPACITY, Scheduler, StartNow, Wait
from quota_gateway.policy.shutdown import ShutdownDeadline
from tests.support.engine_harness import SETTINGS

LIMITS_WITH_HEDGING = replace(SETTINGS.limits, may_duplicate=True)


@pytest.fixture
def mechanisms() -> Mechanisms:
    """The mechanisms of a gateway that knows two endpoints, at a clock time of one second."""
    mechanisms = Mechanisms(SETTINGS, Random(1))
    mechanisms.clock.advance(1000.0)
    mechanisms.endpoints.update(EndpointUpdate(UpdateKind.SNAPSHOT, (Endpoint(1, "a"), Endpoint(2, "a"))))
    return mechanisms


@pytest.fixture
def admission(mechanisms) -> Admission:
    return Admission(SETTINGS, mechanisms, DecisionLog([]))


def make_request(plan="free", class_name="safe", name="r", **fields) -> Request:
    return Request(name, class_name, plan, "c", 4000.0, **fields)


def admit(admission: Admission, **fields) -> PendingRequest:
    decision = admission.admit(make_request(**fields))
    assert isinstance(decision, Admitted)
    return decision.pending


def start_attempt(mechanisms: Mechanisms, pending: PendingRequest, server: int = 1) -> int:
    return pending.start_attempt(mechanisms.endpoints.by_id[server], mechanisms.clock.now_ms)


def test_admission_rejects_an_unknown_class_or_plan_and_logs_it_once(mechanisms):
    output = []
    admission = Admission(SETTINGS, mechanisms, DecisionLog(output))
    for request in (make_request(plan="none"), make_request(class_name="none"), make_request(plan="none")):
        assert admission.admit(request) == Rejected(AnswerReason.UNKNOWN_CLASS_OR_PLAN)
    assert output == [
        LogMessage("request rejected reason=unknown class='safe' plan='none'"),
        LogMessage("request rejected reason=unknown class='none' plan='free'"),
    ]


def test_admission_admits_without_then_with_a_delay_then_rejects_over_quota(admission):
    decisions = [admission.admit(make_request("metered", name=str(number))) for number in range(28)]
    delays_ms = [decision.delay_ms for decision in decisions[:9]]
    assert delays_ms == [0.0] * 8 + [100.0]  # burst of 8 units, rate of 10 units per second
    assert decisions[-1] == Rejected(AnswerReason.OVER_QUOTA, retry_after_ms=None)


def test_scheduler_starts_an_attempt_if_no_limit_is_reached(mechanisms, admission):
    decision = Scheduler(mechanisms).schedule(admit(admission))
    assert isinstance(decision, StartNow)
    assert decision.endpoint.id in (1, 2)


def test_scheduler_waits_for_capacity_if_the_concurrency_limit_is_used_up(mechanisms, admission):
    pending = admit(admission)
    mechanisms.concurrency.limit = 1.0
    mechanisms.concurrency.on_start("other", 0)
    assert Scheduler(mechanisms).schedule(pending) is WAIT_FOR_CAPACITY


def test_scheduler_waits_until_the_ceiling_holds_the_units_and_gives_up_if_it_never_can(
    mechanisms, admission
):
    scheduler = Scheduler(mechanisms)
    # The ceiling is empty and refills at 10 units per second.
    assert scheduler.schedule(admit(admission, plan="ceiling")) == Wait(100.0)
    too_large = admit(admission, plan="ceiling", units=21.0)  # the ceiling holds 20 units
    assert scheduler.schedule(too_large) == GiveUp(AnswerReason.NO_CAPACITY_IN_TIME)


def test_failed_attempt_is_retried_at_an_untried_endpoint_and_free_after_a_failed_connection(
    mechanisms, admission
):
    rules, pending = RetryRules(SETTINGS.limits, mechanisms), admit(admission)
    attempt = pending.end_attempt(start_attempt(mechanisms, pending), AttemptStatus.CONNECT_FAILED)
    decision = rules.after_failure(pending, AttemptStatus.CONNECT_FAILED, attempt)
    assert decision == Retry(mechanisms.endpoints.by_id[2], is_free=True)
    attempt = pending.end_attempt(start_attempt(mechanisms, pending, 2), AttemptStatus.ERROR)
    decision = rules.after_failure(pending, AttemptStatus.ERROR, attempt)
    assert decision == GiveUp(AnswerReason.NO_FURTHER_ATTEMPT)  # both endpoints have been tried


@pytest.mark.parametrize(
    ("limits", "is_hedged"), [(LIMITS_WITH_HEDGING, True), (SETTINGS.limits, False)], ids=["hedged", "moved"]
)
def test_slow_attempt_is_hedged_or_cancelled_only_once_it_is_presumed_lost(
    mechanisms, admission, limits, is_hedged
):
    rules, pending = RetryRules(limits, mechanisms), admit(admission)
    number = start_attempt(mechanisms, pending)
    attempt = pending.in_flight[number]
    mechanisms.clock.advance(2000.0)
    assert rules.after_slowness(pending, attempt) is InFlightDecision.KEEP_WAITING
    mechanisms.clock.advance(4200.0)  # eight times the mean latency of 400 ms
    hedge = Hedge(mechanisms.endpoints.by_id[2])
    expected = hedge if is_hedged else InFlightDecision.CANCEL_AND_RETRY
    assert rules.after_slowness(pending, attempt) == expected


def test_deadline_does_not_end_a_streamed_reply(mechanisms, admission):
    rules, pending = GiveUpRules(mechanisms), admit(admission)
    assert rules.at_deadline(pending) == GiveUp(AnswerReason.DEADLINE)
    pending.state = RequestState.STREAMING
    assert rules.at_deadline(pending) is None


def test_queue_timeout_gives_up_only_while_an_endpoint_is_ready(mechanisms, admission):
    rules, pending = GiveUpRules(mechanisms), admit(admission)
    assert rules.at_queue_timeout(pending) == GiveUp(AnswerReason.QUEUE_TIMEOUT)
    for endpoint in mechanisms.endpoints.by_id.values():
        endpoint.is_ready = False
    assert rules.at_queue_timeout(pending) is None


def test_late_attempt_is_given_up_once_it_is_presumed_lost(mechanisms, admission):
    rules, pending = GiveUpRules(mechanisms), admit(admission)
    attempt = pending.in_flight[start_attempt(mechanisms, pending)]
    assert rules.on_late_attempt(pending, attempt) is None
    mechanisms.clock.advance(4200.0)
    assert rules.on_late_attempt(pending, attempt) == GiveUp(AnswerReason.ATTEMPT_PRESUMED_LOST)


def test_least_valuable_queued_request_is_shed_beyond_the_limit(mechanisms, admission):
    rules = GiveUpRules(mechanisms)
    small, large = admit(admission, name="small"), admit(admission, name="large", units=2.0)
    mechanisms.queue.add(small)
    mechanisms.queue.add(large)
    mechanisms.concurrency.limit = 2.0
    assert rules.on_enqueued() is None
    mechanisms.concurrency.limit = 1.0
    assert rules.on_enqueued() == Shed(small, AnswerReason.SHED)


def test_shutdown_bounds_deadlines_once_it_has_started(mechanisms):
    shutdown = ShutdownDeadline(mechanisms.clock)
    assert shutdown.bound(9000.0) == 9000.0
    assert not shutdown.precedes(9000.0)
    shutdown.on_shutdown_started(ShutdownStarted(500.0))
    assert shutdown.bound(9000.0) == 1500.0
    assert shutdown.bound(1200.0) == 1200.0
    assert shutdown.precedes(9000.0)


def test_an_answered_request_stays_answered():
    answered = {RequestState.ANSWERED, RequestState.ANSWERED_BY_STREAM}
    assert not answered & {*DELAY, *ENQUEUE, *START_ATTEMPT}
    assert {ANSWER[state] for state in RequestState} == answered
    assert {START_STREAM[state] for state in answered} == {RequestState.ANSWERED_BY_STREAM}
