"""What every experiment is told."""

from __future__ import annotations

from typing import NamedTuple


class Options(NamedTuple):
    """The seed of the first run (each next has one more), runs, and seconds of load a run."""

    seed: int
    runs: int
    seconds: float


__all__ = ["Options"]
