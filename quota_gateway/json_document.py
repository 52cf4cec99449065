"""Reads JSON objects that people write; an error names the path of the field and its value."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

from quota_gateway.errors import InvalidFieldError, MissingFieldError

Choice = TypeVar("Choice")


def invalid_field(field: str, value: object, reason: str) -> InvalidFieldError:
    """Return the error for a field whose value is not allowed.

    Args:
        field: Path of the field, such as ``settings.limits.open_cap``.
        value: Value of the field.
        reason: What is wrong with the value, as the end of a sentence, such as ``is not a list``.
    """
    return InvalidFieldError(field, value, reason)


class JsonObject:
    """A JSON object together with its path in the document."""

    __slots__ = ("_fields", "path")

    def __init__(self, value: object, path: str) -> None:
        if not isinstance(value, dict):
            raise invalid_field(path, value, "is not an object")
        self._fields: dict[str, Any] = value
        self.path = path

    def path_of(self, key: str) -> str:
        """Return the path of a field of this object, as errors name it."""
        return f"{self.path}.{key}"

    def optional(self, key: str) -> Any:
        """Return the value of a field, None if it is missing."""
        return self._fields.get(key)

    def required(self, key: str) -> Any:
        """Return the value of a field.

        Raises:
            MissingFieldError: The field is missing.
        """
        try:
            return self._fields[key]
        except KeyError:
            raise MissingFieldError(self.path_of(key)) from None

    def nested(self, key: str) -> JsonObject:
        """Return the object in a field.

        Raises:
            ConfigError: The field is missing or not an object.
        """
        return JsonObject(self.required(key), self.path_of(key))

    def elements(self, key: str) -> list[Any]:
        """Return the list in a field.

        Raises:
            ConfigError: The field is missing or not a list.
        """
        value = self.required(key)
        if not isinstance(value, list):
            raise invalid_field(self.path_of(key), value, "is not a list")
        return value

    def nested_elements(self, key: str) -> list[JsonObject]:
        """Return the list of objects in a field.

        Raises:
            ConfigError: The field is missing or not a list, or an item is not an object.
        """
        path = self.path_of(key)
        return [JsonObject(item, f"{path}[{number}]") for number, item in enumerate(self.elements(key))]

    def text(self, key: str) -> str:
        """Return the string in a field.

        Raises:
            ConfigError: The field is missing or not a string.
        """
        value = self.required(key)
        if not isinstance(value, str):
            raise invalid_field(self.path_of(key), value, "is not a string")
        return value

    def choice(self, key: str, choices: Mapping[str, Choice]) -> Choice:
        """Return the choice for the string in a field.

        Args:
            key: Key of the field.
            choices: The allowed strings, each with the choice that it stands for.

        Raises:
            ConfigError: The field is missing or its value is not in ``choices``.
        """
        value = self.required(key)
        if not isinstance(value, str) or value not in choices:
            raise invalid_field(self.path_of(key), value, f"is none of {', '.join(sorted(choices))}")
        return choices[value]
