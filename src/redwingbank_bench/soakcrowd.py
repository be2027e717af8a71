"""Clients of a soak that don't behave: they hold memory and connections, and ask for nothing."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

from redwingbank_bench.soakdocuments import BODY_BYTES, HOST_NAME
from redwingbank_standins.stream_server import reset_connection

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

    from redwingbank_bench.soakfronts import FrontFleet

MEMBERS = 40
STAY_S = (0.2, 2.5)
# The connections of this share are reset in the end, the others are closed.
RESET_SHARE = 0.5
# At most sent by a client that sends without end.
ENDLESS_BYTES = 1_000_000
PART_BYTES = 64 * 1024
PEAK_MEMORY = "VmHWM:"
KIBIBYTE, MEGABYTE = 1024, 1_000_000


class Crowd:
    """Clients that connect again and again; none of their requests is ever complete.

    They send bodies of legal size that stop short of their end, with and without a valid key,
    heads of very many lines that don't end, lines without end, empty lines, or nothing.
    """

    def __init__(self, seed: int, fronts: FrontFleet, keys: Sequence[str]) -> None:
        self.visits = 0
        self._seed = seed
        self._fronts = fronts
        self._keys = keys

    async def run(self) -> None:
        """Let all clients come and go until cancelled."""
        await asyncio.gather(*(self._run_member(number) for number in range(MEMBERS)))

    async def _run_member(self, number: int) -> None:
        random = Random(f"{self._seed}-crowd-{number}")
        while True:
            address = random.choice(self._fronts.addresses)
            build = random.choice(_PARTS_BY_KIND)
            key = random.choice((self._keys[-1], "none"))
            stay_s = random.uniform(*STAY_S)
            with contextlib.suppress(OSError, TimeoutError):
                _, writer = await asyncio.open_connection(*address)
                self.visits += 1
                try:
                    async with asyncio.timeout(stay_s):
                        for part in build(key):
                            writer.write(part)
                            await writer.drain()
                        await asyncio.sleep(stay_s)
                finally:
                    if random.random() < RESET_SHARE:
                        reset_connection(writer)
                    else:
                        writer.close()
            # a front that has exited refuses at once
            await asyncio.sleep(random.uniform(0.0, STAY_S[0]))


def peak_memory_mb(process_id: int) -> float:
    """Return the most memory that a process has had, in MB; 0.0 if it has exited."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
            if line.startswith(PEAK_MEMORY):
                return int(line.split()[1]) * KIBIBYTE / MEGABYTE
    return 0.0


def _head(key: str, *lines: str) -> bytes:
    first = ("POST /read/x HTTP/1.1", f"Host: {HOST_NAME}", f"Authorization: Token {key}")
    return "\r\n".join([*first, *lines, "", ""]).encode()


def _upload(head: bytes) -> Iterator[bytes]:
    yield head
    for _ in range(BODY_BYTES // PART_BYTES - 1):
        yield b"x" * PART_BYTES


def _sized(key: str) -> Iterator[bytes]:
    return _upload(_head(key, f"Content-Length: {BODY_BYTES}"))


def _chunked(key: str) -> Iterator[bytes]:
    return _upload(_head(key, "Transfer-Encoding: chunked") + b"%x\r\n" % BODY_BYTES)


def _lines(line: bytes) -> Callable[[str], Iterator[bytes]]:
    def build(key: str) -> Iterator[bytes]:
        yield _head(key)[:-2]
        for _ in range(ENDLESS_BYTES // PART_BYTES):
            yield line * (PART_BYTES // len(line))

    return build


def _empty_lines(key: str) -> Iterator[bytes]:  # noqa: ARG001 - as the others
    yield b"\r\n" * PART_BYTES


def _nothing(key: str) -> Iterator[bytes]:  # noqa: ARG001 - as the others
    yield from ()


_PARTS_BY_KIND: tuple[Callable[[str], Iterator[bytes]], ...] = (
    _sized,
    _sized,
    _chunked,
    lambda key: iter([_head(key)[:-2] + b"a:\r\n" * 8000]),
    _lines(b"X-L: vvvv\r\n"),
    _lines(b"v"),
    _empty_lines,
    _nothing,
)

__all__ = ["Crowd", "peak_memory_mb"]
