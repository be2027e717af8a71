"""Parsing of an HTTP response from its raw bytes, complete or not."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

CHUNK_SIZE = re.compile(rb"0*([1-9A-Fa-f][0-9A-Fa-f]*)\r\n")
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
        body = b"".join(_read_chunks(body))
    else:
        complete = len(body) == int(headers.get("content-length", "-1"))
    return RawResponse(raw, int(words[1]), headers, body, complete)


def _read_chunks(body: bytes) -> Iterator[bytes]:
    r"""List the chunks of a body, the last one as far as it goes.

    >>> list(_read_chunks(b"4\r\na\r\n\n\r\n2\r\nb"))
    [b'a\r\n\n', b'b']
    """
    while size := CHUNK_SIZE.match(body):
        start = size.end()
        end = start + int(size[1], 16)
        yield body[start:end]
        body = body[end + len(b"\r\n") :]


__all__ = ["RawResponse", "parse_response"]
