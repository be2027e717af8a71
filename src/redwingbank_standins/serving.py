"""HTTP exchanges of the stand-ins, and serving them embedded or as a process."""

from __future__ import annotations

import contextlib
import json
from typing import TYPE_CHECKING, Any, Protocol

import anyio

from redwingbank_standins.listener import serve_app

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, MutableMapping

    from redwingbank_standins.listener import Transports

    Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
    Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
    Scope = MutableMapping[str, Any]


class StandIn(Protocol):
    """An ASGI application that can abort its own connections."""

    transports: Transports

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Respond to one request."""


class Exchange:
    """A request and its response; `complete` if the response has ended or was cut off."""

    def __init__(self, scope: Scope, receive: Receive, send: Send) -> None:
        self.scope = scope
        self.receive = receive
        self.send = send
        self.complete = False

    @property
    def method(self) -> str:
        """Method of the request."""
        return str(self.scope["method"])

    @property
    def path(self) -> str:
        """Path of the request."""
        return str(self.scope["path"])

    def header(self, name: str, default: str = "") -> str:
        """Return a header by its lower-case name."""
        encoded_name = name.encode()
        values = [value for key, value in self.scope["headers"] if key == encoded_name]
        return values[0].decode("latin-1") if values else default

    def query(self, name: str, default: int) -> int:
        """Return a non-negative integer parameter of the query string."""
        pairs = [part.partition("=") for part in self.scope["query_string"].decode().split("&")]
        values = [value for key, _, value in pairs if key == name and value.isdigit()]
        return int(values[0]) if values else default

    async def body(self) -> bytes:
        """Read the request's body."""
        parts = []
        more = True
        while more:
            message = await self.receive()
            parts.append(message.get("body", b""))
            more = message.get("more_body", False)
        return b"".join(parts)

    def _echoed_id(self) -> list[tuple[bytes, bytes]]:
        request_id = self.header("x-request-id")
        return [(b"x-request-id", request_id.encode("latin-1"))] if request_id else []

    async def send_head(self, status: int, content_type: str) -> None:
        """Send the head of a streamed response."""
        headers = [(b"content-type", content_type.encode()), *self._echoed_id()]
        await self.send({"type": "http.response.start", "status": status, "headers": headers})

    async def send_chunk(self, body: bytes, *, more: bool = True) -> None:
        """Send a chunk of the body; `more` is false for the last one."""
        self.complete = not more
        await self.send({"type": "http.response.body", "body": body, "more_body": more})

    async def send_response(self, status: int, body: bytes, content_type: str) -> None:
        """Send a complete response."""
        headers = [
            (b"content-type", content_type.encode()),
            (b"content-length", str(len(body)).encode()),
            *self._echoed_id(),
        ]
        await self.send({"type": "http.response.start", "status": status, "headers": headers})
        await self.send_chunk(body, more=False)

    async def send_json(self, status: int, value: Any) -> None:
        """Send a complete JSON response."""
        await self.send_response(status, json.dumps(value).encode(), "application/json")

    async def wait_disconnected(self) -> None:
        """Wait until the client has closed the connection."""
        while (await self.receive())["type"] != "http.disconnect":
            pass


@contextlib.asynccontextmanager
async def embedded(app: StandIn, port: int = 0) -> AsyncIterator[int]:
    """Serve a stand-in in this event loop during the `with` block; yields its port."""
    async with serve_app(app, port=port, transports=app.transports) as address:
        try:
            yield address.port
        finally:
            app.transports.abort_all()


async def serve_process(app: StandIn, port: int) -> None:
    """Serve a stand-in until the process ends; prints `listening IP:port` when ready."""
    async with serve_app(app, port=port, transports=app.transports) as address:
        print(f"listening {address}", flush=True)
        await anyio.sleep_forever()


__all__ = ["Exchange", "StandIn", "embedded", "serve_process"]
