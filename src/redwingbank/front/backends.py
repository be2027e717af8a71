"""State of the backend servers on this host: connections, health and load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from redwingbank.front.outbound import ConnectionPool
from redwingbank.front.wire import DEFAULT_ANSWER_LIMITS
from redwingbank.model import Outcome
from redwingbank.routing.arrivals import Arrivals
from redwingbank.routing.load import ServerLoad
from redwingbank.routing.room_book import RoomBook
from redwingbank.routing.server_leaving import LeavingBook
from redwingbank.routing.server_limit import LimitBook
from redwingbank.routing.server_rest import RestBook
from redwingbank.routing.targets import PauseEstimate
from redwingbank.rules.answer_memory import AnswerMemory
from redwingbank.rules.breaker import Breaker

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable
    from random import Random

    from redwingbank.front.failures import Failure
    from redwingbank.front.values import ServerEntry, StatedLoad, Statement
    from redwingbank.front.wire import AnswerLimits
    from redwingbank.routing.server_address import Evidence
    from redwingbank.rules.answer_memory import SharedMemory

# Shorter than the servers' idle timeouts of several seconds, after which they close connections
# without notice.
KEEP_IDLE_S = 4.0


class Backend:
    """The connections, circuit breaker and load of one backend server."""

    def __init__(
        self,
        entry: ServerEntry,
        backends: Backends,
        pauses: PauseEstimate,
        arrivals: Arrivals | None,
    ) -> None:
        self.entry = entry
        self.connections = ConnectionPool(entry.address, KEEP_IDLE_S, backends.answer_limits)
        self.breaker = Breaker(backends.random)
        self.answer_memory = backends.answer_memory
        self._backends = backends
        self.load = ServerLoad(pauses, arrivals)

    def update(self, entry: ServerEntry) -> None:
        """Use a newer entry; a new start has an empty prompt cache, and maybe another address."""
        before, self.entry = self.entry, entry
        if before.started_ms != entry.started_ms:
            self.load.cache.clear()
            self.load.statement = None
        if before.address != entry.address:
            former = self.connections
            self.connections = ConnectionPool(entry.address, KEEP_IDLE_S, former.limits)
            former.retire()
            self.reset_breaker()

    def reset_breaker(self) -> None:
        """Forget the server's failures, which were not its own."""
        self.breaker = Breaker(self._backends.random)

    def is_leaving(self, entry: ServerEntry) -> bool:
        """Whether the start of the server that an entry lists says that it is leaving."""
        return self._backends.leaving.contains(entry.name, entry.started_ms)

    def rests(self, entry: ServerEntry, now_s: float) -> bool:
        """Whether the start of the server that an entry lists wants no requests now."""
        return self._backends.rests.left_s(entry.name, entry.started_ms, now_s) > 0.0

    def report_received(self, entry: ServerEntry, statements: tuple[Statement, ...]) -> None:
        """Pass on what a server said in an answer that is not to the request of a caller."""
        self._backends.on_report(entry, statements)

    def identified(self, evidence: Evidence) -> None:
        """Pass on what the server's answer tells of who it is."""
        self._backends.on_identity(evidence)


class Backends:
    """All backend servers in use, by name, and what they say of themselves."""

    def __init__(
        self,
        random: Random,
        limits: AnswerLimits = DEFAULT_ANSWER_LIMITS,
        account: SharedMemory | None = None,
    ) -> None:
        self.backends_by_name: dict[str, Backend] = {}
        self.limits = LimitBook(random)
        # pools whose load is evened out by what a server has stated
        self.evened_pools: set[str] = set()
        self.rooms = RoomBook()
        self.leaving = LeavingBook()
        self.rests = RestBook(random)
        self.random = random
        # what servers say in answers that are not to requests of callers
        self.on_report: Callable[[ServerEntry, tuple[Statement, ...]], None] = _ignore_report
        # what the answers of servers tell of who they are
        self.on_identity: Callable[[Evidence], None] = _ignore_identity
        self.answer_limits = limits
        self.answer_memory = AnswerMemory(limits.buffered_bytes, account)
        self._pauses_by_pool: dict[str, PauseEstimate] = {}
        # set by the duty that takes the counts
        self.counts_arrivals = False
        self.arrivals_by_pool: dict[str, Arrivals] = {}

    def get_or_create(self, entry: ServerEntry) -> Backend:
        """Return a server's state, created if missing, as the entry tells."""
        backend = self.backends_by_name.get(entry.name)
        if backend is None:
            pauses = self._pauses_by_pool.setdefault(entry.pool, PauseEstimate())
            arrivals = self._arrivals(entry.pool) if self.counts_arrivals else None
            backend = Backend(entry, self, pauses, arrivals)
            self.backends_by_name[entry.name] = backend
        backend.update(entry)
        return backend

    def _arrivals(self, pool: str) -> Arrivals:
        return self.arrivals_by_pool.setdefault(pool, Arrivals())

    def load_stated(
        self, backend: Backend, stated: StatedLoad, now_s: float, *, scaled: bool
    ) -> None:
        """Record a load; a slowness in it switches the even choice of the server's pool on."""
        if stated.slowness_per_cent is not None:
            self.evened_pools.add(backend.entry.pool)
        if scaled or backend.entry.pool in self.evened_pools:
            backend.load.load_stated(stated, now_s)

    def any_admits(
        self, entries: Iterable[ServerEntry], avoid: Collection[str], now_s: float
    ) -> bool:
        """Whether a server outside `avoid` may get a request now, by what servers have said."""
        return any(
            entry.name not in avoid
            and self.limits.wait_s(entry, now_s) <= 0.0
            and self.rests.left_s(entry.name, entry.started_ms, now_s) <= 0.0
            and self.rooms.admits(self.get_or_create(entry), now_s)
            for entry in entries
        )

    def remove(self, name: str) -> None:
        """Remove a server; requests in flight there are not interrupted."""
        backend = self.backends_by_name.pop(name, None)
        if backend:
            backend.connections.retire()

    def remove_host(self, host: str) -> None:
        """Remove the in-flight requests of another host."""
        for backend in self.backends_by_name.values():
            backend.load.remove_host(host)

    def expire(self, now_s: float) -> None:
        """Close expired idle connections; remove requests whose end was never reported."""
        self.rests.expire(now_s)
        for backend in self.backends_by_name.values():
            backend.connections.expire()
            backend.load.expire(now_s)


def _ignore_report(entry: ServerEntry, statements: tuple[Statement, ...]) -> None:
    pass


def _ignore_identity(evidence: Evidence) -> None:
    pass


def update_breaker(
    backend: Backend, failure: Failure, request_id: str, sent_s: float, now: float
) -> None:
    """Record a failure in the server's breaker; an unreachable server is ejected at once.

    A single lost answer counts as an ordinary failure: if the server has crashed, the next
    connection to it fails.
    """
    if failure.outcome is Outcome.REFUSED:
        backend.breaker.record_inconclusive(request_id)
    elif failure.outcome is Outcome.CRASHED and not failure.sent:
        backend.breaker.record_crash(request_id, sent_s, now)
    else:
        backend.breaker.record_failure(request_id, sent_s, now)


__all__ = ["Backend", "Backends", "update_breaker"]
