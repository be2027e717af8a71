"""Reads single values of documents that others wrote, within the bounds of messages and headers.

A value that is not as expected raises `ValueError`, whose text is short whatever the value is.
"""

from __future__ import annotations

import reprlib
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

from redwingbank.bounded_json import UNREADABLE, is_readable

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_TEXT_BYTES = 1024
MAX_INTEGER = 2**63 - 1
# integers up to this one have an exact floating-point number
MAX_NUMBER = 2**53
MAX_REASON_CHARACTERS = 200


class MalformedError(Exception):
    """A document of another writer is not in the expected format."""


@contextmanager
def decoding(what: str) -> Iterator[None]:
    """Raise `MalformedError` for whatever goes wrong in decoding a document."""
    try:
        yield
    except (ArithmeticError, AttributeError, LookupError, TypeError, ValueError) as error:
        reason = f"{type(error).__name__} {error}"
        raise MalformedError(f"{what}: {reason:.{MAX_REASON_CHARACTERS}}") from error


def read_whole(value: Any) -> Any:
    """Read a value of which each part has to be within the bounds of a document."""
    if not is_readable(value):
        raise ValueError(UNREADABLE.value)
    return value


def read_object(value: Any) -> dict[str, Any]:
    """Read a JSON object."""
    if not isinstance(value, dict):
        raise _unexpected(value)
    return value


def read_list(value: Any) -> list[Any]:
    """Read a list."""
    if not isinstance(value, list):
        raise _unexpected(value)
    return value


def read_text(value: Any) -> str:
    """Read a text that can be sent on, in a message and in a header."""
    if not isinstance(value, str) or len(value.encode()) > MAX_TEXT_BYTES:
        raise _unexpected(value)
    if any(character in value for character in "\r\n\0"):
        raise _unexpected(value)
    return value


def read_name(value: Any) -> str:
    """Read a text that is not empty."""
    if not read_text(value):
        raise _unexpected(value)
    return str(value)


def read_integer(value: Any, least: int = 0, most: int = MAX_INTEGER) -> int:
    """Read an integer between two others."""
    if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
        raise _unexpected(value)
    return value


def read_number(value: Any, least: float = 0.0, most: float = MAX_NUMBER) -> float:
    """Read a number between two others."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
        raise _unexpected(value)
    return float(value)


def _unexpected(value: Any) -> ValueError:
    return ValueError(reprlib.repr(value))


__all__ = [
    "MAX_NUMBER",
    "MAX_TEXT_BYTES",
    "MalformedError",
    "decoding",
    "read_integer",
    "read_list",
    "read_name",
    "read_number",
    "read_object",
    "read_text",
    "read_whole",
]
