"""What a soak does: its seed, its length, its hosts, and what happens to them."""

from __future__ import annotations

from typing import NamedTuple

from redwingbank_bench.soakproxy import CUT_MODES

HOSTS = 3
# longer than hosts need to notice that they are cut off
CUT_S = (2.0, 5.0)
PAUSE_BETWEEN_FAULTS_S = (0.05, 0.8)
# without faults of servers, so that requests are forwarded most of the time
FORWARDING_FAULTS = ("cut", "pause", "kill", "term")


class Plan(NamedTuple):
    """A run with a seed and a number of fronts; 16 or more work as a large fleet.

    With `forwards` the first host is cut off from all servers most of the time, while all hosts
    end, freeze, and lose their servers. `cut_modes` are the ways in which hosts are cut off.
    """

    seed: int
    seconds: float
    hosts: int = HOSTS
    forwards: bool = False
    cut_modes: tuple[str, ...] = CUT_MODES


__all__ = ["CUT_S", "FORWARDING_FAULTS", "HOSTS", "PAUSE_BETWEEN_FAULTS_S", "Plan"]
