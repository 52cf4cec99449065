"""The admin calls, without sockets; ``docs/on-call.md`` lists them."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import NamedTuple

from quota_gateway.telemetry import Metrics

log = logging.getLogger(__name__)

MAX_SERVER_NAME_CHARACTERS = 256

READY_TARGET = b"/_ready"
DETACH_TARGET = b"/_servers/detach"
ATTACH_TARGET = b"/_servers/attach"
METRICS_TARGET = b"/_metrics"

SetDetached = Callable[[str, bool], Awaitable[bool]]
"""Detaches (True) or attaches (False) the server of this name; returns whether the server is known."""


class AdminStatus(Enum):
    """An HTTP status: its code and its reason phrase by RFC 9110. ``http.HTTPStatus`` is slow to import."""

    OK = (200, "OK")
    BAD_REQUEST = (400, "Bad Request")
    NOT_FOUND = (404, "Not Found")
    METHOD_NOT_ALLOWED = (405, "Method Not Allowed")
    CONTENT_TOO_LARGE = (413, "Content Too Large")
    INTERNAL_SERVER_ERROR = (500, "Internal Server Error")
    SERVICE_UNAVAILABLE = (503, "Service Unavailable")


class AdminResponse(NamedTuple):
    """The response to one admin call.

    Attributes:
        status: The HTTP status.
        text: One line for the operator, or the metrics for a scraper.
    """

    status: AdminStatus
    text: str

    def encode(self) -> bytes:
        """Return the response as the bytes of an HTTP/1.1 response."""
        body = f"{self.text}\n".encode()
        code, phrase = self.status.value
        return (
            b"HTTP/1.1 %d %b\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%b" % (code, phrase.encode(), len(body), body)
        )


class AdminCalls:
    """Carries out admin calls.

    Args:
        is_ready: Returns whether the gateway is ready to serve clients.
        set_detached: Detaches or attaches a server.
        metrics: The metrics of this process.
    """

    __slots__ = ("is_ready", "metrics", "set_detached")

    def __init__(self, is_ready: Callable[[], bool], set_detached: SetDetached, metrics: Metrics) -> None:
        self.is_ready = is_ready
        self.set_detached = set_detached
        self.metrics = metrics

    async def carry_out(self, method: bytes, path: bytes, body: bytes) -> AdminResponse:
        """Carry out one admin call.

        Args:
            method: Method of the HTTP request.
            path: Path of the HTTP request, without the query.
            body: Name of a server, for the calls that need one.
        """
        if path == READY_TARGET:
            return self._readiness(method)
        if path == METRICS_TARGET:
            return self._render_metrics(method)
        if path not in (DETACH_TARGET, ATTACH_TARGET):
            return AdminResponse(AdminStatus.NOT_FOUND, "no such call")
        if method != b"POST":
            return AdminResponse(AdminStatus.METHOD_NOT_ALLOWED, "POST only")
        name = _server_name(body)
        if name is None:
            return AdminResponse(AdminStatus.BAD_REQUEST, "the body is no id")
        return await self._detach_or_attach(name, detached=path == DETACH_TARGET)

    def _readiness(self, method: bytes) -> AdminResponse:
        if method != b"GET":
            return AdminResponse(AdminStatus.METHOD_NOT_ALLOWED, "GET only")
        if self.is_ready():
            return AdminResponse(AdminStatus.OK, "ready")
        return AdminResponse(AdminStatus.SERVICE_UNAVAILABLE, "not ready")

    def _render_metrics(self, method: bytes) -> AdminResponse:
        if method != b"GET":
            return AdminResponse(AdminStatus.METHOD_NOT_ALLOWED, "GET only")
        return AdminResponse(AdminStatus.OK, self.metrics.render())

    async def _detach_or_attach(self, name: str, detached: bool) -> AdminResponse:
        if not await self.set_detached(name, detached):
            return AdminResponse(AdminStatus.NOT_FOUND, "no such server")
        log.info("admin call carried out operation=%s server=%s", "detach" if detached else "attach", name)
        return AdminResponse(AdminStatus.OK, f"{name} is {'detached' if detached else 'attached'}")


def _server_name(body: bytes) -> str | None:
    """Return the server name in the body of a call, None if it is empty, too long or not UTF-8."""
    try:
        name = body.decode().strip()
    except UnicodeDecodeError:
        return None
    return name if 0 < len(name) <= MAX_SERVER_NAME_CHARACTERS else None
