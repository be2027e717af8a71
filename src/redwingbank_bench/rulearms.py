"""Strategies for sharing engines among hosts, one class each, for comparison."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from redwingbank.rules.allocator import Allocator
from redwingbank.rules.holdings import Holdings
from redwingbank.rules.queue import Queue
from redwingbank_bench.rulefleet import POOL

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank.messages import Allocation, Demand
    from redwingbank_bench.rulefleet import Job, World

QUEUE_LIMIT = 2000
POLL_S = 0.02
DEMAND_INTERVAL_S = 0.1
TTL_S = 2.0
TICK_DELAY_S = 0.01
REPORT_INTERVAL_S = 0.5
MICROSECONDS = 1_000_000
REQUEST_BYTES = 60
GRANT_BYTES = 40


class Arm:
    """Base class of a strategy; `shed` lists the dropped requests with the reason."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.jobs_by_id: dict[str, Job] = {}
        self.shed: list[tuple[Job, str]] = []
        self.starts: list[Job] = []

    def arrive(self, host: str, job: Job) -> None:
        """Accept a request at a host."""
        raise NotImplementedError

    def waiting(self) -> list[Job]:
        """Return the requests that still wait."""
        return []

    def _drop(self, request_id: str, reason: str) -> None:
        self.shed.append((self.jobs_by_id[request_id], reason))


class RandomArm(Arm):
    """Sends each request at once to a random engine, where it waits."""

    def arrive(self, host: str, job: Job) -> None:
        """Send the request to a random engine."""
        name = self.world.random.choice(sorted(self.world.engines_by_name))
        self.world.engines_by_name[name].submit(job, lambda: None)

    def waiting(self) -> list[Job]:
        """Return the backlogs of the engines."""
        return [job for e in self.world.engines_by_name.values() for job, _ in e.backlog]


class FirstComeArm(RandomArm):
    """Sends each request at once to the least loaded engine, in order of arrival."""

    def arrive(self, host: str, job: Job) -> None:
        """Send to the least loaded engine; the load is exact, which favours this arm."""
        engines = sorted(self.world.engines_by_name.values(), key=lambda engine: engine.name)
        best = min(engines, key=lambda e: (e.running + len(e.backlog)) / (e.slots * e.speed))
        best.submit(job, lambda: None)


class QueueArm(Arm):
    """Base class of the strategies in which each host queues requests by tier."""

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self.queues_by_host = {host: Queue(world.table, QUEUE_LIMIT) for host in world.hosts}
        for host in world.hosts:
            world.clock.schedule(0.0, partial(self._poll, host))

    def arrive(self, host: str, job: Job) -> None:
        """Queue the request."""
        now_s = self.world.clock.now_s
        self.jobs_by_id[job.request.request_id] = job
        for shed in self.queues_by_host[host].push(job.request, now_s):
            self._drop(shed.request.request_id, "shed")
        self.start_requests(host)

    def start_requests(self, host: str) -> None:
        """Start the requests of a host that can start now."""
        raise NotImplementedError

    def waiting(self) -> list[Job]:
        """Return the requests in the hosts' queues."""
        jobs: list[Job] = []
        for queue in self.queues_by_host.values():
            jobs += [self.jobs_by_id[request.request_id] for request in queue.waiting]
        return jobs

    def _poll(self, host: str) -> None:
        for request in self.queues_by_host[host].pop_expired(self.world.clock.now_s):
            self._drop(request.request_id, "expired")
        self.start_requests(host)
        self.world.clock.schedule(POLL_S, lambda: self._poll(host))

    def _start_job(
        self, host: str, request_id: str, server: str, done: Callable[[], None]
    ) -> None:
        queue = self.queues_by_host[host]
        queue.pop(request_id, self.world.clock.now_s)
        job = self.jobs_by_id[request_id]
        self.starts.append(job)

        def end() -> None:
            queue.finish(request_id, self.world.clock.now_s, job.answer_tokens)
            done()

        self.world.engines_by_name[server].submit(job, end)


class AllocationArm(QueueArm):
    """The router's own strategy: one host allocates slots to all hosts, with an expiry."""

    allocator_type = Allocator
    holdings_type = Holdings

    def __init__(self, world: World) -> None:
        self.allocator_host = world.hosts[0]
        self.allocator: Allocator | None = None
        self.second_allocator: Allocator | None = None
        self.second_owner_by_host: dict[str, str] = {}
        self.demand_number = 0
        self.paused = False
        self.tick_scheduled = False
        self.holdings_by_host: dict[str, Holdings] = {}
        for rank, host in enumerate(world.hosts):
            holdings = self.holdings_type(POOL, len(world.hosts))
            holdings.set_static_share(world.capacity, len(world.hosts), rank)
            holdings.apply_table(world.table)
            self.holdings_by_host[host] = holdings
        super().__init__(world)
        self.start_allocator(world.hosts[0])
        self._tick_periodically()

    def start_allocator(self, host: str) -> None:
        """Start a new allocator without state on a host."""
        self.allocator_host = host
        self.allocator = self.new_allocator()

    def new_allocator(self) -> Allocator:
        """Create an allocator that has the engines and the table, but no host's demand."""
        first_number = round(self.world.clock.now_s * MICROSECONDS)
        allocator = self.allocator_type(POOL, TTL_S, first_number)
        allocator.set_capacity(self.world.capacity, self.world.clock.now_s)
        allocator.set_hosts(self.world.hosts)
        allocator.apply_table(self.world.table)
        return allocator

    def owner_seen_by(self, host: str) -> str:
        """Return the owner in a host's view; `second_owner_by_host` simulates a split view."""
        return self.second_owner_by_host.get(host, self.allocator_host)

    def start_requests(self, host: str) -> None:
        """Start requests by tier on the held slots, then send the demand if it is due."""
        now_s = self.world.clock.now_s
        holdings, queue = self.holdings_by_host[host], self.queues_by_host[host]
        while free := holdings.free(now_s):
            request = queue.select(
                POOL,
                now_s,
                holdings.floor(now_s),
                holdings.reserved(now_s),
                holdings.slack_s(now_s),
            )
            if request is None:
                break
            server = max(sorted(free), key=lambda name: free[name])
            holdings.acquire(server)
            self._start_job(host, request.request_id, server, partial(self._end, host, server))
        classes = queue.demand(POOL, now_s)
        if holdings.demand_due(classes, now_s, DEMAND_INTERVAL_S):
            self.demand_number += 1
            owner = self.owner_seen_by(host)
            demand = holdings.demand(classes, self.demand_number, now_s, owner)
            self.world.send(host, owner, demand, partial(self._observe, owner, host, demand))

    def _end(self, host: str, server: str) -> None:
        self.holdings_by_host[host].release(server)
        self.start_requests(host)

    def _allocators(self) -> dict[str, Allocator]:
        allocators = {self.allocator_host: self.allocator}
        allocators |= dict.fromkeys(self.second_owner_by_host.values(), self.second_allocator)
        return {host: allocator for host, allocator in allocators.items() if allocator is not None}

    def _observe(self, owner: str, host: str, demand: Demand) -> None:
        allocator = self._allocators().get(owner)
        if allocator is None or self.paused:
            return
        allocator.observe(host, demand, self.world.clock.now_s)
        if not self.tick_scheduled:
            self.tick_scheduled = True
            self.world.clock.schedule(TICK_DELAY_S, self._tick)

    def _tick_periodically(self) -> None:
        self._tick()
        self.world.clock.schedule(DEMAND_INTERVAL_S, self._tick_periodically)

    def _tick(self) -> None:
        self.tick_scheduled = False
        if self.paused:
            return
        for owner, allocator in self._allocators().items():
            for host, allocation in allocator.allocate(self.world.clock.now_s).items():
                deliver = partial(self._apply, owner, host, allocation)
                self.world.send(owner, host, allocation, deliver)

    def _apply(self, owner: str, host: str, allocation: Allocation) -> None:
        self.holdings_by_host[host].apply(allocation, self.world.clock.now_s, owner)
        self.start_requests(host)


class LocalArm(QueueArm):
    """Lets each host decide alone, with a queue by tier and periodic load reports."""

    def __init__(self, world: World) -> None:
        self.estimated_load_by_host = {
            host: dict.fromkeys(world.capacity, 0) for host in world.hosts
        }
        super().__init__(world)
        self._report()

    def start_requests(self, host: str) -> None:
        """Send to the engine with the most free slots by estimate, while one has any."""
        estimated_load = self.estimated_load_by_host[host]
        while True:
            free = {n: slots - estimated_load[n] for n, slots in self.world.capacity.items()}
            server = max(sorted(free), key=lambda name: free[name])
            request = self.queues_by_host[host].select(POOL, self.world.clock.now_s)
            if request is None or free[server] <= 0:
                return
            estimated_load[server] += 1
            self._start_job(host, request.request_id, server, partial(self._end, host, server))

    def _end(self, host: str, server: str) -> None:
        self.estimated_load_by_host[host][server] -= 1
        self.start_requests(host)

    def _report(self) -> None:
        for estimated_load in self.estimated_load_by_host.values():
            for name, engine in self.world.engines_by_name.items():
                estimated_load[name] = engine.running + len(engine.backlog)
        self.world.clock.schedule(REPORT_INTERVAL_S, self._report)


class CentralQueueArm(Arm):
    """Queues all requests of the pool at one owner, which grants each of them.

    The order is exact, at the cost of a message for each request, grant and end. These messages
    are never lost here, which favours this arm.
    """

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self.owner = world.hosts[0]
        self.queue = Queue(world.table, QUEUE_LIMIT * len(world.hosts))
        self.free = dict(world.capacity)
        self.host_by_id: dict[str, str] = {}
        self.holdings = Holdings(POOL, 1)
        self.holdings.set_static_share(world.capacity, 1, 0)
        self.holdings.apply_table(world.table)
        self._poll()

    def arrive(self, host: str, job: Job) -> None:
        """Send the request to the owner's queue."""
        self.jobs_by_id[job.request.request_id] = job
        self.host_by_id[job.request.request_id] = host
        self.world.send(host, self.owner, REQUEST_BYTES, lambda: self._queue(job), True)

    def waiting(self) -> list[Job]:
        """Return the requests in the owner's queue."""
        return [self.jobs_by_id[request.request_id] for request in self.queue.waiting]

    def _queue(self, job: Job) -> None:
        for shed in self.queue.push(job.request, self.world.clock.now_s):
            self._drop(shed.request.request_id, "shed")
        self._grant()

    def _grant(self) -> None:
        now_s = self.world.clock.now_s
        while any(self.free.values()):
            self.holdings.demand(self.queue.demand(POOL, now_s), 0, now_s)
            request = self.queue.select(POOL, now_s, reserved=self.holdings.reserved(now_s))
            if request is None:
                return
            server = max(sorted(self.free), key=lambda name: self.free[name])
            self.free[server] -= 1
            self.queue.pop(request.request_id, now_s)
            job, host = self.jobs_by_id[request.request_id], self.host_by_id[request.request_id]
            self.world.send(self.owner, host, GRANT_BYTES, partial(self._start, job, server), True)

    def _start(self, job: Job, server: str) -> None:
        self.starts.append(job)
        host = self.host_by_id[job.request.request_id]

        def end() -> None:
            self.world.send(host, self.owner, GRANT_BYTES, lambda: self._end(job, server), True)

        self.world.engines_by_name[server].submit(job, end)

    def _end(self, job: Job, server: str) -> None:
        self.queue.finish(job.request.request_id, self.world.clock.now_s, job.answer_tokens)
        self.free[server] += 1
        self._grant()

    def _poll(self) -> None:
        for request in self.queue.pop_expired(self.world.clock.now_s):
            self._drop(request.request_id, "expired")
        self._grant()
        self.world.clock.schedule(POLL_S, self._poll)


ARMS: dict[str, Callable[[World], Arm]] = {
    "allocation": AllocationArm,
    "owner": CentralQueueArm,
    "alone": LocalArm,
    "first-come": FirstComeArm,
    "random": RandomArm,
}

__all__ = [
    "ARMS",
    "AllocationArm",
    "Arm",
    "CentralQueueArm",
    "FirstComeArm",
    "LocalArm",
    "RandomArm",
]
