"""Model of the prompt parts that a backend server has cached."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from redwingbank.front.values import PromptPart

# Share of an engine's memory that holds cached prompts while requests run.
PROMPT_CACHE_SHARE = 0.7


class _CachedPart(NamedTuple):
    """A part's length; `read` is true once the server is known to have read it."""

    tokens: int
    read: bool


class PromptCache:
    """Model of a server's prompt cache: shared prompt parts, least recently used first."""

    def __init__(self) -> None:
        self.capacity_tokens = 0
        self._part_by_name: OrderedDict[str, _CachedPart] = OrderedDict()
        self._total_tokens = 0

    def held_tokens(self, parts: Iterable[PromptPart]) -> int:
        """Count the tokens of the leading parts that are cached, or will be when they are read."""
        tokens = 0
        for part in parts:
            if part.name not in self._part_by_name:
                break
            tokens += part.tokens
        return tokens

    def read_tokens(self, parts: Iterable[PromptPart]) -> int:
        """Count the tokens of the leading parts that are read, so that they can be copied."""
        tokens = 0
        for part in parts:
            cached = self._part_by_name.get(part.name)
            if cached is None or not cached.read:
                break
            tokens += part.tokens
        return tokens

    def insert(self, parts: Iterable[PromptPart]) -> None:
        """Add parts as most recently used; evict the least recently used ones over capacity."""
        for part in parts:
            known = self._part_by_name.pop(part.name, None)
            self._total_tokens += part.tokens - (known.tokens if known else 0)
            self._part_by_name[part.name] = _CachedPart(part.tokens, bool(known and known.read))
        while (
            self._total_tokens > self.capacity_tokens * PROMPT_CACHE_SHARE and self._part_by_name
        ):
            _, evicted = self._part_by_name.popitem(last=False)
            self._total_tokens -= evicted.tokens

    def mark_read(self, parts: Iterable[PromptPart]) -> None:
        """Record that the server has read a prompt with these parts."""
        for part in parts:
            if part.name in self._part_by_name:
                self._part_by_name[part.name] = _CachedPart(part.tokens, True)

    def clear(self) -> None:
        """Empty the cache after a restart of the server."""
        self._part_by_name.clear()
        self._total_tokens = 0


__all__ = ["PromptCache"]
