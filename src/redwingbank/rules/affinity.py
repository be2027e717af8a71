"""Which backend server holds which prefix blocks, as far as sends and cache events tell."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from redwingbank.model import CacheEvent

DEFAULT_CAPACITY = 100_000
REORDER_WINDOW = 64
SWEEP_SHARE = 64
INITIAL_EVICTED_PER_EVENT = 1.0
EVICTED_WEIGHT = 0.1


class _Cache:
    """A server's blocks, the least recently used first, each with the time of its last use."""

    def __init__(self) -> None:
        self.used_s_by_block: OrderedDict[int, float] = OrderedDict()
        self.last_number: int | None = None
        self.evicted_per_event = INITIAL_EVICTED_PER_EVENT

    def touch(self, block: int, now_s: float) -> None:
        """Count a block as held and as the most recently used."""
        self.used_s_by_block[block] = now_s
        self.used_s_by_block.move_to_end(block)

    def drop_oldest(self, count: int) -> None:
        """Forget up to `count` blocks, the least recently used first."""
        for _ in range(min(count, len(self.used_s_by_block))):
            self.used_s_by_block.popitem(last=False)

    def oldest_s(self) -> float:
        """Time of the least recent use; the cache must not be empty."""
        return next(iter(self.used_s_by_block.values()))


class Affinity:
    """Knowledge of prefix caches: hints only, so a wrong one costs a reading and breaks nothing.

    A send is taken to leave its blocks at the server. Events correct that, though they come
    late and with gaps: lost events may have evicted blocks, so a gap forgets as many of the
    server's least recently used blocks as its events evict on average. An event that is
    overtaken may still evict, but stores nothing. A number that falls far back is a restart
    with an empty cache.

    `capacity` bounds the blocks remembered over all servers; the least recently used go first.

    >>> affinity = Affinity(capacity=1000)
    >>> affinity.sent("runner-1", (11, 12, 13), now_s=0.0)
    >>> affinity.held("runner-1", (11, 12, 99))
    2
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self._capacity = capacity
        self._cache_by_server: dict[str, _Cache] = {}
        self._now_s = 0.0
        self._total = 0

    def __len__(self) -> int:
        """Count the blocks remembered over all servers."""
        return self._total

    def record_send(self, server: str, blocks: Sequence[int], now_s: float) -> None:
        """Note a send; later blocks of a prompt count as used less recently than its first."""
        self._now_s = max(self._now_s, now_s)
        cache = self._cache_of(server)
        before = len(cache.used_s_by_block)
        for block in reversed(blocks[: self._capacity]):
            cache.touch(block, self._now_s)
        self._total += len(cache.used_s_by_block) - before
        self._bound()

    def record_event(self, server: str, event: CacheEvent) -> None:
        """Take in a cache event, which may be late, out of order or follow a gap."""
        cache = self._cache_of(server)
        before = len(cache.used_s_by_block)
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
        self._total += len(cache.used_s_by_block) - before
        self._bound()

    def held_prefix(self, server: str, blocks: Sequence[int]) -> int:
        """Length of the leading run of `blocks` that the server is thought to hold."""
        cache = self._cache_by_server.get(server)
        if cache is None:
            return 0
        for length, block in enumerate(blocks):
            if block not in cache.used_s_by_block:
                return length
        return len(blocks)

    def remove_server(self, server: str) -> None:
        """Drop all that is known of a server, which crashed or left."""
        cache = self._cache_by_server.pop(server, None)
        self._total -= len(cache.used_s_by_block) if cache else 0

    def _cache_of(self, server: str) -> _Cache:
        return self._cache_by_server.setdefault(server, _Cache())

    def _advance(self, cache: _Cache, event: CacheEvent) -> None:
        """Move to the event's number and age the cache by the events that were lost."""
        lost = 0 if cache.last_number is None else event.number - cache.last_number - 1
        cache.drop_oldest(round(lost * cache.evicted_per_event))
        cache.last_number = event.number
        difference = len(event.evicted) - cache.evicted_per_event
        cache.evicted_per_event += EVICTED_WEIGHT * difference

    def _bound(self) -> None:
        """Forget the least recently used blocks over all servers, some at a time."""
        excess = self._total - self._capacity
        if excess <= 0:
            return
        caches = [cache for cache in self._cache_by_server.values() if cache.used_s_by_block]
        heap = [(cache.oldest_s(), index) for index, cache in enumerate(caches)]
        heapq.heapify(heap)
        for _ in range(excess + self._capacity // SWEEP_SHARE):
            if not heap:
                return
            _, index = heapq.heappop(heap)
            caches[index].drop_oldest(1)
            self._total -= 1
            if caches[index].used_s_by_block:
                heapq.heappush(heap, (caches[index].oldest_s(), index))


def _restarted(cache: _Cache, event: CacheEvent) -> bool:
    """Tell a restarted server's first events from late ones of the same run."""
    if cache.last_number is None:
        return False
    return event.number < cache.last_number - REORDER_WINDOW


__all__ = ["DEFAULT_CAPACITY", "Affinity"]
