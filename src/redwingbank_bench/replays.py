"""Compares arms in replays of load patterns, as a table and a plot; the experiment `replay`."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

from redwingbank_bench.replay import Figures, replay
from redwingbank_bench.replay_arms import BUILD_BY_ARM
from redwingbank_bench.replay_load import PATTERNS
from redwingbank_bench.report import print_table, summarize

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from redwingbank_bench.options import Options

# If set, the plot is written to this file.
PLOT_VARIABLE = "REDWINGBANK_REPLAY_PLOT"


class Comparison(NamedTuple):
    """The patterns and arms that are compared.

    `replay` returns the figures of a pattern, an arm and a seed, named by `fields`; those in
    `plotted` are drawn, one panel each.
    """

    descriptions_by_pattern: Mapping[str, str]
    arms: Sequence[str]
    fields: Sequence[str]
    plotted: Sequence[str]
    replay: Callable[[str, str, int], Sequence[float]]


ROUTING = Comparison(
    {name: known.description for name, known in PATTERNS.items()},
    list(BUILD_BY_ARM),
    Figures._fields,
    ("worth", "worst_seconds", "worst_class"),
    lambda pattern, arm, seed: replay(pattern, seed, BUILD_BY_ARM[arm]),
)


async def measure(options: Options) -> dict[str, Any]:
    """Replay each pattern with each arm of the routing decisions."""
    return compare(ROUTING, options)


def compare(comparison: Comparison, options: Options) -> dict[str, Any]:
    """Replay each pattern with each arm, and return the spread of the figures over the seeds."""
    figures: dict[str, Any] = {}
    for pattern, description in comparison.descriptions_by_pattern.items():
        by_arm = {arm: _replay_seeds(comparison, pattern, arm, options) for arm in comparison.arms}
        rows = [
            [arm, *(summary["median"] for summary in by_name.values())]
            for arm, by_name in by_arm.items()
        ]
        print_table(f"{pattern}: {description}", ["arm", *comparison.fields], rows)
        figures[pattern] = by_arm
    path = os.environ.get(PLOT_VARIABLE, "")
    if path:
        _plot(comparison, figures, Path(path))
    return figures


def _replay_seeds(
    comparison: Comparison, pattern: str, arm: str, options: Options
) -> dict[str, dict[str, float]]:
    seeds = range(options.seed, options.seed + options.runs)
    columns = zip(*(comparison.replay(pattern, arm, seed) for seed in seeds), strict=True)
    return {
        name: summarize(column) for name, column in zip(comparison.fields, columns, strict=True)
    }


def _plot(comparison: Comparison, figures: Mapping[str, Any], path: Path) -> None:
    """Draw a bar for each pattern and arm, one panel a figure."""
    from matplotlib import pyplot  # noqa: PLC0415 - optional, and slow to import

    _, panels = pyplot.subplots(len(comparison.plotted), 1, figsize=(12, 9), sharex=True)
    width = 1 / (len(comparison.arms) + 1)
    for panel, name in zip(panels, comparison.plotted, strict=True):
        for index, arm in enumerate(comparison.arms):
            medians = [by_arm[arm][name]["median"] for by_arm in figures.values()]
            places = [place + index * width for place in range(len(medians))]
            panel.bar(places, medians, width, label=arm)
        panel.set_ylabel(name)
        panel.set_ylim(bottom=0)
    panels[0].legend(ncols=len(comparison.arms))
    panels[-1].set_xticks(range(len(figures)), list(figures), rotation=20)
    pyplot.tight_layout()
    pyplot.savefig(path)


__all__ = ["Comparison", "compare", "measure"]
