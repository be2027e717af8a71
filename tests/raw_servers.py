"""Backend servers that write their answers byte by byte, to break the protocol at will."""

from __future__ import annotations

import socket
import struct


def head(status_line, request_id):
    """Return the first lines of an answer; its other headers and an empty line follow."""
    return f"HTTP/1.1 {status_line}\r\nX-Request-Id: {request_id}\r\n".encode()


def sized(status_line, request_id, body):
    """Return an answer with its length."""
    return head(status_line, request_id) + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


async def read_request(reader):
    """Read a request; return its first line, its headers and its body."""
    line, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)}
    return line, headers, await reader.readexactly(int(headers.get("content-length", "0")))


def reset(writer):
    """Close a connection by a reset."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.close()
