"""Splits an engine's answer into server-sent event frames, counted without parsing each one."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

from redwingbank.bounded_json import decode_json

if TYPE_CHECKING:
    from collections.abc import Callable

FRAME_END = b"\n\n"
FRAME_START = b"data: "
END_MARK = b"data: [DONE]\n\n"
# Quotes inside a string are escaped, so text that holds these fields does not match.
CHOICES_FIELD = b'"choices":'
_FINISH_REASON = re.compile(rb'"finish_reason": ?"')
MAX_FRAME_BYTES = 1024 * 1024


class GarbageError(Exception):
    """The bytes are not valid frames of the protocol."""


class FrameParser:
    r"""Splits an engine's byte stream into whole frames.

    `tokens` counts the frames with text over all attempts fed so far; `finished` is set only
    by the engine's end mark, which must come after a finish reason: frames that report an error
    are not part of an answer, and an end mark after them does not complete it. `keep` is asked
    whether so many bytes of an incomplete frame may be kept.

    >>> frames = FrameParser()
    >>> frames.feed(b'data: {"choices":[{"delta":{"content":"a"}}]}\n\ndata: {"ch')
    b'data: {"choices":[{"delta":{"content":"a"}}]}\n\n'
    >>> frames.tokens
    1
    """

    def __init__(self, keep: Callable[[int], bool] = lambda size: True) -> None:
        self.tokens = 0
        self.finished = False
        self._keep = keep
        self._partial = b""
        self._has_reason = False

    def reset(self) -> None:
        """Drop an incomplete frame before the stream continues from another backend server."""
        self._partial = b""
        self._keep(0)

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the frames completed, including the end mark.

        :raises GarbageError: if the bytes are not valid frames
        """
        data = self._partial + data
        end = data.rfind(FRAME_END) + len(FRAME_END)
        if end < len(FRAME_END):
            self._buffer(data)
            return b""
        whole = data[:end]
        self._buffer(data[end:])
        self._validate(whole)
        self.tokens += whole.count(b'"content":')
        return whole

    def _buffer(self, partial: bytes) -> None:
        if partial and not FRAME_START.startswith(partial[: len(FRAME_START)]):
            raise GarbageError
        if len(partial) > MAX_FRAME_BYTES or not self._keep(len(partial)):
            raise GarbageError
        self._partial = partial

    def _validate(self, whole: bytes) -> None:
        ends = whole.endswith(END_MARK)
        frames = whole.count(FRAME_END)
        starts = whole.count(b"\n\ndata: ") + whole.startswith(FRAME_START)
        objects = whole.count(b"}\n\n")
        chunks = whole.count(CHOICES_FIELD)
        has_reason = self._has_reason or _FINISH_REASON.search(whole) is not None
        if self.finished or starts != frames or not objects == chunks == frames - ends:
            raise GarbageError
        if ends and not has_reason:
            raise GarbageError
        self.finished, self._has_reason = ends, has_reason


def assemble(frames: bytes) -> dict[str, Any]:
    """Assemble the frames of a streamed answer into one completion.

    :raises GarbageError: if a frame is not a chunk of the protocol
    """
    text: list[str] = []
    body: dict[str, Any] = {"object": "chat.completion"}
    reason = "stop"
    try:
        for frame in frames.split(FRAME_END):
            if not frame or frame == END_MARK.strip():
                continue
            chunk = decode_json(frame[len(FRAME_START) :])
            body |= {key: chunk[key] for key in ("id", "created", "model") if key in chunk}
            body |= {"usage": chunk["usage"]} if chunk.get("usage") else {}
            for choice in chunk["choices"]:
                text.append(choice["delta"].get("content") or "")
                reason = choice.get("finish_reason") or reason
        message = {"role": "assistant", "content": "".join(text)}
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise GarbageError from error
    body["choices"] = [{"index": 0, "message": message, "finish_reason": reason}]
    return body


__all__ = ["END_MARK", "FrameParser", "GarbageError", "assemble"]
