"""One server's load, fault and records, and the replies that follow from them."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass

from scale.stubs.servers import encode_reply
from soak.fault_kinds import FaultKind
from soak.records import CommandRecord
from soak.settings import MS_PER_S

SERVICE_TIME_SIGMA = 0.4
"""Standard deviation of the logarithm of a service time."""

SLOW_FACTOR = 12.0
OVERLOAD_CAPACITY_FACTOR = 4
"""Requests in flight, in terms of the capacity, from which on a server rejects."""

RESET_SHARE = 0.5
MALFORMED_REPLY_SHARE = 0.6
ERROR_REPLY_SHARE = 0.6
DUPLICATE_REPLY_SHARE = 0.5
LARGE_VALUE_MIN_DRAW = 0.98
LARGE_VALUE_MIN_TIMEOUT_S = 0.3
LARGE_VALUE_BYTES = 300_000
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
"""After a server has read again, how long commands may have waited in the kernel."""

UNKNOWN_LAG_S = 1e9
"""The lag of commands that may have waited in the kernel while the server did not read."""


@dataclass(frozen=True, slots=True)
class ReceivedCommand:
    """A command of PROTOCOL, as far as a server uses it."""

    request_id: bytes
    timeout_s: float

    @classmethod
    def parse(cls, words: list[bytes]) -> ReceivedCommand:
        """Parse the words of a command."""
        fields = dict(part.split(b"=", 1) for part in words[3].split(b","))
        return cls(words[2], float(fields[b"d"]) / MS_PER_S)


class ServerState:
    """What all connections of a server share.

    Args:
        name: Its name.
        capacity: Requests that it works on at a time without getting slower.
        mean_service_s: The service time around which each is drawn.
        seed: The seed of the play.

    Attributes:
        fault: The fault that is on.
        in_flight: The requests that it works on.
        records: The commands that it has received.
        reading_resumed_s: When it began to read again after a fault, by the monotonic clock.
    """

    def __init__(self, name: str, capacity: int, mean_service_s: float, seed: int) -> None:
        self.fault: FaultKind | None = None
        self.in_flight = 0
        self.records: list[CommandRecord] = []
        self.reading_resumed_s = 0.0
        self._name = name
        self._capacity = capacity
        self._mean_service_s = mean_service_s
        self._random = random.Random(f"{name} {seed}")

    @property
    def is_overloaded(self) -> bool:
        """Whether it rejects requests."""
        has_no_capacity = self.in_flight >= OVERLOAD_CAPACITY_FACTOR * self._capacity
        return has_no_capacity or self.fault is FaultKind.OVERLOADED

    def record(self, command: ReceivedCommand, lag_s: float, was_executed: bool) -> None:
        """Record a command that has been received now."""
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

    def draws_reset(self) -> bool:
        """Return whether a request is to end by a reset."""
        return self.fault is FaultKind.RESET_DURING_REQUEST and self._random.random() < RESET_SHARE

    def draw_service_s(self) -> float:
        """Draw a request's service time, without what the requests in flight add."""
        factor = SLOW_FACTOR if self.fault is FaultKind.SLOW else 1.0
        return factor * self._mean_service_s * self._random.lognormvariate(0.0, SERVICE_TIME_SIGMA)

    def load(self) -> float:
        """Return by how much the requests in flight slow each other, at least 1."""
        return max(1.0, self.in_flight / self._capacity)

    def make_reply(self, command: ReceivedCommand) -> bytes:
        """Make the reply to a command, as the fault that is on has it."""
        draw = self._random.random()
        if self.fault is FaultKind.MALFORMED_REPLY and draw < MALFORMED_REPLY_SHARE:
            return self._random.choice(MALFORMED_REPLIES)
        if self.fault is FaultKind.ERROR_REPLY and draw < ERROR_REPLY_SHARE:
            return ERROR_REPLY
        if self.fault is FaultKind.DUPLICATE_REPLY and draw < DUPLICATE_REPLY_SHARE:
            return 2 * encode_reply(command.request_id, None, None)
        value = command.request_id
        if draw > LARGE_VALUE_MIN_DRAW and command.timeout_s > LARGE_VALUE_MIN_TIMEOUT_S:
            value *= LARGE_VALUE_BYTES // len(value)
        return encode_reply(value, None, LOAD_REPORT)
