"""A front as a process of its own, with a crowd of clients that don't behave."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import tempfile
from pathlib import Path

from front_rig import HOST, KEY, LOOPBACK, boot, entry, free_ports, table
from redwingbank.settings import Address
from redwingbank_bench.processes import ChildProcess
from redwingbank_standins.objectstore import ObjectStore
from redwingbank_standins.raw_response import parse_response
from redwingbank_standins.stream_server import StreamServer

HEADER_BYTES = 32_768
BODY_BYTES = 4_194_304
PATIENCE_S = 60.0
TIMEOUT_MS = 50_000
# each client sends its bytes so many times
ROUNDS = 3
# of an ordinary client
TRIES = 4
# less than the host waits for a head
STAY_S = 3.0
# sent by a client that sends without end
ENDLESS_BYTES = 1_000_000
LONG_ANSWER_BYTES = 8_000_000
PART_BYTES = 64 * 1024
PAUSE_S_BY_READING = {"at once": 0.0, "slowly": 0.04, "never": PATIENCE_S}
SMALL_BODY_BYTES = 100


class DrainingServer(StreamServer):
    """Reads requests, large bodies part by part with a pause after each, and keeps nothing."""

    def __init__(self, name, pause_s):
        super().__init__()
        self.name = name
        self._pause_s = pause_s

    async def start(self, address):
        self._server = await asyncio.start_server(self.serve, *address, limit=8 * HEADER_BYTES)
        return self.address

    async def serve(self, reader, writer):
        """Answer the requests of a connection."""
        ends = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ends):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                fields = dict(line.partition(b": ")[::2] for line in head.split(b"\r\n"))
                await self._drain(reader, int(fields.get(b"Content-Length", 0)))
                if head.startswith(b"GET /api/report"):
                    body = json.dumps({"busy": False, "seq": 1, "queued": 0, "born": 1}).encode()
                else:
                    path = head.split(b" ")[1]
                    body = b"x" * (LONG_ANSWER_BYTES if path == b"/read/long" else 5)
                writer.write(
                    b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nServer-Stamp: s.1\r\n"
                    b"Content-Length: %d\r\n\r\n" % (fields.get(b"Request-Id", b""), len(body))
                )
                writer.write(body)
                await writer.drain()
        writer.close()

    async def _drain(self, reader, left):
        pause_s = self._pause_s if left > SMALL_BODY_BYTES else 0.0
        while left:
            left -= len(await reader.readexactly(min(left, PART_BYTES)))
            await asyncio.sleep(pause_s)


class CrowdHost:
    """A store, two servers and a front whose machine has little memory and few descriptors."""

    def __init__(self, memory_mb, descriptors, reading):
        self.memory_mb, self.descriptors = memory_mb, descriptors
        self.most_descriptors = 0
        self._store = ObjectStore()
        self._servers = [DrainingServer(f"i-{n}", PAUSE_S_BY_READING[reading]) for n in (1, 2)]
        self._folder = tempfile.TemporaryDirectory()
        self._crowd = []

    async def start(self):
        store = await self._store.start(Address(LOOPBACK, 0))
        content = table(timeout_ms=TIMEOUT_MS)
        content["limits"] = {
            "maxHeaderBytes": HEADER_BYTES,
            "maxBodyBytes": BODY_BYTES,
            "headerTimeoutMs": 8000,
            "idleTimeoutMs": 20_000,
        }
        await self._store.put("config", "main", content)
        for server in self._servers:
            listed = entry(await server.start(Address(LOOPBACK, 0)))
            await self._store.put("servers", server.name, {**listed, "slots": 64})
        ports = free_ports(4)
        limits = {"memoryMb": self.memory_mb, "maxFds": self.descriptors}
        path = Path(self._folder.name) / "boot.json"
        path.write_text(json.dumps({**boot(store, ports), "limits": limits}))
        self.process = ChildProcess(
            "front",
            ["redwingbank.front"],
            Path(self._folder.name),
            {"REDWINGBANK_NODE_FILE": str(path)},
        )
        self.process.start()
        self.address, self._readiness = (LOOPBACK, ports[0]), (LOOPBACK, ports[1])
        async with asyncio.timeout(PATIENCE_S):
            while not await self._ready():  # noqa: ASYNC110 - there is no event to wait for
                await asyncio.sleep(0.05)

    async def _ready(self):
        with contextlib.suppress(OSError):
            data = b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            return (await ask(self._readiness, data)).status == 200
        return False

    async def stop(self):
        await self.end_crowd()
        await asyncio.to_thread(self.process.stop)
        for server in self._servers:
            server.stop()
        self._store.stop()
        self._folder.cleanup()

    async def send_crowd(self, payload, count):
        """Let clients send their bytes, and return when each has, as far as the host reads."""
        members = [Member(self.address, payload) for _ in range(count)]
        self._crowd = [asyncio.create_task(member.stay()) for member in members]
        watch = asyncio.create_task(self._watch_descriptors())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STAY_S):
                await asyncio.gather(*(member.sent.wait() for member in members))
        self._crowd.append(watch)

    async def end_crowd(self):
        for task in self._crowd:
            task.cancel()
        await asyncio.gather(*self._crowd, return_exceptions=True)

    async def _watch_descriptors(self):
        while self.process.alive:
            with contextlib.suppress(OSError):
                count = len(os.listdir(f"/proc/{self.process.process_id}/fd"))
                self.most_descriptors = max(self.most_descriptors, count)
            await asyncio.sleep(0.02)

    def peak_mb(self):
        """Return the most memory that the process has had, in MB; the system keeps the figure."""
        status = Path(f"/proc/{self.process.process_id}/status").read_text().splitlines()
        return int(next(x.split()[1] for x in status if x.startswith("VmHWM:"))) * 1024 / 1e6


class Member:
    """A client of the crowd; it reads nothing, and stays until cancelled."""

    def __init__(self, address, payload):
        self.sent = asyncio.Event()
        self._address = address
        self._payload = payload

    async def stay(self):
        writers = []
        try:
            for _ in range(ROUNDS):
                writer = await self._send(writers)
                if writer and not writer.transport.is_closing():
                    break
            self.sent.set()
            await asyncio.sleep(PATIENCE_S * 10)
        finally:
            for writer in writers:
                writer.transport.abort()

    async def _send(self, writers):
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(*self._address, limit=1)
            writers.append(writer)
            for part in self._payload:
                writer.write(part)
                await writer.drain()
            return writer
        return None


def head(*lines, path="/book/x", key=KEY):
    first = (f"POST {path} HTTP/1.1", f"Host: {HOST}", f"Deadline-Ms: {TIMEOUT_MS}")
    return "\r\n".join([*first, f"Authorization: Token {key}", *lines, "", ""]).encode()


def large(short=0, **options):
    return [head(f"Content-Length: {BODY_BYTES}", **options), b"x" * (BODY_BYTES - short)]


def many_lines(size=HEADER_BYTES - 1000):
    """Return a head whose names and values have the given size, in lines of one byte each."""
    return head().removesuffix(b"\r\n") + b"a:\r\n" * (size // 4 * 2)


CHUNKED = head("Transfer-Encoding: chunked")
SMALL = head(f"Content-Length: {SMALL_BODY_BYTES}") + b"x" * SMALL_BODY_BYTES
CROWDS = {
    "bodies of legal size, one byte short": large(short=1),
    "bodies of legal size in one chunk, never ended": [
        CHUNKED + b"%x\r\n" % BODY_BYTES,
        b"x" * BODY_BYTES,
    ],
    "bodies of legal size in small chunks, not ended": [
        CHUNKED,
        # in writes of many chunks, since the store answers in the process of the crowd
        *[(b"10\r\n" + b"x" * 16 + b"\r\n") * 3000] * 20,
    ],
    "bodies of legal size without a valid key": large(key="none"),
    "bodies of legal size, whole": large(),
    "eight whole requests of legal size at once": large() * 8,
    "heads of very many short lines, and a body": [
        many_lines() + b"Content-Length: 200\r\n\r\n" + b"x" * 200
    ],
    "heads of very many short lines, one byte short": [
        many_lines() + b"Content-Length: 200\r\n\r\n" + b"x" * 199
    ],
    "heads of very many short lines, unfinished": [many_lines()],
    "header lines without end": [head()[:-2], *[b"X-L: vvvv\r\n" * 1000] * 90],
    "a header line without end": [head()[:-2] + b"X-L: ", *[b"v" * 10_000] * 100],
    "empty lines without end": [b"\r\n" * 5000] * 100,
    "requests without end, and read no answer": [SMALL * 20] * 100,
    "requests of long answers, and read none": [
        head(f"Content-Length: {SMALL_BODY_BYTES}", path="/read/long") + b"x" * SMALL_BODY_BYTES
    ],
    "nothing": [],
}


async def ask(address, data):
    """Send a request on a connection of its own; return the answer."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        async with asyncio.timeout(PATIENCE_S):
            writer.write(data)
            return parse_response(await reader.read())
    finally:
        writer.close()


async def ask_again(address, data):
    """Send a request, and send it again as often as callers do if it is to come back later."""
    for _ in range(TRIES):
        answer = await ask(address, data)
        if answer.status != 503 or "retry-after" not in answer.headers:
            break
        await asyncio.sleep(float(answer.headers["retry-after"]))
    return answer


def ordinary_request(**options):
    return head(f"Content-Length: {SMALL_BODY_BYTES}", "Connection: close", **options) + b"x" * 100


def largest_request():
    lines = [f"X-{number}: {'v' * 995}" for number in range(31)]
    first = head(f"Content-Length: {BODY_BYTES}", "Connection: close", *lines)
    return first + b"x" * BODY_BYTES
