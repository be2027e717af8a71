"""Stand-in for the users' backend servers that runs requests and simulates their failures."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING, NamedTuple

from redwingbank_standins.single_responses import RESPONSE_BY_MODE, STAMP_HEADER, build_head
from redwingbank_standins.stream_server import StreamServer, reset_connection

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    _AnswerMethod = Callable[
        ["BackendServer", "ReceivedRequest", asyncio.StreamWriter, asyncio.StreamReader],
        Awaitable[bool],
    ]

EVENTS_PER_STREAM = 4
REPORT_TARGET = "/api/report"
HANG_S = 60.0
STATUS_BY_REFUSAL = {"shed": 503, "limited": 429}


class ReceivedRequest(NamedTuple):
    """A request that reached the server; header names are in lower case."""

    request_id: str
    target: str
    headers_by_name: dict[str, str]
    body: bytes
    received_s: float
    method: str = "POST"


class RunSpan(NamedTuple):
    """A run and when the server worked on it, on the machine's monotonic clock.

    `client_port` is the port from which the request came.
    """

    request: ReceivedRequest
    began_s: float
    ended_s: float
    client_port: int = 0

    @property
    def stream(self) -> str:
        """The id of the request that began the stream, or of a request that goes on with none."""
        return self.request.headers_by_name.get("resumes") or self.request.request_id


class BackendServer(StreamServer):
    """Responds to requests according to `mode`; `runs` holds the requests that it started.

    `spans` holds the runs that have ended, also those whose connections closed.

    The response to a HEAD request is the head alone.

    Modes with a single response: ok, error, large-error, missing, shed, lost, garbage, unsigned,
    foreign, extra, cut, unsized, unsized-reset, encoded, and those whose run fails with a status
    that is also one of refusals: failed-408, -429, -503, -503-unsigned, -503-large. Modes with a
    stream: stream, broken (reset in the middle of the third event), repeated (the third event
    comes twice at once), endless, and three without a length: unsized-stream, unsized-broken
    (closed in the middle of the third event), unsized-empty (closed after the head). In modes
    endless-line, endless-headers, endless-interim and endless-trailers the head or the trailers go
    on until the peer closes, after 64 MB at most; `flood_bytes` counts them. In mode hang no
    response is sent.
    Refusals (shed, limited) bear no id. A server in mode stream crashes in the first event of each
    answer to a prompt with the shared part `crash_part`. While `named_limit` is not empty, the
    heads of all its responses name it as the requests a second that the server takes. So it is
    with `leaving`, which reports tell too, and with `rest`, the seconds to come back after.

    Events name the server and, unless it is empty, the `version` of its software. A report tells
    the time of the server's start, `started_ms`. While `hides_start` is set, it tells none; while
    `closes_after_report` is set, it ends the connection.
    """

    def __init__(
        self, name: str, mode: str = "ok", version: str = "", started_ms: int = 1
    ) -> None:
        super().__init__()
        self.name = name
        self.mode = mode
        self.version = version
        self.started_ms = started_ms
        self.hides_start = False
        self.closes_after_report = False
        self.reports = 0
        self.crash_part = ""
        self.named_limit = ""
        self.leaving = self.rest = ""
        self.flood_bytes = 0
        self.crashed = False
        self.pause_s = 0.0
        self.arrivals: list[ReceivedRequest] = []
        self.runs: list[ReceivedRequest] = []
        self.spans: list[RunSpan] = []
        self.cancelled = 0
        self._writers: set[asyncio.StreamWriter] = set()

    def crash(self) -> None:
        """Stop listening and close all connections in the middle of their answers."""
        self.crashed = True
        self.stop()
        for writer in self._writers:
            writer.close()

    def restart(self, version: str) -> None:
        """Start again under the same name and address, with another version of the software."""
        self.version = version
        self.started_ms += 1
        for writer in self._writers:
            reset_connection(writer)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to the requests of a connection in order."""
        self._writers.add(writer)
        try:
            while request := await _read(reader):
                if request.target == REPORT_TARGET:
                    self._report(writer)
                    continue
                self.arrivals.append(request)
                if not await self._respond(request, writer, reader):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter, reader: asyncio.StreamReader
    ) -> bool:
        expected = request.headers_by_name.get("expect-instance", self.name)
        if expected != self.name:
            head = b"HTTP/1.1 421 x\r\nContent-Length: 0\r\n"
            writer.write(head + self._statement_lines() + b"\r\n")
            return True
        if self.mode in STATUS_BY_REFUSAL:
            status = STATUS_BY_REFUSAL[self.mode]
            head = b"HTTP/1.1 %d x\r\nNot-Executed: 1\r\nContent-Length: 0\r\n" % status
            writer.write(head + self._statement_lines() + b"\r\n")
            return True
        self.runs.append(request)
        began_s = time.monotonic()
        try:
            return await self._run(request, writer, reader)
        finally:
            _, port, *_ = writer.get_extra_info("peername")
            self.spans.append(RunSpan(request, began_s, time.monotonic(), port))

    async def _run(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter, reader: asyncio.StreamReader
    ) -> bool:
        if await _peer_closes(reader, self.pause_s):
            self.cancelled += 1
            return False
        return await _METHOD_BY_MODE[self.mode_for(request.target)](self, request, writer, reader)

    @property
    def label(self) -> bytes:
        """What the events of the server's streams name."""
        return f"{self.name}@{self.version}".encode() if self.version else self.name.encode()

    def _report(self, writer: asyncio.StreamWriter) -> None:
        self.reports += 1
        report: dict[str, object] = {"busy": False, "seq": 1, "queued": 0}
        if not self.hides_start:
            report["born"] = self.started_ms
        body = json.dumps(report).encode()
        closing = b"Connection: close\r\n" if self.closes_after_report else b""
        if self.leaving:
            closing += b"Server-Leaving: %b\r\n" % self.leaving.encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%b\r\n" % (len(body), closing)
        writer.write(head + body)
        if self.closes_after_report:
            writer.close()

    def _statement_lines(self) -> bytes:
        """What the server says of itself in the head of each response."""
        values = {
            b"Server-Limit": self.named_limit,
            b"Server-Leaving": self.leaving,
            b"Retry-After": self.rest,
        }
        return b"".join(
            b"%b: %b\r\n" % (name, value.encode()) for name, value in values.items() if value
        )

    def mode_for(self, target: str) -> str:
        """Return the mode for a request's target; subclasses may distinguish targets."""
        return self.mode

    def events_in(self, target: str) -> int:  # noqa: ARG002 - for subclasses
        """Return how many events a stream has."""
        return EVENTS_PER_STREAM

    def pause_after(self, target: str, number: int) -> float:  # noqa: ARG002
        """Return the seconds between an event of a stream and the next one."""
        return max(self.pause_s, 0.01)

    def event_id(self, target: str, number: int) -> int:  # noqa: ARG002
        """Return the id of an event of a stream."""
        return number

    def breaks_off(self, target: str, number: int) -> bool:  # noqa: ARG002
        """Whether a stream breaks off in an event."""
        return False

    async def _hang(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter, reader: asyncio.StreamReader
    ) -> bool:
        self.cancelled += await _peer_closes(reader, HANG_S)
        return False

    async def _flood(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter, reader: asyncio.StreamReader
    ) -> bool:
        first, repeated = _FLOOD_BY_MODE[self.mode_for(request.target)]
        writer.write(first.replace(b"%b", request.request_id.encode()))
        while self.flood_bytes < MAX_FLOOD_BYTES:
            writer.write(repeated)
            await writer.drain()
            self.flood_bytes += len(repeated)
        return False

    async def _send_response(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter, reader: asyncio.StreamReader
    ) -> bool:
        response = RESPONSE_BY_MODE[self.mode_for(request.target)]
        echo = "another" if self.mode == "foreign" else request.request_id
        head = response.head.replace(b"%b", echo.encode(), 1).replace(
            b"%b", request.request_id.encode()
        )
        named_head = head.replace(b"\r\n", b"\r\n" + self._statement_lines(), 1)
        writer.write(named_head + (b"" if request.method == "HEAD" else response.body))
        await writer.drain()
        if response.reset:
            await asyncio.sleep(0.05)
            reset_connection(writer)
        return response.keep_alive

    async def _send_stream(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter, reader: asyncio.StreamReader
    ) -> bool:
        first = int(request.headers_by_name.get("last-event-id", "0") or "0") + 1
        head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: %b\r\n"
        writer.write(head % request.request_id.encode())
        writer.write(STAMP_HEADER % request.request_id.encode() + self._statement_lines())
        mode = self.mode_for(request.target)
        if mode.startswith("unsized"):
            await _send_unsized(self.label, mode, first, writer)
            return False
        writer.write(b"Transfer-Encoding: chunked\r\n\r\n")
        if request.method == "HEAD":
            return True
        number = first
        while mode == "endless" or number <= self.events_in(request.target):
            event_id = self.event_id(request.target, number)
            event = b"id: %d\ndata: %b %d\n\n" % (event_id, self.label, number)
            if self.crash_part and self.crash_part in shared_parts(request):
                writer.write(_chunk(event[:8]))
                await writer.drain()
                self.crash()
                return False
            broken = mode == "broken" and number == 3  # noqa: PLR2004 - after two events
            if broken or self.breaks_off(request.target, number):
                writer.write(_chunk(event[:8]))
                await writer.drain()
                await asyncio.sleep(0.05)
                reset_connection(writer)
                return False
            if mode == "repeated" and number == 3:  # noqa: PLR2004 - after two events
                event += event
            writer.write(_chunk(event))
            if await _peer_closes(reader, self.pause_after(request.target, number)):
                self.cancelled += 1
                return False
            number += 1
        writer.write(b"0\r\n\r\n")
        return True


_STREAM_MODES = (
    "stream",
    "broken",
    "repeated",
    "endless",
    "unsized-stream",
    "unsized-broken",
    "unsized-empty",
)

MAX_FLOOD_BYTES = 64 * 1024 * 1024
_FLOOD_BY_MODE = {
    "endless-line": (b"HTTP/1.1 200 x\r\nX-Pad: ", b"x" * 65_536),
    "endless-headers": (b"HTTP/1.1 200 x\r\n", b"X-Pad: x\r\n" * 4096),
    "endless-interim": (b"", b"HTTP/1.1 103 x\r\nX-Pad: x\r\n\r\n" * 1024),
    "endless-trailers": (
        build_head(200, STAMP_HEADER, b"Transfer-Encoding: chunked\r\n") + b"5\r\nwhole\r\n0\r\n",
        b"X-Pad: x\r\n" * 4096,
    ),
}

_METHOD_BY_MODE: dict[str, _AnswerMethod] = {
    **dict.fromkeys(RESPONSE_BY_MODE, BackendServer._send_response),  # noqa: SLF001 - own methods
    **dict.fromkeys(_STREAM_MODES, BackendServer._send_stream),  # noqa: SLF001
    **dict.fromkeys(_FLOOD_BY_MODE, BackendServer._flood),  # noqa: SLF001
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
    method, target = line.decode().split()[:2]
    request_id = headers.get("request-id", "")
    return ReceivedRequest(request_id, target, headers, body, time.monotonic(), method)


def shared_parts(request: ReceivedRequest) -> list[str]:
    """Return the parts of a request's prompt that other prompts may share: all but the last."""
    parts = request.headers_by_name.get("prompt-prefix", "").split(",")
    return [part.partition(":")[0].strip() for part in parts[:-1]]


async def _peer_closes(reader: asyncio.StreamReader, within_s: float) -> bool:
    """Whether the client closes the connection within a time."""
    if not within_s:
        return False
    try:
        async with asyncio.timeout(within_s):
            return not await reader.read(1)
    except TimeoutError:
        return False
    except ConnectionError:
        return True


async def _send_unsized(label: bytes, mode: str, first: int, writer: asyncio.StreamWriter) -> None:
    """Send a stream that ends with its connection."""
    writer.write(b"\r\n")
    for number in range(first, EVENTS_PER_STREAM + 1):
        event = b"id: %d\ndata: %b %d\n\n" % (number, label, number)
        broken = mode == "unsized-broken" and number == 3  # noqa: PLR2004 - after two events
        if mode != "unsized-empty":
            writer.write(event[:8] if broken else event)
            await writer.drain()
        if broken:
            return


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


__all__ = ["BackendServer", "ReceivedRequest", "RunSpan", "shared_parts"]
