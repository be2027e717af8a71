"""What an answer proves of whether its request ran, whoever wrote it.

Answers faults in which a server fails a call after it has run, with a status that callers read as
a promise that it has not: a caller that believes it makes the call twice.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple

from redwingbank.codes import MEANING_BY_CODE, Code, Ran

# Callers read these as a promise that their request did not run and never will.
PROMISING_STATUSES = frozenset({408, 421, 429, 503})
MISDIRECTED_STATUS = 421
# With these an engine refuses what it has not begun, as its protocol says.
ENGINE_REFUSALS = frozenset({429, 503})
# The router's own errors that tell a caller that its request did not run.
CODES_WITHOUT_RUN = frozenset(
    code for code, meaning in MEANING_BY_CODE.items() if meaning.ran is Ran.NO
)


class RunEvidence(Enum):
    """What in an answer bears on whether its request ran."""

    STATED = auto()
    MISDIRECTED = auto()
    ROUTER_CODE = auto()
    ENGINE_REFUSAL = auto()
    STATUS = auto()
    ANSWER = auto()


class RunProof(NamedTuple):
    """Whether the evidence proves that a request did not run, and why."""

    not_run: bool
    reason: str


PROOF_BY_EVIDENCE: dict[RunEvidence, RunProof] = {
    RunEvidence.STATED: RunProof(True, "the server states that it did not run the request"),
    RunEvidence.MISDIRECTED: RunProof(True, "another server than the one asked turned it away"),
    RunEvidence.ROUTER_CODE: RunProof(True, "a host gives this code only to what did not run"),
    RunEvidence.ENGINE_REFUSAL: RunProof(True, "engines refuse only what they have not begun"),
    RunEvidence.STATUS: RunProof(
        False, "the server doesn't state that it did not run the request"
    ),
    RunEvidence.ANSWER: RunProof(False, "the server answered the request"),
}


class AnswerClaim(NamedTuple):
    """What the head of an answer claims of the run of its request.

    `stated` is true if the server states that it did not run the request. `code` is the router's
    own, 0 if the answer is not one of its errors. `by_engine` is true for the answers of engines.
    """

    status: int
    stated: bool = False
    code: int = 0
    by_engine: bool = False

    @property
    def evidence(self) -> RunEvidence:
        """The strongest evidence in the answer."""
        found = (
            (self.stated, RunEvidence.STATED),
            (self.status == MISDIRECTED_STATUS, RunEvidence.MISDIRECTED),
            (self.code in CODES_WITHOUT_RUN, RunEvidence.ROUTER_CODE),
            (self.by_engine and self.status in ENGINE_REFUSALS, RunEvidence.ENGINE_REFUSAL),
            (self.promises, RunEvidence.STATUS),
        )
        return next((one for holds, one in found if holds), RunEvidence.ANSWER)

    @property
    def promises(self) -> bool:
        """Whether callers read the status as a promise that the request did not run."""
        return self.status in PROMISING_STATUSES

    @property
    def not_run(self) -> bool:
        """Whether the answer proves that the request did not run."""
        return PROOF_BY_EVIDENCE[self.evidence].not_run

    @property
    def unproven(self) -> bool:
        """Whether the answer would promise a caller what nothing in it proves.

        >>> AnswerClaim(503).unproven, AnswerClaim(503, stated=True).unproven
        (True, False)
        >>> AnswerClaim(500).unproven
        False
        """
        return self.promises and not self.not_run


def claims_no_run(code: Code) -> bool:
    """Whether the router's own error tells its caller that the request did not run.

    >>> claims_no_run(Code.NO_BACKEND_SERVER), claims_no_run(Code.BACKEND_FAILED)
    (True, False)
    """
    return code in CODES_WITHOUT_RUN


__all__ = [
    "CODES_WITHOUT_RUN",
    "ENGINE_REFUSALS",
    "MISDIRECTED_STATUS",
    "PROMISING_STATUSES",
    "PROOF_BY_EVIDENCE",
    "AnswerClaim",
    "RunEvidence",
    "RunProof",
    "claims_no_run",
]
