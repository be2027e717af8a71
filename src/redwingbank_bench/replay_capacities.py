"""The experiment `servers`: decisions on the number of servers, as a table and a plot."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING, Any

from redwingbank_bench.replay_capacity import CapacityFigures, CapacityReplay
from redwingbank_bench.replay_capacity_arms import BUILD_BY_CAPACITY_ARM
from redwingbank_bench.replay_capacity_load import CAPACITY_PATTERNS
from redwingbank_bench.replays import PLOT_VARIABLE
from redwingbank_bench.report import print_table, summarize

if TYPE_CHECKING:
    from collections.abc import Mapping

    from redwingbank_bench.options import Options

PLOTTED = ("in_time", "worst_seconds", "price")


def replay_servers(pattern: str, arm: str, seed: int) -> CapacityFigures:
    """Replay one pattern with one arm."""
    known = CAPACITY_PATTERNS[pattern]
    return CapacityReplay(known, seed, BUILD_BY_CAPACITY_ARM[arm]()).run(seed)


async def measure(options: Options) -> dict[str, Any]:
    """Replay each pattern with each arm, and return the spread of the figures over the seeds."""
    figures: dict[str, Any] = {}
    for pattern, known in CAPACITY_PATTERNS.items():
        by_arm = {arm: _replay_seeds(pattern, arm, options) for arm in BUILD_BY_CAPACITY_ARM}
        rows = [
            [arm, *(summary["median"] for summary in by_name.values())]
            for arm, by_name in by_arm.items()
        ]
        title = f"{pattern}: {known.description}"
        print_table(title, ["arm", *CapacityFigures._fields], rows)
        figures[pattern] = by_arm
    path = os.environ.get(PLOT_VARIABLE, "")
    if path:
        _plot(figures, Path(path))
    return figures


def _replay_seeds(pattern: str, arm: str, options: Options) -> dict[str, dict[str, float]]:
    seeds = range(options.seed, options.seed + options.runs)
    columns = zip(*(replay_servers(pattern, arm, seed) for seed in seeds), strict=True)
    return {
        name: summarize(column)
        for name, column in zip(CapacityFigures._fields, columns, strict=True)
    }


def _plot(figures: Mapping[str, Any], path: Path) -> None:
    """Draw a bar for each pattern and arm, one panel a figure."""
    from matplotlib import pyplot  # noqa: PLC0415 - optional, and slow to import

    _, panels = pyplot.subplots(len(PLOTTED), 1, figsize=(12, 9), sharex=True)
    width = 1 / (len(BUILD_BY_CAPACITY_ARM) + 1)
    for panel, name in zip(panels, PLOTTED, strict=True):
        for index, arm in enumerate(BUILD_BY_CAPACITY_ARM):
            medians = [by_arm[arm][name]["median"] for by_arm in figures.values()]
            places = [place + index * width for place in range(len(medians))]
            panel.bar(places, medians, width, label=arm)
        panel.set_ylabel(name)
    panels[0].legend(ncols=len(BUILD_BY_CAPACITY_ARM))
    panels[-1].set_xticks(range(len(figures)), list(figures), rotation=20)
    pyplot.tight_layout()
    pyplot.savefig(path)


__all__ = ["measure", "replay_servers"]
