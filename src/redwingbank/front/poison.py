"""Requests that crash each backend server that runs them, known again by what they ask."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank.decisions import DecisionLog

# the platform's bound: three servers may be lost to a request before it is kept from the rest
MOST_CRASHES = 3
# a server that crashed shows within this time: it can't be reached, or its entry goes
CRASH_SHOWS_S = 3.0
# as long as the product's own quarantine
HELD_S = 600.0
# what is remembered at once, in requests and in crashes of one: the oldest goes first
MOST_REMEMBERED = 2000
MOST_KEPT = 16
DIGEST_BYTES = 12


class CrashNews(NamedTuple):
    """A request crashed a server that it had run on for `ran_s`, or ran whole and is `cleared`."""

    fingerprint: str
    ran_s: float = 0.0
    cleared: bool = False


class _Lost(NamedTuple):
    """A request whose answer was lost with its connection."""

    fingerprint: str
    sent_s: float
    lost_s: float


class Poison:
    """Counts the servers that a request has crashed one after the other, over all hosts.

    Requests are one and the same where path, organisation and body are. A lost answer counts
    once its server shows itself down. Of servers that crash at the same time one counts: only
    a request that was sent after a crash can have caused the next. A whole answer clears all.
    `spread` tells the other hosts.

    >>> poison = Poison(lambda news: None, None)
    >>> for server, sent_s in (("i-1", 0.0), ("i-2", 1.0), ("i-3", 2.0)):
    ...     poison.lost(server, "f", sent_s, sent_s + 0.1)
    ...     poison.server_down(server, sent_s + 0.2)
    >>> poison.held("f", 3.0)
    True
    """

    def __init__(self, spread: Callable[[CrashNews], None], log: DecisionLog | None) -> None:
        self._spread = spread
        self._log = log
        self._lost_by_server: dict[str, list[_Lost]] = {}
        self._crashes_by_fingerprint: OrderedDict[str, list[_Lost]] = OrderedDict()

    def held(self, fingerprint: str, now_s: float) -> bool:
        """Tell whether a request is kept from servers."""
        crashes = self._crashes_by_fingerprint.get(fingerprint)
        if not crashes or now_s - crashes[-1].lost_s >= HELD_S:
            return False
        return _in_a_row(crashes) >= MOST_CRASHES

    def lost(self, server: str, fingerprint: str, sent_s: float, now_s: float) -> None:
        """Note a request whose answer was lost with its connection."""
        lost = self._lost_by_server.setdefault(server, [])
        lost[:] = [one for one in lost if now_s - one.lost_s < CRASH_SHOWS_S]
        lost.append(_Lost(fingerprint, sent_s, now_s))

    def server_down(self, server: str, now_s: float) -> None:
        """Hold a server's crash against the requests that were lost with it."""
        for one in self._lost_by_server.pop(server, ()):
            if now_s - one.lost_s < CRASH_SHOWS_S:
                self._blame(one)
                self._spread(CrashNews(one.fingerprint, one.lost_s - one.sent_s))

    def done(self, fingerprint: str) -> None:
        """Clear a request that was answered whole."""
        if self._crashes_by_fingerprint.pop(fingerprint, None):
            self._spread(CrashNews(fingerprint, cleared=True))

    def heard(self, news: CrashNews, now_s: float) -> None:
        """Take another host's word."""
        if news.cleared:
            self._crashes_by_fingerprint.pop(news.fingerprint, None)
        else:
            self._blame(_Lost(news.fingerprint, now_s - news.ran_s, now_s))

    def _blame(self, one: _Lost) -> None:
        crashes = self._crashes_by_fingerprint.setdefault(one.fingerprint, [])
        self._crashes_by_fingerprint.move_to_end(one.fingerprint)
        crashes.append(one)
        crashes.sort(key=_lost_s)
        del crashes[:-MOST_KEPT]
        while len(self._crashes_by_fingerprint) > MOST_REMEMBERED:
            self._crashes_by_fingerprint.popitem(last=False)
        if self._log:
            in_a_row = _in_a_row(crashes)
            self._log.essential("crash-blamed", fingerprint=one.fingerprint, in_a_row=in_a_row)


def _lost_s(one: _Lost) -> float:
    return one.lost_s


def _in_a_row(crashes: list[_Lost]) -> int:
    """How many of the crashes, by time, each came of a run that began after the one before."""
    count, last_s = 0, float("-inf")
    for one in crashes:
        if one.sent_s >= last_s:
            count, last_s = count + 1, one.lost_s
    return count


def fingerprint_of(target: bytes, organisation: str, body: bytes) -> str:
    """Name a request by what it asks and for whom.

    >>> fingerprint_of(b"/memo/x", "bakery", b"") == fingerprint_of(b"/memo/x", "bakery", b"a")
    False
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (target, organisation.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


__all__ = ["CrashNews", "Poison", "fingerprint_of"]
