"""Builds and reads the notices by which hosts agree on suspected and quarantined fingerprints."""

from __future__ import annotations

from redwingbank.messages import Notice
from redwingbank.rules.crash_causes import LostRun
from redwingbank.rules.suspicion import SUSPECT_TTL_S, Crash, NoticeKind

TRIAL_WAIT_S = 5.0
CRASH_VALUE = 0.0
TRIAL_VALUE = 1.0
SUBJECT_SEPARATOR = "@"
TRAIT_SEPARATOR = "."


class QuarantineNotices:
    """Numbers the notices of one host, from `first_number` on."""

    def __init__(self, host: str, first_number: int) -> None:
        self._host = host
        self._number = first_number

    def build(
        self, kind: NoticeKind, subject: str, ttl_s: float, value: float = CRASH_VALUE
    ) -> Notice:
        """Build a notice of any kind."""
        self._number += 1
        return Notice(kind.value, subject, self._host, self._number, value, ttl_s)

    def crash(self, fingerprint: str, crash: Crash, now_s: float) -> Notice:
        """Build the notice of a crash during which a fingerprint was in flight."""
        subject = f"{fingerprint}{SUBJECT_SEPARATOR}{crash.server}"
        return self.build(NoticeKind.SUSPECT, subject, SUSPECT_TTL_S - (now_s - crash.at_s))

    def trial(self, fingerprint: str, server: str) -> Notice:
        """Build the notice of a suspect's trial at a server."""
        subject = f"{fingerprint}{SUBJECT_SEPARATOR}{server}"
        return self.build(NoticeKind.SUSPECT, subject, TRIAL_WAIT_S, TRIAL_VALUE)

    def lost_run(self, lost: LostRun) -> Notice:
        """Build the notice of a run with shared parts that a crash has just cut off."""
        traits = TRAIT_SEPARATOR.join(lost.traits)
        subject = f"{traits}{SUBJECT_SEPARATOR}{lost.server}"
        ran_s = lost.lost_s - lost.sent_s
        return self.build(NoticeKind.LOST_RUN, subject, SUSPECT_TTL_S, ran_s)


def read_lost_run(notice: Notice, now_s: float) -> LostRun:
    """Return the run that a notice reports as lost."""
    traits, _, server = notice.subject.rpartition(SUBJECT_SEPARATOR)
    lost_s = now_s - (SUSPECT_TTL_S - notice.ttl_s)
    return LostRun(tuple(traits.split(TRAIT_SEPARATOR)), server, lost_s - notice.value, lost_s)


__all__ = [
    "CRASH_VALUE",
    "SUBJECT_SEPARATOR",
    "TRIAL_VALUE",
    "TRIAL_WAIT_S",
    "QuarantineNotices",
    "read_lost_run",
]
