"""Allocation of a pool's slots among hosts, by the demands that they tell."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from redwingbank.messages import NO_SLACK_LIMIT_S, Allocation
from redwingbank.rules.freeslots import FreeSlots
from redwingbank.rules.grants import NO_FLOOR, Gate, HostAccount
from redwingbank.rules.minimum import ClassLoad, MinimumAccounts
from redwingbank.rules.shares import Want, fallback_share, max_min

if TYPE_CHECKING:
    from collections.abc import Iterable

    from redwingbank.messages import Demand
    from redwingbank.rules.table import Table

RENEWALS_PER_TTL = 3
RESEND_S = 0.25
SPARE_TOLERANCE = 2
SHARE_TOLERANCE = 1
MOVE_INTERVAL_S = 0.5
LATE_ORDER_S = 1_000_000.0
SLACK_MARGIN_S = 0.25


class Allocator:
    """Divides the slots of one pool among the hosts that ask.

    Free slots go first to classes owed a turn for their minimum, then to the highest tier
    waiting anywhere, shared among hosts by the organisations that wait there; what is left is
    spread evenly, so that a new arrival starts without a round trip. Where a tier's share of
    the whole pool is not met by free slots, hosts with more than their share are cut: what runs
    there stays, and its slots come back as it ends.

    What hosts may be using never exceeds a backend server's slots by the doing of one
    allocator. A new allocator, or one that was paused for a TTL, grants nothing beyond what
    hosts hold until every host that it expects has spoken, or one TTL has passed. A host that
    is expected but silent is on its static share, or has another allocator: that share is set
    aside for it, so two allocators with their own hosts don't both give out the whole pool.

    Example: `Allocator("chat", ttl_s=2.0)`, `set_capacity({"e1": 8}, 0.0)`,
    `observe("h1", demand, 0.0)`, then `allocate(0.0)["h1"].slots` may be `{"e1": 8}`.
    """

    def __init__(self, pool: str, ttl_s: float, first_number: int = 0) -> None:
        self._pool = pool
        self._ttl_s = ttl_s
        self._number = first_number
        self._capacity: dict[str, int] = {}
        self._accounts_by_host: dict[str, HostAccount] = {}
        self._speaking_by_host: dict[str, HostAccount] = {}
        self._minimum = MinimumAccounts()
        self._expected: frozenset[str] | None = None
        self._began_s: float | None = None
        self._active_s: float | None = None
        self._aside: dict[str, int] = {}
        self._tiers: list[int] = []
        self._loads: dict[str, ClassLoad] = {}
        self._moved_s = float("-inf")

    @property
    def number(self) -> int:
        """Number of the last allocation made."""
        return self._number

    def apply_table(self, table: Table) -> None:
        """Bring the minimum shares of a new table into force."""
        rows = table.classes_by_name.values()
        self._minimum.rebase({row.name: row.minimum for row in rows})

    def observe(self, host: str, demand: Demand, now_s: float) -> None:
        """Take a host's demand; older ones than already seen are ignored."""
        self._begin(now_s)
        account = self._accounts_by_host.get(host)
        if account is None:
            self._accounts_by_host[host] = HostAccount(demand, now_s, self._ttl_s)
            return
        account.observe(demand, now_s)

    def set_capacity(self, slots_by_server: dict[str, int], now_s: float) -> None:
        """Set how many requests each backend server may run."""
        self._begin(now_s)
        self._capacity = dict(slots_by_server)

    def set_hosts(self, hosts: Iterable[str]) -> None:
        """Name the hosts that are alive; each sends demands for the pool, with work or not."""
        self._expected = frozenset(hosts)

    def remove_host(self, host: str) -> None:
        """Drop a host that is dead, with all that it had."""
        self._accounts_by_host.pop(host, None)

    def allocate(self, now_s: float) -> dict[str, Allocation]:
        """Divide the slots; return the allocations that have to be sent now."""
        self._begin(now_s)
        for account in self._accounts_by_host.values():
            account.lapse(now_s)
        self._speaking_by_host = self._speaking(now_s)
        self._aside = self._set_aside(now_s)
        accounts = self._speaking_by_host.values()
        self._tiers = sorted({item.tier for a in accounts for item in a.demand.classes})
        self._settle_minimum(now_s)
        self._assign_turns()
        if self._informed(now_s):
            self._fit_capacity()
            free = self._free()
            self._move_to_share(free, now_s)
            self._grant_waiting(free, now_s)
            self._spread_spare(free)
        gate = self._gate(now_s)
        hosts = [host for host in sorted(self._speaking_by_host) if self._due(host, gate, now_s)]
        return {host: self._allocation(host, gate, now_s) for host in hosts}

    def granted(self, now_s: float) -> dict[str, int]:
        """Count, by backend server, the most slots that hosts may be using now."""
        total: dict[str, int] = {}
        for account in self._accounts_by_host.values():
            account.lapse(now_s)
            for server, slots in account.in_use().items():
                total[server] = total.get(server, 0) + slots
        return total

    def _begin(self, now_s: float) -> None:
        paused = self._active_s is not None and now_s - self._active_s > self._ttl_s
        if paused:
            self._accounts_by_host.clear()
        if paused or self._began_s is None:
            self._began_s = now_s
        self._active_s = now_s

    def _informed(self, now_s: float) -> bool:
        began_s = now_s if self._began_s is None else self._began_s
        if now_s - began_s >= self._ttl_s:
            return True
        return self._expected is not None and self._expected <= set(self._accounts_by_host)

    def _slots(self) -> int:
        """Count the slots there are to divide."""
        return max(0, sum(self._capacity.values()) - sum(self._aside.values()))

    def _free(self) -> FreeSlots:
        free = dict(self._capacity)
        used = [account.in_use() for account in self._speaking_by_host.values()]
        for slots_by_server in [self._aside, *used]:
            for server, slots in slots_by_server.items():
                if server in free:
                    free[server] -= slots
        return FreeSlots(free, self._capacity)

    def _set_aside(self, now_s: float) -> dict[str, int]:
        """Sum up what silent hosts may use: what ran there as last told, or the static share."""
        aside: dict[str, int] = {}
        expected = sorted(self._expected or ())
        speaking = self._speaking(now_s)
        for host in set(expected) | set(self._accounts_by_host):
            if host in speaking:
                continue
            account = self._accounts_by_host.get(host)
            used = {} if account is None else account.in_use()
            share: dict[str, int] = {}
            if host in expected:
                rank = expected.index(host)
                share = fallback_share(self._capacity, len(expected), rank)
            for server in (set(used) | set(share)) & set(self._capacity):
                most = max(used.get(server, 0), share.get(server, 0))
                aside[server] = aside.get(server, 0) + most
        return aside

    def _speaking(self, now_s: float) -> dict[str, HostAccount]:
        accounts = self._accounts_by_host.items()
        return {host: account for host, account in accounts if not account.silent(now_s)}

    def _settle_minimum(self, now_s: float) -> None:
        """Bring the accounts of the classes with a minimum up to now."""
        waiting = dict.fromkeys(self._minimum.classes, 0)
        running = dict.fromkeys(self._minimum.classes, 0)
        for account in self._speaking_by_host.values():
            for item in account.demand.classes:
                if item.class_name in waiting:
                    waiting[item.class_name] += item.waiting
                    running[item.class_name] += item.running
        self._loads = {name: ClassLoad(waiting[name], running[name]) for name in waiting}
        self._minimum.advance(self._loads, self._slots(), now_s)

    def _assign_turns(self) -> None:
        """Give turns owed to the hosts whose requests have waited longest, kept ones first."""
        slots = self._slots()
        left = {
            name: owed
            for name, load in self._loads.items()
            if load.waiting and (owed := self._minimum.entitled(name, slots) - load.running) > 0
        }
        asking = [
            (account.turns.get(item.class_name, 0) <= item.running, -item.oldest_s, host, item)
            for host, account in self._speaking_by_host.items()
            for item in account.demand.classes
            if item.waiting and item.class_name in left
        ]
        for account in self._speaking_by_host.values():
            account.turns = {}
        for _, _, host, item in sorted(asking):
            count = min(item.waiting, left[item.class_name])
            if count:
                left[item.class_name] -= count
                self._speaking_by_host[host].turns[item.class_name] = item.running + count

    def _fit_capacity(self) -> None:
        """Cut what servers with fewer slots than before can't run."""
        level: dict[str, int] = {}
        for account in self._speaking_by_host.values():
            for server, slots in account.level.items():
                level[server] = level.get(server, 0) + slots
        for server, slots in level.items():
            room = max(0, self._capacity.get(server, 0) - self._aside.get(server, 0))
            for _ in range(slots - room):
                accounts = self._speaking_by_host.values()
                max(accounts, key=lambda account: account.level.get(server, 0)).cut_slot(server)

    def _targets(self) -> dict[str, int]:
        """Give each host's fair share of the pool: turns first, then tier by tier."""
        accounts = self._speaking_by_host
        targets = {host: account.turns_open() for host, account in accounts.items()}
        left = self._slots() - sum(targets.values())
        for tier in self._tiers:
            wants = [
                Want(host, most, account.weight(tier), -account.total)
                for host, account in accounts.items()
                if (most := account.wanted(tier))
            ]
            for host, count in max_min(wants, max(0, left)).items():
                targets[host] += count
                left -= count
        return targets

    def _move_to_share(self, free: FreeSlots, now_s: float) -> None:
        """Cut hosts above their share by what hosts below theirs can't get from free slots.

        Differences of a slot are let be, and no more often than `MOVE_INTERVAL_S`: what waits
        in a high tier is helped at once by the floor, this is for fairness between hosts.
        """
        if now_s - self._moved_s < MOVE_INTERVAL_S:
            return
        self._moved_s = now_s
        targets = self._targets()
        accounts = self._speaking_by_host
        lacking = [
            targets[host] - account.total
            for host, account in accounts.items()
            if targets[host] > account.total + _tolerance(account) and account.unmet()
        ]
        coming = [sum(account.in_use().values()) - account.total for account in accounts.values()]
        cut = sum(lacking) - free.total - sum(coming)
        excess = [
            (targets[host] - account.total, host)
            for host, account in accounts.items()
            if account.total > targets[host]
        ]
        heapq.heapify(excess)
        while cut > 0 and excess:
            over, host = heapq.heappop(excess)
            accounts[host].cut_slot()
            cut -= 1
            if over + 1 < 0:
                heapq.heappush(excess, (over + 1, host))

    def _grant_waiting(self, free: FreeSlots, now_s: float) -> None:
        """Give free slots to turns, then to the highest tier that waits without one."""
        accounts = self._speaking_by_host
        for account in accounts.values():
            idle = max(0, account.total - account.running)
            for _ in range(account.turns_open() - idle):
                free.give(account)
        for tier in self._tiers:
            if not free.total:
                return
            wants = [
                Want(host, unmet, account.weight(tier), _order(account, tier, now_s))
                for host, account in accounts.items()
                if account.waiting(tier) and (unmet := account.unmet(tier))
            ]
            for host, count in max_min(wants, free.total).items():
                for _ in range(count):
                    free.give(accounts[host])

    def _spread_spare(self, free: FreeSlots) -> None:
        """Spread what no one waits for evenly over hosts; even out a slot at a time."""
        accounts = self._speaking_by_host
        if not accounts or any(account.unmet() for account in accounts.values()):
            return
        hosts = [(account.spare(), host) for host, account in accounts.items()]
        heapq.heapify(hosts)
        while free.total:
            spare, host = heapq.heappop(hosts)
            free.give(accounts[host])
            heapq.heappush(hosts, (spare + 1, host))
        least, most = min(hosts), max(hosts)
        if most[0] - least[0] >= SPARE_TOLERANCE and most[0] > 0:
            accounts[most[1]].cut_slot()

    def _gate(self, now_s: float) -> Gate:
        """Give the highest tier that waits anywhere without a slot to start in.

        Its most urgent request that can still meet its deadline sets the slack of those that
        may start before it on other hosts. Missed deadlines set none: a burst's old requests
        must not hold up other organisations' new ones.
        """
        accounts = self._speaking_by_host.values()
        for tier in self._tiers:
            unmet = [a for a in accounts if a.waiting(tier) and a.unmet(tier)]
            if unmet:
                slacks = [account.slack_s(tier, now_s) for account in unmet]
                least_s = min((slack_s for slack_s in slacks if slack_s >= 0), default=None)
                return Gate(tier, None if least_s is None else now_s + least_s + SLACK_MARGIN_S)
        return Gate(NO_FLOOR, None)

    def _due(self, host: str, gate: Gate, now_s: float) -> bool:
        """Tell whether a host needs an allocation now.

        A gate that opens is not worth one: the host learns of it with its next slot, which it
        hands back while it believes the gate shut, or with the next renewal.
        """
        account = self._speaking_by_host[host]
        if account.dirty or gate.stricter(account.gate) or account.turns != account.turns_sent:
            return True
        if account.unapplied and account.heard_s - account.sent_s >= RESEND_S:
            return True
        return account.renewable and now_s - account.lease_s >= self._ttl_s / RENEWALS_PER_TTL

    def _allocation(self, host: str, gate: Gate, now_s: float) -> Allocation:
        self._number += 1
        account = self._speaking_by_host[host]
        account.gate = gate
        account.turns_sent = dict(account.turns)
        slots = account.grant(self._number, now_s)
        return Allocation(
            self._pool,
            self._number,
            account.demand.number,
            self._ttl_s,
            gate.floor,
            slots,
            turns=dict(account.turns),
            slack_s=NO_SLACK_LIMIT_S if gate.deadline_s is None else gate.deadline_s - now_s,
        )


def _tolerance(account: HostAccount) -> int:
    return SHARE_TOLERANCE if account.total else 0


def _order(account: HostAccount, tier: int, now_s: float) -> float:
    """Put the least slack first; where deadlines are missed, after those, the least served."""
    slack_s = account.slack_s(tier, now_s)
    if slack_s >= 0:
        return slack_s
    return LATE_ORDER_S + account.total / account.weight(tier)


__all__ = ["NO_FLOOR", "Allocator"]
