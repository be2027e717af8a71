"""Removes heads and pages that no kept revision needs.

The versions of what is to go are read before a new head is written, and each is deleted on
condition of that version after the write took effect. A writer that wants such a page again
writes it anew: before the new head, and its own head then fails; or after, and the deletion fails.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.ports.platform import Stored, Unknown
from redwingbank.rules import pages

if TYPE_CHECKING:
    from redwingbank.ports.platform import Platform

COLLECT_EVERY = 16
KEPT_REVISIONS = 64


class Unused(NamedTuple):
    """An object that no kept revision needs, at the version it was seen with."""

    key: str
    version: int


async def unused(platform: Platform, head: pages.Head) -> tuple[Unused, ...]:
    """List what can go once `head` is in force; nothing where an answer is missing."""
    history = await platform.keys(pages.HISTORY_PREFIX)
    names = await platform.keys(pages.PAGE_PREFIX)
    if isinstance(history, Unknown) or isinstance(names, Unknown):
        return ()
    oldest = max(0, head.revision - KEPT_REVISIONS)
    kept = {pages.history_name(number) for number in range(oldest + 1, head.revision)}
    if not kept.issubset(history):
        return ()
    needed = set(head.root.names())
    for name in sorted(kept):
        stored = await platform.read(name)
        if not isinstance(stored, Stored):
            return ()
        needed.update(pages.decode_head(stored.value).root.names())
    found = []
    for key in (*sorted(set(history) - kept), *sorted(set(names) - needed)):
        stored = await platform.read(key)
        if isinstance(stored, Stored):
            found.append(Unused(key, stored.version))
    return tuple(found)


async def collect(platform: Platform, old: tuple[Unused, ...]) -> None:
    """Delete each object if it is still at its version; what fails is found the next time."""
    for item in old:
        await platform.delete(item.key, item.version)


__all__ = ["COLLECT_EVERY", "KEPT_REVISIONS", "Unused", "collect", "unused"]
