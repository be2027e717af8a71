"""Quarantine of poison requests: those that crash every backend server that runs them."""

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
    NoticeKind,
    Suspicion,
    build_case,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank.model import Request

QUARANTINE_TTL_S = 600.0
TRIAL_WAIT_S = 5.0
RENEW_INTERVAL_S = 2.0
TRIAL_SURVIVAL_S = 2.0
NOTICE_SPREAD_S = 0.25
TURN_INTERVAL_S = 0.25
MAX_FINGERPRINTS = 10_000
MAX_EXPLAINED_CRASHES = 1000
CRASH_VALUE = 0.0
TRIAL_VALUE = 1.0
SUBJECT_SEPARATOR = "@"


class Allowed(NamedTuple):
    """The fingerprint is not suspected and may run anywhere."""


class Suspect(NamedTuple):
    """The fingerprint may run a trial, at a server that runs no other suspect.

    `crashed` names the servers that crashed while it was in flight, to be avoided where
    possible; `busy` names those where another suspect is on trial, which must not be used.
    """

    crashed: frozenset[str]
    busy: frozenset[str]


class Blocked(NamedTuple):
    """The fingerprint may not run now.

    `confirmed` is true for a poison request, false for a suspect that waits for a trial.
    """

    retry_after_s: float
    confirmed: bool


Decision = Allowed | Suspect | Blocked


class _Run(NamedTuple):
    """A request in flight at a server; `crashed` once the server crashed during the run."""

    fingerprint: str
    started_s: float
    crashed: bool = False


class _CrashGroup(NamedTuple):
    """The fingerprints in flight at a crash, including those cleared since."""

    crash: Crash
    fingerprints: set[str]


class Quarantine:
    """Detects fingerprints that crash backend servers, across hosts and resends.

    Requests in flight at a server when it crashes become suspects. The host that saw the crash
    may run a suspect once more on trial, at a server without other suspects, while other hosts
    wait. If two suspects shared a server, its next crash could not be attributed to either, so
    the suspects of one crash are retried one after another, in order of fingerprint, once every
    host has received their notices.

    A suspect whose trial completes is cleared. If a server crashes during the trial, the suspect
    is quarantined for `ttl_s`, and other suspects are cleared if it explains all their crashes.
    Where several suspects were in flight at the second crash, one that had run there for
    `TRIAL_SURVIVAL_S` is not the cause.

    Every method that changes state returns notices for the other hosts. The time of an event is
    derived from the remaining TTL of its notice, so notices may arrive late, repeatedly and in
    any order. Times are seconds on the host's monotonic clock. Memory is bounded: at most `limit`
    fingerprints are kept and the oldest are evicted first.

    >>> Quarantine("entry-1").check("a1b2", now_s=0.0)
    Allowed()
    """

    def __init__(
        self,
        host: str,
        ttl_s: float = QUARANTINE_TTL_S,
        first_number: int = 0,
        limit: int = MAX_FINGERPRINTS,
    ) -> None:
        self._host = host
        self._ttl_s = ttl_s
        self._number = first_number
        self._limit = limit
        self._run_by_id_by_server: dict[str, dict[str, _Run]] = {}
        self._suspicion_by_fingerprint: OrderedDict[str, Suspicion] = OrderedDict()
        self._explained_crashes: deque[Crash] = deque(maxlen=MAX_EXPLAINED_CRASHES)
        self._trial_until_s_by_server: dict[str, float] = {}
        self._crash_s_by_server: dict[str, float] = {}
        self._group_by_server: dict[str, _CrashGroup] = {}
        self._renewed_s = NEVER_S

    def record_start(self, server: str, request: Request, now_s: float) -> list[Notice]:
        """Record the start of a run; for a suspect, returns a notice of its trial."""
        run = _Run(request.fingerprint, now_s)
        self._run_by_id_by_server.setdefault(server, {})[request.request_id] = run
        suspicion = self._suspicion_by_fingerprint.get(request.fingerprint)
        return [self._trial_notice(run, server)] if suspicion and suspicion.crashes else []

    def record_finish(
        self, server: str, request: Request, outcome: Outcome, now_s: float
    ) -> list[Notice]:
        """Record the end of a run: completion clears a suspect, a crash is recorded."""
        runs = self._run_by_id_by_server.get(server, {})
        run = runs.get(request.request_id)
        if run is None:
            return []
        crashed = outcome is Outcome.CRASHED and not run.crashed
        notices = self.record_crash(server, now_s) if crashed else []
        del runs[request.request_id]
        if not runs:
            del self._run_by_id_by_server[server]
        suspicion = self._suspicion_by_fingerprint.get(request.fingerprint)
        if outcome is Outcome.DONE and suspicion and suspicion.crashes:
            suspicion.clear(now_s)
            notices.append(self._notice(NoticeKind.CLEARED, request.fingerprint, CLEARED_TTL_S))
        return notices

    def record_crash(self, server: str, now_s: float) -> list[Notice]:
        """Make suspects of the runs in flight at a crashed server; each run counts once.

        Runs sent within `SAME_CRASH_S` after a crash do not count: the server had not yet
        restarted.
        """
        runs = self._run_by_id_by_server.get(server, {})
        last_crash_s = self._crash_s_by_server.get(server, NEVER_S)
        still_down = now_s - last_crash_s < SAME_CRASH_S
        new_runs = [
            run
            for run in runs.values()
            if run.fingerprint
            and not run.crashed
            and not (still_down and run.started_s > last_crash_s)
        ]
        for request_id, run in runs.items():
            runs[request_id] = run._replace(crashed=True)
        crash = Crash(server, now_s, self._host)
        if not still_down:
            self._crash_s_by_server[server] = now_s
        fingerprints = sorted({run.fingerprint for run in new_runs})
        suspects = [name for name in fingerprints if self._add_crash(name, crash)]
        poison = [name for name in suspects if self._get_suspicion(name).is_poison(now_s)]
        culprits = self._recently_started(new_runs, poison, now_s) or poison
        survivors = frozenset(poison) - frozenset(culprits)
        notices = [
            note for name in culprits for note in self._start_quarantine(name, survivors, now_s)
        ]
        remaining = [name for name in suspects if self._suspicion_by_fingerprint[name].crashes]
        return [self._crash_notice(name, crash, now_s) for name in remaining] + notices

    def check(self, fingerprint: str, now_s: float) -> Decision:
        """Decide whether a request with this fingerprint may run."""
        suspicion = self._suspicion_by_fingerprint.get(fingerprint)
        if suspicion is None:
            return Allowed()
        if suspicion.is_poison(now_s):
            return Blocked(suspicion.expiry_s(now_s) - now_s, confirmed=True)
        wait_s = self._wait_s(fingerprint, suspicion, now_s)
        if wait_s > 0:
            return Blocked(wait_s, confirmed=False)
        if not suspicion.crashes:
            return Allowed()
        crashed = frozenset(crash.server for crash in suspicion.crashes)
        return Suspect(crashed, self._busy_servers(now_s))

    def renew_trials(self, now_s: float) -> list[Notice]:
        """Renew the notices of running trials every `RENEW_INTERVAL_S`; drop idle entries."""
        if now_s - self._renewed_s < RENEW_INTERVAL_S:
            return []
        self._renewed_s = now_s
        self._remove_idle(now_s)
        return [
            self._trial_notice(run, server)
            for server, runs in self._run_by_id_by_server.items()
            for run in runs.values()
            if not run.crashed and self._is_suspect(run.fingerprint)
        ]

    def apply_notice(self, notice: Notice, now_s: float) -> None:
        """Apply a notice from another host; kinds not about fingerprints are ignored."""
        if notice.origin != self._host and notice.kind in _APPLY_BY_KIND:
            _APPLY_BY_KIND[NoticeKind(notice.kind)](self, notice, now_s)

    def crashed_server(self, notice: Notice) -> str:
        """Return the server whose recent crash a notice reports, or an empty string."""
        just_now = notice.ttl_s > SUSPECT_TTL_S - SAME_CRASH_S
        if notice.kind != NoticeKind.SUSPECT or notice.value != CRASH_VALUE or not just_now:
            return ""
        return notice.subject.rpartition(SUBJECT_SEPARATOR)[2]

    def release(self, fingerprint: str, now_s: float) -> list[Notice]:
        """Release a fingerprint at an operator's request; returns a notice for other hosts."""
        self._release(fingerprint, now_s)
        return [self._notice(NoticeKind.RELEASED, fingerprint, self._ttl_s)]

    def list_cases(self, now_s: float) -> list[Case]:
        """List the suspected and quarantined fingerprints, sorted by fingerprint."""
        return [
            build_case(fingerprint, suspicion, now_s)
            for fingerprint, suspicion in sorted(self._suspicion_by_fingerprint.items())
            if suspicion.expiry_s(now_s) > now_s
        ]

    def _add_crash(self, fingerprint: str, crash: Crash) -> bool:
        """Add a crash to a fingerprint unless a quarantined one explains it."""
        if any(crash.is_same(known) for known in self._explained_crashes):
            return False
        group = self._group_by_server.get(crash.server)
        if group is None or not group.crash.is_same(crash):
            group = self._group_by_server[crash.server] = _CrashGroup(crash, set())
        group.fingerprints.add(fingerprint)
        return self._get_suspicion(fingerprint).add_crash(crash)

    def _recently_started(
        self, runs: list[_Run], fingerprints: list[str], now_s: float
    ) -> list[str]:
        """Select the fingerprints that had run for less than `TRIAL_SURVIVAL_S`."""
        recent = {run.fingerprint for run in runs if now_s - run.started_s < TRIAL_SURVIVAL_S}
        return [fingerprint for fingerprint in fingerprints if fingerprint in recent]

    def _start_quarantine(
        self, fingerprint: str, survivors: frozenset[str], now_s: float
    ) -> list[Notice]:
        suspicion = self._get_suspicion(fingerprint)
        if now_s < suspicion.quarantined_until_s:
            return []
        suspicion.quarantined_until_s = now_s + self._ttl_s
        self._drop_explained_crashes(suspicion, now_s, survivors)
        return [self._notice(NoticeKind.QUARANTINED, fingerprint, self._ttl_s)]

    def _drop_explained_crashes(
        self, culprit: Suspicion, now_s: float, survivors: frozenset[str] = frozenset()
    ) -> None:
        """Drop the culprit's crashes from all other fingerprints; each host does this locally.

        A fingerprint with enough crashes for quarantine keeps them, unless it is in `survivors`.
        """
        if len(culprit.crashes) < CRASHES_TO_QUARANTINE:
            return
        self._explained_crashes.extend(culprit.crashes)
        for fingerprint, suspicion in self._suspicion_by_fingerprint.items():
            kept = suspicion.is_poison(now_s) and fingerprint not in survivors
            if suspicion is not culprit and not kept:
                suspicion.drop_crashes(culprit.crashes)

    def _wait_s(self, fingerprint: str, suspicion: Suspicion, now_s: float) -> float:
        """Seconds until this host may run it; no second run starts during a trial."""
        running = any(
            run.fingerprint == fingerprint and not run.crashed
            for runs in self._run_by_id_by_server.values()
            for run in runs.values()
        )
        if suspicion.crashes and running:
            return TRIAL_WAIT_S
        turn_s = self._turn_s(fingerprint, suspicion) if suspicion.crashes else NEVER_S
        return max(suspicion.trial_until_s, turn_s) - now_s

    def _turn_s(self, fingerprint: str, suspicion: Suspicion) -> float:
        """Time from which a suspect may be retried, staggered within its last crash's group."""
        crash = suspicion.crashes[-1]
        turn = sum(
            other < fingerprint for other in self._group_by_server[crash.server].fingerprints
        )
        return crash.at_s + NOTICE_SPREAD_S + TURN_INTERVAL_S * turn

    def _busy_servers(self, now_s: float) -> frozenset[str]:
        """Servers where a suspect has been on trial for less than `TRIAL_SURVIVAL_S`."""
        remote = {
            server for server, until_s in self._trial_until_s_by_server.items() if now_s < until_s
        }
        local = {
            server
            for server, runs in self._run_by_id_by_server.items()
            for run in runs.values()
            if self._is_suspect(run.fingerprint) and now_s - run.started_s < TRIAL_SURVIVAL_S
        }
        return frozenset(remote | local)

    def _is_suspect(self, fingerprint: str) -> bool:
        suspicion = self._suspicion_by_fingerprint.get(fingerprint)
        return suspicion is not None and bool(suspicion.crashes)

    def _get_suspicion(self, fingerprint: str) -> Suspicion:
        suspicion = self._suspicion_by_fingerprint.setdefault(fingerprint, Suspicion())
        self._suspicion_by_fingerprint.move_to_end(fingerprint)
        while len(self._suspicion_by_fingerprint) > self._limit:
            self._suspicion_by_fingerprint.popitem(last=False)
        return suspicion

    def _remove_idle(self, now_s: float) -> None:
        known = self._suspicion_by_fingerprint
        for fingerprint in [key for key, value in known.items() if value.is_idle(now_s)]:
            del known[fingerprint]

    def _release(self, fingerprint: str, at_s: float) -> None:
        suspicion = self._get_suspicion(fingerprint)
        suspicion.quarantined_until_s = NEVER_S
        suspicion.trial_until_s = NEVER_S
        suspicion.clear(at_s)

    def _notice(
        self, kind: NoticeKind, subject: str, ttl_s: float, value: float = CRASH_VALUE
    ) -> Notice:
        self._number += 1
        return Notice(kind.value, subject, self._host, self._number, value, ttl_s)

    def _crash_notice(self, fingerprint: str, crash: Crash, now_s: float) -> Notice:
        subject = f"{fingerprint}{SUBJECT_SEPARATOR}{crash.server}"
        return self._notice(NoticeKind.SUSPECT, subject, SUSPECT_TTL_S - (now_s - crash.at_s))

    def _trial_notice(self, run: _Run, server: str) -> Notice:
        subject = f"{run.fingerprint}{SUBJECT_SEPARATOR}{server}"
        return self._notice(NoticeKind.SUSPECT, subject, TRIAL_WAIT_S, TRIAL_VALUE)

    def _apply_suspect(self, notice: Notice, now_s: float) -> None:
        fingerprint, _, server = notice.subject.partition(SUBJECT_SEPARATOR)
        suspicion = self._get_suspicion(fingerprint)
        if notice.value == TRIAL_VALUE:
            until_s = now_s + notice.ttl_s
            suspicion.trial_until_s = max(suspicion.trial_until_s, until_s)
            self._trial_until_s_by_server[server] = until_s - TRIAL_WAIT_S + TRIAL_SURVIVAL_S
            return
        crash = Crash(server, now_s - (SUSPECT_TTL_S - notice.ttl_s), notice.origin)
        if crash.at_s - self._crash_s_by_server.get(server, NEVER_S) > SAME_CRASH_S:
            self._crash_s_by_server[server] = crash.at_s
        origins = {known.origin for known in suspicion.crashes if known.is_same(crash)}
        if self._add_crash(fingerprint, crash) or notice.origin < min(origins, default=""):
            suspicion.trial_until_s = max(suspicion.trial_until_s, crash.at_s + TRIAL_WAIT_S)
        if now_s < suspicion.quarantined_until_s:
            self._drop_explained_crashes(suspicion, now_s)

    def _apply_cleared(self, notice: Notice, now_s: float) -> None:
        suspicion = self._get_suspicion(notice.subject)
        suspicion.clear(now_s - (CLEARED_TTL_S - notice.ttl_s))
        if not suspicion.crashes:
            suspicion.trial_until_s = NEVER_S

    def _apply_quarantined(self, notice: Notice, now_s: float) -> None:
        suspicion = self._get_suspicion(notice.subject)
        quarantined_s = now_s - (self._ttl_s - notice.ttl_s)
        if quarantined_s > suspicion.cleared_s:
            until_s = now_s + notice.ttl_s
            suspicion.quarantined_until_s = max(suspicion.quarantined_until_s, until_s)
            self._drop_explained_crashes(suspicion, now_s)

    def _apply_released(self, notice: Notice, now_s: float) -> None:
        self._release(notice.subject, now_s - (self._ttl_s - notice.ttl_s))


_APPLY_BY_KIND: dict[str, Callable[[Quarantine, Notice, float], None]] = {
    NoticeKind.SUSPECT: Quarantine._apply_suspect,
    NoticeKind.CLEARED: Quarantine._apply_cleared,
    NoticeKind.QUARANTINED: Quarantine._apply_quarantined,
    NoticeKind.RELEASED: Quarantine._apply_released,
}

__all__ = ["Case", "Allowed", "NoticeKind", "Quarantine", "Blocked", "Suspect", "Decision"]
