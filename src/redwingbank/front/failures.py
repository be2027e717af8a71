"""Failures of attempts, and those that the answer itself shows, not its connection."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.model import Outcome

if TYPE_CHECKING:
    from redwingbank.front.events import EventSplitter


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


def error_answer(status: int) -> Failure:
    """Return the failure of an answer with an error status."""
    return Failure(Outcome.CLOSED_EARLY, sent=True, detail=f"status {status}")


def is_cut_short(splitter: EventSplitter, *, sized: bool) -> bool:
    """Whether the end of the connection broke off a stream instead of completing it."""
    return not sized and not (splitter.complete and splitter.has_events)


__all__ = ["CUT_SHORT", "Failure", "error_answer", "invalid_answer", "is_cut_short"]
