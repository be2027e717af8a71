"""Deletes heads and pages that no kept revision references.

The versions of unused objects are read before a new head is written. Once that write has taken
effect, each object is deleted on condition that its version is unchanged. A concurrent writer
that needs such a page again rewrites it, which raises its version. If the rewrite precedes the
new head, the writer's own head update fails; if it follows the new head, the deletion fails.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.ports.platform import Stored, Unknown
from redwingbank.rules import pages

if TYPE_CHECKING:
    from redwingbank.ports.platform import Platform

PRUNE_EVERY_REVISIONS = 16
KEPT_REVISIONS = 64


class UnusedObject(NamedTuple):
    """An object that no kept revision references, with the version that was read."""

    key: str
    version: int


async def find_unused(platform: Platform, head: pages.Head) -> tuple[UnusedObject, ...]:
    """List the objects to delete once `head` is in force; empty if a read fails."""
    history = await platform.keys(pages.HISTORY_PREFIX)
    page_names = await platform.keys(pages.PAGE_PREFIX)
    if isinstance(history, Unknown) or isinstance(page_names, Unknown):
        return ()
    oldest = max(0, head.revision - KEPT_REVISIONS)
    kept = {pages.history_name(number) for number in range(oldest + 1, head.revision)}
    if not kept.issubset(history):
        return ()
    needed = set(head.root.names())
    for name in sorted(kept):
        stored = await platform.read(name)
        kept_head = pages.readable_head(stored.value) if isinstance(stored, Stored) else None
        if kept_head is None:
            return ()
        needed.update(kept_head.root.names())
    found = []
    for key in (*sorted(set(history) - kept), *sorted(set(page_names) - needed)):
        stored = await platform.read(key)
        if isinstance(stored, Stored):
            found.append(UnusedObject(key, stored.version))
    return tuple(found)


async def delete_unused(platform: Platform, unused: tuple[UnusedObject, ...]) -> None:
    """Delete each object whose version is unchanged; failures are retried by the next pruning."""
    for candidate in unused:
        await platform.delete(candidate.key, candidate.version)


__all__ = [
    "KEPT_REVISIONS",
    "PRUNE_EVERY_REVISIONS",
    "UnusedObject",
    "delete_unused",
    "find_unused",
]
