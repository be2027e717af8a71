"""Prefix cache of a stand-in engine and its cache events, published late and with gaps."""

from __future__ import annotations

import hashlib
from collections import OrderedDict, deque
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

from redwingbank.rules.blocks import BLOCK_WORDS

MAX_EVENTS = 5000
KV_BLOCK_BYTES = 1024


class CacheEvent(NamedTuple):
    """Blocks stored and evicted by one change."""

    number: int
    at_s: float
    stored: list[int]
    evicted: list[int]


class PrefixCache:
    """LRU cache of blocks; each change is an event with the next number."""

    def __init__(self, capacity_blocks: int) -> None:
        self.capacity_blocks = capacity_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._last_number = 0

    def __contains__(self, block: int) -> bool:
        return block in self._blocks

    @property
    def free_tokens(self) -> int:
        """Free capacity in tokens."""
        return (self.capacity_blocks - len(self._blocks)) * BLOCK_WORDS

    def touch(self, blocks: Sequence[int]) -> int:
        """Return the number of leading blocks in the cache and mark them as most recently used."""
        hits = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            hits += 1
        return hits

    def store(self, blocks: Sequence[int], now_s: float) -> None:
        """Store blocks and evict the least recently used ones.

        A prompt's last blocks are evicted first, as they are of no use without those before.
        """
        stored = [block for block in blocks if block not in self._blocks]
        for block in reversed(blocks):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        evicted = []
        while len(self._blocks) > self.capacity_blocks:
            evicted.append(self._blocks.popitem(last=False)[0])
        if stored or evicted:
            self._last_number += 1
            self._events.append(CacheEvent(self._last_number, now_s, stored, evicted))

    def events(self, after: int, until_s: float, gap: int) -> list[dict[str, Any]]:
        """Return events numbered above `after` up to `until_s`; every `gap`th is dropped."""
        return [
            {"number": event.number, "stored": event.stored, "evicted": event.evicted}
            for event in self._events
            if event.number > after
            and event.at_s <= until_s
            and not (gap and event.number % gap == 0)
        ]


def kv_bytes(block: int) -> bytes:
    """Return the opaque bytes that represent a block's KV cache."""
    digest = hashlib.blake2b(block.to_bytes(8, "big"), digest_size=64).digest()
    return digest * (KV_BLOCK_BYTES // len(digest))


__all__ = ["CacheEvent", "PrefixCache", "kv_bytes"]
