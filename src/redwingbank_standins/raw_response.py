"""Parsing of an HTTP response from its raw bytes, complete or not."""

from __future__ import annotations

from typing import NamedTuple

LAST_CHUNK = b"0\r\n\r\n"


class RawResponse(NamedTuple):
    """A parsed response; `status` is 0 if no status line was received.

    `complete` is set if the body has its full length or its last chunk.
    """

    raw: bytes
    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


def parse_response(raw: bytes) -> RawResponse:
    """Parse the bytes of a response; header names become lower case."""
    head, _, body = raw.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    words = lines[0].split()
    if len(words) < 2:  # noqa: PLR2004 - a version and a status
        return RawResponse(raw, 0, {}, b"", False)
    pairs = [line.partition(":") for line in lines[1:]]
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    if headers.get("transfer-encoding") == "chunked":
        complete = body.endswith(LAST_CHUNK)
        body = b"".join(body.split(b"\r\n")[1::2])
    else:
        complete = len(body) == int(headers.get("content-length", "-1"))
    return RawResponse(raw, int(words[1]), headers, body, complete)


__all__ = ["RawResponse", "parse_response"]
