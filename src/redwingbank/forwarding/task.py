"""Keeps the reachability of each pool, and forwards the requests of pools that are cut off."""

from __future__ import annotations

import asyncio
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING

from redwingbank.clock import now_s
from redwingbank.forwarding.helper_choice import Helper, choose_helper
from redwingbank.forwarding.probes import probe
from redwingbank.forwarding.reach_codec import ReachReport, pool_key
from redwingbank.forwarding.told_reach import ToldReach
from redwingbank.front.digest import Digest
from redwingbank.front.outbound import ConnectionPool
from redwingbank.routing.reachability import (
    FAILURE_WINDOW_S,
    NEVER_S,
    SILENCE_S,
    Others,
    PoolReach,
    ProbeResult,
    Reach,
    VerdictSource,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Coroutine, Iterable, Sequence
    from random import Random

    from redwingbank.decisions import DecisionLog
    from redwingbank.front.backends import Backend, Backends
    from redwingbank.front.peers import Peers
    from redwingbank.front.values import HostSettings, ServerEntry
    from redwingbank.metrics import Metrics

# All hosts are told this often of the pools that this host reaches, with a digest that is due.
TELL_S = 0.9
# A host in doubt asks some others at these intervals, so that a decision is due within 1.5 s.
ASK_DOUBTFUL_S = 0.2
ASK_CUT_S = 1.0
HOSTS_ASKED = 8
# A host that is asked and heard nothing for this long asks a server first.
FRESH_S = 0.1
ANSWER_PROBE_INTERVAL_S = 0.3
# Beside a server that refuses connections, so many others of its pool are asked.
SERVERS_ASKED = 2
# A helper that failed gets no requests for this long, unless there is no other.
AVOID_S = 1.0
# Helpers close idle connections after some seconds.
KEEP_IDLE_S = 1.0
STATES_NOT_TOLD = frozenset({Reach.CUT})


class Forwarding:
    """Reachability of this host's pools, and the connections to helpers.

    `cut_pools` holds the pools that are cut off; it is empty while nothing is, so that a request
    costs one check. `on_cut` is called while a pool is cut off, with the time since which
    requests without an answer are to be forwarded instead. It runs in an event loop call of its
    own, so that a request which asks a question here is not moved before it has the answer.
    """

    def __init__(
        self,
        settings: HostSettings,
        backends: Backends,
        peers: Peers,
        log: DecisionLog,
        metrics: Metrics,
        random: Random,
    ) -> None:
        self.host = settings.name
        self.enabled = settings.bounds.contact_s > 0
        self.cut_pools: set[str] = set()
        self.takes_forwards = False
        self.on_cut: Callable[[str, float], None] | None = None
        self.metrics = metrics
        self.log = log
        self.answer_memory = backends.answer_memory
        self._data_centre = settings.data_centre
        self._backends = backends
        self._peers = peers
        self._random = random
        self._told = ToldReach(peers)
        self._reach_by_pool: dict[str, PoolReach] = {}
        self._entries_by_pool: dict[str, list[ServerEntry]] = {}
        self._told_s = NEVER_S
        self._asked_s_by_pool: dict[str, float] = {}
        self._answered_s_by_pool: dict[str, float] = {}
        # times of the questions of hosts that await a proof
        self._asked_s_by_host_by_pool: dict[str, dict[str, float]] = {}
        self._proving: set[str] = set()
        self._in_flight: Counter[str] = Counter()
        self._avoided_until_s_by_host: dict[str, float] = {}
        self._connections_by_host: dict[str, ConnectionPool] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        if self.enabled:
            peers.reach_report = self.report
            peers.on_reach = self.handle_report

    def update(self, now: float, entries: Iterable[ServerEntry]) -> None:
        """Check each pool and start the probes that are due; call it several times a second."""
        if not self.enabled:
            return
        entries_by_pool: dict[str, list[ServerEntry]] = {}
        for entry in entries:
            entries_by_pool.setdefault(entry.pool, []).append(entry)
        for pool in self._reach_by_pool.keys() - entries_by_pool.keys():
            self._leave_pool(pool)
        self._entries_by_pool = entries_by_pool
        for pool in entries_by_pool:
            self._check(pool, now, VerdictSource.TICK)
        for connections in self._connections_by_host.values():
            connections.expire()

    def weigh(self, pool: str) -> bool:
        """Weigh the evidence on a pool, sooner than is due; return whether it shows a cut now."""
        was_cut = self.is_cut(pool)
        if self.enabled and pool in self._entries_by_pool:
            self._check(pool, now_s(), VerdictSource.REQUEST)
        return self.is_cut(pool) and not was_cut

    def awaits_verdict(self, pool: str) -> bool:
        """Whether it is about to be decided if a pool is cut off, by what was weighed."""
        reach, now = self._reach_by_pool.get(pool), now_s()
        return reach is not None and reach.awaits_verdict(now) and any(self._told.live_hosts(now))

    def is_cut(self, pool: str) -> bool:
        """Whether this host reaches no server of a pool."""
        return pool in self.cut_pools

    def suspects(self, pool: str) -> bool:
        """Whether a pool is cut off, or may be."""
        reach = self._reach_by_pool.get(pool)
        return reach is not None and reach.state is not Reach.REACHING

    async def answers_elsewhere(self, backend: Backend) -> bool:
        """Whether another server of the pool answers on a new connection."""
        pool, name = backend.entry.pool, backend.entry.name
        others = [
            one
            for one in self._backends.backends_by_name.values()
            if one.entry.pool == pool and one.entry.name != name
        ]
        asked = self._select(others, SERVERS_ASKED, now_s())
        return ProbeResult.ANSWERED in await asyncio.gather(*map(_probe, asked))

    def alive_entries(self, entries: Sequence[ServerEntry], now: float) -> list[ServerEntry]:
        """List the servers of a pool that is cut off whose earlier connections live on."""
        by_name = self._backends.backends_by_name
        return [
            entry
            for entry in entries
            if entry.name in by_name and _lives_on(by_name[entry.name], now)
        ]

    def pick(self, pool: str, tried: Collection[str]) -> str:
        """Pick a host that reaches a pool, not one of `tried`; empty if there is none."""
        now = now_s()
        known = [host for host in self._told.helpers(pool_key(pool), now) if host not in tried]
        avoided = self._avoided_until_s_by_host
        hosts = [host for host in known if avoided.get(host, NEVER_S) <= now] or known
        places = {host: self._peers.peers_by_host[host].place.data_centre for host in hosts}
        helpers = [Helper(host, place, self._in_flight[host]) for host, place in places.items()]
        chosen = choose_helper(helpers, self._data_centre, self._random)
        return chosen.host if chosen else ""

    def counts_servers(self, host: str) -> bool:
        """Whether a host reads to how many servers it may send a forwarded request."""
        return self._told.counts_servers(host)

    def connections(self, host: str) -> ConnectionPool:
        """Return the connections to a host."""
        address = self._peers.peers_by_host[host].address
        known = self._connections_by_host.get(host)
        if known is not None and known.address != address:
            known.close()
            known = None
        if known is None:
            known = self._connections_by_host[host] = ConnectionPool(address, KEEP_IDLE_S)
        return known

    def avoid(self, host: str) -> None:
        """Avoid a helper that failed, for a while."""
        self._avoided_until_s_by_host[host] = now_s() + AVOID_S

    def forward_begun(self, host: str) -> None:
        """Count a request that is forwarded to a host."""
        self._in_flight[host] += 1

    def forward_ended(self, host: str, reason: str, outcome: str) -> None:
        """Count the end of a forwarded request."""
        self._in_flight[host] -= 1
        if not self._in_flight[host]:
            del self._in_flight[host]
        self.metrics.count("forwarded_total", 1, reason=reason, outcome=outcome)

    def record_gauges(self) -> None:
        """Set the gauge of each pool: 0 reaching, 1 doubtful, 2 cut off."""
        for pool, reach in self._reach_by_pool.items():
            self.metrics.gauge("reachability", reach.state, pool=pool)

    def report(self, now: float) -> ReachReport | None:
        """Return what all hosts are told, if it is due."""
        if now - self._told_s < TELL_S:
            return None
        report = self._build_report(self._entries_by_pool, now)
        if report.age_s_by_key:
            self._told_s = now
        return report

    def handle_report(self, report: ReachReport, host: str, now: float) -> None:
        """Record another host's report, or answer its question."""
        if not report.asks:
            self._told.record(report, host, now)
            if report.proved_key:
                self._record_proof(report, now)
            return
        asked = [pool for pool in self._entries_by_pool if pool_key(pool) in report.age_s_by_key]
        for pool in asked:
            if report.asked_s:
                self._prove(pool, host, report.asked_s)
                continue
            backends = self._listed(pool)
            if not backends:
                continue
            age_s = now - max(one.connections.contact.heard_s for one in backends)
            reaching = pool in self._reach_by_pool and not self.suspects(pool)
            recent_s = now - self._answered_s_by_pool.get(pool, NEVER_S)
            if reaching and age_s > FRESH_S and recent_s > ANSWER_PROBE_INTERVAL_S:
                self._answered_s_by_pool[pool] = now
                self._start(self._probe_and_tell(self._random.choice(backends), host))
        self._tell(host, now)

    def _check(self, pool: str, now: float, source: VerdictSource) -> None:
        reach = self._reach_by_pool.get(pool)
        if reach is None:
            reach = self._reach_by_pool[pool] = PoolReach(self._random)
        before = reach.state
        backends = self._listed(pool)
        contacts = [backend.connections.contact for backend in backends]
        # what others tell matters in doubt only
        settled = reach.state is Reach.REACHING
        others = Others() if settled else self._told.others(pool_key(pool), now)
        reach.update(contacts, others, now)
        self._apply_state(pool, reach, before, source)
        count = reach.probes_due(now)
        if count:
            self._start(self._run_round(pool, reach, self._select(backends, count, now)))
        if reach.state is not Reach.REACHING:
            self._ask_others(pool, reach, now)

    def _apply_state(
        self, pool: str, reach: PoolReach, before: Reach, source: VerdictSource
    ) -> None:
        if reach.state is before:
            return
        self.log.essential(
            "pool-reach",
            pool=pool,
            state=reach.state.name.lower(),
            was=before.name.lower(),
            reason=reach.reason,
            source=source,
            helpers=sum(1 for _ in self._told.helpers(pool_key(pool), now_s())),
        )
        if reach.state is Reach.CUT:
            self.cut_pools.add(pool)
            self._reroute(pool, now_s())
            return
        self.cut_pools.discard(pool)
        if before is Reach.CUT and reach.state is Reach.REACHING:
            # the servers were ejected for failures that were not theirs
            for backend in self._listed(pool):
                backend.reset_breaker()

    def _reroute(self, pool: str, sent_before_s: float) -> None:
        asyncio.get_running_loop().call_soon(self._announce_cut, pool, sent_before_s)

    def _announce_cut(self, pool: str, sent_before_s: float) -> None:
        if self.on_cut and pool in self.cut_pools:
            self.on_cut(pool, sent_before_s)

    def _leave_pool(self, pool: str) -> None:
        del self._reach_by_pool[pool]
        self.cut_pools.discard(pool)

    def _listed(self, pool: str) -> list[Backend]:
        """Return the servers of a pool, without those that say that they are leaving."""
        entries = self._backends.leaving.staying(self._entries_by_pool.get(pool, ()))
        return [self._backends.get_or_create(entry) for entry in entries]

    def _select(self, backends: list[Backend], count: int, now: float) -> list[Backend]:
        """Select servers to probe, last those that failed lately: they may be down."""
        self._random.shuffle(backends)
        backends.sort(key=lambda one: now - one.connections.contact.failed_s < FAILURE_WINDOW_S)
        return backends[:count]

    async def _run_round(self, pool: str, reach: PoolReach, backends: list[Backend]) -> None:
        results: Sequence[ProbeResult] = (ProbeResult.FAILED,)
        try:
            results = await asyncio.gather(*map(_probe, backends))
        finally:
            now, before = now_s(), reach.state
            contacts = [backend.connections.contact for backend in self._listed(pool)]
            reach.probed(results, contacts, self._told.others(pool_key(pool), now), now)
            if self._reach_by_pool.get(pool) is reach:
                self._apply_state(pool, reach, before, VerdictSource.PROBES)
                if reach.state is Reach.CUT:
                    self._reroute(pool, now - SILENCE_S)
                elif reach.awaits_proof:
                    # the rounds before asked too early for a proof
                    self._asked_s_by_pool.pop(pool, None)
                    self._ask_others(pool, reach, now)

    def _record_proof(self, report: ReachReport, now: float) -> None:
        for pool in self._entries_by_pool:
            if pool_key(pool) == report.proved_key:
                self._told.record_proof(report.proved_key, report.asked_s, now)
                self._check(pool, now, VerdictSource.PROOF)

    def _prove(self, pool: str, host: str, asked_s: float) -> None:
        """Ask a server for a host, after the server that may have been asked already."""
        if self.suspects(pool):
            return
        self._asked_s_by_host_by_pool.setdefault(pool, {})[host] = asked_s
        if pool not in self._proving:
            self._proving.add(pool)
            self._start(self._prove_to_askers(pool))

    async def _prove_to_askers(self, pool: str) -> None:
        try:
            while asked_s_by_host := self._asked_s_by_host_by_pool.pop(pool, None):
                backends = self._select(self._listed(pool), 1, now_s())
                if (
                    not backends
                    or await probe(backends[0].connections) is not ProbeResult.ANSWERED
                ):
                    continue
                report = self._build_report(self._entries_by_pool, now_s())
                for host, asked_s in asked_s_by_host.items():
                    proof = report._replace(asked_s=asked_s, proved_key=pool_key(pool))
                    self._peers.tell([host], Digest(reach=proof))
        finally:
            self._proving.discard(pool)

    async def _probe_and_tell(self, backend: Backend, host: str) -> None:
        if await _probe(backend) is ProbeResult.ANSWERED:
            self._tell(host, now_s())

    def _ask_others(self, pool: str, reach: PoolReach, now: float) -> None:
        """Ask some hosts whether they reach a pool."""
        recent = now - reach.evidence_s < FAILURE_WINDOW_S
        doubtful = reach.state is Reach.DOUBTFUL and recent
        interval_s = ASK_DOUBTFUL_S if doubtful else ASK_CUT_S
        if now - self._asked_s_by_pool.get(pool, NEVER_S) < interval_s:
            return
        self._asked_s_by_pool[pool] = now
        hosts = list(self._told.live_hosts(now))
        asked = self._random.sample(hosts, min(HOSTS_ASKED, len(hosts)))
        question = ReachReport(
            {pool_key(pool): 0.0},
            self.takes_forwards,
            asks=True,
            asked_s=now if reach.awaits_proof else 0.0,
        )
        self._peers.tell(asked, Digest(reach=question))

    def _tell(self, host: str, now: float) -> None:
        self._peers.tell([host], Digest(reach=self._build_report(self._entries_by_pool, now)))

    def _build_report(self, pools: Iterable[str], now: float) -> ReachReport:
        ages = {}
        for pool in pools:
            reach = self._reach_by_pool.get(pool)
            contacts = (one.connections.contact for one in self._listed(pool))
            heard_s = max((contact.heard_s for contact in contacts), default=NEVER_S)
            if heard_s > NEVER_S and not (reach and reach.state in STATES_NOT_TOLD):
                ages[pool_key(pool)] = now - heard_s
        return ReachReport(ages, self.takes_forwards, proves=True, counts_servers=True)

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _probe(backend: Backend) -> Coroutine[None, None, ProbeResult]:
    return probe(backend.connections, partial(backend.report_received, backend.entry))


def _lives_on(backend: Backend, now: float) -> bool:
    connections = backend.connections
    return connections.has_idle and now - connections.contact.heard_s < SILENCE_S


__all__ = ["Forwarding"]
