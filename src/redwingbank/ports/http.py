"""Shared HTTP handling of the daemon: request heads, bodies, responses and error objects."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING, Any, NamedTuple

from redwingbank.codes import MEANING_BY_CODE, Code, Ran

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, MutableMapping

    Message = MutableMapping[str, Any]
    Scope = MutableMapping[str, Any]
    Receive = Callable[[], Awaitable[Message]]
    Send = Callable[[Message], Awaitable[None]]

JSON_TYPE = b"application/json"
STREAM_TYPE = b"text/event-stream"
MIN_RETRY_AFTER_S = 1

ERROR_TYPE_BY_STATUS = {
    400: "invalid_request_error",
    401: "authentication_error",
    404: "not_found_error",
    429: "rate_limit_error",
}


class Refusal(NamedTuple):
    """The final answer to a request that is not served completely.

    `retry_after_s` is the time after which to retry, 0 if a retry doesn't help.
    """

    code: Code
    detail: str = ""
    retry_after_s: float = 0.0
    ran: Ran | None = None


class RequestHead(NamedTuple):
    """A request line with its headers; header names are lower case."""

    method: str
    path: str
    query: str
    headers_by_name: dict[str, str]
    peer: str

    @property
    def bearer(self) -> str:
        """The key of an `Authorization: Bearer KEY` header, empty if there is none."""
        scheme, _, key = self.headers_by_name.get("authorization", "").partition(" ")
        return key.strip() if scheme.lower() == "bearer" else ""


def parse_head(scope: Scope) -> RequestHead:
    """Parse the request head from an ASGI scope."""
    headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in scope["headers"]}
    client = scope.get("client") or ("", 0)
    return RequestHead(
        scope["method"],
        scope["path"],
        scope.get("query_string", b"").decode("latin-1"),
        headers,
        client[0],
    )


def count_header_bytes(scope: Scope) -> int:
    """Count the bytes of a request's headers."""
    return sum(len(name) + len(value) for name, value in scope["headers"])


class HostFullError(Exception):
    """There is no memory left for the body of a request."""


async def read_body(
    receive: Receive, limit_bytes: int, keep: Callable[[int], bool] | None = None
) -> bytes | None:
    """Read the whole body; None if it exceeds the limit.

    `keep` is asked for room for each part, if given.

    :raises ConnectionError: if the caller disconnects before the end of the body
    :raises HostFullError: if there is no room for it
    """
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ConnectionError
        parts.append(message.get("body", b""))
        size += len(parts[-1])
        if size > limit_bytes:
            return None
        if keep and not keep(len(parts[-1])):
            raise HostFullError
        if not message.get("more_body", False):
            return b"".join(parts)


async def drop_body(receive: Receive, limit_bytes: int) -> bool:
    """Read a body that nobody needs; return False if it exceeds the limit.

    :raises ConnectionError: if the caller disconnects before the end of the body
    """
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ConnectionError
        size += len(message.get("body", b""))
        if size > limit_bytes:
            return False
        if not message.get("more_body", False):
            return True


def error_body(refusal: Refusal, request_id: str) -> dict[str, Any]:
    """Build an OpenAI error object, extended by the result code, `ran` and the retry time."""
    meaning = MEANING_BY_CODE[refusal.code]
    detail = f"{meaning.meaning}: {refusal.detail}" if refusal.detail else meaning.meaning
    error: dict[str, Any] = {
        "message": detail,
        "type": ERROR_TYPE_BY_STATUS.get(meaning.status, "server_error"),
        "param": None,
        "code": str(int(refusal.code)),
        "ran": (refusal.ran or meaning.ran).value,
        "request_id": request_id,
    }
    if meaning.retry:
        error["retry_after"] = retry_after_seconds(refusal)
    return {"error": error}


def retry_after_seconds(refusal: Refusal) -> int:
    """Round the retry time up to whole seconds, as the `Retry-After` header requires."""
    return max(MIN_RETRY_AFTER_S, math.ceil(refusal.retry_after_s))


async def send_refusal(send: Send, refusal: Refusal, request_id: str) -> None:
    """Send a refusal as a complete response."""
    meaning = MEANING_BY_CODE[refusal.code]
    headers = [(b"x-request-id", request_id.encode())]
    if meaning.retry:
        headers.append((b"retry-after", str(retry_after_seconds(refusal)).encode()))
    await send_json(send, meaning.status, error_body(refusal, request_id), headers)


async def send_json(
    send: Send, status: int, body: Any, headers: list[tuple[bytes, bytes]] | None = None
) -> None:
    """Send a JSON response."""
    data = json.dumps(body, separators=(",", ":")).encode()
    await send_response(send, status, data, JSON_TYPE, headers or [])


async def send_response(
    send: Send, status: int, data: bytes, content_type: bytes, headers: list[tuple[bytes, bytes]]
) -> None:
    """Send a complete response."""
    length = (b"content-length", str(len(data)).encode())
    start = [(b"content-type", content_type), length, *headers]
    await send({"type": "http.response.start", "status": status, "headers": start})
    await send({"type": "http.response.body", "body": data})


def error_event(refusal: Refusal, request_id: str) -> bytes:
    """Encode the event that ends an incomplete stream."""
    body = json.dumps(error_body(refusal, request_id), separators=(",", ":"))
    return b"data: " + body.encode() + b"\n\n"


__all__ = [
    "JSON_TYPE",
    "STREAM_TYPE",
    "HostFullError",
    "Refusal",
    "RequestHead",
    "count_header_bytes",
    "drop_body",
    "error_event",
    "parse_head",
    "read_body",
    "send_json",
    "send_refusal",
    "send_response",
]
