"""Options that all experiments share."""

from __future__ import annotations

from typing import NamedTuple


class Options(NamedTuple):
    """The seed of the first run, the number of runs, and seconds of load per run.

    Each further run has the next seed.
    """

    seed: int
    runs: int
    seconds: float


__all__ = ["Options"]
