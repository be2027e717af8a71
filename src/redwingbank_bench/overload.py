"""Compares four policies under the same load, with bursts beyond the engines' capacity.

Seven daemons route to six unequal engines. One organisation's bursts are on tier 3, with two
tiers above and one below; the lowest has a minimum share, without which it would starve.
"""

from __future__ import annotations

import random
from collections import defaultdict
from typing import TYPE_CHECKING, Any, NamedTuple

from redwingbank_bench.checker import (
    count_violations,
    count_wrong_refusals,
    is_correct,
    measure_waste,
)
from redwingbank_bench.load import Arrival, build_prompt, poisson_times, run_load
from redwingbank_bench.report import print_table, quantile, summarize
from redwingbank_bench.rig import EngineSpec, Plan, running
from redwingbank_bench.sheets import Organisation, TrafficClass

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from redwingbank_bench.load import Record
    from redwingbank_bench.options import Options

POLICIES = ("full", "first-come", "random", "local")
DAEMONS = 7
SLOTS = (4, 4, 6, 8, 8, 10)
TOKEN_MS = (20.0, 30.0, 20.0, 25.0, 20.0, 30.0)
AIM_TOP_TIER = 0.99
AIM_GOODPUT = 0.95
RAMP_S = 1.0

QUESTION = TrafficClass("question", 1, 1000, 80, 10, max_tokens=60, prompt_words=40)
NOMINATION = TrafficClass("nomination", 2, 2000, 80, 15, max_tokens=120, prompt_words=120)
MEMO = TrafficClass("memo", 3, 6000, 100, 10, 0.05, max_tokens=200, prompt_words=400)
ARCHIVE = TrafficClass("archive", 4, 15_000, 150, 25, 0.05, max_tokens=200, prompt_words=200)
CLASSES = (QUESTION, NOMINATION, MEMO, ARCHIVE)
BURSTING = Organisation("haddad")
OTHERS = tuple(Organisation(f"agent-{number}") for number in range(4))


class Burst(NamedTuple):
    """A burst of memos; `starts` and `ends` are fractions of the run's length."""

    starts: float
    ends: float
    rate_per_s: float


class SteadyLoad(NamedTuple):
    """Steady requests of a class by all organisations except the bursting one."""

    class_: TrafficClass
    rate_per_s: float


STEADY = (
    SteadyLoad(QUESTION, 7.5),
    SteadyLoad(NOMINATION, 8.0),
    SteadyLoad(MEMO, 5.5),
    SteadyLoad(ARCHIVE, 1.8),
)
CAPACITY_PER_S = 36.0
BURSTS = (Burst(0.2, 0.4, 2 * CAPACITY_PER_S), Burst(0.55, 0.75, 4 * CAPACITY_PER_S))


def build_plan(policy: str) -> Plan:
    """Build the deployment for a policy."""
    engines = tuple(
        EngineSpec(f"engine-{index}", slots=slots, token_ms=token_ms)
        for index, (slots, token_ms) in enumerate(zip(SLOTS, TOKEN_MS, strict=True))
    )
    settings = {"experiment": {"policy": policy}}
    return Plan(DAEMONS, engines, CLASSES, (BURSTING, *OTHERS), settings=settings)


def build_arrivals(seed: int, seconds: float, targets: Sequence[str]) -> list[Arrival]:
    """Plan the load; equal seeds give equal loads, except for the daemons' addresses."""
    source = random.Random(seed)  # noqa: S311
    due = [
        (at_s, steady.class_, source.choice(OTHERS))
        for steady in STEADY
        for at_s in poisson_times(source, steady.rate_per_s, 0.0, seconds)
    ]
    due += [
        (at_s, MEMO, BURSTING)
        for burst in BURSTS
        for at_s in poisson_times(
            source, burst.rate_per_s, burst.starts * seconds, burst.ends * seconds
        )
    ]
    arrivals = []
    for number, (at_s, row, organisation) in enumerate(due):
        tag = f"{row.name}-{number}"
        text = build_prompt(source, tag, row.prompt_words)
        arrivals.append(Arrival(at_s, tag, row, organisation, text, source.choice(targets)))
    return arrivals


def attained_share(records: Sequence[Record]) -> float:
    """Return the share of requests answered correctly within both targets of their class."""
    return sum(record.attained and is_correct(record) for record in records) / max(1, len(records))


def useful_share(
    records: Sequence[Record],
    journals: Mapping[str, Sequence[Mapping[str, Any]]],
    windows: Sequence[tuple[float, float]],
) -> float:
    """Return the share of all slots' time in the windows that correct answers used."""
    correct_tags = {record.arrival.tag for record in records if is_correct(record)}
    used_s = 0.0
    for events in journals.values():
        started_by_tag: dict[str, float] = {}
        for event in events:
            if event["event"] == "start":
                started_by_tag[event["tag"]] = event["at_s"]
            elif event["event"] == "output" and event["tag"] in correct_tags:
                start_s = started_by_tag[event["tag"]]
                used_s += sum(_overlap_s(start_s, event["at_s"], window) for window in windows)
    return used_s / (sum(SLOTS) * sum(until_s - from_s for from_s, until_s in windows))


def _overlap_s(start_s: float, end_s: float, window: tuple[float, float]) -> float:
    return max(0.0, min(end_s, window[1]) - max(start_s, window[0]))


def _group_by_class(records: Sequence[Record]) -> dict[str, list[Record]]:
    groups: dict[str, list[Record]] = defaultdict(list)
    for record in records:
        burst = record.arrival.organisation == BURSTING
        groups[record.arrival.class_.name + (" (burst)" if burst else "")].append(record)
    return dict(sorted(groups.items(), key=lambda item: (item[1][0].arrival.class_.tier, item[0])))


def _wait_s(record: Record) -> float:
    return (record.first_s or record.ended_s) - record.sent_s


def _class_figures(records: Sequence[Record]) -> dict[str, float]:
    firsts = [record.first_token_ms for record in records if record.first_s]
    return {
        "requests": float(len(records)),
        "attained": attained_share(records),
        "whole": sum(is_correct(record) for record in records) / len(records),
        "refused": sum(record.ran == "no" for record in records) / len(records),
        "first_p50_ms": quantile(firsts, 0.5),
        "first_p99_ms": quantile(firsts, 0.99),
        "longest_wait_s": max(_wait_s(record) for record in records),
    }


async def _run_arm(policy: str, seed: int, seconds: float) -> dict[str, Any]:
    async with running(build_plan(policy)) as rig:
        load = await run_load(build_arrivals(seed, seconds, rig.daemon_addresses))
        journals = rig.journals()
    records = load.records
    windows = [
        (
            load.started_s + burst.starts * seconds + RAMP_S,
            load.started_s + burst.ends * seconds,
        )
        for burst in BURSTS
    ]
    wasted = measure_waste(records, journals)
    useful_tokens = sum(
        len(record.tokens) for record in records if record.attained and is_correct(record)
    )
    return {
        "classes": {
            name: _class_figures(group) for name, group in _group_by_class(records).items()
        },
        "goodput": useful_share(records, journals, windows),
        "goodput_in_time": useful_share(
            [record for record in records if record.attained], journals, windows
        ),
        "attained_tokens_per_s": useful_tokens / seconds,
        "waste_prompt": wasted.prompt_wasted / max(1, wasted.prompt),
        "waste_output": wasted.output_wasted / max(1, wasted.output),
        "wrong_refusals": count_wrong_refusals(records),
        "violations": count_violations(records, journals)._asdict(),
        "sent_late_p99_ms": quantile(load.late_s, 0.99) * 1000,
    }


def _print(run: int, arms: Mapping[str, Mapping[str, Any]]) -> None:
    headings = ["policy", "class", *next(iter(arms.values()))["classes"]["question"]]
    rows = [
        [policy, name, *figures.values()]
        for policy, arm in arms.items()
        for name, figures in arm["classes"].items()
    ]
    print_table(f"run {run}: by class", headings, rows)
    names = [name for name in next(iter(arms.values())) if name not in ("classes", "violations")]
    rows = [
        [policy, *(arm[name] for name in names), sum(arm["violations"].values())]
        for policy, arm in arms.items()
    ]
    print_table(f"run {run}: whole", ["policy", *names, "violations"], rows)
    for policy, arm in arms.items():
        if sum(arm["violations"].values()):
            print(f"{policy}: violations {arm['violations']}")


def _summary(arms: Sequence[Mapping[str, Any]]) -> dict[str, Any]:
    names = arms[0]["classes"]
    plain = [name for name in arms[0] if name not in ("classes", "violations")]
    return {
        **{name: summarize([float(arm[name]) for arm in arms]) for name in plain},
        "violations": {
            name: sum(arm["violations"][name] for arm in arms) for name in arms[0]["violations"]
        },
        "classes": {
            name: {
                figure: summarize([arm["classes"][name][figure] for arm in arms])
                for figure in ("attained", "refused", "first_p99_ms", "longest_wait_s")
            }
            for name in names
        },
    }


async def measure(options: Options) -> dict[str, Any]:
    """Run the policies in turn, print each run, and return the figures' spread by policy."""
    runs = []
    for number in range(options.runs):
        arms = {
            policy: await _run_arm(policy, options.seed + number, options.seconds)
            for policy in POLICIES
        }
        _print(number, arms)
        runs.append(arms)
    figures = {policy: _summary([run[policy] for run in runs]) for policy in POLICIES}
    top = figures["full"]["classes"]["question"]["attained"]["median"]
    goodput = figures["full"]["goodput"]["median"]
    met = top >= AIM_TOP_TIER and goodput >= AIM_GOODPUT
    return {**figures, "aim": {"top": AIM_TOP_TIER, "goodput": AIM_GOODPUT, "met": met}}


__all__ = ["build_arrivals", "build_plan", "measure"]
