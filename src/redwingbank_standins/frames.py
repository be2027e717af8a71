"""Encoding of answers in the OpenAI protocol, as stream chunks or a single completion."""

from __future__ import annotations

import json
import time
from typing import Any


class CompletionEncoder:
    """Encodes one answer; `done` is the last frame of a stream."""

    done = b"data: [DONE]\n\n"

    def __init__(
        self, request_id: str, body: dict[str, Any], prompt_tokens: int, tokens: int, limit: int
    ) -> None:
        self._head = {"id": request_id, "created": int(time.time()), "model": body["model"]}
        self._usage = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": prompt_tokens + tokens,
        }
        options = body.get("stream_options")
        self._includes_usage = isinstance(options, dict) and bool(options.get("include_usage"))
        self._finish_reason = "length" if tokens >= limit else "stop"
        self.content_type = "text/event-stream" if body.get("stream") else "application/json"
        prefix, suffix = json.dumps(self._chunk({"content": "@"}, None)).split('"@"')
        self._token_prefix = f"data: {prefix}".encode()
        self._token_suffix = f"{suffix}\n\n".encode()

    def token_frame(self, text: str) -> bytes:
        """Return the frame of one token."""
        return self._token_prefix + json.dumps(text).encode() + self._token_suffix

    def finish_frame(self) -> bytes:
        """Return the frame with the finish reason, and with the usage if requested."""
        chunk = self._chunk({}, self._finish_reason)
        if self._includes_usage:
            chunk["usage"] = self._usage
        return f"data: {json.dumps(chunk)}\n\n".encode()

    def completion(self, text: str) -> dict[str, Any]:
        """Return the answer as a single completion."""
        message = {"role": "assistant", "content": text}
        choice = {"index": 0, "message": message, "finish_reason": self._finish_reason}
        head = {**self._head, "object": "chat.completion"}
        return {**head, "choices": [choice], "usage": self._usage}

    def _chunk(self, delta: dict[str, str], finish_reason: str | None) -> dict[str, Any]:
        choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
        return {**self._head, "object": "chat.completion.chunk", "choices": [choice]}


__all__ = ["CompletionEncoder"]
