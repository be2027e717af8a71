"""Rendezvous hashing: every host ranks the same names in the same order for a key."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

WEIGHT_BYTES = 8
SEPARATOR = b"\0"
# Hosts rank each other for the same few keys with each message that they send.
KEPT_WEIGHTS = 4096


@lru_cache(KEPT_WEIGHTS)
def weight(key: str, name: str) -> int:
    """Compute a name's weight for a key; equal on every host and across restarts."""
    text = key.encode() + SEPARATOR + name.encode()
    return int.from_bytes(blake2b(text, digest_size=WEIGHT_BYTES).digest(), "big")


def ranked(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Sort names by descending weight for a key.

    If a name is removed, only the keys that it ranked first for move, each to its next name.

    >>> ranked("pool/memo-models", ["entry-1", "entry-2"])[0] in ("entry-1", "entry-2")
    True
    """
    return tuple(sorted(names, key=lambda name: (weight(key, name), name), reverse=True))


__all__ = ["ranked", "weight"]
