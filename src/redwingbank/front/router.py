"""The shared state of one host's front."""

from __future__ import annotations

import time
from functools import partial
from typing import TYPE_CHECKING

from redwingbank.clock import now_s
from redwingbank.codes import Code
from redwingbank.decisions import DecisionLog
from redwingbank.error_barrier import ErrorBarrier
from redwingbank.forwarding.task import Forwarding
from redwingbank.front.admission import Admission
from redwingbank.front.allowance import RetryAllowance
from redwingbank.front.answer_durations import AnswerDurations
from redwingbank.front.backends import Backends
from redwingbank.front.crash_probe import CrashProbes
from redwingbank.front.digest import Place
from redwingbank.front.directory import ServerRegistry, TableState
from redwingbank.front.freshness import Freshness
from redwingbank.front.peers import OWN_HOST, PROGRESS_BATCH_S, Peers
from redwingbank.front.poison import PoisonTracker
from redwingbank.front.server_statements import ServerStatements
from redwingbank.front.shutdown import Shutdown
from redwingbank.front.stream_sharing import StreamSharing
from redwingbank.front.stream_takeover import StreamTakeover
from redwingbank.front.values import Kind, Limits, Pool
from redwingbank.intake.guard import IntakeGuard
from redwingbank.metrics import Metrics
from redwingbank.routing.choice import Chooser, as_in_flight
from redwingbank.routing.dispatch import Dispatcher
from redwingbank.routing.route_history import RouteHistory
from redwingbank.routing.version_history import VersionHistory

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from redwingbank.duties.counter import RunCounter
    from redwingbank.front.backends import Backend
    from redwingbank.front.open_work import OpenConnection, OpenExchange
    from redwingbank.front.values import HostSettings, ServerEntry
    from redwingbank.model import Request
    from redwingbank.platform.headers import AnswerFacts
    from redwingbank.routing.choice import Choice, RequestNeeds

# About the time that a host needs to get missing state, such as a newer table.
RETRY_AFTER_S = 0.3
RETRY_AFTER_S_BY_CODE = {
    **dict.fromkeys((Code.NOT_READY, Code.TABLE_UNCONFIRMED, Code.LEAVING), 0.2),
    # a server that crashed is back after some seconds
    Code.VERSION_GONE: 1.0,
}
# reported as the age of a table or server list that was never confirmed
MAX_REPORTED_AGE_S = 86_400.0
DEFAULT_LIMITS = Limits()


class Router:
    """State and services shared by all requests of one host."""

    def __init__(self, settings: HostSettings, random: Random) -> None:
        self.settings = settings
        self.random = random
        self.log = DecisionLog(settings.name, settings.data_centre)
        self.barrier = ErrorBarrier(self.log.essential, "front")
        self.metrics = Metrics()
        self.tables = TableState(settings.bounds)
        self.intake = IntakeGuard(settings.intake, self.log, self.metrics)
        self.backends = Backends(random, settings.answer_limits, self.intake.account)
        place = Place(settings.data_centre, settings.link_mbps)
        self.peers = Peers(settings.name, time.time_ns(), self.backends, self.log, place)
        self.poison = PoisonTracker(self.peers.broadcast, self.log)
        self.forwarding = Forwarding(
            settings, self.backends, self.peers, self.log, self.metrics, random
        )
        self.forwarding.on_cut = self.forward_pending
        self.probes = CrashProbes(self.poison, self.forwarding, self._stands)
        self.peers.on_crash = self.poison.handle_crash_news
        self.statements = ServerStatements(self.backends, self.peers, self.log, self.metrics)
        self.freshness = Freshness(settings.name, self.tables, self.peers, self.log)
        self.servers = ServerRegistry(self.freshness.store_contact.was_down, self.backends.leaving)
        self.streams = StreamSharing(settings.name, self.peers)
        self.takeover = StreamTakeover(settings.name, self.streams, self.guard)
        self.versions = VersionHistory()
        self.routes = RouteHistory()
        self.dispatcher = Dispatcher(
            Chooser(self.backends, random), lambda: 1 + len(self.peers.peers_by_host)
        )
        self.allowance = RetryAllowance(settings.bounds, self.peers.known_hosts, now_s())
        self.admission = Admission(self.tables)
        self.shutdown = Shutdown(settings.bounds.grace_s)
        self.durations = AnswerDurations()
        self.connections: set[OpenConnection] = set()
        self.exchanges: set[OpenExchange] = set()
        # None unless the duties include usage reports
        self.runs: RunCounter | None = None

    def update_settings(self, settings: HostSettings) -> None:
        """Apply reloaded settings."""
        self.settings = settings
        self.intake.account.limits = settings.intake

    def _stands(self, entry: ServerEntry) -> bool:
        """Whether the start of a server that an entry lists stands at its address."""
        listed = self.servers.entries_by_name.get(entry.name)
        return listed is not None and listed.started_ms == entry.started_ms

    def metrics_text(self) -> str:
        """Format all counters, histograms and gauges as Prometheus text."""
        gauge = self.metrics.gauge
        now = now_s()
        gauge("table_revision", self.tables.table.revision if self.tables.table else 0)
        gauge("table_age_seconds", min(self.tables.age_s(now), MAX_REPORTED_AGE_S))
        gauge("servers_age_seconds", min(self.freshness.servers_age_s(now), MAX_REPORTED_AGE_S))
        gauge("connections", len(self.connections))
        gauge("hosts_heard", len(self.peers.alive(now)))
        gauge("requests_in_flight", len(self.exchanges))
        gauge("streams_remembered", len(self.streams.book))
        gauge("answer_bytes_kept", self.backends.answer_memory.kept_bytes)
        gauge("streams_answered", len(self.takeover.answers))
        gauge("poison_blocked", len(self.poison.causes.blocked(now)))
        for name, backend in self.backends.backends_by_name.items():
            gauge("server_in_flight", len(backend.load), server=name)
            gauge("server_connections_opened", backend.connections.opened, server=name)
        for limit in self.backends.limits.listed():
            per_s = float("inf") if limit.per_s is None else limit.per_s
            gauge("server_limit_per_second", per_s, server=limit.server)
        self.intake.record_gauges()
        self.forwarding.record_gauges()
        for pool in self.backends.evened_pools:
            gauge("load_evened", 1, pool=pool)
        self.statements.rooms.record_gauges()
        for pool in self.tables.table.pools_by_name if self.tables.table else ():
            gauge("repeats_left", self.allowance.remaining(pool, now), pool=pool)
        return self.metrics.text()

    def limits(self) -> Limits:
        """Return the limits for callers in the table in force."""
        table = self.tables.table
        return table.limits if table else DEFAULT_LIMITS

    def pool(self, name: str) -> Pool:
        """Return a pool of the table; a pool that is not listed has no prompt cache."""
        table = self.tables.table
        known = table.pools_by_name.get(name) if table else None
        return known or Pool(name, 0)

    def ready(self) -> bool:
        """Whether the host accepts new connections."""
        if self.shutdown.begun or self.tables.table is None:
            return False
        if not self.peers.listing.introduced(now_s()):
            return False
        return bool(self.servers.listed_by_name) and self.tables.can_trust_keys(now_s())

    @property
    def busy(self) -> bool:
        """Whether a request is being read or answered, or may be about to arrive."""
        return bool(self.exchanges) or any(one.busy for one in self.connections)

    def guard(self, step: Callable[[], None], failed: Callable[[], None]) -> None:
        """Run a step of a request; after an unexpected error, log it and call `failed`."""
        with self.barrier.confine("request"):
            step()
            return
        failed()

    def retry_after_s(self, code: Code) -> float:
        """Return after how long a refused caller may retry."""
        if code is Code.HOST_FULL:
            return self.intake.account.assign_return_s(now_s())
        return RETRY_AFTER_S_BY_CODE.get(code, RETRY_AFTER_S)

    def may_send(self, request: Request, owner: OpenExchange, now: float) -> bool:
        """Whether the answer to a request that is sent now can end before this host does."""
        durations = self.durations
        return not self.shutdown.begun or self.shutdown.may_send(
            now,
            begun_s=durations.begun_s(owner),
            give_up_s=request.give_up_s,
            likely_s=durations.expected_s(request.class_name, now),
        )

    def forward_pending(self, pool: str, sent_before_s: float) -> None:
        """Forward requests that wait for servers of a pool that is cut off."""
        for exchange in list(self.exchanges):
            moved = partial(exchange.pool_cut, pool, sent_before_s)
            self.guard(moved, exchange.fail_internally)

    def remove_exchange(self, exchange: OpenExchange) -> None:
        """Remove a request that has ended."""
        self.exchanges.discard(exchange)
        self.durations.end(exchange)

    def record_send(
        self, choice: Choice, needs: RequestNeeds, organisation: str, now_s: float
    ) -> int:
        """Record a request that is sent, and tell the other hosts; return its number."""
        backend, shared = choice.backend, needs.facts.shared_parts
        in_flight = as_in_flight(choice, needs, now_s)
        number = self.peers.report_sent(backend.entry.name, in_flight, shared)
        backend.load.request_sent((OWN_HOST, number), in_flight, shared)
        if self.runs:
            streams = needs.route.kind is Kind.STREAM
            had_room = len(backend.load) <= backend.entry.slots
            self.runs.sent(number, organisation, now_s, streams=streams, had_room=had_room)
        self.statements.request_sent(backend.entry)
        return number

    def record_first_event(self, backend: Backend, number: int, sent_s: float) -> None:
        """Record the first part of an answer, and tell the other hosts."""
        now = now_s()
        took_s = now - sent_s
        if self.runs:
            self.runs.first_event(number, now)
        backend.load.first_event_received((OWN_HOST, number), took_s)
        self.peers.report_first_event(number, took_s)

    def record_end(self, backend: Backend, number: int) -> None:
        """Record the end of a request at a server, and tell the other hosts."""
        backend.load.request_ended((OWN_HOST, number))
        within_s = self.statements.rooms.end_batch_s(backend.entry)
        self.peers.report_end(number, PROGRESS_BATCH_S if within_s is None else within_s)

    def record_stated_load(self, backend: Backend, facts: AnswerFacts) -> None:
        """Record what an answer says of its server's load; odd figures are only counted."""
        pool = backend.entry.pool
        if facts.load_unreadable:
            self.metrics.count("stated_load_unreadable_total", 1, pool=pool)
        elif facts.load and facts.stamped:
            scaled = self.pool(pool).scaled
            self.backends.load_stated(backend, facts.load, now_s(), scaled=scaled)

    def count(self, name: str, class_name: str, **labels: str) -> None:
        """Increment a counter of a class."""
        self.metrics.count(name, 1, service_class=class_name, **labels)

    def observe(self, name: str, seconds: float, class_name: str) -> None:
        """Add a duration to a histogram of a class."""
        self.metrics.observe(name, seconds, service_class=class_name)


__all__ = ["Router"]
