"""A settings document as the platform sends it, under the platform's keys."""

from __future__ import annotations

from typing import Any

SETTINGS_DOCUMENT: dict[str, Any] = {
    "balancers": 2,
    "slot_no": 0,
    "locality": "a",
    "discovery": "automatic",
    "tick_ms": 2.0,
    "services": [
        {
            "name": "read",
            "slo_ms": 500.0,
            "hard_limit_ms": 2000.0,
            "effect": "safe",
            "value": 1.0,
            "late_share": 0.0,
            "key_scope": "all",
            "memory_span_ms": 5000.0,
            "stream": False,
        }
    ],
    "tariffs": [
        {
            "name": "basic",
            "refill": 2.0,
            "most_at_once": 4.0,
            "parallel": 0,
            "value_factor": 1.0,
            "excess_worth": 0.0,
            "overrun_cost": 1.0,
            "cap_rate": 0.0,
            "cap_depth": 0.0,
            "hard_slack": 0.0,
        }
    ],
    "limits": {
        "attempts_cap": 3,
        "may_duplicate": False,
        "cancelling": True,
        "probes": False,
        "peers": False,
        "retry_after": False,
        "open_cap": 1000,
        "connect_timeout_ms": 250.0,
        "max_retry_after_ms": 0.0,
    },
    "contract": {
        "answer_slack_ms": 8.0,
        "drain_grace_ms": 1000.0,
        "start_capacity": 0.2,
        "warm_up_ms": 10000.0,
        "tip_multiple": 3.0,
        "fall_ms": 2000.0,
        "must_ask_in_ms": 10000.0,
    },
    "load_info": {"how": "answers", "names": ["busy", "q"]},
    "family_info": {
        "meter_ms": 1000.0,
        "largest": 1,
        "settles": False,
        "has_counter": False,
        "count_limit_ms": 0.0,
    },
    "deductions": {"cross_zone": 0.01},
    "a_new_key": [1, 2],  # The gateway ignores keys that it does not know.
}
