"""Poison requests: those that crash each backend server that runs them."""

from __future__ import annotations

from collections import OrderedDict
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.messages import Notice
from redwingbank.model import Outcome

if TYPE_CHECKING:
    from redwingbank.model import Request

DEFAULT_TTL_S = 600.0
SUSPECT_TTL_S = 120.0
CLEARED_TTL_S = 30.0
SAME_CRASH_S = 5.0
TRIAL_WAIT_S = 5.0
CRASHES_TO_QUARANTINE = 2
MOST_CASES = 10_000
SUBJECT_SEPARATOR = "@"


class Kind(StrEnum):
    """Kinds of notices about fingerprints."""

    SUSPECT = "suspect"
    CLEARED = "cleared"
    QUARANTINED = "quarantined"
    RELEASED = "released"


class Free(NamedTuple):
    """Nothing is held against the fingerprint."""


class Suspect(NamedTuple):
    """It may run once more: alone among suspects, at a server out of `avoid`."""

    avoid: frozenset[str]


class Quarantined(NamedTuple):
    """It may not run for now: `proven`, or tried elsewhere at the moment."""

    retry_after_s: float
    proven: bool


Verdict = Free | Suspect | Quarantined


class Case(NamedTuple):
    """What is held against a fingerprint, for operators; `servers` crashed under it."""

    fingerprint: str
    state: str
    servers: tuple[str, ...]
    seconds_left: float


class _Running(NamedTuple):
    """A request in flight at a server."""

    fingerprint: str
    started_s: float


class _Crash(NamedTuple):
    """A crash a fingerprint was in flight at; `origin` is the host that saw it."""

    server: str
    at_s: float
    origin: str

    def same(self, other: _Crash) -> bool:
        """Tell whether two hosts saw one crash."""
        return self.server == other.server and abs(self.at_s - other.at_s) < SAME_CRASH_S


class _Case:
    """Crashes held against a fingerprint, and until when it is in quarantine."""

    def __init__(self) -> None:
        self.crashes: list[_Crash] = []
        self.quarantined_until_s = float("-inf")
        self.cleared_s = float("-inf")
        self.tried_until_s = float("-inf")

    def add(self, crash: _Crash) -> bool:
        """Hold a crash against it, once however many hosts saw it; tell whether it is new."""
        if crash.at_s <= self.cleared_s:
            return False
        if any(crash.same(known) for known in self.crashes):
            return False
        self.crashes.append(crash)
        return True

    def clear(self, at_s: float) -> None:
        """Drop what was held against it up to a time."""
        self.cleared_s = max(self.cleared_s, at_s)
        self.crashes = [crash for crash in self.crashes if crash.at_s > at_s]

    def expire(self, now_s: float) -> None:
        """Drop crashes that are too old to count."""
        self.crashes = [crash for crash in self.crashes if now_s - crash.at_s < SUSPECT_TTL_S]

    def idle(self, now_s: float) -> bool:
        """Tell whether nothing would be lost by forgetting it."""
        kept = now_s < self.quarantined_until_s or now_s < self.cleared_s + CLEARED_TTL_S
        return not self.crashes and not kept


class Quarantine:
    """Fingerprints that crash backend servers, counted over hosts and resends.

    What is in flight at a server when it crashes becomes suspect. A suspect runs once more,
    alone among suspects. If it finishes it is cleared; if its server crashes as well it is
    in quarantine for `ttl_s`, and whatever else shared its crashes is cleared. While a suspect
    is tried, no other host runs it. Notices carry all that to the other hosts; their time left
    dates them, so that they may come late and in any order.

    Times are seconds on the host's monotonic clock. Memory is bounded: the oldest cases go
    first.

    >>> quarantine = Quarantine("entry-1")
    >>> quarantine.verdict("a1b2", now_s=0.0)
    Free()
    """

    def __init__(
        self,
        host: str,
        ttl_s: float = DEFAULT_TTL_S,
        first_number: int = 0,
        limit: int = MOST_CASES,
    ) -> None:
        self._host = host
        self._ttl_s = ttl_s
        self._number = first_number
        self._limit = limit
        self._running_by_server: dict[str, dict[str, _Running]] = {}
        self._case_by_fingerprint: OrderedDict[str, _Case] = OrderedDict()

    def started(self, server: str, request: Request, now_s: float) -> list[Notice]:
        """Note a send; for a suspect the notices tell other hosts that it is being tried."""
        running = self._running_by_server.setdefault(server, {})
        running[request.request_id] = _Running(request.fingerprint, now_s)
        case = self._case_by_fingerprint.get(request.fingerprint)
        if case is None or not case.crashes:
            return []
        return [self._suspect(request.fingerprint, crash, now_s) for crash in case.crashes]

    def finished(
        self, server: str, request: Request, outcome: Outcome, now_s: float
    ) -> list[Notice]:
        """Note the end of a send: a whole answer clears, a crash counts as `crashed` does."""
        notices = self.crashed(server, now_s) if outcome is Outcome.CRASHED else []
        self._running_by_server.get(server, {}).pop(request.request_id, None)
        if not self._running_by_server.get(server):
            self._running_by_server.pop(server, None)
        case = self._case_by_fingerprint.get(request.fingerprint)
        if outcome is Outcome.DONE and case is not None and case.crashes:
            case.clear(now_s)
            notices.append(self._notice(Kind.CLEARED, request.fingerprint, CLEARED_TTL_S))
        return notices

    def crashed(self, server: str, now_s: float) -> list[Notice]:
        """Hold a server's crash against what was in flight there; one crash counts once."""
        crash = _Crash(server, now_s, self._host)
        running = self._running_by_server.get(server, {}).values()
        fingerprints = sorted({entry.fingerprint for entry in running if entry.fingerprint})
        notices: list[Notice] = []
        for fingerprint in fingerprints:
            if self._case(fingerprint).add(crash):
                notices.append(self._suspect(fingerprint, crash, now_s))
        for fingerprint in fingerprints:
            notices += self._judge(fingerprint, now_s)
        return notices

    def verdict(self, fingerprint: str, now_s: float) -> Verdict:
        """Tell whether a request with this fingerprint may run."""
        case = self._case_by_fingerprint.get(fingerprint)
        if case is None:
            return Free()
        case.expire(now_s)
        if now_s < case.quarantined_until_s:
            return Quarantined(case.quarantined_until_s - now_s, proven=True)
        if not case.crashes:
            return Free()
        wait_s = self._wait_s(fingerprint, case, now_s)
        if wait_s > 0:
            return Quarantined(wait_s, proven=False)
        crashed = {crash.server for crash in case.crashes}
        return Suspect(frozenset(crashed | self._servers_with_suspects()))

    def learn(self, notice: Notice, now_s: float) -> None:
        """Take a notice of another host; kinds that are not about fingerprints are ignored."""
        if notice.origin == self._host or notice.kind not in set(Kind):
            return
        _LEARN_BY_KIND[Kind(notice.kind)](self, notice, now_s)

    def release(self, fingerprint: str, now_s: float) -> list[Notice]:
        """Let a fingerprint run again, as an operator orders; tells the other hosts."""
        self._release(fingerprint, now_s)
        return [self._notice(Kind.RELEASED, fingerprint, self._ttl_s)]

    def listing(self, now_s: float) -> list[Case]:
        """Cases in force, by fingerprint."""
        rows = [
            _row(fingerprint, case, now_s)
            for fingerprint, case in sorted(self._case_by_fingerprint.items())
        ]
        return [row for row in rows if row.seconds_left > 0]

    def _wait_s(self, fingerprint: str, case: _Case, now_s: float) -> float:
        """Seconds until this host may try a suspect: while it is tried, none may."""
        if any(fingerprint in self._fingerprints_at(name) for name in self._running_by_server):
            return TRIAL_WAIT_S
        if all(crash.origin == self._host for crash in case.crashes):
            return 0.0
        return case.tried_until_s - now_s

    def _fingerprints_at(self, server: str) -> set[str]:
        running = self._running_by_server.get(server, {}).values()
        return {entry.fingerprint for entry in running}

    def _servers_with_suspects(self) -> set[str]:
        return {
            server
            for server in self._running_by_server
            if any(
                fingerprint in self._case_by_fingerprint
                and self._case_by_fingerprint[fingerprint].crashes
                for fingerprint in self._fingerprints_at(server)
            )
        }

    def _case(self, fingerprint: str) -> _Case:
        case = self._case_by_fingerprint.setdefault(fingerprint, _Case())
        self._case_by_fingerprint.move_to_end(fingerprint)
        while len(self._case_by_fingerprint) > self._limit:
            self._case_by_fingerprint.popitem(last=False)
        return case

    def _judge(self, fingerprint: str, now_s: float) -> list[Notice]:
        """Put a fingerprint with enough crashes in quarantine and clear who shared them."""
        case = self._case(fingerprint)
        case.expire(now_s)
        if len(case.crashes) < CRASHES_TO_QUARANTINE:
            return []
        case.quarantined_until_s = now_s + self._ttl_s
        notices = [self._notice(Kind.QUARANTINED, fingerprint, self._ttl_s)]
        return notices + self._acquit(case, now_s)

    def _acquit(self, guilty: _Case, now_s: float) -> list[Notice]:
        """Clear those whose every crash is explained by a guilty one's."""
        notices = []
        for fingerprint, case in self._case_by_fingerprint.items():
            if case is guilty or now_s < case.quarantined_until_s or not case.crashes:
                continue
            if all(any(crash.same(known) for known in guilty.crashes) for crash in case.crashes):
                if len(case.crashes) < CRASHES_TO_QUARANTINE:
                    case.clear(now_s)
                    notices.append(self._notice(Kind.CLEARED, fingerprint, CLEARED_TTL_S))
        return notices

    def _release(self, fingerprint: str, at_s: float) -> None:
        case = self._case(fingerprint)
        case.quarantined_until_s = float("-inf")
        case.clear(at_s)

    def _notice(self, kind: Kind, subject: str, ttl_s: float) -> Notice:
        self._number += 1
        return Notice(kind.value, subject, self._host, self._number, 0.0, ttl_s)

    def _suspect(self, fingerprint: str, crash: _Crash, now_s: float) -> Notice:
        subject = f"{fingerprint}{SUBJECT_SEPARATOR}{crash.server}"
        return self._notice(Kind.SUSPECT, subject, SUSPECT_TTL_S - (now_s - crash.at_s))

    def _learn_suspect(self, notice: Notice, now_s: float) -> None:
        fingerprint, _, server = notice.subject.partition(SUBJECT_SEPARATOR)
        at_s = now_s - (SUSPECT_TTL_S - notice.ttl_s)
        case = self._case(fingerprint)
        case.add(_Crash(server, at_s, notice.origin))
        if case.crashes:
            case.tried_until_s = max(case.tried_until_s, now_s + TRIAL_WAIT_S)
        self._judge(fingerprint, now_s)

    def _learn_cleared(self, notice: Notice, now_s: float) -> None:
        self._case(notice.subject).clear(now_s - (CLEARED_TTL_S - notice.ttl_s))

    def _learn_quarantined(self, notice: Notice, now_s: float) -> None:
        case = self._case(notice.subject)
        made_s = now_s - (self._ttl_s - notice.ttl_s)
        if made_s > case.cleared_s:
            case.quarantined_until_s = max(case.quarantined_until_s, now_s + notice.ttl_s)
            self._acquit(case, now_s)

    def _learn_released(self, notice: Notice, now_s: float) -> None:
        self._release(notice.subject, now_s - (self._ttl_s - notice.ttl_s))


def _row(fingerprint: str, case: _Case, now_s: float) -> Case:
    proven = now_s < case.quarantined_until_s
    left_s = case.quarantined_until_s - now_s
    if not proven:
        left_s = max((SUSPECT_TTL_S - now_s + crash.at_s for crash in case.crashes), default=0.0)
    state = Kind.QUARANTINED if proven else Kind.SUSPECT
    servers = tuple(sorted({crash.server for crash in case.crashes}))
    return Case(fingerprint, state.value, servers, left_s)


_LEARN_BY_KIND = {
    Kind.SUSPECT: Quarantine._learn_suspect,
    Kind.CLEARED: Quarantine._learn_cleared,
    Kind.QUARANTINED: Quarantine._learn_quarantined,
    Kind.RELEASED: Quarantine._learn_released,
}

__all__ = ["Case", "Free", "Kind", "Quarantine", "Quarantined", "Suspect", "Verdict"]
