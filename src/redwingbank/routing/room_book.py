"""The room of one host at all brittle servers, and what hosts lend each other of it."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.routing.brittle_room import BrittleRoom, RoomUse, Share
from redwingbank.rules.rendezvous import weight

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Sequence

    from redwingbank.front.backends import Backend
    from redwingbank.front.values import ServerEntry
    from redwingbank.routing.server_limit import ServerStart

# A server may leave the list for a while, for example in an outage of the store.
FORGET_S = 30.0
# The rate at which room comes is measured over this time.
RATE_S = 1.0
# key of this host's own requests in the load of a server
OWN_HOST = ""
NEVER_S = float("-inf")


class RoomAsk(NamedTuple):
    """A host asks another one for room at any brittle server of a pool."""

    pool: str
    requests: int


class RoomLoan(NamedTuple):
    """A host lends another one room at a server, or gives it back if `requests` is negative."""

    server: str
    started_ms: int
    requests: int


class RoomBook:
    """The rooms of brittle servers by their starts; empty while no server is brittle.

    `on_short` is called with the pool for whose brittle servers a request found no room.
    """

    def __init__(self) -> None:
        self.rooms_by_start: dict[ServerStart, BrittleRoom] = {}
        self.on_short: Callable[[str, float], None] | None = None
        self._ended_s_by_pool: dict[str, deque[float]] = {}
        self._hosts: tuple[str, ...] = ()
        self._shares: dict[str, Share] = {}
        self._weights: dict[tuple[str, str], int] = {}

    def find(self, entry: ServerEntry) -> BrittleRoom | None:
        """Return the room of a server that is or was brittle, if any."""
        return self.rooms_by_start.get((entry.name, entry.started_ms))

    def get_or_create(self, server: str, started_ms: int) -> BrittleRoom:
        """Return the room of a server, created if none is known."""
        room = self.rooms_by_start.get((server, started_ms))
        if room is None:
            room = self.rooms_by_start[server, started_ms] = BrittleRoom(server, started_ms)
        return room

    def listed(self) -> list[BrittleRoom]:
        """Return the rooms of servers that have been listed here."""
        return [room for room in self.rooms_by_start.values() if room.listed_s > NEVER_S]

    def with_room(self, candidates: Sequence[Backend], now_s: float) -> list[Backend]:
        """Return the servers that this host may send a request to now."""
        admitted = [backend for backend in candidates if self.admits(backend, now_s)]
        if candidates and not admitted and self.on_short:
            self.on_short(candidates[0].entry.pool, now_s)
        return admitted

    def admits(self, backend: Backend, now_s: float) -> bool:
        """Whether this host may send a request to a server now."""
        room = self.find(backend.entry)
        return room is None or not room.brittle or room.admits(use_of(backend), now_s)

    def request_ended(self, pool: str, now_s: float) -> None:
        """Record the end of a request of this host at a brittle server."""
        ended_s = self._ended_s_by_pool.setdefault(pool, deque())
        ended_s.append(now_s)

    def room_per_s(self, pool: str, now_s: float) -> float:
        """Return how many requests a second find room here, as measured of late."""
        ended_s = self._ended_s_by_pool.setdefault(pool, deque())
        while ended_s and now_s - ended_s[0] > RATE_S:
            ended_s.popleft()
        return max(1.0, len(ended_s) / RATE_S)

    def lend(
        self, host: str, backends: Iterable[Backend], most: int, now_s: float
    ) -> list[RoomLoan]:
        """Lend room that is idle at some servers of a pool."""
        loans: list[RoomLoan] = []
        for backend in backends:
            entry, room = backend.entry, self.find(backend.entry)
            if room is None or not room.brittle:
                continue
            lent = room.lend(host, most, use_of(backend), now_s)
            if lent:
                loans.append(RoomLoan(entry.name, entry.started_ms, lent))
                most -= lent
            if most < 1:
                break
        return loans

    def give_back(self, backends: Iterable[Backend], now_s: float) -> dict[str, list[RoomLoan]]:
        """Return by host the borrowed room that is not used any longer."""
        loans_by_host: dict[str, list[RoomLoan]] = {}
        for backend in backends:
            entry, room = backend.entry, self.find(backend.entry)
            for loan in room.give_back(use_of(backend).own, now_s) if room else ():
                given = RoomLoan(entry.name, entry.started_ms, -loan.requests)
                loans_by_host.setdefault(loan.host, []).append(given)
        return loans_by_host

    def update(
        self, entries: Collection[ServerEntry], own: str, hosts: Iterable[str], now_s: float
    ) -> None:
        """Set the servers and hosts that share them; `own` is the name of this host.

        A new server of a pool with brittle ones is taken for brittle until it has answered.
        """
        hosts = tuple(hosts)
        if hosts != self._hosts:
            self._hosts = hosts
            self._shares.clear()
        strictest = self._strictest_by_pool(entries)
        for entry in entries:
            room = self.find(entry)
            if room is None and entry.pool in strictest:
                room = self.get_or_create(entry.name, entry.started_ms)
                room.assume(strictest[entry.pool], now_s)
            if room:
                room.listed_s = now_s
                room.update(entry.slots, self._share(entry.name, own, hosts), now_s)
        for start, room in list(self.rooms_by_start.items()):
            if now_s - max(room.listed_s, room.changed_s) > FORGET_S:
                del self.rooms_by_start[start]
        if not self.rooms_by_start:
            self._weights.clear()
            self._shares.clear()

    def _strictest_by_pool(self, entries: Iterable[ServerEntry]) -> dict[str, int]:
        strictest: dict[str, int] = {}
        for entry in entries:
            room = self.find(entry)
            if room and room.most_rejected is not None:
                most = strictest.get(entry.pool, room.most_rejected)
                strictest[entry.pool] = min(most, room.most_rejected)
        return strictest

    def _share(self, server: str, own: str, hosts: tuple[str, ...]) -> Share:
        known = self._shares.get(server)
        if known:
            return known
        mine = self._weight(server, own)
        place = sum(self._weight(server, host) > mine for host in hosts)
        share = self._shares[server] = Share(place, 1 + len(hosts))
        return share

    def _weight(self, server: str, host: str) -> int:
        known = self._weights.get((server, host))
        if known is None:
            known = self._weights[server, host] = weight(server, host)
        return known


def use_of(backend: Backend) -> RoomUse:
    """Return what is in flight at a server."""
    return RoomUse(len(backend.load), backend.load.count(OWN_HOST))


__all__ = ["RoomAsk", "RoomBook", "RoomLoan", "use_of"]
