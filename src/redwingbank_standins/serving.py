"""Serving a stand-in with uvicorn, alone in a process or several in one event loop."""

from __future__ import annotations

import contextlib
import json
import socket
import sys
from typing import TYPE_CHECKING, Any, Protocol

import anyio
import uvicorn

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Iterator, MutableMapping

    Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
    Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
    Scope = MutableMapping[str, Any]

START_POLL_S = 0.01
BACKLOG = 1024


class StandIn(Protocol):
    """An ASGI application that may cut its own connections."""

    connections: Connections | None

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""


class Connections:
    """The open connections of one server, to be cut without an answer."""

    def __init__(self, server: uvicorn.Server) -> None:
        self._server = server

    def abort(self, client: Any = None) -> None:
        """Cut the connection of one client address, or all of them."""
        for protocol in list(self._server.server_state.connections):
            transport = getattr(protocol, "transport", None)
            if transport is not None and client in (None, getattr(protocol, "client", None)):
                transport.abort()


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


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signals to the process that embeds this server."""
        yield


def _configure(app: StandIn) -> uvicorn.Config:
    return uvicorn.Config(
        app,
        http="httptools",
        loop="asyncio",
        lifespan="off",
        access_log=False,
        log_level="critical",
        timeout_graceful_shutdown=1,
        proxy_headers=False,
    )


def bind(port: int, host: str = "127.0.0.1") -> socket.socket:
    """Bind a TCP socket; port 0 takes a free one."""
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((host, port))
    bound.listen(BACKLOG)
    return bound


@contextlib.asynccontextmanager
async def embedded(app: StandIn, port: int = 0) -> AsyncIterator[int]:
    """Serve a stand-in in this event loop while the block runs; gives its port."""
    bound = bind(port)
    server = _Server(_configure(app))
    app.connections = Connections(server)
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve, [bound])
        await _started(server)
        try:
            yield bound.getsockname()[1]
        finally:
            server.should_exit = True
            app.connections.abort()


async def _started(server: uvicorn.Server) -> None:
    while not server.started:  # noqa: ASYNC110
        await anyio.sleep(START_POLL_S)


async def _announce(server: uvicorn.Server, bound: socket.socket) -> None:
    await _started(server)
    host, port = bound.getsockname()
    print(f"listening {host}:{port}", flush=True)  # noqa: T201


async def serve_alone(app: StandIn, port: int) -> None:
    """Serve a stand-in as this process's only task; prints `listening IP:port` when ready."""
    bound = bind(port)
    server = uvicorn.Server(_configure(app))
    app.connections = Connections(server)
    async with anyio.create_task_group() as group:
        group.start_soon(_announce, server, bound)
        await server.serve([bound])
        group.cancel_scope.cancel()
    sys.stdout.flush()


__all__ = ["Connections", "Exchange", "StandIn", "bind", "embedded", "serve_alone"]
