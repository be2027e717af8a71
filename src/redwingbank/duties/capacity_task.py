"""The duty that orders servers: collects the load, decides, sends orders and keeps the plan."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

import anyio

from redwingbank.clock import now_s as clock_s
from redwingbank.duties.capacity import (
    READY_S,
    CapacityPlanner,
    PoolState,
    by_subject,
    count_servers,
)
from redwingbank.duties.demand import LoadSample
from redwingbank.duties.server_plan import Counts, price
from redwingbank.duties.values import DutyAnswer, ServerOrder
from redwingbank.front.peers import OWN_HOST

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from typing import Protocol

    from redwingbank.decisions import DecisionLog
    from redwingbank.duties.capacity import Decision
    from redwingbank.duties.order_book import Subject
    from redwingbank.duties.task import DutyTask
    from redwingbank.duties.values import Permit
    from redwingbank.front.backends import Backends
    from redwingbank.front.router import Router
    from redwingbank.front.values import Pool, ServerEntry
    from redwingbank.metrics import Metrics
    from redwingbank.routing.arrivals import Source

    class OrderClient(Protocol):
        """Sends orders."""

        async def order_servers(self, order: ServerOrder, permit: Permit) -> DutyAnswer:
            """Order servers within a permit."""

    class CapacityStore(Protocol):
        """Keeps a small JSON value for the next holder."""

        @property
        def capacity(self) -> Any:
            """The value as last read or kept."""

        def keep_capacity(self, value: Any) -> None:
            """Keep a value."""


# With an older list, servers that left may still be counted; none are ordered away by it.
MAX_LIST_AGE_S = 3.0
# The load of the first second after a takeover is not known.
MIN_SAMPLE_S = 0.2


class Fleet(NamedTuple):
    """The state of the front that the duty reads.

    `pools` returns the pools of the table in force, `list_age_s` the age of the list of servers
    and `data_centre` that of a host by name.
    """

    pools: Callable[[], Mapping[str, Pool]]
    servers_by_name: Mapping[str, ServerEntry]
    backends: Backends
    list_age_s: Callable[[float], float]
    data_centre: Callable[[str], str]
    log: DecisionLog
    metrics: Metrics


class CapacityDuty:
    """Orders servers for each pool with `scaling` while the lease is held.

    Example: `task.register(SCALE, CapacityDuty(task.client, task, fleet))`.
    """

    def __init__(self, client: OrderClient, store: CapacityStore, fleet: Fleet) -> None:
        self._client = client
        self._store = store
        self._fleet = fleet
        fleet.backends.counts_arrivals = True
        self._planners_by_pool: dict[str, CapacityPlanner] = {}
        self._listed_s_by_server: dict[str, float] = {}
        self._fence = -1
        self._sampled_s = float("-inf")

    async def perform(self, permit: Permit, now_s: float) -> None:
        """Decide on each pool with `scaling` and send the orders that are due."""
        if permit.fence != self._fence:
            # another host may have ordered in between: start from what it kept and from the list
            self._fence = permit.fence
            self._planners_by_pool.clear()
        self._note_servers(now_s)
        passed_s, self._sampled_s = now_s - self._sampled_s, now_s
        async with anyio.create_task_group() as group:
            for pool in self._fleet.pools().values():
                entries = self._entries(pool.name)
                if pool.scaling is None or not entries:
                    self._planners_by_pool.pop(pool.name, None)
                    continue
                state, arrivals = self._observe(pool.name, entries, passed_s, now_s)
                group.start_soon(self._decide, pool, state, arrivals, permit, now_s)

    async def _decide(
        self,
        pool: Pool,
        state: PoolState,
        arrivals: Counter[Source],
        permit: Permit,
        now_s: float,
    ) -> None:
        """Decide on a pool and send its orders; decide again if there are none to be had."""
        planner = self._planner(pool)
        listed = by_subject(state.listed)
        refused = True
        while refused and clock_s() < permit.ends_s:
            decision = planner.decide(state, now_s)
            self._record(pool.name, planner, state, decision, arrivals)
            answers: list[DutyAnswer] = []
            async with anyio.create_task_group() as group:
                for subject in planner.book.due(listed, now_s):
                    group.start_soon(self._order, pool.name, planner, subject, permit, answers)
            refused = DutyAnswer.REFUSED in answers

    def _planner(self, pool: Pool) -> CapacityPlanner:
        assert pool.scaling is not None
        planner = self._planners_by_pool.get(pool.name)
        if planner is None:
            kept = decode_capacity(self._store.capacity).get(pool.name)
            planner = self._planners_by_pool[pool.name] = CapacityPlanner(pool.scaling, kept)
        if planner.scaling != pool.scaling:
            planner.update(pool.scaling)
        return planner

    async def _order(
        self,
        pool: str,
        planner: CapacityPlanner,
        subject: Subject,
        permit: Permit,
        answers: list[DutyAnswer],
    ) -> None:
        desired = planner.book.desired(subject)
        order = ServerOrder(pool, subject.data_centre, desired, subject.spot)
        answer = await self._client.order_servers(order, permit)
        answers.append(answer)
        planner.book.record(subject, desired, answer, clock_s())
        self._fleet.metrics.count("server_orders_total", pool=pool, answer=answer.name.lower())
        self._fleet.log.essential(
            "servers-ordered",
            pool=pool,
            data_centre=subject.data_centre,
            spot=subject.spot,
            desired=desired,
            answer=answer.name.lower(),
            fence=permit.fence,
        )

    def _note_servers(self, now_s: float) -> None:
        listed = self._fleet.servers_by_name
        for name in [name for name in self._listed_s_by_server if name not in listed]:
            del self._listed_s_by_server[name]
        for name in listed:
            self._listed_s_by_server.setdefault(name, now_s)

    def _entries(self, pool: str) -> list[ServerEntry]:
        return [entry for entry in self._fleet.servers_by_name.values() if entry.pool == pool]

    def _observe(
        self, pool: str, entries: list[ServerEntry], passed_s: float, now_s: float
    ) -> tuple[PoolState, Counter[Source]]:
        backends = self._fleet.backends
        loads = [
            (entry, backends.backends_by_name[entry.name].load)
            for entry in entries
            if entry.name in backends.backends_by_name
        ]
        in_flight: Counter[str] = Counter()
        by_class: Counter[float] = Counter()
        waiting_s = 0.0
        for entry, load in loads:
            in_flight[entry.data_centre] += len(load)
            by_class.update(load.count_by_pause_target())
            waiting_s += load.backlog_tokens(now_s) / load.read_tokens_per_s
        arrivals = backends.arrivals_by_pool.get(pool)
        requests, tokens = arrivals.take() if arrivals else (Counter(), 0)
        speed = sum(load.read_tokens_per_s for _, load in loads) / max(1, len(loads))
        known = MIN_SAMPLE_S < passed_s < float("inf")
        read_s = tokens / speed / passed_s if known and speed else 0.0
        usable = [entry for entry in entries if not entry.draining]
        ready = [
            entry for entry in usable if now_s - self._listed_s_by_server[entry.name] >= READY_S
        ]
        state = PoolState(
            listed=count_servers((entry.data_centre, entry.spot) for entry in usable),
            ready=count_servers((entry.data_centre, entry.spot) for entry in ready),
            draining_spot=Counter(
                entry.data_centre for entry in entries if entry.draining and entry.spot
            ),
            in_flight=in_flight,
            load=LoadSample(
                slots=sum(entry.slots for entry in usable) / max(1, len(usable)),
                in_flight_by_class=by_class,
                read_s=read_s,
                waiting_s=waiting_s,
            ),
            traffic=bool(arrivals and arrivals.ever) or bool(by_class.total()),
            fresh=self._fleet.list_age_s(now_s) < MAX_LIST_AGE_S,
        )
        return state, requests

    def _record(
        self,
        pool: str,
        planner: CapacityPlanner,
        state: PoolState,
        decision: Decision,
        arrivals: Counter[Source],
    ) -> None:
        """Log a change with its inputs, keep the plan for the next holder, and set metrics."""
        gauge = self._fleet.metrics.gauge
        for data_centre, counts in decision.plan.items():
            for kind, desired in counts._asdict().items():
                gauge("servers_desired", desired, pool=pool, data_centre=data_centre, kind=kind)
        gauge("servers_needed", decision.needs.full, pool=pool)
        gauge("servers_needed_after_reclaim", decision.needs.survivors, pool=pool)
        gauge("servers_price", price(decision.plan, planner.scaling), pool=pool)
        if not decision.reason:
            return
        plans = {name: one.plan() for name, one in self._planners_by_pool.items()}
        self._store.keep_capacity(encode_capacity(plans))
        by_data_centre: Counter[str] = Counter()
        for source, count in arrivals.items():
            by_data_centre[self._fleet.data_centre(source.host)] += count
        self._fleet.log.essential(
            "servers-wanted",
            pool=pool,
            reason=decision.reason,
            plan={name: list(counts) for name, counts in decision.plan.items()},
            listed={name: list(counts) for name, counts in state.listed.items()},
            reclaimed=dict(state.draining_spot),
            needs=decision.needs._asdict(),
            in_flight=dict(state.in_flight),
            in_flight_by_class={str(key): n for key, n in state.load.in_flight_by_class.items()},
            arrivals=dict(by_data_centre),
            read_s=round(state.load.read_s, 2),
            waiting_s=round(state.load.waiting_s, 2),
        )


def create_capacity_duty(task: DutyTask, router: Router) -> CapacityDuty:
    """Create the duty of a host; `task` holds the lease."""

    def pools() -> Mapping[str, Pool]:
        return router.tables.table.pools_by_name if router.tables.table else {}

    def data_centre(host: str) -> str:
        if host == OWN_HOST:
            return router.settings.data_centre
        peer = router.peers.peers_by_host.get(host)
        return peer.place.data_centre if peer else ""

    def list_age_s(now: float) -> float:
        # a watch of the servers may wait for 25 s without news; the age of the table tells whether
        # the store is in reach
        never = router.freshness.servers_age_s(now) == float("inf")
        return float("inf") if never else router.tables.age_s(now)

    fleet = Fleet(
        pools=pools,
        servers_by_name=router.servers.entries_by_name,
        backends=router.backends,
        list_age_s=list_age_s,
        data_centre=data_centre,
        log=router.log,
        metrics=router.metrics,
    )
    return CapacityDuty(task.client, task, fleet)


def encode_capacity(plans_by_pool: Mapping[str, Mapping[str, Counts]]) -> dict[str, Any]:
    """Encode plans as JSON for the next holder.

    >>> encode_capacity({"desk": {"dc-a": Counts(6, 22)}})
    {'desk': {'dc-a': [6, 22]}}
    """
    return {
        pool: {data_centre: list(counts) for data_centre, counts in plan.items()}
        for pool, plan in plans_by_pool.items()
    }


def decode_capacity(value: Any) -> dict[str, dict[str, Counts]]:
    """Decode the plans of the last holder; what can't be read is left out."""
    plans: dict[str, dict[str, Counts]] = {}
    for pool, plan in value.items() if isinstance(value, dict) else ():
        for data_centre, counts in plan.items() if isinstance(plan, dict) else ():
            if isinstance(counts, list) and [type(one) for one in counts] == [int, int]:
                plans.setdefault(pool, {})[data_centre] = Counts(*(max(0, n) for n in counts))
    return plans


__all__ = ["CapacityDuty", "Fleet", "create_capacity_duty", "decode_capacity", "encode_capacity"]
