"""What an allocator knows of one host: its demand, and the slots it may be using."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from redwingbank.messages import Demand


NO_FLOOR = 255
DEADLINE_CHANGE_S = 0.25
RUNNING_TTLS = 2


class Gate(NamedTuple):
    """What may start on any host: tiers up to `floor`, in its tier deadlines to `deadline_s`."""

    floor: int
    deadline_s: float | None

    def stricter(self, other: Gate) -> bool:
        """Tell whether this lets start less than the other, by enough to tell a host of it."""
        if self.floor != other.floor:
            return self.floor < other.floor
        if self.deadline_s is None:
            return False
        if other.deadline_s is None:
            return True
        return self.deadline_s < other.deadline_s - DEADLINE_CHANGE_S


class Sent(NamedTuple):
    """An allocation sent that the host has not yet said it applied."""

    number: int
    expires_s: float
    slots: dict[str, int]


class HostAccount:
    """A host's demand as last told and the most slots it may be using.

    `level` is what the allocator wants the host to have: its last grant, or less where the
    host handed slots back. Until the host says that it applied a lower grant the higher one
    counts as in use, or until it lapses; so slots are never promised twice.
    """

    def __init__(self, demand: Demand, now_s: float, ttl_s: float) -> None:
        self.demand = demand
        self.heard_s = now_s
        self.level: dict[str, int] = {}
        self.turns: dict[str, int] = {}
        self.turns_sent: dict[str, int] = {}
        self.gate = Gate(NO_FLOOR, None)
        self.sent_s = float("-inf")
        self.sent_number = 0
        self.dirty = True
        self._ttl_s = ttl_s
        self._unapplied: list[Sent] = []
        self._accept(demand, now_s)

    def observe(self, demand: Demand, now_s: float) -> None:
        """Take a newer demand; one that was overtaken on the way is ignored."""
        if demand.number > self.demand.number:
            self._accept(demand, now_s)

    def lapse(self, now_s: float) -> None:
        """Drop grants that have lapsed unapplied, and what a silent host held.

        What ran there counts for `RUNNING_TTLS` in all; by then most of it has ended.
        """
        self._unapplied = [sent for sent in self._unapplied if sent.expires_s > now_s]
        if not self.silent(now_s):
            return
        self.demand = self.demand._replace(holding={}, classes=())
        if now_s - self.heard_s > RUNNING_TTLS * self._ttl_s:
            self.demand = self.demand._replace(running={})
        self.level = {} if self._unapplied else dict(self.demand.running)

    def silent(self, now_s: float) -> bool:
        """Tell whether the host has not been heard for a TTL."""
        return now_s - self.heard_s > self._ttl_s

    def in_use(self) -> dict[str, int]:
        """Count, by server, the most slots that the host may be using."""
        most = self._claimed()
        for slots_by_server in [self.level, *(sent.slots for sent in self._unapplied)]:
            for server, slots in slots_by_server.items():
                most[server] = max(most.get(server, 0), slots)
        return most

    def grant(self, number: int, now_s: float) -> dict[str, int]:
        """Note that the present level goes out as allocation `number`; return its slots."""
        slots = {server: count for server, count in self.level.items() if count > 0}
        self._unapplied.append(Sent(number, now_s + self._ttl_s, slots))
        self.sent_number = number
        self.sent_s = now_s
        self.dirty = False
        return slots

    @property
    def unapplied(self) -> bool:
        """Tell whether the last allocation is not yet known to be applied."""
        return self.sent_number > self.demand.applied

    @property
    def total(self) -> int:
        """Slots the host is meant to have."""
        return sum(self.level.values())

    @property
    def running(self) -> int:
        """Requests in flight as last told."""
        return sum(self.demand.running.values())

    def waiting(self, tier: int) -> int:
        """Requests waiting in a tier as last told."""
        return sum(item.waiting for item in self.demand.classes if item.tier == tier)

    def slack_s(self, tier: int, now_s: float) -> float:
        """Least slack of what waits in a tier: what was told, less the time since."""
        items = [item for item in self.demand.classes if item.tier == tier and item.waiting]
        told_s = min(item.slack_s for item in items)
        return told_s - (now_s - self.heard_s)

    def _accept(self, demand: Demand, now_s: float) -> None:
        self.demand = demand
        self.heard_s = now_s
        self._unapplied = [sent for sent in self._unapplied if sent.number > demand.applied]
        if not self._unapplied:
            self.level = self._claimed()

    def _claimed(self) -> dict[str, int]:
        claimed = dict(self.demand.running)
        for server, slots in self.demand.holding.items():
            claimed[server] = claimed.get(server, 0) + slots
        return claimed


__all__ = ["NO_FLOOR", "Gate", "HostAccount", "Sent"]
