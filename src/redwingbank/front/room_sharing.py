"""Shares the room at brittle servers with the other hosts: statements, rejections and loans."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from redwingbank.clock import now_s
from redwingbank.front.notice_codec import StatementReport
from redwingbank.front.room_queue import RoomQueue
from redwingbank.model import Outcome
from redwingbank.routing.brittle_room import RoomState
from redwingbank.routing.room_book import OWN_HOST, RoomAsk

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from redwingbank.decisions import DecisionLog
    from redwingbank.front.admission import AdmittedRequest
    from redwingbank.front.backends import Backend, Backends
    from redwingbank.front.failures import Failure
    from redwingbank.front.notice_codec import State
    from redwingbank.front.peers import Peers
    from redwingbank.front.values import ServerEntry
    from redwingbank.metrics import Metrics
    from redwingbank.model import Request
    from redwingbank.routing.brittle_room import BrittleRoom
    from redwingbank.routing.choice import AtLimit
    from redwingbank.routing.room_book import RoomLoan
    from redwingbank.routing.server_limit import HostKey

    Report = Callable[[type, str, int, Callable[[], State]], None]

# A host that lacks room asks another one at most this often.
ASK_S = 0.02
# What could not be lent at once is lent later for so long.
UNMET_S = 0.05
# Hosts choose whom they ask from so many.
ASKED_SAMPLE = 4
# An ask is for this many requests more than those that wait.
SPARE_REQUESTS = 2
# Requests that another host does not report any more have ended, unless they are younger.
UNREPORTED_S = 1.0
# The ends of requests at brittle servers are told this soon.
END_BATCH_S = 0.003
# A request waits at the host for this part of its class's latency objective. The time until room
# comes is known roughly.
WAIT_SHARE = 1 / 8
WAIT_MARGIN_S = 0.05
LOST_OUTCOMES = frozenset({Outcome.CRASHED, Outcome.CLOSED_EARLY})


class RoomSharing:
    """Tells the other hosts of brittle servers, and asks them for room when it is short here."""

    def __init__(
        self,
        backends: Backends,
        peers: Peers,
        log: DecisionLog,
        metrics: Metrics,
        report: Report,
    ) -> None:
        self.book = backends.rooms
        self.book.on_short = self._ask
        self.queue = RoomQueue()
        self._backends = backends
        self._peers = peers
        self._log = log
        self._metrics = metrics
        self._report = report
        self._asked_s_by_pool: dict[str, float] = {}
        self._unmet_by_pool: dict[str, tuple[RoomAsk, str, float]] = {}
        self._entries: Collection[ServerEntry] = ()

    def answer_received(
        self, entry: ServerEntry, most_rejected: int | None, sent_s: float, *, stamped: bool
    ) -> None:
        """Apply what an answer says of the server's brittleness."""
        room = self.book.find(entry)
        if most_rejected is None and (room is None or not stamped):
            return
        now = now_s()
        new = room is None
        room = room or self.book.get_or_create(entry.name, entry.started_ms)
        if room.answer_received(most_rejected, sent_s, now):
            if new:
                self._share_room([entry], now)
            self._log_change(room, "answer")
            self._report_room(room)

    def request_rejected(self, entry: ServerEntry) -> None:
        """Record that a server turned a request away."""
        room = self.book.find(entry)
        if room and room.brittle:
            room.request_rejected(now_s())
            self._metrics.count("brittle_rejections_total", server=entry.name)
            self._log.detail("brittle-rejection", server=entry.name, capacity=room.capacity)
            self._report_room(room)

    def attempt_failed(self, entry: ServerEntry, failure: Failure) -> None:
        """Record that the connection to a server was lost; a brittle one may have fallen over."""
        room = self.book.find(entry)
        if room is None or not room.brittle or failure.outcome not in LOST_OUTCOMES:
            return
        if room.connection_lost(now_s()):
            self._log_change(room, "connection")
            self._report_room(room)

    def end_batch_s(self, entry: ServerEntry) -> float | None:
        """Return how soon the end of a request is told to the others; None if not at once."""
        room = self.book.find(entry) if self.book.rooms_by_start else None
        if room is None or not room.brittle:
            return None
        self.book.request_ended(entry.pool, now_s())
        backend = self._backends.backends_by_name.get(entry.name)
        if backend:
            self._give_back([backend], now_s())
        if self.queue.count(entry.pool):
            self.queue.wake(entry.pool)
        elif entry.pool in self._unmet_by_pool:
            ask, host, until_s = self._unmet_by_pool.pop(entry.pool)
            if now_s() < until_s:
                self.lend(ask, host)
        return END_BATCH_S

    def merge(self, state: RoomState, host: HostKey) -> None:
        """Apply what another host tells of a server."""
        now = now_s()
        room = self.book.get_or_create(state.server, state.started_ms)
        new = room.version == 0
        if room.merge(state, host, now):
            self._log_change(room, host[0])
            if new:
                self._share_room(
                    [entry for entry in self._entries if entry.name == state.server], now
                )
        backend = self._backends.backends_by_name.get(state.server)
        if backend and backend.entry.started_ms == state.started_ms:
            backend.load.trim(host[0], state.in_flight, now - UNREPORTED_S)

    def wait(
        self,
        admitted: AdmittedRequest,
        request: Request,
        limit: AtLimit,
        resume: Callable[[], None],
        now: float,
    ) -> int | None:
        """Let a request wait for room if it comes in time; return its number in the queue."""
        pool, tier = admitted.pool, admitted.tier
        target_s = admitted.route.target_s
        until_s = min(request.arrived_s + target_s * WAIT_SHARE, request.give_up_s)
        comes_s = now + (1 + self.queue.count_ahead(pool, tier)) / limit.per_s
        if now >= until_s or comes_s > until_s + WAIT_MARGIN_S:
            return None
        return self.queue.enter(pool, tier, until_s, resume)

    def lend(self, ask: RoomAsk, host: str) -> None:
        """Lend room to a host that asks for it, or as soon as there is some to spare."""
        now = now_s()
        loans = self.book.lend(host, self._in_pool(ask.pool), ask.requests, now)
        if not loans:
            self._unmet_by_pool[ask.pool] = (ask, host, now + UNMET_S)
        else:
            self._metrics.count("room_lent_total", sum(loan.requests for loan in loans))
            self._peers.tell([host], StatementReport(tuple(loans)))

    def borrow(self, loan: RoomLoan, host: str) -> None:
        """Use room that another host lends, or that it gives back."""
        room = self.book.rooms_by_start.get((loan.server, loan.started_ms))
        backend = self._backends.backends_by_name.get(loan.server)
        if room and backend:
            if loan.requests > 0:
                room.borrow(host, loan.requests, now_s())
            else:
                room.take_back(host, -loan.requests)
            self.queue.wake(backend.entry.pool)

    def update(self, now: float, entries: Collection[ServerEntry]) -> None:
        """Share the room among the hosts that are heard."""
        self._entries = entries
        if self.book.rooms_by_start:
            self._share_room(entries, now)
            self._give_back(self._backends.backends_by_name.values(), now)

    def states(self, now: float, changed_s: float = float("-inf")) -> list[RoomState]:
        """Return the servers that are brittle, and those that have not been since `changed_s`."""
        return [
            self._state(room)
            for room in self.book.listed()
            if room.version and (room.brittle or room.changed_s > changed_s)
        ]

    def record_gauges(self) -> None:
        """Set the gauges of brittle servers and of the requests that wait for room there."""
        self._metrics.gauge("waiting_for_room", self.queue.total())
        for room in self.book.listed():
            self._metrics.gauge(
                "brittle_room", room.capacity if room.brittle else -1, server=room.server
            )

    def _share_room(self, entries: Collection[ServerEntry], now: float) -> None:
        self.book.update(entries, self._peers.host, self._peers.expected(now), now)

    def _give_back(self, backends: Iterable[Backend], now: float) -> None:
        for host, loans in self.book.give_back(backends, now).items():
            self._peers.tell([host], StatementReport(tuple(loans)))

    def _ask(self, pool: str, now: float) -> None:
        """Ask the host for room that has the fewest requests in flight, of some hosts."""
        if now - self._asked_s_by_pool.get(pool, float("-inf")) < ASK_S:
            return
        self._asked_s_by_pool[pool] = now
        hosts = self._peers.alive(now)
        some = self._backends.random.sample(hosts, min(ASKED_SAMPLE, len(hosts)))
        if some:
            backends = self._in_pool(pool)
            lender = min(some, key=lambda host: sum(each.load.count(host) for each in backends))
            requests = SPARE_REQUESTS + self.queue.count(pool)
            self._metrics.count("room_asked_total")
            self._peers.tell([lender], StatementReport((RoomAsk(pool, requests),)))

    def _in_pool(self, pool: str) -> list[Backend]:
        backends = [
            backend
            for backend in self._backends.backends_by_name.values()
            if backend.entry.pool == pool
        ]
        self._backends.random.shuffle(backends)
        return backends

    def _report_room(self, room: BrittleRoom) -> None:
        self._report(RoomState, room.server, room.started_ms, partial(self._state, room))

    def _state(self, room: BrittleRoom) -> RoomState:
        backend = self._backends.backends_by_name.get(room.server)
        return room.state(backend.load.count(OWN_HOST) if backend else 0)

    def _log_change(self, room: BrittleRoom, source: str) -> None:
        self._log.essential(
            "server-brittle",
            server=room.server,
            most_rejected=room.most_rejected,
            fallen=room.fallen,
            version=room.version,
            source=source,
        )


__all__ = ["RoomSharing"]
