"""The backend servers as this host knows them: connections, health and load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from redwingbank.front.load import ServerLoad
from redwingbank.front.outbound import ConnectionPool
from redwingbank.model import Outcome
from redwingbank.rules.breaker import Breaker

if TYPE_CHECKING:
    from random import Random

    from redwingbank.front.attempt import Failure
    from redwingbank.front.values import ServerEntry

# shorter than the servers' own idle timeouts of some seconds, which close unannounced
KEEP_IDLE_S = 4.0


class Backend:
    """One backend server."""

    def __init__(self, entry: ServerEntry, random: Random) -> None:
        self.entry = entry
        self.connections = ConnectionPool(entry.address, KEEP_IDLE_S)
        self.breaker = Breaker(random)
        self.load = ServerLoad()


class Backends:
    """Every backend server in use, by name."""

    def __init__(self, random: Random) -> None:
        self.backends_by_name: dict[str, Backend] = {}
        self._random = random

    def of(self, entry: ServerEntry) -> Backend:
        """Find or make what is known of a server; one that started anew holds nothing."""
        backend = self.backends_by_name.get(entry.name)
        if backend is None:
            backend = self.backends_by_name[entry.name] = Backend(entry, self._random)
        if backend.entry.started_ms != entry.started_ms:
            backend.load.cache.clear()
        backend.entry = entry
        return backend

    def gone(self, name: str) -> None:
        """Forget a server; requests in flight there end by themselves."""
        backend = self.backends_by_name.pop(name, None)
        if backend:
            backend.connections.idle_s = 0.0
            backend.connections.close()

    def host_gone(self, host: str) -> None:
        """Forget the requests of another host."""
        for backend in self.backends_by_name.values():
            backend.load.host_gone(host)

    def expire(self, now_s: float) -> None:
        """Close connections that were idle for too long; forget requests long past their end."""
        for backend in self.backends_by_name.values():
            backend.connections.expire()
            backend.load.expire(now_s)


def judge_backend(
    backend: Backend, failure: Failure, request_id: str, sent_s: float, now: float
) -> None:
    """Hold a failure against a server: one that can't be reached rests at once.

    A single lost answer says little, since a server that has crashed can't be reached next.
    """
    if failure.outcome is Outcome.REFUSED:
        backend.breaker.record_inconclusive(request_id)
    elif failure.outcome is Outcome.CRASHED and not failure.sent:
        backend.breaker.record_crash(request_id, sent_s, now)
    else:
        backend.breaker.record_failure(request_id, sent_s, now)


__all__ = ["Backend", "Backends", "judge_backend"]
