"""Fetches a table's head and pages from members that have them, or from the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.messages import Member, MemberState, Pulled
from redwingbank.ports.platform import Stored
from redwingbank.rules.pages import (
    HEAD_KEY,
    PAGE_PREFIX,
    Head,
    PageError,
    Root,
    decode_head,
    encode_head,
    missing_pages,
    unpack,
)
from redwingbank.rules.table_change import apply_change, change_name

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping
    from random import Random

    from redwingbank.ports.platform import Platform
    from redwingbank.rules.roster import MemberView

MAX_MEMBERS_TRIED = 4
NAMES_PER_PULL = 256


class Offer(NamedTuple):
    """A head and its `source`: a member's address, or empty for the platform."""

    revision: int
    head: bytes
    source: str


class Goal(NamedTuple):
    """What to fetch: `revision` or a higher one, else the table of `best`.

    `head` and `pages_by_name` are those that this host already has.
    """

    revision: int
    best: Offer
    view: MemberView
    head: Head | None
    pages_by_name: Mapping[str, bytes]


class Fetched(NamedTuple):
    """The highest head that was found and the pages of it that could be fetched."""

    offer: Offer
    pages_by_name: dict[str, bytes]


def revision_of(head: bytes) -> int:
    """Return the revision of an encoded head, 0 if it can't be decoded."""
    try:
        return decode_head(head).revision
    except PageError:
        return 0


def is_page(name: str, value: bytes) -> bool:
    """Whether a value's digest matches the page name."""
    try:
        digest = bytes.fromhex(name.removeprefix(PAGE_PREFIX))
        unpack(Root((digest,)), {name: value})
    except (PageError, ValueError):
        return False
    return True


def _patched_head(old: Head, change: bytes) -> bytes:
    try:
        return encode_head(apply_change(old, change))
    except PageError:
        return b""


class Fetcher:
    """Fetches from several members in random order, those of this data centre first."""

    def __init__(
        self,
        platform: Platform,
        pull: Callable[[str, tuple[str, ...]], Awaitable[Pulled | None]],
        random: Random,
    ) -> None:
        self._platform = platform
        self._pull = pull
        self._random = random

    async def fetch(self, goal: Goal) -> Fetched:
        """Find the newest head, then fetch its pages, first from the source of the head."""
        offer = goal.best
        if goal.revision > offer.revision:
            offer = await self._find_head(goal)
        try:
            root = decode_head(offer.head).root
        except PageError:
            return Fetched(offer, {})
        pages = {
            name: goal.pages_by_name[name] for name in root.names() if name in goal.pages_by_name
        }
        for source in self._sources(goal, offer):
            missing_names = missing_pages(root, pages)
            if not missing_names:
                break
            pages.update(await self._pull_pages(source, missing_names))
        return Fetched(offer, pages)

    async def _find_head(self, goal: Goal) -> Offer:
        best = goal.best
        for member in self._members_having(goal.view, goal.revision):
            head = await self._pull_head(member.address, goal.head)
            offer = Offer(revision_of(head), head, member.address)
            best = max(best, offer, key=lambda item: item.revision)
            if best.revision >= goal.revision:
                return best
        stored = await self._platform.read(HEAD_KEY)
        if isinstance(stored, Stored):
            offer = Offer(revision_of(stored.value), stored.value, "")
            best = max(best, offer, key=lambda item: item.revision)
        return best

    async def _pull_head(self, address: str, old: Head | None) -> bytes:
        """Pull the change since this host's head from a member, or else the whole head."""
        if old is not None:
            name = change_name(old.revision)
            pulled = await self._pull(address, (name,))
            if pulled is None:
                return b""
            if name in pulled.values_by_name:
                return _patched_head(old, pulled.values_by_name[name])
        pulled = await self._pull(address, (HEAD_KEY,))
        return pulled.values_by_name.get(HEAD_KEY, b"") if pulled else b""

    def _members_having(self, view: MemberView, revision: int) -> list[Member]:
        """Return a few members that announced this revision or a higher one."""
        members = [
            member
            for member in view.members[1:]
            if member.revision >= revision and member.state is not MemberState.DEAD
        ]
        self._random.shuffle(members)
        members.sort(key=lambda member: member.data_centre != view.own.data_centre)
        return members[:MAX_MEMBERS_TRIED]

    def _sources(self, goal: Goal, offer: Offer) -> list[str]:
        """Return the addresses to try for pages, the offer's first, the platform (empty) last."""
        members = [member.address for member in self._members_having(goal.view, offer.revision)]
        return list(dict.fromkeys((offer.source, *members, "")))

    async def _pull_pages(self, source: str, names: tuple[str, ...]) -> dict[str, bytes]:
        if not source:
            return await self._read_pages(names)
        pages: dict[str, bytes] = {}
        for start in range(0, len(names), NAMES_PER_PULL):
            pulled = await self._pull(source, names[start : start + NAMES_PER_PULL])
            if pulled is None:
                break
            pages.update(pulled.values_by_name)
        return {
            name: value for name, value in pages.items() if name in names and is_page(name, value)
        }

    async def _read_pages(self, names: tuple[str, ...]) -> dict[str, bytes]:
        pages: dict[str, bytes] = {}
        for name in names:
            stored = await self._platform.read(name)
            if isinstance(stored, Stored) and is_page(name, stored.value):
                pages[name] = stored.value
        return pages


__all__ = ["Fetched", "Fetcher", "Goal", "Offer", "is_page", "revision_of"]
