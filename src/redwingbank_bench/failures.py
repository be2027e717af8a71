"""Compares runs with single faults and pairs of faults against a run without faults."""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING, Any

import anyio

from redwingbank_bench.checker import count_violations, is_correct, measure_waste
from redwingbank_bench.load import Arrival, build_prompt, poisson_times, run_load
from redwingbank_bench.overload import attained_share
from redwingbank_bench.report import print_table, summarize
from redwingbank_bench.rig import EngineSpec, Plan, running
from redwingbank_bench.sheets import Organisation, TrafficClass

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Sequence

    from redwingbank_bench.load import Record
    from redwingbank_bench.options import Options
    from redwingbank_bench.rig import Rig

DAEMONS = 3
ENGINES = 6
SLOTS = 6
AIM_WASTE_FAULT_FREE = 0.01
AIM_WASTE_CRASH = 0.05
AIM_POISON_CRASHES = 2
POISON = "POISON"
POISON_SENDS = 6
POISON_INTERVAL_S = 1.0
RATES_PER_S = (("question", 6.0), ("pack", 3.0), ("order", 4.0))
PACKS = 30

QUESTION = TrafficClass("question", 1, 1000, 80, 10, max_tokens=60, prompt_words=40)
PACK = TrafficClass("pack", 2, 4000, 80, 20, max_tokens=150, prompt_words=2000)
ORDER = TrafficClass("order", 1, 1000, 80, 10)
CLASS_BY_NAME = {row.name: row for row in (QUESTION, PACK, ORDER)}
CALLERS = tuple(Organisation(f"agent-{number}") for number in range(4))


def _plan() -> Plan:
    engines = tuple(EngineSpec(f"engine-{index}", slots=SLOTS) for index in range(ENGINES))
    classes = tuple(CLASS_BY_NAME.values())
    return Plan(DAEMONS, engines, classes, CALLERS, services=3, poison_marker=POISON)


def _arrivals(
    seed: int, seconds: float, targets: Sequence[str], faults: Sequence[str]
) -> list[Arrival]:
    source = random.Random(seed)  # noqa: S311
    arrivals = []
    for name, rate in RATES_PER_S:
        for number, at_s in enumerate(poisson_times(source, rate, 0.0, seconds)):
            row = CLASS_BY_NAME[name]
            tag = f"{name}-{number}"
            pack = f"pack{source.randrange(PACKS)}" if row is PACK else ""
            text = build_prompt(source, tag, row.prompt_words, pack)
            key = tag if row is ORDER else ""
            caller = source.choice(CALLERS)
            arrivals.append(Arrival(at_s, tag, row, caller, text, source.choice(targets), key))
    if "poison" in faults:
        text = f"{POISON} length=20 tag=poison"
        arrivals += [
            Arrival(
                seconds * 0.2 + number * POISON_INTERVAL_S,
                "poison",
                QUESTION,
                CALLERS[0],
                text,
                source.choice(targets),
            )
            for number in range(POISON_SENDS)
        ]
    return arrivals


async def _crash(rig: Rig, seconds: float) -> None:
    await anyio.sleep(seconds * 0.4)
    await rig.set_faults("engine-0", crash_after_tokens=5)
    await rig.set_faults("service-0", crash_after=True)
    await rig.set_faults("service-1", lose_answer=2)


async def _slow(rig: Rig, seconds: float) -> None:
    await anyio.sleep(seconds * 0.3)
    await rig.set_faults("engine-1", slow=8.0)
    await anyio.sleep(seconds * 0.4)
    await rig.set_faults("engine-1", slow=1.0)


async def _lag(rig: Rig, seconds: float) -> None:
    for name in rig.engines_by_name:
        await rig.set_faults(name, report_lag_ms=3000.0, report_hides_age=True)


async def _poison(rig: Rig, seconds: float) -> None:
    """Do nothing; the fault is in the requests of `_arrivals`."""


FAULTS: dict[str, Callable[[Rig, float], Coroutine[Any, Any, None]]] = {
    "crash": _crash,
    "slow": _slow,
    "lag": _lag,
    "poison": _poison,
}
SINGLE: tuple[tuple[str, ...], ...] = ((), *((name,) for name in FAULTS))
ARMS = (*SINGLE, *itertools.combinations(FAULTS, 2))


async def _run_load_with_faults(
    rig: Rig, seed: int, seconds: float, faults: Sequence[str]
) -> Sequence[Record]:
    arrivals = _arrivals(seed, seconds, rig.daemon_addresses, faults)
    async with anyio.create_task_group() as group:
        group.start_soon(rig.restart_crashed_backends)
        for name in faults:
            group.start_soon(FAULTS[name], rig, seconds)
        load = await run_load(arrivals)
        group.cancel_scope.cancel()
    return load.records


async def _run_arm(faults: Sequence[str], seed: int, seconds: float) -> dict[str, Any]:
    async with running(_plan()) as rig:
        records = await _run_load_with_faults(rig, seed, seconds, faults)
        journals = rig.journals()
    innocent = [record for record in records if record.arrival.tag != "poison"]
    wasted = measure_waste(records, journals)
    figures: dict[str, Any] = {
        name: attained_share([record for record in innocent if record.arrival.class_.name == name])
        for name in ("question", "pack")
    }
    orders = [record for record in innocent if record.arrival.key]
    broken = [record for record in innocent if not is_correct(record)]
    all_events = [event for events in journals.values() for event in events]
    return {
        **figures,
        "orders_whole": sum(record.whole for record in orders) / max(1, len(orders)),
        "not_whole": len(broken),
        "innocents_blamed": sum(record.code in (1230, 1231) for record in innocent),
        "waste": wasted.share,
        "waste_prompt": wasted.prompt_wasted / max(1, wasted.prompt),
        "waste_output": wasted.output_wasted / max(1, wasted.output),
        "poison_crashes": sum(
            event["event"] == "start" and event["tag"] == "poison" for event in all_events
        ),
        "violations": count_violations(records, journals)._asdict(),
        "codes": _codes(records),
    }


def _codes(records: Sequence[Record]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for record in records:
        if not record.whole:
            name = f"{record.code}/{record.ran or 'none'}"
            counts[name] = counts.get(name, 0) + 1
    return counts


def _print(run: int, arms: dict[str, dict[str, Any]]) -> None:
    names = [name for name in next(iter(arms.values())) if name not in ("violations", "codes")]
    rows = [
        [label, *(arm[name] for name in names), sum(arm["violations"].values())]
        for label, arm in arms.items()
    ]
    print_table(f"run {run}", ["faults", *names, "violations"], rows)
    for label, arm in arms.items():
        print(f"{label}: not whole by code/ran {arm['codes']}; violations {arm['violations']}")


async def measure(options: Options) -> dict[str, Any]:
    """Run the arms in turn, print each run, and return the figures' spread by arm."""
    runs = []
    for number in range(options.runs):
        arms = {
            "+".join(faults) or "none": await _run_arm(
                faults, options.seed + number, options.seconds
            )
            for faults in ARMS
        }
        _print(number, arms)
        runs.append(arms)
    figures = {label: _summary([run[label] for run in runs]) for label in runs[0]}
    return {"arms": figures, "aim": _check_aims(figures)}


def _summary(arms: Sequence[dict[str, Any]]) -> dict[str, Any]:
    plain = [name for name in arms[0] if name not in ("violations", "codes")]
    return {
        **{name: summarize([float(arm[name]) for arm in arms]) for name in plain},
        "violations": {
            name: sum(arm["violations"][name] for arm in arms) for name in arms[0]["violations"]
        },
    }


def _check_aims(figures: dict[str, dict[str, Any]]) -> dict[str, Any]:
    return {
        "waste_fault_free": figures["none"]["waste"]["median"] < AIM_WASTE_FAULT_FREE,
        "waste_crash": figures["crash"]["waste"]["median"] < AIM_WASTE_CRASH,
        "violations_none": all(sum(arm["violations"].values()) == 0 for arm in figures.values()),
        "poison_contained": all(
            arm["poison_crashes"]["largest"] <= AIM_POISON_CRASHES for arm in figures.values()
        ),
    }


__all__ = ["measure"]
