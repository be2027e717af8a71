"""An allocator's account of one host: its demand and the slots it may be using."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from redwingbank.messages import Demand


NO_FLOOR = 255
MIN_DEADLINE_CHANGE_S = 0.25
SILENT_RUNNING_TTLS = 2


class StartLimit(NamedTuple):
    """Which requests may start on any host.

    Tiers down to `floor` may start; in the floor's own tier only deadlines up to `deadline_s`
    may, or all of them if it is None.
    """

    floor: int
    deadline_s: float | None

    def stricter(self, other: StartLimit) -> bool:
        """Return whether this is stricter than `other` by enough to be worth sending."""
        if self.floor != other.floor:
            return self.floor < other.floor
        if self.deadline_s is None:
            return False
        if other.deadline_s is None:
            return True
        return self.deadline_s < other.deadline_s - MIN_DEADLINE_CHANGE_S


class SentAllocation(NamedTuple):
    """An allocation sent that the host has not yet confirmed."""

    number: int
    expires_s: float
    slots: dict[str, int]


class HostAccount:
    """A host's last demand and the most slots it may be using.

    `allotted` holds the slots that the allocator means the host to have: its last grant, or
    less where the host handed slots back. A higher grant counts as in use until the host
    confirms a lower one or the higher one expires, so no slot is granted twice.
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
        """Record a demand unless a newer one has overtaken it."""
        if demand.number > self.demand.number:
            self._accept(demand, now_s)

    def expire(self, now_s: float) -> None:
        """Drop expired unconfirmed grants, and the slots of a silent host.

        A silent host's running requests still count until `SILENT_RUNNING_TTLS` TTLs after its
        last demand; by then most of them have ended.
        """
        self._unapplied = [sent for sent in self._unapplied if sent.expires_s > now_s]
        if not self.silent(now_s):
            return
        self._store_demand(self.demand._replace(holding={}, classes=()))
        if now_s - self.last_demand_s > SILENT_RUNNING_TTLS * self._ttl_s:
            self._store_demand(self.demand._replace(running={}))
        self._set_allotted({} if self._unapplied else self.demand.running)

    def silent(self, now_s: float) -> bool:
        """Return whether the host has sent no demand for a TTL."""
        return now_s - self.last_demand_s > self._ttl_s

    def max_in_use(self) -> dict[str, int]:
        """Return the most slots that the host may be using, by server."""
        in_use = self._reported()
        for slots_by_server in [self.allotted, *(sent.slots for sent in self._unapplied)]:
            for server, slots in slots_by_server.items():
                in_use[server] = max(in_use.get(server, 0), slots)
        return in_use

    def grant(self, number: int, now_s: float) -> dict[str, int]:
        """Record that allocation `number` grants the allotted slots; return them."""
        slots = {server: count for server, count in self.allotted.items() if count > 0}
        self._unapplied.append(SentAllocation(number, now_s + self._ttl_s, slots))
        self.sent_number = number
        self.sent_s = now_s
        self.lease_start_s = self.last_demand_s
        self.dirty = False
        return slots

    @property
    def renewable(self) -> bool:
        """Whether a new allocation would expire later than the last one."""
        return self.last_demand_s > self.lease_start_s

    @property
    def unapplied(self) -> bool:
        """Whether the host has not yet confirmed the last allocation."""
        return self.sent_number > self.demand.applied

    def waiting(self, tier: int) -> int:
        """Return the number of requests waiting in a tier as last reported."""
        return self._waiting_by_tier.get(tier, 0)

    def wanted(self, tier: int) -> int:
        """Return the number of requests of a tier, waiting or running, as last reported."""
        return self._wanted_by_tier.get(tier, 0)

    def weight(self, tier: int) -> int:
        """Return the number of organisations that wait in a tier, at least one."""
        return max(1, self._organisations_by_tier.get(tier, 0))

    def unused_reserved(self) -> int:
        """Return the number of reserved slots that are not in use yet."""
        if not self.reserved:
            return 0
        running = {item.class_name: item.running for item in self.demand.classes}
        return sum(slots - running.get(name, 0) for name, slots in self.reserved.items())

    def unmet(self, tier: int = NO_FLOOR) -> int:
        """Return by how much unused reserved slots and waiting tiers up to `tier` exceed idle."""
        idle = max(0, self.total - self.running)
        waiting = sum(count for other, count in self._waiting_by_tier.items() if other <= tier)
        return max(0, waiting + self.unused_reserved() - idle)

    def spare(self) -> int:
        """Return the slots beyond running and waiting requests; negative if there are too few."""
        return self.total - self.running - sum(self._waiting_by_tier.values())

    def add_slot(self, server: str) -> None:
        """Allot one more slot."""
        self.allotted[server] = self.allotted.get(server, 0) + 1
        self.total += 1
        self.dirty = True

    def cut_slot(self, server: str | None = None) -> None:
        """Allot one slot less, an idle one if there is any."""
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
        """Return the least slack in a tier: as reported, less the time since."""
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
        """Store a demand and its sums by tier."""
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
                min_slack_s = min(item.slack_s, self._slack_by_tier.get(item.tier, item.slack_s))
                self._slack_by_tier[item.tier] = min_slack_s

    def _reported(self) -> dict[str, int]:
        reported = dict(self.demand.running)
        for server, slots in self.demand.holding.items():
            reported[server] = reported.get(server, 0) + slots
        return reported


def _add(counts: dict[int, int], tier: int, count: int) -> None:
    counts[tier] = counts.get(tier, 0) + count


__all__ = ["NO_FLOOR", "StartLimit", "HostAccount", "SentAllocation"]
