"""Violations of the service's rules that a soak has found."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class Rule(StrEnum):
    """The rules that a soak checks, under the names in the soak check column of docs/invariants.md."""

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
    """A process must be ready in time after its start, and keep serving after a failed upgrade."""


class Violation(msgspec.Struct, frozen=True, rename={"rule": "check"}):
    """A violation of a rule.

    Attributes:
        rule: The violated rule.
        subject: The id of a request, or the name of a server or a process.
        detail: A description of what was observed.
    """

    rule: Rule
    subject: str
    detail: str
