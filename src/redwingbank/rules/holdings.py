"""Slots that a host holds at the backend servers of one pool."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.messages import NO_SLACK_LIMIT_S, Demand
from redwingbank.rules.host_account import NO_FLOOR
from redwingbank.rules.minimum import ClassLoad, MinimumAccounts
from redwingbank.rules.shares import static_share

if TYPE_CHECKING:
    from redwingbank.messages import Allocation, ClassDemand
    from redwingbank.rules.table import Table

MAX_TRACKED_DEMANDS = 64
MIN_URGENT_INTERVAL_S = 0.02
DEMANDS_PER_TTL = 4
FIRST_RESEND_S = 0.1
URGENT_GROWTH = 2
RENEWAL_FRACTION = 0.5
RESEND_BACKOFF = 4
REPORTED_CHANGE_FRACTION = 0.25


class LastDemand(NamedTuple):
    """Contents of the last demand sent that later ones are compared with."""

    sent_s: float
    waiting_by_tier: dict[int, int]
    idle: int
    number: int
    resend_after_s: float


class Holdings:
    """The requests that a host may have in flight at each backend server, and those it has.

    An allocation expires `ttl_s` after the host sent the demand that it answers, however late
    it arrived, so that the allocator knows of the expiry without a common clock. With no
    allocation in force the host uses its static share of the pool, set by `set_static_share`,
    which is at least one slot. For one TTL after an expiry it uses only the slots that it held
    of that share, or one slot, since other hosts may still hold the rest. Requests in flight
    always continue.

    When a higher tier waits elsewhere (`floor`), a demand hands back the idle slots that this
    host can't use.
    """

    def __init__(self, pool: str, host_count: int) -> None:
        self._pool = pool
        self._host_count = host_count
        self._allotted: dict[str, int] = {}
        self._running: dict[str, int] = {}
        self._static_share: dict[str, int] = {}
        self._floor = NO_FLOOR
        self._slack_s = NO_SLACK_LIMIT_S
        self._applied_s = 0.0
        self._reserved: dict[str, int] = {}
        self._expires_s = float("-inf")
        self._ttl_s = 0.0
        self._applied_by_allocator: dict[str, int] = {}
        self._sent_s_by_number: dict[int, float] = {}
        self._last_demand: LastDemand | None = None
        self._was_reduced = False
        self._last_answered = -1
        self._minimum = MinimumAccounts()
        self._classes: tuple[ClassDemand, ...] = ()

    def apply_table(self, table: Table) -> None:
        """Apply the minimum shares of a new table."""
        rows = table.classes_by_name.values()
        self._minimum.set_minimums({row.name: row.minimum for row in rows})

    def set_static_share(self, slots_by_server: dict[str, int], hosts: int, rank: int) -> None:
        """Set the share of slots to use without an allocation.

        `rank` is this host's index in the sorted names of the live hosts.
        """
        self._host_count = max(1, hosts)
        self._static_share = static_share(slots_by_server, self._host_count, rank)

    def apply(self, allocation: Allocation, now_s: float, allocator: str = "") -> bool:
        """Apply an allocation unless it is late or out of order; return whether it was applied."""
        if allocation.number <= self._applied_by_allocator.get(allocator, -1):
            return False
        sent_s = self._sent_s_by_number.get(allocation.answers)
        if sent_s is None or sent_s + allocation.ttl_s <= now_s:
            return False
        if len(self._applied_by_allocator) >= MAX_TRACKED_DEMANDS:
            self._applied_by_allocator.clear()
        self._applied_by_allocator[allocator] = allocation.number
        self._last_answered = max(self._last_answered, allocation.answers)
        slots = allocation.slots
        self._was_reduced |= any(
            slots.get(name, 0) < slots_before for name, slots_before in self._allotted.items()
        )
        self._allotted = dict(slots)
        self._floor = allocation.floor
        self._slack_s = allocation.slack_s
        self._applied_s = now_s
        self._reserved = dict(allocation.turns)
        self._ttl_s = allocation.ttl_s
        self._expires_s = sent_s + allocation.ttl_s
        return True

    def in_force(self, now_s: float) -> bool:
        """Return whether an allocation is in force."""
        return now_s < self._expires_s

    def free(self, now_s: float) -> dict[str, int]:
        """Return how many requests may start now at each backend server."""
        usable = self._usable_slots(now_s)
        remaining = {
            server: slots - self._running.get(server, 0) for server, slots in usable.items()
        }
        return {server: slots for server, slots in remaining.items() if slots > 0}

    def _usable_slots(self, now_s: float) -> dict[str, int]:
        if self.in_force(now_s):
            return self._allotted
        if now_s >= self._expires_s + self._ttl_s:
            return self._static_share
        common = set(self._allotted) & set(self._static_share)
        lower = {
            name: min(self._allotted[name], self._static_share[name]) for name in sorted(common)
        }
        if any(lower.values()):
            return lower
        return dict.fromkeys(sorted(self._static_share)[:1], 1)

    def floor(self, now_s: float) -> int:
        """Return the lowest tier that may start now."""
        return self._floor if self.in_force(now_s) else NO_FLOOR

    def slack_s(self, now_s: float) -> float:
        """Return the most slack with which a request of the floor's tier may start now."""
        if not self.in_force(now_s) or self._slack_s >= NO_SLACK_LIMIT_S:
            return NO_SLACK_LIMIT_S
        return self._slack_s - (now_s - self._applied_s)

    def reserved(self, now_s: float) -> dict[str, int]:
        """Return, by class, the number in flight up to which it may start despite its tier."""
        if self.in_force(now_s):
            return self._reserved
        slots = sum(self._static_share.values())
        loads = {item.class_name: ClassLoad(item.waiting, item.running) for item in self._classes}
        self._minimum.advance(loads, slots, now_s)
        return {name: count for name in loads if (count := self._minimum.entitled(name, slots))}

    def acquire(self, server: str) -> None:
        """Record a request sent to a backend server."""
        self._running[server] = self._running.get(server, 0) + 1

    def release(self, server: str) -> None:
        """Record the end of a request sent to a backend server."""
        remaining = self._running.get(server, 0) - 1
        if remaining > 0:
            self._running[server] = remaining
        else:
            self._running.pop(server, None)

    def running(self) -> dict[str, int]:
        """Return the number of requests in flight by backend server."""
        return dict(self._running)

    def demand(
        self,
        classes: tuple[ClassDemand, ...],
        number: int,
        now_s: float,
        allocator: str = "",
    ) -> Demand:
        """Return a demand for the allocator; hand back idle slots that other hosts wait for.

        `number` must increase with every demand, also across restarts.
        """
        self._classes = classes
        self._was_reduced = False
        self._hand_back(classes, now_s)
        free = self.free(now_s)
        applied = self._applied_by_allocator.get(allocator, 0)
        self._last_demand = LastDemand(
            now_s,
            waiting_by_tier(classes),
            sum(free.values()),
            number,
            self._resend_after_s(classes),
        )
        self._sent_s_by_number[number] = now_s
        while len(self._sent_s_by_number) > MAX_TRACKED_DEMANDS:
            self._sent_s_by_number.pop(next(iter(self._sent_s_by_number)))
        return Demand(self._pool, number, classes, self.running(), free, applied=applied)

    def demand_urgent(self, classes: tuple[ClassDemand, ...], now_s: float) -> bool:
        """Return whether to send a demand at once, at most every `MIN_URGENT_INTERVAL_S`."""
        last = self._last_demand
        if last is None:
            return bool(classes)
        if now_s - last.sent_s < MIN_URGENT_INTERVAL_S:
            return False
        if self._was_reduced or self._surplus(classes, now_s) > 0:
            return True
        if not self._waits_without_slot(classes, now_s):
            return False
        return self._unmet_grew(classes, last) or self._unanswered(last, now_s)

    def demand_due(
        self,
        classes: tuple[ClassDemand, ...],
        now_s: float,
        interval_s: float,
    ) -> bool:
        """Return whether to send a demand: urgent, changed, or to renew the allocation."""
        if self.demand_urgent(classes, now_s):
            return True
        last = self._last_demand
        if last is None:
            return True
        age_s = now_s - last.sent_s
        if age_s >= max(interval_s, (self._ttl_s or interval_s) / DEMANDS_PER_TTL):
            return True
        return age_s >= interval_s and (
            self._near_expiry(now_s) or self._changed(classes, now_s, last)
        )

    def _near_expiry(self, now_s: float) -> bool:
        """Return whether the allocation in force is so old that renewals seem to be lost."""
        return self.in_force(now_s) and self._expires_s - now_s < RENEWAL_FRACTION * self._ttl_s

    def _changed(self, classes: tuple[ClassDemand, ...], now_s: float, last: LastDemand) -> bool:
        waiting = waiting_by_tier(classes)
        tiers = set(waiting) | set(last.waiting_by_tier)
        pairs = [(waiting.get(tier, 0), last.waiting_by_tier.get(tier, 0)) for tier in tiers]
        if any(abs(new - old) > REPORTED_CHANGE_FRACTION * max(new, old) for new, old in pairs):
            return True
        idle = sum(self.free(now_s).values())
        return (idle == 0) != (last.idle == 0)

    def _waits_without_slot(self, classes: tuple[ClassDemand, ...], now_s: float) -> bool:
        return bool(waiting_by_tier(classes)) and not self.free(now_s)

    def _unmet_grew(self, classes: tuple[ClassDemand, ...], last: LastDemand) -> bool:
        waiting = waiting_by_tier(classes)
        if not waiting:
            return False
        highest = min(waiting)
        return waiting[highest] >= max(1, URGENT_GROWTH * last.waiting_by_tier.get(highest, 0))

    def _unanswered(self, last: LastDemand, now_s: float) -> bool:
        """Return whether the last demand seems lost; resends back off exponentially."""
        return self._last_answered < last.number and now_s - last.sent_s >= last.resend_after_s

    def _resend_after_s(self, classes: tuple[ClassDemand, ...]) -> float:
        last = self._last_demand
        if last is None or self._last_answered >= last.number or self._unmet_grew(classes, last):
            return FIRST_RESEND_S
        return RESEND_BACKOFF * last.resend_after_s

    def _surplus(self, classes: tuple[ClassDemand, ...], now_s: float) -> int:
        """Return the number of idle slots that this host can't use while other hosts wait."""
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
        unused_reserved = sum(
            max(0, slots - running.get(name, 0)) for name, slots in self._reserved.items()
        )
        return sum(self.free(now_s).values()) - usable - unused_reserved

    def _hand_back(self, classes: tuple[ClassDemand, ...], now_s: float) -> None:
        surplus = self._surplus(classes, now_s)
        if surplus <= 0:
            return
        for server, slots in sorted(self.free(now_s).items()):
            returned = min(slots, surplus)
            self._allotted[server] -= returned
            surplus -= returned


def waiting_by_tier(classes: tuple[ClassDemand, ...]) -> dict[int, int]:
    """Return the number of waiting requests by tier, without tiers that have none."""
    waiting: dict[int, int] = {}
    for item in classes:
        if item.waiting:
            waiting[item.tier] = waiting.get(item.tier, 0) + item.waiting
    return waiting


__all__ = ["Holdings", "waiting_by_tier"]
