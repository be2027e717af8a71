"""Reads and writes HTTP/1.1 messages on asyncio streams."""

from __future__ import annotations

import asyncio
from typing import NamedTuple


class Head(NamedTuple):
    """The first line and the headers of a message; names are in lower case."""

    line: str
    headers: dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Read the head of a message; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, *rows = raw.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for row in rows:
        name, _, value = row.partition(":")
        headers[name.lower()] = value.strip()
    return Head(line, headers)


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Read a body with a length or in chunks.

    :raises asyncio.IncompleteReadError: if it breaks off
    """
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return body
            body += part[:-2]
    return await reader.readexactly(int(head.headers.get("content-length", "0")))


def answer(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encode a whole answer."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
