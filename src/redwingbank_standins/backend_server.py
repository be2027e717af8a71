"""A stand-in of the users' backend servers: runs requests, and fails in the ways they do."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, NamedTuple

from redwingbank_standins.stream_server import StreamServer, reset_connection

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    _Serve = Callable[
        ["BackendServer", "ReceivedRequest", asyncio.StreamWriter, asyncio.StreamReader],
        Awaitable[bool],
    ]

# the stamp names the request that was run
STAMP = b"Server-Stamp: s.%b\r\n"
EVENTS_PER_STREAM = 4
FOREVER_S = 60.0


class ReceivedRequest(NamedTuple):
    """A request that reached the server, its header names in lower case."""

    request_id: str
    target: str
    headers_by_name: dict[str, str]
    body: bytes
    at_s: float


class BackendServer(StreamServer):
    """Serves requests as `mode` says; `runs` holds those that it began to run.

    Modes of whole answers: ok, error, shed, lost, garbage, unsigned, foreign, extra, cut, unsized,
    unsized-reset, encoded, hang. Modes of streams: stream, broken (after two events, in the middle
    of the third), endless.
    """

    def __init__(self, name: str, mode: str = "ok") -> None:
        super().__init__()
        self.name = name
        self.mode = mode
        self.pause_s = 0.0
        self.arrivals: list[ReceivedRequest] = []
        self.runs: list[ReceivedRequest] = []
        self.cancelled = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer requests one after the other."""
        try:
            while run := await _read(reader):
                self.arrivals.append(run)
                if not await self._answer(run, writer, reader):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _answer(
        self, run: ReceivedRequest, writer: asyncio.StreamWriter, reader: asyncio.StreamReader
    ) -> bool:
        expected = run.headers_by_name.get("expect-instance", self.name)
        if expected != self.name:
            writer.write(b"HTTP/1.1 421 x\r\nContent-Length: 0\r\n\r\n")
            return True
        if self.mode == "shed":
            writer.write(b"HTTP/1.1 503 x\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        self.runs.append(run)
        if await _left(reader, self.pause_s):
            self.cancelled += 1
            return False
        return await _ANSWER_BY_MODE[self.mode_for(run.target)](self, run, writer, reader)

    def mode_for(self, target: str) -> str:
        """Choose how to answer a request by its target; here all are answered alike."""
        return self.mode

    async def _hang(
        self, run: ReceivedRequest, writer: asyncio.StreamWriter, reader: asyncio.StreamReader
    ) -> bool:
        self.cancelled += await _left(reader, FOREVER_S)
        return False

    async def _whole(
        self, run: ReceivedRequest, writer: asyncio.StreamWriter, reader: asyncio.StreamReader
    ) -> bool:
        parts = _WHOLE_BY_MODE[self.mode_for(run.target)]
        echo = "another" if self.mode == "foreign" else run.request_id
        head = parts.head.replace(b"%b", echo.encode(), 1).replace(b"%b", run.request_id.encode())
        writer.write(head + parts.body)
        await writer.drain()
        if parts.reset:
            await asyncio.sleep(0.05)
            reset_connection(writer)
        return parts.stays

    async def _stream(
        self, run: ReceivedRequest, writer: asyncio.StreamWriter, reader: asyncio.StreamReader
    ) -> bool:
        first = int(run.headers_by_name.get("last-event-id", "0") or "0") + 1
        head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: %b\r\n"
        writer.write(head % run.request_id.encode())
        writer.write(STAMP % run.request_id.encode() + b"Transfer-Encoding: chunked\r\n\r\n")
        number = first
        while self.mode_for(run.target) == "endless" or number <= EVENTS_PER_STREAM:
            event = b"id: %d\ndata: %b %d\n\n" % (number, self.name.encode(), number)
            if self.mode_for(run.target) == "broken" and number == 3:  # noqa: PLR2004 - after two events
                writer.write(_chunk(event[:8]))
                await writer.drain()
                await asyncio.sleep(0.05)
                reset_connection(writer)
                return False
            writer.write(_chunk(event))
            if await _left(reader, max(self.pause_s, 0.01)):
                self.cancelled += 1
                return False
            number += 1
        writer.write(b"0\r\n\r\n")
        return True


class _Whole(NamedTuple):
    """The bytes of an answer, and what becomes of the connection."""

    head: bytes
    body: bytes
    stays: bool = False
    reset: bool = False


def _head(status: int, *lines: bytes) -> bytes:
    return b"HTTP/1.1 %d x\r\nRequest-Id: %%b\r\n" % status + b"".join(lines) + b"\r\n"


_SIZED = b"Content-Length: 5\r\n"
_WHOLE_BY_MODE = {
    "ok": _Whole(_head(200, STAMP, _SIZED), b"whole", stays=True),
    "error": _Whole(_head(500, STAMP, _SIZED), b"fault", stays=True),
    "lost": _Whole(b"", b"", reset=True),
    "garbage": _Whole(b"", b"no answer at all\r\n\r\n"),
    "unsigned": _Whole(_head(200, _SIZED), b"whole"),
    "foreign": _Whole(_head(200, STAMP, _SIZED), b"whole"),
    "extra": _Whole(
        _head(200, STAMP, _SIZED), b"wholeHTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\n", stays=True
    ),
    "cut": _Whole(_head(200, STAMP, _SIZED), b"who"),
    "unsized": _Whole(_head(200, STAMP), b"whole"),
    "unsized-reset": _Whole(_head(200, STAMP), b"who", reset=True),
    "encoded": _Whole(_head(200, STAMP, b"Content-Encoding: gzip\r\n", _SIZED), b"whole"),
}

_ANSWER_BY_MODE: dict[str, _Serve] = {
    **dict.fromkeys(_WHOLE_BY_MODE, BackendServer._whole),  # noqa: SLF001 - a table of its own methods
    **dict.fromkeys(("stream", "broken", "endless"), BackendServer._stream),  # noqa: SLF001
    "hang": BackendServer._hang,  # noqa: SLF001
}


async def _read(reader: asyncio.StreamReader) -> ReceivedRequest | None:
    line = await reader.readline()
    if not line:
        return None
    headers: dict[str, str] = {}
    while text := (await reader.readline()).decode().strip():
        name, _, value = text.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    request_id, target = headers.get("request-id", ""), line.split()[1].decode()
    return ReceivedRequest(request_id, target, headers, body, time.monotonic())


async def _left(reader: asyncio.StreamReader, within_s: float) -> bool:
    """Tell whether the other end closes within a time."""
    if not within_s:
        return False
    try:
        async with asyncio.timeout(within_s):
            return not await reader.read(1)
    except TimeoutError:
        return False
    except ConnectionError:
        return True


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


__all__ = ["BackendServer", "ReceivedRequest"]
