"""Measures the control plane's cost per node at 3 to 28 daemons, for the capacity page."""

from __future__ import annotations

import random
import re
import statistics
from typing import TYPE_CHECKING, Any, NamedTuple

import anyio

from redwingbank_bench.load import Arrival, build_prompt, poisson_times, run_load
from redwingbank_bench.report import print_table, summarize
from redwingbank_bench.rig import EngineSpec, Plan, running
from redwingbank_bench.sheets import Organisation, TrafficClass

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from redwingbank_bench.options import Options
    from redwingbank_bench.processes import Usage
    from redwingbank_bench.rig import Rig

DAEMON_COUNTS = (3, 7, 14, 28)
RATE_PER_S = 40.0
WARM_UP_S = 4.0
MEBIBYTE = 1024 * 1024
AIM_CORE = 0.01
AIM_BYTES_PER_S = 2048
AIM_MEBIBYTES = 128

CLASS = TrafficClass("question", 1, 1000, 80, 10, max_tokens=20)
ORGANISATION = Organisation("strathmore")
COUNTER_LINE = re.compile(
    r"^redwingbank_(peer|control|platform)\w*_total(\{[^}]*\})? (\S+)$", re.M
)


class Sample(NamedTuple):
    """A daemon's resource usage and counters at one time."""

    usage: Usage
    counts: dict[str, float]


class Rates(NamedTuple):
    """A daemon's usage between two samples; `counts` are rates per second."""

    cores: float
    rss_mebibytes: float
    counts: dict[str, float]


async def _sample(rig: Rig) -> dict[str, Sample]:
    samples = {}
    for name, child in rig.daemons_by_name.items():
        text = (await rig.read_page(name, "/metrics")).decode()
        counts = {
            match.group(0).rpartition(" ")[0].removeprefix("redwingbank_"): float(match.group(3))
            for match in COUNTER_LINE.finditer(text)
        }
        samples[name] = Sample(child.usage(), counts)
    return samples


def _rates(before: Mapping[str, Sample], after: Mapping[str, Sample]) -> list[Rates]:
    rates = []
    for name, last in after.items():
        first = before[name]
        elapsed_s = last.usage.at_s - first.usage.at_s
        counts = {
            key: (value - first.counts.get(key, 0.0)) / elapsed_s
            for key, value in last.counts.items()
        }
        cores = (last.usage.cpu_s - first.usage.cpu_s) / elapsed_s
        rates.append(Rates(cores, last.usage.rss_bytes / MEBIBYTE, counts))
    return rates


def _summary(rates: Sequence[Rates]) -> dict[str, float]:
    names = sorted({name for rate in rates for name, value in rate.counts.items() if value})
    cores = [rate.cores for rate in rates]
    figures = {
        "cores_mean": statistics.mean(cores),
        "cores_max": max(cores),
        "rss_mebibytes_max": max(rate.rss_mebibytes for rate in rates),
    }
    for kind in ("bytes_out", "messages_out", "bytes_in", "messages_in"):
        figures[f"{kind}/s mean"] = statistics.mean(_sum_peer_rates(rate, kind) for rate in rates)
        figures[f"{kind}/s max"] = max(_sum_peer_rates(rate, kind) for rate in rates)
    for name in names:
        values = [rate.counts.get(name, 0.0) for rate in rates]
        figures[f"{name}/s mean"] = statistics.mean(values)
        figures[f"{name}/s max"] = max(values)
    return figures


def _sum_peer_rates(rates: Rates, kind: str) -> float:
    return sum(value for name, value in rates.counts.items() if name.startswith(f"peer_{kind}_"))


def _arrivals(seed: int, seconds: float, targets: Sequence[str]) -> list[Arrival]:
    source = random.Random(seed)  # noqa: S311
    arrivals = []
    for number, at_s in enumerate(poisson_times(source, RATE_PER_S, 0.0, seconds)):
        tag = f"question-{number}"
        text = build_prompt(source, tag, CLASS.prompt_words)
        target = source.choice(targets)
        arrivals.append(Arrival(at_s, tag, CLASS, ORGANISATION, text, target))
    return arrivals


async def _run_once(count: int, seed: int, seconds: float) -> dict[str, dict[str, float]]:
    engines = tuple(EngineSpec(f"engine-{at}", slots=8) for at in range(6))
    async with running(Plan(count, engines, (CLASS,), (ORGANISATION,))) as rig:
        await anyio.sleep(WARM_UP_S)
        first = await _sample(rig)
        await anyio.sleep(seconds / 2)
        idle = await _sample(rig)
        await run_load(_arrivals(seed, seconds / 2, rig.daemon_addresses), 1)
        loaded = await _sample(rig)
    return {"idle": _summary(_rates(first, idle)), "loaded": _summary(_rates(idle, loaded))}


async def measure(options: Options) -> dict[str, Any]:
    """Run the experiment, print its figures, and return their spread at each daemon count."""
    figures: dict[str, Any] = {}
    for count in DAEMON_COUNTS:
        runs = [
            await _run_once(count, options.seed + at, options.seconds)
            for at in range(options.runs)
        ]
        for phase in ("idle", "loaded"):
            names = sorted({name for run in runs for name in run[phase]})
            summary = {
                name: summarize([run[phase].get(name, 0.0) for run in runs]) for name in names
            }
            figures[f"{phase}_{count}"] = summary
            rows = [[name, *values.values()] for name, values in summary.items()]
            print_table(
                f"{count} daemons, {phase}: a node", ["figure", "median", "least", "largest"], rows
            )
    aim = {"core": AIM_CORE, "bytes_per_s": AIM_BYTES_PER_S, "mebibytes": AIM_MEBIBYTES}
    return {**figures, "rate_per_s": RATE_PER_S, "aim": aim}


__all__ = ["measure"]
