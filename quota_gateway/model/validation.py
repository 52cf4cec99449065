"""Checks of field values, shared by the dataclasses of the model."""

from math import inf


class FieldError(ValueError):
    """A field of a dataclass of the model has a value that is not allowed.

    Attributes:
        field: Name of the field.
        value: Value of the field.
        reason: What is wrong with the value, as the end of a sentence: ``is not a number above 0``.
    """

    def __init__(self, owner: object, field: str, value: object, reason: str) -> None:
        super().__init__(f"{type(owner).__name__}.{field}: {value!r} {reason}")
        self.field = field
        self.value = value
        self.reason = reason


def require_numbers(owner: object, minimum: float, *names: str) -> None:
    """Check that fields are finite numbers.

    Args:
        owner: The object whose fields are checked.
        minimum: Lowest value that is allowed.
        names: Names of the fields.

    Raises:
        FieldError: A field is not a finite number of at least ``minimum``.
    """
    for name in names:
        value = getattr(owner, name)
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not (is_number and minimum <= value < inf):
            raise FieldError(owner, name, value, f"is not a number of at least {minimum:g}")


def require_positive(owner: object, name: str) -> None:
    """Check that a field that is a number is above 0.

    Raises:
        FieldError: The field is not above 0.
    """
    require(getattr(owner, name) > 0, owner, name, "is not a number above 0")


def require(is_allowed: bool, owner: object, name: str, reason: str) -> None:
    """Raise an error unless a field has a value that is allowed.

    Args:
        is_allowed: Whether the value is allowed.
        owner: The object that has the field.
        name: Name of the field.
        reason: What is wrong with the value, as the end of a sentence: ``is not a number above 0``.

    Raises:
        FieldError: The value is not allowed.
    """
    if not is_allowed:
        raise FieldError(owner, name, getattr(owner, name), reason)
