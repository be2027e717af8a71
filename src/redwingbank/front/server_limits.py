"""Keeps the limits that backend servers name, together with the other hosts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from redwingbank.clock import now_s
from redwingbank.front.notice_codec import LimitReport

if TYPE_CHECKING:
    from collections.abc import Iterable

    from redwingbank.decisions import DecisionLog
    from redwingbank.front.peers import Peers
    from redwingbank.front.values import ServerEntry, StatedLimit
    from redwingbank.routing.server_limit import HostKey, LimitBook, ServerLimit, ServerStart

# All limits are told again this often, since datagrams are lost.
REPEAT_S = 0.5
# The end of a limit is repeated for this long.
REPEAT_END_S = 10.0
# At most one message in this time tells of requests.
BATCH_S = 0.02
# limits per datagram, at about 60 bytes each
MAX_LIMITS = 20


class ServerLimits:
    """Tells the other hosts the limits that servers name here, and the requests sent to them.

    What a server says to one host binds all at once; each host counts what the others send.
    """

    def __init__(self, book: LimitBook, peers: Peers, log: DecisionLog) -> None:
        self.book = book
        self._peers = peers
        self._log = log
        self._repeated_s = float("-inf")
        self._reported_s = float("-inf")
        self._unreported: dict[ServerStart, ServerLimit] = {}
        peers.on_limits = self.handle_report
        peers.on_host_started = self.tell_host

    def answer_received(
        self, entry: ServerEntry, stated: StatedLimit | None, sent_s: float, *, stamped: bool
    ) -> None:
        """Apply what an answer says; a value that is no limit changes nothing."""
        if stated is None:
            self._log.detail("limit-unreadable", server=entry.name)
            return
        limit = self.book.find(entry)
        if stated.per_s is None and (limit is None or not stamped):
            return
        limit = limit or self.book.get_or_create(entry.name, entry.started_ms)
        before = limit.per_s
        if limit.answer_received(stated.per_s, sent_s, now_s()):
            self._log_change(limit, before, "answer")
            self._report(limit)

    def request_sent(self, entry: ServerEntry) -> None:
        """Count a request of this host, and tell the others."""
        limit = self.book.find(entry)
        if limit:
            limit.request_sent(now_s())
            if limit.per_s is not None:
                self._report(limit)

    def handle_report(self, report: LimitReport, host: HostKey) -> None:
        """Apply what another host tells."""
        now = now_s()
        for state in report.limits:
            limit = self.book.get_or_create(state.server, state.started_ms)
            before = limit.per_s
            if limit.merge(state, host, now):
                self._log_change(limit, before, host[0])

    def tell_host(self, host: str) -> None:
        """Tell a host that has just started all limits."""
        for report in _reports(self.book.listed()):
            self._peers.tell([host], report)

    def update(self, now: float, entries: Iterable[ServerEntry]) -> None:
        """Refill what is left of the limits, and repeat them; call it several times a second.

        `entries` are the servers that are listed.
        """
        if not self.book.limits_by_start:
            return
        self.book.update(self._peers.fleet(now), entries, now)
        if now - self._repeated_s >= REPEAT_S:
            self._repeated_s = now
            repeated = [
                limit
                for limit in self.book.listed()
                if limit.per_s is not None or now - limit.changed_s < REPEAT_END_S
            ]
            for report in _reports(repeated):
                self._peers.broadcast(report)

    def _report(self, limit: ServerLimit) -> None:
        """Tell the others of a limit at once, or with the next batch."""
        if not self._unreported:
            wait_s = max(0.0, self._reported_s + BATCH_S - now_s())
            asyncio.get_running_loop().call_later(wait_s, self._send_reports)
        self._unreported[limit.server, limit.started_ms] = limit

    def _send_reports(self) -> None:
        self._reported_s = now_s()
        unreported, self._unreported = self._unreported, {}
        for report in _reports(unreported.values()):
            self._peers.broadcast(report)

    def _log_change(self, limit: ServerLimit, before: float | None, source: str) -> None:
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


def _reports(limits: Iterable[ServerLimit]) -> Iterable[LimitReport]:
    """Split limits into reports that fit into a datagram."""
    states = [limit.state() for limit in limits]
    for at in range(0, len(states), MAX_LIMITS):
        yield LimitReport(tuple(states[at : at + MAX_LIMITS]))


__all__ = ["ServerLimits"]
