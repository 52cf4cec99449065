"""Reads the environment and the configuration file into a typed ``Config``."""

from __future__ import annotations

import json
import re
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from quota_gateway.errors import ConfigError
from quota_gateway.json_document import JsonObject, invalid_field
from quota_gateway.model import Settings
from quota_gateway.net.address import Address
from quota_gateway.net.transient_errors import READ_ERRORS
from quota_gateway.resources import MEGABYTE, count_open_descriptors
from quota_gateway.settings_format import settings_from_document

DOCUMENT_PATH = "config"  # path of the configuration file's top-level object in error messages
MAX_PORT = (1 << 16) - 1
# Besides leading zeros, a port has at most five digits. Longer numbers are slow to convert.
PORT_DIGITS = re.compile("0*[0-9]{1,5}")
SEED_BASE = 16  # the seed is a hexadecimal number
# Attempts to read the file at the start, as it may be half-written. A reload retries without blocking the
# event loop.
MAX_START_READS = 10
READ_RETRY_S = 0.02


class Config(NamedTuple):
    """The configuration of a gateway process.

    Attributes:
        path: The configuration file, which is read again at SIGHUP.
        listen: Address at which clients connect.
        discovery: Address of discovery, which sends the endpoint lists.
        admin: Address for admin calls, None if they are not served.
        seed: Seed of all random numbers.
        max_descriptors: Limit of open descriptors of the process.
        inherited_descriptors: Number of descriptors that the process was started with.
        memory_bytes: Limit of resident memory of the process.
        known_endpoints: The endpoint list to start with, as parsed from the file; it may be out of date.
        settings: Settings of the policy engine.
    """

    path: Path
    listen: Address
    discovery: Address
    admin: Address | None
    seed: int
    max_descriptors: int
    inherited_descriptors: int
    memory_bytes: int
    known_endpoints: object
    settings: Settings


def parse_address(field: str, text: object) -> Address:
    """Parse ``HOST:PORT``.

    Raises:
        InvalidFieldError: The text does not have this form, or the port is out of range.
    """
    host, _, digits = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    port = int(digits) if PORT_DIGITS.fullmatch(digits) else 0
    if not host or not 0 < port <= MAX_PORT:
        raise invalid_field(field, text, "is not an address of the form HOST:PORT")
    return host, port


def _integer(section: JsonObject, key: str) -> int:
    value = section.required(key)
    try:
        return int(value)
    except (TypeError, ValueError, OverflowError):
        raise invalid_field(section.path_of(key), value, "is not a number") from None


def _seed(document: JsonObject) -> int:
    text = document.text("seed")
    try:
        return int(text, SEED_BASE)
    except ValueError:
        raise invalid_field(document.path_of("seed"), text, "is not a hexadecimal number") from None


def _read_document(path: Path, max_reads: int = 1) -> JsonObject:
    try:
        content = _read_json(path, max_reads)
    except OSError as error:
        raise ConfigError(f"EDGE_CONFIG: the file can not be read: {error}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"EDGE_CONFIG: {str(path)!r} is not JSON: {error}") from None
    return JsonObject(content, DOCUMENT_PATH)


def _read_json(path: Path, max_reads: int) -> Any:
    """Read the file as JSON; retry for a moment after a transient error or if the file is half-written.

    Raises:
        OSError: The file can't be read.
        ValueError: The file is not JSON.
        RecursionError: The JSON is nested too deeply.
    """
    for _ in range(max_reads - 1):
        try:
            return json.loads(path.read_text())
        except OSError as error:
            if error.errno not in READ_ERRORS:
                raise
        except ValueError:
            pass  # the file may be half-written
        time.sleep(READ_RETRY_S)
    return json.loads(path.read_text())


def _address(environment: Mapping[str, str], variable: str, document: JsonObject, key: str) -> Address:
    """Return the address in the environment if it is set there, else the one in the document."""
    override = environment.get(variable)
    if override:
        return parse_address(f"{variable} ({key})", override)
    return parse_address(document.path_of(key), document.required(key))


def load_config(environment: Mapping[str, str]) -> Config:
    """Read the file that EDGE_CONFIG names; addresses in the environment take precedence over the file.

    Raises:
        ConfigError: A setting is missing or malformed; the message is one line that names field and value.
    """
    file_name = environment.get("EDGE_CONFIG")
    if file_name is None:
        raise ConfigError("EDGE_CONFIG: is not set; it names the configuration file")
    path = Path(file_name)
    document = _read_document(path, MAX_START_READS)
    limits = document.nested("limits")
    has_admin = environment.get("EDGE_MGMT") or document.optional("mgmt")
    return Config(
        path=path,
        listen=_address(environment, "EDGE_LISTEN", document, "listen"),
        discovery=_address(environment, "EDGE_DISCOVERY", document, "discovery"),
        admin=_address(environment, "EDGE_MGMT", document, "mgmt") if has_admin else None,
        seed=_seed(document),
        max_descriptors=_integer(limits, "sockets"),
        inherited_descriptors=count_open_descriptors(),
        memory_bytes=_integer(limits, "memory_mb") * MEGABYTE,
        known_endpoints=document.required("known"),
        settings=settings_from_document(document.required("settings")),
    )


def read_discovery_address(path: Path) -> Address:
    """Return the address of discovery that is in the configuration file now.

    Raises:
        ConfigError: The file is missing, half-written or malformed.
    """
    document = _read_document(path)
    return parse_address(document.path_of("discovery"), document.required("discovery"))
