"""Serves the ASGI application of a stand-in with uvicorn in the current event loop."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING, Any

import anyio
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from redwingbank.ports.embedded import EmbeddedServer
from redwingbank.settings import Address

if TYPE_CHECKING:
    import asyncio
    from collections.abc import AsyncIterator

BACKLOG = 1024
SHUTDOWN_TIMEOUT_S = 1


class Transports:
    """The open connections by client address, so that a fault can abort them."""

    def __init__(self) -> None:
        self.by_client: dict[tuple[str, int], asyncio.Transport] = {}

    def protocol_class(self) -> type[HttpToolsProtocol]:
        """Return a protocol class that registers its connections here."""
        by_client = self.by_client

        class Protocol(HttpToolsProtocol):
            def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
                super().connection_made(transport)
                by_client[transport.get_extra_info("peername")[:2]] = transport

            def connection_lost(self, exc: Exception | None) -> None:
                by_client.pop(self.client or ("", 0), None)
                super().connection_lost(exc)

        return Protocol

    def abort(self, client: tuple[str, int]) -> None:
        """Close a connection immediately and discard unsent data."""
        transport = self.by_client.get(tuple(client))  # type: ignore[arg-type]
        if transport is not None:
            transport.abort()

    def abort_all(self) -> None:
        """Close all connections immediately."""
        for transport in list(self.by_client.values()):
            transport.abort()


def bind(host: str, port: int) -> socket.socket:
    """Create a listening socket; port 0 selects a free port."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


@contextlib.asynccontextmanager
async def serve_app(
    app: Any, host: str = "127.0.0.1", port: int = 0, transports: Transports | None = None
) -> AsyncIterator[Address]:
    """Serve an application during the `with` block; yields its address.

    >>> async with serve_app(build_platform(PlatformSettings())) as address:
    ...     ...
    """
    config = uvicorn.Config(
        app,
        http=transports.protocol_class() if transports else HttpToolsProtocol,
        ws="none",
        lifespan="off",
        loop="asyncio",
        access_log=False,
        proxy_headers=False,
        log_level="critical",
        timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
    )
    server = EmbeddedServer(config)
    with contextlib.closing(bind(host, port)) as listener:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, [listener])
            await server.ready.wait()
            try:
                yield Address(*listener.getsockname()[:2])
            finally:
                server.should_exit = True


__all__ = ["Transports", "bind", "serve_app"]
