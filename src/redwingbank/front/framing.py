"""Opens packed Cap'n Proto messages so that damaged bytes can only be rejected."""

from __future__ import annotations

from contextlib import nullcontext
from typing import TYPE_CHECKING, Any, cast

if TYPE_CHECKING:
    from contextlib import AbstractContextManager

# Words of 8 bytes that a message may hold, or that reading it may pass over: more than any message
# between hosts. Lists of empty structs count, too.
MAX_WORDS = 65_536
WORD_BYTES = 8
COUNT_BYTES = 4
ZERO_TAG = 0x00
LITERAL_TAG = 0xFF


def open_message(schema: Any, data: bytes) -> AbstractContextManager[Any]:
    """Open a message for as long as the context lasts.

    The library reads a packed message of several segments as it is used, and ends the process if
    bytes are missing then. So these are unpacked first.

    :raises ValueError: if the packing is damaged
    :raises capnp.KjException: if the message is
    """
    if _count_segments(data) == 1:
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


def _count_segments(data: bytes) -> int:
    return 1 + int.from_bytes(unpack(data, COUNT_BYTES), "little")


__all__ = ["open_message", "unpack"]
