"""Notices: small messages that reach every host within seconds, spread with heartbeats."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from redwingbank.messages import Notice

MIN_SENDS = 10
SENDS_PER_LOG_HOST = 2
MAX_TTL_S = 86_400.0
MAX_NOTICES = 4096

NoticeKey = tuple[str, str, str]


class _StoredNotice(NamedTuple):
    notice: Notice
    expires_s: float
    sends_left: int


def sends_per_update(hosts: int) -> int:
    """Number of times that a host sends an update to others.

    If every host sends it `n` times to random others, a given host misses it with a
    probability of about `exp(-n)`. The logarithm compensates for the number of hosts, the
    constant is a safety margin.
    """
    return MIN_SENDS + SENDS_PER_LOG_HOST * math.ceil(math.log2(hosts + 1))


class Notices:
    """A host's notices; for each kind, subject and origin the highest number wins.

    Each notice is sent on a number of times that grows with the logarithm of the host count,
    and is kept until its TTL expires.
    """

    def __init__(self) -> None:
        self._stored_by_key: dict[NoticeKey, _StoredNotice] = {}

    def add(self, notice: Notice, hosts: int, now_s: float) -> bool:
        """Add a notice; returns whether it is new."""
        key = (notice.kind, notice.subject, notice.origin)
        stored = self._stored_by_key.get(key)
        if notice.ttl_s <= 0 or (stored and stored.notice.number >= notice.number):
            return False
        if stored is None and len(self._stored_by_key) >= MAX_NOTICES:
            self._evict()
        expires_s = now_s + min(notice.ttl_s, MAX_TTL_S)
        self._stored_by_key[key] = _StoredNotice(notice, expires_s, sends_per_update(hosts))
        return True

    def select_next(self, count: int, now_s: float) -> tuple[Notice, ...]:
        """Choose the notices for the next heartbeat, least often sent first."""
        self._expire(now_s)
        waiting = [
            (key, stored) for key, stored in self._stored_by_key.items() if stored.sends_left > 0
        ]
        waiting.sort(key=lambda item: -item[1].sends_left)
        for key, stored in waiting[:count]:
            self._stored_by_key[key] = stored._replace(sends_left=stored.sends_left - 1)
        return tuple(_with_remaining_ttl(stored, now_s) for _, stored in waiting[:count])

    def refund_sends(self, notices: Iterable[Notice]) -> None:
        """Undo the counting of sends whose message was not sent."""
        for notice in notices:
            key = (notice.kind, notice.subject, notice.origin)
            stored = self._stored_by_key.get(key)
            if stored and stored.notice.number == notice.number:
                self._stored_by_key[key] = stored._replace(sends_left=stored.sends_left + 1)

    def all(self, now_s: float, kind: str = "") -> tuple[Notice, ...]:
        """All notices that have not expired, or those of one kind."""
        self._expire(now_s)
        return tuple(
            _with_remaining_ttl(stored, now_s)
            for stored in self._stored_by_key.values()
            if kind in ("", stored.notice.kind)
        )

    def _expire(self, now_s: float) -> None:
        expired = [key for key, stored in self._stored_by_key.items() if stored.expires_s <= now_s]
        for key in expired:
            del self._stored_by_key[key]

    def _evict(self) -> None:
        soonest = min(self._stored_by_key, key=lambda key: self._stored_by_key[key].expires_s)
        del self._stored_by_key[soonest]


def _with_remaining_ttl(stored: _StoredNotice, now_s: float) -> Notice:
    return stored.notice._replace(ttl_s=stored.expires_s - now_s)


__all__ = ["Notices", "sends_per_update"]
