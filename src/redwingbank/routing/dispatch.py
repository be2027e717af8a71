"""Decides whether a request is sent to a backend server or refused, and when it may return.

Answers bursts and the loss of servers: a prompt whose best server can't begin it while its caller
waits is refused at once, with the time in which that server works off what is ahead.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.codes import Code
from redwingbank.routing.choice import refusal_code

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from redwingbank.front.values import Pool, ServerEntry
    from redwingbank.routing.choice import Choice, Chooser, RequestNeeds


class Send(NamedTuple):
    """The request is sent to the chosen server."""

    choice: Choice


class Refuse(NamedTuple):
    """The request is refused; `retry_after_s` is 0.0 if nothing is known of when to return."""

    code: Code
    retry_after_s: float


class Dispatcher:
    """Decides on one request at a time, from the state of the servers at that moment."""

    def __init__(self, chooser: Chooser) -> None:
        self._chooser = chooser

    def decide(
        self,
        entries: Sequence[ServerEntry],
        pool: Pool,
        needs: RequestNeeds,
        avoid: Collection[str],
        now_s: float,
    ) -> Send | Refuse:
        """Choose a server outside `avoid`, or refuse the request.

        A stream whose answer has begun is never refused while there is a server.
        """
        choice = self._chooser.choose(entries, pool, needs, avoid, now_s)
        if choice is None:
            return Refuse(Code.NO_BACKEND_SERVER, 0.0)
        code = None if needs.answer_begun else refusal_code(choice, needs, now_s)
        if code is None:
            return Send(choice)
        return Refuse(code, choice.backlog_tokens / choice.backend.load.read_tokens_per_s)


__all__ = ["Dispatcher", "Refuse", "Send"]
