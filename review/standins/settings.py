"""The settings of a small deployment, in the form of the page WIRE, and a gateway's configuration file."""

from __future__ import annotations

import copy
import json
from pathlib import Path
from typing import Any

Json = dict[str, Any]

SERVICE: Json = {
    "effect": "safe",
    "hard_limit_ms": 1500.0,
    "key_scope": "all",
    "late_share": 0.0,
    "memory_span_ms": 5000.0,
    "name": "trip-search",
    "slo_ms": 400.0,
    "stream": False,
    "value": 1.0,
}
KEYED: Json = {
    **SERVICE,
    "effect": "keyed",
    "late_share": 0.2,
    "memory_span_ms": 1500.0,
    "name": "seat-book",
    "slo_ms": 600.0,
    "value": 2.0,
}
TARIFF: Json = {
    "cap_depth": 0.0,
    "cap_rate": 0.0,
    "excess_worth": 0.0,
    "hard_slack": 0.0,
    "most_at_once": 0.0,
    "name": "erhverv",
    "overrun_cost": 1.2,
    "parallel": 0,
    "refill": 0.0,
    "value_factor": 1.8,
}
SETTINGS: Json = {
    "balancers": 1,
    "client_habits": {"marks_retry": False},
    "contract": {
        "answer_slack_ms": 16.0,
        "drain_grace_ms": 2000.0,
        "fall_ms": 3000.0,
        "must_ask_in_ms": 10000.0,
        "start_capacity": 0.19,
        "tip_multiple": 2.5,
        "warm_up_ms": 18000.0,
    },
    "deductions": {"cross_zone": 0.02, "late_fail": 0.08, "waste": 0.03},
    "discovery": "automatic",
    "family": "gate",
    "family_info": {
        "call_price": 0.0,
        "count_limit_ms": 0.0,
        "has_counter": False,
        "inbox_per_s": 0.0,
        "largest": 4,
        "meter_ms": 1000.0,
        "settles": False,
    },
    "kinds": ["std-2c"],
    "limits": {
        "attempts_cap": 5,
        "cancelling": True,
        "conn_idle_ms": 30000.0,
        "connect_timeout_ms": 250.0,
        "max_retry_after_ms": 500.0,
        "may_duplicate": True,
        "multiplex": 100,
        "open_cap": 20000,
        "peers": False,
        "probes": False,
        "retry_after": True,
    },
    "load_info": {"how": "none", "names": []},
    "locality": "room-a",
    "services": [SERVICE, KEYED],
    "slot_no": 0,
    "tariffs": [TARIFF],
    "tick_ms": 4.0,
    "tier": 0,
    "tiers": ["match-fleet"],
    "weight_kind": "nominal",
    "zones": ["room-a", "room-b", "room-c"],
}


def settings() -> Json:
    """Return a copy of the settings, which the caller may change."""
    return copy.deepcopy(SETTINGS)


class Addresses:
    """The loopback addresses of one gateway, as ``HOST:PORT``."""

    def __init__(self, listen: str, discovery: str, management: str) -> None:
        self.listen = listen
        self.discovery = discovery
        self.management = management


def write_configuration(
    path: Path, addresses: Addresses, known: Json, document: Json, memory_mb: int = 192, sockets: int = 1024
) -> None:
    """Write a gateway's configuration file."""
    content = {
        "name": "n1",
        "listen": addresses.listen,
        "discovery": addresses.discovery,
        "mgmt": addresses.management,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "known": known,
        "settings": document,
    }
    path.write_text(json.dumps(content))
