"""Events about endpoints from discovery, health checks and operators: docs/decisions/endpoints.md."""

from quota_gateway.model import events
from quota_gateway.model.actions import Action, SetServerDetached, Subscribe
from quota_gateway.model.events import UpdateKind
from quota_gateway.model.settings import DiscoveryMode, Settings
from quota_gateway.model.timers import PollDue, TimerTable
from quota_gateway.policy.decision_log import DecisionLog
from quota_gateway.policy.mechanisms import Mechanisms

# Delay before a failed poll is repeated, as a share of the poll deadline, so that one poll may fail.
POLL_RETRY_DEADLINE_SHARE = 0.5


class EndpointEvents:
    """Applies events about endpoints; some methods return whether queued requests may start now."""

    def __init__(
        self,
        settings: Settings,
        mechanisms: Mechanisms,
        timers: TimerTable,
        output: list[Action],
        log: DecisionLog,
    ) -> None:
        self._settings = settings
        self._endpoints = mechanisms.endpoints
        self._balancer = mechanisms.balancer
        self._concurrency = mechanisms.concurrency
        self._timers = timers
        self._output = output
        self._log = log

    def on_update(self, event: events.EndpointUpdate) -> bool:
        """Apply an update from discovery; return whether queued requests may start now."""
        must_poll = event.kind in (UpdateKind.CACHED, UpdateKind.FAILED)
        if must_poll and self._settings.discovery is DiscoveryMode.ASK:
            self._arm_poll(event.kind)
        if event.kind is UpdateKind.FAILED:
            return False
        self._endpoints.update(event)
        # The limit is 0 if the first list was empty.
        if event.kind is UpdateKind.CACHED or not self._concurrency.limit:
            self._concurrency.set_initial(self._endpoints.listed_count, self._settings.gateways)
        return True

    def _arm_poll(self, kind: UpdateKind) -> None:
        retry_ms = self._settings.service_rules.poll_deadline_ms * POLL_RETRY_DEADLINE_SHARE
        delay_ms = 0.0 if kind is UpdateKind.CACHED else retry_ms
        self._output.append(self._timers.arm(delay_ms, PollDue()))

    def on_poll_due(self) -> None:
        """Ask discovery for updates."""
        self._output.append(Subscribe(True))

    def on_health_check(self, event: events.HealthCheckResult) -> None:
        """Store the load report of a health check."""
        endpoint = self._endpoints.by_id.get(event.server)
        if endpoint:
            self._balancer.on_load_report(endpoint, event.load)

    def detach(self, server: int, since_ms: float | None = None) -> None:
        """Stop starting attempts at a server.

        Args:
            server: Number of the server.
            since_ms: Clock time of the detachment, from a restored state; None means now.
        """
        if self._endpoints.detach(server, since_ms):
            self._log.log_message(f"server detached server={server}")
        self._output.append(SetServerDetached(server, True))

    def attach(self, server: int) -> bool:
        """Put a detached server back into service; return whether it was detached."""
        self._output.append(SetServerDetached(server, False))
        is_attached = self._endpoints.attach(server)
        if is_attached:
            self._log.log_message(f"server attached server={server}")
        return is_attached
