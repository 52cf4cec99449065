"""The state of an endpoint as one gateway sees it, and the records of its statistics."""

from __future__ import annotations

from math import inf
from typing import NamedTuple

from quota_gateway.model.events import Endpoint, EndpointLifecycle


class Moment(NamedTuple):
    """The time stamp of a statistic: clock time, and the number of attempts that this gateway had started."""

    at_ms: float
    attempts: int


class FailureRecord(NamedTuple):
    """Counts of failures and of all outcomes, both decayed exponentially, as of ``updated``."""

    failures: float
    outcomes: float
    updated: Moment


class LatencyMean(NamedTuple):
    """The mean latency of requests of one class and size, and the number of responses in it."""

    mean_ms: float
    responses: int


class DetachmentPeriod(NamedTuple):
    """The clock times at which operators detached an endpoint and attached it again."""

    since_ms: float
    until_ms: float


NEVER = Moment(-inf, 0)
NO_RECORD = FailureRecord(0.0, 0.0, NEVER)


class EndpointRecord(NamedTuple):
    """The state of an endpoint that is handed over to the next process: its start and its statistics."""

    started_ms: float
    relative_latency: float
    relative_latency_at: Moment
    failures: dict[str, FailureRecord]


class EndpointState:
    """The state of one endpoint, as this gateway sees it.

    Attributes:
        id: Number of the endpoint, unique in this process.
        zone: Zone of the endpoint.
        cell: The group of endpoints that share idempotency keys, within the zone.
        started_ms: Clock time of the last start, 0 if long past.
        distance: Distance from this gateway, from 0 to 1, see ``Subset.distance``.
        in_flight: Attempts in flight, as pairs of request id and attempt number.
        relative_latency: Latency divided by the mean of the requests' class and size; 1 on average.
        relative_latency_at: Time of the last update of ``relative_latency``.
        queue_length: Number of queued requests that the endpoint last reported.
        queue_length_at: Time of the report of ``queue_length``.
        failures: Failure records by key: "" for all requests, or a class, or a class of a plan.
        is_listed: Whether discovery lists the endpoint as ready.
        is_ready: Whether the endpoint may be sent requests: it is listed and not detached.
    """

    __slots__ = (
        "cell",
        "distance",
        "failures",
        "id",
        "in_flight",
        "is_listed",
        "is_ready",
        "queue_length",
        "queue_length_at",
        "relative_latency",
        "relative_latency_at",
        "started_ms",
        "zone",
    )

    def __init__(self, endpoint: Endpoint, distance: float) -> None:
        self.id = endpoint.server
        self.distance = distance
        self.in_flight: set[tuple[str, int]] = set()
        self.reset()
        self.update(endpoint)

    def reset(self) -> None:
        """Reset the statistics, as the endpoint has restarted."""
        self.relative_latency = 1.0
        self.relative_latency_at = NEVER
        self.queue_length = 0.0
        self.queue_length_at = NEVER
        self.failures: dict[str, FailureRecord] = {}

    def update(self, endpoint: Endpoint) -> None:
        """Apply the entry of the endpoint in an update from discovery."""
        self.zone = endpoint.zone
        self.cell = endpoint.cell
        self.started_ms = endpoint.started_ms
        self.is_listed = endpoint.state is EndpointLifecycle.READY
        self.is_ready = self.is_listed

    def export(self) -> EndpointRecord:
        """Return the record that is handed over to the next process."""
        return EndpointRecord(self.started_ms, self.relative_latency, self.relative_latency_at, self.failures)

    def restore(self, record: EndpointRecord) -> None:
        """Restore the record of the previous process, and keep the later of the two start times."""
        self.started_ms = max(self.started_ms, record.started_ms)
        self.relative_latency = record.relative_latency
        self.relative_latency_at = record.relative_latency_at
        self.failures = record.failures


Endpoints = list[EndpointState]


class DetectedOutlier(NamedTuple):
    """An endpoint that fails too often, the key of its failure record, and how its last attempt failed."""

    endpoint: EndpointState
    key: str
    reason: str
