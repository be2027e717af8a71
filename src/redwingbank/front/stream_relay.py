"""Passes a streamed answer on to its caller, whole events only, over all of its attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from redwingbank.front.answer_heads import is_event_stream
from redwingbank.front.events import EventSplitter
from redwingbank.front.failures import CUT_SHORT, Failure, invalid_answer, is_cut_short
from redwingbank.rules.answer_memory import KeptBytes

if TYPE_CHECKING:
    from redwingbank.front.caller_answer import CallerAnswer
    from redwingbank.front.request_recorder import RequestRecorder
    from redwingbank.front.wire import AnswerHead
    from redwingbank.platform.headers import AnswerFacts
    from redwingbank.rules.answer_memory import AnswerMemory


class StreamRelay:
    """The stream of one answer; the bodies of other answers pass through unchanged.

    `last_part_s` is when the caller got the latest part, on the host's clock.
    """

    def __init__(
        self, answer: CallerAnswer, recorder: RequestRecorder, memory: AnswerMemory
    ) -> None:
        self.last_part_s = 0.0
        self._answer = answer
        self._recorder = recorder
        self._kept = KeptBytes(memory)
        self._splitter: EventSplitter | None = None

    @property
    def has_events(self) -> bool:
        """Whether the answer consists of events."""
        return self._splitter is not None

    @property
    def last_id(self) -> str:
        """The last event that the caller has, empty if there is none."""
        return self._splitter.last_id if self._splitter else ""

    def begin_attempt(self, *, streams: bool, resume_after: str) -> None:
        """Expect the events after `resume_after`, or after those that the caller has already."""
        if self._splitter:
            self._splitter.drop_partial()
        elif streams:
            self._splitter = EventSplitter(resume_after, self._kept.resize)

    def begin(self, head: AnswerHead, facts: AnswerFacts, now_s: float) -> None:
        """Write the head, unless an earlier attempt has begun the answer.

        An answer that is no stream has no events, and passes unchanged.
        """
        if self._answer.begun:
            return
        if not is_event_stream(head):
            self._splitter = None
        self.last_part_s = now_s
        self._recorder.record_first_byte()
        self._answer.begin_stream(head.status, head.reason, facts.forwarded_headers)

    def split(self, data: bytes) -> bytes:
        """Return what a part of the body completes.

        :raises EventError: if it is no valid continuation of the stream
        """
        return self._splitter.feed(data) if self._splitter else data

    def send_events(self, events: bytes, now_s: float) -> float | None:
        """Write whole events; return the pause before them in seconds, None before the first."""
        self.last_part_s = now_s
        pause_s = self._recorder.record_event(now_s)
        self._answer.send_part(events)
        return pause_s

    def close(self) -> None:
        """Drop what has arrived of an event."""
        if self._splitter:
            self._splitter.drop_partial()

    def find_fault(self, *, sized: bool) -> Failure | None:
        """Return why a body that has ended is not complete; `sized` if its end was marked."""
        if self._splitter is None:
            return None
        if is_cut_short(self._splitter, sized=sized):
            return CUT_SHORT
        return None if self._splitter.complete else invalid_answer("partial event at the end")


__all__ = ["StreamRelay"]
