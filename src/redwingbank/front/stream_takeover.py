"""Ends the answers to a stream that its caller takes up, at this host and at the one before."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from redwingbank.clock import now_s
from redwingbank.front.stream_codec import Purpose, StreamNote, StreamReport
from redwingbank.routing.stream_answers import StreamAnswers, TakeUp

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from redwingbank.front.peers import Peers
    from redwingbank.front.stream_sharing import StreamSharing

# Datagrams are lost; a host that has not confirmed is told again. One that is gone or suspended
# need not be waited for.
TELL_AGAIN_S = 0.05
MAX_TOLD = 5


class AnswerOwner(Protocol):
    """The request whose answer brings a stream."""

    def end_taken_up(self) -> None:
        """End the answer: the caller takes the stream up in another one."""

    def fail_internally(self) -> None:
        """End the request after an unexpected error, unless it has ended."""


class StreamTakeover:
    """Keeps the answers of this host to one a stream, together with the other hosts.

    A caller whose connection hangs takes its stream up elsewhere long before the host that it was
    connected to notices. That host is told, and ends its run; the new answer doesn't wait for it.
    """

    def __init__(
        self,
        host: str,
        peers: Peers,
        sharing: StreamSharing,
        guard: Callable[[Callable[[], None], Callable[[], None]], None],
    ) -> None:
        self.answers: StreamAnswers[AnswerOwner] = StreamAnswers()
        self._host = host
        self._peers = peers
        self._guard = guard
        self._timer_by_key: dict[str, asyncio.TimerHandle] = {}
        sharing.handler_by_purpose[Purpose.TAKEN_UP] = self._handle_taken_up
        sharing.handler_by_purpose[Purpose.RELEASED] = self._handle_released

    def take_up(self, take_up: TakeUp, served_by: str) -> None:
        """End the answers before the one that takes a stream up, here and at the host before."""
        self._end_answers(take_up)
        if served_by != self._host:
            self._tell(take_up, served_by, 1)

    def _tell(self, take_up: TakeUp, host: str, count: int) -> None:
        if count > MAX_TOLD:
            del self._timer_by_key[take_up.key]
            return
        age_s = now_s() - take_up.at_s
        note = StreamNote(take_up.key, taken_up_by=take_up.request, age_s=age_s)
        self._peers.tell([host], StreamReport(Purpose.TAKEN_UP, (note,)))
        loop = asyncio.get_running_loop()
        self._timer_by_key[take_up.key] = loop.call_later(
            TELL_AGAIN_S, self._tell, take_up, host, count + 1
        )

    def _stop_telling(self, key: str) -> None:
        timer = self._timer_by_key.pop(key, None)
        if timer:
            timer.cancel()

    def _handle_taken_up(self, notes: Iterable[StreamNote], host: str) -> None:
        now = now_s()
        for note in notes:
            self._end_answers(TakeUp(note.key, note.taken_up_by, now - note.age_s))
            self._peers.tell([host], StreamReport(Purpose.RELEASED, (StreamNote(note.key),)))

    def _handle_released(self, notes: Iterable[StreamNote], host: str) -> None:
        for note in notes:
            self._stop_telling(note.key)

    def _end_answers(self, take_up: TakeUp) -> None:
        # what this host tells of an earlier take-up is out of date
        self._stop_telling(take_up.key)
        for owner in self.answers.superseded(take_up):
            self._guard(owner.end_taken_up, owner.fail_internally)


__all__ = ["StreamTakeover"]
