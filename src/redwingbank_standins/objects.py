"""State of the platform stand-in: versioned objects, members, rate limits, fault switches."""

from __future__ import annotations

import math
import time
from typing import Any, NamedTuple

import anyio

VALUE_LIMIT_BYTES = 1_000_000


class PlatformSettings(NamedTuple):
    """Settings of the platform stand-in; a rate of 0 means no limit."""

    value_limit_bytes: int = VALUE_LIMIT_BYTES
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0


class Faults(NamedTuple):
    """The fault switches, set by POST /faults.

    `lost_answers` and `lost_before` are numbers of writes whose connection is closed without a
    response: the former take effect, the latter do not. `late_s` applies a `lost_before` write
    after that delay; 0 drops it. For `stale_s` seconds every read returns the previous version
    of the object. `down` closes each connection without a response, `hang` leaves it open.
    """

    down: bool = False
    hang: bool = False
    delay_ms: float = 0.0
    stale_s: float = 0.0
    lost_answers: int = 0
    lost_before: int = 0
    late_s: float = 0.0
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0
    members_lag_s: float = 0.0


class Entry(NamedTuple):
    """Value of an object at a version; None if the object was deleted."""

    version: int
    value: bytes | None


ABSENT = Entry(0, None)


class TokenBucket:
    """Token bucket that holds at most the tokens of one second.

    A rate of 0 means no limit. A rate below 1 refuses every call, as the bucket never holds a
    whole token.
    """

    def __init__(self) -> None:
        self._tokens = 1.0
        self._refilled_s = time.monotonic()

    def try_take(self, per_s: float) -> bool:
        """Take a token; return False if none is left."""
        now_s = time.monotonic()
        self._tokens = min(per_s, self._tokens + (now_s - self._refilled_s) * per_s)
        self._refilled_s = now_s
        if not per_s:
            return True
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Objects:
    """Versioned objects by key.

    All keys share one version counter, so a key never has the same version twice.
    """

    def __init__(self) -> None:
        self._last_version = 0
        self._current_by_key: dict[str, Entry] = {}
        self._previous_by_key: dict[str, Entry] = {}
        self._changed = anyio.Event()

    def get(self, key: str, *, stale: bool = False) -> Entry:
        """Return an object's current entry, or the previous one if `stale` is set."""
        entries = self._previous_by_key if stale else self._current_by_key
        return entries.get(key, ABSENT)

    def keys(self, prefix: str) -> list[str]:
        """Return the sorted keys of the objects under a prefix."""
        entries = self._current_by_key.items()
        return sorted(
            key for key, entry in entries if entry.value is not None and key.startswith(prefix)
        )

    def write(self, key: str, value: bytes | None, version: int | None) -> tuple[bool, Entry]:
        """Write if the current version is `version`, where None means that no object exists.

        A value of None deletes the object. Returns whether the condition was met, and the
        current entry.
        """
        entry = self.get(key)
        condition_met = (
            entry.value is None if version is None else self._has_version(entry, version)
        )
        if not condition_met:
            return False, entry
        self._last_version += 1
        self._previous_by_key[key] = entry
        self._current_by_key[key] = Entry(self._last_version, value)
        self._changed.set()
        self._changed = anyio.Event()
        return True, self._current_by_key[key]

    async def wait(self, key: str, after: int, timeout_s: float) -> Entry:
        """Return the entry once its version is above `after`, or when the timeout expires."""
        with anyio.move_on_after(timeout_s):
            while self.get(key).version <= after:
                await self._changed.wait()
        return self.get(key)

    @staticmethod
    def _has_version(entry: Entry, version: int) -> bool:
        return entry.value is not None and entry.version == version


class Members:
    """The membership list, which can be read with a delay."""

    def __init__(self) -> None:
        self._lists: list[tuple[float, list[dict[str, Any]]]] = [(-math.inf, [])]

    def put(self, members: list[dict[str, Any]]) -> None:
        """Replace the list."""
        self._lists.append((time.monotonic(), members))

    def delayed(self, lag_s: float) -> list[dict[str, Any]]:
        """Return the list as it was `lag_s` seconds ago."""
        limit_s = time.monotonic() - lag_s
        return [members for at_s, members in self._lists if at_s <= limit_s][-1]


__all__ = [
    "ABSENT",
    "VALUE_LIMIT_BYTES",
    "Entry",
    "Faults",
    "Members",
    "Objects",
    "PlatformSettings",
    "TokenBucket",
]
