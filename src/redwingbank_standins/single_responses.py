"""The single responses of the stand-in backend server, by its mode."""

from __future__ import annotations

from typing import NamedTuple

# The stamp contains the id of the request that was run.
STAMP_HEADER = b"Server-Stamp: s.%b\r\n"
# more than a host buffers of an answer
LARGE_BYTES = 300_000


class SingleResponse(NamedTuple):
    """The bytes of a response, and whether the connection is kept alive or reset after it."""

    head: bytes
    body: bytes
    keep_alive: bool = False
    reset: bool = False


def build_head(status: int, *lines: bytes) -> bytes:
    """Build a head with lines of its own; `%b` in it stands for the request's id."""
    return b"HTTP/1.1 %d x\r\nRequest-Id: %%b\r\n" % status + b"".join(lines) + b"\r\n"


CONTENT_LENGTH = b"Content-Length: 5\r\n"
RESPONSE_BY_MODE = {
    "ok": SingleResponse(build_head(200, STAMP_HEADER, CONTENT_LENGTH), b"whole", keep_alive=True),
    "error": SingleResponse(
        build_head(500, STAMP_HEADER, CONTENT_LENGTH), b"fault", keep_alive=True
    ),
    "large-error": SingleResponse(
        build_head(500, STAMP_HEADER, b"Content-Length: %d\r\n" % LARGE_BYTES),
        b"x" * LARGE_BYTES,
        keep_alive=True,
    ),
    "missing": SingleResponse(
        build_head(404, STAMP_HEADER, CONTENT_LENGTH), b"no...", keep_alive=True
    ),
    "lost": SingleResponse(b"", b"", reset=True),
    "garbage": SingleResponse(b"", b"no answer at all\r\n\r\n"),
    "unsigned": SingleResponse(build_head(200, CONTENT_LENGTH), b"whole"),
    "foreign": SingleResponse(build_head(200, STAMP_HEADER, CONTENT_LENGTH), b"whole"),
    "extra": SingleResponse(
        build_head(200, STAMP_HEADER, CONTENT_LENGTH),
        b"wholeHTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\n",
        keep_alive=True,
    ),
    "cut": SingleResponse(build_head(200, STAMP_HEADER, CONTENT_LENGTH), b"who"),
    "unsized": SingleResponse(build_head(200, STAMP_HEADER), b"whole"),
    "unsized-reset": SingleResponse(build_head(200, STAMP_HEADER), b"who", reset=True),
    "encoded": SingleResponse(
        build_head(200, STAMP_HEADER, b"Content-Encoding: gzip\r\n", CONTENT_LENGTH), b"whole"
    ),
}
# A server that fails after a run, with statuses that callers read as a promise of none.
RESPONSE_BY_MODE |= {
    f"failed-{status}": SingleResponse(
        build_head(status, STAMP_HEADER, CONTENT_LENGTH), b"late!", keep_alive=True
    )
    for status in (408, 429, 503)
}
RESPONSE_BY_MODE |= {
    "failed-503-unsigned": SingleResponse(
        build_head(503, CONTENT_LENGTH), b"late!", keep_alive=True
    ),
    "failed-503-large": SingleResponse(
        build_head(503, STAMP_HEADER, b"Content-Length: %d\r\n" % LARGE_BYTES),
        b"x" * LARGE_BYTES,
        keep_alive=True,
    ),
}

__all__ = ["RESPONSE_BY_MODE", "STAMP_HEADER", "SingleResponse", "build_head"]
