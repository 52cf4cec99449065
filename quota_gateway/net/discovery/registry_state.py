"""The state of the endpoint registry, as the JSON object that a process hands over to the next process."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

from quota_gateway.errors import StateError
from quota_gateway.net.discovery.endpoint_row import EndpointRow

# The keys on the channel between two processes, which may be of different versions.
ROWS_KEY = "rows"
NUMBERS_KEY = "numbers"
ABSENT_KEY = "absent"
DETACHED_KEY = "barred"


class RegistryState(NamedTuple):
    """The endpoint list, and the numbers of its endpoints.

    Attributes:
        rows: The rows as discovery sent them; untrusted JSON, which is checked when the rows are read.
        numbers: The numbers of endpoints with a row, by name.
        absent: The numbers of endpoints without a row, by name.
        detached: The names of endpoints that operators detached.
    """

    rows: list[EndpointRow]
    numbers: dict[str, int]
    absent: dict[str, int]
    detached: set[str]

    def to_json(self) -> dict[str, Any]:
        """Return the state as a JSON object."""
        return {
            ROWS_KEY: self.rows,
            NUMBERS_KEY: self.numbers,
            ABSENT_KEY: self.absent,
            DETACHED_KEY: sorted(self.detached),
        }

    @classmethod
    def from_json(cls, document: Any) -> RegistryState:
        """Read the state that the previous process exported.

        Raises:
            StateError: A key is missing, a value has the wrong type, or the values contradict each other.
        """
        try:
            state = cls(
                rows=list(document[ROWS_KEY]),
                numbers=_parse_numbers(document[NUMBERS_KEY].items()),
                absent=_parse_numbers(document[ABSENT_KEY].items()),
                detached={str(name) for name in document[DETACHED_KEY]},
            )
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise StateError(f"the exported endpoint registry is malformed: {error!r}") from error
        _require_consistent(state)
        return state

    def all_numbers(self) -> dict[str, int]:
        """Return all numbers that are in use, by name."""
        return {**self.numbers, **self.absent}


def _require_consistent(state: RegistryState) -> None:
    numbers = state.all_numbers()
    if len(set(numbers.values())) != len(numbers):
        raise StateError("the exported endpoint registry gives one number to several endpoints")
    if not state.detached <= set(numbers):
        unnumbered = sorted(state.detached - set(numbers))
        raise StateError(f"the exported endpoint registry has no number for detached {unnumbered!r:.200}")


def _parse_numbers(items: Iterable[tuple[Any, Any]]) -> dict[str, int]:
    return {str(name): int(number) for name, number in items}
