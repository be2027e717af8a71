"""Pulls of values from other daemons: sealed frames over TCP on the control port."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from anyio.streams.buffered import BufferedByteReceiveStream

from redwingbank.messages import Heartbeat, Pull, Pulled
from redwingbank.ports.codec import Envelope, decode
from redwingbank.ports.seal import extract_nonce

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import ByteReceiveStream, SocketStream

    from redwingbank.ports.peers import Peers

LENGTH_BYTES = 4
MAX_REQUEST_BYTES = 64 * 1024
MAX_ANSWER_BYTES = 32 * 1024 * 1024
MAX_VALUES_BYTES = 8 * 1024 * 1024
CONNECT_TIMEOUT_S = 0.5
PULL_TIMEOUT_S = 2.0
SERVE_TIMEOUT_S = 5.0
MAX_CONCURRENT_PULLS = 16
MEMBERS_NAME = "@members"
REQUEST_CONTEXT = b"pull "
ANSWER_CONTEXT = b"pulled "

CONNECTION_ERRORS = (
    OSError,
    anyio.IncompleteRead,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.ConnectionFailed,
)


class OversizeFrameError(OSError):
    """A frame's length prefix exceeds the limit."""


async def _read_frame(stream: ByteReceiveStream, max_bytes: int) -> bytes:
    buffered = BufferedByteReceiveStream(stream)
    length = int.from_bytes(await buffered.receive_exactly(LENGTH_BYTES), "big")
    if length > max_bytes:
        raise OversizeFrameError(length)
    return await buffered.receive_exactly(length)


async def _write_frame(stream: SocketStream, data: bytes) -> None:
    await stream.send(len(data).to_bytes(LENGTH_BYTES, "big") + data)


class Pulls:
    """Requests values from other daemons and serves their requests from `lookup`.

    A request is bound to its destination address and an answer to its request, so that
    neither can be replayed. `lookup(names)` returns the revision in force and the values
    found under these names; `digest()` returns all members and notices. Values beyond
    `MAX_VALUES_BYTES` are left out of an answer and have to be requested again.
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
        self._semaphore = anyio.Semaphore(MAX_CONCURRENT_PULLS)

    async def run(self) -> None:
        """Serve pulls until cancelled."""
        if self._peers.listener is None:
            await self._peers.bind()
        assert self._peers.listener is not None
        async with self._peers.listener as listener:
            await listener.serve(self._serve)

    async def pull(self, address: str, names: tuple[str, ...]) -> Pulled | None:
        """Request values from a daemon; None if it doesn't answer in time or isn't a peer."""
        if self._peers.faults.should_lose(address):
            self._peers.counters.dropped["lost"] += 1
            return None
        with anyio.move_on_after(PULL_TIMEOUT_S):
            try:
                return await self._request(address, names)
            except CONNECTION_ERRORS:
                self._peers.counters.dropped["pull failed"] += 1
                return None
        self._peers.counters.dropped["pull failed"] += 1
        return None

    async def pull_members(self, address: str) -> Heartbeat | None:
        """Request all members and notices that a daemon knows; None if that fails."""
        pulled = await self.pull(address, (MEMBERS_NAME,))
        value = pulled.values_by_name.get(MEMBERS_NAME) if pulled else None
        envelope = decode(value) if value else None
        if envelope and isinstance(envelope.message, Heartbeat):
            return envelope.message
        return None

    async def _request(self, address: str, names: tuple[str, ...]) -> Pulled | None:
        host, _, port = address.rpartition(":")
        peers = self._peers
        request = peers.ring.seal(peers.envelope(Pull(names)), REQUEST_CONTEXT + address.encode())
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(host, int(port))
        async with stream:
            await _write_frame(stream, request)
            self._count("out", "pull", len(request))
            answer = await _read_frame(stream, MAX_ANSWER_BYTES)
        self._count("in", "pulled", len(answer))
        envelope = self._unseal(answer, ANSWER_CONTEXT + extract_nonce(request))
        return envelope.message if envelope and isinstance(envelope.message, Pulled) else None

    async def _serve(self, stream: SocketStream) -> None:
        async with stream:
            try:
                self._semaphore.acquire_nowait()
            except anyio.WouldBlock:
                self._peers.counters.dropped["pull refused"] += 1
                return
            try:
                with anyio.move_on_after(SERVE_TIMEOUT_S):
                    await self._handle(stream)
            except CONNECTION_ERRORS:
                self._peers.counters.dropped["pull broken"] += 1
            finally:
                self._semaphore.release()

    async def _handle(self, stream: SocketStream) -> None:
        peers = self._peers
        request = await _read_frame(stream, MAX_REQUEST_BYTES)
        self._count("in", "pull", len(request))
        envelope = self._unseal(request, REQUEST_CONTEXT + peers.address.encode())
        if envelope is None or not isinstance(envelope.message, Pull):
            return
        if peers.faults.is_cut(envelope.sender):
            peers.counters.dropped["cut"] += 1
            return
        pulled = self._collect_values(envelope.message.names)
        answer = peers.ring.seal(peers.envelope(pulled), ANSWER_CONTEXT + extract_nonce(request))
        await _write_frame(stream, answer)
        self._count("out", "pulled", len(answer))

    def _collect_values(self, names: tuple[str, ...]) -> Pulled:
        if names != (MEMBERS_NAME,):
            return _limit_size(self._lookup(names))
        digest = self._digest()
        return Pulled(digest.revision, {MEMBERS_NAME: self._peers.envelope(digest)})

    def _unseal(self, data: bytes, context: bytes) -> Envelope | None:
        payload = self._peers.ring.open(data, context)
        if payload is None:
            self._peers.counters.dropped["stranger"] += 1
            return None
        envelope = decode(payload)
        if envelope is None:
            self._peers.counters.dropped["garbage"] += 1
        return envelope

    def _count(self, direction: str, kind: str, size: int) -> None:
        counters = self._peers.counters
        messages, sizes = {
            "in": (counters.messages_in, counters.bytes_in),
            "out": (counters.messages_out, counters.bytes_out),
        }[direction]
        messages[kind] += 1
        sizes[kind] += size + LENGTH_BYTES


def _limit_size(pulled: Pulled) -> Pulled:
    size = 0
    values_by_name: dict[str, bytes] = {}
    for name, value in pulled.values_by_name.items():
        size += len(value)
        if values_by_name and size > MAX_VALUES_BYTES:
            break
        values_by_name[name] = value
    return Pulled(pulled.revision, values_by_name)


__all__ = ["Pulls"]
