"""The one place where the keys of a settings object are translated to the fields of ``Settings``.

The simulator hands such an object to each instance, a real gateway finds it in its configuration file.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from quota_gateway import model
from quota_gateway.errors import ConfigError
from quota_gateway.json_document import JsonObject, invalid_field

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
}  # the settings' names of the figures in a load report
REPORT_FIELD = LOAD_FIELD | {
    "inflight": "in_flight",
    "queue": "queue",
    "util": "utilisation",
    "latency_ms": "service_ms",
    "qps": "throughput",
    "eps": "error_rate",
}  # the names in load reports on sockets


@contextmanager
def _located(section: JsonObject) -> Iterator[None]:
    """Add the section's path to what the model's own checks find; they name its field and the value."""
    try:
        yield
    except (TypeError, ValueError) as error:
        if isinstance(error, ConfigError) and str(error).startswith(section.path):
            raise  # from a nested section, or a key that is missing here: the path is there already
        raise ConfigError(f"{section.path}: {error}") from None


def _request_class(section: JsonObject) -> model.RequestClass:
    with _located(section):
        return model.RequestClass(
            name=section.text("name"),
            latency_objective_ms=section.required("slo_ms"),
            deadline_ms=section.required("hard_limit_ms"),
            idempotency=section.choice("effect", IDEMPOTENCY),
            priority_weight=section.required("value"),
            value_after_objective=section.required("late_share"),
            idempotency_scope=section.choice("key_scope", IDEMPOTENCY_SCOPES),
            idempotency_window_ms=section.required("memory_span_ms"),
            streamed=section.required("stream"),
            objective_stretch=section.optional("aim_stretch") or 0.0,
        )


def _plan(section: JsonObject) -> model.Plan:
    with _located(section):
        return model.Plan(
            name=section.text("name"),
            rate=section.required("refill"),
            burst=section.required("most_at_once"),
            max_in_flight=section.required("parallel"),
            weight=section.required("value_factor"),
            excess_value=section.required("excess_worth"),
            excess_cost=section.required("overrun_cost"),
            ceiling_rate=section.required("cap_rate"),
            ceiling_burst=section.required("cap_depth"),
            ceiling_slack=section.required("hard_slack"),
        )


def _limits(section: JsonObject) -> model.GatewayLimits:
    with _located(section):
        return model.GatewayLimits(
            max_attempts=section.required("attempts_cap"),
            may_duplicate=section.required("may_duplicate"),
            can_cancel=section.required("cancelling"),
            can_probe=section.required("probes"),
            can_message_peers=section.required("peers"),
            can_send_retry_after=section.required("retry_after"),
            max_open=section.required("open_cap"),
            connect_timeout_ms=section.required("connect_timeout_ms"),
            max_retry_after_ms=section.required("max_retry_after_ms"),
            connection_idle_ms=section.optional("conn_idle_ms") or model.DEFAULT_IDLE_MS,
        )


def _service_rules(section: JsonObject) -> model.ServiceRules:
    with _located(section):
        return model.ServiceRules(
            answer_slack_ms=section.required("answer_slack_ms"),
            drain_grace_ms=section.required("drain_grace_ms"),
            initial_capacity_share=section.required("start_capacity"),
            warm_up_ms=section.required("warm_up_ms"),
            overload_factor=section.required("tip_multiple"),
            overload_window_ms=section.required("fall_ms"),
            poll_deadline_ms=section.required("must_ask_in_ms"),
        )


def _load_report_fields(section: JsonObject) -> tuple[str, ...]:
    names = section.elements("names")
    for number, name in enumerate(names):
        if not isinstance(name, str):
            raise invalid_field(f"{section.path_of('names')}[{number}]", name, "is not a string")
    return tuple(LOAD_FIELD.get(name, name) for name in names)


def settings_from_document(document: object, path: str = "settings") -> model.Settings:
    """Translate the settings object of the simulator's wire or of a configuration file.

    Args:
        document: The object, as JSON was parsed.
        path: Where it stands, for error messages.

    Raises:
        ConfigError: A field is missing or has a value that it can't have; the message names both.
    """
    section = JsonObject(document, path)
    usage = section.nested("family_info")
    with _located(section):
        return model.Settings(
            gateways=section.required("balancers"),
            index=section.required("slot_no"),
            zone=section.required("locality"),
            classes=tuple(_request_class(row) for row in section.nested_elements("services")),
            plans=tuple(_plan(row) for row in section.nested_elements("tariffs")),
            limits=_limits(section.nested("limits")),
            contract=_service_rules(section.nested("contract")),
            discovery=section.choice("discovery", DISCOVERY_MODES),
            load_report_fields=_load_report_fields(section.nested("load_info")),
            usage_period_ms=usage.required("meter_ms"),
            max_request_units=usage.required("largest"),
            reports_final_units=usage.required("settles"),
            has_counter=usage.required("has_counter"),
            counter_timeout_ms=usage.required("count_limit_ms"),
            tick_ms=section.required("tick_ms"),
            cross_zone_cost=section.nested("deductions").required("cross_zone"),
        )
