"""What is held against one request fingerprint: the crashes it was in flight at."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

SUSPECT_TTL_S = 120.0
CLEARED_TTL_S = 30.0
SAME_CRASH_S = 5.0
CRASHES_TO_QUARANTINE = 2
NEVER_S = float("-inf")


class Kind(StrEnum):
    """Kinds of notices about fingerprints.

    A suspect's subject is `fingerprint@server`, its value `CRASH` or `TRIAL`; the others'
    subject is the fingerprint.
    """

    SUSPECT = "suspect"
    CLEARED = "cleared"
    QUARANTINED = "quarantined"
    RELEASED = "released"


class Case(NamedTuple):
    """What is held against a fingerprint, for operators; `servers` crashed under it."""

    fingerprint: str
    state: str
    servers: tuple[str, ...]
    seconds_left: float


class Crash(NamedTuple):
    """A backend server's crash; `origin` is the host that saw it."""

    server: str
    at_s: float
    origin: str

    def same(self, other: Crash) -> bool:
        """Tell whether two hosts saw one crash; their clocks agree but for the notice's way."""
        return self.server == other.server and abs(self.at_s - other.at_s) < SAME_CRASH_S


class Suspicion:
    """Crashes held against a fingerprint, its quarantine and whoever is trying it."""

    def __init__(self) -> None:
        self.crashes: list[Crash] = []
        self.quarantined_until_s = NEVER_S
        self.cleared_s = NEVER_S
        self.tried_until_s = NEVER_S

    def add(self, crash: Crash) -> bool:
        """Hold a crash against it, once however many hosts saw it; tell whether it is new."""
        if crash.at_s <= self.cleared_s or any(crash.same(known) for known in self.crashes):
            return False
        self.crashes.append(crash)
        return True

    def drop(self, explained: list[Crash]) -> None:
        """Drop crashes that another fingerprint explains."""
        kept = [crash for crash in self.crashes if not any(crash.same(one) for one in explained)]
        if self.crashes and not kept:
            self.tried_until_s = NEVER_S
        self.crashes = kept

    def clear(self, at_s: float) -> None:
        """Drop what was held against it up to a time; news of that, if late, is ignored."""
        self.cleared_s = max(self.cleared_s, at_s)
        self.crashes = [crash for crash in self.crashes if crash.at_s > at_s]

    def expire(self, now_s: float) -> None:
        """Drop crashes that are too old to count."""
        self.crashes = [crash for crash in self.crashes if now_s - crash.at_s < SUSPECT_TTL_S]

    def until_s(self, now_s: float) -> float:
        """Time until which something is held against it; in the past where nothing is."""
        self.expire(now_s)
        crashes_s = max((crash.at_s + SUSPECT_TTL_S for crash in self.crashes), default=NEVER_S)
        return max(crashes_s, self.quarantined_until_s)

    def idle(self, now_s: float) -> bool:
        """Tell whether nothing is held against it and no late news of it can matter."""
        cleared_long_ago = now_s > self.cleared_s + SUSPECT_TTL_S
        return cleared_long_ago and max(self.until_s(now_s), self.tried_until_s) < now_s

    def guilty(self, now_s: float) -> bool:
        """Tell whether it is in quarantine, or has the crashes for it."""
        self.expire(now_s)
        return now_s < self.quarantined_until_s or len(self.crashes) >= CRASHES_TO_QUARANTINE


def case_of(fingerprint: str, suspicion: Suspicion, now_s: float) -> Case:
    """Describe what is held against a fingerprint."""
    state = Kind.QUARANTINED if suspicion.guilty(now_s) else Kind.SUSPECT
    servers = tuple(sorted({crash.server for crash in suspicion.crashes}))
    return Case(fingerprint, state.value, servers, suspicion.until_s(now_s) - now_s)


__all__ = [
    "CLEARED_TTL_S",
    "CRASHES_TO_QUARANTINE",
    "NEVER_S",
    "SAME_CRASH_S",
    "SUSPECT_TTL_S",
    "Case",
    "Crash",
    "Kind",
    "Suspicion",
    "case_of",
]
