"""Many memberships in one process, with time passed in and faults between them."""

from __future__ import annotations

import heapq
from collections import Counter
from random import Random
from typing import NamedTuple

from redwingbank.messages import Heartbeat
from redwingbank.ports.budget import ByteBudget
from redwingbank.ports.codec import Envelope, encode
from redwingbank.ports.peers import UDP_HEADER_BYTES
from redwingbank.ports.seal import HEADER_BYTES, TAG_BYTES
from redwingbank.rules.membership import Membership, sparest
from redwingbank.settings import Address, PeerKey, Settings

OVERHEAD_BYTES = UDP_HEADER_BYTES + HEADER_BYTES + TAG_BYTES
LATENCY_S = 0.004
CHECK_INTERVAL_S = 0.05
START_MICROSECONDS = 1_700_000_000_000_000
NOWHERE = Address("127.0.0.1", 1)
KEY = PeerKey(1, b"a secret of the tests")


def settings_of(index: int, data_centre: str, seeds: int) -> Settings:
    return Settings(
        host=f"entry-{index}",
        data_centre=data_centre,
        caller=NOWHERE,
        control=address_of(index),
        platform=NOWHERE,
        peer_keys=(KEY,),
        seeds=tuple(address_of(seed) for seed in range(1, seeds + 1)),
    )


def address_of(index: int) -> Address:
    return Address(f"10.0.{index // 200}.{index % 200 + 1}", 7080)


class Arrival(NamedTuple):
    at_s: float
    order: int
    sender: str
    address: str
    heartbeat: object


class Fleet:
    """Hosts `entry-1`... over `data_centres` in turn; `frozen` and `down` hold host names."""

    def __init__(self, count, data_centres, seed=1, seeds=3, kind=Membership, pull_s=None):
        self.random = Random(seed)
        self.kind = kind
        self.pull_s = pull_s
        self.budget_by_host = {}
        self.shed = 0
        self.sheds = False
        self.loss = 0.0
        self.cuts = set()
        self.frozen = set()
        self.down = set()
        self.now_s = 100.0
        self.bytes_by_host = Counter()
        self.messages_by_host = Counter()
        self.host_by_address = {}
        self.member_by_host = {}
        self.next_tick_by_host = {}
        self._arrivals = []
        self._order = 0
        self.settings_by_host = {}
        for index in range(1, count + 1):
            data_centre = data_centres[index % len(data_centres)]
            self.settings_by_host[f"entry-{index}"] = settings_of(index, data_centre, seeds)
            self.start(f"entry-{index}")

    def start(self, host, clock_s=0.0):
        """Start a host's process, or start it again, with its wall clock off by `clock_s`."""
        settings = self.settings_by_host[host]
        address = str(settings.control)
        incarnation = START_MICROSECONDS + round((self.now_s + clock_s) * 1_000_000)
        self.down.discard(host)
        self.host_by_address[address] = host
        self.member_by_host[host] = self.kind(
            host, settings.data_centre, address, incarnation, settings
        )
        self.next_tick_by_host[host] = self.now_s + self.random.random() * settings.heartbeat_s

    def run(self, seconds, until=None):
        """Let time pass, or less where `until` holds; tells whether it did."""
        end_s = self.now_s + seconds
        check_s = self.now_s
        while self.now_s < end_s:
            if until and self.now_s >= check_s:
                check_s = self.now_s + CHECK_INTERVAL_S
                if until():
                    return True
            host = min(self.next_tick_by_host, key=self.next_tick_by_host.get)
            self.now_s = self.next_tick_by_host[host]
            self._deliver()
            period_s = self.settings_by_host[host].heartbeat_s
            self.next_tick_by_host[host] = self.now_s + period_s
            if host not in self.frozen | self.down:
                self._tick(host)
        return bool(until and until())

    def wake(self, host):
        """End a host's freeze; its timer runs before it reads what has arrived."""
        self.frozen.discard(host)
        self._tick(host)

    def send(self, host, outgoing):
        for address, heartbeat in outgoing:
            self._send(host, address, heartbeat)

    def meet(self):
        """Let every host know every other, as after a long run."""
        for host, member in self.member_by_host.items():
            members = tuple(
                other.own for name, other in self.member_by_host.items() if name != host
            )
            member.synced(Heartbeat(True, 0, members), self.now_s)
            member.take_changes()

    def changes(self):
        """What each host has found since the last call: (finder, member)."""
        return [
            (host, change.member)
            for host, member in self.member_by_host.items()
            for change in member.take_changes()
        ]

    def starve(self, others_share):
        """Give each host its byte budget, and other messages that take a share of it."""
        for host, settings in self.settings_by_host.items():
            self.budget_by_host[host] = ByteBudget(settings.control_bytes_per_s)
        self.others_bytes = round(
            others_share * settings.control_bytes_per_s * settings.heartbeat_s
        )

    def cut_between(self, some, others):
        self.cuts |= {frozenset((one, two)) for one in some for two in others}

    def up(self):
        """Memberships of the hosts that run."""
        gone = self.down | self.frozen
        return {host: member for host, member in self.member_by_host.items() if host not in gone}

    def view_of(self, host):
        return {member.host for member in self.member_by_host[host].alive(self.now_s)}

    def agreed(self, hosts):
        """Whether every running host takes exactly these hosts as alive."""
        return all(self.view_of(host) == hosts for host in self.up())

    def _tick(self, host):
        member = self.member_by_host[host]
        if host in self.budget_by_host:
            budget = self.budget_by_host[host]
            budget.try_spend(self.others_bytes, self.now_s, may_shed=False)
        self.send(host, member.tick(self.now_s))
        source = member.sync_due(self.now_s)
        if source and self._passes(host, source.host):
            copy = self.member_by_host[source.host].snapshot(self.now_s)
            member.synced(copy, self.now_s)
            self._count(source.host, source.host, copy)

    def _passes(self, sender, receiver):
        gone = {sender, receiver} & (self.down | self.frozen)
        return not gone and frozenset((sender, receiver)) not in self.cuts

    def _count(self, host, sender, heartbeat):
        packed = encode(Envelope(sender, START_MICROSECONDS, 10**6, heartbeat))
        size = len(packed) + OVERHEAD_BYTES
        budget = self.budget_by_host.get(host)
        if budget and not budget.try_spend(size, self.now_s, may_shed=True):
            self.shed += 1
            return None if self.sheds else sparest(heartbeat)
        self.bytes_by_host[host] += size
        self.messages_by_host[host] += 1
        return heartbeat

    def _send(self, sender, address, heartbeat):
        heartbeat = self._count(sender, sender, heartbeat)
        if heartbeat is None:
            return
        receiver = self.host_by_address.get(address)
        cut = frozenset((sender, receiver)) in self.cuts
        if receiver is None or cut or self.random.random() < self.loss:
            return
        self._order += 1
        at_s = self.now_s + LATENCY_S * (1 + self.random.random())
        heapq.heappush(self._arrivals, Arrival(at_s, self._order, sender, address, heartbeat))

    def _follow(self, host, member):
        """Take a newer table after the time that a pull of it takes."""
        if self.pull_s is None or member.view().highest_revision <= member.own.revision:
            return
        self._order += 1
        at_s = self.now_s + self.pull_s
        arrival = Arrival(at_s, self._order, host, member.own.address, None)
        heapq.heappush(self._arrivals, arrival)

    def _deliver(self):
        now_s = self.now_s
        while self._arrivals and self._arrivals[0].at_s <= now_s:
            arrival = heapq.heappop(self._arrivals)
            receiver = self.host_by_address[arrival.address]
            if receiver in self.frozen | self.down:
                continue
            self.now_s = arrival.at_s
            member = self.member_by_host[receiver]
            if arrival.heartbeat is None:
                revision = member.view().highest_revision
                self.send(receiver, member.set_revision(revision, arrival.at_s))
                continue
            self.send(receiver, member.receive(arrival.sender, arrival.heartbeat, arrival.at_s))
            self._follow(receiver, member)
        self.now_s = now_s
