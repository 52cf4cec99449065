"""Failure rates of endpoints, and detection of outliers: docs/decisions/outliers.md."""

from collections.abc import Callable

from quota_gateway.model.endpoint_state import NO_RECORD, DetectedOutlier, EndpointState, FailureRecord
from quota_gateway.model.events import AttemptStatus
from quota_gateway.model.pending_request import FailureKeys, PendingRequest
from quota_gateway.policy.clock import DecayClock

# Weight of the failure rate over all endpoints in the rate expected at one endpoint.
PRIOR_WEIGHT_OUTCOMES = 1.0
# Lowest failure rate of an outlier, in failures per outcome, from 0 to 1.
OUTLIER_FAILURE_RATE = 0.5
SLOW_ATTEMPT_REASON = "silent"  # reason logged for a slow attempt in flight, which has no status yet

#: The key under which a failed attempt is counted, by its status: the narrowest key that the status gives
#: evidence for. A status that is not listed is no evidence about the endpoint. A successful response is
#: counted under all keys of its request.
FAILURE_KEY_BY_STATUS: dict[AttemptStatus, Callable[[FailureKeys], str]] = {
    AttemptStatus.CONNECT_FAILED: lambda keys: keys.all_requests,
    AttemptStatus.RESET: lambda keys: keys.all_requests,
    AttemptStatus.ERROR: lambda keys: keys.request_class,
    AttemptStatus.OVERLOADED: lambda keys: keys.class_of_plan,
}


class FailureTracker:
    """Tracks failure rates by key, of each endpoint and over all endpoints, with exponential decay.

    Attributes:
        totals: Records over all endpoints, by key. Instead of one record of all requests, under the key "",
            there is one for each zone, under the name of the zone.
    """

    def __init__(self, clock: DecayClock) -> None:
        self._clock = clock
        self.totals: dict[str, FailureRecord] = {}

    def record(self, endpoint: EndpointState, key: str, failed: bool) -> None:
        """Add an outcome to the record of its endpoint and to the record over all endpoints."""
        self._add_outcome(endpoint.failures, key, failed)
        self._add_outcome(self.totals, key or endpoint.zone, failed)

    def _add_outcome(self, records: dict[str, FailureRecord], key: str, failed: bool) -> None:
        record = records.get(key, NO_RECORD)
        remaining = self._clock.remaining(record.updated)
        failures = record.failures * remaining + failed
        outcomes = record.outcomes * remaining + 1.0
        records[key] = FailureRecord(failures, outcomes, self._clock.moment())

    def failure_rate(self, endpoint: EndpointState, key: str) -> float:
        """Return the failures per outcome expected at an endpoint, from 0 to 1.

        The rate over all endpoints serves as a prior, which weighs most while the endpoint has few recent
        outcomes. The prior includes one extra success, so that it is defined, and low, while little is known.
        """
        all_failures, all_outcomes, _ = self.totals.get(key or endpoint.zone, NO_RECORD)
        prior_rate = all_failures / (all_outcomes + 1.0)
        failures, outcomes, updated = endpoint.failures.get(key, NO_RECORD)
        remaining = self._clock.remaining(updated) if outcomes else 0.0
        expected_failures = failures * remaining + PRIOR_WEIGHT_OUTCOMES * prior_rate
        return expected_failures / (outcomes * remaining + PRIOR_WEIGHT_OUTCOMES)


class OutlierDetector:
    """Detects endpoints that fail too often: for all requests, for a class, or for a class under a plan."""

    def __init__(self, failures: FailureTracker) -> None:
        self._failures = failures

    def failure_probability(self, pending: PendingRequest, endpoint: EndpointState) -> float:
        """Return the probability that the request fails at an endpoint: the highest rate under its keys."""
        return max([self._failures.failure_rate(endpoint, key) for key in pending.failure_keys])

    def is_outlier(self, endpoint: EndpointState) -> bool:
        """Return whether the endpoint fails too often under any key."""
        return any(self.is_outlier_under_key(endpoint, key) for key in endpoint.failures)

    def is_outlier_under_key(self, endpoint: EndpointState, key: str) -> bool:
        """Return whether the endpoint fails too often under this key."""
        return self._failures.failure_rate(endpoint, key) >= OUTLIER_FAILURE_RATE

    def on_outcome(
        self, pending: PendingRequest, endpoint: EndpointState, status: AttemptStatus
    ) -> DetectedOutlier | None:
        """Record the outcome of an attempt; after a failure, return the endpoint if it is an outlier."""
        if status is AttemptStatus.OK:
            for key in pending.failure_keys:
                self._failures.record(endpoint, key, failed=False)
            return None
        if status is AttemptStatus.OVERLOADED and pending.had_error:
            return None  # after an error elsewhere, any endpoint may reject the request, whatever its load
        failure_key = FAILURE_KEY_BY_STATUS.get(status)
        return (
            self._on_failure(endpoint, failure_key(pending.failure_keys), status.value)
            if failure_key
            else None
        )

    def on_slow_attempt(self, pending: PendingRequest, endpoint: EndpointState) -> DetectedOutlier | None:
        """Record a slow attempt in flight as a failure; return the endpoint if it is an outlier."""
        return self._on_failure(endpoint, pending.failure_keys.request_class, SLOW_ATTEMPT_REASON)

    def _on_failure(self, endpoint: EndpointState, key: str, reason: str) -> DetectedOutlier | None:
        self._failures.record(endpoint, key, failed=True)
        return DetectedOutlier(endpoint, key, reason) if self.is_outlier_under_key(endpoint, key) else None
