"""Messages between daemons: sealed Cap'n Proto envelopes over UDP."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

import anyio
from anyio import TASK_STATUS_IGNORED
from anyio.abc import SocketAttribute

from redwingbank import clock
from redwingbank.messages import Heartbeat, Message, Pull, Pulled, Received
from redwingbank.ports.budget import ByteBudget
from redwingbank.ports.codec import Envelope, decode, encode, message_kind
from redwingbank.ports.faults import FaultInjector
from redwingbank.ports.seal import KeyRing, ReplayWindows
from redwingbank.rules.membership import trim_heartbeat

if TYPE_CHECKING:
    from anyio.abc import Listener, SocketStream, TaskGroup, TaskStatus, UDPSocket
    from anyio.streams.memory import MemoryObjectSendStream

    from redwingbank.settings import Settings

MAX_DATAGRAM_BYTES = 60_000
UDP_HEADER_BYTES = 28
MAX_BIND_ATTEMPTS = 16


class PeerCounters(NamedTuple):
    """Messages and bytes (with UDP and IP headers) by kind, and dropped messages by reason."""

    messages_out: Counter[str]
    bytes_out: Counter[str]
    messages_in: Counter[str]
    bytes_in: Counter[str]
    dropped: Counter[str]


class Peers:
    """Sends and receives messages at the control socket.

    :param settings: supplies the control address, the keys and the byte budget
    :param host: this host's name, the sender of every message
    :param incarnation: start time of this process in microseconds since 1970

    The reasons in `counters.dropped` are `stranger` (not sealed for this host with a known
    key), `garbage` (not a valid envelope, or sent under this host's own name), `replay`,
    `cut` and `lost` (injected faults), `overflow` (the inbox is full), `trimmed` (a heartbeat
    over the byte budget, sent without its gossip), `oversize` and `unreachable`. Pulls add
    `pull failed`, `pull refused` (too many at once) and `pull broken`.
    """

    def __init__(self, settings: Settings, host: str, incarnation: int) -> None:
        self.settings = settings
        self.host = host
        self.incarnation = incarnation
        self.address = str(settings.control)
        self.ring = KeyRing(settings.peer_keys)
        self.faults = FaultInjector()
        self.budget = ByteBudget(settings.control_bytes_per_s)
        self.counters = PeerCounters(Counter(), Counter(), Counter(), Counter(), Counter())
        self.listener: Listener[SocketStream] | None = None
        self._socket: UDPSocket | None = None
        self._group: TaskGroup | None = None
        self._windows = ReplayWindows()
        self._write_lock = anyio.Lock()
        self._sequence = 0

    async def bind(self) -> None:
        """Open the UDP socket and, on the same port, the TCP listener for pulls.

        If the settings' port is 0, a port that is free for both is chosen and stored in
        `address`.

        :raises OSError: if the settings' port is taken
        """
        host, port = self.settings.control
        for attempt in range(MAX_BIND_ATTEMPTS):
            udp = await anyio.create_udp_socket(local_host=host, local_port=port)
            bound: int = udp.extra(SocketAttribute.local_port)
            try:
                listeners = await anyio.create_tcp_listener(local_host=host, local_port=bound)
            except OSError:
                await udp.aclose()
                if port or attempt == MAX_BIND_ATTEMPTS - 1:
                    raise
                continue
            self._socket = udp
            self.listener = listeners.listeners[0]
            self.address = str(self.settings.control._replace(port=bound))
            return

    async def close(self) -> None:
        """Close the sockets."""
        if self._socket:
            await self._socket.aclose()
        if self.listener:
            await self.listener.aclose()

    async def run(
        self,
        inbox: MemoryObjectSendStream[Received],
        *,
        task_status: TaskStatus[None] = TASK_STATUS_IGNORED,
    ) -> None:
        """Receive messages into `inbox` until cancelled; a full inbox drops messages."""
        if self._socket is None:
            await self.bind()
        assert self._socket is not None
        async with self._socket, anyio.create_task_group() as group:
            self._group = group
            task_status.started()
            async for data, (host, port) in self._socket:
                self._receive(data, f"{host}:{port}", inbox)

    def envelope(self, message: Message | Pull | Pulled) -> bytes:
        """Encode a message with this host's name and the next sequence number."""
        self._sequence += 1
        return encode(Envelope(self.host, self.incarnation, self._sequence, message))

    async def send(self, address: str, message: Message) -> bool:
        """Send a message; returns whether it was handed to the network.

        A heartbeat may announce a higher incarnation of this host, to refute a report that
        the host is suspect or dead. That incarnation then applies to all messages sent.
        """
        kind = message_kind(message)
        if isinstance(message, Heartbeat) and message.members:
            self.incarnation = max(self.incarnation, message.members[0].incarnation)
        data = self._seal(address, message)
        if len(data) > MAX_DATAGRAM_BYTES:
            return self._drop("oversize")
        may_trim = isinstance(message, Heartbeat) and not _has_lasting_notice(message)
        size = len(data) + UDP_HEADER_BYTES
        if not self.budget.try_spend(size, clock.now_s(), may_shed=may_trim):
            assert isinstance(message, Heartbeat)
            data = self._seal(address, trim_heartbeat(message))
            size = len(data) + UDP_HEADER_BYTES
            self.counters.dropped["trimmed"] += 1
            self.budget.try_spend(size, clock.now_s(), may_shed=False)
        self.counters.messages_out[kind] += 1
        self.counters.bytes_out[kind] += size
        if self.faults.should_lose(address):
            return self._drop("lost")
        delay_s = self.faults.delay_s()
        if delay_s and self._group:
            self._group.start_soon(self._send_delayed, data, address, delay_s)
            return True
        return await self._write(data, address)

    def _seal(self, address: str, message: Message) -> bytes:
        return self.ring.seal(self.envelope(message), address.encode())

    async def _send_delayed(self, data: bytes, address: str, delay_s: float) -> None:
        await anyio.sleep(delay_s)
        await self._write(data, address)

    async def _write(self, data: bytes, address: str) -> bool:
        host, _, port = address.rpartition(":")
        if self._socket is None:
            return self._drop("unreachable")
        try:
            async with self._write_lock:
                await self._socket.sendto(data, host, int(port))
        except (OSError, ValueError, anyio.ClosedResourceError, anyio.BrokenResourceError):
            return self._drop("unreachable")
        return True

    def _drop(self, reason: str) -> bool:
        self.counters.dropped[reason] += 1
        return False

    def _receive(self, data: bytes, address: str, inbox: MemoryObjectSendStream[Received]) -> None:
        envelope = self._unseal(data, address)
        if envelope is None or isinstance(envelope.message, Pull | Pulled):
            self.counters.bytes_in["dropped"] += len(data) + UDP_HEADER_BYTES
            return
        kind = message_kind(envelope.message)
        self.counters.messages_in[kind] += 1
        self.counters.bytes_in[kind] += len(data) + UDP_HEADER_BYTES
        try:
            inbox.send_nowait(Received(envelope.sender, address, envelope.message))
        except (anyio.WouldBlock, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self._drop("overflow")

    def _unseal(self, data: bytes, address: str) -> Envelope | None:
        payload = self.ring.open(data, self.address.encode())
        if payload is None:
            self._drop("stranger")
            return None
        envelope = decode(payload)
        if envelope is None or envelope.sender == self.host:
            self._drop("garbage")
            return None
        if self.faults.is_cut(address, envelope.sender):
            self._drop("cut")
            return None
        if not self._windows.accept(envelope.sender, envelope.incarnation, envelope.sequence):
            self._drop("replay")
            return None
        return envelope


def _has_lasting_notice(heartbeat: Heartbeat) -> bool:
    """Return whether a heartbeat carries a notice to spread; probes have a TTL of 0."""
    return any(notice.ttl_s > 0 for notice in heartbeat.notices)


__all__ = ["PeerCounters", "Peers"]
