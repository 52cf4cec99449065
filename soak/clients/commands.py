"""Draw the commands that clients send, each with its record."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass

from soak.clients.connection import ClientConnection
from soak.records import RequestClass, RequestRecord
from soak.settings import MS_PER_S

TIMEOUTS_MS = (60, 150, 400, 1000, 1500)
BODY_SIZES_BYTES = (1, 300, 20_000, 120_000)
MAX_PIPELINED_BODY_BYTES = 300
CUSTOMERS = 64
PLAN = "free"
DOWNLOAD_TIMEOUTS_MS = (150, 250, 400)
"""Short timeouts of downloads, over before an earlier download on the connection is complete."""

MAX_DOWNLOAD_TIMEOUT_MS = 1500
REQUEST_IDS_PER_PROCESS = 1 << 32


@dataclass(frozen=True, slots=True)
class Command:
    """An encoded command and the record of its request."""

    data: bytes
    record: RequestRecord


def encode_command(*words: bytes) -> bytes:
    """Encode a command in RESP."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


class CommandSource:
    """Makes the commands of one process, and keeps their records.

    Args:
        source: The random number generator for all draws.
        class_names: The request classes to draw from.
        process_number: The number of the process, which makes request ids unique among processes.

    Attributes:
        records: The records of all commands, in the order in which they were made.
    """

    def __init__(self, source: random.Random, class_names: list[RequestClass], process_number: int) -> None:
        self.records: list[RequestRecord] = []
        self._random = source
        self._class_names = class_names
        self._last_id = process_number * REQUEST_IDS_PER_PROCESS

    def make(self, connection: ClientConnection, max_body_bytes: int = BODY_SIZES_BYTES[-1]) -> Command:
        """Draw a command for a connection."""
        class_name = self._random.choice(self._class_names)
        timeout_ms = self._random.choice(TIMEOUTS_MS)
        record = self.add_record(connection, class_name, timeout_ms / MS_PER_S)
        customer = f"{self._random.randrange(CUSTOMERS):016x}".encode()
        request_id = record.request_id.encode()
        fields = _encode_fields(record, timeout_ms)
        if class_name is RequestClass.READ:
            return Command(encode_command(b"CALL.GET", customer, request_id, fields), record)
        body = b"x" * min(max_body_bytes, self._random.choice(BODY_SIZES_BYTES))
        return Command(encode_command(b"CALL.POST", customer, request_id, fields, body), record)

    def make_upload(
        self, connection: ClientConnection, body_bytes: int, class_name: RequestClass = RequestClass.KEYED
    ) -> Command:
        """Make a command with a body of this length and a long timeout."""
        record = self.add_record(connection, class_name, TIMEOUTS_MS[-1] / MS_PER_S)
        return self._encode_post(record, TIMEOUTS_MS[-1], b"x" * body_bytes)

    def make_again(self, record: RequestRecord) -> Command:
        """Make a command with the id of a request that was sent before, and what is left of its timeout."""
        left_s = record.sent_s + record.timeout_s - time.monotonic()
        return self._encode_post(record, max(1, int(left_s * MS_PER_S)), b"x")

    def _encode_post(self, record: RequestRecord, timeout_ms: int, body: bytes) -> Command:
        customer = f"{self._random.randrange(CUSTOMERS):016x}".encode()
        fields = _encode_fields(record, timeout_ms)
        data = encode_command(b"CALL.POST", customer, record.request_id.encode(), fields, body)
        return Command(data, record)

    def make_download(self, connection: ClientConnection, has_short_timeout: bool = False) -> Command:
        """Make a command whose value is long."""
        timeout_ms = MAX_DOWNLOAD_TIMEOUT_MS
        if has_short_timeout:
            timeout_ms = self._random.choice(DOWNLOAD_TIMEOUTS_MS)
        record = self.add_record(connection, RequestClass.DOWNLOAD, timeout_ms / MS_PER_S)
        customer = f"{self._random.randrange(CUSTOMERS):016x}".encode()
        fields = _encode_fields(record, timeout_ms)
        return Command(encode_command(b"CALL.GET", customer, record.request_id.encode(), fields), record)

    def make_pipeline(self, connection: ClientConnection, length: int) -> list[Command]:
        """Draw commands with small bodies, to be written together."""
        return [self.make(connection, MAX_PIPELINED_BODY_BYTES) for _ in range(length)]

    def add_record(
        self, connection: ClientConnection, class_name: RequestClass, timeout_s: float
    ) -> RequestRecord:
        """Add and return the record of a request that is not written yet."""
        self._last_id += 1
        record = RequestRecord(
            request_id=f"{self._last_id:016x}",
            class_name=class_name,
            behaviour=connection.behaviour,
            gateway=connection.gateway,
            connected_s=connection.connected_s,
            sent_s=0.0,
            timeout_s=timeout_s,
            is_first=connection.request_count == 0,
            idle_before_s=time.monotonic() - connection.idle_since_s,
        )
        self.records.append(record)
        return record


def _encode_fields(record: RequestRecord, timeout_ms: int) -> bytes:
    key = f"k={record.request_id}," if record.class_name is RequestClass.KEYED else ""
    return f"c={record.class_name},t={PLAN},d={timeout_ms},{key}units=1,spread=1,first=0".encode()
