"""Client of a model engine: streams, cancels, load reports, cache events, KV and orders."""

from __future__ import annotations

import json
import ssl
import time
from contextlib import asynccontextmanager
from enum import StrEnum
from typing import TYPE_CHECKING, Any, NamedTuple

import anyio
import httpcore

from redwingbank.model import CacheEvent, LoadReport, Outcome

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from redwingbank.settings import Settings

MILLISECONDS = 1000.0
CONNECT_TIMEOUT_S = 1.0
SHORT_CALL_TIMEOUT_S = 1.0
MOST_IDLE = 1024
KEEPALIVE_S = 30.0
REFUSING_STATUSES = {429, 503}
OK_STATUS = 200
CONFLICT_STATUS = 409


_SHORT_TIMEOUT = dict.fromkeys(("connect", "read", "write", "pool"), SHORT_CALL_TIMEOUT_S)


class Opened(NamedTuple):
    """An engine's answer has begun; `chunks` yields bytes until its end."""

    status: int
    content_type: str
    chunks: AsyncIterator[bytes]


class LoadFailure(StrEnum):
    """Why a backend server gave no load report."""

    NO_REPORT = "no report"
    UNREACHABLE = "unreachable"


class AttemptError(Exception):
    """An attempt broke off; `outcome` tells how."""

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

_FAULTS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError, ssl.SSLError)


def outcome_of(error: Exception) -> Outcome:
    """Tell how an attempt ended from the transport's error."""
    return OUTCOME_BY_ERROR.get(type(error), Outcome.CRASHED)


class BackendClient:
    """Connections to backend servers, kept for reuse by server."""

    def __init__(self, settings: Settings) -> None:
        self._timeout = {
            "connect": CONNECT_TIMEOUT_S,
            "pool": CONNECT_TIMEOUT_S,
            "read": settings.first_byte_timeout_s,
            "write": settings.idle_timeout_s,
        }
        self._idle_by_address: dict[str, list[httpcore.AsyncHTTPConnection]] = {}

    async def close(self) -> None:
        """Close every idle connection."""
        idle = [item for kept in self._idle_by_address.values() for item in kept]
        self._idle_by_address.clear()
        for connection in idle:
            await connection.aclose()

    def idle(self, address: str) -> tuple[httpcore.AsyncHTTPConnection, ...]:
        """Connections to a server that wait for reuse."""
        return tuple(self._idle_by_address.get(address, ()))

    async def _connection(self, address: str) -> httpcore.AsyncHTTPConnection:
        """Take the connection idle for the least time, or a new one."""
        idle = self._idle_by_address.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_available() and not connection.has_expired():
                return connection
            await connection.aclose()
        host, _, port = address.rpartition(":")
        origin = httpcore.Origin(b"http", host.encode(), int(port))
        return httpcore.AsyncHTTPConnection(origin, keepalive_expiry=KEEPALIVE_S)

    async def _keep(self, address: str, connection: httpcore.AsyncHTTPConnection) -> None:
        """Keep a connection whose answer ended whole; close any other."""
        idle = self._idle_by_address.setdefault(address, [])
        if connection.is_idle() and len(idle) < MOST_IDLE:
            idle.append(connection)
            return
        with anyio.CancelScope(shield=True):
            await connection.aclose()

    @asynccontextmanager
    async def _answer(
        self, address: str, request: httpcore.Request
    ) -> AsyncIterator[httpcore.Response]:
        """Send a request and give its answer, whose body is still to be read.

        :raises AttemptError: where no whole answer comes
        """
        connection = await self._connection(address)
        try:
            response = await connection.handle_async_request(request)
            try:
                yield response
            finally:
                await response.aclose()
        except _FAULTS as error:
            raise AttemptError(outcome_of(error)) from error
        finally:
            await self._keep(address, connection)

    @asynccontextmanager
    async def open(
        self, address: str, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> AsyncIterator[Opened]:
        """Send a request and read its answer as it comes.

        :raises AttemptError: where no whole answer comes
        """
        request = httpcore.Request(
            method,
            f"http://{address}{path}",
            headers=_headers(address, headers, body),
            content=body,
            extensions={"timeout": self._timeout},
        )
        async with self._answer(address, request) as response:
            kind = dict(response.headers).get(b"content-type", b"")
            yield Opened(response.status, kind.decode("latin-1"), response.aiter_stream())

    async def call(
        self, address: str, method: str, path: str, body: bytes = b""
    ) -> tuple[int, bytes] | None:
        """Make a short call; nothing where it fails."""
        request = httpcore.Request(
            method,
            f"http://{address}{path}",
            headers=_headers(address, {"Content-Type": "application/json"}, body),
            content=body,
            extensions={"timeout": _SHORT_TIMEOUT},
        )
        try:
            async with self._answer(address, request) as response:
                return response.status, await response.aread()
        except AttemptError:
            return None


def _headers(address: str, headers: dict[str, str], body: bytes) -> list[tuple[str, str]]:
    return [("Host", address), *headers.items(), ("Content-Length", str(len(body)))]


class EngineClient:
    """The engine's protocol over backend connections; see docs/ENGINE-PROTOCOL.md."""

    def __init__(self, backend: BackendClient) -> None:
        self._backend = backend

    @asynccontextmanager
    async def chat(
        self, address: str, request_id: str, priority: int, resume_from: int, body: bytes
    ) -> AsyncIterator[Opened]:
        """Start or resume a stream; `resume_from` tokens were delivered already.

        :raises AttemptError: where no whole answer comes
        """
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": request_id,
            "X-Priority": str(priority),
        }
        if resume_from:
            headers["X-Resume-From"] = str(resume_from)
        path = "/v1/chat/completions"
        async with self._backend.open(address, "POST", path, headers, body) as opened:
            yield opened

    async def cancel(self, address: str, request_id: str) -> None:
        """Tell the engine to stop a request."""
        await self._backend.call(address, "POST", f"/cancel/{request_id}")

    async def read_load(self, address: str) -> LoadReport | LoadFailure:
        """Read a backend server's load; plain services that report do it alike."""
        answer = await self._backend.call(address, "GET", "/load")
        if answer is None:
            return LoadFailure.UNREACHABLE
        try:
            document = json.loads(answer[1])
            return LoadReport(
                at_s=time.monotonic() - float(document.get("age_ms", 0)) / MILLISECONDS,
                slots=int(document["slots"]),
                running=int(document["running"]),
                waiting=int(document["waiting"]),
                draining=bool(document.get("draining", False)),
                cached_tokens_free=int(document.get("cached_tokens_free", 0)),
            )
        except (AttributeError, KeyError, TypeError, ValueError):
            return LoadFailure.NO_REPORT

    async def read_cache_events(self, address: str, after: int) -> tuple[CacheEvent, ...]:
        """Read cache events numbered over `after`; none where there is no answer."""
        document = await self.document(address, f"/cache-events?after={after}")
        try:
            return tuple(
                CacheEvent(int(item["number"]), tuple(item["stored"]), tuple(item["evicted"]))
                for item in (document or {}).get("events", ())
            )
        except (KeyError, TypeError, ValueError):
            return ()

    async def order(self, address: str, fencing: int, order: str, argument: str) -> bool | None:
        """Give an order; false where the engine refused its fencing number, none unheard."""
        body = {"fencing": fencing, "order": order, "argument": argument}
        data = json.dumps(body).encode()
        answer = await self._backend.call(address, "POST", "/orders", data)
        if answer is None or answer[0] not in {OK_STATUS, CONFLICT_STATUS}:
            return None
        return answer[0] == OK_STATUS

    async def export_block(self, address: str, block: int) -> bytes | None:
        """Read a prefix block's KV cache; nothing where the engine does not hold it."""
        answer = await self._backend.call(address, "GET", f"/kv/{block}")
        return answer[1] if answer and answer[0] == OK_STATUS else None

    async def import_block(self, address: str, block: int, data: bytes) -> bool:
        """Give an engine a prefix block's KV cache; false where it does not take it."""
        answer = await self._backend.call(address, "PUT", f"/kv/{block}", data)
        return answer is not None and answer[0] == OK_STATUS

    async def document(self, address: str, path: str) -> dict[str, Any] | None:
        """Read a page of the engine that is a JSON object; nothing where it is not."""
        answer = await self._backend.call(address, "GET", path)
        if answer is None or answer[0] != OK_STATUS:
            return None
        try:
            document = json.loads(answer[1])
        except ValueError:
            return None
        return document if isinstance(document, dict) else None


__all__ = [
    "OK_STATUS",
    "REFUSING_STATUSES",
    "AttemptError",
    "BackendClient",
    "EngineClient",
    "LoadFailure",
    "Opened",
]
