"""Serves a stand-in's ASGI application on a socket of its own, in this process."""

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
    """The open connections by the caller's address, so that a fault can cut one."""

    def __init__(self) -> None:
        self.by_client: dict[tuple[str, int], asyncio.Transport] = {}

    def protocol(self) -> type[HttpToolsProtocol]:
        """Give the protocol class that keeps this record."""
        by_client = self.by_client

        class Protocol(HttpToolsProtocol):
            def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
                super().connection_made(transport)
                by_client[transport.get_extra_info("peername")[:2]] = transport

            def connection_lost(self, exc: Exception | None) -> None:
                by_client.pop(self.client or ("", 0), None)
                super().connection_lost(exc)

        return Protocol

    def cut(self, client: tuple[str, int]) -> None:
        """Close a connection at once, with nothing more written."""
        transport = self.by_client.get(tuple(client))  # type: ignore[arg-type]
        if transport is not None:
            transport.abort()

    def cut_all(self) -> None:
        """Close every connection at once."""
        for transport in list(self.by_client.values()):
            transport.abort()


def bind(host: str, port: int) -> socket.socket:
    """Bind a listening socket; port 0 takes a free one."""
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
    """Serve an application while the block runs, and give its address.

    >>> async with serve_app(build_platform(PlatformSettings())) as address:
    ...     ...
    """
    config = uvicorn.Config(
        app,
        http=transports.protocol() if transports else HttpToolsProtocol,
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
