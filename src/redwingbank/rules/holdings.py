"""Slots a host holds at the backend servers of one pool."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.messages import NO_SLACK_LIMIT_S, Demand
from redwingbank.rules.grants import NO_FLOOR
from redwingbank.rules.minimum import ClassLoad, MinimumAccounts
from redwingbank.rules.shares import fallback_share

if TYPE_CHECKING:
    from redwingbank.messages import Allocation, ClassDemand
    from redwingbank.rules.table import Table

DEMANDS_KEPT = 64
URGENT_GAP_S = 0.02
DEMANDS_PER_TTL = 4
FIRST_REPEAT_S = 0.1
UNMET_GROWTH = 2
RENEW_PART = 0.5
REPEAT_GROWTH = 4
CHANGE_TOLD = 0.25


class Told(NamedTuple):
    """What the last demand told."""

    at_s: float
    waiting_by_tier: dict[int, int]
    idle: int
    number: int
    repeat_s: float


class Holdings:
    """What a host may have in flight at each backend server, and what it has.

    An allocation counts from the sending of the demand that it answers: it lapses `ttl_s`
    after that, however late it came, so that the allocator knows when it has lapsed without
    a common clock. With no allocation in force the host has a static share of the pool, set by
    `set_fallback`, which is never nothing; for one TTL after a lapse only what it had of that,
    or one slot, since other hosts may still hold the rest. What is in flight runs on in any
    case.

    When a higher tier waits elsewhere (`floor`), a demand hands back the idle slots that this
    host has no use for.
    """

    def __init__(self, pool: str, host_count: int) -> None:
        self._pool = pool
        self._host_count = host_count
        self._level: dict[str, int] = {}
        self._running: dict[str, int] = {}
        self._fallback: dict[str, int] = {}
        self._floor = NO_FLOOR
        self._slack_s = NO_SLACK_LIMIT_S
        self._applied_s = 0.0
        self._turns: dict[str, int] = {}
        self._expires_s = float("-inf")
        self._ttl_s = 0.0
        self._applied_by_allocator: dict[str, int] = {}
        self._demand_times: dict[int, float] = {}
        self._told: Told | None = None
        self._was_cut = False
        self._answered = -1
        self._minimum = MinimumAccounts()
        self._classes: tuple[ClassDemand, ...] = ()

    def apply_table(self, table: Table) -> None:
        """Bring the minimum shares of a new table into force."""
        rows = table.classes_by_name.values()
        self._minimum.rebase({row.name: row.minimum for row in rows})

    def set_static_share(self, slots_by_server: dict[str, int], hosts: int, rank: int) -> None:
        """Set the share to use without an allocator.

        `rank` is this host's place among the names of the hosts alive, in order.
        """
        self._host_count = max(1, hosts)
        self._fallback = fallback_share(slots_by_server, self._host_count, rank)

    def apply(self, allocation: Allocation, now_s: float, allocator: str = "") -> bool:
        """Bring an allocation into force; tell whether it was, and not late or out of order."""
        if allocation.number <= self._applied_by_allocator.get(allocator, -1):
            return False
        sent_s = self._demand_times.get(allocation.answers)
        if sent_s is None or sent_s + allocation.ttl_s <= now_s:
            return False
        if len(self._applied_by_allocator) >= DEMANDS_KEPT:
            self._applied_by_allocator.clear()
        self._applied_by_allocator[allocator] = allocation.number
        self._answered = max(self._answered, allocation.answers)
        slots = allocation.slots
        self._was_cut |= any(slots.get(name, 0) < had for name, had in self._level.items())
        self._level = dict(slots)
        self._floor = allocation.floor
        self._slack_s = allocation.slack_s
        self._applied_s = now_s
        self._turns = dict(allocation.turns)
        self._ttl_s = allocation.ttl_s
        self._expires_s = sent_s + allocation.ttl_s
        return True

    def in_force(self, now_s: float) -> bool:
        """Tell whether an allocation is in force."""
        return now_s < self._expires_s

    def free(self, now_s: float) -> dict[str, int]:
        """Count the requests that may start at each backend server now."""
        level = self._most(now_s)
        left = {server: slots - self._running.get(server, 0) for server, slots in level.items()}
        return {server: slots for server, slots in left.items() if slots > 0}

    def _most(self, now_s: float) -> dict[str, int]:
        if self.in_force(now_s):
            return self._level
        if now_s >= self._expires_s + self._ttl_s:
            return self._fallback
        both = set(self._level) & set(self._fallback)
        least = {name: min(self._level[name], self._fallback[name]) for name in sorted(both)}
        if any(least.values()):
            return least
        return dict.fromkeys(sorted(self._fallback)[:1], 1)

    def floor(self, now_s: float) -> int:
        """Give the lowest tier that may start now."""
        return self._floor if self.in_force(now_s) else NO_FLOOR

    def slack_s(self, now_s: float) -> float:
        """Give the most slack with which a request of the floor's tier may start now."""
        if not self.in_force(now_s) or self._slack_s >= NO_SLACK_LIMIT_S:
            return NO_SLACK_LIMIT_S
        return self._slack_s - (now_s - self._applied_s)

    def reserved(self, now_s: float) -> dict[str, int]:
        """Give, by class, the most in flight when one may start above tier order."""
        if self.in_force(now_s):
            return self._turns
        slots = sum(self._fallback.values())
        loads = {item.class_name: ClassLoad(item.waiting, item.running) for item in self._classes}
        self._minimum.advance(loads, slots, now_s)
        return {name: count for name in loads if (count := self._minimum.entitled(name, slots))}

    def acquire(self, server: str) -> None:
        """Note a request sent to a backend server."""
        self._running[server] = self._running.get(server, 0) + 1

    def release(self, server: str) -> None:
        """Note the end of a request sent to a backend server."""
        left = self._running.get(server, 0) - 1
        if left > 0:
            self._running[server] = left
        else:
            self._running.pop(server, None)

    def running(self) -> dict[str, int]:
        """Count requests in flight by backend server."""
        return dict(self._running)

    def demand(
        self,
        classes: tuple[ClassDemand, ...],
        number: int,
        now_s: float,
        allocator: str = "",
    ) -> Demand:
        """Sum up for the allocator, handing back idle slots that others wait for.

        `number` must rise from one demand to the next, over restarts too.
        """
        self._classes = classes
        self._was_cut = False
        self._hand_back(classes, now_s)
        free = self.free(now_s)
        applied = self._applied_by_allocator.get(allocator, 0)
        self._told = Told(
            now_s, waiting_by_tier(classes), sum(free.values()), number, self._repeat_s(classes)
        )
        self._demand_times[number] = now_s
        while len(self._demand_times) > DEMANDS_KEPT:
            self._demand_times.pop(next(iter(self._demand_times)))
        return Demand(self._pool, number, classes, self.running(), free, applied=applied)

    def urgent(self, classes: tuple[ClassDemand, ...], now_s: float) -> bool:
        """Tell whether a demand should go out at once; at most every `URGENT_GAP_S`."""
        told = self._told
        if told is None:
            return bool(classes)
        if now_s - told.at_s < URGENT_GAP_S:
            return False
        if self._was_cut or self._surplus(classes, now_s) > 0:
            return True
        if not self._without_slot(classes, now_s):
            return False
        return self._more_unmet(classes, told) or self._unanswered(told, now_s)

    def demand_due(
        self,
        classes: tuple[ClassDemand, ...],
        now_s: float,
        interval_s: float,
    ) -> bool:
        """Tell whether a demand should go out: urgent, changed, or to keep the lease."""
        if self.urgent(classes, now_s):
            return True
        told = self._told
        if told is None:
            return True
        age_s = now_s - told.at_s
        if age_s >= max(interval_s, (self._ttl_s or interval_s) / DEMANDS_PER_TTL):
            return True
        return age_s >= interval_s and (self._ending(now_s) or self._changed(classes, now_s, told))

    def _ending(self, now_s: float) -> bool:
        """Tell whether renewals of the allocation in force seem to be lost."""
        return self.in_force(now_s) and self._expires_s - now_s < RENEW_PART * self._ttl_s

    def _changed(self, classes: tuple[ClassDemand, ...], now_s: float, told: Told) -> bool:
        waiting = waiting_by_tier(classes)
        tiers = set(waiting) | set(told.waiting_by_tier)
        pairs = [(waiting.get(tier, 0), told.waiting_by_tier.get(tier, 0)) for tier in tiers]
        if any(abs(new - old) > CHANGE_TOLD * max(new, old) for new, old in pairs):
            return True
        idle = sum(self.free(now_s).values())
        return (idle == 0) != (told.idle == 0)

    def _without_slot(self, classes: tuple[ClassDemand, ...], now_s: float) -> bool:
        return bool(waiting_by_tier(classes)) and not self.free(now_s)

    def _more_unmet(self, classes: tuple[ClassDemand, ...], told: Told) -> bool:
        waiting = waiting_by_tier(classes)
        if not waiting:
            return False
        highest = min(waiting)
        return waiting[highest] >= max(1, UNMET_GROWTH * told.waiting_by_tier.get(highest, 0))

    def _unanswered(self, told: Told, now_s: float) -> bool:
        """Tell whether the last demand may be lost: it is sent again, less often each time."""
        return self._answered < told.number and now_s - told.at_s >= told.repeat_s

    def _repeat_s(self, classes: tuple[ClassDemand, ...]) -> float:
        told = self._told
        if told is None or self._answered >= told.number or self._more_unmet(classes, told):
            return FIRST_REPEAT_S
        return REPEAT_GROWTH * told.repeat_s

    def _surplus(self, classes: tuple[ClassDemand, ...], now_s: float) -> int:
        """Count idle slots this host has no use for while others wait."""
        floor = self.floor(now_s)
        if floor == NO_FLOOR or not self.in_force(now_s):
            return 0
        slack_s = self.slack_s(now_s)
        usable = sum(
            item.waiting
            for item in classes
            if item.tier < floor or (item.tier == floor and item.slack_s <= slack_s)
        )
        running = {item.class_name: item.running for item in classes}
        turns = sum(max(0, most - running.get(name, 0)) for name, most in self._turns.items())
        return sum(self.free(now_s).values()) - usable - turns

    def _hand_back(self, classes: tuple[ClassDemand, ...], now_s: float) -> None:
        surplus = self._surplus(classes, now_s)
        if surplus <= 0:
            return
        for server, slots in sorted(self.free(now_s).items()):
            back = min(slots, surplus)
            self._level[server] -= back
            surplus -= back


def waiting_by_tier(classes: tuple[ClassDemand, ...]) -> dict[int, int]:
    """Sum up the requests waiting by tier, tiers with none left out."""
    waiting: dict[int, int] = {}
    for item in classes:
        if item.waiting:
            waiting[item.tier] = waiting.get(item.tier, 0) + item.waiting
    return waiting


__all__ = ["Holdings", "waiting_by_tier"]
