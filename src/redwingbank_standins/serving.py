"""Serving a stand-in with uvicorn, alone in a process or several in one event loop."""

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
    """An ASGI application that may cut its own connections."""

    transports: Transports

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""


class Exchange:
    """One request being answered; `complete` once the answer is given or cut off."""

    def __init__(self, scope: Scope, receive: Receive, send: Send) -> None:
        self.scope = scope
        self.receive = receive
        self.send = send
        self.complete = False

    @property
    def method(self) -> str:
        """The request's method."""
        return str(self.scope["method"])

    @property
    def path(self) -> str:
        """The request's path."""
        return str(self.scope["path"])

    def header(self, name: str, default: str = "") -> str:
        """Give a header by its lower-case name."""
        wanted = name.encode()
        found = [value for key, value in self.scope["headers"] if key == wanted]
        return found[0].decode("latin-1") if found else default

    def query(self, name: str, default: int) -> int:
        """Give a whole number from the query."""
        pairs = [part.partition("=") for part in self.scope["query_string"].decode().split("&")]
        found = [value for key, _, value in pairs if key == name and value.isdigit()]
        return int(found[0]) if found else default

    async def body(self) -> bytes:
        """Read the whole body."""
        parts = []
        more = True
        while more:
            message = await self.receive()
            parts.append(message.get("body", b""))
            more = message.get("more_body", False)
        return b"".join(parts)

    async def start(self, status: int, content_type: str) -> None:
        """Send the head of a streamed answer."""
        headers = [(b"content-type", content_type.encode())]
        await self.send({"type": "http.response.start", "status": status, "headers": headers})

    async def part(self, body: bytes, *, more: bool = True) -> None:
        """Send a part of a streamed answer."""
        self.complete = not more
        await self.send({"type": "http.response.body", "body": body, "more_body": more})

    async def answer(self, status: int, body: bytes, content_type: str) -> None:
        """Send a whole answer."""
        headers = [
            (b"content-type", content_type.encode()),
            (b"content-length", str(len(body)).encode()),
        ]
        await self.send({"type": "http.response.start", "status": status, "headers": headers})
        await self.part(body, more=False)

    async def json(self, status: int, value: Any) -> None:
        """Send a whole JSON answer."""
        await self.answer(status, json.dumps(value).encode(), "application/json")

    async def gone(self) -> None:
        """Wait until the client has closed the connection."""
        while (await self.receive())["type"] != "http.disconnect":
            pass


@contextlib.asynccontextmanager
async def embedded(app: StandIn, port: int = 0) -> AsyncIterator[int]:
    """Serve a stand-in in this event loop while the block runs; gives its port."""
    async with serve_app(app, port=port, transports=app.transports) as address:
        try:
            yield address.port
        finally:
            app.transports.cut_all()


async def serve_alone(app: StandIn, port: int) -> None:
    """Serve a stand-in as this process's only task; prints `listening IP:port` when ready."""
    async with serve_app(app, port=port, transports=app.transports) as address:
        print(f"listening {address}", flush=True)
        await anyio.sleep_forever()


__all__ = ["Exchange", "StandIn", "embedded", "serve_alone"]
