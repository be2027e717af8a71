"""A runner that follows PROTOCOL.md; a case sets what it does with a request."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, NamedTuple

from standins3.http import Head, answer, read_body, read_head

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from standins3.store import Store


class Call(NamedTuple):
    """A request as it arrived at a runner."""

    head: Head
    body: bytes
    writer: asyncio.StreamWriter
    reader: asyncio.StreamReader

    @property
    def request_id(self) -> str:
        """The id of the request."""
        return self.head.headers.get("request-id", "")


class Runner:
    """Listens, registers in the store, and calls `run` for each request that is meant for it."""

    def __init__(
        self, name: str, service: str, store: Store, slots: int = 6, version: str = "1"
    ) -> None:
        self.name, self.service, self.slots, self.version = name, service, slots, version
        self.born = int(time.time() * 1000)
        self.run: Callable[[Call], Awaitable[None]] = self.succeed
        self.arrived: list[tuple[float, str]] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self._store = store
        self._seq = 0
        self._server: asyncio.Server | None = None
        self.addr = ""

    async def start(self, host: str, port: int = 0) -> None:
        """Listen and register."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.addr = f"{host}:{self._server.sockets[0].getsockname()[1]}"
        self.register()

    def register(self, state: str = "ready") -> None:
        """Write the entry in the store."""
        self._seq += 1
        self._store.write(
            "servers",
            self.name,
            {
                "service": self.service, "addr": self.addr, "zone": "amman-a", "version": self.version,
                "slots": self.slots, "state": state, "coldLeftMs": 0, "seq": self._seq,
                "born": self.born,
            },
        )

    def unregister(self) -> None:
        """Remove the entry, as the platform does once the runner has left."""
        self._store.delete("servers", self.name)

    def exit(self) -> None:
        """Close the listening socket and reset all connections."""
        if self._server:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def headers(self, call: Call, **more: str) -> dict[str, str]:
        """Return the headers of an answer of a run."""
        named = {name.replace("_", "-"): value for name, value in more.items()}
        return {
            "Request-Id": call.request_id, "Server-Stamp": f"3e1b.{self.name}.{call.request_id}",
            "Content-Type": "application/json", **named,
        }

    async def succeed(self, call: Call) -> None:
        """Answer with success."""
        call.writer.write(answer(200, self.headers(call), b'{"ok":true}'))

    async def stream(self, call: Call, last: int, gap_s: float) -> None:
        """Answer with the events after the one that the request names, up to the last one."""
        after = int(call.head.headers.get("last-event-id", "0"))
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        headers = self.headers(call) | {"Content-Type": "text/event-stream"}
        lines += [f"{name}: {value}" for name, value in headers.items()]
        call.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(after + 1, last + 1):
            event = f"id: {number}\ndata: version {self.version} piece {number}\n\n".encode()
            call.writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await call.writer.drain()
            await asyncio.sleep(gap_s)
        call.writer.write(b"0\r\n\r\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                target = head.line.split(" ")[1]
                if target.startswith(("/api/report", "/healthz")):
                    body = (
                        '{"stage":"both","models":[],"busy":false,"seq":1,"queued":0,"active":0,'
                        f'"kvUsed":0,"kvTotal":90000,"handles":0,"born":{self.born}}}'
                    )
                    writer.write(answer(200, {"Instance-Id": self.name}, body.encode()))
                    await writer.drain()
                    continue
                expected = head.headers.get("expect-instance", self.name)
                if expected != self.name:
                    await read_body(reader, head)
                    writer.write(answer(421, {"Instance-Id": self.name}))
                    continue
                body = await read_body(reader, head)
                call = Call(head, body, writer, reader)
                self.arrived.append((time.monotonic(), call.request_id))
                await self.run(call)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # the end of the case
            pass
        finally:
            self.writers.discard(writer)
            writer.close()
