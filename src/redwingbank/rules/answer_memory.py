"""Bounds the bytes of unfinished answers that a process keeps for all of its requests together.

Answers servers that send events or bodies without end, to many requests at once: a limit for each
answer bounds an answer, not the process.
"""

from __future__ import annotations

from typing import Protocol

# An answer may always keep this much, so that a few long ones can't end all the others.
OWN_BYTES = 64 * 1024


class SharedMemory(Protocol):
    """The memory of a process, of which unfinished answers are a part."""

    def has_room(self, size: int) -> bool:
        """Whether so many bytes more may be kept."""

    def resize_answers(self, change: int) -> None:
        """Count a change of what unfinished answers keep."""


class AnswerMemory:
    """The bytes that unfinished answers keep, and how many they may keep together.

    Each answer may keep `OWN_BYTES`, whatever the others keep, and more while all of them keep no
    more than `most_bytes`. What they keep counts in the memory that they share with requests, if
    there is one, and has to fit there too.

    >>> memory = AnswerMemory(most_bytes=100_000)
    >>> first, second = KeptBytes(memory), KeptBytes(memory)
    >>> first.resize(90_000), second.resize(60_000), second.resize(70_000)
    (True, True, False)
    >>> first.resize(0), second.resize(70_000), memory.kept_bytes
    (True, True, 70000)
    """

    def __init__(self, most_bytes: int, shared: SharedMemory | None = None) -> None:
        self.kept_bytes = 0
        self._most_bytes = most_bytes
        self._shared = shared

    def resize(self, before: int, after: int) -> bool:
        """Count an answer's bytes anew; return False, and count none, if they are too many."""
        kept = self.kept_bytes - before
        fits = after <= OWN_BYTES or kept + after <= self._most_bytes
        if self._shared:
            more = after - before
            fits = fits and (after <= OWN_BYTES or more <= 0 or self._shared.has_room(more))
            self._shared.resize_answers(more if fits else -before)
        self.kept_bytes = kept + after if fits else kept
        return fits


class KeptBytes:
    """What one unfinished answer keeps of its process's memory for answers."""

    def __init__(self, memory: AnswerMemory) -> None:
        self._memory = memory
        self._size = 0

    def resize(self, size: int) -> bool:
        """Keep so many bytes; return False if they are too many, which are to be dropped then."""
        if size == self._size:
            return True
        fits = self._memory.resize(self._size, size)
        self._size = size if fits else 0
        return fits


__all__ = ["OWN_BYTES", "AnswerMemory", "KeptBytes", "SharedMemory"]
