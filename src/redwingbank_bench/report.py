"""Statistics and output of the experiments."""

from __future__ import annotations

import json
import statistics
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence


def quantile(values: Iterable[float], fraction: float) -> float:
    """Return the smallest value that `fraction` of all values don't exceed; 0.0 if empty.

    >>> quantile([4.0, 1.0, 2.0, 3.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    index = -int(-fraction * len(ordered) // 1) - 1
    return ordered[max(0, min(index, len(ordered) - 1))]


def summarize(values: Sequence[float]) -> dict[str, float]:
    """Return the median, least and largest value over the runs."""
    if not values:
        return {"median": 0.0, "least": 0.0, "largest": 0.0}
    return {
        "median": _round(statistics.median(values)),
        "least": _round(min(values)),
        "largest": _round(max(values)),
    }


def _round(value: float) -> float:
    return float(f"{value:.4g}")


def print_table(title: str, headings: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print a table; each column is as wide as its widest cell."""
    cells = [list(headings), *([_cell(value) for value in row] for row in rows)]
    widths = [max(len(row[index]) for row in cells) for index in range(len(headings))]
    print(f"\n{title}")
    for row in cells:
        print("  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)))


def _cell(value: Any) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def print_figures(figures: dict[str, Any]) -> None:
    """Print the figures as one line of JSON."""
    print(json.dumps(figures, separators=(",", ":")), flush=True)


__all__ = ["print_figures", "print_table", "quantile", "summarize"]
