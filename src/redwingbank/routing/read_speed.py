"""How fast a backend server reads prompts, learned from the first events of its answers."""

from __future__ import annotations

import math

# The engines' data sheets state 38 to 50 prompt tokens per ms.
INITIAL_TOKENS_PER_S = 40_000.0
MIN_TOKENS_PER_S = 2000.0
MAX_TOKENS_PER_S = 100_000.0
# A sample's weight falls by a factor of e while the server reads this many tokens.
MEMORY_TOKENS = 50_000.0
# Time from the end of a prompt's read to its first event, which is not spent reading.
FIRST_EVENT_S = 0.02


class ReadSpeed:
    """Prompt tokens read per second while prompts were waiting.

    Answers bursts of mixed ranks: an urgent prompt passes those that wait, so the time of a
    single prompt tells nothing about the backlog. Only the tokens read over a busy time do,
    whatever their order.

    >>> speed = ReadSpeed()
    >>> speed.read_begun(0.0)
    >>> for at_s in range(1, 100):
    ...     speed.prompt_read(10_000, float(at_s))
    >>> round(speed.tokens_per_s, -2)
    10000.0
    """

    def __init__(self) -> None:
        self.tokens_per_s = INITIAL_TOKENS_PER_S
        self._tokens = MEMORY_TOKENS
        self._seconds = MEMORY_TOKENS / INITIAL_TOKENS_PER_S
        self._counted_until_s = 0.0

    @property
    def last_progress_s(self) -> float:
        """When the last known prompt was read, or the first one after an idle time was sent."""
        return self._counted_until_s

    def read_begun(self, now_s: float) -> None:
        """Record that a prompt is sent to the server while no other one waits there."""
        self._counted_until_s = max(self._counted_until_s, now_s)

    def prompt_read(self, tokens: int, first_event_s: float) -> None:
        """Record that the answer to a prompt of `tokens` unread tokens has begun."""
        read_s = max(0.0, first_event_s - FIRST_EVENT_S - self._counted_until_s)
        self._counted_until_s = max(self._counted_until_s, first_event_s - FIRST_EVENT_S)
        keep = math.exp(-tokens / MEMORY_TOKENS)
        self._tokens = keep * self._tokens + tokens
        self._seconds = keep * self._seconds + read_s
        speed = self._tokens / max(self._seconds, self._tokens / MAX_TOKENS_PER_S)
        self.tokens_per_s = max(speed, MIN_TOKENS_PER_S)


__all__ = ["ReadSpeed"]
