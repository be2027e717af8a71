"""The connection that answers are written to."""

from __future__ import annotations

from typing import Protocol


class Caller(Protocol):
    """The connection that an answer is written to."""

    def send_answer(self, status: int, reason: bytes, headers: bytes, body: bytes) -> None:
        """Write a complete answer."""

    def begin_stream(self, status: int, reason: bytes, headers: bytes) -> None:
        """Write the head of a streamed answer."""

    def send_part(self, data: bytes) -> None:
        """Write a part of a streamed answer."""

    def end_stream(self) -> None:
        """End a streamed answer."""

    def abort(self) -> None:
        """Close the connection without ending the answer, so that it does not look complete."""


__all__ = ["Caller"]
