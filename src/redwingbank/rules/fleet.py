"""Load, speed and health of backend servers, and selection among them."""

from __future__ import annotations

from collections import deque
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.model import Outcome
from redwingbank.rules.affinity import Affinity
from redwingbank.rules.breaker import Breaker, BreakerState
from redwingbank.rules.speed import PoolSpeed, ServerSpeed

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping
    from random import Random

    from redwingbank.model import CacheEvent, LoadReport, Request
    from redwingbank.rules.table import BackendServerRow

STALE_REPORT_S = 10.0
AFFINITY_BOUND = 1.0
RANDOM_CHOICES = 2
DRAINING = "draining"


class ServerState(StrEnum):
    """Whether a backend server may be sent new requests."""

    SERVING = "serving"
    DRAINING = "draining"
    EJECTED = "ejected"
    HALF_OPEN = "half-open"


STATE_BY_BREAKER = {
    BreakerState.CLOSED: ServerState.SERVING,
    BreakerState.OPEN: ServerState.EJECTED,
    BreakerState.HALF_OPEN: ServerState.HALF_OPEN,
}


class StateChange(NamedTuple):
    """A change of a server's state from `was` to `state`."""

    server: str
    was: ServerState
    state: ServerState


class ServerView(NamedTuple):
    """The data that a choice was based on; `slowness` is relative to the pool's median."""

    load: int
    slots: int
    slowness: float
    held_blocks: int


class _InFlight(NamedTuple):
    """A request in flight from this host."""

    request: Request
    sent_s: float


class _Server:
    """One backend server's row, last report, breaker, speed and requests from this host."""

    def __init__(self, row: BackendServerRow, random: Random) -> None:
        self.row = row
        self.breaker = Breaker(random)
        self.speed = ServerSpeed()
        self.report: LoadReport | None = None
        self.drain_until_s = float("-inf")
        self.in_flight_by_id: dict[str, _InFlight] = {}
        self._changes: deque[tuple[float, int]] = deque()

    def record_change(self, at_s: float, difference: int) -> None:
        """Record a send (+1) or finish (-1) that the next reports may not include yet."""
        self._changes.append((at_s, difference))
        self._drop_counted(at_s)

    def accept_report(self, report: LoadReport) -> bool:
        """Store a report unless a newer one is known; return whether it was stored."""
        if self.report is not None and report.at_s < self.report.at_s:
            return False
        self.report = report
        self._drop_counted(report.at_s)
        return True

    def load(self, now_s: float) -> int:
        """Estimate the requests running or waiting there, at least this host's own."""
        own = len(self.in_flight_by_id)
        report = self.report
        if report is None or now_s - report.at_s > STALE_REPORT_S:
            return own
        change_since = sum(difference for at_s, difference in self._changes if at_s > report.at_s)
        return max(own, report.running + report.waiting + change_since)

    def slots(self) -> int:
        """Return how many requests it runs at a time, by its last report or else its row."""
        return self.row.slots if self.report is None else self.report.slots

    def draining(self, now_s: float) -> bool:
        """Return whether the row, the last report or a notice marks it as draining."""
        reported = self.report is not None and self.report.draining
        return reported or self.row.state == DRAINING or now_s < self.drain_until_s

    def _drop_counted(self, now_s: float) -> None:
        """Drop changes that the report in use includes, or that are older than any usable one."""
        counted_s = self.report.at_s if self.report else now_s - STALE_REPORT_S
        horizon_s = max(counted_s, now_s - STALE_REPORT_S)
        while self._changes and self._changes[0][0] <= horizon_s:
            self._changes.popleft()


class Fleet:
    """The backend servers as seen by one host.

    A server's load is its last report plus this host's sends less its finishes since then;
    without a fresh report it is this host's own requests in flight. A crash ejects a server at
    once, and one successful trial restores it. A slow server's load counts in proportion to
    its slowness.

    `choose` picks the less loaded of two random servers, relative to slots and speed. A server
    that holds more of the prompt's prefix is preferred as long as its relative load (1.0 is all
    slots in use) is higher by at most `affinity_bound` times the extra fraction of the prompt
    that it holds. Times are seconds on the host's monotonic clock.
    """

    def __init__(
        self,
        random: Random,
        affinity: Affinity | None = None,
        affinity_bound: float = AFFINITY_BOUND,
    ) -> None:
        self.affinity = affinity if affinity is not None else Affinity()
        self._random = random
        self._affinity_bound = affinity_bound
        self._server_by_name: dict[str, _Server] = {}
        self._names_by_pool: dict[str, tuple[str, ...]] = {}
        self._speed_by_pool: dict[str, PoolSpeed] = {}
        self._reported_state_by_name: dict[str, ServerState] = {}
        self._possibly_changed: set[str] = set()

    def set_servers(self, rows: Iterable[BackendServerRow]) -> None:
        """Replace the servers with the rows of a table; state of those that stay is kept."""
        known = self._server_by_name
        self._server_by_name = {}
        names_by_pool: dict[str, list[str]] = {}
        for row in sorted(rows):
            server = known.get(row.name)
            if server is None or server.row.address != row.address:
                server = _Server(row, self._random)
            server.row = row
            self._server_by_name[row.name] = server
            names_by_pool.setdefault(row.pool, []).append(row.name)
        for name in known.keys() - self._server_by_name.keys():
            self.affinity.remove_server(name)
            self._reported_state_by_name.pop(name, None)
        self._possibly_changed.update(self._server_by_name)
        self._names_by_pool = {pool: tuple(names) for pool, names in names_by_pool.items()}
        self._speed_by_pool = {
            pool: self._speed_by_pool.get(pool, PoolSpeed()) for pool in names_by_pool
        }

    def record_report(self, server: str, report: LoadReport, now_s: float) -> None:
        """Record a server's report of its load unless a newer one is known."""
        known = self._server_by_name.get(server)
        if known is not None and known.accept_report(report):
            known.breaker.record_report(min(report.at_s, now_s))
            self._possibly_changed.add(server)

    def record_unreachable(self, server: str, now_s: float) -> None:
        """Record a failed connection, with nothing sent, for a report or a request."""
        known = self._server_by_name.get(server)
        if known is not None:
            known.breaker.record_failure("", now_s, now_s)
            self._possibly_changed.add(server)

    def record_remote_crash(self, server: str, now_s: float) -> None:
        """Eject a server that another host saw crash, unless it has requests of this host.

        With requests in flight this host sees the crash itself.
        """
        known = self._server_by_name.get(server)
        if known is not None and not known.in_flight_by_id:
            known.breaker.record_crash("", now_s, now_s)
            self._possibly_changed.add(server)

    def drain(self, server: str, until_s: float) -> None:
        """Mark a server as draining until a time, as a notice or an operator requests."""
        known = self._server_by_name.get(server)
        if known is not None:
            known.drain_until_s = until_s
            self._possibly_changed.add(server)

    def record_send(self, server: str, request: Request, now_s: float) -> None:
        """Record a request sent to a server."""
        known = self._server_by_name.get(server)
        if known is None:
            return
        known.breaker.record_send(request.request_id, now_s)
        known.in_flight_by_id[request.request_id] = _InFlight(request, now_s)
        known.speed.record_send(request.request_id, request.prompt_tokens, now_s)
        known.record_change(now_s, 1)
        self.affinity.record_send(server, request.blocks, now_s)

    def record_first_token(
        self, server: str, request: Request, seconds: float, now_s: float
    ) -> None:
        """Record the time from a send to its first token, or to a service's first byte."""
        known = self._server_by_name.get(server)
        if known is None or request.request_id not in known.in_flight_by_id:
            return
        known.speed.record_first_token(request.request_id, request.prompt_tokens, seconds, now_s)
        sent = known.in_flight_by_id[request.request_id]
        known.breaker.record_success(request.request_id, sent.sent_s, now_s)

    def record_finish(
        self,
        server: str,
        request: Request,
        outcome: Outcome,
        now_s: float,
        token_s: float | None = None,
    ) -> None:
        """Record a request's end; `token_s` is its mean time between tokens, if known."""
        known = self._server_by_name.get(server)
        sent = known.in_flight_by_id.pop(request.request_id, None) if known else None
        if known is None or sent is None:
            return
        known.record_change(now_s, -1)
        known.speed.record_finish(request.request_id, token_s, now_s)
        _RECORD_BY_OUTCOME[outcome](known.breaker, sent, now_s)
        self._possibly_changed.add(server)
        if outcome is Outcome.CRASHED:
            self.affinity.remove_server(server)

    def record_cache_event(self, server: str, event: CacheEvent) -> None:
        """Record a server's cache event."""
        if server in self._server_by_name:
            self.affinity.record_event(server, event)

    def state(self, server: str, now_s: float) -> ServerState:
        """Return a server's state; a server that is not in the table counts as ejected."""
        known = self._server_by_name.get(server)
        if known is None:
            return ServerState.EJECTED
        if known.draining(now_s):
            return ServerState.DRAINING
        return STATE_BY_BREAKER[known.breaker.state(now_s)]

    def state_changes(self, now_s: float) -> list[StateChange]:
        """Return the changes since the last call; new servers count as serving before."""
        reported = self._reported_state_by_name
        names = self._possibly_changed.union(reported)
        self._possibly_changed = set()
        changes = []
        for name in sorted(name for name in names if name in self._server_by_name):
            state = self.state(name, now_s)
            was = reported.pop(name, ServerState.SERVING)
            if state is not ServerState.SERVING:
                reported[name] = state
            if state is not was:
                changes.append(StateChange(name, was, state))
        return changes

    def view(self, server: str, request: Request, now_s: float) -> ServerView:
        """Return the data on a server that a choice for a request is based on."""
        known = self._server_by_name[server]
        pool = self._speed_by_pool[known.row.pool]
        slowness = pool.slowness(known.speed, self._speeds(known.row.pool), now_s)
        held = self.affinity.held_prefix(server, request.blocks)
        return ServerView(known.load(now_s), known.slots(), round(slowness, 2), held)

    def load(self, server: str, now_s: float) -> int:
        """Estimate the requests running or waiting at a server."""
        known = self._server_by_name.get(server)
        return known.load(now_s) if known else 0

    def draining_servers(self, now_s: float) -> tuple[str, ...]:
        """Return the names of the servers known to be draining."""
        known = self._server_by_name
        return tuple(name for name, server in known.items() if server.draining(now_s))

    def capacity(self, pool: str, now_s: float) -> dict[str, int]:
        """Return the slots of each usable server, one if half-open; others are left out."""
        slots_by_server = {
            name: self._usable_slots(name, now_s) for name in self._names_by_pool.get(pool, ())
        }
        return {name: slots for name, slots in slots_by_server.items() if slots > 0}

    def choose(
        self,
        request: Request,
        candidates: Mapping[str, int],
        now_s: float,
        avoid: frozenset[str] = frozenset(),
        *,
        least_loaded: bool = False,
    ) -> str | None:
        """Choose a server for a request from `candidates`, a map from name to free slots.

        Servers in `avoid` are chosen only if the pool has no other usable server at all.
        `least_loaded` chooses the server with the least load, so that a request that may crash
        it affects the fewest others.
        """
        usable = [name for name, free in sorted(candidates.items()) if free > 0]
        usable = [name for name in usable if self._admits(name, request, now_s)]
        preferred = [name for name in usable if name not in avoid]
        if not preferred and self.capacity(request.pool, now_s).keys() - avoid:
            return None
        names = preferred or usable
        if not names:
            return None
        if least_loaded:
            return min(names, key=lambda name: (self.load(name, now_s), name))
        return self._least_cost(request, names, now_s)

    def _least_cost(self, request: Request, names: list[str], now_s: float) -> str:
        """Return the cheaper of two random servers, or the prefix holder if within the bound."""
        sampled = self._random.sample(names, min(RANDOM_CHOICES, len(names)))
        cost_by_name = {name: self._cost(name, now_s) for name in sampled}
        cheapest = min(sampled, key=lambda name: cost_by_name[name])
        held_by_name = self._held_by_name(request, names)
        if not held_by_name:
            return cheapest
        holder = min(held_by_name, key=lambda name: (-held_by_name[name], self._cost(name, now_s)))
        extra_blocks = held_by_name[holder] - held_by_name.get(cheapest, 0)
        allowed_cost = self._affinity_bound * extra_blocks / len(request.blocks)
        extra_cost = self._cost(holder, now_s) - cost_by_name[cheapest]
        return holder if extra_blocks > 0 and extra_cost <= allowed_cost else cheapest

    def _held_by_name(self, request: Request, names: list[str]) -> dict[str, int]:
        if not request.blocks:
            return {}
        held_by_name = {name: self.affinity.held_prefix(name, request.blocks) for name in names}
        return {name: held for name, held in held_by_name.items() if held}

    def _cost(self, name: str, now_s: float) -> float:
        """Return the load with one more request relative to slots and speed; 1.0 is full."""
        server = self._server_by_name[name]
        pool = self._speed_by_pool[server.row.pool]
        relative = (server.load(now_s) + 1) / max(1, server.slots())
        return relative * pool.slowness(server.speed, self._speeds(server.row.pool), now_s)

    def _speeds(self, pool: str) -> Callable[[], list[ServerSpeed]]:
        return lambda: [self._server_by_name[name].speed for name in self._names_by_pool[pool]]

    def _admits(self, name: str, request: Request, now_s: float) -> bool:
        """Return whether a request may be sent; only repeatable ones may be the trial."""
        state = self.state(name, now_s)
        if state is ServerState.HALF_OPEN:
            return request.repeatable and self._server_by_name[name].breaker.admits(now_s)
        return state is ServerState.SERVING

    def _usable_slots(self, name: str, now_s: float) -> int:
        state = self.state(name, now_s)
        server = self._server_by_name[name]
        if state is ServerState.HALF_OPEN:
            return int(server.breaker.admits(now_s))
        return server.slots() if state is ServerState.SERVING else 0


def _record_success(breaker: Breaker, sent: _InFlight, now_s: float) -> None:
    breaker.record_success(sent.request.request_id, sent.sent_s, now_s)


def _record_inconclusive(breaker: Breaker, sent: _InFlight, now_s: float) -> None:
    breaker.record_inconclusive(sent.request.request_id)


def _record_failure(breaker: Breaker, sent: _InFlight, now_s: float) -> None:
    breaker.record_failure(sent.request.request_id, sent.sent_s, now_s)


def _record_crash(breaker: Breaker, sent: _InFlight, now_s: float) -> None:
    breaker.record_crash(sent.request.request_id, sent.sent_s, now_s)


_RECORD_BY_OUTCOME: dict[Outcome, Callable[[Breaker, _InFlight, float], None]] = {
    Outcome.DONE: _record_success,
    Outcome.CANCELLED: _record_inconclusive,
    Outcome.REFUSED: _record_inconclusive,
    Outcome.CRASHED: _record_crash,
    Outcome.GARBAGE: _record_failure,
    Outcome.CLOSED_EARLY: _record_failure,
    Outcome.TIMED_OUT: _record_failure,
}

__all__ = ["Fleet", "ServerState", "StateChange", "ServerView"]
