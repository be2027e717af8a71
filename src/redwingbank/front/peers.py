"""The other hosts: what they have sent, and how fresh their tables are, heard over UDP.

In a small fleet each host tells all others. In a large one it tells the relay of its data
centre, which gathers what its hosts say and passes it on, there and to the other relays: what a
host hears grows with the requests, not with hosts times requests, and crosses between data
centres once.
"""

from __future__ import annotations

import asyncio
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any, NamedTuple, cast

from redwingbank.front.clock import now_s
from redwingbank.front.digest import (
    NOWHERE,
    Answer,
    Audience,
    Begun,
    Bundle,
    Digest,
    Message,
    MessageError,
    News,
    Place,
    Question,
    Report,
    Sent,
    decode_message,
    encode_message,
)
from redwingbank.front.poison import CrashNews
from redwingbank.rules.rendezvous import ranked
from redwingbank.settings import Address

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from redwingbank.decisions import DecisionLog
    from redwingbank.front.backends import Backends
    from redwingbank.front.digest import Content
    from redwingbank.front.load import Flight
    from redwingbank.front.values import PromptPart

# a host with nothing to tell says so this often, so that its silence means something
HEARTBEAT_S = 1.0
# three heartbeats; a host unheard for longer has no requests in flight that count
SILENT_S = 3.0
# news waits this long for more: a request counts for the next choice, and its first event and
# its end, which carry their own times, for what is learned of a server
SENT_BATCH_S = 0.003
PROGRESS_BATCH_S = 0.25
# a relay gathers this long, a tenth of the time that the shortest targets leave for a first event
BUNDLE_S = 0.02
# among fewer hosts each tells all: a relay would save less than it delays
LARGE_FLEET_HOSTS = 16
# a heartbeat and a half: a relay unheard for longer is passed over
RELAY_SILENT_S = 1.5
# a relay sends some 200 bytes of each request to each host of its data centre: 29 Mbit/s for 600
# requests a second among 30 hosts
RELAY_LINK_MBPS = 50.0
RELAY_KEY = "relay of "
OWN = ""


class Peer(NamedTuple):
    """Another host: its address, the start of its process, when it was heard, where it is."""

    address: Address
    incarnation: int
    heard_s: float
    place: Place = NOWHERE


class _Told(NamedTuple):
    """What is to be told with the next digest."""

    sent: list[Sent]
    begun: list[Begun]
    ended: list[int]


class Peers(asyncio.DatagramProtocol):
    """Tells the other hosts of this one's requests, and takes note of theirs.

    `answer_question` gives the freshness of this host's table, `take_answer` another's,
    `take_news` what another has seen of backend servers, `take_crash` of requests that crash
    them.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        backends: Backends,
        log: DecisionLog,
        place: Place = NOWHERE,
    ) -> None:
        self.peers_by_host: dict[str, Peer] = {}
        self.answer_question: Callable[[Question, str], Answer] | None = None
        self.take_answer: Callable[[Answer, str], None] | None = None
        self.take_news: Callable[[News], None] | None = None
        self.take_crash: Callable[[CrashNews, float], None] | None = None
        self._host = host
        self._incarnation = incarnation
        self._place = place
        self._backends = backends
        self._log = log
        self._transport: asyncio.DatagramTransport | None = None
        self._told = _Told([], [], [])
        self._due_s = float("inf")
        self._beat_s = 0.0
        self._passing_on: list[Report] = []
        self._incarnation_by_host: dict[str, int] = {}
        self._told_s_by_host: dict[str, float] = {}
        self._number = 0
        self._server_by_number: dict[str, dict[int, str]] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the socket."""
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a message; bytes that are none are told in the log and dropped."""
        now = now_s()
        try:
            message = decode_message(data, now)
        except MessageError as error:
            self._log.detail("message-unreadable", sender=addr[0], reason=str(error))
            return
        if message.host != self._host and self._hear(message, Address(*addr[:2]), now):
            self._take(message.content, message.host, now)

    def know(self, addresses_by_host: dict[str, Address]) -> None:
        """Take the hosts that the store names."""
        for host, address in addresses_by_host.items():
            if host != self._host and host not in self.peers_by_host:
                self.peers_by_host[host] = Peer(address, 0, float("-inf"))

    def alive(self, now: float) -> list[str]:
        """The other hosts that were heard lately."""
        return [host for host, peer in self.peers_by_host.items() if now - peer.heard_s < SILENT_S]

    def sent(self, server: str, flight: Flight, parts: tuple[PromptPart, ...]) -> int:
        """Tell of a request; answers its number."""
        self._number += 1
        self._note(SENT_BATCH_S).sent.append(Sent(self._number, server, flight, parts))
        return self._number

    def begun(self, number: int, took_s: float) -> None:
        """Tell of a request's first event."""
        self._note(PROGRESS_BATCH_S).begun.append(Begun(number, took_s))

    def ended(self, number: int) -> None:
        """Tell of a request's end."""
        self._note(PROGRESS_BATCH_S).ended.append(number)

    def beat(self) -> None:
        """Send a heartbeat where one is due."""
        if now_s() - self._beat_s >= HEARTBEAT_S:
            self._beat_s = now_s()
            self._send(Digest(), self._addresses())

    def tell(self) -> None:
        """Send what is to be told."""
        now, told = now_s(), self._told
        self._told = _Told([], [], [])
        self._due_s = float("inf")
        digest = Digest(tuple(told.sent), tuple(told.begun), tuple(told.ended))
        relay = self._relay(self._place.data_centre, now)
        if not relay or len(self.alive(now)) + 1 < LARGE_FLEET_HOSTS:
            self._beat_s = now
            self._send(digest, self._addresses())
            return
        report = Report(self._host, self._incarnation, digest)
        if relay == self._host:
            self._pass_on((report,))
        else:
            bundle = Bundle((report,), Audience.ALL)
            self._send(bundle, [self.peers_by_host[relay].address])

    def ask(self, host: str, question: Question) -> None:
        """Ask a host how fresh its table is."""
        peer = self.peers_by_host.get(host)
        if peer:
            self._send(question, [peer.address])

    def spread(self, news: News | CrashNews) -> None:
        """Tell every other host what became of backend servers, or of requests there."""
        self._send(news, self._addresses())

    def expire(self, now: float) -> None:
        """Forget the requests of hosts of which nothing was heard, from them or a relay."""
        for host, told_s in list(self._told_s_by_host.items()):
            if now - told_s >= SILENT_S:
                del self._told_s_by_host[host]
                self._server_by_number.pop(host, None)
                self._backends.host_gone(host)
                self._log.essential("host-silent", peer=host, since_s=round(now - told_s, 1))

    def _send(self, content: Content, addresses: Iterable[Address]) -> None:
        if self._transport is None:
            return
        message = Message(self._host, self._incarnation, content, self._place)
        data = encode_message(message)
        for address in addresses:
            self._transport.sendto(data, address)

    def _note(self, within_s: float) -> _Told:
        """What is told within a time."""
        due_s = now_s() + within_s
        if due_s < self._due_s:
            self._due_s = due_s
            asyncio.get_running_loop().call_later(within_s, self._tell_due)
        return self._told

    def _tell_due(self) -> None:
        if self._due_s < float("inf"):
            self.tell()

    def _addresses(self, data_centre: str | None = None) -> list[Address]:
        """The other hosts' addresses, all or those of a data centre."""
        return [
            peer.address
            for peer in self.peers_by_host.values()
            if data_centre is None or peer.place.data_centre == data_centre
        ]

    def _relay(self, data_centre: str, now: float) -> str:
        """The host that passes reports on in a data centre, empty where none can."""
        places_by_host = {
            host: peer.place
            for host, peer in self.peers_by_host.items()
            if now - peer.heard_s < RELAY_SILENT_S
        }
        places_by_host[self._host] = self._place
        hosts = [
            host
            for host, place in places_by_host.items()
            if place.data_centre == data_centre and place.link_mbps >= RELAY_LINK_MBPS
        ]
        return ranked(RELAY_KEY + data_centre, hosts)[0] if hosts else ""

    def _pass_on(self, reports: Iterable[Report]) -> None:
        """Gather reports for the hosts of this data centre, and for the other relays."""
        if not self._passing_on:
            asyncio.get_running_loop().call_later(BUNDLE_S, self._pass_on_gathered)
        self._passing_on.extend(reports)

    def _pass_on_gathered(self) -> None:
        now, reports = now_s(), tuple(self._passing_on)
        self._passing_on.clear()
        here = self._place.data_centre
        self._send(Bundle(reports, Audience.NOBODY), self._addresses(here))
        others = {peer.place.data_centre for peer in self.peers_by_host.values()}
        for data_centre in others - {here}:
            relay = self._relay(data_centre, now)
            if relay:
                address = self.peers_by_host[relay].address
                self._send(Bundle(reports, Audience.DATA_CENTRE), [address])
            else:
                self._send(Bundle(reports, Audience.NOBODY), self._addresses(data_centre))

    def _hear(self, message: Message, address: Address, now: float) -> bool:
        """Note a host's sign of life; one of an earlier start is none."""
        if not self._current(message.host, message.incarnation):
            return False
        before = self.peers_by_host.get(message.host)
        if before is None or message.incarnation > before.incarnation:
            self._log.essential("host-heard", peer=message.host, address=str(address))
        self.peers_by_host[message.host] = Peer(address, message.incarnation, now, message.place)
        return True

    def _current(self, host: str, incarnation: int) -> bool:
        """Tell whether this is of a host's latest start; requests of earlier ones are gone."""
        before = self._incarnation_by_host.get(host, -1)
        if incarnation > before:
            self._incarnation_by_host[host] = incarnation
            self._backends.host_gone(host)
            self._server_by_number[host] = {}
        return incarnation >= before

    @singledispatchmethod
    def _take(self, content: Any, host: str, now: float) -> None:
        raise TypeError(type(content))

    @_take.register
    def _take_bundle(self, content: Bundle, host: str, now: float) -> None:
        for report in content.reports:
            if report.host != self._host and self._current(report.host, report.incarnation):
                self._take_digest(report.digest, report.host, now)
        if content.audience is Audience.ALL:
            self._pass_on(content.reports)
        elif content.audience is Audience.DATA_CENTRE:
            here = self._addresses(self._place.data_centre)
            self._send(Bundle(content.reports, Audience.NOBODY), here)

    @_take.register
    def _take_digest(self, content: Digest, host: str, now: float) -> None:
        self._told_s_by_host[host] = now
        servers = self._server_by_number.setdefault(host, {})
        by_name = self._backends.backends_by_name
        for one in content.sent:
            backend = by_name.get(one.server)
            if backend:
                servers[one.number] = one.server
                backend.load.sent((host, one.number), one.flight)
                backend.load.cache.read(one.parts)
        for begun in content.begun:
            backend = by_name.get(servers.get(begun.number, ""))
            if backend:
                backend.load.begun((host, begun.number), begun.took_s)
        for number in content.ended:
            backend = by_name.get(servers.pop(number, ""))
            if backend:
                backend.load.ended((host, number))

    @_take.register
    def _take_question(self, content: Question, host: str, now: float) -> None:
        if self.answer_question:
            self._send(self.answer_question(content, host), [self.peers_by_host[host].address])

    @_take.register
    def _take_answer(self, content: Answer, host: str, now: float) -> None:
        if self.take_answer:
            self.take_answer(content, host)

    @_take.register
    def _take_news(self, content: News, host: str, now: float) -> None:
        if self.take_news:
            self.take_news(content)

    @_take.register
    def _take_crash(self, content: CrashNews, host: str, now: float) -> None:
        if self.take_crash:
            self.take_crash(content, now)


__all__ = ["OWN", "Peer", "Peers"]
