"""Failures of attempts, and those that the answer itself shows, not its connection."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.front.outbound import Loss
from redwingbank.model import Outcome

if TYPE_CHECKING:
    from redwingbank.front.events import EventSplitter

OUTCOME_BY_LOSS = {
    Loss.UNCONNECTED: Outcome.CRASHED,
    Loss.CLOSED: Outcome.CLOSED_EARLY,
    Loss.RESET: Outcome.CRASHED,
    Loss.GARBAGE: Outcome.GARBAGE,
}


class Failure(NamedTuple):
    """Why an attempt has no answer; `sent` is true if the server may have run the request.

    `reached` is false if no byte of the request was sent to the server. `misdirected` is true if
    another server than the one it was meant for turned it away.
    """

    outcome: Outcome
    sent: bool
    detail: str
    reached: bool = True
    misdirected: bool = False


CUT_SHORT = Failure(Outcome.CLOSED_EARLY, sent=True, detail="connection closed inside the stream")


def invalid_answer(detail: str) -> Failure:
    """Return the failure of an answer that is not valid."""
    return Failure(Outcome.GARBAGE, sent=True, detail=detail)


def lost_answer(loss: Loss, detail: str, *, sent: bool) -> Failure:
    """Return the failure of an attempt whose connection was lost; `sent` if it had the request."""
    return Failure(OUTCOME_BY_LOSS[loss], sent, f"{loss}: {detail}", reached=sent)


def not_run(*, misdirected: bool) -> Failure:
    """Return the failure of an attempt whose server states that the request did not run."""
    return Failure(Outcome.REFUSED, sent=False, detail="not run", misdirected=misdirected)


def error_answer(status: int) -> Failure:
    """Return the failure of an answer with an error status."""
    return Failure(Outcome.CLOSED_EARLY, sent=True, detail=f"status {status}")


def is_cut_short(splitter: EventSplitter, *, sized: bool) -> bool:
    """Whether the end of the connection broke off a stream instead of completing it."""
    return not sized and not (splitter.complete and splitter.has_events)


__all__ = [
    "CUT_SHORT",
    "Failure",
    "error_answer",
    "invalid_answer",
    "is_cut_short",
    "lost_answer",
    "not_run",
]
