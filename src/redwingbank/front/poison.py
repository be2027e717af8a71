"""Blocks requests that crash each backend server that runs them, whole or by a prompt part."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.rules.answer_proof import PROOF_BY_KIND, proved_traits
from redwingbank.rules.common_cause import CrashGroups
from redwingbank.rules.crash_causes import CrashCauses, LostRun
from redwingbank.rules.crash_proof import PROOF_BY_SIGN, ServerSign
from redwingbank.rules.undecided_losses import UndecidedLosses

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from redwingbank.decisions import DecisionLog
    from redwingbank.front.values import PromptPart
    from redwingbank.intake.body import RequestBody
    from redwingbank.rules.answer_proof import AnswerKind

# Within this time a crashed server becomes unreachable or its entry is removed from the store.
CRASH_DETECTION_S = 3.0
# Old losses are dropped beyond this number of servers.
MAX_LOST_SERVERS = 1000
# A clearance is told again this often, and for so long.
REPEAT_S = 3.0
REPEAT_FOR_S = 10.0
# News of a crash may take this much less time than those of a clearance that followed it.
TRANSIT_S = 0.1
FINGERPRINT_BYTES = 12
PART_FINGERPRINT_BYTES = 8


class CrashNews(NamedTuple):
    """A request crashed a server after running for `ran_s`, or proved harmless, `ago_s` ago.

    It is `cleared` in the second case, of all crashes before, and its fingerprint is that of a
    request or of a part. `parts` are the fingerprints of its shared prompt parts, from the last to
    the first.
    """

    fingerprint: str
    ran_s: float = 0.0
    cleared: bool = False
    server: str = ""
    parts: tuple[str, ...] = ()
    ago_s: float = 0.0


class PoisonTracker:
    """Counts the servers that requests have crashed in a row, over all hosts.

    The traits of a request are its fingerprint, which stands for its path, organisation and body,
    and the fingerprints of the shared parts of its prompt; `CrashCauses` decides which of them
    are blocked. A lost answer counts as a crash once its server is known to be down; while a host
    can't tell, it is undecided, and traits that would be blocked for it are held. An answer
    clears the traits that it proves harmless (`rules.answer_proof`). `broadcast` sends
    crashes and clearances to the other hosts; `on_blocked` and `on_cleared` receive the traits
    that this host blocked or cleared, `on_cleared_elsewhere` those that another host cleared.

    >>> poison = PoisonTracker(lambda news: None, None)
    >>> for server, sent_s in (("i-1", 0.0), ("i-2", 1.0), ("i-3", 2.0)):
    ...     poison.answer_lost(server, ("f",), sent_s, sent_s + 0.1)
    ...     poison.server_down(server, sent_s + 0.2)
    >>> poison.find_blocked(("f",), 3.0)
    'f'
    """

    def __init__(self, broadcast: Callable[[CrashNews], None], log: DecisionLog | None) -> None:
        self.causes = CrashCauses()
        self.on_blocked: Callable[[str], None] | None = None
        self.on_cleared: Callable[[str], None] | None = None
        self.on_cleared_elsewhere: Callable[[str], None] | None = None
        self._broadcast = broadcast
        self._log = log
        self._lost_by_server: dict[str, list[LostRun]] = {}
        self._undecided = UndecidedLosses()
        self._own_losses = CrashGroups()
        self._own_loss_by_server: dict[str, tuple[int, float]] = {}
        self._own_count = 0
        # when this host's answers proved traits harmless that others may still count crashes of
        self._proved_s_by_trait: dict[str, float] = {}
        self._repeated_s = float("-inf")

    def find_blocked(self, traits: tuple[str, ...], now_s: float) -> str:
        """Return the trait for which a request must not be sent, or an empty string."""
        return self.causes.find_blocked(traits, now_s)

    def find_held(self, traits: tuple[str, ...], now_s: float) -> str:
        """Return the trait that undecided losses would block, or an empty string."""
        return self._undecided.find_held(traits, self.causes, now_s)

    def has_losses(self, server: str, now_s: float) -> bool:
        """Whether answers that a server lost may be due to a crash of it."""
        lost = self._lost_by_server.get(server, ())
        return server in self._undecided or any(self._counts(run, now_s) for run in lost)

    def is_undecided(self, server: str) -> bool:
        """Whether it is not known yet if a server that lost answers has crashed."""
        return server in self._undecided

    def answer_lost(
        self, server: str, traits: tuple[str, ...], sent_s: float, now_s: float
    ) -> None:
        """Record that a request lost its connection to a server."""
        run = LostRun(traits, server, sent_s, now_s)
        self._own_losses.add(self._number_own_loss(run), traits, sent_s, now_s)
        if server in self._undecided:
            self._undecided.add(run)
            return
        lost = self._lost_by_server.setdefault(server, [])
        lost[:] = [run for run in lost if self._counts(run, now_s)]
        lost.append(run)
        if len(self._lost_by_server) > MAX_LOST_SERVERS:
            self._forget_old_losses(now_s)

    def server_down(
        self, server: str, now_s: float, sign: ServerSign = ServerSign.UNLISTED
    ) -> None:
        """Count a server's crash against the requests that lost a connection to it.

        Losses that are not undecided must be recent; `sign` is what the server has shown.
        """
        recent = [run for run in self._lost_by_server.pop(server, ()) if self._counts(run, now_s)]
        undecided = self._undecided.pop(server)
        if self._log and (recent or undecided):
            self._log.essential(
                "crash-proved",
                server=server,
                losses=len(recent + undecided),
                reason=PROOF_BY_SIGN[sign].reason,
            )
        for run in recent + undecided:
            if self._may_be_cause(run):
                self._record_crash(run, now_s)
                fingerprint, *parts = run.traits
                news = CrashNews(
                    fingerprint,
                    run.lost_s - run.sent_s,
                    server=server,
                    parts=tuple(parts),
                    ago_s=now_s - run.lost_s,
                )
                self._broadcast(news)

    def suspend_blame(self, server: str, now_s: float) -> None:
        """Keep the recent losses at a server until it is known whether it crashed."""
        runs = [run for run in self._lost_by_server.pop(server, ()) if self._counts(run, now_s)]
        for run in runs:
            self._undecided.add(run)
        if self._log and runs:
            self._log.essential("crash-undecided", server=server, losses=len(runs))

    def drop_losses(self, server: str, sign: ServerSign) -> None:
        """Forget the losses at a server that has not crashed."""
        self._lost_by_server.pop(server, None)
        self._record_doubts(self._undecided.pop(server), PROOF_BY_SIGN[sign].reason)

    def refute_crash(self, server: str, until_s: float, now_s: float) -> None:
        """Take back that a server has crashed, which answers from the start it had.

        Blocks that fall with that are lifted at all hosts.
        """
        lifted = self.causes.refute_crash(server, until_s)
        if self._log:
            self._log.essential("crash-refuted", server=server, lifted=lifted)
        for trait in lifted:
            self._tell_cleared(trait, now_s)

    def answered(
        self, traits: tuple[str, ...], kind: AnswerKind, server: str, now_s: float
    ) -> tuple[str, ...]:
        """Clear the traits of a request that an answer proves to crash no server; return them."""
        proved = proved_traits(kind, traits)
        if proved:
            self._record_doubts(self._undecided.clear(proved), PROOF_BY_KIND[kind].reason)
        for trait in traits[len(proved) :]:
            if self.causes.knows(trait) and self._log:
                self._log.detail(
                    "crash-kept",
                    fingerprint=trait,
                    in_a_row=self.causes.count_in_a_row(trait),
                    answer=kind.name.lower(),
                    server=server,
                    reason=PROOF_BY_KIND[kind].reason,
                )
        for trait in filter(self.causes.knows, proved):
            self._clear(trait, now_s, now_s, answer=kind.name.lower(), server=server)
            self._tell_cleared(trait, now_s)
        return proved

    def _tell_cleared(self, trait: str, now_s: float) -> None:
        """Tell the other hosts and the store that a trait is cleared."""
        self._proved_s_by_trait[trait] = now_s
        self._broadcast(CrashNews(trait, cleared=True))
        if self.on_cleared:
            self.on_cleared(trait)

    def expire(self, now_s: float) -> None:
        """Tell recent clearances again, since hosts may be cut off; call it every 0.1 s or so."""
        if now_s - self._repeated_s < REPEAT_S:
            return
        self._repeated_s = now_s
        self._proved_s_by_trait = {
            trait: proved_s
            for trait, proved_s in self._proved_s_by_trait.items()
            if now_s - proved_s <= REPEAT_FOR_S
        }
        for trait, proved_s in self._proved_s_by_trait.items():
            self._broadcast(CrashNews(trait, cleared=True, ago_s=now_s - proved_s))

    def _record_doubts(self, runs: list[LostRun], reason: str) -> None:
        """Log the losses for which no request is to blame, and what shows it."""
        for run in runs:
            if self._log:
                self._log.essential(
                    "crash-doubted", fingerprint=run.traits[0], server=run.server, reason=reason
                )

    def _clear(self, trait: str, proved_s: float, now_s: float, **source: str) -> None:
        """Clear a trait; log what was counted against it, and what shows that it is harmless."""
        crashes, blocked = self.causes.count_in_a_row(trait), self.find_blocked((trait,), now_s)
        if self.causes.clear((trait,), proved_s) and self._log:
            self._log.essential(
                "crash-cleared",
                fingerprint=trait,
                in_a_row=crashes,
                blocked=bool(blocked),
                **source,
            )

    def handle_crash_news(self, news: CrashNews, now_s: float) -> None:
        """Apply a crash or clearance reported by another host."""
        if news.cleared:
            trait, proved_s = news.fingerprint, now_s - news.ago_s + TRANSIT_S
            if self.causes.knows(trait):
                self._clear(trait, proved_s, now_s, answer="told by another host")
            if now_s - news.ago_s <= self._proved_s_by_trait.get(trait, now_s):
                # the host that cleared it first repeats it
                self._proved_s_by_trait.pop(trait, None)
            if self.on_cleared_elsewhere and not self.find_blocked((trait,), now_s):
                self.on_cleared_elsewhere(trait)
            return
        lost_s = now_s - news.ago_s
        traits = (news.fingerprint, *news.parts)
        self._record_crash(LostRun(traits, news.server, lost_s - news.ran_s, lost_s), now_s)

    def _counts(self, run: LostRun, now_s: float) -> bool:
        return now_s - run.lost_s < CRASH_DETECTION_S

    def _number_own_loss(self, run: LostRun) -> int:
        known = self._own_loss_by_server.get(run.server)
        if known and run.lost_s - known[1] < CRASH_DETECTION_S:
            return known[0]
        self._own_count += 1
        self._own_loss_by_server.pop(run.server, None)
        self._own_loss_by_server[run.server] = (self._own_count, run.lost_s)
        if len(self._own_loss_by_server) > MAX_LOST_SERVERS:
            del self._own_loss_by_server[next(iter(self._own_loss_by_server))]
        return self._own_count

    def _may_be_cause(self, run: LostRun) -> bool:
        """Whether a trait of the run explains all that this host lost at the same moment.

        If none does, the cause may be this host's own way to the servers.
        """
        number = self._number_own_loss(run)
        return any(not self._own_losses.is_common(number, trait, ()) for trait in run.traits)

    def _forget_old_losses(self, now_s: float) -> None:
        self._lost_by_server = {
            server: lost
            for server, lost in self._lost_by_server.items()
            if self._counts(lost[-1], now_s)
        }

    def _record_crash(self, run: LostRun, now_s: float) -> None:
        blocked = self.causes.record(run, now_s)
        if self._log:
            self._log.essential(
                "crash-blamed",
                fingerprint=run.traits[0],
                parts=run.traits[1:],
                server=run.server,
                in_a_row=self.causes.count_in_a_row(run.traits[0]),
                parts_in_a_row=[self.causes.count_in_a_row(part) for part in run.traits[1:]],
            )
        for trait in blocked:
            if self._log:
                self._log.essential("poison-blocked", fingerprint=trait)
            if self.on_blocked:
                self.on_blocked(trait)
        for trait in self.causes.pop_refuted():
            if self._log:
                self._log.essential("poison-unblocked", fingerprint=trait, reason="common cause")
            if self.on_cleared:
                self.on_cleared(trait)


def request_traits(
    target: bytes, organisation: str, body: RequestBody, parts: Iterable[PromptPart]
) -> tuple[str, ...]:
    """Return what may make a request crash servers, from the narrowest to the widest.

    `parts` are the shared parts of its prompt in order.
    """
    return request_fingerprint(target, organisation, body), *part_fingerprints(parts)


def request_fingerprint(target: bytes, organisation: str, body: RequestBody) -> str:
    """Hash the target, the organisation and the body of a request.

    >>> from redwingbank.intake.body import RequestBody
    >>> first = request_fingerprint(b"/memo/x", "bakery", RequestBody())
    >>> first == request_fingerprint(b"/memo/x", "bakery", RequestBody.of(b"a"))
    False
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (target, organisation.encode()):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    digest.update(len(body).to_bytes(8, "big"))
    for block in body.blocks():
        digest.update(block)
    return digest.hexdigest()


def part_fingerprints(parts: Iterable[PromptPart]) -> tuple[str, ...]:
    """Hash the names of prompt parts, which callers may make long, from the last to the first."""
    names = reversed(dict.fromkeys(part.name for part in parts))
    return tuple(
        hashlib.blake2b(name.encode(), digest_size=PART_FINGERPRINT_BYTES).hexdigest()
        for name in names
    )


__all__ = [
    "CrashNews",
    "PoisonTracker",
    "part_fingerprints",
    "request_fingerprint",
    "request_traits",
]
