"""Limits that servers name: the requests a second that each takes from all hosts together."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from redwingbank.front.values import ServerEntry

# A server that takes nothing gets a request this often, since only an answer can end its limit.
MIN_PER_S = 0.1
# What a server did not get may be sent later, up to the requests of this time and two more.
BURST_S = 0.3
# Hosts wait for a random time before they use what is left, since the reports of requests that
# other hosts send at the same moment are still under way.
SPREAD_PER_HOST_S = 0.005
MAX_SPREAD_S = 0.1
# Up to one request is kept back for more urgent ones. A share of the requests of every tier may
# use it, so that no tier starves.
MAX_RESERVED = 1.0
UNRESERVED_SHARE = 0.05
# Requests beyond the limit are made up for, but those of a longer time are forgotten: they were
# sent while hosts did not hear each other.
MAX_DEBT_S = 2.0
MIN_DEBT = 3.0
# A longer gap between updates means that the process was suspended or starved, and does not know
# what the other hosts have sent meanwhile.
SUSPENDED_S = 0.5
# The first count of a host that is heard this soon contains requests from before.
BASELINE_S = 1.5
# A server may leave the list for a while, for example in an outage of the store.
FORGET_S = 30.0
NEVER_S = float("-inf")

HostKey = tuple[str, int]
ServerStart = tuple[str, int]


class Fleet(NamedTuple):
    """The hosts that share limits: those heard lately, of those that may be running."""

    heard: int = 1
    expected: int = 1

    @property
    def share(self) -> float:
        """The part of a limit that the hosts that hear each other may use."""
        return self.heard / max(self.heard, self.expected)


class LimitState(NamedTuple):
    """A server's limit as hosts tell each other; the higher `version` holds.

    `per_s` is None if the server names no limit any more. `sent` counts the requests that the
    host which tells of it has sent to the server.
    """

    server: str
    started_ms: int
    version: int
    per_s: float | None
    sent: int


class _HostCount(NamedTuple):
    """The requests that one process of another host has sent to the server."""

    incarnation: int
    sent: int


class ServerLimit:
    """One host's view of a server's limit, and of what all hosts have left of it.

    Every host fills the same bucket at the limit, and takes a token out for each request that it
    or another host sends. Requests that cross on the way may overdraw the bucket; it is then left
    alone until it has filled again. All times are in seconds on the host's clock.

    >>> from random import Random
    >>> limit = ServerLimit("i-1", 0, Random(1))
    >>> limit.answer_received(2.0, sent_s=9.0, now_s=10.0), limit.admits(10.0)
    (True, False)
    >>> for tenth in range(1, 8): limit.update(Fleet(), 10.0 + tenth / 10)
    >>> limit.admits(10.7), limit.request_sent(10.7), limit.admits(10.7)
    (True, None, False)
    """

    def __init__(self, server: str, started_ms: int, random: Random) -> None:
        self.server = server
        self.started_ms = started_ms
        self.per_s: float | None = None
        self.version = 0
        self.sent = 0
        self.named_s = NEVER_S
        self.changed_s = NEVER_S
        self.listed_s = NEVER_S
        self._random = random
        self._fleet = Fleet()
        self._created_s = float("inf")
        self._tokens = 0.0
        self._refilled_s = NEVER_S
        self._spread_s = 0.0
        self._sent_by_host: dict[str, _HostCount] = {}

    @property
    def rate_per_s(self) -> float:
        """Requests a second of the hosts that hear each other."""
        return max(self.per_s or 0.0, MIN_PER_S) * self._fleet.share

    @property
    def own_rate_per_s(self) -> float:
        """This host's part of it, if all hosts have as many requests."""
        return self.rate_per_s / self._fleet.heard

    def state(self) -> LimitState:
        """Return what to tell other hosts."""
        return LimitState(self.server, self.started_ms, self.version, self.per_s, self.sent)

    def answer_received(self, per_s: float | None, sent_s: float, now_s: float) -> bool:
        """Apply what an answer to a request sent at `sent_s` says; return whether it is new.

        An answer without a limit ends it only if its request was sent after the limit was last
        named: an earlier answer may have been under way for longer.
        """
        if per_s is None:
            if self.per_s is None or sent_s <= self.named_s:
                return False
        else:
            self.named_s = now_s
            if per_s == self.per_s:
                return False
        self._adopt(self.version + 1, per_s, now_s)
        return True

    def merge(self, state: LimitState, host: HostKey, now_s: float) -> bool:
        """Apply what another host tells; return whether the limit is new.

        Of two limits that hosts learned at the same time the lower one holds.
        """
        same_version = state.version == self.version
        stricter = state.per_s is not None and (self.per_s is None or state.per_s < self.per_s)
        changed = state.version > self.version or (same_version and stricter)
        if changed:
            if state.per_s is not None:
                self.named_s = now_s
            self._adopt(state.version, state.per_s, now_s)
        self._count(host, state.sent, now_s)
        return changed

    def request_sent(self, now_s: float) -> None:
        """Record a request of this host."""
        self.sent += 1
        self._take(1, now_s)

    def update(self, fleet: Fleet, now_s: float) -> None:
        """Refill the bucket, and set the hosts that share the limit from now on."""
        self._refill(now_s)
        self._fleet = fleet

    def admits(self, now_s: float, reserved: float = 0.0) -> bool:
        """Whether this host may send a request now that leaves `reserved` requests to others."""
        return self.wait_s(now_s, reserved) <= 0.0

    def wait_s(self, now_s: float, reserved: float = 0.0) -> float:
        """Return the time until a request may be sent, if no host sends one before."""
        if self.per_s is None:
            return 0.0
        self._refill(now_s)
        missing = 1.0 + reserved - self._tokens
        return max(0.0, self._spread_s + missing / self.rate_per_s)

    def _adopt(self, version: int, per_s: float | None, now_s: float) -> None:
        self._created_s = min(self._created_s, now_s)
        self._refill(now_s)
        if self.per_s is None:
            # what the server got until now was more than it takes
            self._tokens = min(self._tokens, 0.0)
        self.version, self.per_s, self.changed_s = version, per_s, now_s

    def _count(self, host: HostKey, sent: int, now_s: float) -> None:
        """Take out what another host has sent since its last count; counts may be late or lost."""
        name, incarnation = host
        known = self._sent_by_host.get(name)
        if known is None:
            baseline = now_s < self._created_s + BASELINE_S
            known = _HostCount(incarnation, sent if baseline else 0)
        elif known.incarnation != incarnation:
            known = _HostCount(incarnation, 0)
        self._sent_by_host[name] = _HostCount(incarnation, max(known.sent, sent))
        if sent > known.sent:
            self._take(sent - known.sent, now_s)

    def _take(self, requests: int, now_s: float) -> None:
        self._refill(now_s)
        most = max(MIN_DEBT, self.rate_per_s * MAX_DEBT_S)
        self._tokens = max(-most, self._tokens - requests)
        spread_s = min(MAX_SPREAD_S, SPREAD_PER_HOST_S * self._fleet.heard)
        self._spread_s = spread_s * self._random.random() if self._fleet.heard > 1 else 0.0

    def _refill(self, now_s: float) -> None:
        elapsed_s = now_s - self._refilled_s
        self._refilled_s = now_s
        if elapsed_s > SUSPENDED_S:
            self._tokens = min(self._tokens, 0.0)
            return
        rate = self.rate_per_s
        self._tokens = min(
            1.0 + MAX_RESERVED + BURST_S * rate, self._tokens + max(0.0, elapsed_s) * rate
        )


class LimitBook:
    """The limits of all servers by their starts; a server that started again has none.

    A start that is not listed is kept for a while, since hosts learn of servers at different
    times. It is never told to other hosts, so that an entry made by a damaged message dies out.
    """

    def __init__(self, random: Random) -> None:
        self.limits_by_start: dict[ServerStart, ServerLimit] = {}
        self._random = random

    def find(self, entry: ServerEntry) -> ServerLimit | None:
        """Return the limit that a server has named, if any."""
        return self.limits_by_start.get((entry.name, entry.started_ms))

    def get_or_create(self, server: str, started_ms: int) -> ServerLimit:
        """Return the limit of a server, created if none is known."""
        limit = self.limits_by_start.get((server, started_ms))
        if limit is None:
            limit = ServerLimit(server, started_ms, self._random)
            self.limits_by_start[server, started_ms] = limit
        return limit

    def listed(self) -> list[ServerLimit]:
        """Return the limits of servers that have been listed here."""
        return [limit for limit in self.limits_by_start.values() if limit.listed_s > NEVER_S]

    def update(self, fleet: Fleet, entries: Iterable[ServerEntry], now_s: float) -> None:
        """Refill the buckets, and forget the limits of servers that left some time ago."""
        for entry in entries:
            limit = self.find(entry)
            if limit:
                limit.listed_s = now_s
        for start, limit in list(self.limits_by_start.items()):
            limit.update(fleet, now_s)
            if now_s - max(limit.listed_s, limit.changed_s) > FORGET_S:
                del self.limits_by_start[start]

    def wait_s(self, entry: ServerEntry, now_s: float, reserved: float = 0.0) -> float:
        """Return the time until a server may get a request, 0.0 if it may now."""
        limit = self.find(entry)
        return limit.wait_s(now_s, reserved) if limit else 0.0

    def reserve(self, tier: int) -> float:
        """Return how much a request of a tier leaves to more urgent ones."""
        if self._random.random() < UNRESERVED_SHARE:
            return 0.0
        return MAX_RESERVED * tier / (tier + 1)


__all__ = [
    "Fleet",
    "HostKey",
    "LimitBook",
    "LimitState",
    "ServerLimit",
    "ServerStart",
]
