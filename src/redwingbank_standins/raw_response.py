"""An answer as a caller reads it, from its raw bytes."""

from __future__ import annotations

from typing import NamedTuple

LAST_CHUNK = b"0\r\n\r\n"


class RawResponse(NamedTuple):
    """What came of an answer; `status` is 0 where nothing did.

    `whole` tells whether the answer had its end: its length, or its last chunk.
    """

    raw: bytes
    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


def parse_response(raw: bytes) -> RawResponse:
    """Read the bytes of one answer; header names are in lower case."""
    head, _, body = raw.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    words = lines[0].split()
    if len(words) < 2:  # noqa: PLR2004 - a version and a status
        return RawResponse(raw, 0, {}, b"", False)
    pairs = [line.partition(":") for line in lines[1:]]
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    if headers.get("transfer-encoding") == "chunked":
        whole = body.endswith(LAST_CHUNK)
        body = b"".join(body.split(b"\r\n")[1::2])
    else:
        whole = len(body) == int(headers.get("content-length", "-1"))
    return RawResponse(raw, int(words[1]), headers, body, whole)


__all__ = ["RawResponse", "parse_response"]
