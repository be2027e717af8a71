"""Replays plain calls of many hosts against uneven servers, on a simulated clock.

`python -m redwingbank_bench.replay_even` prints a table. Every host decides with its own router's
code; it learns of other hosts' sends and ends late, and of a server's load from its own answers.
"""

from __future__ import annotations

import heapq
import sys
import time
from collections import deque
from functools import partial
from itertools import count
from random import Random
from statistics import quantiles
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.front.backends import Backend, Backends
from redwingbank.front.values import (
    CallFacts,
    Kind,
    Pool,
    Route,
    ServerEntry,
    Share,
    StatedLoad,
)
from redwingbank.routing.choice import AtLimit, Choice, Chooser, RequestNeeds, as_in_flight
from redwingbank.settings import Address

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

POOL = Pool("desk-calls", 0)
WORK_S = 0.15
WORK_SPREAD = 0.3
LINK_S = 0.004
SENT_DELAY_S = (0.02, 0.06)
END_DELAY_S = (0.004, 0.3)
NOISE_S = 0.6
NOISE_SHARE = 0.15
NOISE_FACTOR = 2.5
SETTLE_S = 1.0
PER_CENT = 100
MS = 1000
ROUTE = Route(
    name="call",
    host="h",
    prefix="/",
    kind=Kind.SINGLE,
    resumable=False,
    shares=(Share(POOL.name, 1.0),),
    attempts=1,
    tier=0,
    timeout_s=6.0,
    target_s=0.5,
    pause_target_s=0.0,
    public=False,
    has_prompt=False,
)
NEEDS = RequestNeeds(CallFacts("r", "h", "", None, 0, 0, (), "", b""), ROUTE, 0, 0.5, 6.0, "dc-0")


class Setting(NamedTuple):
    """The servers, with speeds from 1 down to `slowest`, and the hosts that choose."""

    servers: int = 24
    slots: int = 8
    slowest: float = 0.33
    noise: bool = False
    hosts: int = 9
    load: float = 0.8
    seconds: float = 15.0


SETTINGS = {
    "9 hosts, 24 servers, speeds 1 to 0.33": Setting(),
    "9 hosts, 6 servers of 4 slots": Setting(servers=6, slots=4),
    "9 hosts, noise on speeds 1.2 to 0.55": Setting(servers=12, slowest=0.55 / 1.2, noise=True),
    "68 hosts, 70 servers": Setting(servers=70, slots=12, hosts=68, seconds=5.0),
    "9 hosts, 24 servers, load 0.95": Setting(load=0.95),
}


class EvenFigures(NamedTuple):
    """Times in ms; shares of calls that waited, and of those that did so beside a free slot."""

    p50_ms: float
    p99_ms: float
    ratio: float
    waited: float
    beside_free: float
    beside_free_of_waiting: float
    waited_ms: float
    choice_us: float


class SampledChooser(Chooser):
    """Compares only a few random servers by what is counted there."""

    drawn = 2

    def choose(
        self,
        entries: Sequence[ServerEntry],
        pool: Pool,
        needs: RequestNeeds,
        avoid: Collection[str],
        now_s: float,
    ) -> Choice | None:
        """Choose among the servers that are drawn."""
        drawn = self._random.sample(list(entries), min(self.drawn, len(entries)))
        backends = [self._backends.get_or_create(entry) for entry in drawn]
        return self._pick(backends, needs, now_s)

    def _pick(self, backends: list[Backend], needs: RequestNeeds, now_s: float) -> Choice:
        return self._least_loaded(backends, needs)


class EvenSampledChooser(SampledChooser):
    """Compares twelve random servers by what they state."""

    drawn = 12

    def _pick(self, backends: list[Backend], needs: RequestNeeds, now_s: float) -> Choice:
        return self._evenly_loaded(backends, needs, now_s)


class RoomChooser(SampledChooser):
    """Draws a server, weighted by the fourth power of its free room and by its speed."""

    drawn = 1000

    def _pick(self, backends: list[Backend], needs: RequestNeeds, now_s: float) -> Choice:
        weights = []
        for backend in backends:
            load, stated = backend.load, backend.load.statement
            slowness = (stated.stated.slowness_per_cent or PER_CENT) if stated else PER_CENT
            room = max(0.05, backend.entry.slots - load.in_flight(now_s))
            weights.append(room**4 / slowness)
        (backend,) = self._random.choices(backends, weights)
        return Choice(backend, 0.0, 0, 0, 0.0, 0.0, 0.0)


class StableOrderChooser(SampledChooser):
    """Takes the first server with free room in a random order that the host keeps."""

    drawn = 1000

    def _pick(self, backends: list[Backend], needs: RequestNeeds, now_s: float) -> Choice:
        order = self.__dict__.setdefault("_order", {})
        backends.sort(key=lambda one: order.setdefault(one.entry.name, self._random.random()))
        for backend in backends:
            if backend.load.in_flight(now_s) < backend.entry.slots:
                return Choice(backend, 0.0, 0, 0, 0.0, 0.0, 0.0)
        return self._least_loaded(backends, needs)


class FoundChooser(Chooser):
    """Compares all servers by what is counted there, as the router does for other pools."""

    def choose(
        self,
        entries: Sequence[ServerEntry],
        pool: Pool,
        needs: RequestNeeds,
        avoid: Collection[str],
        now_s: float,
    ) -> Choice | AtLimit | None:
        """Choose as for a pool whose servers state nothing."""
        self._backends.evened_pools.clear()
        return super().choose(entries, pool, needs, avoid, now_s)


CHOOSER_BY_ARM: dict[str, Callable[[Backends, Random], Chooser]] = {
    "as found": FoundChooser,
    "as built": Chooser,
    "2 at random": SampledChooser,
    "12 at random, stated": EvenSampledChooser,
    "by free room": RoomChooser,
    "stable order": StableOrderChooser,
}


class _Server:
    def __init__(self, entry: ServerEntry, speed: float) -> None:
        self.entry = entry
        self.speed = speed
        self.noise = 1.0
        self.running = 0
        self.queue: deque[tuple[int, int, float]] = deque()


class EvenReplay:
    """The simulation of a setting with one arm; the same seed gives the same figures."""

    def __init__(self, arm: str, setting: Setting, seed: int) -> None:
        self.now_s = 0.0
        self._setting = setting
        self._random = Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self._choices_s = 0.0
        self._took_s: list[float] = []
        self._waits_s: list[float] = []
        self._waited = self._beside_free = 0
        self._hosts: list[tuple[Backends, Chooser]] = []
        for host in range(setting.hosts):
            random = Random(f"{seed}-{host}")
            backends = Backends(random)
            self._hosts.append((backends, CHOOSER_BY_ARM[arm](backends, random)))
        slower = (1 - setting.slowest) / max(1, setting.servers - 1)
        self._servers = [
            _Server(
                ServerEntry(
                    f"i-{one:02}", POOL.name, Address("h", one), "dc-0", setting.slots, False, 1
                ),
                1 - slower * one,
            )
            for one in range(setting.servers)
        ]
        self._by_name = {server.entry.name: server for server in self._servers}

    def run(self) -> EvenFigures:
        """Run until all calls have ended."""
        setting, random = self._setting, self._random
        usual = 1 + NOISE_SHARE * (NOISE_FACTOR - 1) * setting.noise
        room = setting.slots * sum(server.speed for server in self._servers)
        at_s, per_s = 0.0, setting.load * room / WORK_S / usual
        while at_s < setting.seconds:
            at_s += random.expovariate(per_s)
            self._at(at_s, partial(self._arrive, random.randrange(setting.hosts)))
        if setting.noise:
            for step in range(int((setting.seconds + SETTLE_S) / NOISE_S)):
                self._at(step * NOISE_S, self._change_noise)
        while self._events:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        cuts = quantiles(self._took_s, n=100)
        calls = len(self._took_s)
        return EvenFigures(
            p50_ms=cuts[49] * MS,
            p99_ms=cuts[98] * MS,
            ratio=cuts[98] / cuts[49],
            waited=self._waited / calls,
            beside_free=self._beside_free / calls,
            beside_free_of_waiting=self._beside_free / max(1, self._waited),
            waited_ms=sum(self._waits_s) / calls * MS,
            choice_us=self._choices_s / calls * MS * MS,
        )

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), action))

    def _change_noise(self) -> None:
        for server in self._servers:
            server.noise = NOISE_FACTOR if self._random.random() < NOISE_SHARE else 1.0

    def _arrive(self, host: int) -> None:
        chooser, began_s = self._hosts[host][1], time.process_time()
        entries = [server.entry for server in self._servers]
        choice = chooser.choose(entries, POOL, NEEDS, (), self.now_s)
        self._choices_s += time.process_time() - began_s
        assert isinstance(choice, Choice)
        key, entry = ("call", next(self._numbers)), choice.backend.entry
        in_flight = as_in_flight(choice, NEEDS, self.now_s)

        def record(backends: Backends) -> None:
            backends.get_or_create(entry).load.request_sent(key, in_flight)

        self._tell(host, record, SENT_DELAY_S)
        self._at(self.now_s + LINK_S, partial(self._reach, entry.name, host, key[1]))

    def _reach(self, name: str, host: int, number: int) -> None:
        server = self._by_name[name]
        server.queue.append((host, number, self.now_s))
        self._start(server)
        if server.queue:
            self._waited += 1
            slots = self._setting.slots
            self._beside_free += any(other.running < slots for other in self._servers)

    def _start(self, server: _Server) -> None:
        while server.queue and server.running < self._setting.slots:
            host, number, came_s = server.queue.popleft()
            server.running += 1
            self._waits_s.append(self.now_s - came_s)
            work = self._random.lognormvariate(-(WORK_SPREAD**2) / 2, WORK_SPREAD)
            took_s = WORK_S * work * server.noise / server.speed
            self._at(self.now_s + took_s, partial(self._end, server, host, number, came_s))

    def _end(self, server: _Server, host: int, number: int, came_s: float) -> None:
        server.running -= 1
        self._start(server)
        self._took_s.append(self.now_s - came_s + 2 * LINK_S)
        slowness = int(PER_CENT * server.noise / server.speed)
        stated = StatedLoad(server.running, len(server.queue), self._setting.slots, slowness)
        self._at(self.now_s + LINK_S, partial(self._answer, server, host, number, stated))

    def _answer(self, server: _Server, host: int, number: int, stated: StatedLoad) -> None:
        name = server.entry.name

        def record(backends: Backends) -> None:
            backends.backends_by_name[name].load.request_ended(("call", number))

        self._tell(host, record, END_DELAY_S)
        backends = self._hosts[host][0]
        backends.load_stated(backends.backends_by_name[name], stated, self.now_s, scaled=False)

    def _tell(
        self, own: int, record: Callable[[Backends], None], delay_s: tuple[float, float]
    ) -> None:
        for host, (backends, _) in enumerate(self._hosts):
            if host == own:
                record(backends)
            else:
                at_s = self.now_s + self._random.uniform(*delay_s)
                self._at(at_s, partial(record, backends))


def main() -> int:
    """Print the figures of all arms in all settings."""
    for title, setting in SETTINGS.items():
        print(f"\n{title}\n| arm | {' | '.join(EvenFigures._fields)} |")
        for arm in CHOOSER_BY_ARM:
            figures = EvenReplay(arm, setting, 1).run()
            print(f"| {arm} | {' | '.join(f'{value:.3g}' for value in figures)} |", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())


__all__ = ["CHOOSER_BY_ARM", "SETTINGS", "EvenFigures", "EvenReplay", "Setting"]
