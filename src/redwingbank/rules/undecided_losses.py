"""Losses at servers that may have crashed, until the servers show whether they did.

Answers requests that crash their servers while a host doubts its way to the pool: they are not
sent again before it is known, though nothing is blocked without a proof.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from redwingbank.rules.crash_causes import CrashCauses

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from redwingbank.rules.crash_causes import LostRun

# Bounds of what is kept; the oldest losses and servers go first.
MAX_RUNS_PER_SERVER = 8
MAX_SERVERS = 1000
# Of more servers than these the newest decide what is held.
MAX_SERVERS_WEIGHED = 6
# What is held is found out again at most this often: it takes some milliseconds, and a cut loses
# many answers at once.
WEIGH_CHANGED_S = 0.1
# Crashes that other hosts tell of count as well.
WEIGH_AGAIN_S = 0.5


class UndecidedLosses:
    """The newest losses at each server that has shown nothing yet, however long that takes.

    A trait is held if it would be blocked were each of these losses a crash. Only the newest
    losses decide that, so that it costs little while many servers are lost.

    >>> from redwingbank.rules.crash_causes import LostRun
    >>> losses = UndecidedLosses()
    >>> for number in range(3):
    ...     losses.add(LostRun(("f",), f"i-{number}", float(number), number + 0.1))
    >>> losses.find_held(("f",), CrashCauses(), now_s=3.0)
    'f'
    >>> runs = losses.pop("i-1")
    >>> losses.find_held(("f",), CrashCauses(), now_s=4.0)
    ''
    """

    def __init__(self) -> None:
        self._runs_by_server: OrderedDict[str, list[LostRun]] = OrderedDict()
        # all traits of the losses, so that most answers need not look at these
        self._traits: set[str] = set()
        self._held: frozenset[str] = frozenset()
        self._changed = False
        self._weighed_s = float("-inf")

    def __contains__(self, server: str) -> bool:
        return server in self._runs_by_server

    def add(self, run: LostRun) -> None:
        """Keep a loss."""
        runs = self._runs_by_server.setdefault(run.server, [])
        self._runs_by_server.move_to_end(run.server)
        runs.append(run)
        self._traits.update(run.traits)
        del runs[:-MAX_RUNS_PER_SERVER]
        while len(self._runs_by_server) > MAX_SERVERS:
            self._runs_by_server.popitem(last=False)
        self._changed = True

    def pop(self, server: str) -> list[LostRun]:
        """Return the losses at a server, which are decided now."""
        self._changed = True
        runs = self._runs_by_server.pop(server, [])
        if not self._runs_by_server:
            self._traits.clear()
        return runs

    def clear(self, traits: Collection[str]) -> list[LostRun]:
        """Forget the losses of traits that an answer has proved harmless since.

        A request that is harmless itself has crashed no server, whatever its parts do; return
        those that are forgotten for that.
        """
        forgotten: list[LostRun] = []
        if self._traits.isdisjoint(traits):
            return forgotten
        self._traits.difference_update(traits)
        for server, runs in list(self._runs_by_server.items()):
            left = [_without(run, traits) for run in runs if run.traits[0] not in traits]
            if left == runs:
                continue
            self._changed = True
            forgotten += [run for run in runs if run.traits[0] in traits]
            if left:
                self._runs_by_server[server] = left
            else:
                del self._runs_by_server[server]
        return forgotten

    def find_held(self, traits: Iterable[str], causes: CrashCauses, now_s: float) -> str:
        """Return the first of the traits that is held, or an empty string.

        `causes` has the crashes that are proved.
        """
        if not self._runs_by_server:
            return ""
        if now_s - self._weighed_s >= (WEIGH_CHANGED_S if self._changed else WEIGH_AGAIN_S):
            self._held, self._changed, self._weighed_s = self._weigh(causes), False, now_s
        return next((trait for trait in traits if trait in self._held), "")

    def _weigh(self, causes: CrashCauses) -> frozenset[str]:
        newest = list(self._runs_by_server.values())[-MAX_SERVERS_WEIGHED:]
        undecided = [run for runs in newest for run in runs]
        traits = {trait for run in undecided for trait in run.traits}
        proved = {run for trait in traits for run in causes.runs(trait)}
        assumed = CrashCauses()
        for run in sorted(proved.union(undecided), key=lambda one: one.lost_s):
            assumed.record(run, run.lost_s)
        now_s = max(run.lost_s for run in undecided)
        return frozenset(traits.intersection(assumed.blocked(now_s)))


def _without(run: LostRun, traits: Collection[str]) -> LostRun:
    if not any(trait in traits for trait in run.traits):
        return run
    return run._replace(traits=tuple(trait for trait in run.traits if trait not in traits))


__all__ = ["UndecidedLosses"]
