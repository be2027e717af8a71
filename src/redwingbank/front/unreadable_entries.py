"""Logs the entries of the store that can't be used."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container

    from redwingbank.decisions import DecisionLog


class UnreadableEntries:
    """Logs each entry that can't be decoded once, however often it is read.

    `event` is the name of the records, and `key` that of their field for the entry's name.
    """

    def __init__(self, log: DecisionLog, event: str, key: str) -> None:
        self._log = log
        self._event = event
        self._key = key
        self._names: set[str] = set()

    def __contains__(self, name: str) -> bool:
        return name in self._names

    def record(self, name: str, error: Exception) -> None:
        """Log an entry, unless it was unreadable before."""
        if name not in self._names:
            self._names.add(name)
            self._log.essential(self._event, **{self._key: name, "reason": str(error)})

    def forget(self, name: str) -> None:
        """Record that an entry is gone or can be decoded."""
        self._names.discard(name)

    def retain(self, names: Container[str]) -> None:
        """Record that no other entries are listed."""
        self._names = {name for name in self._names if name in names}


__all__ = ["UnreadableEntries"]
