"""Quarantine of poison requests: those that crash every backend server that runs them."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.model import Outcome
from redwingbank.rules.answer_proof import AnswerKind, proved_traits
from redwingbank.rules.crash_causes import CrashCauses, LostRun
from redwingbank.rules.quarantine_notices import (
    CRASH_VALUE,
    SUBJECT_SEPARATOR,
    TRIAL_VALUE,
    TRIAL_WAIT_S,
    QuarantineNotices,
    read_lost_run,
)
from redwingbank.rules.suspicion import (
    CLEARED_TTL_S,
    CRASHES_TO_QUARANTINE,
    NEVER_S,
    SAME_CRASH_S,
    SUSPECT_TTL_S,
    Allowed,
    Blocked,
    Case,
    Crash,
    Decision,
    NoticeKind,
    Suspect,
    Suspicion,
    build_case,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank.messages import Notice
    from redwingbank.model import Request

QUARANTINE_TTL_S = 600.0
RENEW_INTERVAL_S = 2.0
TRIAL_SURVIVAL_S = 2.0
# A report under way at a crash may be dated after it; no server restarts within this time.
REPORT_DELAY_S = 1.0
# A request that crashes servers does so as it begins to be answered.
ANSWER_SURVIVAL_S = 1.0
NOTICE_SPREAD_S = 0.25
TURN_INTERVAL_S = 0.25
MAX_FINGERPRINTS = 10_000
MAX_EXPLAINED_CRASHES = 1000


class _Run(NamedTuple):
    """A request in flight at a server; `crashed` once the server crashed during the run.

    `traits` are its fingerprint and those of its parts; `answered_s` is when its first token came.
    """

    fingerprint: str
    started_s: float
    crashed: bool = False
    traits: tuple[str, ...] = ()
    answered_s: float = float("inf")


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

    A part of a prompt that different requests share is never put on trial, since sound requests
    would wait for it. It is quarantined once it is the cause of several crashes (`CrashCauses`).

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
        self._notices = QuarantineNotices(host, first_number)
        self._limit = limit
        self._run_by_id_by_server: dict[str, dict[str, _Run]] = {}
        self._suspicion_by_fingerprint: OrderedDict[str, Suspicion] = OrderedDict()
        self._explained_crashes: deque[Crash] = deque(maxlen=MAX_EXPLAINED_CRASHES)
        self._trial_until_s_by_server: dict[str, float] = {}
        self._crash_s_by_server: dict[str, float] = {}
        self._alive_s_by_server: dict[str, float] = {}
        self._reads_reports = False
        self._group_by_server: dict[str, _CrashGroup] = {}
        self._renewed_s = NEVER_S
        self._causes = CrashCauses()

    def record_start(self, server: str, request: Request, now_s: float) -> list[Notice]:
        """Record the start of a run; for a suspect, returns a notice of its trial."""
        run = _Run(request.fingerprint, now_s, traits=(request.fingerprint, *request.parts))
        self._run_by_id_by_server.setdefault(server, {})[request.request_id] = run
        suspicion = self._suspicion_by_fingerprint.get(request.fingerprint)
        return (
            [self._notices.trial(run.fingerprint, server)]
            if suspicion and suspicion.crashes
            else []
        )

    def record_first_token(self, server: str, request: Request, now_s: float) -> None:
        """Record the first token of a run."""
        self._record_alive(server, now_s)
        runs = self._run_by_id_by_server.get(server, {})
        if request.request_id in runs:
            run = runs[request.request_id]
            runs[request.request_id] = run._replace(answered_s=min(run.answered_s, now_s))

    def record_finish(
        self,
        server: str,
        request: Request,
        outcome: Outcome,
        now_s: float,
        answer: AnswerKind = AnswerKind.SUCCESS,
    ) -> list[Notice]:
        """Record the end of a run: a crash, or an `answer`, which clears what it proves."""
        runs = self._run_by_id_by_server.get(server, {})
        run = runs.get(request.request_id)
        if run is None:
            return []
        crashed = outcome is Outcome.CRASHED and not run.crashed
        notices = self.record_crash(server, now_s) if crashed else []
        del runs[request.request_id]
        if not runs:
            del self._run_by_id_by_server[server]
        if outcome is not Outcome.DONE:
            return notices
        self._record_alive(server, now_s)
        proved = proved_traits(answer, run.traits)
        suspicion = self._suspicion_by_fingerprint.get(request.fingerprint)
        if proved and suspicion and suspicion.crashes:
            suspicion.clear(now_s)
            notices.append(
                self._notices.build(NoticeKind.CLEARED, request.fingerprint, CLEARED_TTL_S)
            )
        return notices + self._clear_parts(proved, now_s)

    def record_crash(self, server: str, now_s: float) -> list[Notice]:
        """Make suspects of the runs in flight at a crashed server; each run counts once.

        Runs sent to a server that was still down do not count: within `SAME_CRASH_S` after a
        crash, or before its next sign of life at a host that reads load reports.
        """
        runs = self._run_by_id_by_server.get(server, {})
        last_crash_s = self._crash_s_by_server.get(server, NEVER_S)
        alive_s = self._alive_s_by_server.get(server, NEVER_S)
        still_down = now_s - last_crash_s < SAME_CRASH_S or (
            self._reads_reports and alive_s < last_crash_s + REPORT_DELAY_S
        )
        new_runs = [
            run
            for run in runs.values()
            if run.fingerprint
            and not run.crashed
            and not (still_down and run.started_s > last_crash_s)
        ]
        for request_id, run in runs.items():
            runs[request_id] = run._replace(crashed=True)
        part_notices = self._record_lost_runs(server, new_runs, now_s)
        crash = Crash(server, now_s, self._host)
        if not still_down:
            self._crash_s_by_server[server] = now_s
        fingerprints = sorted({run.fingerprint for run in new_runs})
        bystanders = self._bystanders(new_runs)
        suspects = [
            name
            for name in fingerprints
            if name not in bystanders and self._add_crash(name, crash)
        ]
        poison = [name for name in suspects if self._get_suspicion(name).is_poison(now_s)]
        culprits = self._recently_started(new_runs, poison, now_s) or poison
        survivors = frozenset(poison) - frozenset(culprits)
        notices = [
            note for name in culprits for note in self._start_quarantine(name, survivors, now_s)
        ]
        remaining = [name for name in suspects if self._suspicion_by_fingerprint[name].crashes]
        crash_notices = [self._notices.crash(name, crash, now_s) for name in remaining]
        return crash_notices + notices + part_notices

    def check_request(self, request: Request, now_s: float) -> Decision:
        """Decide whether a request may run, by the parts of its prompt and its fingerprint."""
        for part in request.parts:
            suspicion = self._suspicion_by_fingerprint.get(part)
            if suspicion and now_s < suspicion.quarantined_until_s:
                return Blocked(suspicion.quarantined_until_s - now_s, confirmed=True)
        return self.check(request.fingerprint, now_s)

    def record_report(self, server: str, at_s: float) -> None:
        """Record a load report, which shows that a server was up."""
        self._reads_reports = True
        self._record_alive(server, at_s)

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
            self._notices.trial(run.fingerprint, server)
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
        return [self._notices.build(NoticeKind.RELEASED, fingerprint, self._ttl_s)]

    def list_cases(self, now_s: float) -> list[Case]:
        """List the suspected and quarantined fingerprints, sorted by fingerprint."""
        return [
            build_case(fingerprint, suspicion, now_s)
            for fingerprint, suspicion in sorted(self._suspicion_by_fingerprint.items())
            if suspicion.expiry_s(now_s) > now_s
        ]

    def _record_alive(self, server: str, at_s: float) -> None:
        self._alive_s_by_server[server] = max(at_s, self._alive_s_by_server.get(server, NEVER_S))

    def _record_lost_runs(self, server: str, runs: list[_Run], now_s: float) -> list[Notice]:
        """Count a crash against the parts of the runs that it cut off.

        Runs that had been answered for a while clear their parts instead.
        """
        notices: list[Notice] = []
        for run in runs:
            if now_s - run.answered_s > ANSWER_SURVIVAL_S:
                notices += self._clear_parts(run.traits, now_s)
            elif len(run.traits) > 1:
                lost = LostRun(run.traits, server, run.started_s, now_s)
                notices.append(self._notices.lost_run(lost))
                notices += self._count_lost_run(lost, now_s)
        return notices

    def _count_lost_run(self, lost: LostRun, now_s: float) -> list[Notice]:
        notices: list[Notice] = []
        for trait in self._causes.record(lost, now_s):
            self._get_suspicion(trait).quarantined_until_s = now_s + self._ttl_s
            notices.append(self._notices.build(NoticeKind.QUARANTINED, trait, self._ttl_s))
            notices += self._release_bystanders(trait, now_s)
        return notices

    def _release_bystanders(self, cause: str, now_s: float) -> list[Notice]:
        """Release the fingerprints whose crashes a cause explains, unless they contain it."""
        runs = self._causes.runs(cause)
        crashes = [Crash(run.server, run.lost_s, self._host) for run in runs]
        related = {trait for run in runs for trait in run.traits}
        self._explained_crashes.extend(crashes)
        notices: list[Notice] = []
        for fingerprint, suspicion in self._suspicion_by_fingerprint.items():
            if fingerprint in related or not suspicion.crashes:
                continue
            suspicion.drop_crashes(crashes)
            if not suspicion.crashes and now_s < suspicion.quarantined_until_s:
                suspicion.quarantined_until_s = NEVER_S
                notices.append(self._notices.build(NoticeKind.RELEASED, fingerprint, self._ttl_s))
        return notices

    def _clear_parts(self, traits: tuple[str, ...], now_s: float) -> list[Notice]:
        """Clear the parts of a run that proved harmless, also those in quarantine."""
        notices: list[Notice] = []
        for part in self._causes.clear(traits):
            if part not in traits[:1]:
                self._release(part, now_s)
                notices.append(self._notices.build(NoticeKind.RELEASED, part, self._ttl_s))
        return notices

    def _bystanders(self, runs: list[_Run]) -> set[str]:
        """Select the suspects among the runs whose crashes a part of other requests explains."""
        return {
            run.fingerprint
            for run in runs
            if self._is_suspect(run.fingerprint) and self._causes.has_rival_part(run.traits)
        }

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
        return [self._notices.build(NoticeKind.QUARANTINED, fingerprint, self._ttl_s)]

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
        self._causes.unblock(fingerprint)

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

    def _apply_lost_run(self, notice: Notice, now_s: float) -> None:
        self._count_lost_run(read_lost_run(notice, now_s), now_s)

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
            if self._causes.is_part(notice.subject):
                self._causes.block(notice.subject, now_s)

    def _apply_released(self, notice: Notice, now_s: float) -> None:
        self._release(notice.subject, now_s - (self._ttl_s - notice.ttl_s))


_APPLY_BY_KIND: dict[str, Callable[[Quarantine, Notice, float], None]] = {
    NoticeKind.SUSPECT: Quarantine._apply_suspect,
    NoticeKind.CLEARED: Quarantine._apply_cleared,
    NoticeKind.QUARANTINED: Quarantine._apply_quarantined,
    NoticeKind.RELEASED: Quarantine._apply_released,
    NoticeKind.LOST_RUN: Quarantine._apply_lost_run,
}

__all__ = ["Case", "Allowed", "NoticeKind", "Quarantine", "Blocked", "Suspect", "Decision"]
