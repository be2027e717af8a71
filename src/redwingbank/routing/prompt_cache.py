"""Model of the prompt parts that a backend server has cached."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from redwingbank.front.values import PromptPart

# Share of an engine's memory that holds cached prompts while requests run.
PROMPT_CACHE_SHARE = 0.7


class PromptCache:
    """Model of a server's prompt cache: shared prompt parts, least recently used first."""

    def __init__(self) -> None:
        self.capacity_tokens = 0
        self._tokens_by_part_name: OrderedDict[str, int] = OrderedDict()
        self._total_tokens = 0

    def held_tokens(self, parts: Iterable[PromptPart]) -> int:
        """Count the tokens of the leading parts that are cached."""
        tokens = 0
        for part in parts:
            if part.name not in self._tokens_by_part_name:
                break
            tokens += part.tokens
        return tokens

    def insert(self, parts: Iterable[PromptPart]) -> None:
        """Add parts as most recently used; evict the least recently used ones over capacity."""
        for part in parts:
            self._total_tokens += part.tokens - self._tokens_by_part_name.pop(part.name, 0)
            self._tokens_by_part_name[part.name] = part.tokens
        while (
            self._total_tokens > self.capacity_tokens * PROMPT_CACHE_SHARE
            and self._tokens_by_part_name
        ):
            _, tokens = self._tokens_by_part_name.popitem(last=False)
            self._total_tokens -= tokens

    def clear(self) -> None:
        """Empty the cache after a restart of the server."""
        self._tokens_by_part_name.clear()
        self._total_tokens = 0


__all__ = ["PromptCache"]
