"""Measures the processor time of the queue's and the allocator's rules per call."""

from __future__ import annotations

import json
import sys
import time
from functools import partial
from random import Random
from typing import TYPE_CHECKING, TypeVar

from redwingbank.messages import ClassDemand, Demand
from redwingbank.model import Request
from redwingbank.rules.allocator import Allocator
from redwingbank.rules.queue import Queue
from redwingbank.rules.table import ClassRow, OrganisationRow, PoolRow, Table
from redwingbank_bench.rulefleet import POOL

if TYPE_CHECKING:
    from collections.abc import Callable

TIERS = 6
ORGANISATIONS = 5100
QUEUE_LIMIT = 2000
CALLS = 3000
ROUNDS = 30
SIZES = ((7, 6, 6), (40, 64, 8))
RUNS = 3
SEED = 1
MICROSECONDS = 1e6
T = TypeVar("T")


def make_table() -> Table:
    """Build a table of six tiers and 5,100 organisations."""
    classes = {
        f"class-{tier}": ClassRow(f"class-{tier}", tier, 1000, 50, 1.0, 0.02, 0, 60.0)
        for tier in range(1, TIERS + 1)
    }
    names = [f"organisation-{index}" for index in range(ORGANISATIONS)]
    organisations = {name: OrganisationRow(name, "", "class-1", 1.0, 0, 0) for name in names}
    return Table(1, classes, organisations, {POOL: PoolRow(POOL, "engine")}, {})


class Stopwatch:
    """Measures the mean processor time of calls by name."""

    def __init__(self) -> None:
        self._spent_s: dict[str, float] = {}
        self._calls: dict[str, int] = {}

    def time(self, name: str, call: Callable[[], T]) -> T:
        """Call a function and add its time under a name."""
        begin_s = time.process_time()
        answer = call()
        self._spent_s[name] = self._spent_s.get(name, 0.0) + time.process_time() - begin_s
        self._calls[name] = self._calls.get(name, 0) + 1
        return answer

    def means_us(self) -> dict[str, float]:
        """Return the microseconds per call by name."""
        spent = self._spent_s.items()
        return {name: round(s / self._calls[name] * MICROSECONDS, 1) for name, s in spent}


def time_queue(watch: Stopwatch, random: Random) -> None:
    """Time a full queue: each push sheds a request, each pop makes room for the next push."""
    queue = Queue(make_table(), QUEUE_LIMIT)
    requests = [_request(index, random) for index in range(QUEUE_LIMIT + 2 * CALLS)]
    for request in requests[:QUEUE_LIMIT]:
        queue.push(request, request.arrived_s)
    now_s = requests[-1].arrived_s
    for request in requests[QUEUE_LIMIT : QUEUE_LIMIT + CALLS]:
        watch.time("push and shed", partial(queue.push, request, now_s))
    for request in requests[QUEUE_LIMIT + CALLS :]:
        best = watch.time("best", partial(queue.select, POOL, now_s))
        if best is not None:
            watch.time("pop", partial(queue.pop, best.request_id, now_s))
            queue.finish(best.request_id, now_s, 100)
        queue.push(request, now_s)
    for _ in range(CALLS):
        watch.time("demand", partial(queue.demand, POOL, now_s))


def _request(index: int, random: Random) -> Request:
    tier = random.randint(1, TIERS)
    at_s = index / 1000
    organisation = f"organisation-{random.randrange(ORGANISATIONS)}"
    name = f"class-{tier}"
    return Request(str(index), organisation, name, tier, POOL, at_s, at_s + 1, at_s + 60, 500)


def time_allocator(watch: Stopwatch, random: Random, hosts: int, servers: int, slots: int) -> None:
    """Time rounds in which every host's demand has changed and every slot is contended for."""
    names = [f"host-{index}" for index in range(hosts)]
    allocator = Allocator(POOL, 2.0)
    allocator.apply_table(make_table())
    allocator.set_capacity({f"engine-{index}": slots for index in range(servers)}, 0.0)
    allocator.set_hosts(names)
    slots_by_host: dict[str, dict[str, int]] = {name: {} for name in names}
    applied = dict.fromkeys(names, 0)
    size = f"at {hosts} hosts, {servers} servers"
    for turn in range(ROUNDS):
        now_s = turn / 10
        for host in names:
            demand = _demand(turn + 1, slots_by_host[host], applied[host], random)
            watch.time(f"observe {size}", partial(allocator.observe, host, demand, now_s))
        sent = watch.time(f"allocate {size}", partial(allocator.allocate, now_s))
        for host, allocation in sent.items():
            slots_by_host[host] = dict(allocation.slots)
            applied[host] = allocation.number


def _demand(number: int, slots: dict[str, int], applied: int, random: Random) -> Demand:
    classes = tuple(
        ClassDemand(
            tier,
            f"class-{tier}",
            random.randrange(20),
            random.random() * 5,
            random.random() - 0.5,
            random.randrange(3),
            3,
        )
        for tier in range(1, TIERS + 1)
    )
    running = {server: random.randint(max(0, count - 1), count) for server, count in slots.items()}
    holding = {server: count - running[server] for server, count in slots.items()}
    return Demand(POOL, number, classes, running, holding, applied=applied)


def main() -> int:
    """Time all rules in several runs; print the range of each, and JSON as the last line."""
    runs: list[dict[str, float]] = []
    for run in range(RUNS):
        watch = Stopwatch()
        time_queue(watch, Random(SEED + run))
        for hosts, servers, slots in SIZES:
            time_allocator(watch, Random(SEED + run), hosts, servers, slots)
        runs.append(watch.means_us())
    for name in runs[0]:
        values = sorted(run[name] for run in runs)
        print(f"{name:35} {values[0]:8.1f} to {values[-1]:8.1f} us")
    print(json.dumps({"rulecost_us": runs}))
    return 0


__all__ = ["main"]

if __name__ == "__main__":
    sys.exit(main())
