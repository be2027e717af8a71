"""Notices: small news that every host must have within seconds, spread with heartbeats."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from redwingbank.messages import Notice

LEAST_SENDS = 10
SENDS_PER_LOG_HOST = 2
HIGHEST_TTL_S = 86_400.0
HIGHEST_KEPT = 4096

NoticeKey = tuple[str, str, str]


class _Kept(NamedTuple):
    notice: Notice
    expires_s: float
    sends_left: int


def sends_per_update(hosts: int) -> int:
    """How often a host passes news on.

    Where every host sends it `n` times to random others, one host misses it with a chance of
    about `exp(-n)`; the logarithm makes up for the number of hosts, the rest is the margin.
    """
    return LEAST_SENDS + SENDS_PER_LOG_HOST * math.ceil(math.log2(hosts + 1))


class Notices:
    """The notices a host has; the highest number of a kind, subject and origin wins.

    Each is passed on a number of times that grows with the logarithm of the host count, and
    kept until its time to live has passed.
    """

    def __init__(self) -> None:
        self._kept_by_key: dict[NoticeKey, _Kept] = {}

    def add(self, notice: Notice, hosts: int, now_s: float) -> bool:
        """Take a notice in; tells whether it is news."""
        key = (notice.kind, notice.subject, notice.origin)
        kept = self._kept_by_key.get(key)
        if notice.ttl_s <= 0 or (kept and kept.notice.number >= notice.number):
            return False
        if kept is None and len(self._kept_by_key) >= HIGHEST_KEPT:
            self._make_room()
        expires_s = now_s + min(notice.ttl_s, HIGHEST_TTL_S)
        self._kept_by_key[key] = _Kept(notice, expires_s, sends_per_update(hosts))
        return True

    def next(self, count: int, now_s: float) -> tuple[Notice, ...]:
        """Choose the notices of the next heartbeat: those sent least often first."""
        self._expire(now_s)
        waiting = [(key, kept) for key, kept in self._kept_by_key.items() if kept.sends_left > 0]
        waiting.sort(key=lambda item: -item[1].sends_left)
        for key, kept in waiting[:count]:
            self._kept_by_key[key] = kept._replace(sends_left=kept.sends_left - 1)
        return tuple(_aged(kept, now_s) for _, kept in waiting[:count])

    def refund_sends(self, notices: Iterable[Notice]) -> None:
        """Count a passing on as not done, where its message never left."""
        for notice in notices:
            key = (notice.kind, notice.subject, notice.origin)
            kept = self._kept_by_key.get(key)
            if kept and kept.notice.number == notice.number:
                self._kept_by_key[key] = kept._replace(sends_left=kept.sends_left + 1)

    def all(self, now_s: float, kind: str = "") -> tuple[Notice, ...]:
        """Every notice in force, or those of one kind."""
        self._expire(now_s)
        return tuple(
            _aged(kept, now_s)
            for kept in self._kept_by_key.values()
            if kind in ("", kept.notice.kind)
        )

    def _expire(self, now_s: float) -> None:
        gone = [key for key, kept in self._kept_by_key.items() if kept.expires_s <= now_s]
        for key in gone:
            del self._kept_by_key[key]

    def _make_room(self) -> None:
        soonest = min(self._kept_by_key, key=lambda key: self._kept_by_key[key].expires_s)
        del self._kept_by_key[soonest]


def _aged(kept: _Kept, now_s: float) -> Notice:
    return kept.notice._replace(ttl_s=kept.expires_s - now_s)


__all__ = ["Notices", "sends_per_update"]
