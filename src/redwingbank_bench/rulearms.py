"""Ways to divide engines among hosts, for comparison: one class a way."""

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
TICK_GAP_S = 0.01
REPORT_INTERVAL_S = 0.5
MICROSECONDS = 1_000_000
REQUEST_BYTES = 60
GRANT_BYTES = 40


class Arm:
    """A way to serve; `arrive` takes a request in, `gone` tells of those given up on."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.jobs_by_id: dict[str, Job] = {}
        self.shed: list[tuple[Job, str]] = []
        self.starts: list[Job] = []

    def arrive(self, host: str, job: Job) -> None:
        """Take a request in at a host."""
        raise NotImplementedError

    def waiting(self) -> list[Job]:
        """Requests still waiting."""
        return []

    def _drop(self, request_id: str, reason: str) -> None:
        self.shed.append((self.jobs_by_id[request_id], reason))


class RandomArm(Arm):
    """Each request goes at once to a random engine and waits there."""

    def arrive(self, host: str, job: Job) -> None:
        """Send at once."""
        name = self.world.random.choice(sorted(self.world.engines_by_name))
        self.world.engines_by_name[name].submit(job, lambda: None)

    def waiting(self) -> list[Job]:
        """Backlogs of the engines."""
        return [job for e in self.world.engines_by_name.values() for job, _ in e.backlog]


class FirstComeArm(RandomArm):
    """Each request goes at once to the engine with the least work, in order of arrival."""

    def arrive(self, host: str, job: Job) -> None:
        """Send at once; the load is known exactly, which favours this arm."""
        engines = sorted(self.world.engines_by_name.values(), key=lambda engine: engine.name)
        best = min(engines, key=lambda e: (e.running + len(e.backlog)) / (e.slots * e.speed))
        best.submit(job, lambda: None)


class QueueArm(Arm):
    """Base of the ways in which hosts queue by tier."""

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
        self.work(host)

    def work(self, host: str) -> None:
        """Start what can start on a host."""
        raise NotImplementedError

    def waiting(self) -> list[Job]:
        """Requests in the queues."""
        jobs: list[Job] = []
        for queue in self.queues_by_host.values():
            jobs += [self.jobs_by_id[request.request_id] for request in queue.waiting]
        return jobs

    def _poll(self, host: str) -> None:
        for request in self.queues_by_host[host].pop_expired(self.world.clock.now_s):
            self._drop(request.request_id, "expired")
        self.work(host)
        self.world.clock.schedule(POLL_S, lambda: self._poll(host))

    def _launch(self, host: str, request_id: str, server: str, done: Callable[[], None]) -> None:
        queue = self.queues_by_host[host]
        queue.pop(request_id, self.world.clock.now_s)
        job = self.jobs_by_id[request_id]
        self.starts.append(job)

        def end() -> None:
            queue.finish(request_id, self.world.clock.now_s, job.answer_tokens)
            done()

        self.world.engines_by_name[server].submit(job, end)


class AllocationArm(QueueArm):
    """Ours: one allocator, chosen among the hosts, gives slots that lapse."""

    allocator_type = Allocator
    holdings_type = Holdings

    def __init__(self, world: World) -> None:
        self.allocator_host = world.hosts[0]
        self.allocator: Allocator | None = None
        self.second_allocator: Allocator | None = None
        self.second_owner_by_host: dict[str, str] = {}
        self.number = 0
        self.paused = False
        self.tick_planned = False
        self.holdings_by_host: dict[str, Holdings] = {}
        for rank, host in enumerate(world.hosts):
            holdings = self.holdings_type(POOL, len(world.hosts))
            holdings.set_static_share(world.capacity, len(world.hosts), rank)
            holdings.apply_table(world.table)
            self.holdings_by_host[host] = holdings
        super().__init__(world)
        self.start_allocator(world.hosts[0])
        self._tick_forever()

    def start_allocator(self, host: str) -> None:
        """Put a new allocator, which knows nothing, on a host."""
        self.allocator_host = host
        self.allocator = self.new_allocator()

    def new_allocator(self) -> Allocator:
        """Make an allocator that knows the engines and the table, but no host's demand."""
        number = round(self.world.clock.now_s * MICROSECONDS)
        allocator = self.allocator_type(POOL, TTL_S, number)
        allocator.set_capacity(self.world.capacity, self.world.clock.now_s)
        allocator.set_hosts(self.world.hosts)
        allocator.apply_table(self.world.table)
        return allocator

    def owner_of(self, host: str) -> str:
        """Name the host that a host takes for the owner; they differ while `split` says so."""
        return self.second_owner_by_host.get(host, self.allocator_host)

    def work(self, host: str) -> None:
        """Start by tier on the slots held, then tell the allocator if it is due."""
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
            self._launch(host, request.request_id, server, partial(self._end, host, server))
        classes = queue.demand(POOL, now_s)
        if holdings.demand_due(classes, now_s, DEMAND_INTERVAL_S):
            self.number += 1
            owner = self.owner_of(host)
            demand = holdings.demand(classes, self.number, now_s, owner)
            self.world.send(host, owner, demand, partial(self._observe, owner, host, demand))

    def _end(self, host: str, server: str) -> None:
        self.holdings_by_host[host].release(server)
        self.work(host)

    def _allocators(self) -> dict[str, Allocator]:
        served = {self.allocator_host: self.allocator}
        served |= dict.fromkeys(self.second_owner_by_host.values(), self.second_allocator)
        return {host: allocator for host, allocator in served.items() if allocator is not None}

    def _observe(self, owner: str, host: str, demand: Demand) -> None:
        allocator = self._allocators().get(owner)
        if allocator is None or self.paused:
            return
        allocator.observe(host, demand, self.world.clock.now_s)
        if not self.tick_planned:
            self.tick_planned = True
            self.world.clock.schedule(TICK_GAP_S, self._tick)

    def _tick_forever(self) -> None:
        self._tick()
        self.world.clock.schedule(DEMAND_INTERVAL_S, self._tick_forever)

    def _tick(self) -> None:
        self.tick_planned = False
        if self.paused:
            return
        for owner, allocator in self._allocators().items():
            for host, allocation in allocator.allocate(self.world.clock.now_s).items():
                deliver = partial(self._apply, owner, host, allocation)
                self.world.send(owner, host, allocation, deliver)

    def _apply(self, owner: str, host: str, allocation: Allocation) -> None:
        self.holdings_by_host[host].apply(allocation, self.world.clock.now_s, owner)
        self.work(host)


class AloneArm(QueueArm):
    """Each host by itself: tiers in its own queue, engines' load from reports that lag."""

    def __init__(self, world: World) -> None:
        self.believed_by_host = {host: dict.fromkeys(world.capacity, 0) for host in world.hosts}
        super().__init__(world)
        self._report()

    def work(self, host: str) -> None:
        """Send to the engine believed to have the most room, while any has."""
        believed = self.believed_by_host[host]
        while True:
            room = {n: slots - believed[n] for n, slots in self.world.capacity.items()}
            server = max(sorted(room), key=lambda name: room[name])
            request = self.queues_by_host[host].select(POOL, self.world.clock.now_s)
            if request is None or room[server] <= 0:
                return
            believed[server] += 1
            self._launch(host, request.request_id, server, partial(self._end, host, server))

    def _end(self, host: str, server: str) -> None:
        self.believed_by_host[host][server] -= 1
        self.work(host)

    def _report(self) -> None:
        for believed in self.believed_by_host.values():
            for name, engine in self.world.engines_by_name.items():
                believed[name] = engine.running + len(engine.backlog)
        self.world.clock.schedule(REPORT_INTERVAL_S, self._report)


class OwnerArm(Arm):
    """One owner queues all requests of the pool and grants each; exact, two messages a request.

    The owner's messages are never lost here, which favours this arm.
    """

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self.owner = world.hosts[0]
        self.queue = Queue(world.table, QUEUE_LIMIT * len(world.hosts))
        self.free = dict(world.capacity)
        self.host_by_id: dict[str, str] = {}
        self.turns = Holdings(POOL, 1)
        self.turns.set_static_share(world.capacity, 1, 0)
        self.turns.apply_table(world.table)
        self._poll()

    def arrive(self, host: str, job: Job) -> None:
        """Ask the owner."""
        self.jobs_by_id[job.request.request_id] = job
        self.host_by_id[job.request.request_id] = host
        self.world.send(host, self.owner, REQUEST_BYTES, lambda: self._queue(job), True)

    def waiting(self) -> list[Job]:
        """Requests in the owner's queue."""
        return [self.jobs_by_id[request.request_id] for request in self.queue.waiting]

    def _queue(self, job: Job) -> None:
        for shed in self.queue.push(job.request, self.world.clock.now_s):
            self._drop(shed.request.request_id, "shed")
        self._grant()

    def _grant(self) -> None:
        now_s = self.world.clock.now_s
        while any(self.free.values()):
            self.turns.demand(self.queue.demand(POOL, now_s), 0, now_s)
            request = self.queue.select(POOL, now_s, reserved=self.turns.reserved(now_s))
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
    "owner": OwnerArm,
    "alone": AloneArm,
    "first-come": FirstComeArm,
    "random": RandomArm,
}

__all__ = ["ARMS", "AllocationArm", "AloneArm", "Arm", "FirstComeArm", "OwnerArm", "RandomArm"]
