"""The answer to one request, whoever writes it: an attempt, a forward or the host itself."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from redwingbank.front.caller import Caller


class AnswerState(Enum):
    """How much of the answer was written."""

    AWAITED = auto()
    STREAMED = auto()
    ENDED = auto()


class Part(Enum):
    """A part of an answer: all of it, or one of a stream's; `CUT` breaks the answer off."""

    WHOLE = auto()
    HEAD = auto()
    BODY = auto()
    LAST = auto()
    CUT = auto()


NEXT_BY_STATE_AND_PART: dict[tuple[AnswerState, Part], AnswerState] = {
    (AnswerState.AWAITED, Part.WHOLE): AnswerState.ENDED,
    (AnswerState.AWAITED, Part.HEAD): AnswerState.STREAMED,
    (AnswerState.AWAITED, Part.CUT): AnswerState.ENDED,
    (AnswerState.STREAMED, Part.BODY): AnswerState.STREAMED,
    (AnswerState.STREAMED, Part.LAST): AnswerState.ENDED,
    (AnswerState.STREAMED, Part.CUT): AnswerState.ENDED,
    (AnswerState.ENDED, Part.CUT): AnswerState.ENDED,
}


class AnswerError(Exception):
    """A part that can't follow what was written, which is a bug in the router."""


class CallerAnswer:
    """Writes the answer to one request, and is the only place that knows what was written of it.

    A part that would make the bytes no valid answer raises an error and is not written: a stream
    that has begun can't become an error answer, but can be broken off.

    >>> from unittest.mock import Mock
    >>> answer = CallerAnswer(Mock())
    >>> answer.begin_stream(200, b"OK", b"")
    >>> answer.begun
    True
    """

    def __init__(self, caller: Caller) -> None:
        self._caller = caller
        self._state = AnswerState.AWAITED

    @property
    def begun(self) -> bool:
        """Whether anything of the answer was written."""
        return self._state is not AnswerState.AWAITED

    def send_answer(self, status: int, reason: bytes, headers: bytes, body: bytes) -> None:
        """Write a complete answer.

        :raises AnswerError: if an answer has begun
        """
        self._advance(Part.WHOLE)
        self._caller.send_answer(status, reason, headers, body)

    def begin_stream(self, status: int, reason: bytes, headers: bytes) -> None:
        """Write the head of a streamed answer.

        :raises AnswerError: if an answer has begun
        """
        self._advance(Part.HEAD)
        self._caller.begin_stream(status, reason, headers)

    def send_part(self, data: bytes) -> None:
        """Write a part of a streamed answer.

        :raises AnswerError: if no stream has begun, or it has ended
        """
        self._advance(Part.BODY)
        self._caller.send_part(data)

    def end_stream(self) -> None:
        """End a streamed answer.

        :raises AnswerError: if no stream has begun, or it has ended
        """
        self._advance(Part.LAST)
        self._caller.end_stream()

    def abort(self) -> None:
        """Close the caller's connection in the middle of an answer, or before it has begun."""
        ended = self._state is AnswerState.ENDED
        self._advance(Part.CUT)
        # the connection may carry the next request already
        if not ended:
            self._caller.abort()

    def _advance(self, part: Part) -> None:
        state = NEXT_BY_STATE_AND_PART.get((self._state, part))
        if state is None:
            raise AnswerError(f"{part.name} can't follow {self._state.name}")
        self._state = state


__all__ = ["AnswerError", "AnswerState", "CallerAnswer", "Part"]
