"""The JSON form of the messages between two processes of one gateway.

``MESSAGE_FORMATS`` maps the JSON keys to the fields of the messages. Kinds and keys are the wire format
between two versions that run side by side during an upgrade, so they never change.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from enum import Enum
from math import isfinite
from typing import Any, NamedTuple, TypeVar

from quota_gateway.errors import HandoverError
from quota_gateway.model import PeerProcessUsage
from quota_gateway.net.handover.peer_messages import (
    DetachmentReply,
    DetachmentRequest,
    HandedOverConnection,
    HandoverOffer,
    Hello,
    ResourcesInUse,
    Serving,
)

PROTOCOL_VERSION = 1  # processes of different protocol versions do not exchange state

Json = dict[str, Any]
PeerMessage = (
    Hello
    | HandoverOffer
    | Serving
    | HandedOverConnection
    | ResourcesInUse
    | PeerProcessUsage
    | DetachmentRequest
    | DetachmentReply
)
HeaderMessage = TypeVar(
    "HeaderMessage",
    Hello,
    HandedOverConnection,
    ResourcesInUse,
    PeerProcessUsage,
    DetachmentRequest,
    DetachmentReply,
)


class MessageKind(Enum):
    """The kind of a message; the value is the ``kind`` in its header."""

    HELLO = "hello"
    OFFER = "estate"
    SERVING = "serving"
    CONNECTION = "connection"
    DESCRIPTORS_IN_USE = "holds"
    USAGE = "out"
    DETACHMENT_REQUEST = "ban"
    DETACHMENT_REPLY = "banned"

    @staticmethod
    def of(header: Json) -> MessageKind | None:
        """Return the kind of a message, None for a kind that this version does not know.

        Raises:
            HandoverError: The header has no kind.
        """
        if "kind" not in header:
            raise HandoverError(f"message: kind is missing in {header!r:.200}")
        try:
            return MessageKind(header["kind"])
        except ValueError:
            return None


def _finite(value: Any) -> float:
    number = float(value)
    if not isfinite(number):
        raise ValueError("not finite")
    return number


def _finite_or_zero(value: Any) -> float:
    number = float(value)
    return number if isfinite(number) else 0.0


def _non_negative(value: Any) -> int:
    return max(0, int(value))


class JsonField(NamedTuple):
    """One field of a message.

    Attributes:
        name: Name of the field in the code.
        key: Key of the field in the JSON.
        convert: Converts a JSON value; raises ValueError, TypeError or OverflowError if it is malformed.
        default: Value of a missing field; a field with this value is not written. None for a required field.
    """

    name: str
    key: str
    convert: Callable[[Any], Any]
    default: Any = None

    def read(self, kind: MessageKind, document: Json) -> Any:
        """Return the value of the field in a JSON document.

        Raises:
            HandoverError: The field is missing or malformed; the text names kind, key and any invalid value.
        """
        if self.key not in document:
            if self.default is None:
                raise HandoverError(f"{kind.value}: {self.key} is missing")
            return self.default
        value = document[self.key]
        try:
            return self.convert(value)
        except (ValueError, TypeError, OverflowError) as error:
            raise HandoverError(f"{kind.value}: {self.key}={value!r:.200} is malformed: {error!r}") from error


class MessageFormat(NamedTuple):
    """The header of a message: its kind, its fields, and whether it names the protocol version."""

    kind: MessageKind
    fields: tuple[JsonField, ...] = ()
    names_version: bool = False


MESSAGE_FORMATS: dict[type[PeerMessage], MessageFormat] = {
    Hello: MessageFormat(MessageKind.HELLO, names_version=True),
    # The fields of an offer are in the message body.
    HandoverOffer: MessageFormat(MessageKind.OFFER, names_version=True),
    Serving: MessageFormat(MessageKind.SERVING),
    HandedOverConnection: MessageFormat(
        MessageKind.CONNECTION,
        (
            JsonField("has_sent_command", "spoke", bool),
            JsonField("request_count", "asked", int),
            JsonField("command_due_for_s", "owing_s", _finite_or_zero),
            JsonField("waited_s", "waited_s", _finite_or_zero, default=0.0),
            JsonField("silent_s", "silent_s", _finite_or_zero, default=0.0),
        ),
    ),
    ResourcesInUse: MessageFormat(
        MessageKind.DESCRIPTORS_IN_USE,
        (
            JsonField("clients", "clients", _non_negative),
            JsonField("upstream", "servers", _non_negative),
            JsonField("buffered_mebibytes", "mebibytes", _non_negative, 0),
        ),
    ),
    PeerProcessUsage: MessageFormat(
        MessageKind.USAGE,
        (
            JsonField("plan", "plan", str),
            JsonField("customer", "customer", str),
            JsonField("in_flight", "out", int),
            JsonField("excess_change", "change", float),
        ),
    ),
    DetachmentRequest: MessageFormat(
        MessageKind.DETACHMENT_REQUEST,
        (
            JsonField("name", "id", str),
            JsonField("detached", "out", bool),
            JsonField("known", "known", bool),
            JsonField("number", "number", int),
        ),
    ),
    DetachmentReply: MessageFormat(
        MessageKind.DETACHMENT_REPLY,
        (
            JsonField("number", "number", int),
            JsonField("known", "known", bool),
        ),
    ),
}
OFFER_STATE = JsonField("state", "state", dict)
OFFER_REGISTRY = JsonField("registry", "roster", dict)
# The clock offset is optional, as not every version sends it.
OFFER_CLOCK_OFFSET_MS = JsonField("clock_offset_ms", "clock", _finite)


def to_header(message: PeerMessage) -> Json:
    """Return the header of a message."""
    message_format = MESSAGE_FORMATS[type(message)]
    header: Json = {"kind": message_format.kind.value}
    if message_format.names_version:
        header["version"] = PROTOCOL_VERSION
    for field in message_format.fields:
        value = getattr(message, field.name)
        if field.default is None or value != field.default:
            header[field.key] = value
    return header


def from_header(message_type: type[HeaderMessage], header: Json) -> HeaderMessage:
    """Read a message of this type.

    Raises:
        HandoverError: The message is malformed, or of another protocol version.
    """
    message_format = MESSAGE_FORMATS[message_type]
    if message_format.names_version:
        _check_kind_and_version(message_format.kind, header)
    fields = {field.name: field.read(message_format.kind, header) for field in message_format.fields}
    return message_type(**fields)


def _check_kind_and_version(kind: MessageKind, header: Json) -> None:
    if header.get("kind") != kind.value:
        raise HandoverError(f"{kind.value}: kind={header.get('kind')!r:.200} is another kind of message")
    if header.get("version") != PROTOCOL_VERSION:
        raise HandoverError(f"{kind.value}: version={header.get('version')!r:.200} is not {PROTOCOL_VERSION}")


def encode_offer_body(offer: HandoverOffer) -> bytes:
    """Return the body of an offer. The state is not in the header because it may be long."""
    body: Json = {OFFER_STATE.key: offer.state, OFFER_REGISTRY.key: offer.registry}
    if offer.clock_offset_ms is not None:
        body[OFFER_CLOCK_OFFSET_MS.key] = offer.clock_offset_ms
    return json.dumps(body).encode()


def read_offer(header: Json, body: bytes) -> HandoverOffer:
    """Read an offer.

    Raises:
        HandoverError: The message is of another kind or protocol version, or malformed.
    """
    kind = MessageKind.OFFER
    _check_kind_and_version(kind, header)
    try:
        document = json.loads(body)
    except ValueError as error:
        raise HandoverError(f"{kind.value}: the body is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise HandoverError(f"{kind.value}: the body is not an object: {document!r:.200}")
    has_clock_offset = OFFER_CLOCK_OFFSET_MS.key in document
    return HandoverOffer(
        state=OFFER_STATE.read(kind, document),
        registry=OFFER_REGISTRY.read(kind, document),
        clock_offset_ms=OFFER_CLOCK_OFFSET_MS.read(kind, document) if has_clock_offset else None,
    )
