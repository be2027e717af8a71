"""What an answer proves of its request: that the request, or its prompt too, crashes no server.

Answers crashes that have nothing to do with what runs: a request that is asked for all the time is
lost by most of them, and only the answers in between tell it from one that crashes its servers.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple

from redwingbank.model import Outcome
from redwingbank.rules.run_proof import PROMISING_STATUSES, AnswerClaim


class Proved(Enum):
    """What an answer has shown to crash no server."""

    NOTHING = auto()
    REQUEST = auto()
    PROMPT = auto()


class AnswerKind(Enum):
    """How a run ended, or goes on, as far as that tells of crashes."""

    SUCCESS = auto()
    EVENTS = auto()
    REJECTED = auto()
    FAILED = auto()
    TIMED_OUT = auto()
    REFUSED = auto()
    UNSIGNED = auto()
    FOREIGN = auto()
    BROKEN = auto()


class Proof(NamedTuple):
    """What a kind of answer proves, and why it proves no more and no less."""

    proved: Proved
    reason: str


PROOF_BY_KIND: dict[AnswerKind, Proof] = {
    AnswerKind.SUCCESS: Proof(Proved.PROMPT, "the server ran it, with its prompt, to the end"),
    AnswerKind.EVENTS: Proof(Proved.PROMPT, "crashes come as the answer begins, not later"),
    AnswerKind.REJECTED: Proof(Proved.REQUEST, "the server may not have read the prompt"),
    AnswerKind.FAILED: Proof(Proved.NOTHING, "a faulty server fails what it has not run, too"),
    AnswerKind.TIMED_OUT: Proof(Proved.NOTHING, "it may have waited until its deadline"),
    AnswerKind.REFUSED: Proof(Proved.NOTHING, "it has not run"),
    AnswerKind.UNSIGNED: Proof(Proved.NOTHING, "something before the server may have answered"),
    AnswerKind.FOREIGN: Proof(Proved.NOTHING, "it may be the answer to another request"),
    AnswerKind.BROKEN: Proof(Proved.NOTHING, "the server may have crashed"),
}

# the request itself comes first among its traits
_TRAITS_BY_PROVED = {
    Proved.NOTHING: slice(0),
    Proved.REQUEST: slice(1),
    Proved.PROMPT: slice(None),
}
# These turn a request away where the answer proves that it did not run, and fail it otherwise.
_KIND_BY_STATUS = {
    **dict.fromkeys(PROMISING_STATUSES, AnswerKind.FAILED),
    504: AnswerKind.TIMED_OUT,
}
_KIND_BY_STATUS_CLASS = {
    2: AnswerKind.SUCCESS,
    3: AnswerKind.REJECTED,
    4: AnswerKind.REJECTED,
}
_KIND_BY_OUTCOME = {
    Outcome.REFUSED: AnswerKind.REFUSED,
    Outcome.GARBAGE: AnswerKind.FOREIGN,
    Outcome.TIMED_OUT: AnswerKind.TIMED_OUT,
}


def classify_answer(status: int, *, stamped: bool, not_run: bool) -> AnswerKind:
    """Classify a whole answer by its status and by what its head states.

    >>> classify_answer(404, stamped=True, not_run=False)
    <AnswerKind.REJECTED: 3>
    >>> PROOF_BY_KIND[classify_answer(500, stamped=True, not_run=False)].proved
    <Proved.NOTHING: 1>
    """
    if AnswerClaim(status, stated=not_run).not_run:
        return AnswerKind.REFUSED
    if not stamped:
        return AnswerKind.UNSIGNED
    kind = _KIND_BY_STATUS_CLASS.get(status // 100, AnswerKind.FAILED)
    return _KIND_BY_STATUS.get(status, kind)


def classify_failure(outcome: Outcome) -> AnswerKind:
    """Classify an attempt that ended without a whole answer."""
    return _KIND_BY_OUTCOME.get(outcome, AnswerKind.BROKEN)


def proved_traits(kind: AnswerKind, traits: tuple[str, ...]) -> tuple[str, ...]:
    """Return which traits of a request an answer proves harmless; the first is the request itself.

    >>> proved_traits(AnswerKind.REJECTED, ("request", "part"))
    ('request',)
    """
    return traits[_TRAITS_BY_PROVED[PROOF_BY_KIND[kind].proved]]


__all__ = [
    "PROOF_BY_KIND",
    "AnswerKind",
    "Proof",
    "Proved",
    "classify_answer",
    "classify_failure",
    "proved_traits",
]
