"""The other hosts: what they have sent, heard in digests over UDP."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple, cast

from redwingbank.front.clock import now_s
from redwingbank.front.digest import Digest, DigestError, Sent, decode_digest, encode_digest
from redwingbank.settings import Address

if TYPE_CHECKING:
    from collections.abc import Iterable

    from redwingbank.decisions import DecisionLog
    from redwingbank.front.backends import Backends
    from redwingbank.front.load import Flight
    from redwingbank.front.values import Part

# a host with nothing to tell says so this often, so that its silence means something
HEARTBEAT_S = 1.0
# three heartbeats; a host unheard for longer has no requests in flight that count
SILENT_S = 3.0
# news waits this long for more, a tenth of what a prompt takes to be read
BATCH_S = 0.01
OWN = ""


class Peer(NamedTuple):
    """Another host: its address, the start of its process, and when it was heard last."""

    address: Address
    incarnation: int
    heard_s: float


class _Told(NamedTuple):
    """What is to be told with the next digest."""

    sent: list[Sent]
    begun: list[int]
    ended: list[int]


class Peers(asyncio.DatagramProtocol):
    """Tells the other hosts of this one's requests, and takes note of theirs."""

    def __init__(self, host: str, incarnation: int, backends: Backends, log: DecisionLog) -> None:
        self.peers_by_host: dict[str, Peer] = {}
        self._host = host
        self._incarnation = incarnation
        self._backends = backends
        self._log = log
        self._transport: asyncio.DatagramTransport | None = None
        self._told = _Told([], [], [])
        self._told_s = 0.0
        self._due = False
        self._number = 0
        self._server_by_number: dict[str, dict[int, str]] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the socket."""
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a digest; bytes that are none are told in the log and dropped."""
        now = now_s()
        try:
            digest = decode_digest(data, now)
        except DigestError as error:
            self._log.detail("digest-unreadable", sender=addr[0], reason=str(error))
            return
        if digest.host != self._host:
            self._hear(digest, Address(*addr[:2]), now)

    def know(self, addresses_by_host: dict[str, Address]) -> None:
        """Take the hosts that the store names."""
        for host, address in addresses_by_host.items():
            if host != self._host and host not in self.peers_by_host:
                self.peers_by_host[host] = Peer(address, 0, float("-inf"))

    def alive(self, now: float) -> int:
        """How many other hosts were heard lately."""
        return sum(now - peer.heard_s < SILENT_S for peer in self.peers_by_host.values())

    def sent(self, server: str, flight: Flight, parts: tuple[Part, ...]) -> int:
        """Tell of a request; answers its number."""
        self._number += 1
        self._note().sent.append(Sent(self._number, server, flight, parts))
        return self._number

    def begun(self, number: int) -> None:
        """Tell of a request's first event."""
        self._note().begun.append(number)

    def ended(self, number: int) -> None:
        """Tell of a request's end."""
        self._note().ended.append(number)

    def tell(self) -> None:
        """Send what is to be told, or a heartbeat where one is due."""
        now = now_s()
        self._due = False
        told = self._told
        quiet = not (told.sent or told.begun or told.ended)
        if self._transport is None or (quiet and now - self._told_s < HEARTBEAT_S):
            return
        self._told, self._told_s = _Told([], [], []), now
        data = encode_digest(
            Digest(
                self._host,
                self._incarnation,
                tuple(told.sent),
                tuple(told.begun),
                tuple(told.ended),
            )
        )
        for peer in self.peers_by_host.values():
            self._transport.sendto(data, peer.address)

    def _note(self) -> _Told:
        """What is told within `BATCH_S`."""
        if not self._due:
            self._due = True
            asyncio.get_running_loop().call_later(BATCH_S, self.tell)
        return self._told

    def expire(self, now: float) -> None:
        """Forget the requests of hosts that have fallen silent."""
        for host, peer in self.peers_by_host.items():
            if now - peer.heard_s >= SILENT_S and self._server_by_number.get(host):
                del self._server_by_number[host]
                self._backends.host_gone(host)
                self._log.last("host-silent", peer=host, since_s=round(now - peer.heard_s, 1))

    def _hear(self, digest: Digest, address: Address, now: float) -> None:
        before = self.peers_by_host.get(digest.host)
        if before and digest.incarnation < before.incarnation:
            return
        if before is None or digest.incarnation > before.incarnation:
            self._backends.host_gone(digest.host)
            self._server_by_number[digest.host] = {}
            self._log.last("host-heard", peer=digest.host, address=str(address))
        self.peers_by_host[digest.host] = Peer(address, digest.incarnation, now)
        self._take(digest.host, digest, now)

    def _take(self, host: str, digest: Digest, now: float) -> None:
        servers = self._server_by_number.setdefault(host, {})
        for one in digest.sent:
            backend = self._backends.backends_by_name.get(one.server)
            if backend:
                servers[one.number] = one.server
                backend.load.sent((host, one.number), one.flight)
                backend.load.cache.read(one.parts)
        for number in digest.begun:
            backend = self._backends.backends_by_name.get(servers.get(number, ""))
            if backend:
                backend.load.begun((host, number), now)
        self._end(host, digest.ended, servers)

    def _end(self, host: str, numbers: Iterable[int], servers: dict[int, str]) -> None:
        for number in numbers:
            backend = self._backends.backends_by_name.get(servers.pop(number, ""))
            if backend:
                backend.load.ended((host, number))


__all__ = ["OWN", "Peer", "Peers"]
