"""Encoders for commands and replies in RESP2, the protocol of clients and upstream servers."""

from __future__ import annotations

CUSTOMER_ID = "00000000b4d65521"
IDEMPOTENCY_KEY = "5c0f"


def encode_command(*arguments: bytes | str) -> bytes:
    """Encode a command as an array of bulk strings."""
    parts = [argument if isinstance(argument, bytes) else argument.encode() for argument in arguments]
    return b"*%d\r\n" % len(parts) + b"".join(encode_bulk_string(part) for part in parts)


def encode_bulk_string(value: bytes | None) -> bytes:
    """Encode a bulk string; None becomes the null bulk string."""
    return b"$-1\r\n" if value is None else b"$%d\r\n%b\r\n" % (len(value), value)


def encode_reply(value: bytes, used: bytes | None = None, load: bytes | None = None) -> bytes:
    """Encode the reply of an upstream server to a call.

    Args:
        value: Value for the client.
        used: The server's usage report, if it sends one.
        load: The server's load report, if it sends one.
    """
    return b"*3\r\n" + b"".join(encode_bulk_string(part) for part in (value, used, load))


def encode_call(
    number: int,
    class_name: str = "read",
    plan: str = "free",
    body: bytes = b"b",
    timeout_ms: int = 4000,
) -> bytes:
    """Encode a client's request; its id is ``number`` in 16 hexadecimal digits."""
    key = f"k={IDEMPOTENCY_KEY}," if class_name == "post" else ""
    fields = f"c={class_name},t={plan},d={timeout_ms},{key}units=1,spread=2,first=0"
    arguments = (CUSTOMER_ID, f"{number:016x}", fields)
    if class_name == "read":
        return encode_command("CALL.GET", *arguments)
    return encode_command("CALL.POST", *arguments, body)
