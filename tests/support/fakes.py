"""Earlier names of the test support, for tests that still use them."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from operator import attrgetter
from typing import Any

import uvloop

from tests.support.async_tests import TIME_LIMIT_S as LIMIT_S
from tests.support.fake_client import ErrorReply as Line
from tests.support.fake_client import FakeClient as Peer
from tests.support.fake_discovery import FakeDiscovery, make_instance
from tests.support.fake_discovery import encode_chunk as chunk
from tests.support.fake_discovery import encode_update as listing
from tests.support.fake_upstream import FakeUpstream as FakeServer
from tests.support.gateway_node import MAX_BUFFERED_BYTES as MOST_HELD
from tests.support.gateway_node import SETTINGS
from tests.support.gateway_node import GatewayNode as Node
from tests.support.gateway_node import connect_slow_reader as slow_reader
from tests.support.gateway_node import run_gateway as node
from tests.support.gateway_node import wait_until as until
from tests.support.resp_encoding import encode_call
from tests.support.resp_encoding import encode_command as resp
from tests.support.resp_encoding import encode_reply as array

__all__ = [
    "LIMIT_S",
    "MOST_HELD",
    "SETTINGS",
    "FakeDiscovery",
    "FakeServer",
    "Line",
    "Node",
    "Peer",
    "array",
    "call",
    "chunk",
    "listing",
    "node",
    "resp",
    "row",
    "run",
    "slow_reader",
    "until",
]

EARLIER_ATTRIBUTES: dict[type, dict[str, str]] = {
    FakeServer: {
        "answer": "respond",
        "by": "connection_numbers",
        "ended": "closed_connections",
        "entry": "endpoint",
        "until": "wait_until",
    },
    Peer: {"ask": "request", "reply": "read_reply"},
    Node: {"peer": "connect_client", "told": "update_endpoints"},
    FakeDiscovery: {
        "ended": "closed_watches",
        "targets": "request_targets",
        "watch": "next_watch",
        "watches": "watch_writers",
    },
}


def _alias(name: str) -> property:
    return property(attrgetter(name), lambda self, value: setattr(self, name, value))


for owner, names in EARLIER_ATTRIBUTES.items():
    for earlier, current in names.items():
        setattr(owner, earlier, _alias(current))


def run(test: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine on uvloop with the time limit of a test."""
    uvloop.run(asyncio.wait_for(test, LIMIT_S))


def call(number: int, kind: str = "read", plan: str = "free", body: bytes = b"b", wait: int = 4000) -> bytes:
    """Encode a client's request."""
    return encode_call(number, kind, plan, body, wait)


def row(name: str, port: int, state: str = "Ready", started: int = 0) -> dict[str, Any]:
    """Make the JSON object of a server, as discovery lists it."""
    return make_instance(name, port, state, started)
