"""Detects requests that crash each backend server that runs them, by a fingerprint."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from redwingbank.decisions import DecisionLog
    from redwingbank.front.values import PromptPart

# The platform requires that a request is blocked after it has crashed three servers.
MAX_CRASHES = 3
# Within this time a crashed server becomes unreachable or its entry is removed from the store.
CRASH_DETECTION_S = 3.0
# same as `QUARANTINE_TTL_S` of redwingbank.rules.quarantine
BLOCK_S = 600.0
# Bounds of the tracked state; the oldest requests and crashes are dropped first.
MAX_TRACKED_REQUESTS = 2000
MAX_CRASHES_PER_REQUEST = 16
FINGERPRINT_BYTES = 12
PART_FINGERPRINT_BYTES = 8


class CrashNews(NamedTuple):
    """A request crashed a server after running for `ran_s`, or completed and is `cleared`.

    `parts` are the fingerprints of its shared prompt parts.
    """

    fingerprint: str
    ran_s: float = 0.0
    cleared: bool = False
    server: str = ""
    parts: tuple[str, ...] = ()


class _LostAnswer(NamedTuple):
    """A request that lost its connection before its answer was complete."""

    fingerprint: str
    sent_s: float
    lost_s: float
    server: str = ""
    parts: tuple[str, ...] = ()


class PoisonTracker:
    """Counts the servers that a request has crashed in a row, over all hosts.

    Requests with the same path, organisation and body count as one. A lost answer counts as a
    crash once its server is known to be down. Of servers that crash at the same time only one
    counts: each further crash counts only if its run began after the one before. A complete
    answer clears the request. `broadcast` sends crashes and clearances to the other hosts.

    >>> poison = PoisonTracker(lambda news: None, None)
    >>> for server, sent_s in (("i-1", 0.0), ("i-2", 1.0), ("i-3", 2.0)):
    ...     poison.answer_lost(server, "f", sent_s, sent_s + 0.1)
    ...     poison.server_down(server, sent_s + 0.2)
    >>> poison.is_blocked("f", 3.0)
    True
    """

    def __init__(self, broadcast: Callable[[CrashNews], None], log: DecisionLog | None) -> None:
        self._broadcast = broadcast
        self._log = log
        self._lost_by_server: dict[str, list[_LostAnswer]] = {}
        self._crashes_by_fingerprint: OrderedDict[str, list[_LostAnswer]] = OrderedDict()

    def is_blocked(self, fingerprint: str, now_s: float) -> bool:
        """Whether a request must not be sent to any server."""
        crashes = self._crashes_by_fingerprint.get(fingerprint)
        if not crashes or now_s - crashes[-1].lost_s >= BLOCK_S:
            return False
        return _count_in_a_row(crashes) >= MAX_CRASHES

    def answer_lost(
        self,
        server: str,
        fingerprint: str,
        sent_s: float,
        now_s: float,
        parts: tuple[str, ...] = (),
    ) -> None:
        """Record that a request lost its connection to a server."""
        lost = self._lost_by_server.setdefault(server, [])
        lost[:] = [answer for answer in lost if now_s - answer.lost_s < CRASH_DETECTION_S]
        lost.append(_LostAnswer(fingerprint, sent_s, now_s, server, parts))

    def server_down(self, server: str, now_s: float) -> None:
        """Count a server's crash against the requests that recently lost a connection to it."""
        for lost in self._lost_by_server.pop(server, ()):
            if now_s - lost.lost_s < CRASH_DETECTION_S:
                self._record_crash(lost)
                ran_s = lost.lost_s - lost.sent_s
                self._broadcast(
                    CrashNews(lost.fingerprint, ran_s, server=server, parts=lost.parts)
                )

    def answered(self, fingerprint: str) -> None:
        """Clear a request that received a complete answer."""
        if self._crashes_by_fingerprint.pop(fingerprint, None):
            self._broadcast(CrashNews(fingerprint, cleared=True))

    def handle_crash_news(self, news: CrashNews, now_s: float) -> None:
        """Apply a crash or clearance reported by another host."""
        if news.cleared:
            self._crashes_by_fingerprint.pop(news.fingerprint, None)
        else:
            sent_s = now_s - news.ran_s
            self._record_crash(
                _LostAnswer(news.fingerprint, sent_s, now_s, news.server, news.parts)
            )

    def _record_crash(self, crash: _LostAnswer) -> None:
        crashes = self._crashes_by_fingerprint.setdefault(crash.fingerprint, [])
        self._crashes_by_fingerprint.move_to_end(crash.fingerprint)
        crashes.append(crash)
        crashes.sort(key=_lost_s)
        del crashes[:-MAX_CRASHES_PER_REQUEST]
        while len(self._crashes_by_fingerprint) > MAX_TRACKED_REQUESTS:
            self._crashes_by_fingerprint.popitem(last=False)
        if self._log:
            in_a_row = _count_in_a_row(crashes)
            self._log.essential(
                "crash-blamed",
                fingerprint=crash.fingerprint,
                parts=crash.parts,
                server=crash.server,
                in_a_row=in_a_row,
            )


def _lost_s(crash: _LostAnswer) -> float:
    return crash.lost_s


def _count_in_a_row(crashes: list[_LostAnswer]) -> int:
    """Count the crashes, in order of time, whose run began after the previously counted crash."""
    count, last_s = 0, float("-inf")
    for crash in crashes:
        if crash.sent_s >= last_s:
            count, last_s = count + 1, crash.lost_s
    return count


def request_fingerprint(target: bytes, organisation: str, body: bytes) -> str:
    """Hash the target, the organisation and the body of a request.

    >>> first = request_fingerprint(b"/memo/x", "bakery", b"")
    >>> first == request_fingerprint(b"/memo/x", "bakery", b"a")
    False
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (target, organisation.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def part_fingerprints(parts: Iterable[PromptPart]) -> tuple[str, ...]:
    """Hash the names of prompt parts, which callers choose and may make long."""
    return tuple(
        hashlib.blake2b(part.name.encode(), digest_size=PART_FINGERPRINT_BYTES).hexdigest()
        for part in parts
    )


__all__ = ["CrashNews", "PoisonTracker", "part_fingerprints", "request_fingerprint"]
