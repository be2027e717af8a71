"""Stand-in for a backend server that writes an earlier answer once more on a kept connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from redwingbank_standins.backend_server import REPORT_TARGET, BackendServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank_standins.backend_server import ReceivedRequest

# Longer than a segment takes on loopback, so that the parts of an answer arrive one by one.
PART_S = 0.05
HEAD = b"HTTP/1.1 200 x\r\nRequest-Id: %b\r\nServer-Stamp: s.%b\r\n"
WHOLE = b"Content-Length: 5\r\n\r\nwhole"
STREAM = b"Content-Type: text/event-stream\r\nContent-Length: 15\r\n\r\nid: 1\ndata: x\n\n"
STREAM_PATHS = ("/fixed/", "/memo/")


class Refusal(NamedTuple):
    """A refusal: its status line and headers but for the id, which is added if it is `named`."""

    status: int = 503
    line: bytes = b"Not-Executed: 1\r\n"
    named: bool = True

    def encode(self, request_id: str) -> bytes:
        """Encode the refusal of a request; questions have no id."""
        name = b"Request-Id: %b\r\n" % request_id.encode() if self.named and request_id else b""
        head = b"HTTP/1.1 %d x\r\n%b%b" % (self.status, name, self.line)
        return head + b"Content-Length: 0\r\n\r\n"


def _whole(copy: bytes, answer: bytes) -> tuple[bytes, ...]:
    return copy, answer


def _at_once(copy: bytes, answer: bytes) -> tuple[bytes, ...]:
    return (copy + answer,)


def _in_halves(copy: bytes, answer: bytes) -> tuple[bytes, ...]:
    return copy[:30], copy[30:], answer


def _without_end(copy: bytes, answer: bytes) -> tuple[bytes, ...]:
    return copy.partition(b"\r\nContent-Length")[0], answer


def _status_line(copy: bytes, answer: bytes) -> tuple[bytes, ...]:
    return copy.partition(b"\r\n")[0], answer


# the parts that a server writes, with pauses between them, in place of an answer
PARTS_BY_MANNER: dict[str, Callable[[bytes, bytes], tuple[bytes, ...]]] = {
    "before the answer": _whole,
    "with the answer": _at_once,
    "in halves": _in_halves,
    "without its end": _without_end,
    "up to its status line": _status_line,
}


class CopyingServer(BackendServer):
    """Refuses what is in `refused` (request ids and targets) once, and runs all other requests.

    `copies` tells in which of the manners of `PARTS_BY_MANNER` the last refusal on a connection
    is written once more with the answer to the next request there; empty for a sound server. The
    copy comes without its end with the answer before instead if `ahead` is set.
    """

    def __init__(self, name: str, refusal: Refusal, copies: str = "") -> None:
        super().__init__(name)
        self.refusal = refusal
        self.copies = copies
        self.ahead = False
        self.refused: list[str] = []
        self.connections = 0
        self._copy_by_writer: dict[asyncio.StreamWriter, bytes] = {}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Count the connections."""
        self.connections += 1
        await super().serve(reader, writer)

    def _report(self, writer: asyncio.StreamWriter) -> None:
        if not self._refuse(REPORT_TARGET, "", writer):
            super()._report(writer)

    async def _respond(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter, reader: asyncio.StreamReader
    ) -> bool:
        if self._refuse(request.request_id, request.request_id, writer):
            return True
        self.runs.append(request)
        name = request.request_id.encode()
        body = STREAM if request.target.startswith(STREAM_PATHS) else WHOLE
        copy, answer = self._copy_by_writer.pop(writer, b""), HEAD % (name, name) + body
        if self.ahead and not copy:
            copy = self._copy_by_writer[writer] = self.refusal.encode(request.request_id)
            parts: tuple[bytes, ...] = (answer + _without_end(copy, b"")[0],)
        elif self.ahead or not (copy and self.copies):
            parts = (answer,)
        else:
            parts = PARTS_BY_MANNER[self.copies](copy, answer)
        for part in parts:
            writer.write(part)
            await asyncio.sleep(PART_S if len(parts) > 1 else 0)
        return True

    def _refuse(self, what: str, request_id: str, writer: asyncio.StreamWriter) -> bool:
        if what not in self.refused:
            return False
        self.refused.remove(what)
        self._copy_by_writer[writer] = refusal = self.refusal.encode(request_id)
        writer.write(refusal)
        return True


__all__ = ["PARTS_BY_MANNER", "CopyingServer", "Refusal"]
