"""What client connections need of the driver, whose requests and attempts they are."""

from __future__ import annotations

from typing import Protocol

from quota_gateway.model import Request
from quota_gateway.net.active_request import ActiveRequest
from quota_gateway.net.upstream.attempt import Attempt
from quota_gateway.telemetry import Telemetry


class RequestHandler(Protocol):
    """Takes the requests of clients and answers each once."""

    @property
    def telemetry(self) -> Telemetry:
        """Counters, trace and invariants of the process."""

    def submit(self, active: ActiveRequest, request: Request, timeout_ms: float) -> None:
        """Start on a request, which is answered through the callbacks of ``active``."""

    def is_active(self, request_id: str) -> bool:
        """Whether a request of this id is in progress."""

    def client_disconnected(self, request_id: str) -> None:
        """Drop a request whose client has closed its connection."""

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Stop an attempt whose value nobody reads any more."""
