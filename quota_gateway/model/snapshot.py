"""Reading and checking of a state snapshot that another process has left."""

from __future__ import annotations

from typing import Any

from quota_gateway.model.state import Mark, Moment

# What a process that takes over is left of a customer, beside what is out
INHERITED = (
    "excess",
    "touched",
    "largest",
    "gateway_set_size",
    "used",
    "used_at",
    "scarce_until",
    "asked",
    "asked_at",
    "ceiling",
    "ceiling_at",
)


def number_in(value: Any) -> float:
    """A number that was left, perhaps endless; raises ValueError for anything else."""
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value != value:
        raise ValueError(f"{value!r} is no number")
    return value


def moment_in(value: Any) -> Moment:
    return number_in(value[0]), int(value[1])


def marks_in(value: Any) -> dict[str, Mark]:
    return {
        str(name): (number_in(bad), number_in(seen), moment_in(then))
        for name, (bad, seen, then) in value.items()
    }
