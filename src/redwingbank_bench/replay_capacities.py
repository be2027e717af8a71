"""The experiment `servers`: decisions on the number of servers, as a table and a plot."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from redwingbank_bench.replay_capacity import CapacityFigures, CapacityReplay
from redwingbank_bench.replay_capacity_arms import BUILD_BY_CAPACITY_ARM
from redwingbank_bench.replay_capacity_load import CAPACITY_PATTERNS
from redwingbank_bench.replays import Comparison, compare

if TYPE_CHECKING:
    from redwingbank_bench.options import Options


def replay_servers(pattern: str, arm: str, seed: int) -> CapacityFigures:
    """Replay one pattern with one arm."""
    known = CAPACITY_PATTERNS[pattern]
    return CapacityReplay(known, seed, BUILD_BY_CAPACITY_ARM[arm]()).run(seed)


SERVERS = Comparison(
    {name: known.description for name, known in CAPACITY_PATTERNS.items()},
    list(BUILD_BY_CAPACITY_ARM),
    CapacityFigures._fields,
    ("in_time", "worst_seconds", "price"),
    replay_servers,
)


async def measure(options: Options) -> dict[str, Any]:
    """Replay each pattern with each arm of the decision on the number of servers."""
    return compare(SERVERS, options)


__all__ = ["measure", "replay_servers"]
