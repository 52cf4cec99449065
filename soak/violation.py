"""A rule of the service that a soak has seen broken."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class Rule(StrEnum):
    """The rules that a soak checks, by the names that docs/invariants.md has in its column of soak checks."""

    ANSWERED = "answered"
    DEADLINE = "deadline"
    CLIENT_GONE = "client_gone"
    REPEAT = "repeat"
    REJECT = "reject"
    VALUE = "value"
    DRAIN = "drain"
    DETACHED = "detached"
    SLOW_START = "slow_start"
    PROCESS = "process"
    START = "start"
    """A process is ready in time after its start, or serves on after an upgrade that failed."""


class Violation(msgspec.Struct, frozen=True, rename={"rule": "check"}):
    """A rule that was broken.

    Attributes:
        rule: The rule.
        subject: The id of a request, or the name of a server or a process.
        detail: What was seen, in words.
    """

    rule: Rule
    subject: str
    detail: str
