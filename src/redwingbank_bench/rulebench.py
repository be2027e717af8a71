"""Compares strategies for sharing engines among hosts in a discrete-event simulation.

The rules run on a simulated clock, without sockets or processes. In a scenario all arms get
the same arrivals, links and engines for a seed.
"""

from __future__ import annotations

import json
import sys
from functools import partial
from random import Random
from typing import NamedTuple

from redwingbank.model import Request
from redwingbank.rules.table import ClassRow, OrganisationRow, PoolRow, Table
from redwingbank_bench.rulearms import ARMS
from redwingbank_bench.rulefleet import POOL, Job, Link, World

ENGINES = [
    ("engine-0", 8, 1.0),
    ("engine-1", 8, 1.0),
    ("engine-2", 8, 1.0),
    ("engine-3", 6, 0.9),
    ("engine-4", 4, 0.7),
    ("engine-5", 4, 0.5),
]
HOSTS = 7
WARM_UP_S = 20.0
BURST_S = 60.0
COOL_DOWN_S = 40.0
END_S = WARM_UP_S + BURST_S + COOL_DOWN_S
SEEDS = (1, 2, 3)
BURSTING_ORGANISATION = "big"


class ClassLoad(NamedTuple):
    """The load of a class: prompt and mean answer length, and its rate outside a burst."""

    row: ClassRow
    prompt_tokens: int
    answer_tokens: float
    per_s: float


CLASS_LOADS = {
    "officer": ClassLoad(ClassRow("officer", 1, 1000, 54, 1.0, 0.0, 0, 30.0), 200, 60, 5.0),
    "crew": ClassLoad(ClassRow("crew", 2, 2000, 54, 1.0, 0.05, 0, 60.0), 200, 60, 5.0),
    "memo": ClassLoad(ClassRow("memo", 3, 10_000, 54, 1.0, 0.1, 0, 120.0), 4000, 400, 1.0),
}


class Scenario(NamedTuple):
    """A burst of one class by one organisation, at a multiple of the engines' capacity."""

    class_name: str
    capacity_factor: float
    link: Link = Link()
    at_one_host: bool = False


SCENARIOS = {
    "low-2x": Scenario("memo", 2.0),
    "low-4x": Scenario("memo", 4.0),
    "middle-4x": Scenario("crew", 4.0),
    "top-4x": Scenario("officer", 4.0),
    "low-4x-one-host": Scenario("memo", 4.0, at_one_host=True),
    "low-4x-lossy": Scenario("memo", 4.0, Link(0.0035, 0.01, 0.1)),
}


def make_table() -> Table:
    """Build a table with the classes and ten organisations of the load."""
    names = [BURSTING_ORGANISATION, *(f"organisation-{index}" for index in range(9))]
    return Table(
        1,
        {name: class_load.row for name, class_load in CLASS_LOADS.items()},
        {name: OrganisationRow(name, "", "officer", 1.0, 0, 0) for name in names},
        {POOL: PoolRow(POOL, "engine")},
        {},
    )


def capacity_per_s(class_load: ClassLoad) -> float:
    """Return the requests of a class that all engines together finish per second."""
    service_s = class_load.prompt_tokens / 5000.0 + class_load.answer_tokens * 0.02
    return sum(slots * speed for _, slots, speed in ENGINES) / service_s


class Arrival(NamedTuple):
    """A request that arrives at a host."""

    host: str
    job: Job


def draw_arrivals(scenario: Scenario, seed: int) -> list[Arrival]:
    """Draw the load of a scenario, which is the same for every arm."""
    random = Random(seed)
    names = [name for name in make_table().organisations_by_name if name != BURSTING_ORGANISATION]
    drawn: list[Arrival] = []
    for class_name, class_load in CLASS_LOADS.items():
        at_s = random.expovariate(class_load.per_s)
        while at_s < END_S:
            drawn.append(_make_arrival(class_name, random.choice(names), at_s, random, False))
            at_s += random.expovariate(class_load.per_s)
    rate = scenario.capacity_factor * capacity_per_s(CLASS_LOADS[scenario.class_name])
    at_s = WARM_UP_S + random.expovariate(rate)
    while at_s < WARM_UP_S + BURST_S:
        drawn.append(
            _make_arrival(
                scenario.class_name, BURSTING_ORGANISATION, at_s, random, scenario.at_one_host
            )
        )
        at_s += random.expovariate(rate)
    return sorted(drawn, key=lambda arrival: arrival.job.request.arrived_s)


def _make_arrival(
    class_name: str, organisation: str, at_s: float, random: Random, at_one_host: bool
) -> Arrival:
    class_load = CLASS_LOADS[class_name]
    target_s = class_load.row.first_token_ms / 1000
    request = Request(
        f"{random.getrandbits(64):016x}",
        organisation,
        class_name,
        class_load.row.tier,
        POOL,
        at_s,
        at_s + target_s,
        at_s + class_load.row.give_up_s,
        class_load.prompt_tokens,
    )
    tokens = max(1, round(random.expovariate(1 / class_load.answer_tokens)))
    host = 0 if at_one_host else random.randrange(HOSTS)
    return Arrival(f"host-{host:02}", Job(request, tokens, target_s))


class Figures(NamedTuple):
    """The results of one run of an arm.

    `attained` is the share of a class's requests with a first token within the target, without
    those of the bursting organisation; `longest_s` is the longest wait for a start.
    `used_share` is the share of the engines' slot time used during the burst. Bytes and
    messages are per second, for the busiest host.
    """

    attained: dict[str, float]
    longest_s: dict[str, float]
    used_share: float
    bytes_per_s: float
    messages_per_s: float
    overfilled: int


def run_arm(arm_name: str, scenario: Scenario, seed: int) -> Figures:
    """Run one arm on one scenario."""
    world = World(make_table(), ENGINES, HOSTS, scenario.link, Random(seed + 1000))
    starts_by_id: dict[str, tuple[float, float]] = {}

    def on_start(job: Job, first_token_s: float) -> None:
        starts_by_id[job.request.request_id] = (world.clock.now_s, first_token_s)

    for engine in world.engines_by_name.values():
        engine.on_start = on_start
    arm = ARMS[arm_name](world)
    load = draw_arrivals(scenario, seed)
    for host, job in load:
        world.clock.schedule(job.request.arrived_s, partial(arm.arrive, host, job))
    busy_s = _run_and_read_busy_s(world, WARM_UP_S)
    busy_s = _run_and_read_busy_s(world, WARM_UP_S + BURST_S) - busy_s
    world.clock.run_until(END_S)
    return _figures(load, starts_by_id, busy_s, world)


def _run_and_read_busy_s(world: World, at_s: float) -> float:
    world.clock.run_until(at_s)
    return sum(engine.update_busy_s(at_s) for engine in world.engines_by_name.values())


def _figures(
    load: list[Arrival],
    starts_by_id: dict[str, tuple[float, float]],
    busy_s: float,
    world: World,
) -> Figures:
    attained: dict[str, list[bool]] = {name: [] for name in CLASS_LOADS}
    longest_s = dict.fromkeys(CLASS_LOADS, 0.0)
    for _, job in load:
        request = job.request
        start_s, first_token_s = starts_by_id.get(request.request_id, (END_S, END_S + 1e9))
        waited_s = min(start_s, request.give_up_s) - request.arrived_s
        longest_s[request.class_name] = max(longest_s[request.class_name], waited_s)
        if request.organisation != BURSTING_ORGANISATION:
            attained[request.class_name].append(first_token_s <= request.deadline_s)
    slots = sum(world.capacity.values())
    return Figures(
        {name: sum(hits) / max(1, len(hits)) for name, hits in attained.items()},
        longest_s,
        busy_s / (slots * BURST_S),
        max(world.traffic.bytes_by_host.values(), default=0) / END_S,
        max(world.traffic.messages_by_host.values(), default=0) / END_S,
        sum(max(0, e.peak_running - e.slots) for e in world.engines_by_name.values()),
    )


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


def _format_spread(values: list[float]) -> str:
    return f"{_mean(values):.3f} ({min(values):.3f}-{max(values):.3f})"


def report(name: str, arm_name: str, runs: list[Figures]) -> dict[str, object]:
    """Print an arm's row and return its figures as means over the seeds."""
    attained = {
        class_name: [figures.attained[class_name] for figures in runs]
        for class_name in CLASS_LOADS
    }
    longest_s = {
        class_name: max(figures.longest_s[class_name] for figures in runs)
        for class_name in CLASS_LOADS
    }
    used_share = [figures.used_share for figures in runs]
    bytes_per_s = [figures.bytes_per_s for figures in runs]
    print(
        f"{name:16} {arm_name:11}",
        " ".join(
            f"{class_name} {_format_spread(values)}" for class_name, values in attained.items()
        ),
        f"used {_format_spread(used_share)}",
        "longest " + "/".join(f"{value:.1f}" for value in longest_s.values()),
        f"{_mean(bytes_per_s):.0f} B/s {_mean([f.messages_per_s for f in runs]):.1f} msg/s",
        f"over {max(figures.overfilled for figures in runs)}",
    )
    return {
        "attained": {
            class_name: round(_mean(values), 4) for class_name, values in attained.items()
        },
        "longest_s": {class_name: round(value, 2) for class_name, value in longest_s.items()},
        "used": round(_mean(used_share), 4),
        "bytes_per_s": round(_mean(bytes_per_s)),
        "messages_per_s": round(_mean([f.messages_per_s for f in runs]), 1),
        "overfilled": max(figures.overfilled for figures in runs),
    }


def main(arguments: list[str] | None = None) -> int:
    """Run the named scenarios and arms, or all; print a table, and JSON as the last line."""
    names = arguments if arguments is not None else sys.argv[1:]
    results: dict[str, dict[str, object]] = {}
    arm_names = [name for name in names if name in ARMS] or list(ARMS)
    for name in [name for name in names if name in SCENARIOS] or list(SCENARIOS):
        results[name] = {}
        for arm_name in arm_names:
            runs = [run_arm(arm_name, SCENARIOS[name], seed) for seed in SEEDS]
            results[name][arm_name] = report(name, arm_name, runs)
    print(json.dumps({"rulebench": results, "seeds": SEEDS}))
    return 0


__all__ = ["main", "run_arm"]

if __name__ == "__main__":
    sys.exit(main())
