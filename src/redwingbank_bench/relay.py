"""Measures the tokens per second and core that one daemon forwards from concurrent streams."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import TYPE_CHECKING, Any, NamedTuple

import anyio

from redwingbank_bench.report import print_table, summarize
from redwingbank_bench.rig import EngineSpec, Plan, running
from redwingbank_bench.sheets import Organisation, TrafficClass

if TYPE_CHECKING:
    from redwingbank_bench.options import Options
    from redwingbank_bench.processes import Usage
    from redwingbank_bench.rig import Rig

AIM_TOKENS_PER_S = 31_000
ENGINES = 4
LOAD_PROCESSES = 3
STREAMS = (60, 150, 300, 600)
TOKEN_MS = 30.0
STEP_FRACTION = 0.5
PAUSE_S = 2.0
CLASS = TrafficClass("memo", 1, 20_000, 2000, 60, max_tokens=100_000)
ORGANISATION = Organisation("haddad")


class StepResult(NamedTuple):
    """The results of one step of the load; `cores` is the daemon's processor use."""

    streams: int
    tokens_per_s: float
    cores: float
    offered_per_s: float
    broken: int

    @property
    def per_core(self) -> float:
        """Tokens per second and core that the daemon used."""
        return self.tokens_per_s / max(0.01, self.cores)


def _plan() -> Plan:
    slots = max(STREAMS) // ENGINES + 10
    engines = tuple(
        EngineSpec(f"engine-{index}", slots=slots, token_ms=TOKEN_MS) for index in range(ENGINES)
    )
    return Plan(1, engines, (CLASS,), (ORGANISATION,))


def _start_reader(rig: Rig, streams: int, seconds: float) -> subprocess.Popen[bytes]:
    command = [sys.executable, "-m", "redwingbank_bench.readers", rig.daemon_addresses[0]]
    command += [ORGANISATION.key, "--streams", str(streams), "--seconds", str(seconds)]
    return subprocess.Popen(command, stdout=subprocess.PIPE)  # noqa: S603


async def _run_step(rig: Rig, streams: int, seconds: float) -> StepResult:
    daemon = next(iter(rig.daemons_by_name.values()))
    share = streams // LOAD_PROCESSES
    readers = [_start_reader(rig, share, seconds) for _ in range(LOAD_PROCESSES)]
    await anyio.sleep(seconds * 0.4)
    first = daemon.usage()
    await anyio.sleep(seconds * 0.4)
    last = daemon.usage()
    outputs = [await anyio.to_thread.run_sync(reader.communicate) for reader in readers]
    results = [json.loads(output[0]) for output in outputs]
    return StepResult(
        streams=share * LOAD_PROCESSES,
        tokens_per_s=sum(result["tokens_per_s"] for result in results),
        cores=_cores(first, last),
        offered_per_s=_offered_tokens_per_s(streams),
        broken=sum(result["broken"] for result in results),
    )


def _offered_tokens_per_s(streams: int) -> float:
    slowdown = 1 + 0.01 * (streams / ENGINES - 1)
    return streams / (TOKEN_MS / 1000 * slowdown)


def _cores(first: Usage, last: Usage) -> float:
    return (last.cpu_s - first.cpu_s) / (last.at_s - first.at_s)


async def _run_once(seconds: float) -> list[StepResult]:
    async with running(_plan()) as rig:
        steps = []
        for streams in STREAMS:
            steps.append(await _run_step(rig, streams, seconds * STEP_FRACTION))
            await anyio.sleep(PAUSE_S)
        return steps


async def measure(options: Options) -> dict[str, Any]:
    """Run the experiment, print each step, and return the figures' spread over the runs.

    A step takes half of `seconds`.
    """
    runs = [await _run_once(options.seconds) for _ in range(options.runs)]
    headings = ["run", *StepResult._fields, "tokens/s a core"]
    rows = [[index, *step, step.per_core] for index, run in enumerate(runs) for step in run]
    print_table("tokens relayed by one daemon", headings, rows)
    best = [max(step.tokens_per_s for step in run) for run in runs]
    figures: dict[str, Any] = {
        f"streams_{run[0].streams}": {
            "tokens_per_s": summarize([step.tokens_per_s for step in run]),
            "per_core": summarize([step.per_core for step in run]),
            "cores": summarize([step.cores for step in run]),
        }
        for run in zip(*runs, strict=True)
    }
    met = min(best) >= AIM_TOKENS_PER_S
    return {**figures, "best": summarize(best), "aim": {"per_s": AIM_TOKENS_PER_S, "met": met}}


__all__ = ["measure"]
