"""A stand-in engine's prefix cache and the events it publishes late and with gaps."""

from __future__ import annotations

import hashlib
from collections import OrderedDict, deque
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

from redwingbank.rules.blocks import BLOCK_WORDS

EVENTS_KEPT = 5000
KV_BYTES = 1024


class Event(NamedTuple):
    """Blocks stored and evicted at one time."""

    number: int
    at_s: float
    stored: list[int]
    evicted: list[int]


class PrefixCache:
    """Keeps the blocks used last; each change is an event with the next number."""

    def __init__(self, capacity_blocks: int) -> None:
        self.capacity_blocks = capacity_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[Event] = deque(maxlen=EVENTS_KEPT)
        self._number = 0

    def __contains__(self, block: int) -> bool:
        return block in self._blocks

    @property
    def free_tokens(self) -> int:
        """Room left, in tokens."""
        return (self.capacity_blocks - len(self._blocks)) * BLOCK_WORDS

    def touch(self, blocks: Sequence[int]) -> int:
        """Count the leading blocks held, and mark them as just used."""
        held = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            held += 1
        return held

    def store(self, blocks: Sequence[int], now_s: float) -> None:
        """Keep blocks, the last first to go, and evict what was used longest ago."""
        stored = [block for block in blocks if block not in self._blocks]
        for block in reversed(blocks):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        evicted = []
        while len(self._blocks) > self.capacity_blocks:
            evicted.append(self._blocks.popitem(last=False)[0])
        if stored or evicted:
            self._number += 1
            self._events.append(Event(self._number, now_s, stored, evicted))

    def events(self, after: int, until_s: float, gap: int) -> list[dict[str, Any]]:
        """Give events over `after` and not later than `until_s`; each `gap`th is lost."""
        return [
            {"number": event.number, "stored": event.stored, "evicted": event.evicted}
            for event in self._events
            if event.number > after
            and event.at_s <= until_s
            and not (gap and event.number % gap == 0)
        ]


def kv_bytes(block: int) -> bytes:
    """Give the opaque bytes that stand for a block's KV cache."""
    digest = hashlib.blake2b(block.to_bytes(8, "big"), digest_size=64).digest()
    return digest * (KV_BYTES // len(digest))


__all__ = ["Event", "PrefixCache", "kv_bytes"]
