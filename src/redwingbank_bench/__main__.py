"""Command line of the experiments: `python -m redwingbank_bench NAME`."""

from __future__ import annotations

import platform
import time
from typing import TYPE_CHECKING, Any, Literal

import anyio
from cyclopts import App

from redwingbank_bench import (
    control,
    failures,
    overhead,
    overload,
    relay,
    replay_capacities,
    replays,
)
from redwingbank_bench.options import Options
from redwingbank_bench.report import print_figures

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

MEASURE_BY_NAME: dict[str, Callable[[Options], Awaitable[dict[str, Any]]]] = {
    "overhead": overhead.measure,
    "relay": relay.measure,
    "overload": overload.measure,
    "failures": failures.measure,
    "control": control.measure,
    "replay": replays.measure,
    "servers": replay_capacities.measure,
}

app = App(name="redwingbank_bench", help="Experiments on real processes and stand-ins.")


@app.default
def main(
    name: Literal["overhead", "relay", "overload", "failures", "control", "replay", "servers"],
    *,
    seed: int = 1,
    runs: int = 3,
    seconds: float = 20.0,
) -> None:
    """Run an experiment; the last line of output is a JSON object of its figures."""
    options = Options(seed, runs, seconds)
    started_s = time.monotonic()
    figures = anyio.run(MEASURE_BY_NAME[name], options)
    print_figures(
        {
            "experiment": name,
            "seed": seed,
            "runs": runs,
            "seconds": seconds,
            "python": platform.python_version(),
            "took_s": round(time.monotonic() - started_s, 1),
            **figures,
        }
    )


if __name__ == "__main__":
    app()
