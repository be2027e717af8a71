"""Counts the requests that servers began, from what becomes of this host's attempts.

Answers retries, resumed streams, refusals and callers that leave: each run that began counts once,
whatever became of its answer, since servers bill what they began.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable


class _Run(NamedTuple):
    organisation: str
    sent_s: float
    streams: bool
    had_room: bool


class RunCounter:
    """Passes the organisation of each request that began, and when, to `count`.

    A stream begins with its first event, a call in the middle between its sending and its answer.
    A stream that ends before its first event has not begun: closing its connection takes it out
    of the server's queue. A call that ends without an answer has begun if the server had room
    when it was sent.
    """

    def __init__(self, count: Callable[[str, float], None]) -> None:
        self._count = count
        self._run_by_number: dict[int, _Run] = {}

    def sent(
        self, number: int, organisation: str, sent_s: float, *, streams: bool, had_room: bool
    ) -> None:
        """Record a request that is sent; one without an organisation is not counted."""
        if organisation:
            self._run_by_number[number] = _Run(organisation, sent_s, streams, had_room)

    def first_event(self, number: int, now_s: float) -> None:
        """Record the first part of an answer that is streamed."""
        run = self._run_by_number.pop(number, None)
        if run:
            began_s = now_s if run.streams else _middle_s(run, now_s)
            self._count(run.organisation, began_s)

    def answered(self, number: int, now_s: float) -> None:
        """Record a complete answer, also one with an error."""
        run = self._run_by_number.pop(number, None)
        if run:
            self._count(run.organisation, _middle_s(run, now_s))

    def refused(self, number: int) -> None:
        """Record that the server has not run a request."""
        self._run_by_number.pop(number, None)

    def ended(self, number: int, now_s: float, *, sent: bool) -> None:
        """Record the end of an attempt; `sent` is false if the server never got the request."""
        run = self._run_by_number.pop(number, None)
        if run and sent and run.had_room and not run.streams:
            self._count(run.organisation, _middle_s(run, now_s))


def _middle_s(run: _Run, now_s: float) -> float:
    return (run.sent_s + now_s) / 2


__all__ = ["RunCounter"]
