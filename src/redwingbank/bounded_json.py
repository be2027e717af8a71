"""Decodes JSON that others wrote, within bounds on its nesting and its numbers.

The parser of the standard library recurses into nested values, and raises `RecursionError` where
the stack ends. It also converts numbers that no field can hold, to infinity or to integers of any
size. Here, parts beyond a bound are replaced before a value reaches a decoder, so that one of them
does not make the rest of a document unreadable.
"""

from __future__ import annotations

import json
import math
import re
from enum import Enum
from typing import Any

# Documents in use are far less deep.
MAX_DEPTH = 32
# what is nested no deeper is left to `is_readable`
PRUNED_DEPTH = 2 * MAX_DEPTH
# those of an integer of 64 bits
MAX_DIGITS = 20

# the next brackets outside of texts, as many as open or close one after the other
_NEXT_BRACKETS = re.compile(r'(?:[^"\[\]{}]++|"(?:[^"\\]++|\\.)*+")*+([\[{]++|[\]}]++)', re.DOTALL)
_OPENING = frozenset("[{")
# the parser turns this constant, which JSON does not have, into `UNREADABLE`
_UNREADABLE_TEXT = "NaN"


class Unreadable(Enum):
    """Stands for a part of a document that exceeds a bound."""

    PART = "a part is nested too deeply, or a number is out of range"


UNREADABLE = Unreadable.PART


def decode_json(data: bytes | str) -> Any:
    """Decode a document that is only of use as a whole.

    >>> decode_json('{"slots": 4}')
    {'slots': 4}

    :raises ValueError: if it is not JSON, or a part of it exceeds a bound
    """
    value = _parse(data.decode("utf-8-sig") if isinstance(data, bytes) else data)
    if not is_readable(value):
        raise ValueError(UNREADABLE.value)
    return value


def decode_parts(data: bytes) -> Any:
    """Decode a document of independent parts; `UNREADABLE` stands for what exceeds a bound.

    Bytes that are not UTF-8 become half surrogates, which can't be encoded again.

    >>> decode_parts(b'[{"slots": 4}, 1e999]') == [{"slots": 4}, UNREADABLE]
    True

    :raises ValueError: if the document is not JSON
    """
    return _parse(data.decode("utf-8", "surrogateescape"))


def is_readable(value: Any, levels: int = MAX_DEPTH) -> bool:
    """Whether no part of a decoded value exceeds a bound, with at most so many levels of nesting.

    >>> is_readable({"slots": [4, 5]}), is_readable([{"slots": UNREADABLE}])
    (True, False)
    """
    if isinstance(value, dict):
        value = value.values()
    elif not isinstance(value, list):
        return value is not UNREADABLE
    return levels > 0 and all(is_readable(part, levels - 1) for part in value)


def _parse(text: str) -> Any:
    try:
        return _load(text)
    except RecursionError:
        return _load_pruned(text)


def _load(text: str) -> Any:
    return json.loads(
        text, parse_int=_integer, parse_float=_number, parse_constant=lambda _: UNREADABLE
    )


def _load_pruned(text: str) -> Any:
    try:
        return _load(_prune(text))
    except RecursionError as error:
        raise ValueError("brackets are not closed") from error


def _prune(text: str) -> str:
    """Replace what is nested too deeply; unclosed brackets are left as they are."""
    kept: list[str] = []
    depth = at = kept_to = pruned_from = 0
    while found := _NEXT_BRACKETS.match(text, at):
        at, before = found.end(), depth
        count = at - found.start(1)
        depth += count if found[1][0] in _OPENING else -count
        if before <= PRUNED_DEPTH < depth:
            pruned_from = at - (depth - PRUNED_DEPTH)
        elif depth <= PRUNED_DEPTH < before:
            kept += (text[kept_to:pruned_from], _UNREADABLE_TEXT)
            kept_to = at - (PRUNED_DEPTH - depth)
    return "".join((*kept, text[kept_to:]))


def _integer(text: str) -> int | Unreadable:
    return int(text) if len(text.lstrip("-")) <= MAX_DIGITS else UNREADABLE


def _number(text: str) -> float | Unreadable:
    value = float(text)
    return value if math.isfinite(value) else UNREADABLE


__all__ = ["MAX_DEPTH", "UNREADABLE", "decode_json", "decode_parts", "is_readable"]
