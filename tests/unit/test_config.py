"""Reading of the environment and the configuration file, and the errors if they are malformed."""

import copy
import errno
import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from quota_gateway import DiscoveryMode, Idempotency, IdempotencyScope
from quota_gateway.config import load_config, read_discovery_address
from quota_gateway.errors import MAX_SHOWN_CHARACTERS, ConfigError, InvalidFieldError, MissingFieldError
from quota_gateway.json_document import invalid_field
from quota_gateway.resources import MEGABYTE
from tests.support.settings_document import SETTINGS_DOCUMENT

DOCUMENT: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:7001",
    "discovery": "127.0.0.1:7002",
    "mgmt": "127.0.0.1:7003",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": {"generation": 1, "reset": True, "instances": []},
    "settings": SETTINGS_DOCUMENT,
}
MISSING = object()
HALF_WRITTEN = "half written"


@dataclass(frozen=True)
class MalformedField:
    """A field of the document, its malformed value, and texts that the error message contains."""

    path: tuple[str | int, ...]
    value: Any
    words: tuple[str, ...]

    def document(self) -> dict[str, Any]:
        """Return the document with this field malformed."""
        document = copy.deepcopy(DOCUMENT)
        section: Any = document
        for step in self.path[:-1]:
            section = section[step]
        if self.value is MISSING:
            del section[self.path[-1]]
        else:
            section[self.path[-1]] = self.value
        return document

    def __str__(self) -> str:
        value = "missing" if self.value is MISSING else repr(self.value)
        return f"{'.'.join(map(str, self.path))}={value}"


def missing(*path: str | int) -> MalformedField:
    name = "".join(f"[{step}]" if isinstance(step, int) else f".{step}" for step in path)
    return MalformedField(path, MISSING, (f"{name[1:]}: is missing",))


MALFORMED_FIELDS = [
    missing("listen"),
    missing("discovery"),
    missing("seed"),
    missing("known"),
    missing("limits"),
    missing("limits", "sockets"),
    missing("limits", "memory_mb"),
    missing("settings"),
    missing("settings", "balancers"),
    missing("settings", "services"),
    missing("settings", "services", 0, "slo_ms"),
    missing("settings", "tariffs", 0, "refill"),
    missing("settings", "limits", "attempts_cap"),
    missing("settings", "contract", "warm_up_ms"),
    missing("settings", "load_info", "names"),
    missing("settings", "family_info", "largest"),
    missing("settings", "deductions", "cross_zone"),
    MalformedField(("listen",), "127.0.0.1", ("config.listen: '127.0.0.1' is not an address",)),
    MalformedField(("listen",), "127.0.0.1:" + "9" * 5000, ("config.listen: ", "is not an address")),
    MalformedField(("discovery",), 7, ("config.discovery: 7 is not an address",)),
    MalformedField(("mgmt",), "127.0.0.1:70000", ("config.mgmt: '127.0.0.1:70000' is not an address",)),
    MalformedField(("seed",), 5, ("config.seed: 5 is not a string",)),
    MalformedField(("seed",), "xyz", ("config.seed: 'xyz' is not a hexadecimal number",)),
    MalformedField(("limits",), [], ("config.limits: [] is not an object",)),
    MalformedField(("limits", "sockets"), None, ("config.limits.sockets: None is not a number",)),
    MalformedField(("limits", "memory_mb"), "much", ("config.limits.memory_mb: 'much' is not a number",)),
    MalformedField(("limits", "memory_mb"), float("inf"), ("config.limits.memory_mb: inf is not a number",)),
    MalformedField(("settings",), "x", ("settings: 'x' is not an object",)),
    MalformedField(("settings", "balancers"), 0, ("settings.balancers: 0 is not a number of at least 1",)),
    MalformedField(
        ("settings", "slot_no"), 2, ("settings.slot_no: 2 is not below the number of gateways, 2",)
    ),
    MalformedField(("settings", "discovery"), "by post", ("settings.discovery: 'by post' is none of",)),
    MalformedField(("settings", "discovery"), [], ("settings.discovery: [] is none of",)),
    MalformedField(("settings", "services"), {}, ("settings.services: {} is not a list",)),
    MalformedField(("settings", "services"), [], ("settings.services: [] is not a list of at least one",)),
    MalformedField(("settings", "services", 0), 3, ("settings.services[0]: 3 is not an object",)),
    MalformedField(("settings", "services", 0, "name"), ["a"], ("settings.services[0].name: ['a'] is not",)),
    MalformedField(("settings", "services", 0, "effect"), "x", ("settings.services[0].effect: 'x' is none",)),
    MalformedField(
        ("settings", "services", 0, "slo_ms"),
        "soon",
        ("settings.services[0].slo_ms: 'soon' is not a number of at least 0",),
    ),
    MalformedField(
        ("settings", "services", 0, "hard_limit_ms"),
        0,
        ("settings.services[0].hard_limit_ms: 0 is not a number above 0",),
    ),
    MalformedField(
        ("settings", "tariffs", 0, "most_at_once"),
        0,
        ("settings.tariffs[0].most_at_once: 0 is not a number above 0",),
    ),
    MalformedField(
        ("settings", "limits", "attempts_cap"),
        True,
        ("settings.limits.attempts_cap: True is not a number of at least 1",),
    ),
    MalformedField(
        ("settings", "contract", "start_capacity"),
        2,
        ("settings.contract.start_capacity: 2 is not a number of at most 1",),
    ),
    MalformedField(("settings", "load_info", "names"), "q", ("settings.load_info.names: 'q' is not a list",)),
    MalformedField(("settings", "load_info", "names"), ["q", 5], ("settings.load_info.names[1]: 5 is not",)),
    MalformedField(("settings", "family_info"), None, ("settings.family_info: None is not an object",)),
]
MALFORMED_FILES = {
    "empty": (b"", "is not JSON"),
    "half-written": (b'{"listen": "127.0', "is not JSON"),
    "no text": (b"\xff\xfe\xfd", "is not JSON"),
    "too deep": (b"[" * 200_000, "is not JSON"),
    "a list": (b"[1]", "config: [1] is not an object"),
}


def write(folder: Path, document: dict[str, Any]) -> dict[str, str]:
    """Write the configuration file to the folder and return the environment that names the file."""
    path = folder / "config.json"
    path.write_text(json.dumps(document))
    return {"EDGE_CONFIG": str(path)}


def test_configuration_is_read_whole(tmp_path):
    config = load_config(write(tmp_path, DOCUMENT))
    assert config.path == tmp_path / "config.json"
    assert (config.listen, config.discovery) == (("127.0.0.1", 7001), ("127.0.0.1", 7002))
    assert config.admin == ("127.0.0.1", 7003)
    assert config.seed == 0x8C1F30D27A5BE964
    assert (config.max_descriptors, config.memory_bytes) == (1024, 192 * MEGABYTE)
    assert config.known_endpoints == DOCUMENT["known"]


def test_settings_are_translated_to_the_fields_of_the_model(tmp_path):
    settings = load_config(write(tmp_path, DOCUMENT)).settings
    (request_class,) = settings.classes
    (plan,) = settings.plans
    assert (settings.gateways, settings.index, settings.zone) == (2, 0, "a")
    assert settings.discovery is DiscoveryMode.PUSH
    assert settings.load_report_fields == ("utilisation", "queue")
    assert (request_class.latency_objective_ms, request_class.deadline_ms) == (500.0, 2000.0)
    assert request_class.idempotency is Idempotency.IDEMPOTENT
    assert request_class.idempotency_scope is IdempotencyScope.ALL
    assert (plan.rate, plan.burst, plan.max_in_flight) == (2.0, 4.0, 0)
    assert (settings.limits.max_attempts, settings.limits.connection_idle_ms) == (3, 30_000.0)
    assert (settings.service_rules.overload_factor, settings.service_rules.overload_window_ms) == (
        3.0,
        2000.0,
    )


def test_addresses_in_the_environment_take_precedence_over_the_file(tmp_path):
    document = {key: value for key, value in DOCUMENT.items() if key not in ("listen", "discovery", "mgmt")}
    environment = {
        **write(tmp_path, document),
        "EDGE_LISTEN": "127.0.0.2:1",
        "EDGE_DISCOVERY": "127.0.0.3:2",
        "EDGE_MGMT": "127.0.0.4:65535",
    }
    config = load_config(environment)
    assert (config.listen, config.discovery) == (("127.0.0.2", 1), ("127.0.0.3", 2))
    assert config.admin == ("127.0.0.4", 65_535)


@pytest.mark.parametrize("value", [MISSING, None, ""])
def test_admin_calls_are_not_served_without_an_address(value, tmp_path):
    document = {**DOCUMENT, "mgmt": value}
    if value is MISSING:
        del document["mgmt"]
    assert load_config(write(tmp_path, document)).admin is None


def test_missing_variable_is_named():
    with pytest.raises(ConfigError, match=r"^EDGE_CONFIG: is not set"):
        load_config({})


@pytest.mark.parametrize("name", ["missing.json", "."])
def test_file_that_can_not_be_read_is_named(name, tmp_path):
    with pytest.raises(ConfigError, match=r"^EDGE_CONFIG: the file can not be read: "):
        load_config({"EDGE_CONFIG": str(tmp_path / name)})


@pytest.mark.parametrize("name", MALFORMED_FILES)
def test_file_that_is_not_a_json_object_is_reported(name, tmp_path):
    content, words = MALFORMED_FILES[name]
    path = tmp_path / "config.json"
    path.write_bytes(content)
    with pytest.raises(ConfigError) as caught:
        load_config({"EDGE_CONFIG": str(path)})
    assert words in str(caught.value)
    with pytest.raises(ConfigError) as caught:
        read_discovery_address(path)
    assert words in str(caught.value)


@pytest.mark.parametrize("malformed", MALFORMED_FIELDS, ids=str)
def test_malformed_field_is_reported_by_its_path_and_value(malformed, tmp_path):
    error_type = MissingFieldError if malformed.value is MISSING else InvalidFieldError
    with pytest.raises(error_type) as caught:
        load_config(write(tmp_path, malformed.document()))
    for words in malformed.words:
        assert words in str(caught.value)
    assert len(str(caught.value).splitlines()) == 1


@pytest.mark.parametrize("variable", ["EDGE_LISTEN", "EDGE_DISCOVERY", "EDGE_MGMT"])
def test_malformed_address_of_the_environment_is_reported_by_its_variable(variable, tmp_path):
    with pytest.raises(ConfigError, match=f"^{variable}.*'nowhere' is not an address"):
        load_config({**write(tmp_path, DOCUMENT), variable: "nowhere"})


def test_long_value_is_truncated_in_the_error():
    text = str(invalid_field("config.listen", "x" * 10_000, "is not an address"))
    assert text == f"config.listen: '{'x' * (MAX_SHOWN_CHARACTERS - 1)}... is not an address"


@pytest.mark.parametrize("error", [errno.EIO, errno.EINTR, errno.ENFILE, HALF_WRITTEN])
def test_start_retries_after_a_transient_read_failure(tmp_path, monkeypatch, error):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(DOCUMENT))
    failures, read_text = [error, error], Path.read_text

    def fail_first(self):
        failure = failures.pop() if failures else None
        if failure == HALF_WRITTEN:
            return read_text(self)[:100]
        if failure:
            raise OSError(failure, "injected fault")
        return read_text(self)

    monkeypatch.setattr(Path, "read_text", fail_first)
    assert load_config({"EDGE_CONFIG": str(path)}).listen == ("127.0.0.1", 7001)
    assert not failures


def test_start_does_not_retry_a_missing_file(tmp_path, monkeypatch):
    monkeypatch.setattr("quota_gateway.config.time", None)  # a retry would fail in ``time.sleep``
    with pytest.raises(ConfigError, match="can not be read"):
        load_config({"EDGE_CONFIG": str(tmp_path / "missing.json")})


def test_error_of_an_invalid_field_has_its_path_value_and_reason(tmp_path):
    malformed = MalformedField(("limits", "sockets"), "many", ())
    with pytest.raises(InvalidFieldError) as caught:
        load_config(write(tmp_path, malformed.document()))
    error = caught.value
    assert (error.field, error.value, error.reason) == ("config.limits.sockets", "many", "is not a number")


def test_error_of_a_missing_field_has_its_path(tmp_path):
    with pytest.raises(MissingFieldError) as caught:
        load_config(write(tmp_path, missing("limits", "memory_mb").document()))
    assert caught.value.field == "config.limits.memory_mb"
