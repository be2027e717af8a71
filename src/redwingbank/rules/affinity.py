"""Prefix blocks cached at each backend server, estimated from sends and cache events."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from redwingbank.model import CacheEvent

DEFAULT_CAPACITY_BLOCKS = 100_000
REORDER_WINDOW_EVENTS = 64
EVICTION_BATCH_DIVISOR = 64
INITIAL_EVICTED_PER_EVENT = 1.0
EVICTED_EWMA_WEIGHT = 0.1


class _Cache:
    """A server's blocks with the time of their last use, the least recently used first."""

    def __init__(self) -> None:
        self.used_s_by_block: OrderedDict[int, float] = OrderedDict()
        self.last_number: int | None = None
        self.evicted_per_event = INITIAL_EVICTED_PER_EVENT

    def touch(self, block: int, now_s: float) -> None:
        """Mark a block as held and as the most recently used."""
        self.used_s_by_block[block] = now_s
        self.used_s_by_block.move_to_end(block)

    def evict_oldest(self, count: int) -> None:
        """Remove up to `count` blocks, the least recently used first."""
        for _ in range(min(count, len(self.used_s_by_block))):
            self.used_s_by_block.popitem(last=False)

    def oldest_s(self) -> float:
        """Return the time of the least recent use; the cache must not be empty."""
        return next(iter(self.used_s_by_block.values()))


class Affinity:
    """Estimated contents of prefix caches, used as hints: a wrong one only costs a prompt read.

    Blocks of a request are assumed to be cached at the server that it was sent to. Events
    correct that, but arrive late and with gaps. Lost events may have evicted blocks, so a gap
    removes as many of the server's least recently used blocks as its events evict on average.
    An event that a newer one has overtaken still evicts, but stores nothing. An event number
    that is far below the last one means that the server restarted with an empty cache.

    `capacity` bounds the number of blocks over all servers; the least recently used are removed.

    >>> affinity = Affinity(capacity=1000)
    >>> affinity.record_send("runner-1", (11, 12, 13), now_s=0.0)
    >>> affinity.held_prefix("runner-1", (11, 12, 99))
    2
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY_BLOCKS) -> None:
        self._capacity = capacity
        self._cache_by_server: dict[str, _Cache] = {}
        self._now_s = 0.0
        self._block_count = 0

    def __len__(self) -> int:
        """Return the number of blocks over all servers."""
        return self._block_count

    def record_send(self, server: str, blocks: Sequence[int], now_s: float) -> None:
        """Record a send; later blocks of a prompt count as less recently used than its first."""
        self._now_s = max(self._now_s, now_s)
        cache = self._cache_of(server)
        previous_count = len(cache.used_s_by_block)
        for block in reversed(blocks[: self._capacity]):
            cache.touch(block, self._now_s)
        self._block_count += len(cache.used_s_by_block) - previous_count
        self._enforce_capacity()

    def record_event(self, server: str, event: CacheEvent) -> None:
        """Apply a cache event, which may be late, out of order or follow a gap."""
        cache = self._cache_of(server)
        previous_count = len(cache.used_s_by_block)
        if _restarted(cache, event):
            cache.used_s_by_block.clear()
            cache.last_number = None
        overtaken = cache.last_number is not None and event.number <= cache.last_number
        if not overtaken:
            self._advance(cache, event)
        for block in event.evicted:
            cache.used_s_by_block.pop(block, None)
        if not overtaken:
            for block in event.stored[: self._capacity]:
                cache.touch(block, self._now_s)
        self._block_count += len(cache.used_s_by_block) - previous_count
        self._enforce_capacity()

    def held_prefix(self, server: str, blocks: Sequence[int]) -> int:
        """Return how many leading `blocks` the server is estimated to hold."""
        cache = self._cache_by_server.get(server)
        if cache is None:
            return 0
        for length, block in enumerate(blocks):
            if block not in cache.used_s_by_block:
                return length
        return len(blocks)

    def remove_server(self, server: str) -> None:
        """Remove all blocks of a server that crashed or left."""
        cache = self._cache_by_server.pop(server, None)
        self._block_count -= len(cache.used_s_by_block) if cache else 0

    def _cache_of(self, server: str) -> _Cache:
        return self._cache_by_server.setdefault(server, _Cache())

    def _advance(self, cache: _Cache, event: CacheEvent) -> None:
        """Advance to the event's number and evict for the events lost before it."""
        lost = 0 if cache.last_number is None else event.number - cache.last_number - 1
        cache.evict_oldest(round(lost * cache.evicted_per_event))
        cache.last_number = event.number
        difference = len(event.evicted) - cache.evicted_per_event
        cache.evicted_per_event += EVICTED_EWMA_WEIGHT * difference

    def _enforce_capacity(self) -> None:
        """Remove the least recently used blocks over all servers, in batches."""
        excess = self._block_count - self._capacity
        if excess <= 0:
            return
        caches = [cache for cache in self._cache_by_server.values() if cache.used_s_by_block]
        heap = [(cache.oldest_s(), index) for index, cache in enumerate(caches)]
        heapq.heapify(heap)
        for _ in range(excess + self._capacity // EVICTION_BATCH_DIVISOR):
            if not heap:
                return
            _, index = heapq.heappop(heap)
            caches[index].evict_oldest(1)
            self._block_count -= 1
            if caches[index].used_s_by_block:
                heapq.heappush(heap, (caches[index].oldest_s(), index))


def _restarted(cache: _Cache, event: CacheEvent) -> bool:
    """Return whether an event comes from a restarted server, not late from the same run."""
    if cache.last_number is None:
        return False
    return event.number < cache.last_number - REORDER_WINDOW_EVENTS


__all__ = ["DEFAULT_CAPACITY_BLOCKS", "Affinity"]
