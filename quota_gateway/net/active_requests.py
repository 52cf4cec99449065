"""The requests in progress, by id, until each is answered and has no attempt in flight."""

from __future__ import annotations

from quota_gateway.net.active_request import ActiveRequest
from quota_gateway.net.upstream.pool import UpstreamPool


class ActiveRequests:
    """The requests in progress.

    Attributes:
        by_id: The requests by their ids.
    """

    __slots__ = ("_possibly_finished", "_upstream", "by_id")

    def __init__(self, upstream: UpstreamPool) -> None:
        self.by_id: dict[str, ActiveRequest] = {}
        self._upstream = upstream
        self._possibly_finished: list[ActiveRequest] = []

    def add(self, request: ActiveRequest) -> None:
        """Add a new request."""
        self.by_id[request.request_id] = request

    def remove_if_idle(self, request: ActiveRequest) -> None:
        """Remove an answered request unless an attempt of it is in flight."""
        if not request.attempts and request.request_id in self.by_id:
            del self.by_id[request.request_id]
            request.release_memory()

    def check_after_event(self, request: ActiveRequest) -> None:
        """Have ``end_answered`` check a request once the actions of the current event are carried out."""
        self._possibly_finished.append(request)

    def end_answered(self) -> None:
        """Cancel the unsent attempts of answered requests, and remove the requests with none in flight.

        Called after the actions of an event, which may cancel an attempt themselves. An unsent attempt that
        is not cancelled would be sent after the answer; see docs/decisions/driver.md.
        """
        while self._possibly_finished:
            request = self._possibly_finished.pop()
            if not request.is_answered:
                continue
            for attempt in list(request.attempts.values()):
                self._upstream.cancel_unsent(attempt)
            self.remove_if_idle(request)
