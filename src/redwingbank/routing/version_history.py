"""Which software versions the servers of each pool have had lately."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from redwingbank.front.values import ServerEntry

# A host that was held up for longer may have missed a version.
MAX_GAP_S = 1.5
FORGET_S = 600.0


class VersionHistory:
    """The versions that were listed, and since when this host has watched the list.

    >>> history = VersionHistory()
    >>> history.observe([], now_s=0.0)
    >>> history.only_version(["desk-model"], within_s=5.0, now_s=0.0)
    ''
    """

    def __init__(self) -> None:
        self._since_s = float("inf")
        self._observed_s = float("-inf")
        self._seen_s_by_pool: dict[str, dict[str, float]] = {}

    def observe(self, entries: Iterable[ServerEntry], now_s: float) -> None:
        """Record the listed servers; call it several times a second."""
        if now_s - self._observed_s > MAX_GAP_S:
            self._since_s = now_s
        self._observed_s = now_s
        self.note(entries, now_s)
        for pool, seen_s in list(self._seen_s_by_pool.items()):
            old = [version for version, at_s in seen_s.items() if now_s - at_s > FORGET_S]
            for version in old:
                del seen_s[version]
            if not seen_s:
                del self._seen_s_by_pool[pool]

    def note(self, entries: Iterable[ServerEntry], now_s: float) -> None:
        """Record entries as soon as they are known, also those that are gone again at once."""
        for entry in entries:
            self._seen_s_by_pool.setdefault(entry.pool, {})[entry.version] = now_s

    def resume(self, gap_s: float, now_s: float) -> None:
        """Record that the list was read whole; what came and went since `gap_s` ago is unknown."""
        if gap_s > MAX_GAP_S:
            self._since_s = now_s

    def only_version(self, pools: Collection[str], within_s: float, now_s: float) -> str:
        """Return the only version that servers of some pools had within a time.

        Empty if there was more than one, or if this host has not watched for so long.
        """
        since_s = now_s - within_s
        versions = {
            version
            for pool in pools
            for version, at_s in self._seen_s_by_pool.get(pool, {}).items()
            if at_s >= since_s
        }
        watched = self._since_s <= since_s and now_s - self._observed_s <= MAX_GAP_S
        return versions.pop() if watched and len(versions) == 1 else ""


__all__ = ["VersionHistory"]
