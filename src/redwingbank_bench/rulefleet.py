"""A discrete-event simulation of hosts, engines and links that runs the rules without sockets."""

from __future__ import annotations

import heapq
from collections import deque
from functools import partial
from itertools import count
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import capnp

from redwingbank.messages import Allocation, Demand

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from redwingbank.model import Request
    from redwingbank.rules.table import Table

POOL = "chat"
SCHEMA = Path(__file__).parents[1] / "redwingbank" / "ports" / "messages.capnp"
SEAL_BYTES_PER_MESSAGE = 32
UDP_HEADER_BYTES = 28
PROMPT_TOKENS_PER_S = 5000.0
TOKEN_INTERVAL_S = 0.02


class Job(NamedTuple):
    """A request with the length of its answer, which only the engine knows."""

    request: Request
    answer_tokens: int
    target_s: float


class Link(NamedTuple):
    """The delay, mean jitter and loss ratio of messages between hosts."""

    delay_s: float = 0.0035
    jitter_s: float = 0.001
    loss: float = 0.01


class Clock:
    """The simulated clock; runs scheduled actions in order of their times."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._order = count()
        self._actions: list[tuple[float, int, Callable[[], None]]] = []

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        heapq.heappush(self._actions, (self.now_s + delay_s, next(self._order), action))

    def run_until(self, until_s: float) -> None:
        """Run all actions due up to a time."""
        while self._actions and self._actions[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._actions)
            action()
        self.now_s = until_s


class Engine:
    """A backend server that runs `slots` requests at a time and queues the rest in order."""

    def __init__(self, name: str, slots: int, speed: float, clock: Clock) -> None:
        self.name = name
        self.slots = slots
        self.speed = speed
        self.running = 0
        self.peak_running = 0
        self.backlog: deque[tuple[Job, Callable[[], None]]] = deque()
        self._busy_s = 0.0
        self._counted_s = 0.0
        self._clock = clock
        self.on_start: Callable[[Job, float], None] = lambda job, first_token_s: None

    def submit(self, job: Job, done: Callable[[], None]) -> None:
        """Run a request now or once a slot is free; `done` is called at its end."""
        self.backlog.append((job, done))
        self.peak_running = max(self.peak_running, self.running + len(self.backlog))
        self._fill()

    def _fill(self) -> None:
        while self.backlog and self.running < self.slots:
            job, done = self.backlog.popleft()
            self.update_busy_s(self._clock.now_s)
            self.running += 1
            prefill_s = job.request.prompt_tokens / PROMPT_TOKENS_PER_S
            total_s = (prefill_s + job.answer_tokens * TOKEN_INTERVAL_S) / self.speed
            self.on_start(job, self._clock.now_s + prefill_s / self.speed)
            self._clock.schedule(total_s, partial(self._end, done))

    def update_busy_s(self, now_s: float) -> float:
        """Update and return the slot-seconds used up to now."""
        self._busy_s += self.running * (now_s - self._counted_s)
        self._counted_s = now_s
        return self._busy_s

    def _end(self, done: Callable[[], None]) -> None:
        self.update_busy_s(self._clock.now_s)
        self.running -= 1
        self._fill()
        done()


class Traffic:
    """Counts messages and encoded bytes by sending host."""

    def __init__(self) -> None:
        self._schema: Any = capnp.load(str(SCHEMA))
        self.messages_by_host: dict[str, int] = {}
        self.bytes_by_host: dict[str, int] = {}

    def count(self, host: str, message: Demand | Allocation | int) -> None:
        """Count a message at its sender; an integer is a size in bytes."""
        size = message if isinstance(message, int) else self._size(message)
        size += SEAL_BYTES_PER_MESSAGE + UDP_HEADER_BYTES
        self.messages_by_host[host] = self.messages_by_host.get(host, 0) + 1
        self.bytes_by_host[host] = self.bytes_by_host.get(host, 0) + size

    def _size(self, message: Demand | Allocation) -> int:
        envelope = self._schema.Envelope.new_message(
            sender="host-00", incarnation=1 << 50, sequence=1 << 20
        )
        if isinstance(message, Demand):
            envelope.demand = self._demand(message)
        else:
            envelope.allocation = self._allocation(message)
        return len(envelope.to_bytes_packed())

    def _demand(self, demand: Demand) -> Any:
        return self._schema.Demand.new_message(
            pool=demand.pool,
            number=demand.number,
            classes=[
                {
                    "tier": item.tier,
                    "className": item.class_name,
                    "waiting": item.waiting,
                    "oldestMs": int(item.oldest_s * 1000),
                    "slackMs": int(item.slack_s * 1000),
                    "running": item.running,
                    "organisations": item.organisations,
                }
                for item in demand.classes
            ],
            running=_counts(demand.running),
            holding=_counts(demand.holding),
            applied=demand.applied,
        )

    def _allocation(self, allocation: Allocation) -> Any:
        return self._schema.Allocation.new_message(
            pool=allocation.pool,
            number=allocation.number,
            answers=allocation.answers,
            ttlMs=int(allocation.ttl_s * 1000),
            floor=allocation.floor,
            slots=_counts(allocation.slots),
            turns=_counts(allocation.turns),
            slackMs=int(allocation.slack_s * 1000),
        )


def _counts(by_name: dict[str, int]) -> list[dict[str, Any]]:
    return [{"server": name, "count": number} for name, number in by_name.items()]


class World:
    """The simulated system that an arm runs on: clock, engines, links and the table."""

    def __init__(
        self,
        table: Table,
        engines: list[tuple[str, int, float]],
        hosts: int,
        link: Link,
        random: Random,
    ) -> None:
        self.table = table
        self.clock = Clock()
        self.link = link
        self.random = random
        self.hosts = [f"host-{index:02}" for index in range(hosts)]
        self.engines_by_name = {
            name: Engine(name, slots, speed, self.clock) for name, slots, speed in engines
        }
        self.traffic = Traffic()
        self.disconnected_hosts: set[str] = set()

    @property
    def capacity(self) -> dict[str, int]:
        """Return the slots by engine."""
        return {name: engine.slots for name, engine in self.engines_by_name.items()}

    def send(
        self,
        sender: str,
        receiver: str,
        message: Demand | Allocation | int,
        deliver: Callable[[], None],
        reliable: bool = False,
    ) -> None:
        """Deliver a message, possibly late, reordered or lost; to the sender itself at once."""
        if sender == receiver:
            deliver()
            return
        self.traffic.count(sender, message)
        lost = not reliable and self.random.random() < self.link.loss
        if lost or sender in self.disconnected_hosts or receiver in self.disconnected_hosts:
            return
        delay_s = self.link.delay_s + self.random.expovariate(1.0) * self.link.jitter_s
        self.clock.schedule(delay_s, deliver)


__all__ = ["POOL", "Clock", "Engine", "Job", "Link", "Traffic", "World"]
