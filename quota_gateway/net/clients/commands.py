"""Parses the clients' commands CALL.GET and CALL.POST into requests, and encodes them for upstream."""

from __future__ import annotations

import re
from collections.abc import Sequence
from typing import NamedTuple

from quota_gateway import model as api
from quota_gateway.errors import CommandError
from quota_gateway.net.resp import Command
from quota_gateway.net.segmented_bytes import Buffer, total_bytes
from quota_gateway.net.upstream.attempt import EncodedCommand

CALL_GET = b"CALL.GET"
CALL_POST = b"CALL.POST"
PING = b"PING"

ARGUMENT_COUNT = 3  # the customer, the request id and the list of fields; a POST has a body after them
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


class CommandEncoder:
    """Encodes a client's command for an upstream server, as often as it is sent.

    The command is forwarded unchanged except for the timeout, which becomes the time that the gateway waits.
    All encoded commands share the pieces of the body with the client's command.

    Args:
        command: A command with a timeout in its list of fields.
    """

    __slots__ = ("__weakref__", "_after_timeout", "_before_fields", "_before_timeout", "_body")

    def __init__(self, command: Command) -> None:
        customer, request_id, field_list = command.arguments
        parts = field_list.split(b",")
        timeout_index = next(index for index, part in enumerate(parts) if part.startswith(TIMEOUT_PREFIX))
        words = (command.name, customer, request_id)
        word_count = len(words) + (1 if command.body is None else 2)
        self._before_fields = b"*%d\r\n" % word_count + b"".join(_encode_word(word) for word in words)
        self._before_timeout = b"".join(part + b"," for part in parts[:timeout_index]) + TIMEOUT_PREFIX
        self._after_timeout = b"".join(b"," + part for part in parts[timeout_index + 1 :])
        self._body: Sequence[Buffer] = ()
        if command.body is not None:
            self._body = (b"$%d\r\n" % total_bytes(command.body), *command.body, b"\r\n")

    @property
    def size_bytes(self) -> int:
        """The approximate length of the command, all of which the encoder holds."""
        heads = (self._before_fields, self._before_timeout, self._after_timeout)
        return total_bytes(heads) + total_bytes(self._body)

    def __call__(self, timeout_ms: float) -> EncodedCommand:
        """Return the command with a timeout in milliseconds, in pieces that are to be written one by one."""
        fields = b"%b%d%b" % (self._before_timeout, max(1, int(timeout_ms)), self._after_timeout)
        return (self._before_fields + _encode_word(fields), *self._body)


def _encode_word(word: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(word), word)


class ParsedRequest(NamedTuple):
    """A request, and the encoder of its command."""

    request: api.Request
    encode: CommandEncoder


class RequestParser:
    """Parses CALL.GET and CALL.POST; every value is checked before anything is charged or forwarded.

    See docs/decisions/client-commands.md for what a lenient parser would accept.
    """

    def __init__(self, settings: api.Settings) -> None:
        self._gateway_count = settings.gateways
        self._max_request_units = settings.max_request_units
        self._classes = {item.name.encode(): item for item in settings.classes}
        self._plans = {item.name.encode(): item.name for item in settings.plans}

    def parse(self, command: Command, waited_ms: float = 0.0) -> ParsedRequest:
        """Parse one command.

        Args:
            command: The command, whose name is CALL.GET or CALL.POST.
            waited_ms: How many milliseconds the command has waited to be read.

        Raises:
            CommandError: An argument is missing, malformed or out of range; the message goes to the client.
        """
        is_write = command.name == CALL_POST
        if len(command.arguments) != ARGUMENT_COUNT or is_write == (command.body is None):
            raise CommandError(f"wrong number of arguments for {command.name.decode()}")
        customer, request_id, field_list = command.arguments
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
        return ParsedRequest(request, CommandEncoder(command))

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
