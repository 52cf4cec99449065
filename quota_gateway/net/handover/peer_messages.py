"""The messages between two processes of one gateway, as typed values and as JSON.

The JSON kinds and keys are the wire format between a version and the one that replaces it. Processes of
both run side by side during an upgrade, so that they never change: they are translated to the code's terms
here and nowhere else.

The messages are named tuples, as making the class of a frozen dataclass costs each start of a gateway
1.2 ms in place of 0.3 ms; see ``docs/decisions/handover.md``.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from enum import Enum
from math import isfinite
from typing import Any, NamedTuple, TypeVar

from quota_gateway.errors import HandoverError
from quota_gateway.model import PeerProcessUsage

PROTOCOL_VERSION = 1  # of these messages; a process of another one is not taken over from

Json = dict[str, Any]
T = TypeVar("T")


class MessageKind(Enum):
    """What a message says, by the word in its ``kind``."""

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
        """The kind of a message.

        Returns:
            None for a kind that this version does not know: a later one may add some.

        Raises:
            HandoverError: The header has no kind.
        """
        if "kind" not in header:
            raise HandoverError(f"message: kind is missing in {header!r:.200}")
        try:
            return MessageKind(header["kind"])
        except ValueError:
            return None


def _field(kind: MessageKind, document: Json, key: str, convert: Callable[[Any], T]) -> T:
    """One field of a message; HandoverError that names kind, key and value if it can't be converted."""
    if key not in document:
        raise HandoverError(f"{kind.value}: {key} is missing")
    value = document[key]
    try:
        return convert(value)
    except (ValueError, TypeError, OverflowError) as error:
        raise HandoverError(f"{kind.value}: {key}={value!r:.200} is malformed: {error!r}") from error


def _seconds(kind: MessageKind, header: Json, key: str) -> float:
    """A time in a field; one that is not finite counts as none."""
    seconds = _field(kind, header, key, float)
    return seconds if isfinite(seconds) else 0.0


def _finite(value: Any) -> float:
    number = float(value)
    if not isfinite(number):
        raise ValueError("not finite")
    return number


def _check(kind: MessageKind, header: Json) -> None:
    """Raise HandoverError for a header of another kind or another version of the protocol."""
    if header.get("kind") != kind.value:
        raise HandoverError(f"{kind.value}: kind={header.get('kind')!r:.200} instead")
    if header.get("version") != PROTOCOL_VERSION:
        raise HandoverError(f"{kind.value}: version={header.get('version')!r:.200} is not {PROTOCOL_VERSION}")


class Hello(NamedTuple):
    """The first message of a process that asks to take over."""

    def to_json(self) -> Json:
        """The header of the message."""
        return {"kind": MessageKind.HELLO.value, "version": PROTOCOL_VERSION}

    @staticmethod
    def from_json(header: Json) -> Hello:
        """Read the message; HandoverError if it is another one or of another version."""
        _check(MessageKind.HELLO, header)
        return Hello()


class HandoverOffer(NamedTuple):
    """The state of a process that is taken over from; the listening socket comes with it."""

    state: Json  # the policy engine's
    registry: Json  # the endpoint registry's
    clock_offset_ms: float | None = None  # of the clock of all times in them; None from an earlier version

    def to_json(self) -> Json:
        """The header of the message."""
        return {"kind": MessageKind.OFFER.value, "version": PROTOCOL_VERSION}

    def encode_body(self) -> bytes:
        """The bytes behind the header: the state may be long, and is read apart from it."""
        body: Json = {"state": self.state, "roster": self.registry}
        if self.clock_offset_ms is not None:
            body["clock"] = self.clock_offset_ms
        return json.dumps(body).encode()

    @staticmethod
    def from_json(header: Json, body: bytes) -> HandoverOffer:
        """Read the message; HandoverError if it is another one, of another version or malformed."""
        kind = MessageKind.OFFER
        _check(kind, header)
        try:
            document = json.loads(body)
        except ValueError as error:
            raise HandoverError(f"{kind.value}: the body is not JSON: {error}") from error
        if not isinstance(document, dict):
            raise HandoverError(f"{kind.value}: the body is no object: {document!r:.200}")
        return HandoverOffer(
            state=_field(kind, document, "state", dict),
            registry=_field(kind, document, "roster", dict),
            clock_offset_ms=_field(kind, document, "clock", _finite) if "clock" in document else None,
        )


class Serving(NamedTuple):
    """The process that takes over serves: connections may be passed on to it."""

    def to_json(self) -> Json:
        """The header of the message."""
        return {"kind": MessageKind.SERVING.value}


class PassedConnection(NamedTuple):
    """A client's connection that is passed on; its descriptor and unread bytes come with it."""

    has_sent_command: bool
    request_count: int
    command_due_for_s: float  # for how long a command has been due
    waited_s: float = 0.0  # for how long nothing has been read on it
    silent_s: float = 0.0  # since the last byte of its partial command came

    def to_json(self) -> Json:
        """The header of the message."""
        header = {
            "kind": MessageKind.CONNECTION.value,
            "spoke": self.has_sent_command,
            "asked": self.request_count,
            "owing_s": self.command_due_for_s,
        }
        later = {"waited_s": self.waited_s, "silent_s": self.silent_s}
        return {**header, **{key: seconds for key, seconds in later.items() if seconds}}

    @staticmethod
    def from_json(header: Json) -> PassedConnection:
        """Read the message; HandoverError if it is malformed. A time that is not finite counts as none."""
        kind = MessageKind.CONNECTION
        return PassedConnection(
            has_sent_command=_field(kind, header, "spoke", bool),
            request_count=_field(kind, header, "asked", int),
            command_due_for_s=_seconds(kind, header, "owing_s"),
            # versions before this one do not tell the others
            waited_s=_seconds(kind, header, "waited_s") if "waited_s" in header else 0.0,
            silent_s=_seconds(kind, header, "silent_s") if "silent_s" in header else 0.0,
        )


class DescriptorsInUse(NamedTuple):
    """How many descriptors the process that is taken over from still has of those that both share."""

    clients: int
    upstream: int

    def to_json(self) -> Json:
        """The header of the message."""
        return {
            "kind": MessageKind.DESCRIPTORS_IN_USE.value,
            "clients": self.clients,
            "servers": self.upstream,
        }

    @staticmethod
    def from_json(header: Json) -> DescriptorsInUse:
        """Read the message; HandoverError if it is malformed. A count below none counts as none."""
        kind = MessageKind.DESCRIPTORS_IN_USE
        return DescriptorsInUse(
            clients=max(0, _field(kind, header, "clients", int)),
            upstream=max(0, _field(kind, header, "servers", int)),
        )


class UsageNotification(NamedTuple):
    """What the sender has in flight for a customer, and by how much the customer's excess changed there."""

    usage: PeerProcessUsage

    def to_json(self) -> Json:
        """The header of the message."""
        return {
            "kind": MessageKind.USAGE.value,
            "plan": self.usage.plan,
            "customer": self.usage.customer,
            "out": self.usage.in_flight,
            "change": self.usage.excess_change,
        }

    @staticmethod
    def from_json(header: Json) -> UsageNotification:
        """Read the message; HandoverError if it is malformed."""
        kind = MessageKind.USAGE
        return UsageNotification(
            PeerProcessUsage(
                plan=_field(kind, header, "plan", str),
                customer=_field(kind, header, "customer", str),
                in_flight=_field(kind, header, "out", int),
                excess_change=_field(kind, header, "change", float),
            )
        )


class DetachmentRequest(NamedTuple):
    """An operator's call, to be carried out by the other process as well."""

    name: str  # the server's, as discovery has it
    detached: bool  # whether it is to be detached, or attached again
    known: bool  # whether the sender knows the server: the receiver takes its word for it
    number: int  # of the request, repeated in the reply

    def to_json(self) -> Json:
        """The header of the message."""
        return {
            "kind": MessageKind.DETACHMENT_REQUEST.value,
            "id": self.name,
            "out": self.detached,
            "known": self.known,
            "number": self.number,
        }

    @staticmethod
    def from_json(header: Json) -> DetachmentRequest:
        """Read the message; HandoverError if it is malformed."""
        kind = MessageKind.DETACHMENT_REQUEST
        return DetachmentRequest(
            name=_field(kind, header, "id", str),
            detached=_field(kind, header, "out", bool),
            known=_field(kind, header, "known", bool),
            number=_field(kind, header, "number", int),
        )


class DetachmentReply(NamedTuple):
    """The other process has carried out a detachment request."""

    number: int  # of the request
    known: bool  # whether that process knew the server

    def to_json(self) -> Json:
        """The header of the message."""
        return {"kind": MessageKind.DETACHMENT_REPLY.value, "number": self.number, "known": self.known}

    @staticmethod
    def from_json(header: Json) -> DetachmentReply:
        """Read the message; HandoverError if it is malformed."""
        kind = MessageKind.DETACHMENT_REPLY
        return DetachmentReply(
            number=_field(kind, header, "number", int), known=_field(kind, header, "known", bool)
        )
