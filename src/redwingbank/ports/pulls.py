"""Pulls of values from other daemons: sealed frames over TCP at the control port's number."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from anyio.streams.buffered import BufferedByteReceiveStream

from redwingbank.messages import Heartbeat, Pull, Pulled
from redwingbank.ports.codec import Envelope, decode
from redwingbank.ports.seal import nonce_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import ByteReceiveStream, SocketStream

    from redwingbank.ports.peers import Peers

LENGTH_BYTES = 4
HIGHEST_REQUEST_BYTES = 64 * 1024
HIGHEST_ANSWER_BYTES = 32 * 1024 * 1024
ANSWER_VALUES_BYTES = 8 * 1024 * 1024
CONNECT_TIMEOUT_S = 0.5
PULL_TIMEOUT_S = 2.0
SERVE_TIMEOUT_S = 5.0
SERVED_AT_ONCE = 16
MEMBERS = "@members"
REQUEST = b"pull "
ANSWER = b"pulled "

BROKEN = (
    OSError,
    anyio.IncompleteRead,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.ConnectionFailed,
)


class OversizeFrameError(OSError):
    """A frame says that it is longer than it may be."""


async def _read_frame(stream: ByteReceiveStream, highest_bytes: int) -> bytes:
    buffered = BufferedByteReceiveStream(stream)
    length = int.from_bytes(await buffered.receive_exactly(LENGTH_BYTES), "big")
    if length > highest_bytes:
        raise OversizeFrameError(length)
    return await buffered.receive_exactly(length)


async def _write_frame(stream: SocketStream, data: bytes) -> None:
    await stream.send(len(data).to_bytes(LENGTH_BYTES, "big") + data)


class Pulls:
    """Asks other daemons for values, and answers them from `lookup`.

    A request is tied to the address it is sent to and an answer to its request, so that
    neither can be replayed. `lookup(names)` gives the revision in force and the values
    it has of these names, `digest()` all members and notices. An answer stops at
    `ANSWER_VALUES_BYTES`, so ask again for the rest.
    """

    def __init__(
        self,
        peers: Peers,
        lookup: Callable[[tuple[str, ...]], Pulled],
        digest: Callable[[], Heartbeat],
    ) -> None:
        self._peers = peers
        self._lookup = lookup
        self._digest = digest
        self._places = anyio.Semaphore(SERVED_AT_ONCE)

    async def run(self) -> None:
        """Answer pulls until cancelled."""
        if self._peers.listener is None:
            await self._peers.bind()
        assert self._peers.listener is not None
        async with self._peers.listener as listener:
            await listener.serve(self._serve)

    async def pull(self, address: str, names: tuple[str, ...]) -> Pulled | None:
        """Ask one daemon; None where it does not answer in time or is no peer of ours."""
        if self._peers.faults.loses(address):
            self._peers.counters.dropped["lost"] += 1
            return None
        with anyio.move_on_after(PULL_TIMEOUT_S):
            try:
                return await self._ask(address, names)
            except BROKEN:
                self._peers.counters.dropped["pull failed"] += 1
                return None
        self._peers.counters.dropped["pull failed"] += 1
        return None

    async def pull_members(self, address: str) -> Heartbeat | None:
        """Ask one daemon for all members and notices that it knows."""
        pulled = await self.pull(address, (MEMBERS,))
        value = pulled.values_by_name.get(MEMBERS) if pulled else None
        envelope = decode(value) if value else None
        if envelope and isinstance(envelope.message, Heartbeat):
            return envelope.message
        return None

    async def _ask(self, address: str, names: tuple[str, ...]) -> Pulled | None:
        host, _, port = address.rpartition(":")
        peers = self._peers
        request = peers.ring.seal(peers.envelope(Pull(names)), REQUEST + address.encode())
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(host, int(port))
        async with stream:
            await _write_frame(stream, request)
            self._count("out", "pull", len(request))
            answer = await _read_frame(stream, HIGHEST_ANSWER_BYTES)
        self._count("in", "pulled", len(answer))
        envelope = self._opened(answer, ANSWER + nonce_of(request))
        return envelope.message if envelope and isinstance(envelope.message, Pulled) else None

    async def _serve(self, stream: SocketStream) -> None:
        async with stream:
            try:
                self._places.acquire_nowait()
            except anyio.WouldBlock:
                self._peers.counters.dropped["pull refused"] += 1
                return
            try:
                with anyio.move_on_after(SERVE_TIMEOUT_S):
                    await self._answer(stream)
            except BROKEN:
                self._peers.counters.dropped["pull broken"] += 1
            finally:
                self._places.release()

    async def _answer(self, stream: SocketStream) -> None:
        peers = self._peers
        request = await _read_frame(stream, HIGHEST_REQUEST_BYTES)
        self._count("in", "pull", len(request))
        envelope = self._opened(request, REQUEST + peers.address.encode())
        if envelope is None or not isinstance(envelope.message, Pull):
            return
        if peers.faults.cuts(envelope.sender):
            peers.counters.dropped["cut"] += 1
            return
        pulled = self._values(envelope.message.names)
        answer = peers.ring.seal(peers.envelope(pulled), ANSWER + nonce_of(request))
        await _write_frame(stream, answer)
        self._count("out", "pulled", len(answer))

    def _values(self, names: tuple[str, ...]) -> Pulled:
        if names != (MEMBERS,):
            return _bounded(self._lookup(names))
        digest = self._digest()
        return Pulled(digest.revision, {MEMBERS: self._peers.envelope(digest)})

    def _opened(self, data: bytes, context: bytes) -> Envelope | None:
        payload = self._peers.ring.open(data, context)
        if payload is None:
            self._peers.counters.dropped["stranger"] += 1
            return None
        envelope = decode(payload)
        if envelope is None:
            self._peers.counters.dropped["garbage"] += 1
        return envelope

    def _count(self, way: str, kind: str, size: int) -> None:
        counters = self._peers.counters
        messages, sizes = {
            "in": (counters.messages_in, counters.bytes_in),
            "out": (counters.messages_out, counters.bytes_out),
        }[way]
        messages[kind] += 1
        sizes[kind] += size + LENGTH_BYTES


def _bounded(pulled: Pulled) -> Pulled:
    size = 0
    values_by_name: dict[str, bytes] = {}
    for name, value in pulled.values_by_name.items():
        size += len(value)
        if values_by_name and size > ANSWER_VALUES_BYTES:
            break
        values_by_name[name] = value
    return Pulled(pulled.revision, values_by_name)


__all__ = ["Pulls"]
