"""Keeps what backend servers say of themselves, together with the other hosts.

What a server says to one host binds all at once. Each kind of statement has its type in
`front.values`, its rule in `routing`, and its rows in one message between hosts.
"""

from __future__ import annotations

import asyncio
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from redwingbank.clock import now_s
from redwingbank.front.notice_codec import State, StatementReport
from redwingbank.front.room_sharing import RoomSharing
from redwingbank.front.values import (
    NOTHING_STATED,
    ServerEntry,
    StatedBrittleness,
    StatedLeaving,
    StatedLimit,
    StatedRest,
    Statement,
    UnreadableStatement,
)
from redwingbank.routing.brittle_room import RoomState
from redwingbank.routing.room_book import RoomAsk, RoomLoan
from redwingbank.routing.server_leaving import LeavingState
from redwingbank.routing.server_limit import HostKey, LimitState

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from redwingbank.decisions import DecisionLog
    from redwingbank.front.backends import Backends
    from redwingbank.front.peers import Peers
    from redwingbank.metrics import Metrics
    from redwingbank.routing.server_limit import ServerLimit

# All statements are told again this often, since datagrams are lost.
REPEAT_S = 0.5
# The end of a statement is repeated for this long.
REPEAT_END_S = 10.0
# At most one message in this time tells of requests.
BATCH_S = 0.02
# statements per datagram, at about 60 bytes each
MAX_STATES = 20
# The kind and the start of a server that a report tells of.
StateKey = tuple[type, str, int]


class ServerStatements:
    """Tells the other hosts what servers say here, and how many requests were sent to them."""

    def __init__(
        self, backends: Backends, peers: Peers, log: DecisionLog, metrics: Metrics
    ) -> None:
        self.limits = backends.limits
        self.leaving = backends.leaving
        self._rests = backends.rests
        backends.on_report = self.report_received
        self.rooms = RoomSharing(backends, peers, log, metrics, self._report)
        self._peers = peers
        self._log = log
        self._metrics = metrics
        self._repeated_s = float("-inf")
        self._reported_s = float("-inf")
        self._unreported: dict[StateKey, Callable[[], State]] = {}
        peers.on_statements = self.handle_report
        peers.on_host_started.append(self.tell_host)

    def answer_received(
        self,
        entry: ServerEntry,
        statements: tuple[Statement, ...],
        sent_s: float,
        *,
        stamped: bool,
    ) -> None:
        """Apply what an answer says; a value that can't be read changes nothing."""
        nothing_known = not (self.limits.limits_by_start or self.rooms.book.rooms_by_start)
        if statements is NOTHING_STATED and nothing_known:
            return
        for statement in statements:
            self._apply(statement, entry, sent_s, stamped=stamped)

    def report_received(self, entry: ServerEntry, statements: tuple[Statement, ...]) -> None:
        """Apply what a report, or an answer that is not to a request, says of leaving."""
        for statement in statements:
            if isinstance(statement, StatedLeaving):
                self._apply(statement, entry, 0.0, stamped=False)

    def request_sent(self, entry: ServerEntry) -> None:
        """Count a request of this host, and tell the others."""
        limit = self.limits.find(entry)
        if limit:
            limit.request_sent(now_s())
            if limit.per_s is not None:
                self._report(LimitState, limit.server, limit.started_ms, limit.state)

    def handle_report(self, report: StatementReport, host: HostKey) -> None:
        """Apply what another host tells."""
        for state in report.states:
            self._merge(state, host)

    def tell_host(self, host: str) -> None:
        """Tell a host that has just started all statements."""
        states = [*self.leaving.states(), *self._limit_states(), *self.rooms.states(now_s())]
        for report in _reports(states):
            self._peers.tell([host], report)

    def update(self, now: float, entries: Collection[ServerEntry]) -> None:
        """Refill what is left of limits, share room, and repeat all; call it every 0.1 s or so.

        `entries` are the servers that are listed.
        """
        known = (
            self.limits.limits_by_start,
            self.rooms.book.rooms_by_start,
            self.leaving.leaving_by_start,
        )
        if not any(known):
            return
        self.leaving.update(entries, now)
        self.limits.update(self._peers.fleet(now), entries, now)
        self.rooms.update(now, entries)
        if now - self._repeated_s >= REPEAT_S:
            self._repeated_s = now
            changed_s = now - REPEAT_END_S
            states = [
                *self.leaving.states(),
                *self._limit_states(changed_s),
                *self.rooms.states(now, changed_s),
            ]
            for report in _reports(states):
                self._peers.broadcast(report)

    @singledispatchmethod
    def _apply(self, statement: Any, entry: ServerEntry, sent_s: float, *, stamped: bool) -> None:
        raise TypeError(type(statement))

    @_apply.register
    def _apply_limit(
        self, statement: StatedLimit, entry: ServerEntry, sent_s: float, *, stamped: bool
    ) -> None:
        limit = self.limits.find(entry)
        if statement.per_s is None and (limit is None or not stamped):
            return
        limit = limit or self.limits.get_or_create(entry.name, entry.started_ms)
        before = limit.per_s
        if limit.answer_received(statement.per_s, sent_s, now_s()):
            self._log_limit(limit, before, "answer")
            self._report(LimitState, limit.server, limit.started_ms, limit.state)

    @_apply.register
    def _apply_brittleness(
        self, statement: StatedBrittleness, entry: ServerEntry, sent_s: float, *, stamped: bool
    ) -> None:
        self.rooms.answer_received(entry, statement.most_rejected, sent_s, stamped=stamped)

    @_apply.register
    def _apply_leaving(
        self, statement: StatedLeaving, entry: ServerEntry, sent_s: float, *, stamped: bool
    ) -> None:
        if statement.leaving and self._mark_leaving(entry.name, entry.started_ms, "answer"):
            state = LeavingState(entry.name, entry.started_ms)
            self._report(LeavingState, *state, lambda: state)

    @_apply.register
    def _apply_rest(
        self, statement: StatedRest, entry: ServerEntry, sent_s: float, *, stamped: bool
    ) -> None:
        if not statement.rest_s:
            return
        if self._rests.begin(entry.name, entry.started_ms, statement.rest_s, now_s()):
            self._metrics.count("server_rests_total")
            self._log.essential(
                "server-rests",
                server=entry.name,
                started_ms=entry.started_ms,
                rest_s=statement.rest_s,
            )

    @_apply.register
    def _apply_unreadable(
        self, statement: UnreadableStatement, entry: ServerEntry, sent_s: float, *, stamped: bool
    ) -> None:
        self._metrics.count("statements_unreadable_total", kind=statement.kind)
        self._log.detail("statement-unreadable", server=entry.name, kind=statement.kind)

    @singledispatchmethod
    def _merge(self, state: Any, host: HostKey) -> None:
        raise TypeError(type(state))

    @_merge.register
    def _merge_limit(self, state: LimitState, host: HostKey) -> None:
        limit = self.limits.get_or_create(state.server, state.started_ms)
        before = limit.per_s
        if limit.merge(state, host, now_s()):
            self._log_limit(limit, before, host[0])

    @_merge.register
    def _merge_room(self, state: RoomState, host: HostKey) -> None:
        self.rooms.merge(state, host)

    @_merge.register
    def _merge_ask(self, state: RoomAsk, host: HostKey) -> None:
        self.rooms.lend(state, host[0])

    @_merge.register
    def _merge_loan(self, state: RoomLoan, host: HostKey) -> None:
        self.rooms.borrow(state, host[0])

    @_merge.register
    def _merge_leaving(self, state: LeavingState, host: HostKey) -> None:
        self._mark_leaving(state.server, state.started_ms, host[0])

    def _mark_leaving(self, server: str, started_ms: int, source: str) -> bool:
        new = self.leaving.mark(server, started_ms, now_s())
        if new:
            self._metrics.count("servers_leaving_total")
            self._log.essential(
                "server-leaving", server=server, started_ms=started_ms, source=source
            )
        return new

    def _limit_states(self, changed_s: float = float("-inf")) -> list[State]:
        """Return the limits in force, and those that have ended since `changed_s`."""
        return [
            limit.state()
            for limit in self.limits.listed()
            if limit.per_s is not None or limit.changed_s > changed_s
        ]

    def _report(
        self, kind: type, server: str, started_ms: int, build: Callable[[], State]
    ) -> None:
        """Tell the others of a statement at once, or with the next batch."""
        if not self._unreported:
            wait_s = max(0.0, self._reported_s + BATCH_S - now_s())
            asyncio.get_running_loop().call_later(wait_s, self._send_reports)
        self._unreported[kind, server, started_ms] = build

    def _send_reports(self) -> None:
        self._reported_s = now_s()
        unreported, self._unreported = self._unreported, {}
        for report in _reports([build() for build in unreported.values()]):
            self._peers.broadcast(report)

    def _log_limit(self, limit: ServerLimit, before: float | None, source: str) -> None:
        # a server that changes its limit with each answer must not fill the log
        begins_or_ends = before is None or limit.per_s is None
        record = self._log.essential if begins_or_ends else self._log.detail
        record(
            "limit-named",
            server=limit.server,
            per_s=limit.per_s,
            per_s_before=before,
            version=limit.version,
            source=source,
        )


def _reports(states: Iterable[State]) -> Iterable[StatementReport]:
    """Split statements into reports that fit into a datagram."""
    states = tuple(states)
    for at in range(0, len(states), MAX_STATES):
        yield StatementReport(states[at : at + MAX_STATES])


__all__ = ["ServerStatements"]
