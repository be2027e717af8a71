"""A client of the fronts."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from standins3.http import Head, read_body, read_head
from standins3.scene import HOST, KEY


class Answer(NamedTuple):
    """An answer; `head` is None if the connection ended without one."""

    head: Head | None
    body: bytes

    @property
    def status(self) -> int:
        """The status, 0 without an answer."""
        return int(self.head.line.split(" ")[1]) if self.head else 0


def request(
    method: str, path: str, request_id: str, body: bytes = b"", deadline_ms: int = 3000, **more: str
) -> bytes:
    """Encode a request."""
    headers = {
        "Host": HOST, "Request-Id": request_id, "Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {KEY}",
        **{name.replace("_", "-"): value for name, value in more.items()},
    }
    if body or method == "POST":
        headers["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def receive(reader: asyncio.StreamReader) -> Answer:
    """Read an answer."""
    head = await read_head(reader)
    if head is None:
        return Answer(None, b"")
    try:
        return Answer(head, await read_body(reader, head))
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(None, b"")


async def ask(ip: str, port: int, data: bytes, timeout_s: float = 10.0) -> Answer:
    """Send a request on a new connection and return the answer."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(data)
        async with asyncio.timeout(timeout_s):
            return await receive(reader)
    except TimeoutError:
        return Answer(None, b"timeout")
    finally:
        writer.close()


class Stream(NamedTuple):
    """An answer that is a stream: its head, the events, and whether it ended as complete."""

    head: Head | None
    events: list[str]
    complete: bool


async def read_stream(ip: str, port: int, data: bytes, gap_s: float) -> Stream:
    """Send a request and read its stream; give up after a pause of `gap_s`."""
    reader, writer = await asyncio.open_connection(ip, port)
    text, head, complete = "", None, False
    try:
        writer.write(data)
        async with asyncio.timeout(gap_s):
            head = await read_head(reader)
        chunked = head is not None and "transfer-encoding" in head.headers
        while chunked:
            async with asyncio.timeout(gap_s):
                size = int((await reader.readuntil(b"\r\n")).strip() or b"0", 16)
                part = await reader.readexactly(size + 2)
            if not size:
                complete = True
                break
            text += part[:-2].decode()
    except (TimeoutError, ConnectionError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        writer.close()
    return Stream(head, text.replace("\r\n", "\n").split("\n\n")[:-1], complete)
