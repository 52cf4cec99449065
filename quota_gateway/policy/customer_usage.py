"""Customers' usage of their quotas, from usage reports and notifications of the peer process."""

from quota_gateway.model import events
from quota_gateway.model.actions import Action, NotifyPeerProcess
from quota_gateway.model.pending_request import PendingRequest
from quota_gateway.policy.mechanisms import Mechanisms


class CustomerUsage:
    """Keeps the usage of customers up to date, so that limits hold over both processes of this gateway.

    Methods that handle an event of the peer process return whether queued requests may start now.

    Attributes:
        has_peer_process: Whether another process of this gateway is notified of each change.
    """

    def __init__(self, mechanisms: Mechanisms, output: list[Action]) -> None:
        self._clock = mechanisms.clock
        self._customers = mechanisms.customers
        self._unknown_customers = mechanisms.unknown_customers
        self._bucket = mechanisms.bucket
        self._in_flight_limit = mechanisms.in_flight_limit
        self._output = output
        self.has_peer_process = False

    def notify_peer(self, pending: PendingRequest, excess_change: float = 0.0) -> None:
        """Notify the peer process of a customer's attempts in flight and change of excess in milliunits."""
        if self.has_peer_process:
            plan, customer = pending.request.plan, pending.request.customer
            usage = events.PeerProcessUsage(plan, customer, pending.customer.in_flight, excess_change)
            self._output.append(NotifyPeerProcess(usage))

    def settle(self, pending: PendingRequest, final_units: float) -> None:
        """Correct the excess to the units that a request actually used, and notify the peer process."""
        self.notify_peer(pending, self._bucket.settle(pending, final_units))

    def on_usage_report(self, pending: PendingRequest, usage_percent: float) -> None:
        """Store a usage report, which covers all gateways, in percent of the customer's quota."""
        customer, usage = pending.customer, usage_percent / 100.0
        self._unknown_customers.on_usage_report(customer, pending.plan, usage)
        customer.usage = usage
        customer.usage_at_ms = self._clock.now_ms
        self._in_flight_limit.on_usage_report(customer, usage)

    def on_peer_usage(self, event: events.PeerProcessUsage) -> bool:
        """Store the peer process's usage of a customer's quota, if the customer is known."""
        customer = self._customers.by_key.get((event.plan, event.customer))
        if customer is None:
            return False
        customer.peer_in_flight = event.in_flight
        self._bucket.adjust(customer, event.excess_change)
        return True

    def on_peer_exited(self) -> bool:
        """Discard the peer process's attempts in flight, as it has exited."""
        self.has_peer_process = False
        for customer in self._customers.by_key.values():
            customer.peer_in_flight = 0
        return True
