"""Finds what the runs that a backend server's crash cuts off have in common."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.rules.common_cause import CrashGroups

if TYPE_CHECKING:
    from collections.abc import Sequence

# The platform requires that a cause is blocked after it has crashed three servers.
CRASHES_TO_BLOCK = 3
# A cause that another one explains equally well is blocked after this many crashes.
CRASHES_TO_BLOCK_CONTESTED = 5
BLOCK_S = 600.0
# A block is short if other servers went down beside the crashes that it rests on.
WEAK_BLOCK_S = 60.0
# Older crashes no longer count; longer than a block, so that one crash renews an expired block.
TRACK_S = 2 * BLOCK_S
# Hosts notice a crash at different times; a server takes longer than this to start again.
SAME_CRASH_S = 3.0
# Bounds of the tracked state; the oldest entries are dropped first.
MAX_TRACKED_TRAITS = 2000
MAX_RUNS_PER_TRAIT = 16
MAX_CRASHES = 1000
MAX_BLOCKED = 1000
ALWAYS_S = float("inf")


class LostRun(NamedTuple):
    """A run that a crash cut off before it proved itself harmless.

    `traits` identify what may have caused the crash, from the narrowest to the widest: the whole
    request, then the shared parts of its prompt from the last to the first. Times are seconds on
    the host's monotonic clock.
    """

    traits: tuple[str, ...]
    server: str
    sent_s: float
    lost_s: float


class _CountedRun(NamedTuple):
    """A lost run and the number of the crash that cut it off."""

    crash: int
    run: LostRun


class _Block(NamedTuple):
    """When a trait was blocked, and until when; `evidence` is empty if the store told of it."""

    since_s: float
    until_s: float
    evidence: Sequence[_CountedRun] = ()


class CrashCauses:
    """Counts crashes by trait and blocks the traits that cause them.

    A trait is suspected after `CRASHES_TO_BLOCK` crashes in a row: each run began after the crash
    before, and no run with the trait proved harmless in between. Crashes at the same time thus
    count once. A suspect is blocked unless another trait explains the same crashes. Of traits in
    the same runs the narrowest is blocked first; a wider one follows if the crashes go on without
    the narrower one. Where traits of different runs were present at the same crashes, nothing is
    blocked until one of them proves harmless or crashes go on. Crashes of servers that went down
    together count only for a trait that explains them all (`CrashGroups`).

    >>> causes = CrashCauses()
    >>> for number in range(3):
    ...     sent_s = float(number)
    ...     run = LostRun((f"request-{number}", "part"), f"i-{number}", sent_s, sent_s + 0.1)
    ...     blocked = causes.record(run, sent_s + 0.2)
    >>> blocked
    ['part']
    >>> causes.find_blocked(("request-9", "part"), 3.0)
    'part'
    """

    def __init__(self) -> None:
        self._runs_by_trait: OrderedDict[str, list[_CountedRun]] = OrderedDict()
        self._last_crash_by_server: OrderedDict[str, tuple[int, float]] = OrderedDict()
        self._crashes = 0
        self._groups = CrashGroups()
        self._cause_by_crash: OrderedDict[int, str] = OrderedDict()
        # when the last crash of the refuted evidence was
        self._refuted_s_by_trait: OrderedDict[str, float] = OrderedDict()
        self._block_by_trait: OrderedDict[str, _Block] = OrderedDict()

    def record(self, run: LostRun, now_s: float) -> list[str]:
        """Count a crash against the traits of a run; return the traits that are now blocked."""
        counted = _CountedRun(self._number_crash(run), run)
        self._groups.add(counted.crash, run.traits, run.sent_s, run.lost_s)
        for trait in run.traits:
            runs = self._runs_by_trait.setdefault(trait, [])
            self._runs_by_trait.move_to_end(trait)
            runs.append(counted)
            runs.sort(key=_lost_s)
            runs[:] = [one for one in runs if now_s - one.run.lost_s < TRACK_S]
            del runs[:-MAX_RUNS_PER_TRAIT]
        while len(self._runs_by_trait) > MAX_TRACKED_TRAITS:
            self._runs_by_trait.popitem(last=False)
        known = self.find_blocked(run.traits, now_s)
        if known:
            self._explain(counted.crash, known)
        return self._block_causes(run.traits, now_s)

    def knows(self, trait: str) -> bool:
        """Whether crashes are counted against a trait, or it is blocked."""
        return trait in self._runs_by_trait or trait in self._block_by_trait

    def clear(self, traits: tuple[str, ...], proved_s: float = ALWAYS_S) -> list[str]:
        """Clear the traits of a run that proved harmless; return those that had been counted.

        The proof is of `proved_s`, on the host's clock: later crashes stay, and a block if they
        suffice for it, or if it is known without its crashes and came later.
        """
        return [trait for trait in traits if self._forget(trait, proved_s)]

    def block(self, trait: str, now_s: float, block_s: float = BLOCK_S) -> None:
        """Block a trait; the crashes that it was present at no longer count for others."""
        self._block_by_trait[trait] = _Block(now_s, now_s + block_s)
        self._refuted_s_by_trait.pop(trait, None)
        while len(self._block_by_trait) > MAX_BLOCKED:
            self._block_by_trait.popitem(last=False)
        for counted in self._runs_by_trait.get(trait, ()):
            self._explain(counted.crash, trait)

    def unblock(self, trait: str) -> None:
        """Lift the block of a trait and forget its crashes."""
        self._forget(trait)

    def find_blocked(self, traits: tuple[str, ...], now_s: float) -> str:
        """Return the first of the traits that is blocked, or an empty string."""
        return next((trait for trait in traits if self.seconds_left(trait, now_s)), "")

    def seconds_left(self, trait: str, now_s: float) -> float:
        """Return for how long a trait will be blocked, 0.0 if it is not."""
        block = self._block_by_trait.get(trait)
        return max(0.0, block.until_s - now_s) if block else 0.0

    def blocked(self, now_s: float) -> list[str]:
        """List the blocked traits."""
        return [trait for trait, block in self._block_by_trait.items() if block.until_s > now_s]

    def pop_expired(self, now_s: float) -> list[str]:
        """Lift the blocks that have run out; one more crash renews them."""
        expired = [
            trait for trait, block in self._block_by_trait.items() if block.until_s <= now_s
        ]
        for trait in expired:
            del self._block_by_trait[trait]
        return expired

    def pop_refuted(self) -> list[str]:
        """Lift the blocks whose crashes turned out to have a cause in common with others."""
        refuted = {
            trait: block.evidence[-1].run.lost_s
            for trait, block in self._block_by_trait.items()
            if block.evidence
            and _count_in_a_row(self._without_common(trait, block.evidence)) < CRASHES_TO_BLOCK
        }
        for trait, lost_s in refuted.items():
            self._forget(trait)
            self._refuted_s_by_trait[trait] = lost_s
        while len(self._refuted_s_by_trait) > MAX_BLOCKED:
            self._refuted_s_by_trait.popitem(last=False)
        return list(refuted)

    def refute_crash(self, server: str, until_s: float) -> list[str]:
        """Forget the crashes of a server that has not crashed by then; return the lifted blocks.

        A block falls whose other crashes don't suffice for it.
        """
        lifted = []
        for trait, runs in list(self._runs_by_trait.items()):
            left = [one for one in runs if not _is_crash_of(server, until_s, one)]
            if len(left) == len(runs):
                continue
            if left:
                self._runs_by_trait[trait] = left
            else:
                del self._runs_by_trait[trait]
            block = self._block_by_trait.get(trait)
            if block is None or not block.evidence:
                continue
            evidence = [one for one in block.evidence if not _is_crash_of(server, until_s, one)]
            if _count_in_a_row(evidence) >= CRASHES_TO_BLOCK:
                self._block_by_trait[trait] = block._replace(evidence=evidence)
            else:
                self._forget(trait)
                lifted.append(trait)
        return lifted

    def refutes(self, trait: str, now_s: float) -> bool:
        """Whether crashes that would do for a block of a trait have a cause in common with others.

        A host whose rules don't look for that may have blocked it.
        """
        if now_s - self._refuted_s_by_trait.get(trait, float("-inf")) < WEAK_BLOCK_S:
            return True
        runs = self._unexplained(trait)
        counts = map(_count_in_a_row, (runs, self._without_common(trait, runs)))
        return [count >= CRASHES_TO_BLOCK for count in counts] == [True, False]

    def runs(self, trait: str) -> list[LostRun]:
        """List the lost runs that are counted against a trait."""
        return [counted.run for counted in self._runs_by_trait.get(trait, ())]

    def is_part(self, trait: str) -> bool:
        """Whether a trait is a part of a prompt, as far as its lost runs tell."""
        return any(trait in run.traits[1:] for run in self.runs(trait))

    def has_rival_part(self, traits: tuple[str, ...]) -> bool:
        """Whether a part of other requests was present at all crashes of the narrowest trait.

        The newest crash does not count, since the news of other runs may be on their way.
        """
        crashes = [counted.crash for counted in self._runs_by_trait.get(traits[0], ())]
        earlier = set(crashes) - set(crashes[-1:])
        return bool(earlier) and any(
            earlier <= {counted.crash for counted in runs}
            and all(part in counted.run.traits[1:] for counted in runs)
            for part, runs in self._runs_by_trait.items()
            if part not in traits
        )

    def count_in_a_row(self, trait: str) -> int:
        """Count the crashes in a row that no blocked trait explains."""
        return _count_in_a_row(self._without_common(trait, self._unexplained(trait)))

    def _explain(self, crash: int, cause: str) -> None:
        self._cause_by_crash.setdefault(crash, cause)
        while len(self._cause_by_crash) > MAX_CRASHES:
            self._cause_by_crash.popitem(last=False)

    def _block_causes(self, traits: tuple[str, ...], now_s: float) -> list[str]:
        blocked = []
        for trait in traits:
            runs = self._without_common(trait, self._unexplained(trait))
            if trait not in self._block_by_trait and self._is_cause(trait, runs):
                self.block(trait, now_s, self._term_s(runs))
                self._block_by_trait[trait] = self._block_by_trait[trait]._replace(evidence=runs)
                blocked.append(trait)
        return blocked

    def _is_cause(self, trait: str, runs: list[_CountedRun]) -> bool:
        return _count_in_a_row(runs) >= CRASHES_TO_BLOCK and not self._is_contested(trait, runs)

    def _without_common(self, trait: str, runs: Sequence[_CountedRun]) -> list[_CountedRun]:
        """Leave out the crashes of servers that went down together, whatever they ran."""
        explained = self._cause_by_crash
        return [one for one in runs if not self._groups.is_common(one.crash, trait, explained)]

    def _term_s(self, runs: list[_CountedRun]) -> float:
        newest = list(dict.fromkeys(one.crash for one in runs))[-CRASHES_TO_BLOCK:]
        return BLOCK_S if all(map(self._groups.is_single, newest)) else WEAK_BLOCK_S

    def _unexplained(self, trait: str) -> list[_CountedRun]:
        """List the runs that count against a trait.

        Crashes of another, blocked trait don't count, but for one of each narrower trait of the
        same runs: several of these point to what they have in common.
        """
        runs, narrower = list[_CountedRun](), set[str]()
        for counted in self._runs_by_trait.get(trait, ()):
            cause, traits = self._cause_by_crash.get(counted.crash, trait), counted.run.traits
            if cause in traits[: traits.index(trait)] and cause not in narrower:
                narrower.add(cause)
                runs.append(counted)
            elif cause == trait:
                runs.append(counted)
        return runs

    def _is_contested(self, trait: str, runs: list[_CountedRun]) -> bool:
        """Whether another trait was present at all of the crashes, or at all but one.

        The news of the last crash may have come for one of them only. A narrower trait of the
        same runs goes first; one of other runs counts up to `CRASHES_TO_BLOCK_CONTESTED` crashes.
        """
        crashes = {counted.crash for counted in runs}
        if _count_in_a_row(runs) >= CRASHES_TO_BLOCK_CONTESTED:
            rivals = _narrower(trait, runs)
        else:
            wider = {other for counted in runs for other in counted.run.traits}
            rivals = self._runs_by_trait.keys() - wider | _narrower(trait, runs)
        return any(
            len(crashes & {counted.crash for counted in self._unexplained(rival)})
            >= len(crashes) - 1
            for rival in rivals - self._block_by_trait.keys()
        )

    def _number_crash(self, run: LostRun) -> int:
        """Return the number of the crash that cut off a run, the same for all of its runs."""
        known = self._last_crash_by_server.get(run.server)
        if known and run.server and abs(run.lost_s - known[1]) < SAME_CRASH_S:
            return known[0]
        self._crashes += 1
        self._last_crash_by_server[run.server] = (self._crashes, run.lost_s)
        self._last_crash_by_server.move_to_end(run.server)
        while len(self._last_crash_by_server) > MAX_CRASHES:
            self._last_crash_by_server.popitem(last=False)
        return self._crashes

    def _forget(self, trait: str, until_s: float = ALWAYS_S) -> bool:
        """Forget the crashes up to a moment, and a block that they brought."""
        if self._outlasts(trait, until_s):
            return False
        runs = self._runs_by_trait.pop(trait, [])
        later = [one for one in runs if one.run.lost_s > until_s]
        if later:
            self._runs_by_trait[trait] = later
        block = self._block_by_trait.pop(trait, None)
        if block:
            for crash in [one for one, cause in self._cause_by_crash.items() if cause == trait]:
                del self._cause_by_crash[crash]
        return len(later) < len(runs) or block is not None

    def _outlasts(self, trait: str, until_s: float) -> bool:
        """Whether a trait stays blocked without the crashes up to a moment."""
        block = self._block_by_trait.get(trait)
        if block is None:
            return False
        if not block.evidence:
            return block.since_s > until_s
        later = [one for one in block.evidence if one.run.lost_s > until_s]
        return _count_in_a_row(later) >= CRASHES_TO_BLOCK


def _narrower(trait: str, runs: list[_CountedRun]) -> set[str]:
    """Return the traits of the runs that are narrower than one of them."""
    return {
        other
        for counted in runs
        for other in counted.run.traits[: counted.run.traits.index(trait)]
    }


def _is_crash_of(server: str, until_s: float, counted: _CountedRun) -> bool:
    return counted.run.server == server and counted.run.lost_s <= until_s


def _lost_s(counted: _CountedRun) -> float:
    return counted.run.lost_s


def _count_in_a_row(runs: list[_CountedRun]) -> int:
    """Count the crashes, in order of time, whose run began after the previously counted crash."""
    count, last_s, crashes = 0, float("-inf"), set[int]()
    for crash, run in runs:
        if run.sent_s >= last_s and crash not in crashes:
            count, last_s = count + 1, run.lost_s
            crashes.add(crash)
    return count


__all__ = ["BLOCK_S", "CrashCauses", "LostRun"]
