"""Parses the clients' commands CALL.GET and CALL.POST into requests, and encodes them for upstream."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import NamedTuple

from quota_gateway import model as api
from quota_gateway.errors import CommandError

CALL_GET = b"CALL.GET"
CALL_POST = b"CALL.POST"
PING = b"PING"

GET_ARGUMENT_COUNT = 4  # a GET consists of its name, the customer, the request id and the list of fields
# A POST consists of its name, the customer, the request id, the list of fields and the body.
POST_ARGUMENT_COUNT = 5
CLIENT_MARGIN_MS = 10.0  # part of a client's timeout that is reserved for the network and event loop delays
MAX_CUSTOMER_NUMBER = (1 << 33) - 1
CUSTOMER_PATTERN = re.compile(rb"[0-9a-fA-F]{16}")
ID_PATTERN = re.compile(rb"[0-9A-Za-z]{1,64}")  # request ids and idempotency keys
INTEGER_PATTERN = re.compile(rb"[0-9]{1,6}")
DECIMAL_PATTERN = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")

# Names of the fields on the wire.
CLASS_FIELD = b"c"
PLAN_FIELD = b"t"
TIMEOUT_MS_FIELD = b"d"
IDEMPOTENCY_KEY_FIELD = b"k"
RETRY_FIELD = b"r"
UNITS_FIELD = b"units"
GATEWAY_SET_SIZE_FIELD = b"spread"
FIRST_GATEWAY_FIELD = b"first"

TIMEOUT_PREFIX = TIMEOUT_MS_FIELD + b"="

Fields = dict[bytes, bytes]
Encoder = Callable[[float], bytes]


def _matching_field(fields: Fields, name: bytes, pattern: re.Pattern[bytes]) -> bytes:
    text = fields.get(name, b"")
    if not pattern.fullmatch(text):
        raise CommandError(f"bad or missing value of {name.decode()}")
    return text


def _split_fields(field_list: bytes) -> Fields:
    """Split ``c=read,t=free`` into names and values; a name may occur once only."""
    fields: Fields = {}
    for part in field_list.split(b","):
        name, equals, value = part.partition(b"=")
        if not equals or not name or name in fields:
            raise CommandError("bad list of names and values")
        fields[name] = value
    return fields


def _parse_customer(text: bytes) -> str:
    if not CUSTOMER_PATTERN.fullmatch(text) or int(text, 16) > MAX_CUSTOMER_NUMBER:
        raise CommandError("bad customer")
    return text.decode("ascii").lower()


def _parse_timeout_ms(fields: Fields, request_class: api.RequestClass, waited_ms: float) -> float:
    """Return how long the reply may take, in milliseconds.

    The deadline of the class limits the client's timeout, and with it how long timers are kept.
    """
    timeout_ms = float(_matching_field(fields, TIMEOUT_MS_FIELD, DECIMAL_PATTERN))
    if timeout_ms <= 0.0:
        raise CommandError(f"bad value of {TIMEOUT_MS_FIELD.decode()}")
    return max(0.0, min(timeout_ms, request_class.deadline_ms) - waited_ms - CLIENT_MARGIN_MS)


def upstream_encoder(name: bytes, command: list[bytes], field_list: bytes) -> Encoder:
    """Return a function that encodes a client's command for an upstream server.

    The command is forwarded unchanged except for the timeout, which becomes the time that the gateway waits.

    Args:
        name: The command's name in upper case.
        command: The command as the client sent it.
        field_list: The command's list of fields, which includes a timeout.

    Returns:
        A function that takes the timeout in milliseconds and returns the command's bytes.
    """
    parts = field_list.split(b",")
    timeout_index = next(index for index, part in enumerate(parts) if part.startswith(TIMEOUT_PREFIX))

    def encode(timeout_ms: float) -> bytes:
        parts[timeout_index] = TIMEOUT_PREFIX + b"%d" % max(1, int(timeout_ms))
        words = [name, command[1], command[2], b",".join(parts), *command[4:]]
        return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)

    return encode


class ParsedRequest(NamedTuple):
    """A request, and the function that encodes it for a server with a timeout in milliseconds."""

    request: api.Request
    encode: Encoder


class RequestParser:
    """Parses CALL.GET and CALL.POST; every value is checked before anything is charged or forwarded.

    See docs/decisions/client-commands.md for what a lenient parser would accept.
    """

    def __init__(self, settings: api.Settings) -> None:
        self._gateway_count = settings.gateways
        self._max_request_units = settings.max_request_units
        self._classes = {item.name.encode(): item for item in settings.classes}
        self._plans = {item.name.encode(): item.name for item in settings.plans}

    def parse(self, command: list[bytes], waited_ms: float = 0.0) -> ParsedRequest:
        """Parse one command.

        Args:
            command: The command's name and arguments; the name is CALL.GET or CALL.POST in any case.
            waited_ms: How many milliseconds the command has waited to be read.

        Raises:
            CommandError: An argument is missing, malformed or out of range; the message goes to the client.
        """
        name = command[0].upper()
        is_write = name == CALL_POST
        if len(command) != (POST_ARGUMENT_COUNT if is_write else GET_ARGUMENT_COUNT):
            raise CommandError(f"wrong number of arguments for {name.decode()}")
        _, customer, request_id, field_list = command[:GET_ARGUMENT_COUNT]
        fields = _split_fields(field_list)
        request_class, plan = self._class_and_plan(fields, is_write)
        if fields.get(RETRY_FIELD, b"1") not in (b"0", b"1"):
            raise CommandError(f"bad value of {RETRY_FIELD.decode()}")
        if not ID_PATTERN.fullmatch(request_id):
            raise CommandError("bad request id")
        request = api.Request(
            request_id=request_id.decode("ascii"),
            class_name=request_class.name,
            plan=plan,
            customer=_parse_customer(customer),
            timeout_ms=_parse_timeout_ms(fields, request_class, waited_ms),
            units=self._parse_units(fields),
            gateway_set_size=self._parse_gateway_number(fields, GATEWAY_SET_SIZE_FIELD, 1),
            first_gateway=self._parse_gateway_number(fields, FIRST_GATEWAY_FIELD, 0),
            is_retry=fields.get(RETRY_FIELD) == b"1",
            is_write=is_write,
        )
        return ParsedRequest(request, upstream_encoder(name, command, field_list))

    def _class_and_plan(self, fields: Fields, is_write: bool) -> tuple[api.RequestClass, str]:
        request_class = self._classes.get(fields.get(CLASS_FIELD, b""))
        plan = self._plans.get(fields.get(PLAN_FIELD, b""))
        if request_class is None or plan is None:
            raise CommandError("unknown class or plan")
        if is_write == (request_class.idempotency is api.Idempotency.IDEMPOTENT):
            raise CommandError("the class does not go with the command")
        if request_class.idempotency is api.Idempotency.KEYED:
            _matching_field(fields, IDEMPOTENCY_KEY_FIELD, ID_PATTERN)
        return request_class, plan

    def _parse_units(self, fields: Fields) -> float:
        units = float(_matching_field(fields, UNITS_FIELD, DECIMAL_PATTERN))
        if not 0.0 < units <= self._max_request_units:
            raise CommandError(f"bad value of {UNITS_FIELD.decode()}")
        return units

    def _parse_gateway_number(self, fields: Fields, name: bytes, lowest: int) -> int:
        """Parse the size of a gateway set, at least 1, or the number of its first gateway, at least 0."""
        number = int(_matching_field(fields, name, INTEGER_PATTERN))
        if not lowest <= number < self._gateway_count + lowest:
            raise CommandError(f"bad value of {name.decode()}")
        return number
