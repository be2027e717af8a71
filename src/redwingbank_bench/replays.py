"""The experiment `replay`: all load patterns with all arms, as a table and a plot."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING, Any

from redwingbank_bench.replay import Figures, replay
from redwingbank_bench.replay_arms import BUILD_BY_ARM
from redwingbank_bench.replay_load import PATTERNS
from redwingbank_bench.report import print_table, summarize

if TYPE_CHECKING:
    from collections.abc import Mapping

    from redwingbank_bench.options import Options

# If set, the plot is written to this file.
PLOT_VARIABLE = "REDWINGBANK_REPLAY_PLOT"
PLOTTED = ("worth", "worst_seconds", "worst_class")


async def measure(options: Options) -> dict[str, Any]:
    """Replay each pattern with each arm, and return the spread of the figures over the seeds."""
    figures: dict[str, Any] = {}
    for pattern, description in ((name, known.description) for name, known in PATTERNS.items()):
        by_arm = {arm: _replay_seeds(pattern, arm, options) for arm in BUILD_BY_ARM}
        rows = [
            [arm, *(summary["median"] for summary in by_name.values())]
            for arm, by_name in by_arm.items()
        ]
        print_table(f"{pattern}: {description}", ["arm", *Figures._fields], rows)
        figures[pattern] = by_arm
    path = os.environ.get(PLOT_VARIABLE, "")
    if path:
        _plot(figures, Path(path))
    return figures


def _replay_seeds(pattern: str, arm: str, options: Options) -> dict[str, dict[str, float]]:
    seeds = range(options.seed, options.seed + options.runs)
    runs = [replay(pattern, seed, BUILD_BY_ARM[arm]) for seed in seeds]
    columns = zip(*runs, strict=True)
    return {name: summarize(column) for name, column in zip(Figures._fields, columns, strict=True)}


def _plot(figures: Mapping[str, Any], path: Path) -> None:
    """Draw a bar for each pattern and arm, one panel a figure."""
    from matplotlib import pyplot  # noqa: PLC0415 - optional, and slow to import

    _, panels = pyplot.subplots(len(PLOTTED), 1, figsize=(10, 9), sharex=True)
    width = 1 / (len(BUILD_BY_ARM) + 1)
    for panel, name in zip(panels, PLOTTED, strict=True):
        for index, arm in enumerate(BUILD_BY_ARM):
            medians = [by_arm[arm][name]["median"] for by_arm in figures.values()]
            places = [place + index * width for place in range(len(medians))]
            panel.bar(places, medians, width, label=arm)
        panel.set_ylabel(name)
        panel.set_ylim(0, 1)
    panels[0].legend(ncols=len(BUILD_BY_ARM))
    panels[-1].set_xticks(range(len(figures)), list(figures))
    pyplot.tight_layout()
    pyplot.savefig(path)


__all__ = ["measure"]
