"""The policy engine, which takes events and returns actions (types in quota_gateway/model).

See docs/decisions/engine.md.
"""

from random import Random

from quota_gateway.model import events
from quota_gateway.model.actions import Action
from quota_gateway.model.customer_state import CustomerState
from quota_gateway.model.pending_request import PendingRequest
from quota_gateway.model.settings import Settings
from quota_gateway.model.timers import PollDue, TimerTable
from quota_gateway.policy.admission import Admission
from quota_gateway.policy.attempt_feedback import AttemptFeedback
from quota_gateway.policy.customer_usage import CustomerUsage
from quota_gateway.policy.decision_log import DecisionLog
from quota_gateway.policy.endpoint_events import EndpointEvents
from quota_gateway.policy.endpoints import EndpointTable
from quota_gateway.policy.give_up import GiveUpRules
from quota_gateway.policy.mechanisms import Mechanisms
from quota_gateway.policy.request_lifecycle import RequestLifecycle, RequestRules
from quota_gateway.policy.request_timers import RequestTimers
from quota_gateway.policy.retries import RetryRules
from quota_gateway.policy.scheduling import Scheduler
from quota_gateway.policy.state_transfer import StateTransfer
from quota_gateway.policy.subset import Subset


class PolicyEngine:
    """Dispatches the events of one gateway by type and returns the actions to carry out.

    The caller passes events in the order of time and carries out the actions in the order returned.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.mechanisms = mechanisms = Mechanisms(settings, Random(seed))
        self._clock = mechanisms.clock
        self.timers = TimerTable()
        self.output = output = list[Action]()
        log = DecisionLog(output)
        self.usage = CustomerUsage(mechanisms, output)
        self.lifecycle = RequestLifecycle(
            RequestRules(
                Admission(settings, mechanisms, log),
                Scheduler(mechanisms),
                RetryRules(settings.limits, mechanisms),
                GiveUpRules(mechanisms),
            ),
            mechanisms.queue,
            AttemptFeedback(mechanisms, log),
            self.usage,
            RequestTimers(self.timers, output, mechanisms.clock, mechanisms.latencies, settings.tick_ms),
            mechanisms.executed_requests,
            output,
            settings.limits.can_cancel,
        )
        self._endpoint_events = EndpointEvents(settings, mechanisms, self.timers, output, log)
        self._state_transfer = StateTransfer(
            settings, mechanisms, self.usage, self._endpoint_events, self.lifecycle.requests, output, log
        )

    @property
    def customers(self) -> dict[tuple[str, str], CustomerState]:
        """The known customers, by plan and name."""
        return self.mechanisms.customers.by_key

    @property
    def requests(self) -> dict[str, PendingRequest]:
        """The pending requests by id."""
        return self.lifecycle.requests

    @property
    def endpoints(self) -> EndpointTable:
        """The table of known endpoints."""
        return self.mechanisms.endpoints

    @property
    def subset(self) -> Subset:
        """The subset of the listed servers that this gateway uses."""
        return self.mechanisms.subset

    @property
    def has_peer_process(self) -> bool:
        """Whether another process of this gateway is notified of the usage of customers."""
        return self.usage.has_peer_process

    def handle(self, now_ms: float, event: events.Event) -> list[Action]:
        """Handle one event and return the resulting actions, in order.

        Args:
            now_ms: Time of the event by the caller's clock, in milliseconds.
            event: The event.

        Raises:
            ValueError: The time is before that of an earlier event, or is not a number.
            StateError: The event restores a malformed state.
        """
        self._clock.advance(now_ms)
        self.output.clear()
        match event:
            case events.TimerFired():
                self._on_timer_fired(event)
            case events.Outcome():
                self.lifecycle.on_outcome(event)
            case events.Request():
                self.lifecycle.on_request(event)
            case events.StreamStarted():
                self.lifecycle.on_stream_started(event)
            case events.ClientDisconnected():
                self.lifecycle.on_client_disconnected(event)
            case _:
                self._dispatch_endpoint_event(event)
        return self.output.copy()

    def _dispatch_endpoint_event(self, event: events.Event) -> None:
        may_release = False
        match event:
            case events.EndpointUpdate():
                may_release = self._endpoint_events.on_update(event)
            case events.HealthCheckResult():
                self._endpoint_events.on_health_check(event)
            case events.DetachServer():
                self._endpoint_events.detach(event.server)
            case events.AttachServer():
                may_release = self._endpoint_events.attach(event.server)
            case _:
                self._dispatch_process_event(event)
        if may_release:
            self.lifecycle.release_queued()

    def _dispatch_process_event(self, event: events.Event) -> None:
        may_release = False
        match event:
            case events.ShutdownStarted():
                self.lifecycle.on_shutdown_started(event)
            case events.ExportState():
                self._state_transfer.export()
            case events.RestoreState():
                self._state_transfer.restore(event)
            case events.PeerProcessUsage():
                may_release = self.usage.on_peer_usage(event)
            case events.PeerProcessExited():
                may_release = self.usage.on_peer_exited()
        if may_release:
            self.lifecycle.release_queued()

    def _on_timer_fired(self, event: events.TimerFired) -> None:
        timer = self.timers.take(event)
        if isinstance(timer, PollDue):
            self._endpoint_events.on_poll_due()
        elif timer:
            self.lifecycle.on_timer(timer)
