"""Minimal HTTP/1.1 for the stand-ins, on asyncio streams."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import NamedTuple


class Message(NamedTuple):
    """A request or an answer; header names are in lower case."""

    first_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.first_line.split()[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    line = await reader.readline()
    if not line.strip():
        return None
    headers: dict[str, str] = {}
    while text := (await reader.readline()).decode("latin-1").strip():
        name, _, value = text.partition(":")
        headers[name.lower()] = value.strip()
    return line.decode("latin-1").strip(), headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message; None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    return Message(*head, await read_body(reader, head[1]))


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Listener:
    """A TCP server; `stop` refuses new connections and resets the open ones."""

    def __init__(self, ip: str, port: int) -> None:
        self.ip, self.port = ip, port
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        return f"{self.ip}:{self.port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._connected, self.ip, self.port, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self._server:
            self._server.close()
            self._server = None
        for writer in list(self.writers):
            reset(writer)

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError
