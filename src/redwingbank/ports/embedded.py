"""A uvicorn server that runs as a task of this process."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import anyio
import uvicorn

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterator


class EmbeddedServer(uvicorn.Server):
    """Leaves signal handling to the embedding process and sets `ready` once it listens."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.ready = anyio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start listening, then set `ready`."""
        await super().startup(sockets)
        self.ready.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signal handlers unchanged."""
        yield


__all__ = ["EmbeddedServer"]
