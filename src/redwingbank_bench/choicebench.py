"""Compares strategies for choosing a backend server in a discrete-event simulation.

Seven hosts choose independently among six unequal engines, on a simulated clock. In a scenario
all arms get the same arrivals and engines for a seed.
"""

from __future__ import annotations

import heapq
import json
import sys
import time
from collections import OrderedDict, deque
from functools import partial
from itertools import count
from random import Random
from statistics import quantiles
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.model import CacheEvent, LoadReport, Outcome, Request
from redwingbank.rules.fleet import AFFINITY_BOUND, Fleet
from redwingbank.rules.table import BackendServerRow

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

POOL = "desk-model"
HOSTS = 7
ENGINES = {
    "engine-0": (8, 1.0),
    "engine-1": (8, 1.0),
    "engine-2": (8, 1.0),
    "engine-3": (6, 0.9),
    "engine-4": (4, 0.7),
    "engine-5": (4, 0.5),
}
SEEDS = (1, 2, 3)
RUN_S = 120.0
EVENT_LAG_S = 1.0
EVENT_LOSS = 0.2
REPORT_INTERVAL_S = 0.5
PROMPT_KINDS = 60
SHARED_BLOCKS = 16
UNIQUE_BLOCKS = 4
BLOCK_TOKENS = 128
CACHE_BLOCKS = 320
PREFILL_TOKENS_PER_S = 5000.0
TOKEN_INTERVAL_S = 0.025
MEAN_TOKENS = 60.0
SLOWED_ENGINE = "engine-1"
SLOW_FROM_S = 40.0
SLOW_FACTOR = 0.15
PER_CENT = 100.0
TIMED_SERVER_COUNTS = (6, 64)
TIMED_RATE_PER_S = 130.0
MICROSECONDS = 1_000_000


class Scenario(NamedTuple):
    """The conditions of a run.

    `lag_s` is the delay of load reports (None: no reports), `slowed` slows one engine, `per_s`
    is the request rate and `events` turns cache events on.
    """

    lag_s: float | None
    slowed: bool = False
    per_s: float = 11.0
    events: bool = True


SCENARIOS = {
    "fresh": Scenario(0.1),
    "lagging": Scenario(3.0),
    "absent": Scenario(None),
    "slow": Scenario(1.0, slowed=True),
    "busy": Scenario(1.0, per_s=15.0),
    "no cache events": Scenario(1.0, events=False),
}


class RandomChoice(Fleet):
    """Chooses a random server."""

    def _least_cost(self, request: Request, names: list[str], now_s: float) -> str:
        return self._random.choice(names)


class LeastReported(Fleet):
    """Chooses the server whose last report shows the least load per slot."""

    def _least_cost(self, request: Request, names: list[str], now_s: float) -> str:
        return min(names, key=lambda name: (self._reported(name), self._random.random()))

    def _reported(self, name: str) -> float:
        report = self._server_by_name[name].report
        return (report.running + report.waiting) / report.slots if report else 0.0


class WithoutAffinity(Fleet):
    """The router's strategy without prefix affinity."""

    def _held_by_name(self, request: Request, names: list[str]) -> dict[str, int]:
        return {}


class WithoutSpeed(Fleet):
    """The router's strategy without the servers' speeds."""

    def _cost(self, name: str, now_s: float) -> float:
        return (self.load(name, now_s) + 1) / max(1, self._server_by_name[name].slots())


ARMS: dict[str, Callable[[Random], Fleet]] = {
    "random": RandomChoice,
    "least reported": LeastReported,
    "no affinity": WithoutAffinity,
    "no speed": WithoutSpeed,
    "bound 0": lambda random: Fleet(random, affinity_bound=0.0),
    "bound 0.25": lambda random: Fleet(random, affinity_bound=0.25),
    "bound 0.5": lambda random: Fleet(random, affinity_bound=0.5),
    f"ours ({AFFINITY_BOUND})": Fleet,
    "bound 2": lambda random: Fleet(random, affinity_bound=2.0),
    "no bound": lambda random: Fleet(random, affinity_bound=1000.0),
}


class Job(NamedTuple):
    """A request, the host it arrives at and the length of its answer in tokens."""

    request: Request
    host: int
    tokens: int


class Figures(NamedTuple):
    """The results of a run.

    `reread` is the percentage of prompt tokens that engines processed more often than needed,
    `slowed_share` the percentage of requests sent to the slowed engine after it slowed down.
    """

    p50_ms: float
    p99_ms: float
    reread: float
    slowed_share: float


class Engine:
    """A simulated backend server with slots, a queue and a bounded prefix cache."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.slots, self.speed = ENGINES[name]
        self.running = 0
        self.waiting: deque[Job] = deque()
        self.cached: OrderedDict[int, bool] = OrderedDict()
        self.event_number = 0

    def prefill(self, request: Request) -> tuple[int, CacheEvent]:
        """Process a prompt; return the number of uncached tokens, and the cache event."""
        held = 0
        while held < len(request.blocks) and request.blocks[held] in self.cached:
            held += 1
        stored = tuple(block for block in request.blocks if block not in self.cached)
        for block in request.blocks:
            self.cached[block] = True
            self.cached.move_to_end(block)
        excess = max(0, len(self.cached) - CACHE_BLOCKS)
        evicted = tuple(self.cached.popitem(last=False)[0] for _ in range(excess))
        self.event_number += 1
        event = CacheEvent(self.event_number, stored, evicted)
        return request.prompt_tokens - held * BLOCK_TOKENS, event


class World:
    """The simulation of a scenario with one arm."""

    def __init__(self, arm: str, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.now_s = 0.0
        self.engines = {name: Engine(name) for name in ENGINES}
        rows = [
            BackendServerRow(name, POOL, "clyde", name, slots, "serving", "")
            for name, (slots, _) in ENGINES.items()
        ]
        self.fleets = [ARMS[arm](Random(seed * HOSTS + host)) for host in range(HOSTS)]
        for fleet in self.fleets:
            fleet.set_servers(rows)
        self.first_s: list[float] = []
        self.read_tokens = 0
        self.chosen_slowed = 0
        self._loss_random = Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def schedule(self, at_s: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time."""
        heapq.heappush(self._events, (at_s, next(self._numbers), action))

    def run(self) -> None:
        """Run until no scheduled action is left."""
        while self._events:
            self.now_s, _, action = heapq.heappop(self._events)
            action()

    def arrive(self, job: Job) -> None:
        """Let the job's host choose a server and send the request."""
        fleet = self.fleets[job.host]
        free: Mapping[str, int] = dict.fromkeys(ENGINES, 1)
        server = fleet.choose(job.request, free, self.now_s)
        assert server is not None
        fleet.record_send(server, job.request, self.now_s)
        self.chosen_slowed += server == SLOWED_ENGINE and self.now_s > SLOW_FROM_S
        engine = self.engines[server]
        engine.waiting.append(job)
        self._start(engine)

    def report(self) -> None:
        """Report every engine's load; the hosts receive it after the scenario's lag."""
        if self.scenario.lag_s is None:
            return
        for engine in self.engines.values():
            waiting = len(engine.waiting)
            report = LoadReport(self.now_s, engine.slots, engine.running, waiting)
            self.schedule(
                self.now_s + self.scenario.lag_s, partial(self._deliver_report, engine, report)
            )

    def _deliver_report(self, engine: Engine, report: LoadReport) -> None:
        for fleet in self.fleets:
            fleet.record_report(engine.name, report, self.now_s)

    def _deliver_cache_event(self, engine: Engine, event: CacheEvent) -> None:
        for fleet in self.fleets:
            fleet.record_cache_event(engine.name, event)

    def _speed(self, engine: Engine) -> float:
        slowed = self.scenario.slowed and engine.name == SLOWED_ENGINE and self.now_s > SLOW_FROM_S
        return engine.speed * (SLOW_FACTOR if slowed else 1.0)

    def _start(self, engine: Engine) -> None:
        while engine.waiting and engine.running < engine.slots:
            job = engine.waiting.popleft()
            engine.running += 1
            unread, event = engine.prefill(job.request)
            if self.scenario.events and self._loss_random.random() > EVENT_LOSS:
                self.schedule(
                    self.now_s + EVENT_LAG_S, partial(self._deliver_cache_event, engine, event)
                )
            self.read_tokens += unread
            speed = self._speed(engine)
            first_s = self.now_s + unread / (PREFILL_TOKENS_PER_S * speed)
            self.schedule(first_s, partial(self._record_first_token, engine, job))
            end_s = first_s + job.tokens * TOKEN_INTERVAL_S / speed
            self.schedule(end_s, partial(self._finish, engine, job, speed))

    def _record_first_token(self, engine: Engine, job: Job) -> None:
        waited_s = self.now_s - job.request.arrived_s
        self.first_s.append(waited_s)
        self.fleets[job.host].record_first_token(engine.name, job.request, waited_s, self.now_s)

    def _finish(self, engine: Engine, job: Job, speed: float) -> None:
        engine.running -= 1
        fleet = self.fleets[job.host]
        fleet.record_finish(
            engine.name, job.request, Outcome.DONE, self.now_s, TOKEN_INTERVAL_S / speed
        )
        self._start(engine)


def draw_jobs(seed: int, per_s: float) -> list[Job]:
    """Draw the arrivals; prompts of a kind share a prefix, and a few kinds are frequent."""
    random = Random(seed)
    weights = [1 / (rank + 1) for rank in range(PROMPT_KINDS)]
    jobs: list[Job] = []
    now_s = 0.0
    while True:
        now_s += random.expovariate(per_s)
        if now_s > RUN_S:
            return jobs
        number = len(jobs)
        kind = random.choices(range(PROMPT_KINDS), weights)[0]
        shared = range(kind * SHARED_BLOCKS, (kind + 1) * SHARED_BLOCKS)
        unique = range(
            (PROMPT_KINDS + number) * SHARED_BLOCKS,
            (PROMPT_KINDS + number) * SHARED_BLOCKS + UNIQUE_BLOCKS,
        )
        blocks = (*shared, *unique)
        request = Request(
            f"r{number}",
            "carrick",
            "crew",
            1,
            POOL,
            now_s,
            now_s,
            now_s + RUN_S,
            len(blocks) * BLOCK_TOKENS,
            blocks=blocks,
        )
        jobs.append(
            Job(request, random.randrange(HOSTS), 1 + int(random.expovariate(1 / MEAN_TOKENS)))
        )


def measure(arm: str, scenario: Scenario, seed: int) -> Figures:
    """Run one arm with one seed."""
    world = World(arm, scenario, seed)
    jobs = draw_jobs(seed, scenario.per_s)
    for job in jobs:
        world.schedule(job.request.arrived_s, partial(world.arrive, job))
    for number in range(int(RUN_S / REPORT_INTERVAL_S)):
        world.schedule(number * REPORT_INTERVAL_S, world.report)
    world.run()
    prompt_tokens_total = sum(job.request.prompt_tokens for job in jobs)
    minimum = _minimum_read_tokens(jobs)
    cuts = quantiles(world.first_s, n=100)
    after = sum(job.request.arrived_s > SLOW_FROM_S for job in jobs)
    return Figures(
        p50_ms=cuts[49] * 1000,
        p99_ms=cuts[98] * 1000,
        reread=PER_CENT * (world.read_tokens - minimum) / prompt_tokens_total,
        slowed_share=PER_CENT * world.chosen_slowed / after,
    )


def _minimum_read_tokens(jobs: list[Job]) -> int:
    """Return the prompt tokens that must be processed if each block is processed once."""
    return BLOCK_TOKENS * len({block for job in jobs for block in job.request.blocks})


def cost_us(servers: int, seed: int) -> float:
    """Return the microseconds of processor time that `Fleet` takes for one request."""
    random = Random(seed)
    fleet = Fleet(random)
    names = [f"engine-{number}" for number in range(servers)]
    fleet.set_servers(
        BackendServerRow(name, POOL, "clyde", name, 8, "serving", "") for name in names
    )
    free = dict.fromkeys(names, 4)
    jobs = draw_jobs(seed, TIMED_RATE_PER_S)
    began_s = time.process_time()
    for job in jobs:
        now_s = job.request.arrived_s
        server = fleet.choose(job.request, free, now_s)
        assert server is not None
        fleet.view(server, job.request, now_s)
        fleet.record_send(server, job.request, now_s)
        fleet.record_first_token(server, job.request, TOKEN_INTERVAL_S, now_s)
        fleet.record_finish(server, job.request, Outcome.DONE, now_s, TOKEN_INTERVAL_S)
        fleet.state_changes(now_s)
    return (time.process_time() - began_s) / len(jobs) * MICROSECONDS


def main() -> int:
    """Print a table of means and ranges over the seeds, and JSON as the last line."""
    figures: dict[str, dict[str, list[list[float]]]] = {}
    for name, scenario in SCENARIOS.items():
        print(f"\n{name}: {scenario}")
        head = ("p50 ms", "p99 ms", "read again %", f"to {SLOWED_ENGINE} %")
        print(f"{'arm':16}" + "".join(f"{title:>24}" for title in head))
        for arm in ARMS:
            runs = [measure(arm, scenario, seed) for seed in SEEDS]
            columns = [[round(value, 1) for value in column] for column in zip(*runs, strict=True)]
            figures.setdefault(name, {})[arm] = columns
            cells = [f"{sum(c) / len(c):.1f} ({min(c):.1f}-{max(c):.1f})" for c in columns]
            print(f"{arm:16}" + "".join(f"{cell:>24}" for cell in cells))
    costs = {
        servers: [round(cost_us(servers, seed)) for seed in SEEDS]
        for servers in TIMED_SERVER_COUNTS
    }
    for servers, values in costs.items():
        print(f"\n{servers} servers: {values} us of processor time a request")
    print(json.dumps({"seeds": SEEDS, "figures": figures, "cost_us": costs}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
