"""Messages between a caller's task and the dispatch task about one request."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

import anyio

from redwingbank.rules.answer_proof import AnswerKind
from redwingbank.rules.lifecycle import Lifecycle, Step
from redwingbank.tasks.mailbox import post

if TYPE_CHECKING:
    from redwingbank.codes import Code
    from redwingbank.model import Outcome, Request


class Grant(NamedTuple):
    """The request may be sent to this backend server now."""

    server: str
    address: str
    kind: str


class Refused(NamedTuple):
    """The request is refused for good; the caller may retry after `retry_after_s`."""

    code: Code
    retry_after_s: float = 0.0
    detail: str = ""


class Ticket:
    """The dispatch state of one request over all its attempts.

    The caller's task reads `decisions`; the dispatch task adds to them with `decide`.
    """

    def __init__(self, request: Request) -> None:
        self.request = request
        self.life = Lifecycle(request.request_id)
        self.avoid: frozenset[str] = frozenset()
        self.server = ""
        self.address = ""
        self.cell = ""
        self.tried: tuple[str, ...] = ()
        self.sent_s = 0.0
        self._decide, self.decisions = anyio.create_memory_object_stream[Grant | Refused](math.inf)

    def decide(self, decision: Grant | Refused) -> None:
        """Send a decision to the caller's task; it stays unread if the caller has disconnected."""
        post(self._decide, decision)

    def grant(self, grant: Grant, now_s: float) -> None:
        """Assign the request to a backend server."""
        self.life.advance(Step.GRANT)
        self.server = grant.server
        self.address = grant.address
        self.sent_s = now_s
        self.decide(grant)

    def requeue(self) -> None:
        """Return the request to the queue for another attempt."""
        self.life.advance(Step.RETRY)


class Submit(NamedTuple):
    """A new request asks for a backend server."""

    ticket: Ticket


class FirstToken(NamedTuple):
    """The first token of an attempt arrived `first_token_s` after the request was sent."""

    ticket: Ticket
    first_token_s: float


class AttemptEnded(NamedTuple):
    """An attempt at a backend server has ended.

    `begun` is true if a byte of the answer arrived. `tokens` counts the tokens delivered in
    all attempts. `first_token_s` is the time to the first token, 0 if none arrived. `answer` tells
    what an answer that is done proves of the request.
    """

    ticket: Ticket
    outcome: Outcome
    begun: bool = False
    tokens: int = 0
    first_token_s: float = 0.0
    answer: AnswerKind = AnswerKind.SUCCESS


class CallerDisconnected(NamedTuple):
    """The caller has disconnected; the request ends, whatever its state."""

    ticket: Ticket
    tokens: int = 0


__all__ = [
    "AttemptEnded",
    "CallerDisconnected",
    "FirstToken",
    "Grant",
    "Refused",
    "Submit",
    "Ticket",
]
