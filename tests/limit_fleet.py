"""Plays a fleet of hosts that share the limit of one server, with late and lost messages."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from random import Random

from redwingbank.front.host_listing import HostListing
from redwingbank.routing.server_limit import LimitBook, ServerLimit

SERVER = "i-1"
TICK_S = 0.1
REPEAT_S = 0.5
ANSWER_S = 0.05
DELAY_S = 0.003
JITTER_S = 0.006
START_S = 100.0


class Host:
    """One host's view; a paused host handles requests before the messages that waited for it."""

    def __init__(self, name, incarnation, now_s, random):
        self.name = name
        self.incarnation = incarnation
        self.limit = ServerLimit(SERVER, 0, random)
        self.listing = HostListing(now_s)
        self.heard_s_by_host = {}
        self.paused_until_s = 0.0
        self.waiting = []

    @property
    def key(self):
        return self.name, self.incarnation


class LimitFleet:
    """`hosts` hosts whose requests all want one server; the server names `per_s` from the start.

    `loss` is the share of messages that are lost, `requests_per_s` the requests of all hosts, of
    which `urgent_share` are of tier 0 and the rest of tier 2.
    """

    def __init__(self, hosts, per_s, *, requests_per_s, seed, loss=0.0, urgent_share=1.0):
        self.random = Random(seed)
        self.book = LimitBook(self.random)
        self.per_s = per_s
        self.loss = loss
        self.requests_per_s = requests_per_s
        self.now_s = START_S
        self.arrivals = []
        self.urgent_share = urgent_share
        self.last_refused_s = START_S
        self.sent_by_tier = Counter()
        self.asked_by_tier = Counter()
        self.named = per_s
        self.group_by_host = {}
        self._order = itertools.count()
        self._events = []
        self.hosts_by_name = {}
        self._incarnations = itertools.count(1)
        for number in range(hosts):
            self.start(f"host-{number}")
        for host in self.hosts_by_name.values():
            for other in self.hosts_by_name:
                if other != host.name:
                    host.heard_s_by_host[other] = START_S
            host.listing.record(self.hosts_by_name, START_S - 10)
        self.schedule(0.0, self._request)

    def schedule(self, after_s, action, *arguments):
        heapq.heappush(self._events, (self.now_s + after_s, next(self._order), action, arguments))

    def run(self, seconds):
        end_s = self.now_s + seconds
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now_s = end_s

    def start(self, name):
        """Start a host, or start it again without what it knew."""
        host = Host(name, next(self._incarnations), self.now_s, self.random)
        self.hosts_by_name[name] = host
        if self.now_s > START_S:
            self.schedule(0.02, self._introduce, host)
        self.schedule(TICK_S * self.random.random(), self._tick, host)
        self.schedule(REPEAT_S * self.random.random(), self._repeat, host)

    def pause(self, name, seconds):
        """Suspend a host; its requests go on coming in, and its messages wait."""
        host = self.hosts_by_name[name]
        host.paused_until_s = self.now_s + seconds
        self.schedule(seconds, self._wake, host)

    def cut(self, names):
        """Cut hosts off from the others, not from the server; none heals the cut."""
        self.group_by_host = dict.fromkeys(names, 1)

    def rate(self, from_s):
        """Return the requests a second that reached the server."""
        return sum(time >= from_s for time in self.arrivals) / (self.now_s - from_s)

    def _request(self):
        self.schedule(self.random.expovariate(self.requests_per_s), self._request)
        name = self.random.choice(list(self.hosts_by_name))
        tier = 0 if self.random.random() < self.urgent_share else 2
        self._serve(self.hosts_by_name[name], tier)

    def _serve(self, host, tier):
        if host.paused_until_s > self.now_s:
            host.waiting.insert(0, (self._serve, (host, tier)))
            return
        self.asked_by_tier[tier] += 1
        if not host.limit.admits(self.now_s, self.book.reserve(tier)):
            self.last_refused_s = self.now_s
            return
        self.sent_by_tier[tier] += 1
        host.limit.request_sent(self.now_s)
        if host.limit.version:
            self._broadcast(host)
        self.arrivals.append(self.now_s)
        self.schedule(ANSWER_S, self._answer, host, self.now_s, self.named)

    def _answer(self, host, sent_s, named):
        if self.hosts_by_name.get(host.name) is not host:
            return
        if host.limit.answer_received(named, sent_s, self.now_s):
            self._broadcast(host)

    def _broadcast(self, host):
        for other in self.hosts_by_name:
            self._send(host, other)

    def _send(self, host, other):
        if other == host.name or self._group(host.name) != self._group(other):
            return
        if self.random.random() >= self.loss:
            delay_s = DELAY_S + JITTER_S * self.random.random()
            self.schedule(delay_s, self._deliver, other, host.key, host.limit.state())

    def _group(self, name):
        return self.group_by_host.get(name, 0)

    def _deliver(self, name, key, state):
        host = self.hosts_by_name.get(name)
        if host is None:
            return
        if host.paused_until_s > self.now_s:
            host.waiting.append((self._deliver, (name, key, state)))
            return
        host.heard_s_by_host[key[0]] = self.now_s
        if state.version:
            host.limit.merge(state, key, self.now_s)

    def _introduce(self, host):
        host.listing.record(self.hosts_by_name, self.now_s)
        for other in self.hosts_by_name.values():
            if other is not host:
                host.heard_s_by_host.setdefault(other.name, float("-inf"))
                self._send(other, host.name)

    def _wake(self, host):
        waiting, host.waiting = host.waiting, []
        for action, arguments in waiting:
            action(*arguments)

    def _tick(self, host):
        if self.hosts_by_name.get(host.name) is not host:
            return
        self.schedule(TICK_S, self._tick, host)
        if host.paused_until_s <= self.now_s:
            fleet = host.listing.count_hosts(host.heard_s_by_host, self.now_s)
            host.limit.update(fleet, self.now_s)

    def _repeat(self, host):
        if self.hosts_by_name.get(host.name) is not host:
            return
        self.schedule(REPEAT_S, self._repeat, host)
        if host.paused_until_s <= self.now_s:
            self._broadcast(host)
