"""Poison requests: those that crash each backend server that runs them."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.messages import Notice
from redwingbank.model import Outcome
from redwingbank.rules.suspicion import (
    CLEARED_TTL_S,
    CRASHES_TO_QUARANTINE,
    NEVER_S,
    SAME_CRASH_S,
    SUSPECT_TTL_S,
    Case,
    Crash,
    Kind,
    Suspicion,
    case_of,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank.model import Request

DEFAULT_TTL_S = 600.0
TRIAL_WAIT_S = 5.0
RENEW_S = 2.0
OUTLIVE_S = 2.0
SPREAD_S = 0.25
TURN_S = 0.25
MOST_FINGERPRINTS = 10_000
MOST_EXPLAINED = 1000
CRASH = 0.0
TRIAL = 1.0
SEPARATOR = "@"


class Allowed(NamedTuple):
    """Nothing is held against the fingerprint."""


class Suspect(NamedTuple):
    """It may run once more, as this host's only suspect at a server.

    `crashed` are the servers it was in flight at, better avoided; `busy` are those where
    another suspect is being tried, which must not be shared.
    """

    crashed: frozenset[str]
    busy: frozenset[str]


class Blocked(NamedTuple):
    """It may not run now: `proven` poison, or else being tried at the moment."""

    retry_after_s: float
    confirmed: bool


Decision = Allowed | Suspect | Blocked


class _Run(NamedTuple):
    """A request in flight at a server; `blamed` once its server crashed under it."""

    fingerprint: str
    started_s: float
    blamed: bool = False


class _Shared(NamedTuple):
    """The fingerprints that were in flight at a crash, also those cleared since."""

    crash: Crash
    names: set[str]


class Quarantine:
    """Fingerprints that crash backend servers, counted over hosts and resends.

    What is in flight at a server when it crashes becomes suspect. The host that saw the crash
    may run a suspect once more, alone among suspects; other hosts wait meanwhile. Should two
    suspects meet at a server, nobody could lay its next crash to one of them: so the suspects of
    a crash take turns, by fingerprint, once every host has heard of them.

    If the run ends whole the suspect is cleared. If its server crashes too it is in quarantine
    for `ttl_s`, and what shared only crashes that it explains is cleared. Where several suspects
    were at the second crash, one that had outlived `OUTLIVE_S` there is not the cause.

    Every change answers notices for the other hosts. A notice's time left dates its cause, so
    notices may come late, twice and in any order. Times are seconds on the host's monotonic
    clock. Memory is bounded: the oldest fingerprints go first.

    >>> Quarantine("entry-1").check("a1b2", now_s=0.0)
    Allowed()
    """

    def __init__(
        self,
        host: str,
        ttl_s: float = DEFAULT_TTL_S,
        first_number: int = 0,
        limit: int = MOST_FINGERPRINTS,
    ) -> None:
        self._host = host
        self._ttl_s = ttl_s
        self._number = first_number
        self._limit = limit
        self._run_by_id_by_server: dict[str, dict[str, _Run]] = {}
        self._suspicion_by_fingerprint: OrderedDict[str, Suspicion] = OrderedDict()
        self._explained: deque[Crash] = deque(maxlen=MOST_EXPLAINED)
        self._tried_until_s_by_server: dict[str, float] = {}
        self._crash_s_by_server: dict[str, float] = {}
        self._shared_by_server: dict[str, _Shared] = {}
        self._renewed_s = NEVER_S

    def record_start(self, server: str, request: Request, now_s: float) -> list[Notice]:
        """Note a send; of a suspect, other hosts are told that it is being tried."""
        run = _Run(request.fingerprint, now_s)
        self._run_by_id_by_server.setdefault(server, {})[request.request_id] = run
        suspicion = self._suspicion_by_fingerprint.get(request.fingerprint)
        return [self._trial(run, server)] if suspicion and suspicion.crashes else []

    def record_finish(
        self, server: str, request: Request, outcome: Outcome, now_s: float
    ) -> list[Notice]:
        """Note the end of a send: a whole answer clears it, a crash counts as `crashed` does."""
        runs = self._run_by_id_by_server.get(server, {})
        run = runs.get(request.request_id)
        if run is None:
            return []
        crashed = outcome is Outcome.CRASHED and not run.blamed
        notices = self.crashed(server, now_s) if crashed else []
        del runs[request.request_id]
        if not runs:
            del self._run_by_id_by_server[server]
        suspicion = self._suspicion_by_fingerprint.get(request.fingerprint)
        if outcome is Outcome.DONE and suspicion and suspicion.crashes:
            suspicion.clear(now_s)
            notices.append(self._notice(Kind.CLEARED, request.fingerprint, CLEARED_TTL_S))
        return notices

    def crashed(self, server: str, now_s: float) -> list[Notice]:
        """Hold a server's crash against what is in flight there; each run is blamed once.

        What was sent to a server that had crashed already, a moment ago, is not blamed: that
        server had not come back.
        """
        runs = self._run_by_id_by_server.get(server, {})
        down_s = self._crash_s_by_server.get(server, NEVER_S)
        still_down = now_s - down_s < SAME_CRASH_S
        fresh = [
            run
            for run in runs.values()
            if run.fingerprint and not run.blamed and not (still_down and run.started_s > down_s)
        ]
        for request_id, run in runs.items():
            runs[request_id] = run._replace(blamed=True)
        crash = Crash(server, now_s, self._host)
        if not still_down:
            self._crash_s_by_server[server] = now_s
        fingerprints = sorted({run.fingerprint for run in fresh})
        blamed = [name for name in fingerprints if self._blame(name, crash)]
        enough = [name for name in blamed if self._suspicion(name).guilty(now_s)]
        guilty = self._just_tried(fresh, enough, now_s) or enough
        outlived = frozenset(enough) - frozenset(guilty)
        notices = [note for name in guilty for note in self._quarantine(name, outlived, now_s)]
        held = [name for name in blamed if self._suspicion_by_fingerprint[name].crashes]
        return [self._suspect(name, crash, now_s) for name in held] + notices

    def check(self, fingerprint: str, now_s: float) -> Decision:
        """Tell whether a request with this fingerprint may run."""
        suspicion = self._suspicion_by_fingerprint.get(fingerprint)
        if suspicion is None:
            return Allowed()
        if suspicion.guilty(now_s):
            return Blocked(suspicion.until_s(now_s) - now_s, confirmed=True)
        wait_s = self._wait_s(fingerprint, suspicion, now_s)
        if wait_s > 0:
            return Blocked(wait_s, confirmed=False)
        if not suspicion.crashes:
            return Allowed()
        crashed = frozenset(crash.server for crash in suspicion.crashes)
        return Suspect(crashed, self._busy(now_s))

    def renew_trials(self, now_s: float) -> list[Notice]:
        """Tell other hosts, every `RENEW_S`, of suspects still tried; forget what is past."""
        if now_s - self._renewed_s < RENEW_S:
            return []
        self._renewed_s = now_s
        self._forget_idle(now_s)
        return [
            self._trial(run, server)
            for server, runs in self._run_by_id_by_server.items()
            for run in runs.values()
            if not run.blamed and self._is_suspect(run.fingerprint)
        ]

    def apply_notice(self, notice: Notice, now_s: float) -> None:
        """Take a notice of another host; kinds that are not about fingerprints are ignored."""
        if notice.origin != self._host and notice.kind in _LEARN_BY_KIND:
            _LEARN_BY_KIND[Kind(notice.kind)](self, notice, now_s)

    def crashed_server(self, notice: Notice) -> str:
        """Name the server that a notice says has crashed just now, if it says so."""
        just_now = notice.ttl_s > SUSPECT_TTL_S - SAME_CRASH_S
        if notice.kind != Kind.SUSPECT or notice.value != CRASH or not just_now:
            return ""
        return notice.subject.rpartition(SEPARATOR)[2]

    def release(self, fingerprint: str, now_s: float) -> list[Notice]:
        """Let a fingerprint run again, as an operator orders; tells the other hosts."""
        self._release(fingerprint, now_s)
        return [self._notice(Kind.RELEASED, fingerprint, self._ttl_s)]

    def list_cases(self, now_s: float) -> list[Case]:
        """What is held against fingerprints now, by fingerprint."""
        return [
            case_of(fingerprint, suspicion, now_s)
            for fingerprint, suspicion in sorted(self._suspicion_by_fingerprint.items())
            if suspicion.until_s(now_s) > now_s
        ]

    def _blame(self, fingerprint: str, crash: Crash) -> bool:
        """Hold a crash against a fingerprint unless a known culprit explains it."""
        if any(crash.same(known) for known in self._explained):
            return False
        shared = self._shared_by_server.get(crash.server)
        if shared is None or not shared.crash.same(crash):
            shared = self._shared_by_server[crash.server] = _Shared(crash, set())
        shared.names.add(fingerprint)
        return self._suspicion(fingerprint).add(crash)

    def _just_tried(self, runs: list[_Run], names: list[str], now_s: float) -> list[str]:
        """Pick those that had not outlived their trial."""
        young = {run.fingerprint for run in runs if now_s - run.started_s < OUTLIVE_S}
        return [name for name in names if name in young]

    def _quarantine(
        self, fingerprint: str, outlived: frozenset[str], now_s: float
    ) -> list[Notice]:
        suspicion = self._suspicion(fingerprint)
        if now_s < suspicion.quarantined_until_s:
            return []
        suspicion.quarantined_until_s = now_s + self._ttl_s
        self._acquit(suspicion, now_s, outlived)
        return [self._notice(Kind.QUARANTINED, fingerprint, self._ttl_s)]

    def _acquit(
        self, culprit: Suspicion, now_s: float, outlived: frozenset[str] = frozenset()
    ) -> None:
        """Drop crashes that a culprit explains from all others; each host does so by itself.

        One with crashes enough for quarantine keeps them, unless it outlived its trial.
        """
        if len(culprit.crashes) < CRASHES_TO_QUARANTINE:
            return
        self._explained.extend(culprit.crashes)
        for fingerprint, suspicion in self._suspicion_by_fingerprint.items():
            kept = suspicion.guilty(now_s) and fingerprint not in outlived
            if suspicion is not culprit and not kept:
                suspicion.drop(culprit.crashes)

    def _wait_s(self, fingerprint: str, suspicion: Suspicion, now_s: float) -> float:
        """Seconds until this host may run it: while a suspect is tried, no other run begins."""
        here = any(
            run.fingerprint == fingerprint and not run.blamed
            for runs in self._run_by_id_by_server.values()
            for run in runs.values()
        )
        if suspicion.crashes and here:
            return TRIAL_WAIT_S
        turn_s = self._turn_s(fingerprint, suspicion) if suspicion.crashes else NEVER_S
        return max(suspicion.tried_until_s, turn_s) - now_s

    def _turn_s(self, fingerprint: str, suspicion: Suspicion) -> float:
        """Time of a suspect's turn among those that shared its last crash."""
        crash = suspicion.crashes[-1]
        turn = sum(other < fingerprint for other in self._shared_by_server[crash.server].names)
        return crash.at_s + SPREAD_S + TURN_S * turn

    def _busy(self, now_s: float) -> frozenset[str]:
        """Servers where a suspect is being tried and has not outlived its trial."""
        tried = {
            name for name, until_s in self._tried_until_s_by_server.items() if now_s < until_s
        }
        here = {
            server
            for server, runs in self._run_by_id_by_server.items()
            for run in runs.values()
            if self._is_suspect(run.fingerprint) and now_s - run.started_s < OUTLIVE_S
        }
        return frozenset(tried | here)

    def _is_suspect(self, fingerprint: str) -> bool:
        suspicion = self._suspicion_by_fingerprint.get(fingerprint)
        return suspicion is not None and bool(suspicion.crashes)

    def _suspicion(self, fingerprint: str) -> Suspicion:
        suspicion = self._suspicion_by_fingerprint.setdefault(fingerprint, Suspicion())
        self._suspicion_by_fingerprint.move_to_end(fingerprint)
        while len(self._suspicion_by_fingerprint) > self._limit:
            self._suspicion_by_fingerprint.popitem(last=False)
        return suspicion

    def _forget_idle(self, now_s: float) -> None:
        known = self._suspicion_by_fingerprint
        for name in [name for name, suspicion in known.items() if suspicion.idle(now_s)]:
            del known[name]

    def _release(self, fingerprint: str, at_s: float) -> None:
        suspicion = self._suspicion(fingerprint)
        suspicion.quarantined_until_s = NEVER_S
        suspicion.tried_until_s = NEVER_S
        suspicion.clear(at_s)

    def _notice(self, kind: Kind, subject: str, ttl_s: float, value: float = CRASH) -> Notice:
        self._number += 1
        return Notice(kind.value, subject, self._host, self._number, value, ttl_s)

    def _suspect(self, fingerprint: str, crash: Crash, now_s: float) -> Notice:
        subject = f"{fingerprint}{SEPARATOR}{crash.server}"
        return self._notice(Kind.SUSPECT, subject, SUSPECT_TTL_S - (now_s - crash.at_s))

    def _trial(self, run: _Run, server: str) -> Notice:
        subject = f"{run.fingerprint}{SEPARATOR}{server}"
        return self._notice(Kind.SUSPECT, subject, TRIAL_WAIT_S, TRIAL)

    def _learn_suspect(self, notice: Notice, now_s: float) -> None:
        fingerprint, _, server = notice.subject.partition(SEPARATOR)
        suspicion = self._suspicion(fingerprint)
        if notice.value == TRIAL:
            until_s = now_s + notice.ttl_s
            suspicion.tried_until_s = max(suspicion.tried_until_s, until_s)
            self._tried_until_s_by_server[server] = until_s - TRIAL_WAIT_S + OUTLIVE_S
            return
        crash = Crash(server, now_s - (SUSPECT_TTL_S - notice.ttl_s), notice.origin)
        if crash.at_s - self._crash_s_by_server.get(server, NEVER_S) > SAME_CRASH_S:
            self._crash_s_by_server[server] = crash.at_s
        origins = {known.origin for known in suspicion.crashes if known.same(crash)}
        if self._blame(fingerprint, crash) or notice.origin < min(origins, default=""):
            suspicion.tried_until_s = max(suspicion.tried_until_s, crash.at_s + TRIAL_WAIT_S)
        if now_s < suspicion.quarantined_until_s:
            self._acquit(suspicion, now_s)

    def _learn_cleared(self, notice: Notice, now_s: float) -> None:
        suspicion = self._suspicion(notice.subject)
        suspicion.clear(now_s - (CLEARED_TTL_S - notice.ttl_s))
        if not suspicion.crashes:
            suspicion.tried_until_s = NEVER_S

    def _learn_quarantined(self, notice: Notice, now_s: float) -> None:
        suspicion = self._suspicion(notice.subject)
        made_s = now_s - (self._ttl_s - notice.ttl_s)
        if made_s > suspicion.cleared_s:
            until_s = now_s + notice.ttl_s
            suspicion.quarantined_until_s = max(suspicion.quarantined_until_s, until_s)
            self._acquit(suspicion, now_s)

    def _learn_released(self, notice: Notice, now_s: float) -> None:
        self._release(notice.subject, now_s - (self._ttl_s - notice.ttl_s))


_LEARN_BY_KIND: dict[str, Callable[[Quarantine, Notice, float], None]] = {
    Kind.SUSPECT: Quarantine._learn_suspect,
    Kind.CLEARED: Quarantine._learn_cleared,
    Kind.QUARANTINED: Quarantine._learn_quarantined,
    Kind.RELEASED: Quarantine._learn_released,
}

__all__ = ["Case", "Allowed", "Kind", "Quarantine", "Blocked", "Suspect", "Decision"]
