"""What a caller's task and the dispatch task say to each other about one request."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

import anyio

from redwingbank.rules.lifecycle import Life, Step

if TYPE_CHECKING:
    from redwingbank.codes import Code
    from redwingbank.model import Outcome, Request


class Grant(NamedTuple):
    """The request may be sent to this backend server now."""

    server: str
    address: str
    kind: str


class Refused(NamedTuple):
    """The request's final answer; `retry_after_s` is the time to return."""

    code: Code
    retry_after_s: float = 0.0
    detail: str = ""


class Ticket:
    """One request's place with the dispatch task, for all its attempts.

    The caller's task reads `decisions`; the dispatch task writes them with `decide`.
    """

    def __init__(self, request: Request) -> None:
        self.request = request
        self.life = Life(request.request_id)
        self.avoid: frozenset[str] = frozenset()
        self.server = ""
        self.address = ""
        self.cell = ""
        self.tried: tuple[str, ...] = ()
        self.sent_s = 0.0
        self._decide, self.decisions = anyio.create_memory_object_stream[Grant | Refused](math.inf)

    def decide(self, decision: Grant | Refused) -> None:
        """Tell the caller's task; a caller that has gone hears nothing."""
        self._decide.send_nowait(decision)

    def grant(self, grant: Grant, now_s: float) -> None:
        """Give the request its slot at a backend server."""
        self.life.advance(Step.GRANT)
        self.server = grant.server
        self.address = grant.address
        self.sent_s = now_s
        self.decide(grant)

    def requeue(self) -> None:
        """Put the request back to wait for another attempt."""
        self.life.advance(Step.RETRY)


class Submit(NamedTuple):
    """A new request wants a backend server."""

    ticket: Ticket


class FirstToken(NamedTuple):
    """The first token of an attempt came, `first_token_s` after its send."""

    ticket: Ticket
    first_token_s: float


class AttemptEnded(NamedTuple):
    """An attempt at a backend server is over.

    `begun` tells whether a byte of the answer came, `tokens` how many were delivered in all,
    `first_token_s` how long the server took to the first, 0 where none came.
    """

    ticket: Ticket
    outcome: Outcome
    begun: bool = False
    tokens: int = 0
    first_token_s: float = 0.0


class CallerDisconnected(NamedTuple):
    """The caller has gone; the request is over wherever it is."""

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
