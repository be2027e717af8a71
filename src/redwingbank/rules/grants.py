"""What an allocator knows of one host: its demand, and the slots it may be using."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from redwingbank.messages import Demand


NO_FLOOR = 255
MIN_DEADLINE_CHANGE_S = 0.25
SILENT_RUNNING_TTLS = 2


class StartLimit(NamedTuple):
    """What may start on any host: tiers up to `floor`, in its tier deadlines to `deadline_s`."""

    floor: int
    deadline_s: float | None

    def stricter(self, other: StartLimit) -> bool:
        """Tell whether this lets start less than the other, by enough to tell a host of it."""
        if self.floor != other.floor:
            return self.floor < other.floor
        if self.deadline_s is None:
            return False
        if other.deadline_s is None:
            return True
        return self.deadline_s < other.deadline_s - MIN_DEADLINE_CHANGE_S


class SentAllocation(NamedTuple):
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
        self.last_demand_s = now_s
        self.allotted: dict[str, int] = {}
        self.total = 0
        self.reserved: dict[str, int] = {}
        self.reserved_sent: dict[str, int] = {}
        self.start_limit = StartLimit(NO_FLOOR, None)
        self.sent_s = float("-inf")
        self.lease_start_s = float("-inf")
        self.sent_number = 0
        self.dirty = True
        self._ttl_s = ttl_s
        self._unapplied: list[SentAllocation] = []
        self._accept(demand, now_s)

    def observe(self, demand: Demand, now_s: float) -> None:
        """Take a newer demand; one that was overtaken on the way is ignored."""
        if demand.number > self.demand.number:
            self._accept(demand, now_s)

    def expire(self, now_s: float) -> None:
        """Drop grants that have lapsed unapplied, and what a silent host held.

        What ran there counts for `RUNNING_TTLS` in all; by then most of it has ended.
        """
        self._unapplied = [sent for sent in self._unapplied if sent.expires_s > now_s]
        if not self.silent(now_s):
            return
        self._store_demand(self.demand._replace(holding={}, classes=()))
        if now_s - self.last_demand_s > SILENT_RUNNING_TTLS * self._ttl_s:
            self._store_demand(self.demand._replace(running={}))
        self._set_allotted({} if self._unapplied else self.demand.running)

    def silent(self, now_s: float) -> bool:
        """Tell whether the host has not been heard for a TTL."""
        return now_s - self.last_demand_s > self._ttl_s

    def max_in_use(self) -> dict[str, int]:
        """Count, by server, the most slots that the host may be using."""
        most = self._reported()
        for slots_by_server in [self.allotted, *(sent.slots for sent in self._unapplied)]:
            for server, slots in slots_by_server.items():
                most[server] = max(most.get(server, 0), slots)
        return most

    def grant(self, number: int, now_s: float) -> dict[str, int]:
        """Note that the present level goes out as allocation `number`; return its slots."""
        slots = {server: count for server, count in self.allotted.items() if count > 0}
        self._unapplied.append(SentAllocation(number, now_s + self._ttl_s, slots))
        self.sent_number = number
        self.sent_s = now_s
        self.lease_start_s = self.last_demand_s
        self.dirty = False
        return slots

    @property
    def renewable(self) -> bool:
        """Tell whether a new allocation would lapse later than the last one."""
        return self.last_demand_s > self.lease_start_s

    @property
    def unapplied(self) -> bool:
        """Tell whether the last allocation is not yet known to be applied."""
        return self.sent_number > self.demand.applied

    def waiting(self, tier: int) -> int:
        """Requests waiting in a tier as last told."""
        return self._waiting_by_tier.get(tier, 0)

    def wanted(self, tier: int) -> int:
        """Requests of a tier, waiting or running, as last told."""
        return self._wanted_by_tier.get(tier, 0)

    def weight(self, tier: int) -> int:
        """Organisations that wait in a tier, one at least."""
        return max(1, self._organisations_by_tier.get(tier, 0))

    def unused_reserved(self) -> int:
        """Turns given that are not used yet."""
        if not self.reserved:
            return 0
        running = {item.class_name: item.running for item in self.demand.classes}
        return sum(most - running.get(name, 0) for name, most in self.reserved.items())

    def unmet(self, tier: int = NO_FLOOR) -> int:
        """Count requests waiting up to a tier beyond the idle slots the host has."""
        idle = max(0, self.total - self.running)
        waiting = sum(count for at, count in self._waiting_by_tier.items() if at <= tier)
        return max(0, waiting + self.unused_reserved() - idle)

    def spare(self) -> int:
        """Count slots beyond all that runs and waits; negative where more waits."""
        return self.total - self.running - sum(self._waiting_by_tier.values())

    def add_slot(self, server: str) -> None:
        """Raise the level by a slot."""
        self.allotted[server] = self.allotted.get(server, 0) + 1
        self.total += 1
        self.dirty = True

    def cut_slot(self, server: str | None = None) -> None:
        """Lower the level by a slot, an idle one if there is one."""
        running = self.demand.running
        if server is None:
            server = max(
                (name for name, slots in self.allotted.items() if slots > 0),
                key=lambda name: (self.allotted[name] - running.get(name, 0), name),
            )
        self.allotted[server] -= 1
        self.total -= 1
        self.dirty = True

    def slack_s(self, tier: int, now_s: float) -> float:
        """Least slack of what waits in a tier: what was told, less the time since."""
        return self._slack_by_tier[tier] - (now_s - self.last_demand_s)

    def _accept(self, demand: Demand, now_s: float) -> None:
        self._store_demand(demand)
        self.last_demand_s = now_s
        self._unapplied = [sent for sent in self._unapplied if sent.number > demand.applied]
        if not self._unapplied:
            self._set_allotted(self._reported())

    def _set_allotted(self, slots_by_server: dict[str, int]) -> None:
        self.allotted = dict(slots_by_server)
        self.total = sum(self.allotted.values())

    def _store_demand(self, demand: Demand) -> None:
        """Keep a demand and its sums by tier."""
        self.demand = demand
        self.running = sum(demand.running.values())
        self._waiting_by_tier: dict[int, int] = {}
        self._wanted_by_tier: dict[int, int] = {}
        self._organisations_by_tier: dict[int, int] = {}
        self._slack_by_tier: dict[int, float] = {}
        for item in demand.classes:
            _add(self._wanted_by_tier, item.tier, item.waiting + item.running)
            if item.waiting:
                _add(self._waiting_by_tier, item.tier, item.waiting)
                _add(self._organisations_by_tier, item.tier, item.organisations)
                least_s = min(item.slack_s, self._slack_by_tier.get(item.tier, item.slack_s))
                self._slack_by_tier[item.tier] = least_s

    def _reported(self) -> dict[str, int]:
        claimed = dict(self.demand.running)
        for server, slots in self.demand.holding.items():
            claimed[server] = claimed.get(server, 0) + slots
        return claimed


def _add(counts: dict[int, int], tier: int, count: int) -> None:
    counts[tier] = counts.get(tier, 0) + count


__all__ = ["NO_FLOOR", "StartLimit", "HostAccount", "SentAllocation"]
