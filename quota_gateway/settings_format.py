"""The only module that translates the keys of a settings object to the fields of ``Settings``.

The simulator passes a settings object to each instance; a gateway process has it in its configuration file.
The tables ``*_KEYS`` are used to read the object, and to name the operator's key in an error.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeVar

from quota_gateway import model
from quota_gateway.json_document import JsonObject, invalid_field
from quota_gateway.model.validation import FieldError

KEY_SEPARATOR = "."  # separator between the keys of nested objects
DISCOVERY_MODES = {"automatic": model.DiscoveryMode.PUSH, "subscribe": model.DiscoveryMode.ASK}
IDEMPOTENCY = {kind.value: kind for kind in model.Idempotency}
IDEMPOTENCY_SCOPES = {scope.value: scope for scope in model.IdempotencyScope}
LOAD_FIELD = {
    "rif": "in_flight",
    "q": "queue",
    "busy": "utilisation",
    "lat_ms": "service_ms",
    "rate": "throughput",
    "fail_rate": "error_rate",
}  # names of load report fields in the settings, each with its name in the code
REPORT_FIELD = LOAD_FIELD | {
    "inflight": "in_flight",
    "queue": "queue",
    "util": "utilisation",
    "latency_ms": "service_ms",
    "qps": "throughput",
    "eps": "error_rate",
}  # names of the fields in servers' load reports, each with its name in the code

ModelType = TypeVar("ModelType")


class Key(NamedTuple):
    """The key of a field, and how its value is read.

    Attributes:
        name: The key; the keys of nested objects are joined by ``KEY_SEPARATOR``.
        read: Returns the field's value, given the innermost object and the last key.
    """

    name: str
    read: Callable[[JsonObject, str], Any] = JsonObject.required


def _choice(choices: Mapping[str, object]) -> Callable[[JsonObject, str], object]:
    return lambda section, key: section.choice(key, choices)


def _optional(default: float) -> Callable[[JsonObject, str], Any]:
    """Return a reader of an optional value, which gives the default if the value is missing, null or 0."""
    return lambda section, key: section.optional(key) or default


def _object(model_type: type, keys: Mapping[str, Key]) -> Callable[[JsonObject, str], object]:
    return lambda section, key: _build(model_type, keys, section.nested(key))


def _objects(model_type: type, keys: Mapping[str, Key]) -> Callable[[JsonObject, str], object]:
    return lambda section, key: tuple(
        _build(model_type, keys, element) for element in section.nested_elements(key)
    )


def _load_report_fields(section: JsonObject, key: str) -> tuple[str, ...]:
    names = section.elements(key)
    for number, name in enumerate(names):
        if not isinstance(name, str):
            raise invalid_field(f"{section.path_of(key)}[{number}]", name, "is not a string")
    return tuple(LOAD_FIELD.get(name, name) for name in names)


REQUEST_CLASS_KEYS = {
    "name": Key("name", JsonObject.text),
    "latency_objective_ms": Key("slo_ms"),
    "deadline_ms": Key("hard_limit_ms"),
    "idempotency": Key("effect", _choice(IDEMPOTENCY)),
    "priority_weight": Key("value"),
    "value_after_objective": Key("late_share"),
    "idempotency_scope": Key("key_scope", _choice(IDEMPOTENCY_SCOPES)),
    "idempotency_window_ms": Key("memory_span_ms"),
    "streamed": Key("stream"),
    "objective_stretch": Key("aim_stretch", _optional(0.0)),
}
PLAN_KEYS = {
    "name": Key("name", JsonObject.text),
    "rate": Key("refill"),
    "burst": Key("most_at_once"),
    "max_in_flight": Key("parallel"),
    "weight": Key("value_factor"),
    "excess_value": Key("excess_worth"),
    "excess_cost": Key("overrun_cost"),
    "ceiling_rate": Key("cap_rate"),
    "ceiling_burst": Key("cap_depth"),
    "ceiling_slack": Key("hard_slack"),
}
GATEWAY_LIMITS_KEYS = {
    "max_attempts": Key("attempts_cap"),
    "may_duplicate": Key("may_duplicate"),
    "can_cancel": Key("cancelling"),
    "can_probe": Key("probes"),
    "can_message_peers": Key("peers"),
    "can_send_retry_after": Key("retry_after"),
    "max_open": Key("open_cap"),
    "connect_timeout_ms": Key("connect_timeout_ms"),
    "max_retry_after_ms": Key("max_retry_after_ms"),
    "connection_idle_ms": Key("conn_idle_ms", _optional(model.DEFAULT_IDLE_MS)),
}
SERVICE_RULES_KEYS = {
    "answer_slack_ms": Key("answer_slack_ms"),
    "drain_grace_ms": Key("drain_grace_ms"),
    "initial_capacity_share": Key("start_capacity"),
    "warm_up_ms": Key("warm_up_ms"),
    "overload_factor": Key("tip_multiple"),
    "overload_window_ms": Key("fall_ms"),
    "poll_deadline_ms": Key("must_ask_in_ms"),
}
SETTINGS_KEYS = {
    "gateways": Key("balancers"),
    "index": Key("slot_no"),
    "zone": Key("locality"),
    "classes": Key("services", _objects(model.RequestClass, REQUEST_CLASS_KEYS)),
    "plans": Key("tariffs", _objects(model.Plan, PLAN_KEYS)),
    "limits": Key("limits", _object(model.GatewayLimits, GATEWAY_LIMITS_KEYS)),
    "service_rules": Key("contract", _object(model.ServiceRules, SERVICE_RULES_KEYS)),
    "discovery": Key("discovery", _choice(DISCOVERY_MODES)),
    "load_report_fields": Key("load_info.names", _load_report_fields),
    "usage_period_ms": Key("family_info.meter_ms"),
    "max_request_units": Key("family_info.largest"),
    "reports_final_units": Key("family_info.settles"),
    "has_counter": Key("family_info.has_counter"),
    "counter_timeout_ms": Key("family_info.count_limit_ms"),
    "tick_ms": Key("tick_ms"),
    "cross_zone_cost": Key("deductions.cross_zone"),
}


def settings_from_document(document: object, path: str = "settings") -> model.Settings:
    """Translate the settings object of the simulator's protocol or of a configuration file.

    Args:
        document: The parsed JSON object.
        path: Path of the object, for error messages.

    Raises:
        MissingFieldError: A key is missing; the error names its path.
        InvalidFieldError: The value of a key is not allowed; the error has its path, the value and a reason.
    """
    return _build(model.Settings, SETTINGS_KEYS, JsonObject(document, path))


def _build(model_type: type[ModelType], keys: Mapping[str, Key], section: JsonObject) -> ModelType:
    """Create an object of the model from a JSON object; ``keys`` has the key of each field."""
    values = {field: _read(section, key) for field, key in keys.items()}
    try:
        return model_type(**values)
    except FieldError as error:
        path = section.path_of(keys[error.field].name)
        raise invalid_field(path, error.value, error.reason) from None


def _read(section: JsonObject, key: Key) -> Any:
    *parents, name = key.name.split(KEY_SEPARATOR)
    for parent in parents:
        section = section.nested(parent)
    return key.read(section, name)
