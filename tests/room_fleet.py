"""Plays hosts that share the room of brittle servers, with late digests, without a network."""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from random import Random

from redwingbank.routing.brittle_room import BrittleRoom, RoomUse, Share
from redwingbank.rules.rendezvous import ranked

START_S = 100.0
TICK_S = 0.1
BATCH_S = 0.003
FALLEN_S = 3.0
RETRY_S = 0.01
# what is told to one host only is not batched or relayed
DIRECT_S = (0.001, 0.012)
ASK_S = 0.02
UNMET_S = 0.05


class Server:
    """Runs `slots` requests, lets `queue` more wait, and falls over if it rejects too many."""

    def __init__(self, name, slots, queue, most_rejected):
        self.name, self.slots, self.queue, self.most_rejected = name, slots, queue, most_rejected
        self.running, self.waiting, self.rejected_s = set(), deque(), deque()
        self.falls, self.back_s, self.rejections = 0, 0.0, 0

    def admits(self, now_s):
        """Return whether there is room; a rejection may make the server fall over."""
        if len(self.running) + len(self.waiting) < self.slots + self.queue:
            return True
        self.rejections += 1
        self.rejected_s.append(now_s)
        while now_s - self.rejected_s[0] >= 1.0:
            self.rejected_s.popleft()
        if len(self.rejected_s) > self.most_rejected:
            self.falls += 1
            self.back_s = now_s + FALLEN_S
            self.rejected_s.clear()
        return False


class Host:
    """One host's view of the servers, and its callers that wait."""

    def __init__(self, name, servers):
        self.name = name
        self.asked_s = 0.0
        self.unmet = None
        self.key = (name, 1)
        self.rooms = [BrittleRoom(server.name, 0) for server in servers]
        self.own = [0] * len(servers)
        self.others = [0] * len(servers)
        self.waiting = deque()
        self.paused_until_s = 0.0
        self.inbox = []


class RoomFleet:
    """`hosts` hosts with requests at `load` times what the servers can serve.

    What a host tells reaches the others after `delay_s` (shortest and longest).
    """

    def __init__(
        self,
        hosts,
        servers,
        *,
        load,
        most_rejected,
        seed,
        slots=4,
        queue=0,
        service_s=0.15,
        wait_s=0.0375,
        delay_s=(0.003, 0.06),
    ):
        self.random = Random(seed)
        self.now_s = START_S
        self.service_s, self.wait_s, self.delay_s = service_s, wait_s, delay_s
        self.servers = [
            Server(f"i-{number}", slots, queue, most_rejected) for number in range(servers)
        ]
        self.room_per_s = servers * slots / service_s
        self.requests_per_s = load * self.room_per_s
        self.asked, self.served = 0, 0
        self._order, self._numbers = itertools.count(), itertools.count(1)
        self._events = []
        self.hosts = [Host(f"host-{number}", self.servers) for number in range(hosts)]
        self.by_name = {host.name: host for host in self.hosts}
        names = [host.name for host in self.hosts]
        self.order = [ranked(server.name, names) for server in self.servers]
        for host in self.hosts:
            for room in host.rooms:
                room.answer_received(most_rejected, self.now_s - 1, self.now_s)
            self._tick(host)
        self.schedule(0.0, self._request)

    def schedule(self, after_s, action, *arguments):
        heapq.heappush(self._events, (self.now_s + after_s, next(self._order), action, arguments))

    def run(self, seconds):
        end_s = self.now_s + seconds
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now_s = end_s

    @property
    def falls(self):
        return sum(server.falls for server in self.servers)

    def _request(self):
        self.schedule(self.random.expovariate(self.requests_per_s), self._request)
        self.asked += 1
        host = self.random.choice(self.hosts)
        if host.waiting or not self._send(host):
            host.waiting.append(self.now_s + self.wait_s)
            self.schedule(RETRY_S, self._retry, host)

    def _retry(self, host):
        while host.waiting:
            if host.waiting[0] < self.now_s or self._send(host):
                host.waiting.popleft()
            else:
                break

    def _send(self, host):
        uses = [RoomUse(own + more, own) for own, more in zip(host.own, host.others, strict=True)]
        free = [
            number
            for number, room in enumerate(host.rooms)
            if room.admits(uses[number], self.now_s)
        ]
        if not free:
            self._ask(host)
            return False
        number = min(free, key=lambda one: (uses[one].total, self.random.random()))
        host.own[number] += 1
        self._tell(host, number, 1)
        self.schedule(0.001, self._arrive, host, number)
        return True

    def _tell(self, host, number, change):
        for other in self.hosts:
            if other is not host:
                delay_s = BATCH_S + self.random.uniform(*self.delay_s)
                self.schedule(delay_s, self._apply, other, number, change)

    def _apply(self, host, number, change):
        host.others[number] += change

    def _tell_state(self, host, number):
        state = host.rooms[number].state(host.own[number])
        for other in self.hosts:
            if other is not host:
                delay_s = self.random.uniform(*self.delay_s)
                self.schedule(delay_s, self._merge, other, number, state, host.key)

    def _merge(self, host, number, state, key):
        host.rooms[number].merge(state, key, self.now_s)

    def _arrive(self, host, number):
        server = self.servers[number]
        if server.back_s > self.now_s:
            self._lost(host, number)
            return
        falls = server.falls
        if server.admits(self.now_s):
            request = (next(self._numbers), host)
            if len(server.running) < server.slots:
                self._begin(server, number, request)
            else:
                server.waiting.append(request)
            return
        self.schedule(0.001, self._rejected, host, number)
        if server.falls > falls:
            for _, other in (*server.running, *server.waiting):
                self.schedule(0.001, self._lost, other, number)
            server.running.clear()
            server.waiting.clear()

    def _begin(self, server, number, request):
        server.running.add(request)
        took_s = self.random.uniform(0.5, 1.5) * self.service_s
        self.schedule(took_s, self._end, server, number, request, self.now_s)

    def _end(self, server, number, request, sent_s):
        if request not in server.running:
            return
        server.running.discard(request)
        self.served += 1
        self.schedule(0.001, self._answered, request[1], number, sent_s)
        if server.waiting:
            self._begin(server, number, server.waiting.popleft())

    def _answered(self, host, number, sent_s):
        room = host.rooms[number]
        if room.answer_received(self.servers[number].most_rejected, sent_s, self.now_s):
            self._tell_state(host, number)
        self._ended(host, number)

    def _ended(self, host, number):
        host.own[number] -= 1
        self._tell(host, number, -1)
        self._retry(host)
        self._give_back(host, number)
        if host.unmet and not host.waiting:
            (borrower, until_s), host.unmet = host.unmet, None
            if self.now_s < until_s:
                self._lend(host, borrower)

    def _ask(self, host):
        """Ask another host for room: of some, the one with the fewest requests in flight."""
        if self.now_s - host.asked_s < ASK_S or len(self.hosts) == 1:
            return
        host.asked_s = self.now_s
        others = [other for other in self.hosts if other is not host]
        some = self.random.sample(others, min(4, len(others)))
        lender = min(some, key=lambda other: sum(other.own))
        self.schedule(self.random.uniform(*DIRECT_S), self._lend, lender, host)

    def _lend(self, host, borrower):
        asked = spare = 3
        for number in self.random.sample(range(len(host.rooms)), len(host.rooms)):
            use = RoomUse(host.own[number] + host.others[number], host.own[number])
            lent = host.rooms[number].lend(borrower.name, spare, use, self.now_s)
            if lent:
                delay_s = self.random.uniform(*DIRECT_S)
                self.schedule(delay_s, self._borrow, borrower, number, lent, host)
                spare -= lent
            if spare < 1:
                break
        if spare == asked:
            host.unmet = (borrower, self.now_s + UNMET_S)

    def _borrow(self, host, number, lent, lender):
        host.rooms[number].borrow(lender.name, lent, self.now_s)
        self._retry(host)

    def _rejected(self, host, number):
        host.rooms[number].request_rejected(self.now_s)
        self._tell_state(host, number)
        self._ended(host, number)

    def _lost(self, host, number):
        if host.rooms[number].connection_lost(self.now_s):
            self._tell_state(host, number)
        self._ended(host, number)

    def _tick(self, host):
        self.schedule(TICK_S, self._tick, host)
        for server, room, order in zip(self.servers, host.rooms, self.order, strict=True):
            share = Share(order.index(host.name), len(order))
            room.update(server.slots, share, self.now_s)
        for number in range(len(host.rooms)):
            self._give_back(host, number)

    def _give_back(self, host, number):
        for loan in host.rooms[number].give_back(host.own[number], self.now_s):
            lender = self.by_name[loan.host].rooms[number]
            delay_s = self.random.uniform(*DIRECT_S)
            self.schedule(delay_s, lender.take_back, host.name, loan.requests)
