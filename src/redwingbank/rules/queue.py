"""The queue of a host: strict tiers, then fair shares, then deadlines."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.codes import Code
from redwingbank.messages import NO_SLACK_LIMIT_S, ClassDemand
from redwingbank.rules.class_queue import ClassQueue, request_cost

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from redwingbank.model import Request
    from redwingbank.rules.table import Table

LOWEST_TIER = 255
MIN_RETRY_S = 1.0
MAX_RETRY_S = 60.0
RATE_WINDOW_S = 10.0


class Shed(NamedTuple):
    """A request that load shedding removed, with the answer to its caller."""

    request: Request
    code: Code
    retry_after_s: float


class Queue:
    """Requests that wait on one host, for all pools.

    `select` applies strict priority between tiers: a request starts only when no higher tier
    waits for the same pool. Within a tier, classes and then organisations share by weight and
    tokens served; among those within their share the earliest deadline goes first. A class in
    `reserved` may start a request ahead of higher tiers while it has fewer than that many in
    flight.

    Above `limit` waiting requests, the queue sheds from the lowest tier, from the organisation
    with the largest backlog relative to its weight, the latest deadline first. A request counts
    as in flight from `pop` to `finish`.
    """

    def __init__(self, table: Table, limit: int) -> None:
        self._table = table
        self._limit = limit
        self._class_queues_by_pool: dict[str, dict[str, ClassQueue]] = {}
        self._waiting_by_id: dict[str, Request] = {}
        self._running_by_id: dict[str, tuple[Request, float]] = {}
        self._running_by_class: dict[tuple[str, str], int] = {}
        self._give_up_heap: list[tuple[float, str]] = []
        self._start_rate_by_pool: dict[str, StartRate] = {}

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    @property
    def waiting(self) -> tuple[Request, ...]:
        """The requests waiting, in no particular order."""
        return tuple(self._waiting_by_id.values())

    @property
    def waiting_by_class(self) -> dict[str, int]:
        """Number of waiting requests by class, over all pools."""
        counts: dict[str, int] = {}
        for queue in self._class_queues():
            counts[queue.class_name] = counts.get(queue.class_name, 0) + len(queue)
        return counts

    def push(self, request: Request, now_s: float) -> list[Shed]:
        """Add a request; return the requests shed to stay within the limit, perhaps this one."""
        self.remove(request.request_id)
        self.finish(request.request_id, now_s)
        self._add(request)
        shed: list[Shed] = []
        while len(self) > self._limit:
            candidate = self._shed_candidate()
            self.remove(candidate.request_id)
            shed.append(Shed(candidate, Code.SHED, self._retry_after_s(now_s)))
        return shed

    def remove(self, request_id: str) -> Request | None:
        """Remove a waiting request without starting it."""
        request = self._waiting_by_id.pop(request_id, None)
        if request is not None:
            self._class_queues_by_pool[request.pool][request.class_name].remove(request)
        return request

    def select(
        self,
        pool: str,
        now_s: float,
        floor: int = LOWEST_TIER,
        reserved: Mapping[str, int] | None = None,
        slack_s: float = NO_SLACK_LIMIT_S,
    ) -> Request | None:
        """Return the request to start next in a pool, if any; it stays queued until `pop`.

        Tiers below `floor` start only on reserved slots; so does the floor's own tier while
        its earliest deadline here is more than `slack_s` away.
        """
        queues = [queue for queue in self._class_queues_by_pool.get(pool, {}).values() if queue]
        if not queues:
            return None
        with_reserved = [
            queue for queue in queues if self._has_reserved_slot(queue, pool, reserved)
        ]
        if with_reserved:
            return min(with_reserved, key=lambda queue: queue.oldest_arrival_s).select(now_s)
        tier = min(queue.tier for queue in queues)
        if tier > floor:
            return None
        same_tier = [queue for queue in queues if queue.tier == tier]
        earliest_s = min(queue.earliest_deadline_s for queue in same_tier)
        if tier == floor and earliest_s - now_s > slack_s:
            return None
        return self._select_in_tier(same_tier, now_s)

    def pop(self, request_id: str, now_s: float) -> Request | None:
        """Start a request: remove it from the queue and charge its organisation."""
        request = self._waiting_by_id.pop(request_id, None)
        if request is None:
            return None
        queue = self._class_queues_by_pool[request.pool][request.class_name]
        charged = queue.start(request)
        self._running_by_id[request_id] = (request, charged)
        self._count_running(request, 1)
        self._start_rate_by_pool.setdefault(request.pool, StartRate()).record(now_s)
        return request

    def finish(self, request_id: str, now_s: float, tokens: int | None = None) -> None:
        """End a started request; `tokens`, the number generated, corrects the charge for it."""
        started = self._running_by_id.pop(request_id, None)
        if started is None:
            return
        request, charged = started
        self._count_running(request, -1)
        queue = self._class_queues_by_pool.get(request.pool, {}).get(request.class_name)
        if queue is not None and tokens is not None:
            queue.correct_charge(request, request_cost(request, tokens), charged)

    def pop_expired(self, now_s: float) -> list[Request]:
        """Remove and return the requests whose give-up time has passed."""
        expired: list[Request] = []
        while self._give_up_heap and self._give_up_heap[0][0] <= now_s:
            give_up_s, request_id = heapq.heappop(self._give_up_heap)
            waiting = self._waiting_by_id.get(request_id)
            if waiting is not None and waiting.give_up_s == give_up_s:
                self.remove(request_id)
                expired.append(waiting)
        return expired

    def demand(self, pool: str, now_s: float) -> tuple[ClassDemand, ...]:
        """Return the demand of each class with requests in a pool, the highest tier first."""
        queues = self._class_queues_by_pool.get(pool, {}).values()
        demands = [self._class_demand(pool, queue, now_s) for queue in queues]
        return tuple(sorted(item for item in demands if item.waiting or item.running))

    def count_ahead(self, request: Request) -> int:
        """Estimate how many waiting requests would start before a new `request`."""
        queues = self._class_queues_by_pool.get(request.pool, {}).values()
        higher = sum(len(queue) for queue in queues if queue.tier < request.tier)
        same_tier = [queue for queue in queues if queue.tier == request.tier]
        return higher + sum(queue.count_ahead(request) for queue in same_tier)

    def apply_table(self, table: Table) -> None:
        """Apply the tiers and weights of a new table to all waiting requests."""
        self._table = table
        waiting = list(self._waiting_by_id.values())
        self._class_queues_by_pool.clear()
        self._waiting_by_id.clear()
        self._give_up_heap.clear()
        for request in waiting:
            row = table.classes_by_name.get(request.class_name)
            self._add(request if row is None else request._replace(tier=row.tier))
        for request, _ in self._running_by_id.values():
            self._class_queue(request)

    def _class_queues(self) -> Iterator[ClassQueue]:
        for queues in self._class_queues_by_pool.values():
            yield from queues.values()

    def _class_queue(self, request: Request) -> ClassQueue:
        queues = self._class_queues_by_pool.setdefault(request.pool, {})
        queue = queues.get(request.class_name)
        if queue is None:
            queue = ClassQueue(request.class_name, request.tier, self._table)
            queues[request.class_name] = queue
        return queue

    def _add(self, request: Request) -> None:
        queue = self._class_queue(request)
        if not queue:
            others = self._class_queues_by_pool[request.pool].values()
            served = [other.served for other in others if other and other.tier == queue.tier]
            queue.served = max(queue.served, min(served, default=0.0))
        self._waiting_by_id[request.request_id] = request
        queue.add(request)
        heapq.heappush(self._give_up_heap, (request.give_up_s, request.request_id))

    def _has_reserved_slot(
        self, queue: ClassQueue, pool: str, reserved: Mapping[str, int] | None
    ) -> bool:
        reserved_slots = (reserved or {}).get(queue.class_name, 0)
        return self._running_by_class.get((pool, queue.class_name), 0) < reserved_slots

    def _select_in_tier(self, queues: list[ClassQueue], now_s: float) -> Request:
        least = min(queue.served for queue in queues)
        eligible = [
            queue for queue in queues if queue.served <= least + queue.max_lead / queue.weight
        ]
        return min(
            (queue.select(now_s) for queue in eligible),
            key=lambda request: request.deadline_s,
        )

    def _shed_candidate(self) -> Request:
        queues = [queue for queue in self._class_queues() if queue]
        tier = max(queue.tier for queue in queues)
        lowest_tier = [queue for queue in queues if queue.tier == tier]
        return max(lowest_tier, key=lambda queue: len(queue) / queue.weight).shed_candidate()

    def _count_running(self, request: Request, change: int) -> None:
        key = (request.pool, request.class_name)
        self._running_by_class[key] = self._running_by_class.get(key, 0) + change

    def _class_demand(self, pool: str, queue: ClassQueue, now_s: float) -> ClassDemand:
        running = self._running_by_class.get((pool, queue.class_name), 0)
        if not queue:
            return ClassDemand(queue.tier, queue.class_name, 0, 0.0, 0.0, running, 0)
        oldest_s = now_s - queue.oldest_arrival_s
        slack_s = queue.earliest_deadline_s - now_s
        return ClassDemand(
            queue.tier,
            queue.class_name,
            len(queue),
            oldest_s,
            slack_s,
            running,
            queue.organisations,
        )

    def starts_per_s(self, now_s: float, pool: str = "") -> float:
        """Recent rate of starts a second, for one pool or for all."""
        pools = [pool] if pool else list(self._start_rate_by_pool)
        rates = [
            self._start_rate_by_pool[name] for name in pools if name in self._start_rate_by_pool
        ]
        return sum(rate.per_s(now_s) for rate in rates)

    def _retry_after_s(self, now_s: float) -> float:
        rate = self.starts_per_s(now_s)
        wait_s = len(self) / rate if rate > 0 else MAX_RETRY_S
        return min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))


class StartRate:
    """Exponentially decayed rate of request starts."""

    def __init__(self) -> None:
        self._count = 0.0
        self._updated_s = 0.0

    def record(self, now_s: float) -> None:
        """Count a start."""
        self._decay(now_s)
        self._count += 1.0

    def per_s(self, now_s: float) -> float:
        """Return the rate in starts a second."""
        self._decay(now_s)
        return self._count / RATE_WINDOW_S

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._count *= math.exp(-elapsed_s / RATE_WINDOW_S)
        self._updated_s = now_s


__all__ = ["LOWEST_TIER", "Queue", "Shed"]
