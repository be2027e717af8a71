"""Relays digests between data centres: one host of each batches them for the others there."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from redwingbank.clock import now_s
from redwingbank.front.digest import Audience, Bundle, Place, Report
from redwingbank.rules.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from redwingbank.front.digest import Content
    from redwingbank.settings import Address

# A tenth of the time that the shortest targets allow until the first event.
RELAY_BATCH_S = 0.02
# One and a half heartbeats; after this a silent host is not used as a relay.
RELAY_TIMEOUT_S = 1.5
# A relay sends about 200 bytes per request to each host of its data centre: 29 Mbit/s for 600
# requests per second and 30 hosts.
MIN_RELAY_LINK_MBPS = 50.0
RELAY_KEY = "relay of "


class KnownHost(Protocol):
    """Another host; `heard_s` is when its last message arrived."""

    @property
    def address(self) -> Address:
        """Where it gets messages."""

    @property
    def heard_s(self) -> float:
        """When its last message arrived."""

    @property
    def place(self) -> Place:
        """Its data centre and its link."""


class HostDirectory(Protocol):
    """The other hosts and the way to send to them."""

    @property
    def host(self) -> str:
        """This host's name."""

    @property
    def place(self) -> Place:
        """This host's data centre and link."""

    @property
    def peers_by_host(self) -> Mapping[str, KnownHost]:
        """The other hosts."""

    def addresses(self, data_centre: str | None = None) -> list[Address]:
        """List the addresses of the other hosts, or only of those in a data centre."""

    def send(self, content: Content, addresses: Iterable[Address]) -> None:
        """Send a message to some addresses."""


class ReportRelay:
    """Batches reports for the hosts of this data centre and for the other relays.

    Answers fleets in which each host would otherwise decode a message of every relay in every
    batch: reports from other relays wait for the batch of this data centre, since a message costs
    each host as much processor time as two requests in it.
    """

    def __init__(self, hosts: HostDirectory) -> None:
        self._hosts = hosts
        self._pending: list[Report] = []
        self._forwards: list[Report] = []

    def relay(self, reports: Iterable[Report]) -> None:
        """Batch reports of this data centre for its hosts and for the other relays."""
        self._schedule()
        self._pending.extend(reports)

    def forward(self, reports: Iterable[Report]) -> None:
        """Batch another relay's reports for the hosts of this data centre."""
        self._schedule()
        self._forwards.extend(reports)

    def select(self, data_centre: str, now: float) -> str:
        """Select the relay of a data centre, empty if no host there qualifies."""
        places_by_host = {
            host: peer.place
            for host, peer in self._hosts.peers_by_host.items()
            if now - peer.heard_s < RELAY_TIMEOUT_S
        }
        places_by_host[self._hosts.host] = self._hosts.place
        hosts = [
            host
            for host, place in places_by_host.items()
            if place.data_centre == data_centre and place.link_mbps >= MIN_RELAY_LINK_MBPS
        ]
        return ranked(RELAY_KEY + data_centre, hosts)[0] if hosts else ""

    def _schedule(self) -> None:
        if not self._pending and not self._forwards:
            asyncio.get_running_loop().call_later(RELAY_BATCH_S, self._send)

    def _send(self) -> None:
        reports, forwards = tuple(self._pending), tuple(self._forwards)
        self._pending.clear()
        self._forwards.clear()
        hosts, here = self._hosts, self._hosts.place.data_centre
        hosts.send(Bundle((*reports, *forwards), Audience.NOBODY), hosts.addresses(here))
        if reports:
            self._send_to_other_data_centres(reports)

    def _send_to_other_data_centres(self, reports: tuple[Report, ...]) -> None:
        hosts, now = self._hosts, now_s()
        data_centres = {peer.place.data_centre for peer in hosts.peers_by_host.values()}
        for data_centre in data_centres - {hosts.place.data_centre}:
            relay = self.select(data_centre, now)
            if relay:
                address = hosts.peers_by_host[relay].address
                hosts.send(Bundle(reports, Audience.DATA_CENTRE), [address])
            else:
                hosts.send(Bundle(reports, Audience.NOBODY), hosts.addresses(data_centre))


__all__ = ["ReportRelay"]
