"""Checks of field values, shared by the dataclasses of the model."""

from math import inf


def require_numbers(owner: object, minimum: float, *names: str) -> None:
    """Check that fields are finite numbers.

    Args:
        owner: The object whose fields are checked.
        minimum: The least value that is allowed.
        names: The fields.

    Raises:
        ValueError: A field is no number of at least ``minimum``; the text names field and value.
    """
    for name in names:
        value = getattr(owner, name)
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not (is_number and minimum <= value < inf):
            raise ValueError(
                f"{type(owner).__name__}.{name}: {value!r} is not a number of at least {minimum}"
            )


def require_not(is_wrong: bool, owner: object, name: str, reason: str) -> None:
    """Refuse a field.

    Args:
        is_wrong: Whether the field is refused.
        owner: The object that has the field.
        name: The field.
        reason: What is wrong with it, as the end of a sentence.

    Raises:
        ValueError: The field is refused; the text names field, value and reason.
    """
    if is_wrong:
        raise ValueError(f"{type(owner).__name__}.{name}: {getattr(owner, name)!r} {reason}")
