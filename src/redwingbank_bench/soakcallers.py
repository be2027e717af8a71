"""The soak's callers: some close their connection after each answer, others keep it open."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from redwingbank_bench.soakdocuments import DEADLINE_MS, HOST_NAME
from redwingbank_bench.soakserverfaults import SOUND_PREFIX

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from redwingbank.settings import Address

PATH_BY_CLASS = {
    "book": "/book/x",
    "read": "/read/x",
    "fixed": "/fixed/x",
    "memo": "/memo/x",
    "draft": "/draft/x",
}
ANSWER_TIMEOUT_S = DEADLINE_MS / 1000 + 1
MAX_CHUNKS = 10_000
# shorter than servers stall, longer than slow ones take for an event
STREAM_PATIENCE_S = 0.6


class CallerConnection:
    """Sends requests to a host one after the other, on one connection for as long as it lasts.

    One that `hangs` stays open, whatever comes, until `close`. Its caller leaves a stream that
    brings nothing for `STREAM_PATIENCE_S`, too.
    """

    def __init__(self, address: Address, *, hangs: bool = False) -> None:
        self.address = address
        self.was_reached = False
        self._hangs = hangs
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(self, request: bytes, most_chunks: int = MAX_CHUNKS) -> bytes:
        """Send a request and return the bytes of its answer, as far as they arrive in time.

        The caller leaves after `most_chunks` chunks of a stream.
        """
        received = bytearray()
        kept = False
        with contextlib.suppress(OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(*self.address)
                    self.was_reached = True
                reader, writer = self._streams
                writer.write(request)
                patience_s = STREAM_PATIENCE_S if self._hangs else ANSWER_TIMEOUT_S
                kept = await _read_answer(reader, received, most_chunks, patience_s)
        if not kept and not self._hangs:
            self.close()
        return bytes(received)

    @property
    def is_open(self) -> bool:
        """Whether the next request goes on a connection that was used before."""
        return self._streams is not None

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def encode_request(
    service_class: str,
    request_id: str,
    key: str,
    *,
    keep: bool,
    resumes: str = "",
    resume_after: int = 0,
    prefix: str = SOUND_PREFIX,
) -> bytes:
    """Encode a request that keeps the connection open or closes it, or takes a stream up."""
    taken_up = (f"Resumes: {resumes}", f"Last-Event-Id: {resume_after}") if resumes else ()
    lines = (
        *_head_lines(service_class, request_id, key),
        f"Prompt-Prefix: {prefix}",
        *taken_up,
        f"Connection: {'keep-alive' if keep else 'close'}",
    )
    return "\r\n".join([*lines, "", "body"]).encode()


def _head_lines(service_class: str, request_id: str, key: str) -> tuple[str, ...]:
    return (
        f"POST {PATH_BY_CLASS[service_class]} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {DEADLINE_MS}",
        f"Authorization: Token {key}",
        "Token-Count: 900,16",
        "Content-Length: 4",
    )


async def _read_answer(
    reader: asyncio.StreamReader, received: bytearray, most_chunks: int, patience_s: float
) -> bool:
    """Append an answer's bytes to `received`; return whether the connection may be used again.

    :raises TimeoutError: if the next chunk takes longer than `patience_s`
    :raises asyncio.IncompleteReadError: if the connection ends before the answer
    :raises ValueError: if the framing is invalid
    """
    head = await _append(reader.readuntil(b"\r\n\r\n"), received)
    headers = dict(line.split(b": ", 1) for line in head.lower().split(b"\r\n")[1:-2])
    if headers.get(b"transfer-encoding") == b"chunked":
        size = 1
        while size:
            if most_chunks == 0:
                return False
            most_chunks -= 1
            async with asyncio.timeout(patience_s):
                size = int(await _append(reader.readuntil(b"\r\n"), received), 16)
            await _append(reader.readexactly(size + 2), received)
    else:
        await _append(reader.readexactly(int(headers[b"content-length"])), received)
    return headers.get(b"connection") != b"close"


async def _append(reading: Awaitable[bytes], received: bytearray) -> bytes:
    try:
        data = await reading
    except asyncio.IncompleteReadError as error:
        received += error.partial
        raise
    received += data
    return data


__all__ = ["PATH_BY_CLASS", "CallerConnection", "encode_request"]
