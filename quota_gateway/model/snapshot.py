"""The state snapshot that one process of a gateway leaves to the next, to JSON and back, checked.

The shape of the JSON is fixed: the version before reads and writes it too.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from quota_gateway.errors import StateError
from quota_gateway.model.customer_state import CustomerState
from quota_gateway.model.endpoint_state import EndpointRecord, FailureRecord, Moment
from quota_gateway.model.settings import Settings

# Attributes of a customer in the order of its row, after its plan, its name and its attempts in flight
CUSTOMER_FIELDS = (
    "excess",
    "excess_at_ms",
    "largest_units",
    "gateway_set_size",
    "usage",
    "usage_at_ms",
    "contended_until_ms",
    "recent_demand",
    "recent_demand_at_ms",
    "ceiling_level",
    "ceiling_at_ms",
)


@dataclass(frozen=True, slots=True)
class EngineState:
    """All that the process that takes over has to know, so that both together keep every rule.

    Attributes:
        customers: By plan and name. Read from JSON, what was in flight is the peer process's.
        failures: Failure records over all endpoints.
        admitted_shares: By plan, the share of unknown customers that is admitted.
        detached: Endpoints that operators took out, and since when.
        attached: Endpoints attached again: since when they were out, and until when.
        latencies: By class and size, the mean latency and how many answers it is of.
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
    attached: dict[int, tuple[float, float]]
    latencies: dict[str, dict[int, tuple[float, int]]]

    def to_json(self) -> dict[str, Any]:
        """Plain values that go into JSON."""
        customers = [
            [*key, customer.total_in_flight(), *(getattr(customer, name) for name in CUSTOMER_FIELDS)]
            for key, customer in self.customers.items()
        ]
        endpoints = [
            [number, r.started_ms, r.relative_latency, list(r.relative_latency_at), r.failures]
            for number, r in self.endpoints.items()
        ]
        return {
            "customers": customers,
            "servers": endpoints,
            "marks": self.failures,
            "sends": self.attempts,
            "open": self.admitted_shares,
            "pool": self.concurrency_limit,
            "retries": self.retry_tokens,
            "started_at": self.started_at_ms,
            "barred": list(self.detached.items()),
            "attached": [[number, *times] for number, times in self.attached.items()],
            "latency": {
                name: [[size, *seen] for size, seen in means.items()]
                for name, means in self.latencies.items()
            },
        }

    @classmethod
    def from_json(cls, state: dict[str, Any], settings: Settings, now_ms: float) -> EngineState:
        """Read what another process has left; plans and classes not known here are passed over.

        Args:
            state: What ``to_json`` of this version or the one before has made.
            settings: Of this process.
            now_ms: The time by the clock of this process, which may differ a little.

        Raises:
            StateError: Any part of it is malformed.
        """
        try:
            return cls._parse(state, settings, now_ms)
        except StateError:
            raise
        except (KeyError, IndexError, TypeError, AttributeError, OverflowError, ValueError) as error:
            raise StateError(f"state snapshot is malformed: {error!r}") from error

    @classmethod
    def _parse(cls, state: dict[str, Any], settings: Settings, now_ms: float) -> EngineState:
        plans = {plan.name for plan in settings.plans}
        classes = [item.name for item in settings.classes]
        return cls(
            customers={
                (row[0], row[1]): _customer_in(row, settings.gateways, now_ms)
                for row in state["customers"]
                if row[0] in plans
            },
            endpoints={row[0]: _endpoint_in(row, now_ms) for row in state["servers"]},
            failures=_failures_in(state["marks"], now_ms),
            attempts=int(state["sends"]),
            concurrency_limit=_number_in(state["pool"]),
            retry_tokens=_number_in(state["retries"]),
            started_at_ms=_past_in(state["started_at"], now_ms),
            admitted_shares={  # older versions leave none
                name: _number_in(share) for name, share in state.get("open", {}).items() if name in plans
            },
            detached={int(number): _past_in(since, now_ms) for number, since in state["barred"]},
            attached={
                int(row[0]): (_past_in(row[1], now_ms), _past_in(row[2], now_ms)) for row in state["attached"]
            },
            latencies={
                name: {
                    int(size): (_number_in(mean), int(seen)) for size, mean, seen in state["latency"][name]
                }
                for name in classes
                if name in state["latency"]
            },
        )


def _number_in(value: Any) -> float:
    """A number, perhaps infinite."""
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value != value:
        raise StateError(f"state snapshot is malformed: {value!r} is no number")
    return value


def _past_in(value: Any, now_ms: float) -> float:
    """A time; one of a clock that is ahead of this process's counts as now."""
    return min(now_ms, _number_in(value))


def _moment_in(value: Any, now_ms: float) -> Moment:
    return Moment(_past_in(value[0], now_ms), int(value[1]))


def _failures_in(value: Any, now_ms: float) -> dict[str, FailureRecord]:
    return {
        str(name): FailureRecord(_number_in(failures), _number_in(outcomes), _moment_in(updated, now_ms))
        for name, (failures, outcomes, updated) in value.items()
    }


def _endpoint_in(row: list[Any], now_ms: float) -> EndpointRecord:
    return EndpointRecord(
        _past_in(row[1], now_ms), _number_in(row[2]), _moment_in(row[3], now_ms), _failures_in(row[4], now_ms)
    )


def _customer_in(row: list[Any], gateways: int, now_ms: float) -> CustomerState:
    customer = CustomerState(now_ms, 0.0)
    customer.peer_in_flight = max(0, int(row[2]))
    for name, value in zip(CUSTOMER_FIELDS, row[3:], strict=True):
        setattr(customer, name, _number_in(value))
    customer.gateway_set_size = min(max(1, int(customer.gateway_set_size)), gateways)
    customer.excess_at_ms = min(now_ms, customer.excess_at_ms)
    customer.recent_demand_at_ms = min(now_ms, customer.recent_demand_at_ms)
    customer.ceiling_at_ms = min(now_ms, customer.ceiling_at_ms)
    customer.usage_at_ms = min(now_ms, customer.usage_at_ms)
    return customer
