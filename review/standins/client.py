"""Stand-in for a client, by PROTOCOL.md, "Answers": one request a connection or kept ones."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import NamedTuple

from standins.http import read_message

_NUMBERS = itertools.count(1)


class Attempt(NamedTuple):
    """One client attempt; `status` is 0 if the connection ended without an answer."""

    request_id: str
    path: str
    machine: str
    key: str
    sent_s: float
    ended_s: float
    status: int
    headers: dict[str, str]
    body: bytes


async def send(
    ip: str,
    port: int,
    path: str,
    host: str = "desk.example",
    key: str = "",
    deadline_ms: int = 3000,
    method: str = "POST",
) -> Attempt:
    """Send one request on a new connection, and wait for its answer."""
    request_id = f"{next(_NUMBERS):016x}"
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Request-Id: {request_id}"]
    lines += [f"Deadline-Ms: {deadline_ms}", "Content-Length: 2"]
    lines += [f"Authorization: Token {key}"] if key else []
    sent_s = time.monotonic()
    message = None
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1.0):
            reader, writer = await asyncio.open_connection(ip, port)
            sent_s = time.monotonic()
            writer.write("\r\n".join([*lines, "", "{}"]).encode())
            message = await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        message = None
    finally:
        if writer:
            writer.close()
    status = message.status if message else 0
    headers = message.headers if message else {}
    body = message.body if message else b""
    return Attempt(request_id, path, ip, key, sent_s, time.monotonic(), status, headers, body)
