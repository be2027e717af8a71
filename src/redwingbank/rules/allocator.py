"""Allocation of a pool's slots to hosts by their reported demand."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from redwingbank.messages import NO_SLACK_LIMIT_S, Allocation
from redwingbank.rules.freeslots import FreeSlots
from redwingbank.rules.host_account import NO_FLOOR, HostAccount, StartLimit
from redwingbank.rules.minimum import ClassLoad, MinimumAccounts
from redwingbank.rules.shares import Claim, max_min_shares, static_share

if TYPE_CHECKING:
    from collections.abc import Iterable

    from redwingbank.messages import Demand
    from redwingbank.rules.table import Table

RENEWALS_PER_TTL = 3
RESEND_INTERVAL_S = 0.25
SPARE_TOLERANCE_SLOTS = 2
SHARE_TOLERANCE_SLOTS = 1
REBALANCE_INTERVAL_S = 0.5
MISSED_DEADLINE_ORDER_S = 1_000_000.0
SLACK_MARGIN_S = 0.25


class Allocator:
    """Divides the slots of one pool among the hosts that send demands.

    Free slots go first to classes entitled to a reserved slot, then to the highest tier that
    waits anywhere, shared among hosts by the number of organisations waiting there; the rest is
    spread evenly, so that a new request starts without a round trip. Where free slots don't
    cover a host's fair share, hosts above theirs are cut: their running requests continue, and
    the slots return as those end.

    A single allocator never lets hosts together use more than a backend server's slots. A new
    allocator, or one that was paused for a TTL, grants nothing beyond what hosts hold until
    every live host has sent a demand or one TTL has passed. A live host that sends none is on
    its static share or has another allocator. That share is set aside for it, so that two
    allocators with different hosts don't both grant the whole pool.

    Example: `Allocator("chat", ttl_s=2.0)`, `set_capacity({"e1": 8}, 0.0)`,
    `observe("h1", demand, 0.0)`, then `allocate(0.0)["h1"].slots` may be `{"e1": 8}`.
    """

    def __init__(self, pool: str, ttl_s: float, first_number: int = 0) -> None:
        self._pool = pool
        self._ttl_s = ttl_s
        self._number = first_number
        self._capacity: dict[str, int] = {}
        self._accounts_by_host: dict[str, HostAccount] = {}
        self._responsive_by_host: dict[str, HostAccount] = {}
        self._minimum = MinimumAccounts()
        self._hosts: frozenset[str] | None = None
        self._started_s: float | None = None
        self._last_call_s: float | None = None
        self._silent_slots: dict[str, int] = {}
        self._tiers: list[int] = []
        self._minimum_loads: dict[str, ClassLoad] = {}
        self._rebalanced_s = float("-inf")

    @property
    def number(self) -> int:
        """Number of the last allocation made."""
        return self._number

    def apply_table(self, table: Table) -> None:
        """Apply the minimum shares of a new table."""
        rows = table.classes_by_name.values()
        self._minimum.set_minimums({row.name: row.minimum for row in rows})

    def observe(self, host: str, demand: Demand, now_s: float) -> None:
        """Record a host's demand unless a newer one is known."""
        self._note_call(now_s)
        account = self._accounts_by_host.get(host)
        if account is None:
            self._accounts_by_host[host] = HostAccount(demand, now_s, self._ttl_s)
            return
        account.observe(demand, now_s)

    def set_capacity(self, slots_by_server: dict[str, int], now_s: float) -> None:
        """Set how many requests each backend server may run."""
        self._note_call(now_s)
        self._capacity = dict(slots_by_server)

    def set_hosts(self, hosts: Iterable[str]) -> None:
        """Set the hosts that are alive; each sends demands for the pool, even when idle."""
        self._hosts = frozenset(hosts)

    def remove_host(self, host: str) -> None:
        """Remove a dead host and all the slots that it held."""
        self._accounts_by_host.pop(host, None)

    def allocate(self, now_s: float) -> dict[str, Allocation]:
        """Divide the slots; return the allocations to send now, by host."""
        self._note_call(now_s)
        for account in self._accounts_by_host.values():
            account.expire(now_s)
        self._responsive_by_host = self._responsive(now_s)
        self._silent_slots = self._sum_silent_slots(now_s)
        accounts = self._responsive_by_host.values()
        self._tiers = sorted({item.tier for a in accounts for item in a.demand.classes})
        self._advance_minimum(now_s)
        self._assign_reserved()
        if self._may_grant(now_s):
            self._cut_to_capacity()
            free = self._free_slots()
            self._rebalance(free, now_s)
            self._grant_to_waiting(free, now_s)
            self._spread_spare(free)
        limit = self._start_limit(now_s)
        hosts = [
            host
            for host in sorted(self._responsive_by_host)
            if self._needs_sending(host, limit, now_s)
        ]
        return {host: self._allocation(host, limit, now_s) for host in hosts}

    def max_in_use(self, now_s: float) -> dict[str, int]:
        """Return the most slots that hosts may be using now, by backend server."""
        total: dict[str, int] = {}
        for account in self._accounts_by_host.values():
            account.expire(now_s)
            for server, slots in account.max_in_use().items():
                total[server] = total.get(server, 0) + slots
        return total

    def _note_call(self, now_s: float) -> None:
        paused = self._last_call_s is not None and now_s - self._last_call_s > self._ttl_s
        if paused:
            self._accounts_by_host.clear()
        if paused or self._started_s is None:
            self._started_s = now_s
        self._last_call_s = now_s

    def _may_grant(self, now_s: float) -> bool:
        started_s = now_s if self._started_s is None else self._started_s
        if now_s - started_s >= self._ttl_s:
            return True
        return self._hosts is not None and self._hosts <= set(self._accounts_by_host)

    def _divisible_slots(self) -> int:
        """Return the number of slots that are not set aside for silent hosts."""
        return max(0, sum(self._capacity.values()) - sum(self._silent_slots.values()))

    def _free_slots(self) -> FreeSlots:
        free = dict(self._capacity)
        used = [account.max_in_use() for account in self._responsive_by_host.values()]
        for slots_by_server in [self._silent_slots, *used]:
            for server, slots in slots_by_server.items():
                if server in free:
                    free[server] -= slots
        return FreeSlots(free, self._capacity)

    def _sum_silent_slots(self, now_s: float) -> dict[str, int]:
        """Sum the slots silent hosts may use: the larger of last reported use and static share."""
        silent_slots: dict[str, int] = {}
        hosts = sorted(self._hosts or ())
        responsive = self._responsive(now_s)
        for host in set(hosts) | set(self._accounts_by_host):
            if host in responsive:
                continue
            account = self._accounts_by_host.get(host)
            used = {} if account is None else account.max_in_use()
            share: dict[str, int] = {}
            if host in hosts:
                rank = hosts.index(host)
                share = static_share(self._capacity, len(hosts), rank)
            for server in (set(used) | set(share)) & set(self._capacity):
                most = max(used.get(server, 0), share.get(server, 0))
                silent_slots[server] = silent_slots.get(server, 0) + most
        return silent_slots

    def _responsive(self, now_s: float) -> dict[str, HostAccount]:
        accounts = self._accounts_by_host.items()
        return {host: account for host, account in accounts if not account.silent(now_s)}

    def _advance_minimum(self, now_s: float) -> None:
        """Update the accounts of the classes with a minimum up to `now_s`."""
        waiting = dict.fromkeys(self._minimum.classes, 0)
        running = dict.fromkeys(self._minimum.classes, 0)
        for account in self._responsive_by_host.values():
            for item in account.demand.classes:
                if item.class_name in waiting:
                    waiting[item.class_name] += item.waiting
                    running[item.class_name] += item.running
        self._minimum_loads = {name: ClassLoad(waiting[name], running[name]) for name in waiting}
        self._minimum.advance(self._minimum_loads, self._divisible_slots(), now_s)

    def _assign_reserved(self) -> None:
        """Assign reserved slots, first to hosts with unused earlier ones, then by longest wait."""
        slots = self._divisible_slots()
        remaining = {
            name: entitled
            for name, load in self._minimum_loads.items()
            if load.waiting
            and (entitled := self._minimum.entitled(name, slots) - load.running) > 0
        }
        claimants = [
            (account.reserved.get(item.class_name, 0) <= item.running, -item.oldest_s, host, item)
            for host, account in self._responsive_by_host.items()
            for item in account.demand.classes
            if item.waiting and item.class_name in remaining
        ]
        for account in self._responsive_by_host.values():
            account.reserved = {}
        for _, _, host, item in sorted(claimants):
            count = min(item.waiting, remaining[item.class_name])
            if count:
                remaining[item.class_name] -= count
                self._responsive_by_host[host].reserved[item.class_name] = item.running + count

    def _cut_to_capacity(self) -> None:
        """Cut allotted slots that exceed a server's capacity, for example after it shrank."""
        allotted: dict[str, int] = {}
        for account in self._responsive_by_host.values():
            for server, slots in account.allotted.items():
                allotted[server] = allotted.get(server, 0) + slots
        for server, slots in allotted.items():
            available = max(0, self._capacity.get(server, 0) - self._silent_slots.get(server, 0))
            for _ in range(slots - available):
                accounts = self._responsive_by_host.values()
                max(accounts, key=lambda account: account.allotted.get(server, 0)).cut_slot(server)

    def _fair_shares(self) -> dict[str, int]:
        """Return each host's fair share of the pool: reserved slots first, then tier by tier."""
        accounts = self._responsive_by_host
        fair_shares = {host: account.unused_reserved() for host, account in accounts.items()}
        remaining = self._divisible_slots() - sum(fair_shares.values())
        for tier in self._tiers:
            claims = [
                Claim(host, wanted, account.weight(tier), -account.total)
                for host, account in accounts.items()
                if (wanted := account.wanted(tier))
            ]
            for host, count in max_min_shares(claims, max(0, remaining)).items():
                fair_shares[host] += count
                remaining -= count
        return fair_shares

    def _rebalance(self, free: FreeSlots, now_s: float) -> None:
        """Cut hosts above their fair share by what hosts below theirs can't get from free slots.

        A host with slots that is one below its share is left alone, and cuts come at most once
        every `REBALANCE_INTERVAL_S`: the floor already serves waiting high tiers at once, and
        this only provides fairness between hosts.
        """
        if now_s - self._rebalanced_s < REBALANCE_INTERVAL_S:
            return
        self._rebalanced_s = now_s
        fair_shares = self._fair_shares()
        accounts = self._responsive_by_host
        deficits = [
            fair_shares[host] - account.total
            for host, account in accounts.items()
            if fair_shares[host] > account.total + _tolerance(account) and account.unmet()
        ]
        releasing = [
            sum(account.max_in_use().values()) - account.total for account in accounts.values()
        ]
        cut_count = sum(deficits) - free.total - sum(releasing)
        excess = [
            (fair_shares[host] - account.total, host)
            for host, account in accounts.items()
            if account.total > fair_shares[host]
        ]
        heapq.heapify(excess)
        while cut_count > 0 and excess:
            difference, host = heapq.heappop(excess)
            accounts[host].cut_slot()
            cut_count -= 1
            if difference + 1 < 0:
                heapq.heappush(excess, (difference + 1, host))

    def _grant_to_waiting(self, free: FreeSlots, now_s: float) -> None:
        """Grant free slots to unused reservations, then to waiting requests by tier."""
        accounts = self._responsive_by_host
        for account in accounts.values():
            idle = max(0, account.total - account.running)
            for _ in range(account.unused_reserved() - idle):
                free.grant(account)
        for tier in self._tiers:
            if not free.total:
                return
            claims = [
                Claim(host, unmet, account.weight(tier), _claim_order(account, tier, now_s))
                for host, account in accounts.items()
                if account.waiting(tier) and (unmet := account.unmet(tier))
            ]
            for host, count in max_min_shares(claims, free.total).items():
                for _ in range(count):
                    free.grant(accounts[host])

    def _spread_spare(self, free: FreeSlots) -> None:
        """Spread slots that nothing waits for evenly over hosts; correct one slot a call."""
        accounts = self._responsive_by_host
        if not accounts or any(account.unmet() for account in accounts.values()):
            return
        hosts = [(account.spare(), host) for host, account in accounts.items()]
        heapq.heapify(hosts)
        while free.total:
            spare, host = heapq.heappop(hosts)
            free.grant(accounts[host])
            heapq.heappush(hosts, (spare + 1, host))
        least, most = min(hosts), max(hosts)
        if most[0] - least[0] >= SPARE_TOLERANCE_SLOTS and most[0] > 0:
            accounts[most[1]].cut_slot()

    def _start_limit(self, now_s: float) -> StartLimit:
        """Return the limit set by the highest tier with requests waiting without a slot.

        The most urgent of these that can still meet its deadline sets the latest deadline that
        may start on other hosts. Missed deadlines set none: the old requests of a burst must not
        delay new ones of other organisations.
        """
        accounts = self._responsive_by_host.values()
        for tier in self._tiers:
            unmet = [a for a in accounts if a.waiting(tier) and a.unmet(tier)]
            if unmet:
                slacks = [account.slack_s(tier, now_s) for account in unmet]
                least_s = min((slack_s for slack_s in slacks if slack_s >= 0), default=None)
                return StartLimit(
                    tier, None if least_s is None else now_s + least_s + SLACK_MARGIN_S
                )
        return StartLimit(NO_FLOOR, None)

    def _needs_sending(self, host: str, limit: StartLimit, now_s: float) -> bool:
        """Return whether a host needs an allocation now.

        A relaxed limit alone doesn't require one: the host learns of it with its next granted
        slot or renewal, and until then hands back the idle slots that it can't use.
        """
        account = self._responsive_by_host[host]
        if (
            account.dirty
            or limit.stricter(account.start_limit)
            or account.reserved != account.reserved_sent
        ):
            return True
        if account.unapplied and account.last_demand_s - account.sent_s >= RESEND_INTERVAL_S:
            return True
        return (
            account.renewable and now_s - account.lease_start_s >= self._ttl_s / RENEWALS_PER_TTL
        )

    def _allocation(self, host: str, limit: StartLimit, now_s: float) -> Allocation:
        self._number += 1
        account = self._responsive_by_host[host]
        account.start_limit = limit
        account.reserved_sent = dict(account.reserved)
        slots = account.grant(self._number, now_s)
        return Allocation(
            self._pool,
            self._number,
            account.demand.number,
            self._ttl_s,
            limit.floor,
            slots,
            turns=dict(account.reserved),
            slack_s=NO_SLACK_LIMIT_S if limit.deadline_s is None else limit.deadline_s - now_s,
        )


def _tolerance(account: HostAccount) -> int:
    return SHARE_TOLERANCE_SLOTS if account.total else 0


def _claim_order(account: HostAccount, tier: int, now_s: float) -> float:
    """Order by least slack; hosts past a deadline follow, fewest slots for their weight first."""
    slack_s = account.slack_s(tier, now_s)
    if slack_s >= 0:
        return slack_s
    return MISSED_DEADLINE_ORDER_S + account.total / account.weight(tier)


__all__ = ["NO_FLOOR", "Allocator"]
