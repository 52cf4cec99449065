"""Settings of all gateways of a run, in the format that DEPLOY documents."""

from __future__ import annotations

from typing import Any

LIMITS = {
    "attempts_cap": 3,
    "may_duplicate": False,
    "cancelling": True,
    "probes": False,
    "peers": False,
    "retry_after": True,
    "open_cap": 1000,
    "connect_timeout_ms": 250.0,
    "max_retry_after_ms": 1000.0,
}
SERVICE_RULES = {
    "answer_slack_ms": 8.0,
    "drain_grace_ms": 1000.0,
    "start_capacity": 0.2,
    "warm_up_ms": 10000.0,
    "tip_multiple": 3.0,
    "fall_ms": 2000.0,
    "must_ask_in_ms": 10000.0,
}
USAGE_REPORTS = {
    "meter_ms": 1000.0,
    "largest": 1,
    "settles": False,
    "has_counter": False,
    "count_limit_ms": 0.0,
}


def _request_class(number: int) -> dict[str, Any]:
    """Return the settings of a class of idempotent requests."""
    return {
        "name": f"class-{number}",
        "slo_ms": 500.0,
        "hard_limit_ms": 2000.0,
        "effect": "safe",
        "value": 1.0,
        "late_share": 0.0,
        "key_scope": "all",
        "memory_span_ms": 5000.0,
        "stream": False,
    }


def _plan(quota: float) -> dict[str, Any]:
    """Return a plan with a quota in units per second, which is its burst too; 0 for no quota."""
    return {
        "name": "plan",
        "refill": quota,
        "most_at_once": quota,
        "parallel": 0,
        "value_factor": 1.0,
        "excess_worth": 0.0,
        "overrun_cost": 1.0,
        "cap_rate": 0.0,
        "cap_depth": 0.0,
        "hard_slack": 0.0,
    }


def settings_document(
    gateways: int, index: int, zone: str, classes: int = 1, quota: float = 0.0
) -> dict[str, Any]:
    """Return the settings object of one gateway (DEPLOY).

    Args:
        gateways: Number of gateways.
        index: Index of this gateway.
        zone: Zone of this gateway.
        classes: Number of classes of idempotent requests.
        quota: Quota of the only plan, in units per second; 0 for no quota.
    """
    return {
        "balancers": gateways,
        "slot_no": index,
        "locality": zone,
        "discovery": "automatic",
        "tick_ms": 2.0,
        "services": [_request_class(number) for number in range(classes)],
        "tariffs": [_plan(quota)],
        "limits": dict(LIMITS),
        "contract": dict(SERVICE_RULES),
        "load_info": {"how": "answers", "names": ["busy", "q"]},
        "family_info": dict(USAGE_REPORTS),
        "deductions": {"cross_zone": 0.0},
    }
