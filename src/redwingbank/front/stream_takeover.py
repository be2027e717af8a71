"""Ends the answers to a stream that its caller takes up, at this host and at the one before."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple, Protocol

from redwingbank.clock import now_s
from redwingbank.front.stream_codec import Purpose, StreamNote
from redwingbank.routing.stream_answers import StreamAnswers, TakeUp
from redwingbank.routing.stream_takers import StreamTakers, Taker

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from redwingbank.front.stream_sharing import StreamSharing

# Datagrams are lost; a host that has not confirmed is told again. One that is gone or suspended
# need not be waited for.
TELL_AGAIN_S = 0.05
MAX_TOLD = 5
# After the end of a host many of its streams are taken up at the same moment; a message tells of
# several.
TELL_BATCH_S = 0.002


class AnswerOwner(Protocol):
    """The request whose answer brings a stream."""

    def end_taken_up(self) -> None:
        """End the answer: the caller takes the stream up in another one."""

    def fail_internally(self) -> None:
        """End the request after an unexpected error, unless it has ended."""


class _News(NamedTuple):
    """News that a stream was taken up, for the host that served it before."""

    take_up: TakeUp
    host: str
    told: int = 0


class StreamTakeover:
    """Keeps the answers of this host to one a stream, together with the other hosts.

    A caller whose connection hangs takes its stream up elsewhere long before the host that it was
    connected to notices. That host is told, and ends its run; the new answer doesn't wait for it.
    What it has not confirmed is told again, of all streams at once. Hosts may know an earlier host
    of a stream, which passes on what it is told.
    """

    def __init__(
        self,
        host: str,
        sharing: StreamSharing,
        guard: Callable[[Callable[[], None], Callable[[], None]], None],
    ) -> None:
        self.answers: StreamAnswers[AnswerOwner] = StreamAnswers()
        self._host = host
        self._sharing = sharing
        self._guard = guard
        self._takers = StreamTakers()
        # by stream and host
        self._news_by_receiver: dict[tuple[str, str], _News] = {}
        self._untold: list[tuple[str, str]] = []
        self._tells_again = False
        sharing.handler_by_purpose[Purpose.TAKEN_UP] = self._handle_taken_up
        sharing.handler_by_purpose[Purpose.RELEASED] = self._handle_released

    def take_up(self, take_up: TakeUp, served_by: str) -> None:
        """End the answers before the one that takes a stream up, here and at the host before."""
        self._end_answers(Taker(take_up, self._host))
        self._announce(take_up, served_by)

    def _announce(self, take_up: TakeUp, host: str) -> None:
        """Tell a host that a stream was taken up."""
        if host == self._host:
            return
        self._news_by_receiver[take_up.key, host] = _News(take_up, host)
        if not self._untold:
            asyncio.get_running_loop().call_later(TELL_BATCH_S, self._tell_new)
        self._untold.append((take_up.key, host))

    def _tell_new(self) -> None:
        receivers, self._untold = self._untold, []
        self._tell(receivers)
        self._tell_later()

    def _tell_again(self) -> None:
        self._tells_again = False
        self._tell(list(self._news_by_receiver))
        self._tell_later()

    def _tell_later(self) -> None:
        """Tell once more what will not be confirmed by then."""
        if self._news_by_receiver and not self._tells_again:
            self._tells_again = True
            asyncio.get_running_loop().call_later(TELL_AGAIN_S, self._tell_again)

    def _tell(self, receivers: Iterable[tuple[str, str]]) -> None:
        """Tell the hosts before of streams that were taken up, unless they need no longer know."""
        now = now_s()
        notes_by_host: defaultdict[str, list[StreamNote]] = defaultdict(list)
        for receiver in receivers:
            news = self._news_by_receiver.pop(receiver, None)
            if news and news.told < MAX_TOLD:
                take_up = news.take_up
                age_s = now - take_up.at_s
                note = StreamNote(take_up.key, taken_up_by=take_up.request, age_s=age_s)
                notes_by_host[news.host].append(note)
                self._news_by_receiver[receiver] = news._replace(told=news.told + 1)
        for host, notes in notes_by_host.items():
            self._sharing.tell([host], Purpose.TAKEN_UP, notes)

    def _handle_taken_up(self, notes: Iterable[StreamNote], host: str) -> None:
        now, confirmed = now_s(), []
        for note in notes:
            at_s = self.answers.taken_up_s(now, note.age_s)
            self._end_answers(Taker(TakeUp(note.key, note.taken_up_by, at_s), host))
            confirmed.append(StreamNote(note.key))
        self._sharing.tell([host], Purpose.RELEASED, confirmed)

    def _handle_released(self, notes: Iterable[StreamNote], host: str) -> None:
        for note in notes:
            self._news_by_receiver.pop((note.key, host), None)

    def _end_answers(self, taker: Taker) -> None:
        """End this host's answers before a take-up; tell an earlier taker of a later one."""
        for owner in self.answers.superseded(taker.take_up):
            self._guard(owner.end_taken_up, owner.fail_internally)
        news = self._takers.record(taker, now_s())
        if news:
            self._announce(news.take_up, news.host)


__all__ = ["StreamTakeover"]
