"""A host's waiting requests: strict tiers, then fair shares, then deadlines."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.codes import Code
from redwingbank.messages import NO_SLACK_LIMIT_S, ClassDemand
from redwingbank.rules.line import Line, request_cost

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from redwingbank.model import Request
    from redwingbank.rules.table import Table

LOWEST_TIER = 255
SHORTEST_RETRY_S = 1.0
LONGEST_RETRY_S = 60.0
RATE_WINDOW_S = 10.0


class Shed(NamedTuple):
    """A request given up on, with its answer."""

    request: Request
    code: Code
    retry_after_s: float


class Queue:
    """Requests that wait on one host, of all pools.

    `best` looks at tiers strictly: a request starts only when no higher tier waits for the same
    pool. Inside a tier, classes and then organisations share by weight and by tokens served;
    among those not ahead of their share the earliest deadline goes first. A class named in
    `turns` may start one above tier order while fewer than that many of it are in flight.

    Over `limit` the lowest tier waiting is shed, of the organisation with the most waiting for
    its weight, the latest deadline first. A class's requests in flight are counted from `pop`
    to `finish`.
    """

    def __init__(self, table: Table, limit: int) -> None:
        self._table = table
        self._limit = limit
        self._lines_by_pool: dict[str, dict[str, Line]] = {}
        self._waiting_by_id: dict[str, Request] = {}
        self._running_by_id: dict[str, tuple[Request, float]] = {}
        self._running_by_line: dict[tuple[str, str], int] = {}
        self._give_up: list[tuple[float, str]] = []
        self._starts_by_pool: dict[str, Starts] = {}

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    @property
    def waiting(self) -> tuple[Request, ...]:
        """The requests waiting, in no order."""
        return tuple(self._waiting_by_id.values())

    @property
    def waiting_by_class(self) -> dict[str, int]:
        """Number of requests waiting by class, over all pools."""
        counts: dict[str, int] = {}
        for line in self._lines():
            counts[line.class_name] = counts.get(line.class_name, 0) + len(line)
        return counts

    def push(self, request: Request, now_s: float) -> list[Shed]:
        """Add a request; return what was shed to keep within the limit, maybe itself."""
        self.remove(request.request_id)
        self.finish(request.request_id, now_s)
        self._add(request)
        shed: list[Shed] = []
        while len(self) > self._limit:
            victim = self._victim()
            self.remove(victim.request_id)
            shed.append(Shed(victim, Code.SHED, self._retry_after_s(now_s)))
        return shed

    def remove(self, request_id: str) -> Request | None:
        """Take a request out without starting it."""
        request = self._waiting_by_id.pop(request_id, None)
        if request is not None:
            self._lines_by_pool[request.pool][request.class_name].remove(request)
        return request

    def select(
        self,
        pool: str,
        now_s: float,
        floor: int = LOWEST_TIER,
        reserved: Mapping[str, int] | None = None,
        slack_s: float = NO_SLACK_LIMIT_S,
    ) -> Request | None:
        """Choose what starts next in a pool, or nothing; it stays until `pop`.

        Tiers below `floor`, and its tier while the earliest deadline here is more than
        `slack_s` off, start only when their class is owed a turn.
        """
        lines = [line for line in self._lines_by_pool.get(pool, {}).values() if line]
        if not lines:
            return None
        owed = [line for line in lines if self._owed(line, pool, reserved)]
        if owed:
            return min(owed, key=lambda line: line.oldest_s).best(now_s)
        tier = min(line.tier for line in lines)
        if tier > floor:
            return None
        peers = [line for line in lines if line.tier == tier]
        earliest_s = min(line.earliest_s for line in peers)
        if tier == floor and earliest_s - now_s > slack_s:
            return None
        return self._best_of_tier(peers, now_s)

    def pop(self, request_id: str, now_s: float) -> Request | None:
        """Start a request: it leaves the queue and its organisation is charged for it."""
        request = self._waiting_by_id.pop(request_id, None)
        if request is None:
            return None
        line = self._lines_by_pool[request.pool][request.class_name]
        charged = line.start(request)
        self._running_by_id[request_id] = (request, charged)
        self._count_running(request, 1)
        self._starts_by_pool.setdefault(request.pool, Starts()).add(now_s)
        return request

    def finish(self, request_id: str, now_s: float, tokens: int | None = None) -> None:
        """End a started request; `tokens` generated correct what its organisation was charged."""
        started = self._running_by_id.pop(request_id, None)
        if started is None:
            return
        request, charged = started
        self._count_running(request, -1)
        line = self._lines_by_pool.get(request.pool, {}).get(request.class_name)
        if line is not None and tokens is not None:
            line.settle(request, request_cost(request, tokens), charged)

    def pop_expired(self, now_s: float) -> list[Request]:
        """Take out and return the requests whose give-up time has passed."""
        gone: list[Request] = []
        while self._give_up and self._give_up[0][0] <= now_s:
            give_up_s, request_id = heapq.heappop(self._give_up)
            waiting = self._waiting_by_id.get(request_id)
            if waiting is not None and waiting.give_up_s == give_up_s:
                self.remove(request_id)
                gone.append(waiting)
        return gone

    def demand(self, pool: str, now_s: float) -> tuple[ClassDemand, ...]:
        """Sum up a pool's classes with requests waiting or running, the highest tier first."""
        lines = self._lines_by_pool.get(pool, {}).values()
        demands = [self._class_demand(pool, line, now_s) for line in lines]
        return tuple(sorted(item for item in demands if item.waiting or item.running))

    def count_ahead(self, request: Request) -> int:
        """Count the requests that would start before a new one like `request`."""
        lines = self._lines_by_pool.get(request.pool, {}).values()
        higher = sum(len(line) for line in lines if line.tier < request.tier)
        peers = [line for line in lines if line.tier == request.tier]
        return higher + sum(line.ahead(request) for line in peers)

    def apply_table(self, table: Table) -> None:
        """Bring a new table's tiers and weights into force for all that wait."""
        self._table = table
        waiting = list(self._waiting_by_id.values())
        self._lines_by_pool.clear()
        self._waiting_by_id.clear()
        self._give_up.clear()
        for request in waiting:
            row = table.classes_by_name.get(request.class_name)
            self._add(request if row is None else request._replace(tier=row.tier))
        for request, _ in self._running_by_id.values():
            self._line(request)

    def _lines(self) -> Iterator[Line]:
        for lines in self._lines_by_pool.values():
            yield from lines.values()

    def _line(self, request: Request) -> Line:
        lines = self._lines_by_pool.setdefault(request.pool, {})
        line = lines.get(request.class_name)
        if line is None:
            line = Line(request.class_name, request.tier, self._table)
            lines[request.class_name] = line
        return line

    def _add(self, request: Request) -> None:
        line = self._line(request)
        if not line:
            peers = self._lines_by_pool[request.pool].values()
            served = [peer.served for peer in peers if peer and peer.tier == line.tier]
            line.served = max(line.served, min(served, default=0.0))
        self._waiting_by_id[request.request_id] = request
        line.add(request)
        heapq.heappush(self._give_up, (request.give_up_s, request.request_id))

    def _owed(self, line: Line, pool: str, turns: Mapping[str, int] | None) -> bool:
        most = (turns or {}).get(line.class_name, 0)
        return self._running_by_line.get((pool, line.class_name), 0) < most

    def _best_of_tier(self, lines: list[Line], now_s: float) -> Request:
        least = min(line.served for line in lines)
        eligible = [line for line in lines if line.served <= least + line.lead / line.weight]
        return min((line.best(now_s) for line in eligible), key=lambda request: request.deadline_s)

    def _victim(self) -> Request:
        lines = [line for line in self._lines() if line]
        tier = max(line.tier for line in lines)
        lowest = [line for line in lines if line.tier == tier]
        return max(lowest, key=lambda line: len(line) / line.weight).victim()

    def _count_running(self, request: Request, change: int) -> None:
        key = (request.pool, request.class_name)
        self._running_by_line[key] = self._running_by_line.get(key, 0) + change

    def _class_demand(self, pool: str, line: Line, now_s: float) -> ClassDemand:
        running = self._running_by_line.get((pool, line.class_name), 0)
        if not line:
            return ClassDemand(line.tier, line.class_name, 0, 0.0, 0.0, running, 0)
        oldest_s = now_s - line.oldest_s
        slack_s = line.earliest_s - now_s
        return ClassDemand(
            line.tier, line.class_name, len(line), oldest_s, slack_s, running, line.organisations
        )

    def starts_per_s(self, now_s: float, pool: str = "") -> float:
        """Requests of a pool, or of all, started a second of late."""
        pools = [pool] if pool else list(self._starts_by_pool)
        starts = [self._starts_by_pool[name] for name in pools if name in self._starts_by_pool]
        return sum(item.per_s(now_s) for item in starts)

    def _retry_after_s(self, now_s: float) -> float:
        rate = self.starts_per_s(now_s)
        wait_s = len(self) / rate if rate > 0 else LONGEST_RETRY_S
        return min(LONGEST_RETRY_S, max(SHORTEST_RETRY_S, wait_s))


class Starts:
    """Rate of starts, weighing the last seconds."""

    def __init__(self) -> None:
        self._count = 0.0
        self._at_s = 0.0

    def add(self, now_s: float) -> None:
        """Count a start."""
        self._decay(now_s)
        self._count += 1.0

    def per_s(self, now_s: float) -> float:
        """Starts a second."""
        self._decay(now_s)
        return self._count / RATE_WINDOW_S

    def _decay(self, now_s: float) -> None:
        passed_s = max(0.0, now_s - self._at_s)
        self._count *= math.exp(-passed_s / RATE_WINDOW_S)
        self._at_s = now_s


__all__ = ["LOWEST_TIER", "Queue", "Shed"]
