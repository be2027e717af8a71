"""What a soak does: its seed, its length, its hosts, and what happens to them."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from redwingbank_bench.soakproxy import CUT_MODES

if TYPE_CHECKING:
    from collections.abc import Sequence

HOSTS = 3
# longer than hosts need to notice that they are cut off
CUT_S = (2.0, 5.0)
PAUSE_BETWEEN_FAULTS_S = (0.05, 0.8)
# without faults of servers, so that requests are forwarded most of the time
FORWARDING_FAULTS = ("cut", "pause", "kill", "term")
# what servers say of themselves, and prompts that crash them, beside faults of links and hosts
NEWER_FAULTS = ("crash part", "rest", "leaving", "limit")
# some more of them than of the others
FREQUENT_FAULTS = ("rest", "leaving", "crash part")
LONG_FAULTS = ("brittle", "leaving")
BESIDE_FAULTS = ("brittle", "cut", "server link", "pause", "kill", "term", "silent")


class Plan(NamedTuple):
    """A run with a seed and a number of fronts; 16 or more work as a large fleet.

    With `forwards` the first host is cut off from all servers most of the time, while all hosts
    end, freeze, and lose their servers, and servers spoil long streams. `cut_modes` are the ways
    in which hosts are cut off. Each start of a front is of one of `releases`, folders of source
    code; of the code that runs the soak if there are none. With `newer` servers rest, leave, name
    limits and crash by parts of prompts, and callers send again what was refused. With `crowd`
    clients that don't behave come and go, and hosts have little memory.
    """

    seed: int
    seconds: float
    hosts: int = HOSTS
    forwards: bool = False
    cut_modes: tuple[str, ...] = CUT_MODES
    releases: tuple[Path, ...] = ()
    newer: bool = False
    crowd: bool = False

    def faults(self, usual: tuple[str, ...]) -> tuple[str, ...]:
        """Return the names of the faults, of which the usual ones are given."""
        chosen = FORWARDING_FAULTS if self.forwards else BESIDE_FAULTS if self.newer else usual
        return chosen + (NEWER_FAULTS + FREQUENT_FAULTS if self.newer else ())


def parse_plan(arguments: Sequence[str]) -> Plan:
    """Return the plan that a command line asks for.

    >>> parse_plan(["7", "6", "4", "forwards"]).hosts
    4

    :raises ValueError: if an argument is none, or a folder holds no release
    """
    seed, seconds, *more = arguments
    plan = Plan(int(seed), float(seconds))
    for argument in more:
        name, _, value = argument.partition("=")
        if name == "forwards" and not value:
            plan = plan._replace(forwards=True)
        elif name == "newer" and not value:
            plan = plan._replace(newer=True)
        elif name == "crowd" and not value:
            plan = plan._replace(crowd=True)
        elif name == "releases":
            plan = plan._replace(releases=tuple(map(_release, value.split(","))))
        else:
            plan = plan._replace(hosts=int(argument))
    return plan


def _release(path: str) -> Path:
    """Return the folder of a release's source code.

    :raises ValueError: if it holds none
    """
    folder = Path(path).resolve()
    if not (folder / "redwingbank_bench" / "soakfront.py").is_file():
        raise ValueError(f"no source code of a release: {path}")
    return folder


__all__ = [
    "CUT_S",
    "HOSTS",
    "LONG_FAULTS",
    "NEWER_FAULTS",
    "PAUSE_BETWEEN_FAULTS_S",
    "Plan",
    "parse_plan",
]
