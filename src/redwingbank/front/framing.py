"""Opens packed Cap'n Proto messages so that damaged bytes can only be rejected."""

from __future__ import annotations

from contextlib import nullcontext
from operator import methodcaller
from typing import TYPE_CHECKING, Any, cast

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AbstractContextManager

# Words of 8 bytes that a message may hold, or that reading it may pass over: more than any message
# between hosts. Lists of empty structs count, too.
MAX_WORDS = 65_536
WORD_BYTES = 8
COUNT_BYTES = 4
# The bits of the first tag for the bytes that count the segments, and the most bytes that the
# first word of a message takes when it is packed.
SEGMENTS_TAG = 0x0F
PACKED_WORD_BYTES = 10
ZERO_TAG = 0x00
LITERAL_TAG = 0xFF


def open_message(schema: Any, data: bytes) -> AbstractContextManager[Any]:
    """Open a message for as long as the context lasts.

    The library reads a packed message of several segments as it is used, and ends the process if
    bytes are missing then. So these are unpacked first.

    :raises ValueError: if the packing is damaged
    :raises capnp.KjException: if the message is
    """
    if _has_one_segment(data):
        return nullcontext(schema.from_bytes_packed(data, traversal_limit_in_words=MAX_WORDS))
    unpacked = unpack(data, MAX_WORDS * WORD_BYTES)
    message = schema.from_bytes(unpacked, traversal_limit_in_words=MAX_WORDS)
    return cast("AbstractContextManager[Any]", message)


def unpack(data: bytes, most_bytes: int) -> bytes:
    """Unpack a message, or only its first `most_bytes`.

    >>> unpack(bytes([0x01, 7, 0x00, 1]), 64) == bytes([7]) + bytes(23)
    True

    :raises ValueError: if the message ends too early
    """
    unpacked = bytearray()
    at = 0
    while at < len(data) and len(unpacked) < most_bytes:
        tag = data[at]
        at += 1
        for bit in range(8):
            present = tag >> bit & 1
            unpacked += data[at : at + 1] if present else b"\0"
            at += present
        if tag in {ZERO_TAG, LITERAL_TAG}:
            length = WORD_BYTES * (data[at] if at < len(data) else 0)
            at += 1
            if tag == ZERO_TAG:
                unpacked += bytes(length)
            else:
                unpacked += data[at : at + length]
                at += length
        if at > len(data):
            raise ValueError("packed message ends too early")
    return bytes(unpacked[:most_bytes])


def field_reader(schema: Any, name: str) -> Callable[[Any], Any]:
    """Return a function that reads a field of a struct.

    It takes a third of the time of an attribute, which looks the field up by its name each time.
    """
    return methodcaller("_get_by_field", schema.schema.fields[name])


def list_reader(schema: Any, name: str) -> Callable[[Any], list[Any]]:
    """Return a function that reads a list of a struct; one that is not set takes little time."""
    field = schema.schema.fields[name]
    is_set, read = methodcaller("_has_by_field", field), methodcaller("_get_by_field", field)
    return lambda struct: list(read(struct)) if is_set(struct) else []


def _has_one_segment(data: bytes) -> bool:
    if len(data) > PACKED_WORD_BYTES and data[0] != ZERO_TAG and not data[0] & SEGMENTS_TAG:
        return True
    return int.from_bytes(unpack(data, COUNT_BYTES), "little") == 0


# Returns the name of the member of a struct's union that is set.
read_kind = methodcaller("_which_str")

__all__ = ["field_reader", "list_reader", "open_message", "read_kind", "unpack"]
