"""Tells requests when this host's list of backend servers is known to be current."""

from __future__ import annotations

import asyncio
import itertools
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.clock import now_s
from redwingbank.front.store import CALL_TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Streams are taken up in groups, after the end of a host or a server; they share a call.
ASK_INTERVAL_S = 0.2


class _Waiting(NamedTuple):
    """A request that arrived at `since_s`; `told` gets the result."""

    since_s: float
    told: Callable[[bool], None]
    timer: asyncio.TimerHandle


class ListCheck:
    """Asks the store whether the list of servers is current as of a request's arrival.

    A host can't tell from its list that it is out of step: cut off, or back after it stood still,
    it sees the servers that there were. Only the answer to a question that it has sent since
    shows that no server has joined unseen. `ask` sends a question; its answer is reported to
    `confirmed` once the changes in it are known here.
    """

    def __init__(self, ask: Callable[[], None]) -> None:
        self._ask = ask
        self._asked_s = float("-inf")
        self._lost = False
        self._next_question: asyncio.TimerHandle | None = None
        self._numbers = itertools.count()
        self._waiting_by_number: dict[int, _Waiting] = {}

    def start(self, told: Callable[[bool], None]) -> None:
        """Tell whether the list is current as of now; False if the store does not answer."""
        if self._lost:
            told(False)  # noqa: FBT003 - the only argument of a callback
            return
        number = next(self._numbers)
        timer = asyncio.get_running_loop().call_later(
            CALL_TIMEOUT_S, partial(self._end, [number], current=False)
        )
        self._waiting_by_number[number] = _Waiting(now_s(), told, timer)
        self._ask_soon()

    def confirmed(self, asked_s: float) -> None:
        """Record that the list was current when a question was sent."""
        waiting = self._waiting_by_number.items()
        self._end([number for number, one in waiting if one.since_s <= asked_s], current=True)
        if self._waiting_by_number:
            self._ask_soon()

    def lost(self) -> None:
        """Record that the store does not answer; until `regained`, told at once."""
        self._lost = True
        self._end(list(self._waiting_by_number), current=False)

    def regained(self) -> None:
        """Record that the store answers again."""
        self._lost = False

    def _ask_soon(self) -> None:
        if self._next_question is None:
            wait_s = max(0.0, self._asked_s + ASK_INTERVAL_S - now_s())
            self._next_question = asyncio.get_running_loop().call_later(wait_s, self._send)

    def _send(self) -> None:
        self._next_question = None
        if self._waiting_by_number:
            self._asked_s = now_s()
            self._ask()

    def _end(self, numbers: Iterable[int], *, current: bool) -> None:
        for number in numbers:
            waiting = self._waiting_by_number.pop(number)
            waiting.timer.cancel()
            waiting.told(current)


__all__ = ["ListCheck"]
