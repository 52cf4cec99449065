"""Export and restore of the state that one process of a gateway passes to the next."""

from collections.abc import Mapping

from quota_gateway.model.actions import Action, StateSnapshot
from quota_gateway.model.events import RestoreState
from quota_gateway.model.pending_request import PendingRequest
from quota_gateway.model.settings import Settings
from quota_gateway.model.snapshot import EngineState
from quota_gateway.policy.customer_usage import CustomerUsage
from quota_gateway.policy.decision_log import DecisionLog
from quota_gateway.policy.endpoint_events import EndpointEvents
from quota_gateway.policy.mechanisms import Mechanisms


class StateTransfer:
    """Collects the state of all mechanisms for a snapshot, and restores them from one."""

    def __init__(
        self,
        settings: Settings,
        mechanisms: Mechanisms,
        usage: CustomerUsage,
        endpoint_events: EndpointEvents,
        pending_requests: Mapping[str, PendingRequest],
        output: list[Action],
        log: DecisionLog,
    ) -> None:
        self._settings = settings
        self._mechanisms = mechanisms
        self._usage = usage
        self._endpoint_events = endpoint_events
        self._pending_requests = pending_requests
        self._output = output
        self._log = log

    def export(self) -> None:
        """Output a state snapshot; from now on the peer process is notified of each change."""
        self._usage.has_peer_process = True
        mechanisms = self._mechanisms
        endpoints = mechanisms.endpoints
        state = EngineState(
            customers=mechanisms.customers.by_key,
            endpoints={number: endpoint.export() for number, endpoint in endpoints.by_id.items()},
            failures=mechanisms.failures.totals,
            attempts=mechanisms.clock.attempts,
            admitted_shares=mechanisms.unknown_customers.admitted_shares,
            concurrency_limit=mechanisms.concurrency.limit,
            retry_tokens=mechanisms.retry_budget.tokens,
            started_at_ms=mechanisms.clock.started_at_ms,
            detached=endpoints.detached,
            attached=endpoints.attached,
            latencies=mechanisms.latencies.means,
            executed=mechanisms.executed_requests.export(list(self._pending_requests.values())),
        )
        self._output.append(StateSnapshot(state.to_json()))

    def restore(self, event: RestoreState) -> None:
        """Restore the state of the previous process.

        Raises:
            StateError: A part of the state is malformed; in this case nothing is restored.
        """
        mechanisms = self._mechanisms
        state = EngineState.from_json(event.state, self._settings, mechanisms.clock.now_ms)
        self._usage.has_peer_process = True
        mechanisms.customers.by_key = state.customers
        mechanisms.failures.totals = state.failures
        mechanisms.clock.restore(state.attempts, state.started_at_ms)
        mechanisms.concurrency.restore(state.concurrency_limit)
        mechanisms.retry_budget.restore(state.retry_tokens)
        mechanisms.unknown_customers.restore(state.admitted_shares)
        mechanisms.latencies.means.update(state.latencies)
        mechanisms.executed_requests.restore(state.executed)
        mechanisms.endpoints.restore(state.endpoints, state.attached)
        for server, since_ms in state.detached.items():
            self._endpoint_events.detach(server, since_ms)
        self._log.log_message(
            f"state restored customers={len(state.customers)} detached={len(state.detached)}"
        )
