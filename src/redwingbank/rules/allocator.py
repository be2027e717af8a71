"""Allocation of a pool's slots among hosts, by the demands that they tell."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from redwingbank.messages import NO_SLACK_LIMIT_S, Allocation
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
        self._loads: dict[str, ClassLoad] = {}
        self._moved_s = float("-inf")

    @property
    def number(self) -> int:
        """Number of the last allocation made."""
        return self._number

    def rebase(self, table: Table) -> None:
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

    def expect(self, hosts: Iterable[str]) -> None:
        """Name the hosts that are alive; each sends demands for the pool, with work or not."""
        self._expected = frozenset(hosts)

    def forget(self, host: str) -> None:
        """Drop a host that is dead, with all that it had."""
        self._accounts_by_host.pop(host, None)

    def allocate(self, now_s: float) -> dict[str, Allocation]:
        """Divide the slots; return the allocations that have to be sent now."""
        self._begin(now_s)
        for account in self._accounts_by_host.values():
            account.lapse(now_s)
        self._speaking_by_host = self._speaking(now_s)
        self._aside = self._set_aside(now_s)
        self._settle_minimum(now_s)
        self._assign_turns()
        if self._informed(now_s):
            self._fit_capacity()
            self._move_to_share(now_s)
            self._grant_waiting(now_s)
            self._spread_spare()
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

    def _free(self) -> dict[str, int]:
        free = dict(self._capacity)
        used = [account.in_use() for account in self._speaking_by_host.values()]
        for slots_by_server in [self._aside, *used]:
            for server, slots in slots_by_server.items():
                if server in free:
                    free[server] -= slots
        return free

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
        loads: dict[str, ClassLoad] = {}
        for account in self._speaking_by_host.values():
            for item in account.demand.classes:
                load = loads.get(item.class_name, ClassLoad(0, 0))
                loads[item.class_name] = ClassLoad(
                    load.waiting + item.waiting, load.running + item.running
                )
        self._minimum.advance(loads, self._slots(), now_s)
        self._loads = loads

    def _assign_turns(self) -> None:
        waiting = [
            (-item.oldest_s, host, item)
            for host, account in self._speaking_by_host.items()
            for item in account.demand.classes
            if item.waiting
        ]
        left = {
            name: self._minimum.entitled(name, self._slots()) - load.running
            for name, load in self._loads.items()
        }
        before = {host: account.turns for host, account in self._speaking_by_host.items()}
        for account in self._speaking_by_host.values():
            account.turns = {}
        kept_first = sorted(
            waiting,
            key=lambda entry: (
                before[entry[1]].get(entry[2].class_name, 0) <= entry[2].running,
                entry[0],
                entry[1],
            ),
        )
        for _, host, item in kept_first:
            count = min(item.waiting, max(0, left[item.class_name]))
            if count:
                left[item.class_name] -= count
                self._speaking_by_host[host].turns[item.class_name] = item.running + count

    def _turns_open(self, account: HostAccount) -> int:
        running = {item.class_name: item.running for item in account.demand.classes}
        return sum(most - running.get(name, 0) for name, most in account.turns.items())

    def _fit_capacity(self) -> None:
        for server in {name for a in self._speaking_by_host.values() for name in a.level}:
            accounts = [a for a in self._speaking_by_host.values() if a.level.get(server)]
            room = self._capacity.get(server, 0) - self._aside.get(server, 0)
            over = sum(account.level[server] for account in accounts) - max(0, room)
            for _ in range(max(0, over)):
                most = max(accounts, key=lambda account: account.level[server])
                most.level[server] -= 1
                most.dirty = True

    def _tiers(self) -> list[int]:
        accounts = self._speaking_by_host.values()
        return sorted({item.tier for account in accounts for item in account.demand.classes})

    def _targets(self) -> dict[str, int]:
        """Give each host's fair share of the pool: turns first, then tier by tier."""
        left = self._slots()
        targets = {
            host: self._turns_open(account) for host, account in self._speaking_by_host.items()
        }
        left -= sum(targets.values())
        for tier in self._tiers():
            wants = [
                want
                for host, account in self._speaking_by_host.items()
                if (want := self._want(host, account, tier)).most > 0
            ]
            for host, count in max_min(wants, max(0, left)).items():
                targets[host] += count
                left -= count
        return targets

    def _want(self, host: str, account: HostAccount, tier: int) -> Want:
        items = [item for item in account.demand.classes if item.tier == tier]
        most = sum(item.waiting + item.running for item in items)
        weight = max(1, sum(item.organisations for item in items))
        return Want(host, most, weight, -account.total)

    def _move_to_share(self, now_s: float) -> None:
        """Cut hosts above their share by what hosts below theirs can't get from free slots.

        Differences of a slot are let be, and no more often than `MOVE_INTERVAL_S`: what waits
        in a high tier is helped at once by the floor, this is for fairness between hosts.
        """
        if now_s - self._moved_s < MOVE_INTERVAL_S:
            return
        self._moved_s = now_s
        targets = self._targets()
        accounts = self._speaking_by_host
        lacking = {
            host: targets[host] - account.total
            for host, account in accounts.items()
            if targets[host] > account.total + self._tolerance(account) and self._unmet(account)
        }
        cut = sum(lacking.values()) - sum(max(0, count) for count in self._free().values())
        cut -= sum(
            max(0, sum(account.in_use().values()) - account.total) for account in accounts.values()
        )
        excess = [
            (targets[host] - account.total, host)
            for host, account in accounts.items()
            if account.total > targets[host]
        ]
        heapq.heapify(excess)
        while cut > 0 and excess:
            over, host = heapq.heappop(excess)
            self._cut_one(accounts[host])
            cut -= 1
            if over + 1 < 0:
                heapq.heappush(excess, (over + 1, host))

    def _tolerance(self, account: HostAccount) -> int:
        return SHARE_TOLERANCE if account.total else 0

    def _cut_one(self, account: HostAccount) -> None:
        running = account.demand.running
        server = max(
            (name for name, slots in account.level.items() if slots > 0),
            key=lambda name: (account.level[name] - running.get(name, 0), name),
        )
        account.level[server] -= 1
        account.dirty = True

    def _unmet(self, account: HostAccount, tier: int = NO_FLOOR) -> int:
        """Count requests waiting up to a tier beyond the idle slots the host has."""
        idle = max(0, account.total - account.running)
        waiting = sum(item.waiting for item in account.demand.classes if item.tier <= tier)
        return max(0, waiting + self._turns_open(account) - idle)

    def _grant_waiting(self, now_s: float) -> None:
        free = _FreeSlots(self._free(), self._capacity)
        for account in self._speaking_by_host.values():
            idle = max(0, account.total - account.running)
            for _ in range(max(0, self._turns_open(account) - idle)):
                free.give(account)
        for tier in self._tiers():
            wants = [
                want
                for host, account in self._speaking_by_host.items()
                if (want := self._unmet_want(host, account, tier, now_s)).most > 0
            ]
            for host, count in max_min(wants, free.total).items():
                for _ in range(count):
                    free.give(self._speaking_by_host[host])

    def _unmet_want(self, host: str, account: HostAccount, tier: int, now_s: float) -> Want:
        if not account.waiting(tier):
            return Want(host, 0, 1.0)
        weight = self._want(host, account, tier).weight
        unmet = self._unmet(account, tier)
        return Want(host, unmet, weight, _order(account, tier, weight, now_s))

    def _spare(self, account: HostAccount) -> int:
        waiting = sum(item.waiting for item in account.demand.classes)
        return account.total - account.running - waiting

    def _spread_spare(self) -> None:
        """Spread what no one waits for evenly over hosts, a few slots at a time."""
        free = _FreeSlots(self._free(), self._capacity)
        hosts = [(self._spare(account), host) for host, account in self._speaking_by_host.items()]
        if not hosts or any(self._unmet(a) for a in self._speaking_by_host.values()):
            return
        heapq.heapify(hosts)
        while free.total and hosts:
            spare, host = heapq.heappop(hosts)
            free.give(self._speaking_by_host[host])
            heapq.heappush(hosts, (spare + 1, host))
        least, most = min(hosts), max(hosts)
        if most[0] - least[0] >= SPARE_TOLERANCE and most[0] > 0:
            self._cut_one(self._speaking_by_host[most[1]])

    def _gate(self, now_s: float) -> Gate:
        """Give the highest tier that waits anywhere without a slot to start in.

        Its most urgent request that can still meet its deadline sets the slack of those that
        may start before it on other hosts. Missed deadlines set none: a burst's old requests
        must not hold up other organisations' new ones.
        """
        accounts = self._speaking_by_host.values()
        for tier in self._tiers():
            unmet = [a for a in accounts if a.waiting(tier) and self._unmet(a, tier)]
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
        age_s = now_s - account.sent_s
        if account.unapplied and age_s >= RESEND_S:
            return True
        return age_s >= self._ttl_s / RENEWALS_PER_TTL

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


def _order(account: HostAccount, tier: int, weight: float, now_s: float) -> float:
    """Put the least slack first; where deadlines are missed, after those, the least served."""
    slack_s = account.slack_s(tier, now_s)
    return slack_s if slack_s >= 0 else LATE_ORDER_S + account.total / weight


class _FreeSlots:
    """Free slots by server, given out from the server with the largest part free."""

    def __init__(self, free: dict[str, int], capacity: dict[str, int]) -> None:
        self._heap = [
            (-count / max(1, capacity[server]), server, count)
            for server, count in free.items()
            if count > 0
        ]
        self._capacity = capacity
        self.total = sum(count for _, _, count in self._heap)
        heapq.heapify(self._heap)

    def give(self, account: HostAccount) -> None:
        """Raise a host's level by one slot, if any is free."""
        if not self._heap:
            return
        _, server, count = heapq.heappop(self._heap)
        self.total -= 1
        account.level[server] = account.level.get(server, 0) + 1
        account.dirty = True
        if count > 1:
            part = -(count - 1) / max(1, self._capacity[server])
            heapq.heappush(self._heap, (part, server, count - 1))


__all__ = ["NO_FLOOR", "Allocator"]
