"""A uvicorn server that runs inside a task of this process."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import anyio
import uvicorn

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterator


class EmbeddedServer(uvicorn.Server):
    """Leaves signals to the process that embeds it, and tells when it is ready."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.ready = anyio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Listen, then tell."""
        await super().startup(sockets)
        self.ready.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signals as they are."""
        yield


__all__ = ["EmbeddedServer"]
