"""Many memberships in one process, with simulated time and faults between them."""

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
from redwingbank.rules.membership import Membership, trim_heartbeat
from redwingbank.settings import Address, PeerKey, Settings

OVERHEAD_BYTES = UDP_HEADER_BYTES + HEADER_BYTES + TAG_BYTES
LATENCY_S = 0.004
CHECK_INTERVAL_S = 0.05
START_MICROSECONDS = 1_700_000_000_000_000
UNUSED_ADDRESS = Address("127.0.0.1", 1)
KEY = PeerKey(1, b"a secret of the tests")


def build_settings(index: int, data_centre: str, seeds: int) -> Settings:
    return Settings(
        host=f"entry-{index}",
        data_centre=data_centre,
        caller=UNUSED_ADDRESS,
        control=build_address(index),
        platform=UNUSED_ADDRESS,
        peer_keys=(KEY,),
        seeds=tuple(build_address(seed) for seed in range(1, seeds + 1)),
    )


def build_address(index: int) -> Address:
    return Address(f"10.0.{index // 200}.{index % 200 + 1}", 7080)


class Arrival(NamedTuple):
    at_s: float
    order: int
    sender: str
    address: str
    heartbeat: object


class Fleet:
    """Hosts `entry-1`..., spread over `data_centres`; `frozen` and `down` hold host names."""

    def __init__(
        self, count, data_centres, seed=1, seeds=3, membership_type=Membership, pull_s=None
    ):
        self.random = Random(seed)
        self.membership_type = membership_type
        self.pull_s = pull_s
        self.budget_by_host = {}
        self.over_budget = 0
        self.drops_over_budget = False
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
            self.settings_by_host[f"entry-{index}"] = build_settings(index, data_centre, seeds)
            self.start(f"entry-{index}")

    def start(self, host, clock_s=0.0):
        """Start a host's process, or start it again, with its wall clock off by `clock_s`."""
        settings = self.settings_by_host[host]
        address = str(settings.control)
        incarnation = START_MICROSECONDS + round((self.now_s + clock_s) * 1_000_000)
        self.down.discard(host)
        self.host_by_address[address] = host
        self.member_by_host[host] = self.membership_type(
            host, settings.data_centre, address, incarnation, settings
        )
        self.next_tick_by_host[host] = self.now_s + self.random.random() * settings.heartbeat_s

    def run(self, seconds, until=None):
        """Advance the time, at most until `until` holds; returns whether it did."""
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

    def unfreeze(self, host):
        """End a host's freeze; its timer runs before it reads the messages that have arrived."""
        self.frozen.discard(host)
        self._tick(host)

    def send(self, host, outgoing):
        for address, heartbeat in outgoing:
            self._send(host, address, heartbeat)

    def connect_all(self):
        """Introduce every host to every other, as after a long run."""
        for host, member in self.member_by_host.items():
            members = tuple(
                other.own for name, other in self.member_by_host.items() if name != host
            )
            member.apply_snapshot(Heartbeat(True, 0, members), self.now_s)
            member.pop_changes()

    def changes(self):
        """The changes each host has seen since the last call: (observer, member)."""
        return [
            (host, change.member)
            for host, member in self.member_by_host.items()
            for change in member.pop_changes()
        ]

    def limit_bytes(self, others_share):
        """Give each host its byte budget, and other messages that use a share of it."""
        for host, settings in self.settings_by_host.items():
            self.budget_by_host[host] = ByteBudget(settings.control_bytes_per_s)
        self.others_bytes = round(
            others_share * settings.control_bytes_per_s * settings.heartbeat_s
        )

    def cut_between(self, one_side, others):
        self.cuts |= {frozenset((one, two)) for one in one_side for two in others}

    def running(self):
        """Memberships of the hosts that run."""
        stopped = self.down | self.frozen
        return {
            host: member for host, member in self.member_by_host.items() if host not in stopped
        }

    def view_of(self, host):
        return {member.host for member in self.member_by_host[host].alive(self.now_s)}

    def agreed(self, hosts):
        """Whether every running host considers exactly these hosts alive."""
        return all(self.view_of(host) == hosts for host in self.running())

    def _tick(self, host):
        member = self.member_by_host[host]
        if host in self.budget_by_host:
            budget = self.budget_by_host[host]
            budget.try_spend(self.others_bytes, self.now_s, may_shed=False)
        self.send(host, member.tick(self.now_s))
        source = member.sync_due(self.now_s)
        if source and self._passes(host, source.host):
            copy = self.member_by_host[source.host].snapshot(self.now_s)
            member.apply_snapshot(copy, self.now_s)
            self._count(source.host, source.host, copy)

    def _passes(self, sender, receiver):
        stopped = {sender, receiver} & (self.down | self.frozen)
        return not stopped and frozenset((sender, receiver)) not in self.cuts

    def _count(self, host, sender, heartbeat):
        packed = encode(Envelope(sender, START_MICROSECONDS, 10**6, heartbeat))
        size = len(packed) + OVERHEAD_BYTES
        budget = self.budget_by_host.get(host)
        if budget and not budget.try_spend(size, self.now_s, may_shed=True):
            self.over_budget += 1
            return None if self.drops_over_budget else trim_heartbeat(heartbeat)
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

    def _schedule_table_update(self, host, member):
        """Schedule the adoption of a newer table after the time that its pull takes."""
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
            self._schedule_table_update(receiver, member)
        self.now_s = now_s
