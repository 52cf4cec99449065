"""Admission: decides whether a request is admitted, delayed or rejected.

See docs/decisions/admission.md.
"""

from typing import NamedTuple

from quota_gateway.model.actions import AnswerReason
from quota_gateway.model.customer_state import CustomerState
from quota_gateway.model.events import Request
from quota_gateway.model.pending_request import PendingRequest
from quota_gateway.model.settings import Plan, RequestClass, Settings
from quota_gateway.policy.decision_log import DecisionLog
from quota_gateway.policy.mechanisms import Mechanisms


class Admitted(NamedTuple):
    """The request is admitted, and scheduled after ``delay_ms``, which is 0 for no delay."""

    pending: PendingRequest
    delay_ms: float


class Rejected(NamedTuple):
    """The request is rejected.

    Attributes:
        reason: Why the request is rejected.
        retry_after_ms: Time after which the client may retry; None means no Retry-After is sent.
    """

    reason: AnswerReason
    retry_after_ms: float | None = None


class Admission:
    """Checks a request against the settings, the quota and the leaky bucket, in this order."""

    def __init__(self, settings: Settings, mechanisms: Mechanisms, log: DecisionLog) -> None:
        self._classes = {item.name: item for item in settings.classes}
        self._plans = {item.name: item for item in settings.plans}
        self._clock = mechanisms.clock
        self._random = mechanisms.random
        self._customers = mechanisms.customers
        self._quota = mechanisms.quota
        self._unknown_customers = mechanisms.unknown_customers
        self._bucket = mechanisms.bucket
        self._in_flight_limit = mechanisms.in_flight_limit
        self._latencies = mechanisms.latencies
        self._log = log

    def admit(self, request: Request) -> Admitted | Rejected:
        """Decide on an arriving request; an admitted one is charged to its customer."""
        request_class = self._classes.get(request.class_name)
        plan = self._plans.get(request.plan)
        if request_class is None or plan is None:
            return self._reject_unknown(request)
        customer = self._customers.use(request, plan)
        rejected = self._check_quota(request, plan, customer)
        return rejected or self._check_bucket(request, request_class, plan, customer)

    def _reject_unknown(self, request: Request) -> Rejected:
        self._log.log_message_once(
            f"request rejected reason=unknown class={request.class_name!r} plan={request.plan!r}"
        )
        return Rejected(AnswerReason.UNKNOWN_CLASS_OR_PLAN)

    def _check_quota(self, request: Request, plan: Plan, customer: CustomerState) -> Rejected | None:
        if request.is_retry and self._quota.share_is_below_one_request(customer, plan):
            return Rejected(AnswerReason.RETRY_BELOW_ONE_REQUEST)
        if not self._unknown_customers.admits(customer, plan):
            return Rejected(AnswerReason.UNKNOWN_CUSTOMER)
        return None

    def _check_bucket(
        self, request: Request, request_class: RequestClass, plan: Plan, customer: CustomerState
    ) -> Admitted | Rejected:
        random_draw = self._random.random()
        now_ms = self._clock.now_ms
        pending = PendingRequest(request, request_class, plan, customer, now_ms, random_draw)
        mean_ms = self._latencies.mean_ms(pending)
        delay_ms = self._bucket.offer(pending, mean_ms)
        if delay_ms is None:
            latest_start_ms = self._latencies.latest_start_ms(pending)
            retry_after_ms = self._bucket.retry_after_ms(pending, mean_ms, latest_start_ms)
            return Rejected(AnswerReason.OVER_QUOTA, retry_after_ms)
        pending.is_contended = self._in_flight_limit.on_arrival(customer, plan)
        return Admitted(pending, delay_ms)
