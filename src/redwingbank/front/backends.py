"""The backend servers as this host knows them: connections, health, and what it has sent there."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.front.outbound import ConnectionPool
from redwingbank.rules.breaker import Breaker

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from redwingbank.front.values import Part, ServerEntry

# shorter than the servers' own idle timeouts of some seconds, which close unannounced
KEEP_IDLE_S = 4.0
# how long an answer's word of the server's load says more than nothing
LOAD_AGE_S = 1.0


class Flight(NamedTuple):
    """A request sent to a server and not ended; `unread` are prompt tokens it must read."""

    request_id: str
    sent_s: float
    unread: int
    answer_tokens: int
    begun: bool


class Backend:
    """One backend server."""

    def __init__(self, entry: ServerEntry, random: Random) -> None:
        self.entry = entry
        self.connections = ConnectionPool(entry.address, KEEP_IDLE_S)
        self.breaker = Breaker(random)
        self.flights_by_id: dict[str, Flight] = {}
        self._others = 0
        self._told_s = float("-inf")
        self._held_until_s_by_part: dict[str, float] = {}

    def load(self, now_s: float) -> int:
        """Requests believed to be there: own ones, and others' by the last answer's word."""
        others = self._others if now_s - self._told_s < LOAD_AGE_S else 0
        return len(self.flights_by_id) + others

    def told(self, running: int, waiting: int, now_s: float) -> None:
        """Take an answer's word of the load; own requests are known better here."""
        self._others = max(0, running + waiting - len(self.flights_by_id))
        self._told_s = now_s

    def unread(self) -> int:
        """Prompt tokens that this host has sent there and that are not read yet."""
        return sum(flight.unread for flight in self.flights_by_id.values() if not flight.begun)

    def sent(self, flight: Flight) -> None:
        """Note a request on its way."""
        self.flights_by_id[flight.request_id] = flight

    def begun(self, request_id: str) -> None:
        """Note a request's first event: its prompt is read."""
        flight = self.flights_by_id.get(request_id)
        if flight:
            self.flights_by_id[request_id] = flight._replace(begun=True)

    def ended(self, request_id: str) -> None:
        """Note a request's end."""
        self.flights_by_id.pop(request_id, None)


class Backends:
    """Every backend server in use, by name."""

    def __init__(self, random: Random) -> None:
        self.backends_by_name: dict[str, Backend] = {}
        self._random = random

    def of(self, entry: ServerEntry) -> Backend:
        """Find or make what is known of a server."""
        backend = self.backends_by_name.get(entry.name)
        if backend is None:
            backend = self.backends_by_name[entry.name] = Backend(entry, self._random)
        backend.entry = entry
        return backend

    def gone(self, name: str) -> None:
        """Forget a server; requests in flight there end by themselves."""
        backend = self.backends_by_name.pop(name, None)
        if backend:
            backend.connections.idle_s = 0.0
            backend.connections.close()

    def expire(self) -> None:
        """Close connections that were idle for too long."""
        for backend in self.backends_by_name.values():
            backend.connections.expire()


def shared_key(parts: Iterable[Part]) -> str:
    """Name what a prompt shares with others: its last part but one, empty where it has none."""
    names = [part.name for part in parts]
    return names[-2] if len(names) > 1 else ""


__all__ = ["Backend", "Backends", "Flight", "shared_key"]
