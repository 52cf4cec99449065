"""Writes and reads the state snapshot that one process of a gateway passes to the next, as JSON.

The format of the JSON is fixed, as other versions read and write it too. ``JSON_KEYS`` has its keys, and the
classes named ``...Row`` have the columns of its rows.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from quota_gateway.errors import StateError
from quota_gateway.model.customer_state import CustomerState
from quota_gateway.model.endpoint_state import (
    DetachmentPeriod,
    EndpointRecord,
    FailureRecord,
    LatencyMean,
    Moment,
)
from quota_gateway.model.pending_request import ExecutedRequest
from quota_gateway.model.settings import Settings

#: The JSON key of each field of ``EngineState``, in the order in which the fields are written.
JSON_KEYS = {
    "customers": "customers",
    "endpoints": "servers",
    "failures": "marks",
    "attempts": "sends",
    "admitted_shares": "open",
    "concurrency_limit": "pool",
    "retry_tokens": "retries",
    "started_at_ms": "started_at",
    "detached": "barred",
    "attached": "attached",
    "latencies": "latency",
    "executed": "executed",
}
#: Default values of the fields that older versions do not write.
DEFAULTS: dict[str, Any] = {"admitted_shares": {}, "executed": []}
#: Fields that are not written if they have their default value.
OPTIONAL_FIELDS = frozenset({"executed"})


class CustomerRow(NamedTuple):
    """The columns of a customer's row."""

    plan: str
    customer: str
    in_flight: int
    excess: float
    excess_at_ms: float
    largest_units: float
    gateway_set_size: int
    usage: float
    usage_at_ms: float
    contended_until_ms: float
    recent_demand: float
    recent_demand_at_ms: float
    ceiling_level: float
    ceiling_at_ms: float


class EndpointRow(NamedTuple):
    """The columns of an endpoint's row. Later versions may append others."""

    server: int
    started_ms: float
    relative_latency: float
    relative_latency_at: list[float]
    failures: dict[str, FailureRecord]


class AttachedRow(NamedTuple):
    """The columns of the row of an endpoint attached again. Later versions may append others."""

    server: int
    since_ms: float
    until_ms: float


class ExecutedRow(NamedTuple):
    """The columns of the row of a request that may have run. Later versions may append others."""

    request_id: str
    arrived_ms: float
    ended_ms: float


@dataclass(frozen=True, slots=True)
class EngineState:
    """The state that the next process needs so that both processes together keep every limit.

    Attributes:
        customers: Customers by plan and name. In a state read from JSON, attempts in flight count as those of
            the peer process.
        endpoints: Endpoints by number.
        failures: Failure records over all endpoints, see ``FailureTracker.totals``.
        attempts: Number of attempts started so far.
        admitted_shares: Admitted share of unknown customers, by plan.
        concurrency_limit: Limit on attempts in flight; infinite before the first endpoint update.
        retry_tokens: Tokens in the retry budget; a retry costs one.
        started_at_ms: Clock time of the gateway's first event.
        detached: Clock time at which operators detached an endpoint, by number.
        attached: Last detachment period of each endpoint that operators have attached again, by number.
        latencies: Mean latencies by class and size.
        executed: Requests that may have run, or may yet run in the process that exports, by id.
    """

    customers: dict[tuple[str, str], CustomerState]
    endpoints: dict[int, EndpointRecord]
    failures: dict[str, FailureRecord]
    attempts: int
    admitted_shares: dict[str, float]
    concurrency_limit: float
    retry_tokens: float
    started_at_ms: float
    detached: dict[int, float]
    attached: dict[int, DetachmentPeriod]
    latencies: dict[str, dict[int, LatencyMean]]
    executed: dict[str, ExecutedRequest]

    def to_json(self) -> dict[str, Any]:
        """Return the state as plain values that can be written as JSON."""
        values = {
            "customers": [_customer_to_row(*item) for item in self.customers.items()],
            "endpoints": [_endpoint_to_row(*item) for item in self.endpoints.items()],
            "failures": self.failures,
            "attempts": self.attempts,
            "admitted_shares": self.admitted_shares,
            "concurrency_limit": self.concurrency_limit,
            "retry_tokens": self.retry_tokens,
            "started_at_ms": self.started_at_ms,
            "detached": list(self.detached.items()),
            "attached": [[server, *period] for server, period in self.attached.items()],
            "latencies": {
                class_name: [[size, *mean] for size, mean in means.items()]
                for class_name, means in self.latencies.items()
            },
            "executed": [[request_id, *executed] for request_id, executed in self.executed.items()],
        }
        return {
            key: values[field]
            for field, key in JSON_KEYS.items()
            if field not in OPTIONAL_FIELDS or values[field] != DEFAULTS[field]
        }

    @classmethod
    def from_json(cls, state: dict[str, Any], settings: Settings, now_ms: float) -> EngineState:
        """Read the state that another process exported; plans and classes not known here are ignored.

        Args:
            state: The result of ``to_json``, which another version may have written.
            settings: Settings of this process.
            now_ms: Current time by the clock of this process. Past events with a later time are read as now.

        Raises:
            StateError: A part of the state is malformed.
        """
        try:
            values = {
                field: state.get(key, DEFAULTS[field]) if field in DEFAULTS else state[key]
                for field, key in JSON_KEYS.items()
            }
            return _SnapshotReader(settings, now_ms).read(values)
        except StateError:
            raise
        except (KeyError, IndexError, TypeError, AttributeError, OverflowError, ValueError) as error:
            raise StateError(f"state snapshot is malformed: {error!r}") from error


def _customer_to_row(key: tuple[str, str], customer: CustomerState) -> list[Any]:
    plan, name = key
    row = CustomerRow(
        plan=plan,
        customer=name,
        in_flight=customer.total_in_flight(),
        excess=customer.excess,
        excess_at_ms=customer.excess_at_ms,
        largest_units=customer.largest_units,
        gateway_set_size=customer.gateway_set_size,
        usage=customer.usage,
        usage_at_ms=customer.usage_at_ms,
        contended_until_ms=customer.contended_until_ms,
        recent_demand=customer.recent_demand,
        recent_demand_at_ms=customer.recent_demand_at_ms,
        ceiling_level=customer.ceiling_level,
        ceiling_at_ms=customer.ceiling_at_ms,
    )
    return list(row)


def _endpoint_to_row(server: int, record: EndpointRecord) -> list[Any]:
    row = EndpointRow(
        server=server,
        started_ms=record.started_ms,
        relative_latency=record.relative_latency,
        relative_latency_at=list(record.relative_latency_at),
        failures=record.failures,
    )
    return list(row)


class _SnapshotReader:
    """Reads the parts of a snapshot with the settings and the clock of this process."""

    def __init__(self, settings: Settings, now_ms: float) -> None:
        self._plans = {plan.name for plan in settings.plans}
        self._classes = [item.name for item in settings.classes]
        self._gateways = settings.gateways
        self._now_ms = now_ms

    def read(self, values: dict[str, Any]) -> EngineState:
        """Read the JSON values of all fields."""
        return EngineState(
            customers=self._customers(values["customers"]),
            endpoints=self._endpoints(values["endpoints"]),
            failures=self._failures(values["failures"]),
            attempts=int(values["attempts"]),
            admitted_shares=self._admitted_shares(values["admitted_shares"]),
            concurrency_limit=_number(values["concurrency_limit"]),
            retry_tokens=_number(values["retry_tokens"]),
            started_at_ms=self._past_ms(values["started_at_ms"]),
            detached=self._detached(values["detached"]),
            attached=self._attached(values["attached"]),
            latencies=self._latencies(values["latencies"]),
            executed=self._executed(values["executed"]),
        )

    def _customers(self, rows: Any) -> dict[tuple[str, str], CustomerState]:
        known_rows = [CustomerRow(*row) for row in rows if row[0] in self._plans]
        return {(row.plan, row.customer): self._customer(row) for row in known_rows}

    def _customer(self, row: CustomerRow) -> CustomerState:
        customer = CustomerState(self._now_ms, 0.0)
        customer.peer_in_flight = max(0, int(row.in_flight))
        customer.excess = _number(row.excess)
        customer.excess_at_ms = self._past_ms(row.excess_at_ms)
        customer.largest_units = _number(row.largest_units)
        customer.gateway_set_size = min(max(1, int(_number(row.gateway_set_size))), self._gateways)
        customer.usage = _number(row.usage)
        customer.usage_at_ms = self._past_ms(row.usage_at_ms)
        customer.contended_until_ms = _number(row.contended_until_ms)
        customer.recent_demand = _number(row.recent_demand)
        customer.recent_demand_at_ms = self._past_ms(row.recent_demand_at_ms)
        customer.ceiling_level = _number(row.ceiling_level)
        customer.ceiling_at_ms = self._past_ms(row.ceiling_at_ms)
        return customer

    def _endpoints(self, rows: Any) -> dict[int, EndpointRecord]:
        typed_rows = [EndpointRow(*row[: len(EndpointRow._fields)]) for row in rows]
        return {row.server: self._endpoint(row) for row in typed_rows}

    def _endpoint(self, row: EndpointRow) -> EndpointRecord:
        return EndpointRecord(
            started_ms=self._past_ms(row.started_ms),
            relative_latency=_number(row.relative_latency),
            relative_latency_at=self._moment(row.relative_latency_at),
            failures=self._failures(row.failures),
        )

    def _failures(self, records: Any) -> dict[str, FailureRecord]:
        return {
            str(key): FailureRecord(_number(failures), _number(outcomes), self._moment(updated))
            for key, (failures, outcomes, updated) in records.items()
        }

    def _admitted_shares(self, shares: Any) -> dict[str, float]:
        return {plan: _number(share) for plan, share in shares.items() if plan in self._plans}

    def _detached(self, rows: Any) -> dict[int, float]:
        return {int(server): self._past_ms(since_ms) for server, since_ms in rows}

    def _attached(self, rows: Any) -> dict[int, DetachmentPeriod]:
        typed_rows = [AttachedRow(*row[: len(AttachedRow._fields)]) for row in rows]
        return {
            int(row.server): DetachmentPeriod(self._past_ms(row.since_ms), self._past_ms(row.until_ms))
            for row in typed_rows
        }

    def _latencies(self, rows_by_class: Any) -> dict[str, dict[int, LatencyMean]]:
        return {
            class_name: {
                int(size): LatencyMean(_number(mean_ms), int(responses))
                for size, mean_ms, responses in rows_by_class[class_name]
            }
            for class_name in self._classes
            if class_name in rows_by_class
        }

    def _executed(self, rows: Any) -> dict[str, ExecutedRequest]:
        typed_rows = [ExecutedRow(*row[: len(ExecutedRow._fields)]) for row in rows]
        return {
            str(row.request_id): ExecutedRequest(self._past_ms(row.arrived_ms), self._past_ms(row.ended_ms))
            for row in typed_rows
        }

    def _moment(self, value: Any) -> Moment:
        return Moment(self._past_ms(value[0]), int(value[1]))

    def _past_ms(self, value: Any) -> float:
        """Read a clock time; a time ahead of this process's clock is read as now."""
        return min(self._now_ms, _number(value))


def _number(value: Any) -> float:
    """Read a number, which may be infinite.

    Raises:
        StateError: The value is not a number.
    """
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value != value:
        raise StateError(f"state snapshot is malformed: {value!r} is not a number")
    return value
