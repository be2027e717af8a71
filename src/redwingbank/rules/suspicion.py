"""The crashes during which a request fingerprint was in flight, and its quarantine."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

SUSPECT_TTL_S = 120.0
CLEARED_TTL_S = 30.0
SAME_CRASH_S = 5.0
CRASHES_TO_QUARANTINE = 2
NEVER_S = float("-inf")


class NoticeKind(StrEnum):
    """Kinds of notices about fingerprints.

    The subject of `SUSPECT` is `fingerprint@server` and its value `CRASH_VALUE` or
    `TRIAL_VALUE`; the subject of the other kinds is the fingerprint. The subject of `LOST_RUN`
    is `fingerprint.part.part@server`, a run that a crash cut off, and its value the run's seconds.
    """

    SUSPECT = "suspect"
    CLEARED = "cleared"
    QUARANTINED = "quarantined"
    RELEASED = "released"
    LOST_RUN = "lost-run"


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


class Case(NamedTuple):
    """A suspected or quarantined fingerprint for operators, with the `servers` it crashed."""

    fingerprint: str
    state: str
    servers: tuple[str, ...]
    seconds_left: float


class Crash(NamedTuple):
    """A backend server's crash; `origin` is the host that detected it."""

    server: str
    at_s: float
    origin: str

    def is_same(self, other: Crash) -> bool:
        """Whether two hosts report the same crash; times differ by the notice's delay only."""
        return self.server == other.server and abs(self.at_s - other.at_s) < SAME_CRASH_S


class Suspicion:
    """The crashes counted against a fingerprint, its quarantine and its current trial."""

    def __init__(self) -> None:
        self.crashes: list[Crash] = []
        self.quarantined_until_s = NEVER_S
        self.cleared_s = NEVER_S
        self.trial_until_s = NEVER_S

    def add_crash(self, crash: Crash) -> bool:
        """Add a crash, once however many hosts report it; returns whether it is new."""
        if crash.at_s <= self.cleared_s or any(crash.is_same(known) for known in self.crashes):
            return False
        self.crashes.append(crash)
        return True

    def drop_crashes(self, explained: list[Crash]) -> None:
        """Drop crashes that another fingerprint explains."""
        kept = [
            crash for crash in self.crashes if not any(crash.is_same(one) for one in explained)
        ]
        if self.crashes and not kept:
            self.trial_until_s = NEVER_S
        self.crashes = kept

    def clear(self, at_s: float) -> None:
        """Drop the crashes up to a time; later reports of them are ignored."""
        self.cleared_s = max(self.cleared_s, at_s)
        self.crashes = [crash for crash in self.crashes if crash.at_s > at_s]

    def expire_crashes(self, now_s: float) -> None:
        """Drop crashes older than `SUSPECT_TTL_S`."""
        self.crashes = [crash for crash in self.crashes if now_s - crash.at_s < SUSPECT_TTL_S]

    def expiry_s(self, now_s: float) -> float:
        """Time until which the fingerprint is suspected or quarantined; past if it is neither."""
        self.expire_crashes(now_s)
        crashes_s = max((crash.at_s + SUSPECT_TTL_S for crash in self.crashes), default=NEVER_S)
        return max(crashes_s, self.quarantined_until_s)

    def is_idle(self, now_s: float) -> bool:
        """Whether the entry may be dropped: not suspected, and no late notice can affect it."""
        cleared_long_ago = now_s > self.cleared_s + SUSPECT_TTL_S
        return cleared_long_ago and max(self.expiry_s(now_s), self.trial_until_s) < now_s

    def is_poison(self, now_s: float) -> bool:
        """Whether the fingerprint is quarantined or has enough crashes for it."""
        self.expire_crashes(now_s)
        return now_s < self.quarantined_until_s or len(self.crashes) >= CRASHES_TO_QUARANTINE


def build_case(fingerprint: str, suspicion: Suspicion, now_s: float) -> Case:
    """Describe a suspected or quarantined fingerprint."""
    state = NoticeKind.QUARANTINED if suspicion.is_poison(now_s) else NoticeKind.SUSPECT
    servers = tuple(sorted({crash.server for crash in suspicion.crashes}))
    return Case(fingerprint, state.value, servers, suspicion.expiry_s(now_s) - now_s)


__all__ = [
    "CLEARED_TTL_S",
    "CRASHES_TO_QUARANTINE",
    "NEVER_S",
    "SAME_CRASH_S",
    "SUSPECT_TTL_S",
    "Allowed",
    "Blocked",
    "Case",
    "Crash",
    "Decision",
    "NoticeKind",
    "Suspect",
    "Suspicion",
    "build_case",
]
