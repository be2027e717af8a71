"""Measures the time that a daemon adds to the first token, against direct requests."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from redwingbank_bench.load import Arrival, build_prompt, poisson_times, run_load
from redwingbank_bench.report import print_table, quantile, summarize
from redwingbank_bench.rig import EngineSpec, Plan, running
from redwingbank_bench.sheets import Organisation, TrafficClass

if TYPE_CHECKING:
    from redwingbank_bench.load import Record
    from redwingbank_bench.options import Options
    from redwingbank_bench.rig import Rig

RATE_PER_S = 130.0
DIRECT_RATE_PER_S = 30.0
ENGINES = 4
SLOTS = 64
WARM_UP_S = 2.0
AIM_P50_MS = 1.0
AIM_P99_MS = 5.0

CLASS = TrafficClass("question", 1, 800, 80, 20, max_tokens=5, prompt_words=40)
ORGANISATION = Organisation("strathmore")


def _plan() -> Plan:
    engines = tuple(EngineSpec(f"engine-{index}", slots=SLOTS) for index in range(ENGINES))
    return Plan(1, engines, (CLASS,), (ORGANISATION,))


def _arrivals(seed: int, seconds: float, rig: Rig) -> list[Arrival]:
    """Plan requests to the daemon, and fewer sent directly to the engines at the same time."""
    source = random.Random(seed)  # noqa: S311
    engines = [rig.address_by_name[name] for name in rig.engines_by_name]
    arrivals = []
    ways = ((RATE_PER_S, "routed", rig.daemon_addresses), (DIRECT_RATE_PER_S, "direct", engines))
    for rate, way, targets in ways:
        for number, at_s in enumerate(poisson_times(source, rate, 0.0, seconds)):
            tag = f"{way}-{number}"
            text = build_prompt(source, tag, CLASS.prompt_words)
            arrivals.append(Arrival(at_s, tag, CLASS, ORGANISATION, text, source.choice(targets)))
    return arrivals


async def _run_once(seed: int, seconds: float) -> dict[str, float]:
    async with running(_plan()) as rig:
        daemon = next(iter(rig.daemons_by_name.values()))
        before = daemon.usage()
        load = await run_load(_arrivals(seed, seconds, rig))
        after = daemon.usage()
    measured = [record for record in load.records if record.sent_s > load.started_s + WARM_UP_S]
    routed = _first_token_ms_of(measured, "routed")
    direct = _first_token_ms_of(measured, "direct")
    return {
        "requests": float(len(routed)),
        "failed": float(sum(not record.whole for record in load.records)),
        "direct_p50_ms": quantile(direct, 0.5),
        "direct_p99_ms": quantile(direct, 0.99),
        "routed_p50_ms": quantile(routed, 0.5),
        "routed_p99_ms": quantile(routed, 0.99),
        "added_p50_ms": quantile(routed, 0.5) - quantile(direct, 0.5),
        "added_p99_ms": quantile(routed, 0.99) - quantile(direct, 0.99),
        "daemon_cores": (after.cpu_s - before.cpu_s) / (after.at_s - before.at_s),
        "sent_late_p99_ms": quantile(load.late_s, 0.99) * 1000,
    }


def _first_token_ms_of(records: list[Record], way: str) -> list[float]:
    return [
        record.first_token_ms
        for record in records
        if record.whole and record.arrival.tag.startswith(way)
    ]


async def measure(options: Options) -> dict[str, Any]:
    """Run the experiment, print each run, and return the figures' spread over the runs."""
    runs = [
        await _run_once(options.seed + index, options.seconds) for index in range(options.runs)
    ]
    names = list(runs[0])
    print_table(
        f"added time to first token at {RATE_PER_S:g} requests/s a host",
        ["run", *names],
        [[index, *run.values()] for index, run in enumerate(runs)],
    )
    figures: dict[str, Any] = {name: summarize([run[name] for run in runs]) for name in names}
    met = (
        figures["added_p50_ms"]["median"] <= AIM_P50_MS
        and figures["added_p99_ms"]["median"] <= AIM_P99_MS
    )
    return {**figures, "aim": {"p50_ms": AIM_P50_MS, "p99_ms": AIM_P99_MS, "met": met}}


__all__ = ["measure"]
