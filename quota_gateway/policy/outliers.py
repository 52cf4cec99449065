"""Failure rates of endpoints, and detection of outliers: docs/decisions/outliers.md."""

from quota_gateway.model.endpoint_state import NO_RECORD, DetectedOutlier, EndpointState, FailureRecord
from quota_gateway.model.events import AttemptStatus
from quota_gateway.model.pending_request import PendingRequest
from quota_gateway.policy.clock import DecayClock

PRIOR_OUTCOMES = 1.0  # outcomes that the rate seen at all endpoints weighs against an endpoint's own
OUTLIER_RATE = 0.5  # failure rate from which a slow attempt is taken elsewhere, and a line is logged


class FailureTracker:
    """Failure rates with exponential decay: of each endpoint by key, and of all together."""

    def __init__(self, clock: DecayClock) -> None:
        self._clock = clock
        self.totals: dict[str, FailureRecord] = {}  # over all endpoints; what is of no class by zone

    def record(self, endpoint: EndpointState, key: str, failed: bool) -> None:
        """Note how an attempt went, for its endpoint and for all."""
        for records, name in ((endpoint.failures, key), (self.totals, key or endpoint.zone)):
            failures, outcomes, updated = records.get(name, NO_RECORD)
            remaining = self._clock.remaining(updated)
            failures = failures * remaining + failed
            records[name] = FailureRecord(failures, outcomes * remaining + 1.0, self._clock.moment())

    def failure_rate(self, endpoint: EndpointState, key: str) -> float:
        """The rate expected at an endpoint: its own, and that of all while it shows little."""
        all_failures, all_outcomes, _ = self.totals.get(key or endpoint.zone, NO_RECORD)
        prior = PRIOR_OUTCOMES * all_failures / (all_outcomes + 1.0)
        failures, outcomes, updated = endpoint.failures.get(key, NO_RECORD)
        remaining = self._clock.remaining(updated) if outcomes else 0.0
        return (failures * remaining + prior) / (outcomes * remaining + PRIOR_OUTCOMES)


class OutlierDetector:
    """Which endpoints fail too often, for all requests or for those of a class or plan."""

    def __init__(self, failures: FailureTracker) -> None:
        self._failures = failures

    def failure_probability(self, pending: PendingRequest, endpoint: EndpointState) -> float:
        """How likely the request fails there."""
        return max([self._failures.failure_rate(endpoint, key) for key in pending.failure_keys])

    def is_outlier(self, endpoint: EndpointState) -> bool:
        """Whether it fails too often under any key."""
        return any(self.is_outlier_under_key(endpoint, key) for key in endpoint.failures)

    def is_outlier_under_key(self, endpoint: EndpointState, key: str) -> bool:
        """Whether it fails too often under this key."""
        return self._failures.failure_rate(endpoint, key) >= OUTLIER_RATE

    def on_outcome(
        self, pending: PendingRequest, endpoint: EndpointState, status: AttemptStatus
    ) -> DetectedOutlier | None:
        """Note an outcome; a failure that makes the endpoint an outlier is returned."""
        keys = pending.failure_keys
        if status is AttemptStatus.OK:
            for key in keys:
                self._failures.record(endpoint, key, failed=False)
        elif status is AttemptStatus.ERROR:
            return self._on_failure(endpoint, keys.request_class, status.value)
        elif status is AttemptStatus.OVERLOADED and not pending.had_error:  # else the request is over
            return self._on_failure(endpoint, keys.class_of_plan, status.value)
        elif status in (AttemptStatus.CONNECT_FAILED, AttemptStatus.RESET):
            return self._on_failure(endpoint, keys.all_requests, status.value)
        return None

    def on_slow_attempt(self, pending: PendingRequest, endpoint: EndpointState) -> DetectedOutlier | None:
        """Note an attempt that is still in flight when it is slow, before its outcome tells."""
        return self._on_failure(endpoint, pending.failure_keys.request_class, "silent")

    def _on_failure(self, endpoint: EndpointState, key: str, reason: str) -> DetectedOutlier | None:
        self._failures.record(endpoint, key, failed=True)
        return DetectedOutlier(endpoint, key, reason) if self.is_outlier_under_key(endpoint, key) else None
