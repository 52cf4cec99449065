"""The load, fault and records of one server, and its replies, which depend on the fault."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass

from scale.stubs.servers import encode_reply
from soak.fault_kinds import FaultKind
from soak.records import BegunReply, CommandRecord, CompleteReply, RequestClass
from soak.settings import MS_PER_S

SERVICE_TIME_SIGMA = 0.4
"""Standard deviation of the logarithm of a service time."""

SLOW_FACTOR = 12.0
OVERLOAD_CAPACITY_FACTOR = 4
"""Requests in flight, as a multiple of the capacity, at which a server starts to reject requests."""

RESET_SHARE = 0.5
MALFORMED_REPLY_SHARE = 0.6
ERROR_REPLY_SHARE = 0.6
DUPLICATE_REPLY_SHARE = 0.5
LARGE_VALUE_MIN_DRAW = 0.98
LARGE_VALUE_MIN_TIMEOUT_S = 0.3
LARGE_VALUE_BYTES = 300_000
LONG_VALUE_BYTES = 2 * 1024 * 1024
ENDLESS_VALUE_SHARE = 0.08
"""Share of the long values that stop in the middle, with their connection left open."""

LATE_BODY_SHARE = 0.25
"""Share of the long values whose header comes at once and whose body comes late."""

MIN_BODY_DELAY_S, MAX_BODY_DELAY_S = 0.4, 0.9
"""Delays of a late body, around the latency objective."""

LOAD_REPORT = b"util=0.5,queue=0"
ERROR_REPLY = b"-ERR failed\r\n"
MALFORMED_REPLIES = (
    b"*3\r\n$4\r\nabc\r\n",
    b"$2\r\nok\r\n",
    b"+OK\r\n",
    b"*3\r\n$2\r\nokxx",
    b"-WHAT is this\r\n",
    b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
    b"*9999999999\r\n",
)

RESUMED_READING_S = 0.2
"""Time after a server resumes reading in which the commands read may have waited in the kernel."""

UNKNOWN_LAG_S = 1e9
"""Lag recorded for commands that may have waited in the kernel while the server did not read."""


@dataclass(frozen=True, slots=True)
class ReceivedCommand:
    """The fields that a server uses of a command (PROTOCOL)."""

    request_id: bytes
    timeout_s: float
    class_name: RequestClass

    @property
    def has_long_value(self) -> bool:
        """Whether the value is long."""
        return self.class_name is RequestClass.DOWNLOAD

    @classmethod
    def parse(cls, words: list[bytes]) -> ReceivedCommand:
        """Parse the words of a command."""
        fields = dict(part.split(b"=", 1) for part in words[3].split(b","))
        class_name = RequestClass(fields[b"c"].decode())
        return cls(words[2], float(fields[b"d"]) / MS_PER_S, class_name)


class ServerState:
    """The state that all connections of a server share.

    Args:
        name: The name of the server.
        capacity: The number of requests that it can process at once without slowing down.
        mean_service_s: The median of the log-normal service times; their mean is slightly larger.
        seed: The seed of the run.

    Attributes:
        fault: The current fault; None if there is none.
        in_flight: The number of requests that the server is processing.
        records: The commands that the server has received.
        complete_replies: The long values that the server has written whole.
        begun_replies: The long values whose header the server has written ahead of the rest.
        reading_resumed_s: When the server resumed reading after a fault, by the monotonic clock.
    """

    def __init__(self, name: str, capacity: int, mean_service_s: float, seed: int) -> None:
        self.fault: FaultKind | None = None
        self.in_flight = 0
        self.records: list[CommandRecord] = []
        self.complete_replies: list[CompleteReply] = []
        self.begun_replies: list[BegunReply] = []
        self.reading_resumed_s = 0.0
        self._name = name
        self._capacity = capacity
        self._mean_service_s = mean_service_s
        self._random = random.Random(f"{name} {seed}")

    @property
    def is_overloaded(self) -> bool:
        """Whether the server rejects requests."""
        has_no_capacity = self.in_flight >= OVERLOAD_CAPACITY_FACTOR * self._capacity
        return has_no_capacity or self.fault is FaultKind.OVERLOADED

    def record(self, command: ReceivedCommand, lag_s: float, was_executed: bool) -> None:
        """Record a command that has just been received."""
        now_s = time.monotonic()
        has_just_resumed = now_s - self.reading_resumed_s < RESUMED_READING_S
        record = CommandRecord(
            request_id=command.request_id.decode(),
            server=self._name,
            received_s=now_s,
            lag_s=lag_s + (UNKNOWN_LAG_S if has_just_resumed else 0.0),
            remaining_timeout_s=command.timeout_s,
            was_executed=was_executed,
        )
        self.records.append(record)

    def record_complete_reply(self, command: ReceivedCommand) -> None:
        """Record that a long value has been written whole."""
        reply = CompleteReply(command.request_id.decode(), self._name, time.monotonic())
        self.complete_replies.append(reply)

    def record_begun_reply(self, command: ReceivedCommand) -> None:
        """Record that the header of a long value has been written ahead of the rest."""
        reply = BegunReply(command.request_id.decode(), self._name, time.monotonic())
        self.begun_replies.append(reply)

    def draw_body_delay_s(self) -> float:
        """Draw for how long the body of a long value comes after its header; 0 for most."""
        if self._random.random() >= LATE_BODY_SHARE:
            return 0.0
        return self._random.uniform(MIN_BODY_DELAY_S, MAX_BODY_DELAY_S)

    def draw_written_bytes(self, reply_bytes: int) -> int:
        """Draw how many bytes of a long value are written; fewer than all of a value that never ends."""
        if self._random.random() < ENDLESS_VALUE_SHARE:
            return int(reply_bytes * self._random.random())
        return reply_bytes

    def draws_reset(self) -> bool:
        """Draw whether a request ends by a connection reset; return the result."""
        return self.fault is FaultKind.RESET_DURING_REQUEST and self._random.random() < RESET_SHARE

    def draw_service_s(self) -> float:
        """Draw a request's service time, before the slowdown by other requests in flight."""
        factor = SLOW_FACTOR if self.fault is FaultKind.SLOW else 1.0
        return factor * self._mean_service_s * self._random.lognormvariate(0.0, SERVICE_TIME_SIGMA)

    def load(self) -> float:
        """Return the factor by which the requests in flight slow each other down, at least 1."""
        return max(1.0, self.in_flight / self._capacity)

    def make_reply(self, command: ReceivedCommand) -> bytes:
        """Make the reply to a command, which depends on the current fault."""
        draw = self._random.random()
        if self.fault is FaultKind.MALFORMED_REPLY and draw < MALFORMED_REPLY_SHARE:
            return self._random.choice(MALFORMED_REPLIES)
        if self.fault is FaultKind.ERROR_REPLY and draw < ERROR_REPLY_SHARE:
            return ERROR_REPLY
        if self.fault is FaultKind.DUPLICATE_REPLY and draw < DUPLICATE_REPLY_SHARE:
            return 2 * encode_reply(command.request_id, None, None)
        value = command.request_id
        if command.has_long_value:
            value *= LONG_VALUE_BYTES // len(value)
        elif draw > LARGE_VALUE_MIN_DRAW and command.timeout_s > LARGE_VALUE_MIN_TIMEOUT_S:
            value *= LARGE_VALUE_BYTES // len(value)
        return encode_reply(value, None, LOAD_REPORT)
