"""An engine's answers in the OpenAI protocol's form: stream chunks and whole completions."""

from __future__ import annotations

import json
import time
from typing import Any


class Frames:
    """Builds the parts of one answer."""

    done = b"data: [DONE]\n\n"

    def __init__(
        self, request_id: str, body: dict[str, Any], prompt: int, tokens: int, limit: int
    ) -> None:
        self._head = {"id": request_id, "created": int(time.time()), "model": body["model"]}
        self._usage = {
            "prompt_tokens": prompt,
            "completion_tokens": tokens,
            "total_tokens": prompt + tokens,
        }
        options = body.get("stream_options")
        self._with_usage = isinstance(options, dict) and bool(options.get("include_usage"))
        self._reason = "length" if tokens >= limit else "stop"
        self.content_type = "text/event-stream" if body.get("stream") else "application/json"
        before, after = json.dumps(self._chunk({"content": "@"}, None)).split('"@"')
        self._before = f"data: {before}".encode()
        self._after = f"{after}\n\n".encode()

    def token(self, text: str) -> bytes:
        """Give the frame of one token."""
        return self._before + json.dumps(text).encode() + self._after

    def end(self) -> bytes:
        """Give the frame with the finish reason, and the usage where asked for."""
        chunk = self._chunk({}, self._reason)
        if self._with_usage:
            chunk["usage"] = self._usage
        return f"data: {json.dumps(chunk)}\n\n".encode()

    def whole(self, text: str) -> dict[str, Any]:
        """Give a whole completion."""
        message = {"role": "assistant", "content": text}
        choice = {"index": 0, "message": message, "finish_reason": self._reason}
        head = {**self._head, "object": "chat.completion"}
        return {**head, "choices": [choice], "usage": self._usage}

    def _chunk(self, delta: dict[str, str], reason: str | None) -> dict[str, Any]:
        choice = {"index": 0, "delta": delta, "finish_reason": reason}
        return {**self._head, "object": "chat.completion.chunk", "choices": [choice]}


__all__ = ["Frames"]
