"""The keys of the settings: the field of each, and the errors for missing keys and wrong values."""

import copy
from dataclasses import fields, replace
from typing import Any

import pytest

from quota_gateway import (
    DiscoveryMode,
    GatewayLimits,
    Idempotency,
    IdempotencyScope,
    Plan,
    RequestClass,
    ServiceRules,
    Settings,
)
from quota_gateway.errors import InvalidFieldError, MissingFieldError
from quota_gateway.settings_format import (
    GATEWAY_LIMITS_KEYS,
    PLAN_KEYS,
    REQUEST_CLASS_KEYS,
    SERVICE_RULES_KEYS,
    SETTINGS_KEYS,
    settings_from_document,
)
from tests.support.settings_document import SETTINGS_DOCUMENT

MISSING = object()
ABOVE_ZERO = "is not a number above 0"
AT_LEAST_ZERO = "is not a number of at least 0"
AT_LEAST_ONE = "is not a number of at least 1"

NUMBER_KEYS = {
    "settings.balancers": AT_LEAST_ONE,
    "settings.slot_no": AT_LEAST_ZERO,
    "settings.tick_ms": AT_LEAST_ZERO,
    "settings.services[0].slo_ms": AT_LEAST_ZERO,
    "settings.services[0].hard_limit_ms": AT_LEAST_ZERO,
    "settings.services[0].value": AT_LEAST_ZERO,
    "settings.services[0].late_share": AT_LEAST_ZERO,
    "settings.services[0].memory_span_ms": AT_LEAST_ZERO,
    "settings.tariffs[0].refill": AT_LEAST_ZERO,
    "settings.tariffs[0].most_at_once": AT_LEAST_ZERO,
    "settings.tariffs[0].parallel": AT_LEAST_ZERO,
    "settings.tariffs[0].value_factor": AT_LEAST_ZERO,
    "settings.tariffs[0].excess_worth": AT_LEAST_ZERO,
    "settings.tariffs[0].overrun_cost": AT_LEAST_ZERO,
    "settings.tariffs[0].cap_rate": AT_LEAST_ZERO,
    "settings.tariffs[0].cap_depth": AT_LEAST_ZERO,
    "settings.tariffs[0].hard_slack": AT_LEAST_ZERO,
    "settings.limits.attempts_cap": AT_LEAST_ONE,
    "settings.limits.open_cap": AT_LEAST_ONE,
    "settings.limits.connect_timeout_ms": AT_LEAST_ZERO,
    "settings.limits.max_retry_after_ms": AT_LEAST_ZERO,
    "settings.contract.answer_slack_ms": AT_LEAST_ZERO,
    "settings.contract.drain_grace_ms": AT_LEAST_ZERO,
    "settings.contract.start_capacity": AT_LEAST_ZERO,
    "settings.contract.warm_up_ms": AT_LEAST_ZERO,
    "settings.contract.tip_multiple": AT_LEAST_ZERO,
    "settings.contract.fall_ms": AT_LEAST_ZERO,
    "settings.contract.must_ask_in_ms": AT_LEAST_ZERO,
    "settings.family_info.meter_ms": AT_LEAST_ZERO,
    "settings.family_info.largest": AT_LEAST_ZERO,
    "settings.family_info.count_limit_ms": AT_LEAST_ZERO,
    "settings.deductions.cross_zone": AT_LEAST_ZERO,
}
OPTIONAL_NUMBER_KEYS = ["settings.services[0].aim_stretch", "settings.limits.conn_idle_ms"]
OTHER_KEYS = [
    "settings.locality",
    "settings.discovery",
    "settings.services",
    "settings.tariffs",
    "settings.limits",
    "settings.contract",
    "settings.load_info",
    "settings.load_info.names",
    "settings.family_info",
    "settings.family_info.settles",
    "settings.family_info.has_counter",
    "settings.deductions",
    "settings.services[0].name",
    "settings.services[0].effect",
    "settings.services[0].key_scope",
    "settings.services[0].stream",
    "settings.tariffs[0].name",
    "settings.limits.may_duplicate",
    "settings.limits.cancelling",
    "settings.limits.probes",
    "settings.limits.peers",
    "settings.limits.retry_after",
]
OTHER_WRONG_VALUES = [
    ("settings", [], "is not an object"),
    ("settings.slot_no", 2, "is not below the number of gateways, 2"),
    ("settings.discovery", "by post", "is none of automatic, subscribe"),
    ("settings.services", {}, "is not a list"),
    ("settings.services", [], "is not a list of at least one"),
    ("settings.tariffs", [], "is not a list of at least one"),
    ("settings.services[0].name", "", "is not a name of at least one character"),
    ("settings.services[0].name", 1, "is not a string"),
    ("settings.services[0].effect", "x", "is none of keyed, safe, unsafe"),
    ("settings.services[0].key_scope", "x", "is none of all, cell, zone"),
    ("settings.services[0].slo_ms", 0.0, ABOVE_ZERO),
    ("settings.services[0].hard_limit_ms", 0.0, ABOVE_ZERO),
    ("settings.tariffs[0].name", "", "is not a name of at least one character"),
    ("settings.tariffs[0].most_at_once", 0.0, ABOVE_ZERO),
    ("settings.family_info.largest", 0, ABOVE_ZERO),
    ("settings.contract.start_capacity", 1.1, "is not a number of at most 1"),
    ("settings.contract", None, "is not an object"),
    ("settings.load_info.names", "q", "is not a list"),
    ("settings.load_info.names[1]", 5, "is not a string"),
]


def document_with(path: str, value: Any) -> Any:
    """Return the settings document with another value at the path, or without that key for ``MISSING``."""
    holder = {"settings": copy.deepcopy(SETTINGS_DOCUMENT)}
    section: Any = holder
    *parents, last = [
        int(step[:-1]) if step.endswith("]") else step for step in path.replace("[", ".").split(".")
    ]
    for step in parents:
        section = section[step]
    if value is MISSING:
        del section[last]
    else:
        section[last] = value
    return holder["settings"]


def error_of(path: str, value: Any) -> InvalidFieldError:
    with pytest.raises(InvalidFieldError) as caught:
        settings_from_document(document_with(path, value))
    return caught.value


@pytest.mark.parametrize("path", [*NUMBER_KEYS, *OTHER_KEYS])
def test_error_for_a_missing_key_names_its_path(path):
    with pytest.raises(MissingFieldError) as caught:
        settings_from_document(document_with(path, MISSING))
    assert caught.value.field == path
    assert str(caught.value) == f"{path}: is missing"


@pytest.mark.parametrize("value", ["much", None, True, -1, float("nan"), float("inf"), []], ids=repr)
@pytest.mark.parametrize("path", NUMBER_KEYS)
def test_error_for_a_wrong_number_has_its_path_value_and_reason(path, value):
    error = error_of(path, value)
    assert (error.field, error.value, error.reason) == (path, value, NUMBER_KEYS[path])
    assert str(error) == f"{path}: {value!r} {NUMBER_KEYS[path]}"


@pytest.mark.parametrize("path", OPTIONAL_NUMBER_KEYS)
def test_wrong_optional_number_is_an_error_and_a_missing_one_has_its_default(path):
    error = error_of(path, "much")
    assert (error.field, error.value, error.reason) == (path, "much", AT_LEAST_ZERO)
    assert settings_from_document(document_with(path, None)) == settings_from_document(SETTINGS_DOCUMENT)


@pytest.mark.parametrize(("path", "value", "reason"), OTHER_WRONG_VALUES)
def test_error_for_a_wrong_value_has_its_path_value_and_reason(path, value, reason):
    if path == "settings.load_info.names[1]":
        document = document_with("settings.load_info.names", ["q", value])
    else:
        document = document_with(path, value)
    with pytest.raises(InvalidFieldError) as caught:
        settings_from_document(document)
    error = caught.value
    assert (error.field, error.value, error.reason) == (path, value, reason)


def test_hard_ceiling_without_a_burst_is_an_error():
    document = document_with("settings.tariffs[0].cap_rate", 1.0)
    with pytest.raises(InvalidFieldError, match=r"^settings\.tariffs\[0\]\.cap_depth: 0\.0 is not"):
        settings_from_document(document)


@pytest.mark.parametrize("key", ["services", "tariffs"])
def test_error_for_duplicate_names_shows_them(key):
    document = document_with(f"settings.{key}", 2 * SETTINGS_DOCUMENT[key])
    with pytest.raises(InvalidFieldError, match="is not a list of unique names") as caught:
        settings_from_document(document)
    assert caught.value.field == f"settings.{key}"
    assert caught.value.value == 2 * [SETTINGS_DOCUMENT[key][0]["name"]]


def test_error_names_the_given_path_of_the_document():
    with pytest.raises(InvalidFieldError, match=r"^env\.balancers: 0 is not a number of at least 1$"):
        settings_from_document(document_with("settings.balancers", 0), "env")


@pytest.mark.parametrize(
    ("model_type", "keys"),
    [
        (RequestClass, REQUEST_CLASS_KEYS),
        (Plan, PLAN_KEYS),
        (GatewayLimits, GATEWAY_LIMITS_KEYS),
        (ServiceRules, SERVICE_RULES_KEYS),
        (Settings, SETTINGS_KEYS),
    ],
)
def test_each_field_has_one_key(model_type, keys):
    assert list(keys) == [field.name for field in fields(model_type)]
    assert len({key.name for key in keys.values()}) == len(keys)


def test_every_key_is_read_into_its_field():
    settings = settings_from_document(SETTINGS_DOCUMENT)
    assert settings == Settings(
        gateways=2,
        index=0,
        zone="a",
        classes=(
            RequestClass(
                name="read",
                latency_objective_ms=500.0,
                deadline_ms=2000.0,
                idempotency=Idempotency.IDEMPOTENT,
                priority_weight=1.0,
                value_after_objective=0.0,
                idempotency_scope=IdempotencyScope.ALL,
                idempotency_window_ms=5000.0,
            ),
        ),
        plans=(Plan(name="basic", rate=2.0, burst=4.0, excess_cost=1.0),),
        limits=GatewayLimits(max_attempts=3, can_cancel=True, max_open=1000, connect_timeout_ms=250.0),
        service_rules=ServiceRules(8.0, 1000.0, 0.2, 10_000.0, 3.0, 2000.0, 10_000.0),
        discovery=DiscoveryMode.PUSH,
        load_report_fields=("utilisation", "queue"),
        usage_period_ms=1000.0,
        max_request_units=1,
        tick_ms=2.0,
        cross_zone_cost=0.01,
    )


@pytest.mark.parametrize(
    ("path", "value", "field"),
    [
        ("settings.tariffs[0].excess_worth", 0.5, "excess_value"),
        ("settings.tariffs[0].value_factor", 0.5, "weight"),
        ("settings.tariffs[0].hard_slack", 0.5, "ceiling_slack"),
        ("settings.tariffs[0].parallel", 5, "max_in_flight"),
    ],
)
def test_key_of_a_plan_sets_its_field_alone(path, value, field):
    (plan,) = settings_from_document(document_with(path, value)).plans
    (expected,) = settings_from_document(SETTINGS_DOCUMENT).plans
    assert plan == replace(expected, **{field: value})


@pytest.mark.parametrize(
    ("path", "field"),
    [
        ("settings.limits.may_duplicate", "may_duplicate"),
        ("settings.limits.probes", "can_probe"),
        ("settings.limits.peers", "can_message_peers"),
        ("settings.limits.retry_after", "can_send_retry_after"),
    ],
)
def test_permission_sets_its_field_alone(path, field):
    limits = settings_from_document(document_with(path, True)).limits
    assert limits == replace(settings_from_document(SETTINGS_DOCUMENT).limits, **{field: True})
