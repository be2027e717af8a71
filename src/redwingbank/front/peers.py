"""Exchange with the other hosts over UDP: requests in flight, freshness and server changes.

In a small fleet each host sends its digests to all others. In a large one it sends them to the
relay of its data centre, which batches them and forwards them to the hosts there and to the other
relays. The traffic to a host then grows with the requests, not with hosts times requests, and
each digest crosses to another data centre once.
"""

from __future__ import annotations

import asyncio
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any, NamedTuple, cast

from redwingbank.clock import now_s
from redwingbank.duties.codec import Announcement, UsageCounts
from redwingbank.front.digest import (
    UNKNOWN_PLACE,
    Answer,
    Audience,
    Bundle,
    Digest,
    FirstEvent,
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
from redwingbank.front.host_listing import HostListing
from redwingbank.front.notice_codec import StatementReport
from redwingbank.front.poison import CrashNews
from redwingbank.front.report_relay import ReportRelay
from redwingbank.front.stream_codec import StreamReport
from redwingbank.settings import Address

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from redwingbank.decisions import DecisionLog
    from redwingbank.forwarding.reach_codec import ReachReport
    from redwingbank.front.backends import Backends
    from redwingbank.front.digest import Content
    from redwingbank.front.values import PromptPart
    from redwingbank.routing.load import InFlightRequest
    from redwingbank.routing.server_limit import Fleet, HostKey

# A host with nothing to report sends an empty digest this often, so that silence shows its loss.
HEARTBEAT_S = 1.0
# Three heartbeats; after this the in-flight requests of a silent host no longer count.
HOST_TIMEOUT_S = 3.0
# Digests are delayed this long to batch events. A sent request affects the next choice of a
# server. First events and ends only refine the known load, and first events carry their own time.
SENT_BATCH_S = 0.003
PROGRESS_BATCH_S = 0.25
# In smaller fleets every host sends to all others: a relay would add more delay than it saves.
LARGE_FLEET_HOSTS = 16
# host part of the keys of this host's own requests in `ServerLoad`
OWN_HOST = ""


class Peer(NamedTuple):
    """Another host; `heard_s` is when its last message arrived."""

    address: Address
    incarnation: int
    heard_s: float
    place: Place = UNKNOWN_PLACE


class _PendingDigest(NamedTuple):
    """Events that go into the next digest."""

    sent: list[Sent]
    begun: list[FirstEvent]
    ended: list[int]


class Peers(asyncio.DatagramProtocol):
    """Reports this host's requests to the other hosts and applies their reports.

    `answer_question` returns the answer to another host's question; `on_answer`, `on_news`,
    `on_crash`, `on_statements` and `on_streams` receive answers, changes of backend servers,
    crashes, statements of servers and streams from other hosts, and `on_host_started` the names
    of hosts that started. `on_duties` receives messages of the duties; without one they are
    dropped. `reach_report` returns what the next digest to all hosts tells of the pools that this
    host reaches, if anything; `on_reach` receives what other hosts tell.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        backends: Backends,
        log: DecisionLog,
        place: Place = UNKNOWN_PLACE,
    ) -> None:
        self.peers_by_host: dict[str, Peer] = {}
        self.answer_question: Callable[[Question, str], Answer] | None = None
        self.on_answer: Callable[[Answer, str], None] | None = None
        self.on_news: Callable[[News], None] | None = None
        self.on_crash: Callable[[CrashNews, float], None] | None = None
        self.on_statements: Callable[[StatementReport, HostKey], None] | None = None
        self.on_streams: Callable[[StreamReport, str], None] | None = None
        self.on_host_started: list[Callable[[str], None]] = []
        self.on_duties: Callable[[Announcement | UsageCounts, str], None] | None = None
        self.reach_report: Callable[[float], ReachReport | None] | None = None
        self.on_reach: Callable[[ReachReport, str, float], None] | None = None
        self.host = host
        self.incarnation = incarnation
        self.place = place
        self._backends = backends
        self._log = log
        self.listing = HostListing(now_s())
        self._transport: asyncio.DatagramTransport | None = None
        self._pending = _PendingDigest([], [], [])
        self._flush_due_s = float("inf")
        self._heartbeat_sent_s = 0.0
        self.relay = ReportRelay(self)
        self._incarnation_by_host: dict[str, int] = {}
        self._last_report_s_by_host: dict[str, float] = {}
        self._number = 0
        self._server_by_number: dict[str, dict[int, str]] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a message; bytes that can't be decoded are logged and dropped."""
        now = now_s()
        try:
            message = decode_message(data, now)
        except MessageError as error:
            self._log.detail("message-unreadable", sender=addr[0], reason=str(error))
            return
        if message.host != self.host and self._record_sender(message, Address(*addr[:2]), now):
            handle = _HANDLER.dispatch(type(message.content))
            handle(self, message.content, message.host, now)

    def add_hosts(self, addresses_by_host: dict[str, Address]) -> None:
        """Add the hosts that the store lists, and greet those that are new."""
        self.listing.record(addresses_by_host, now_s())
        for host, address in addresses_by_host.items():
            if host != self.host and host not in self.peers_by_host:
                self.peers_by_host[host] = Peer(address, 0, float("-inf"))
                self.send(Digest(), [address])

    def alive(self, now: float) -> list[str]:
        """List the other hosts that sent a message within `HOST_TIMEOUT_S`."""
        return [
            host
            for host, peer in self.peers_by_host.items()
            if now - peer.heard_s < HOST_TIMEOUT_S
        ]

    def expected(self, now: float) -> list[str]:
        """List the hosts that are alive, and those listed so lately that they may not be heard."""
        return [
            host
            for host, peer in self.peers_by_host.items()
            if now - peer.heard_s < HOST_TIMEOUT_S
            or (peer.heard_s == float("-inf") and self.listing.is_new(host, now))
        ]

    def fleet(self, now: float) -> Fleet:
        """Count the hosts that share limits, including this one."""
        heard_s_by_host = {host: peer.heard_s for host, peer in self.peers_by_host.items()}
        return self.listing.count_hosts(heard_s_by_host, now)

    def known_hosts(self) -> int | None:
        """Count the hosts known so far with this one; None before the store has listed them."""
        return 1 + len(self.peers_by_host) if self.listing.listed else None

    def report_sent(
        self, server: str, in_flight: InFlightRequest, parts: tuple[PromptPart, ...]
    ) -> int:
        """Report a request that was sent; return its number."""
        self._number += 1
        self._schedule(SENT_BATCH_S).sent.append(Sent(self._number, server, in_flight, parts))
        return self._number

    def report_first_event(self, number: int, took_s: float) -> None:
        """Report a request's first event."""
        self._schedule(PROGRESS_BATCH_S).begun.append(FirstEvent(number, took_s))

    def report_end(self, number: int, within_s: float = PROGRESS_BATCH_S) -> None:
        """Report a request's end."""
        self._schedule(within_s).ended.append(number)

    def send_heartbeat(self) -> None:
        """Send a heartbeat if one is due."""
        now = now_s()
        if now - self._heartbeat_sent_s >= HEARTBEAT_S:
            self._heartbeat_sent_s = now
            self.send(Digest(reach=self._next_reach_report(now)), self.addresses())

    def flush(self) -> None:
        """Send the pending digest."""
        now, pending = now_s(), self._pending
        self._pending = _PendingDigest([], [], [])
        self._flush_due_s = float("inf")
        digest = Digest(tuple(pending.sent), tuple(pending.begun), tuple(pending.ended))
        relay = self.relay.select(self.place.data_centre, now)
        if not relay or len(self.alive(now)) + 1 < LARGE_FLEET_HOSTS:
            self._heartbeat_sent_s = now
            self.send(digest._replace(reach=self._next_reach_report(now)), self.addresses())
            return
        report = Report(self.host, self.incarnation, digest)
        if relay == self.host:
            self.relay.relay((report,))
        else:
            bundle = Bundle((report,), Audience.ALL)
            self.send(bundle, [self.peers_by_host[relay].address])

    def ask(self, host: str, question: Question) -> None:
        """Ask a host how fresh its table is."""
        peer = self.peers_by_host.get(host)
        if peer:
            self.send(question, [peer.address])

    def tell(self, hosts: Iterable[str], report: StatementReport | StreamReport | Digest) -> None:
        """Send a message to some of the other hosts; those not known are left out."""
        known = [self.peers_by_host[host] for host in hosts if host in self.peers_by_host]
        self.send(report, [peer.address for peer in known])

    def broadcast(self, news: News | CrashNews | StatementReport) -> None:
        """Send changes, a crash or limits of backend servers to every other host."""
        self.send(news, self.addresses())

    def expire(self, now: float) -> None:
        """Remove the requests of hosts without recent digests, direct or through a relay."""
        for host, reported_s in list(self._last_report_s_by_host.items()):
            if now - reported_s >= HOST_TIMEOUT_S:
                del self._last_report_s_by_host[host]
                self._server_by_number.pop(host, None)
                self._backends.remove_host(host)
                self._log.essential("host-silent", peer=host, since_s=round(now - reported_s, 1))

    def send(self, content: Content, addresses: Iterable[Address]) -> None:
        """Send a message to some addresses."""
        if self._transport is None:
            return
        message = Message(self.host, self.incarnation, content, self.place)
        data = encode_message(message)
        for address in addresses:
            self._transport.sendto(data, address)

    def _next_reach_report(self, now: float) -> ReachReport | None:
        return self.reach_report(now) if self.reach_report else None

    def _schedule(self, within_s: float) -> _PendingDigest:
        """Schedule a flush within a time and return the pending digest."""
        flush_due_s = now_s() + within_s
        if flush_due_s < self._flush_due_s:
            self._flush_due_s = flush_due_s
            asyncio.get_running_loop().call_later(within_s, self._flush_if_due)
        return self._pending

    def _flush_if_due(self) -> None:
        if self._flush_due_s < float("inf"):
            self.flush()

    def addresses(self, data_centre: str | None = None) -> list[Address]:
        """List the addresses of the other hosts, or only of those in a data centre."""
        return [
            peer.address
            for peer in self.peers_by_host.values()
            if data_centre is None or peer.place.data_centre == data_centre
        ]

    def _record_sender(self, message: Message, address: Address, now: float) -> bool:
        """Record the sender of a message; return False for an earlier incarnation of the host."""
        if not self._is_current(message.host, message.incarnation):
            return False
        before = self.peers_by_host.get(message.host)
        self.peers_by_host[message.host] = Peer(address, message.incarnation, now, message.place)
        if before is None or message.incarnation > before.incarnation:
            self._log.essential("host-heard", peer=message.host, address=str(address))
            for host_started in self.on_host_started:
                host_started(message.host)
        return True

    def _is_current(self, host: str, incarnation: int) -> bool:
        """Whether an incarnation is the host's latest; requests of earlier ones are removed."""
        before = self._incarnation_by_host.get(host, -1)
        if incarnation > before:
            self._incarnation_by_host[host] = incarnation
            self._backends.remove_host(host)
            self._server_by_number[host] = {}
        return incarnation >= before

    @singledispatchmethod
    def _handle(self, content: Any, host: str, now: float) -> None:
        raise TypeError(type(content))

    @_handle.register
    def _handle_bundle(self, content: Bundle, host: str, now: float) -> None:
        for report in content.reports:
            if report.host != self.host and self._is_current(report.host, report.incarnation):
                self._handle_digest(report.digest, report.host, now)
        if content.audience is Audience.ALL:
            self.relay.relay(content.reports)
        elif content.audience is Audience.DATA_CENTRE:
            self.relay.forward(content.reports)

    @_handle.register
    def _handle_digest(self, content: Digest, host: str, now: float) -> None:
        self._last_report_s_by_host[host] = now
        if content.reach and self.on_reach:
            self.on_reach(content.reach, host, now)
        servers = self._server_by_number.setdefault(host, {})
        by_name = self._backends.backends_by_name
        for sent in content.sent:
            backend = by_name.get(sent.server)
            if backend:
                servers[sent.number] = sent.server
                backend.load.request_sent((host, sent.number), sent.in_flight, sent.parts)
        for first_event in content.begun:
            backend = by_name.get(servers.get(first_event.number, ""))
            if backend:
                backend.load.first_event_received((host, first_event.number), first_event.took_s)
        for number in content.ended:
            backend = by_name.get(servers.pop(number, ""))
            if backend:
                backend.load.request_ended((host, number))

    @_handle.register
    def _handle_question(self, content: Question, host: str, now: float) -> None:
        if self.answer_question:
            self.send(self.answer_question(content, host), [self.peers_by_host[host].address])

    @_handle.register
    def _handle_answer(self, content: Answer, host: str, now: float) -> None:
        if self.on_answer:
            self.on_answer(content, host)

    @_handle.register
    def _handle_news(self, content: News, host: str, now: float) -> None:
        if self.on_news:
            self.on_news(content)

    @_handle.register
    def _handle_crash(self, content: CrashNews, host: str, now: float) -> None:
        if self.on_crash:
            self.on_crash(content, now)

    @_handle.register
    def _handle_statements(self, content: StatementReport, host: str, now: float) -> None:
        if self.on_statements:
            self.on_statements(content, (host, self.peers_by_host[host].incarnation))

    @_handle.register
    def _handle_streams(self, content: StreamReport, host: str, now: float) -> None:
        if self.on_streams:
            self.on_streams(content, host)

    @_handle.register(Announcement)
    @_handle.register(UsageCounts)
    def _handle_duties(self, content: Announcement | UsageCounts, host: str, now: float) -> None:
        if self.on_duties:
            self.on_duties(content, host)


# Calls through the method build a function each time, which takes longer than a small message.
_HANDLER = Peers.__dict__["_handle"].dispatcher

__all__ = ["OWN_HOST", "PROGRESS_BATCH_S", "Peer", "Peers"]
