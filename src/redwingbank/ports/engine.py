"""HTTP clients of backend servers and of the model engines' protocol."""

from __future__ import annotations

import itertools
import json
import ssl
from contextlib import asynccontextmanager
from enum import StrEnum
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, NamedTuple

import anyio
import httpcore

from redwingbank import clock
from redwingbank.bounded_json import decode_json
from redwingbank.model import CacheEvent, LoadReport, Outcome
from redwingbank.rules.answer_origin import is_joined
from redwingbank.rules.run_proof import PROMISING_STATUSES

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable

    from redwingbank.settings import Settings

MS_PER_S = 1000.0
CONNECT_TIMEOUT_S = 1.0
SHORT_CALL_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 1024
MAX_CALL_BYTES = 16 * 1024 * 1024
KEEPALIVE_S = 30.0
OK_STATUS = 200
CONFLICT_STATUS = 409
BODILESS_STATUSES = {204, 304}
FRAMING_HEADERS = ("content-length", "transfer-encoding")
REQUEST_ID_HEADER = "x-request-id"


_SHORT_TIMEOUT = dict.fromkeys(("connect", "read", "write", "pool"), SHORT_CALL_TIMEOUT_S)


class StreamedResponse(NamedTuple):
    """A response whose head has arrived; `chunks` yields the body as it arrives.

    A body that is not `delimited` ends where its connection does, so one that broke off looks the
    same as a whole one.
    """

    status: int
    content_type: str
    chunks: AsyncIterator[bytes]
    delimited: bool


class LoadFailure(StrEnum):
    """Why a backend server's load could not be read."""

    NO_REPORT = "no report"
    UNREACHABLE = "unreachable"


class AttemptError(Exception):
    """An attempt failed; `outcome` classifies the failure."""

    def __init__(self, outcome: Outcome) -> None:
        super().__init__(outcome.value)
        self.outcome = outcome


OUTCOME_BY_ERROR: dict[type[Exception], Outcome] = {
    httpcore.ConnectError: Outcome.REFUSED,
    httpcore.ConnectTimeout: Outcome.REFUSED,
    httpcore.PoolTimeout: Outcome.REFUSED,
    httpcore.ReadTimeout: Outcome.TIMED_OUT,
    httpcore.WriteTimeout: Outcome.TIMED_OUT,
    httpcore.LocalProtocolError: Outcome.GARBAGE,
}

_TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    ssl.SSLError,
)


def classify_error(error: Exception) -> Outcome:
    """Map a transport error to the outcome of the attempt."""
    return OUTCOME_BY_ERROR.get(type(error), Outcome.CRASHED)


def _classify_rejected(answer_id: bytes | None, status: int) -> Outcome:
    """Classify an answer that is not taken for the call's.

    A server error without an id is what an HTTP server sends when its application crashes.
    """
    unnamed_error = answer_id is None and status >= HTTPStatus.INTERNAL_SERVER_ERROR
    crashed = unnamed_error and status not in PROMISING_STATUSES
    return Outcome.CRASHED if crashed else Outcome.GARBAGE


class BackendClient:
    """HTTP client of backend servers with a pool of idle connections per server.

    A server may send a second copy of an answer late, or an error of its own, on a connection that
    carries the next request. An answer with another request's id is rejected, on a connection in
    use again also one without an id; a connection on which an answer came without an id, or a
    refusal, is not used again.
    """

    def __init__(self, settings: Settings) -> None:
        self.first_token_timeout_s = settings.first_byte_timeout_s
        self.token_timeout_s = settings.idle_timeout_s
        self._timeout = {
            "connect": CONNECT_TIMEOUT_S,
            "pool": CONNECT_TIMEOUT_S,
            "read": settings.first_byte_timeout_s,
            "write": settings.idle_timeout_s,
        }
        self._idle_by_address: dict[str, list[httpcore.AsyncHTTPConnection]] = {}
        self._call_numbers = itertools.count(1)

    async def close(self) -> None:
        """Close every idle connection."""
        idle = [item for connections in self._idle_by_address.values() for item in connections]
        self._idle_by_address.clear()
        for connection in idle:
            await connection.aclose()

    def idle_connections(self, address: str) -> tuple[httpcore.AsyncHTTPConnection, ...]:
        """Return the pooled connections to a server."""
        return tuple(self._idle_by_address.get(address, ()))

    async def _acquire_connection(self, address: str) -> httpcore.AsyncHTTPConnection:
        """Take the most recently used idle connection, or open a new one."""
        idle = self._idle_by_address.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_available() and not connection.has_expired():
                return connection
            await connection.aclose()
        host, _, port = address.rpartition(":")
        origin = httpcore.Origin(b"http", host.encode(), int(port))
        return httpcore.AsyncHTTPConnection(origin, keepalive_expiry=KEEPALIVE_S)

    async def _release_connection(
        self, address: str, connection: httpcore.AsyncHTTPConnection, *, reusable: bool
    ) -> None:
        """Return a connection to the pool if its response was complete and `reusable` is set."""
        idle = self._idle_by_address.setdefault(address, [])
        if reusable and connection.is_idle() and len(idle) < MAX_IDLE_CONNECTIONS:
            idle.append(connection)
            return
        with anyio.CancelScope(shield=True):
            await connection.aclose()

    @asynccontextmanager
    async def _send(
        self, address: str, request: httpcore.Request
    ) -> AsyncIterator[httpcore.Response]:
        """Send a request and yield the response, whose body has not been read.

        :raises AttemptError: if the response doesn't arrive completely
        """
        connection = await self._acquire_connection(address)
        sent_id = _header(request.headers, REQUEST_ID_HEADER)
        accepted_ids = {sent_id} if connection.is_available() else {None, sent_id}
        reusable = False
        try:
            response = await connection.handle_async_request(request)
            echo = _header(response.headers, REQUEST_ID_HEADER)
            reason = response.extensions.get("reason_phrase", b"")
            try:
                if echo not in accepted_ids or is_joined(reason, response.headers):
                    raise AttemptError(_classify_rejected(echo, response.status))
                # a refused request may come back, and a copy of the refusal would bear its id
                reusable = echo == sent_id and response.status not in PROMISING_STATUSES
                yield response
            finally:
                await response.aclose()
        except _TRANSPORT_ERRORS as error:
            raise AttemptError(classify_error(error)) from error
        finally:
            await self._release_connection(address, connection, reusable=reusable)

    @asynccontextmanager
    async def stream(
        self, address: str, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> AsyncIterator[StreamedResponse]:
        """Send a request and stream the response.

        :raises AttemptError: if the response doesn't arrive completely
        """
        request = httpcore.Request(
            method,
            f"http://{address}{path}",
            headers=_build_headers(address, headers, body),
            content=body,
            extensions={"timeout": self._timeout},
        )
        async with self._send(address, request) as response:
            content_type = _header(response.headers, "content-type") or b""
            yield StreamedResponse(
                response.status,
                content_type.decode("latin-1"),
                response.aiter_stream(),
                _is_delimited(method, response),
            )

    async def call(
        self, address: str, method: str, path: str, body: bytes = b""
    ) -> tuple[int, bytes] | None:
        """Make a call with a short timeout; None if it fails."""
        request = httpcore.Request(
            method,
            f"http://{address}{path}",
            headers=_build_headers(
                address,
                {
                    "Content-Type": "application/json",
                    REQUEST_ID_HEADER: f"call-{next(self._call_numbers)}",
                },
                body,
            ),
            content=body,
            extensions={"timeout": _SHORT_TIMEOUT},
        )
        try:
            async with self._send(address, request) as response:
                return response.status, await _read_bounded(response)
        except AttemptError:
            return None


async def _read_bounded(response: httpcore.Response) -> bytes:
    """Read a body.

    :raises AttemptError: if it is longer than that of any call
    """
    body = bytearray()
    async for chunk in response.aiter_stream():
        body += chunk
        if len(body) > MAX_CALL_BYTES:
            raise AttemptError(Outcome.GARBAGE)
    return bytes(body)


def _build_headers(address: str, headers: dict[str, str], body: bytes) -> list[tuple[str, str]]:
    return [("Host", address), *headers.items(), ("Content-Length", str(len(body)))]


def _header(headers: Iterable[tuple[bytes, bytes]], name: str) -> bytes | None:
    by_name = {key.lower(): value for key, value in headers}
    return by_name.get(name.encode())


def _is_delimited(method: str, response: httpcore.Response) -> bool:
    """Whether a response states where its body ends, or can't have one."""
    if method == "HEAD" or response.status in BODILESS_STATUSES:
        return True
    return any(_header(response.headers, name) is not None for name in FRAMING_HEADERS)


class EngineClient:
    """Client of the engine protocol; see docs/ENGINE-PROTOCOL.md."""

    def __init__(self, backend: BackendClient) -> None:
        self._backend = backend

    @property
    def first_token_timeout_s(self) -> float:
        """How long an engine may take until the first token."""
        return self._backend.first_token_timeout_s

    @property
    def token_timeout_s(self) -> float:
        """How long an engine may take between tokens."""
        return self._backend.token_timeout_s

    @asynccontextmanager
    async def chat(
        self, address: str, request_id: str, priority: int, resume_from: int, body: bytes
    ) -> AsyncIterator[StreamedResponse]:
        """Start a stream, or resume it after `resume_from` tokens.

        :raises AttemptError: if the response doesn't arrive completely
        """
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": request_id,
            "X-Priority": str(priority),
        }
        if resume_from:
            headers["X-Resume-From"] = str(resume_from)
        path = "/v1/chat/completions"
        async with self._backend.stream(address, "POST", path, headers, body) as response:
            yield response

    async def cancel(self, address: str, request_id: str) -> None:
        """Cancel a request on an engine."""
        await self._backend.call(address, "POST", f"/cancel/{request_id}")

    async def read_load(self, address: str) -> LoadReport | LoadFailure:
        """Read a backend server's load; plain services may report theirs the same way."""
        answer = await self._backend.call(address, "GET", "/load")
        if answer is None:
            return LoadFailure.UNREACHABLE
        if answer[0] != HTTPStatus.OK:
            return LoadFailure.NO_REPORT
        try:
            document = decode_json(answer[1])
            return LoadReport(
                at_s=clock.now_s() - float(document.get("age_ms", 0)) / MS_PER_S,
                slots=int(document["slots"]),
                running=int(document["running"]),
                waiting=int(document["waiting"]),
                draining=bool(document.get("draining", False)),
                cached_tokens_free=int(document.get("cached_tokens_free", 0)),
            )
        except (AttributeError, KeyError, TypeError, ValueError):
            return LoadFailure.NO_REPORT

    async def read_cache_events(self, address: str, after: int) -> tuple[CacheEvent, ...]:
        """Read the cache events with numbers above `after`; empty if the call fails."""
        document = await self.read_json(address, f"/cache-events?after={after}")
        try:
            return tuple(
                CacheEvent(int(item["number"]), tuple(item["stored"]), tuple(item["evicted"]))
                for item in (document or {}).get("events", ())
            )
        except (KeyError, TypeError, ValueError):
            return ()

    async def send_order(
        self, address: str, fencing: int, order: str, argument: str
    ) -> bool | None:
        """Send an order; false if its fencing number is rejected, None if the call fails."""
        body = {"fencing": fencing, "order": order, "argument": argument}
        data = json.dumps(body).encode()
        answer = await self._backend.call(address, "POST", "/orders", data)
        if answer is None or answer[0] not in {OK_STATUS, CONFLICT_STATUS}:
            return None
        return answer[0] == OK_STATUS

    async def export_block(self, address: str, block: int) -> bytes | None:
        """Read the KV cache of a prefix block; None if the engine doesn't hold it."""
        answer = await self._backend.call(address, "GET", f"/kv/{block}")
        return answer[1] if answer and answer[0] == OK_STATUS else None

    async def import_block(self, address: str, block: int, data: bytes) -> bool:
        """Write the KV cache of a prefix block to an engine; false if it isn't accepted."""
        answer = await self._backend.call(address, "PUT", f"/kv/{block}", data)
        return answer is not None and answer[0] == OK_STATUS

    async def read_json(self, address: str, path: str) -> dict[str, Any] | None:
        """Read a JSON object from an engine; None if the call fails or it isn't an object."""
        answer = await self._backend.call(address, "GET", path)
        if answer is None or answer[0] != OK_STATUS:
            return None
        try:
            document = decode_json(answer[1])
        except ValueError:
            return None
        return document if isinstance(document, dict) else None


__all__ = [
    "OK_STATUS",
    "AttemptError",
    "BackendClient",
    "EngineClient",
    "LoadFailure",
    "StreamedResponse",
]
