"""Replays load patterns against decisions on the number of servers, on a simulated clock.

A request goes to the server of all data centres that can begin it first, one that holds its
prompt if none is much earlier. The same pattern, arm and seed give the same figures.
"""

from __future__ import annotations

import heapq
from collections import Counter
from random import Random
from typing import TYPE_CHECKING, NamedTuple, Protocol

from redwingbank.duties.capacity import READY_S, PoolState, count_servers
from redwingbank.duties.demand import LoadSample
from redwingbank.duties.values import DutyAnswer
from redwingbank_bench.replay_capacity_load import (
    CLASSES,
    DATA_CENTRES,
    SCALING,
    SLOTS,
    START_SERVERS,
    TRAFFIC_S,
    draw_requests,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from redwingbank.duties.order_book import Subject
    from redwingbank.duties.server_plan import Counts
    from redwingbank_bench.replay_capacity_load import CapacityPattern, Request

# From the engines' data sheet; a step takes longer the more streams run.
READ_TOKENS_PER_S = 49_600.0
STEP_S = 0.00518
STEP_PER_STREAM_S = 0.00015
# A server without the prompt is chosen only if it begins this much earlier.
CACHE_ADVANTAGE_S = 0.15
# Callers leave if their request has not begun after this many times the target.
PATIENCE = 4.0
# Reclaimed servers leave this long after they began to drain.
NOTICE_S = 2.5
LATE_ORDER_S = (2.0, 12.0)
# A holder is there this long after the hosts started.
FIRST_TICK_S = 2.0
SETTLE_S = 3.0


class Arm(Protocol):
    """A decision on the number of servers."""

    def orders(self, state: PoolState, now_s: float) -> Mapping[Subject, int]:
        """Return the orders to send now."""

    def record(self, subject: Subject, desired: int, answer: DutyAnswer, now_s: float) -> None:
        """Learn the answer to an order."""


class CapacityFigures(NamedTuple):
    """Results: shares of requests, and what servers cost against those at the start.

    `worst_seconds` is the share served in time in the two worst spans of two seconds.
    """

    in_time: float
    served: float
    worst_seconds: float
    price: float
    most_servers: int
    orders: int


class _Server:
    def __init__(self, data_centre: str, *, spot: bool, ready_s: float) -> None:
        self.data_centre = data_centre
        self.spot = spot
        self.ready_s = ready_s
        self.slot_free_s = [ready_s] * SLOTS
        self.read_free_s = ready_s
        self.subjects: set[str] = set()
        self.draining = False
        self.leaves_s: float | None = None
        self.open: list[_Served] = []


class _Served:
    def __init__(self, request: Request, first_s: float, end_s: float) -> None:
        self.request = request
        self.first_s = first_s
        self.end_s = end_s
        self.in_time = first_s - request.at_s <= request.kind.target_s
        self.lost = False


class CapacityReplay:
    """The simulation of a pattern with an arm."""

    def __init__(self, pattern: CapacityPattern, seed: int, arm: Arm) -> None:
        self._pattern = pattern
        self._random = Random(f"orders-{seed}")
        self._arm = arm
        self._servers = [
            _Server(data_centre, spot=False, ready_s=0.0)
            for data_centre in DATA_CENTRES
            for _ in range(START_SERVERS)
        ]
        self._late: list[tuple[float, Subject, int]] = []
        self._outcomes: list[tuple[float, bool, bool]] = []
        self._served: list[_Served] = []
        self._unread = 0
        self._traffic = False
        self._orders = 0
        self._most = 0
        self._price_s = self._first_price_s = 0.0
        self._ended = set[int]()
        # counts by data centre and kind after each tick
        self.history: list[tuple[float, dict[str, Counts], PoolState]] = []

    def run(self, seed: int) -> CapacityFigures:
        """Run until the last request has ended."""
        requests = draw_requests(self._pattern, seed)
        tick_s = FIRST_TICK_S
        position = 0
        while tick_s < TRAFFIC_S + self._pattern.seconds + SETTLE_S:
            while position < len(requests) and requests[position].at_s < tick_s:
                request = requests[position]
                self._advance(request.at_s)
                self._serve(request)
                position += 1
            self._advance(tick_s)
            self._tick(tick_s)
            tick_s += 1.0
        return self._figures()

    def _advance(self, now_s: float) -> None:
        """Apply the pattern's events and late orders, and drop servers that have left."""
        for number, event in enumerate(self._pattern.events):
            if event.at_s + TRAFFIC_S <= now_s and number not in self._ended:
                self._ended.add(number)
                chosen = [
                    server
                    for server in self._servers
                    if server.data_centre in event.data_centres
                    and (server.spot or not event.spot_only)
                    and self._random.random() < event.share
                ]
                for server in chosen:
                    server.draining = True
                    server.leaves_s = now_s + (NOTICE_S if event.spot_only else 0.0)
        while self._late and self._late[0][0] <= now_s:
            _, subject, desired = heapq.heappop(self._late)
            self._set(subject, desired, now_s)
        for server in [one for one in self._servers if one.leaves_s is not None]:
            server.open = [served for served in server.open if served.end_s > now_s]
            assert server.leaves_s is not None
            if server.leaves_s <= now_s:
                for served in server.open:
                    served.lost = True
                self._servers.remove(server)

    def _serve(self, request: Request) -> None:
        self._traffic = True
        now_s = request.at_s
        usable = [one for one in self._servers if not one.draining and one.ready_s <= now_s]
        if not usable:
            self._outcomes.append((now_s, False, False))
            return
        server = min(usable, key=lambda one: self._begin_s(one, request))
        slot_s = heapq.heappop(server.slot_free_s)
        unread = self._unread_tokens(server, request)
        first_s = max(now_s, slot_s, server.read_free_s) + unread / READ_TOKENS_PER_S
        if first_s - now_s > PATIENCE * request.kind.target_s:
            heapq.heappush(server.slot_free_s, slot_s)
            self._outcomes.append((now_s, False, False))
            return
        self._unread += unread
        server.subjects.add(request.subject)
        server.read_free_s = first_s
        server.open = [one for one in server.open if one.end_s > now_s]
        # other prompts are read between the tokens of an answer
        reading = min(0.8, self._read_share(server, now_s))
        step_s = (STEP_S + STEP_PER_STREAM_S * len(server.open)) / (1 - reading)
        end_s = first_s + request.answer_tokens * step_s
        heapq.heappush(server.slot_free_s, end_s)
        served = _Served(request, first_s, end_s)
        server.open.append(served)
        self._served.append(served)

    def _read_share(self, server: _Server, now_s: float) -> float:
        """Share of a server's time spent reading, by what waits and what runs."""
        waiting_s = max(0.0, server.read_free_s - now_s)
        return waiting_s / (waiting_s + 0.5)

    def _begin_s(self, server: _Server, request: Request) -> float:
        begin_s = max(request.at_s, server.slot_free_s[0], server.read_free_s)
        missing = request.subject not in server.subjects
        return begin_s + CACHE_ADVANTAGE_S * missing + 0.01 * len(server.open)

    def _unread_tokens(self, server: _Server, request: Request) -> int:
        kind = request.kind
        return kind.own_tokens + kind.shared_tokens * (request.subject not in server.subjects)

    def _tick(self, now_s: float) -> None:
        state = self._observe(now_s)
        refused = True
        while refused:
            refused = False
            for subject, desired in self._arm.orders(state, now_s).items():
                self._orders += 1
                answer = self._answer(subject, desired, now_s)
                refused |= answer is DutyAnswer.REFUSED
                self._arm.record(subject, desired, answer, now_s)
        self._add_price()
        self.history.append((now_s, self._counts(), state))

    def _observe(self, now_s: float) -> PoolState:
        listed = [one for one in self._servers if not one.draining and one.ready_s <= now_s]
        classes: Counter[float] = Counter()
        in_flight: Counter[str] = Counter()
        for server in self._servers:
            server.open = [one for one in server.open if one.end_s > now_s]
            in_flight[server.data_centre] += len(server.open)
            classes.update(one.request.kind.target_s for one in server.open)
        unread, self._unread = self._unread, 0
        return PoolState(
            listed=count_servers((one.data_centre, one.spot) for one in listed),
            ready=count_servers(
                (one.data_centre, one.spot) for one in listed if one.ready_s + READY_S <= now_s
            ),
            draining_spot=Counter(
                one.data_centre for one in self._servers if one.draining and one.spot
            ),
            in_flight=in_flight,
            load=LoadSample(
                slots=SLOTS,
                in_flight_by_class=classes,
                read_s=unread / READ_TOKENS_PER_S,
                waiting_s=sum(max(0.0, one.read_free_s - now_s) for one in listed),
            ),
            traffic=self._traffic,
        )

    def _answer(self, subject: Subject, desired: int, now_s: float) -> DutyAnswer:
        """Carry an order out, at once or later, or refuse it."""
        pattern = self._pattern
        more = desired > len(self._of(subject))
        dry = pattern.dry_from_s <= now_s - TRAFFIC_S < pattern.dry_to_s
        if more and subject.spot and dry:
            return DutyAnswer.REFUSED
        if self._random.random() < pattern.refused:
            return DutyAnswer.BUSY
        if self._random.random() < pattern.late:
            at_s = now_s + self._random.uniform(*LATE_ORDER_S)
            heapq.heappush(self._late, (at_s, subject, desired))
            return DutyAnswer.UNKNOWN
        self._set(subject, desired, now_s)
        return DutyAnswer.ACCEPTED

    def _of(self, subject: Subject) -> list[_Server]:
        return [
            one
            for one in self._servers
            if (one.data_centre, one.spot) == subject and not one.draining
        ]

    def _set(self, subject: Subject, desired: int, now_s: float) -> None:
        servers = self._of(subject)
        for _ in range(desired - len(servers)):
            # some servers never come
            if self._random.random() >= self._pattern.never:
                ready_s = now_s + SCALING.boot_s
                new = _Server(subject.data_centre, spot=subject.spot, ready_s=ready_s)
                self._servers.append(new)
        for server in servers[: max(0, len(servers) - desired)]:
            server.draining = True
            server.leaves_s = max([now_s, *(one.end_s for one in server.open)])

    def _counts(self) -> dict[str, Counts]:
        return count_servers((one.data_centre, one.spot) for one in self._servers)

    def _add_price(self) -> None:
        self._most = max(self._most, len(self._servers))
        for server in self._servers:
            share = SCALING.spot_price if server.spot else 1.0
            self._price_s += share * SCALING.prices_by_data_centre[server.data_centre]
        self._first_price_s += START_SERVERS * sum(SCALING.prices_by_data_centre.values())

    def _figures(self) -> CapacityFigures:
        rows = self._outcomes + [
            (one.request.at_s, one.in_time and not one.lost, not one.lost) for one in self._served
        ]
        spans: dict[int, list[bool]] = {}
        for at_s, in_time, _ in rows:
            spans.setdefault(int(at_s // 2), []).append(in_time)
        worst = sorted(sum(span) / len(span) for span in spans.values())[:2]
        return CapacityFigures(
            in_time=sum(row[1] for row in rows) / len(rows),
            served=sum(row[2] for row in rows) / len(rows),
            worst_seconds=sum(worst) / len(worst),
            price=self._price_s / self._first_price_s,
            most_servers=self._most,
            orders=self._orders,
        )


__all__ = ["CLASSES", "Arm", "CapacityFigures", "CapacityReplay"]
