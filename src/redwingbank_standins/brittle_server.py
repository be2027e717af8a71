"""Stand-in for a backend server with slots and a queue, which may be brittle or fall silent."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import TYPE_CHECKING

from redwingbank_standins.backend_server import BackendServer
from redwingbank_standins.stream_server import reset_connection

if TYPE_CHECKING:
    from redwingbank.settings import Address
    from redwingbank_standins.backend_server import ReceivedRequest

REJECTION_WINDOW_S = 1.0


class BrittleServer(BackendServer):
    """Runs `slots` requests at a time for `pause_s` each, and lets `queue` more wait.

    It turns further requests away with status 503. While `brittle` is not empty, all its
    responses state it as `Server-Brittle`. If it has to turn away more than `most_rejected`
    requests in a second, it falls over: it closes all connections and is back after `down_s`.
    `fall_times` tells when. While it is silent, it reads and sends nothing.
    """

    def __init__(self, name: str, mode: str = "ok", *, slots: int = 4, queue: int = 8) -> None:
        super().__init__(name, mode)
        self.queue = queue
        self.brittle = ""
        self.most_rejected: int | None = None
        self.down_s = 2.0
        self.fall_times: list[float] = []
        self.rejections = 0
        self.in_flight = 0
        self._free = asyncio.Semaphore(slots)
        self._slots = slots
        self._down = False
        self._rejected_s: deque[float] = deque()
        self._speaks = asyncio.Event()
        self._speaks.set()
        self._listened: Address | None = None

    async def start(self, address: Address) -> Address:
        """Start listening; a server that fell over comes back at the same address."""
        self._listened = await super().start(address)
        self._down = False
        return self._listened

    async def fall_silent(self, seconds: float) -> None:
        """Read and send nothing for some time, and keep the connections."""
        self._speaks.clear()
        await asyncio.sleep(seconds)
        self._speaks.set()

    async def _respond(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter, reader: asyncio.StreamReader
    ) -> bool:
        await self._speaks.wait()
        if self.in_flight >= self._slots + self.queue:
            return self._reject(writer)
        self.in_flight += 1
        try:
            async with self._free:
                return await super()._respond(request, writer, reader)
        finally:
            self.in_flight -= 1

    def _reject(self, writer: asyncio.StreamWriter) -> bool:
        now_s = time.monotonic()
        self.rejections += 1
        self._rejected_s.append(now_s)
        while now_s - self._rejected_s[0] >= REJECTION_WINDOW_S:
            self._rejected_s.popleft()
        if self._down:
            return False
        if self.most_rejected is not None and len(self._rejected_s) > self.most_rejected:
            self._fall(now_s)
            return False
        head = b"HTTP/1.1 503 x\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"
        writer.write(head + self._statement_lines() + b"\r\n")
        return True

    def _fall(self, now_s: float) -> None:
        self.fall_times.append(now_s)
        self._rejected_s.clear()
        self._down = True
        self.stop()
        for writer in list(self._writers):
            reset_connection(writer)
        asyncio.get_running_loop().call_later(self.down_s, self._come_back)

    def _come_back(self) -> None:
        assert self._listened is not None
        self._restarting = asyncio.get_running_loop().create_task(self.start(self._listened))

    def _statement_lines(self) -> bytes:
        line = b"Server-Brittle: %b\r\n" % self.brittle.encode() if self.brittle else b""
        return super()._statement_lines() + line


__all__ = ["BrittleServer"]
