"""Stand-in for a runner of a plain service, by PROTOCOL.md, "Runners" and "Service discovery"."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import NamedTuple

from standins.http import Listener, read_message


class Run(NamedTuple):
    """A request that reached a runner; `began` is false if the runner turned it away."""

    request_id: str
    runner: str
    service: str
    tenant: str
    arrived_s: float
    began: bool


class Runner(Listener):
    """Runs requests of `work_s` each on `slots` slots; `runs` is shared by all runners."""

    def __init__(
        self,
        name: str,
        service: str,
        ip: str,
        runs: list[Run],
        slots: int = 6,
        work_s: float = 0.09,
        zone: str = "zone-a",
    ) -> None:
        super().__init__(ip, 0)
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.work_s = slots, work_s
        self.state = "ready"
        self.leaving = False
        self.cold_left_ms = 0
        self.born = int(time.time() * 1000)
        self.runs = runs
        self.completed: set[str] = set()
        self.active = 0
        self._free = asyncio.Semaphore(slots)

    @property
    def entry(self) -> dict[str, object]:
        """What the runner writes to the store."""
        return {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": self.cold_left_ms,
            "born": self.born,
            "seq": 1,
        }

    @property
    def leaving_line(self) -> str:
        return "Server-Leaving: 1\r\n" if self.leaving else ""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while message := await read_message(reader):
            method, target, _ = message.first_line.split()
            load = f"Server-Load: {min(self.active, self.slots)},0,{self.slots}\r\n"
            request_id = message.headers.get("request-id", "")
            if not request_id:
                status = 200 if target == "/healthz" and not self.leaving else 503
                text = (
                    f"HTTP/1.1 {status} x\r\nInstance-Id: {self.name}\r\n{load}{self.leaving_line}"
                )
                writer.write(f"{text}Content-Length: 0\r\n\r\n".encode())
                continue
            known = message.headers.get("expect-instance", self.name) == self.name
            tenant = message.headers.get("tenant", "")
            self.runs.append(
                Run(request_id, self.name, self.service, tenant, time.monotonic(), known)
            )
            if not known:
                text = (
                    f"HTTP/1.1 421 x\r\nRequest-Id: {request_id}\r\nInstance-Id: {self.name}\r\n"
                )
                writer.write(f"{text}Content-Length: 0\r\n\r\n".encode())
                continue
            self.active += 1
            try:
                async with self._free:
                    await asyncio.sleep(self.work_s)
            finally:
                self.active -= 1
            body = f"{self.service} {request_id}".encode().ljust(800, b".")
            head = (
                f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
                f"Server-Stamp: {self.name}.{request_id}\r\n{load}{self.leaving_line}"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            with contextlib.suppress(ConnectionError):
                await writer.drain()
            self.completed.add(request_id)
