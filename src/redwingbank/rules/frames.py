"""Server-sent event frames of an engine's answer, cut whole and counted without parsing each."""

from __future__ import annotations

import json
from typing import Any

FRAME_END = b"\n\n"
FRAME_START = b"data: "
END_MARK = b"data: [DONE]\n\n"
LONGEST_FRAME_BYTES = 1024 * 1024


class GarbageError(Exception):
    """The bytes are not frames of the protocol."""


class FrameParser:
    r"""Cuts an engine's byte stream into whole frames.

    `tokens` counts the frames that carry text, over all attempts fed so far; `finished`
    is set by the engine's own end mark only.

    >>> frames = Frames()
    >>> frames.feed(b'data: {"choices":[{"delta":{"content":"a"}}]}\n\ndata: {"ch')
    b'data: {"choices":[{"delta":{"content":"a"}}]}\n\n'
    >>> frames.tokens
    1
    """

    def __init__(self) -> None:
        self.tokens = 0
        self.finished = False
        self._rest = b""

    def reset(self) -> None:
        """Drop a half frame before the stream goes on from another backend server."""
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return the whole frames among them, the end mark included.

        :raises GarbageError: where the bytes cannot be frames
        """
        data = self._rest + data
        end = data.rfind(FRAME_END) + len(FRAME_END)
        if end < len(FRAME_END):
            self._keep(data)
            return b""
        whole = data[:end]
        self._keep(data[end:])
        self._check(whole)
        self.tokens += whole.count(b'"content":')
        return whole

    def _keep(self, rest: bytes) -> None:
        if rest and not FRAME_START.startswith(rest[: len(FRAME_START)]):
            raise GarbageError
        if len(rest) > LONGEST_FRAME_BYTES:
            raise GarbageError
        self._rest = rest

    def _check(self, whole: bytes) -> None:
        if self.finished:
            raise GarbageError
        self.finished = whole.endswith(END_MARK)
        frames = whole.count(FRAME_END)
        starts = whole.count(b"\n\ndata: ") + whole.startswith(FRAME_START)
        objects = whole.count(b"}\n\n")
        if starts != frames or objects + self.finished != frames:
            raise GarbageError


def assemble(frames: bytes) -> dict[str, Any]:
    """Build the whole completion that a streamed answer's frames amount to.

    :raises GarbageError: where a frame is no chunk of the protocol
    """
    text: list[str] = []
    body: dict[str, Any] = {"object": "chat.completion"}
    reason = "stop"
    try:
        for frame in frames.split(FRAME_END):
            if not frame or frame == END_MARK.strip():
                continue
            chunk = json.loads(frame[len(FRAME_START) :])
            body |= {key: chunk[key] for key in ("id", "created", "model") if key in chunk}
            body |= {"usage": chunk["usage"]} if chunk.get("usage") else {}
            for choice in chunk["choices"]:
                text.append(choice["delta"].get("content") or "")
                reason = choice.get("finish_reason") or reason
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise GarbageError from error
    message = {"role": "assistant", "content": "".join(text)}
    body["choices"] = [{"index": 0, "message": message, "finish_reason": reason}]
    return body


__all__ = ["END_MARK", "FrameParser", "GarbageError", "assemble"]
