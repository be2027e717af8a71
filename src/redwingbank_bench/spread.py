"""Compares strategies for distributing a new table to the 40 hosts of a data centre.

All hosts run in one process, with control sockets and pulls on loopback. The table has 5,100
organisations, of which one row changes.

- `direct`: the two relays notify all hosts, which pull from them.
- `tree`: each host notifies and serves a bounded number of others, as in Zigzag's tree of
  clusters. Rendezvous ranks define the tree, so that no protocol has to maintain it.
- `gossip`: each host notifies a few random hosts, as the daemon does.

With each strategy every host also compares revisions with a random other host at each
heartbeat. Dead hosts are in the view but don't answer.
"""

from __future__ import annotations

import math
import time
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

import anyio
from cyclopts import App

from redwingbank.messages import Heartbeat, Member, MemberState, Pulled, Received
from redwingbank.ports.peers import Peers
from redwingbank.ports.pulls import Pulls
from redwingbank.rules.membership import PUSH_FANOUT
from redwingbank.rules.pages import Head, missing_pages, pack
from redwingbank.rules.rendezvous import ranked
from redwingbank.rules.table_change import apply_change, change_name, encode_change
from redwingbank.settings import Address, PeerKey, Settings
from redwingbank.tasks.fetch import is_page
from redwingbank.tasks.tables import RELAYS
from redwingbank_bench.report import print_figures, print_table

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from redwingbank_bench.options import Options

HOSTS = 40
TREE_DEGREE = 3
ORGANISATIONS = 5_100
HEARTBEAT_S = 0.5
TIMEOUT_S = 15.0
DEAD_COUNTS = (0, 4)
LOOPBACK = Address("127.0.0.1", 0)
KEYS = (PeerKey(1, b"a secret of the experiment"),)
DATA_CENTRE = "centre-1"
UNLIMITED = 10**9


class StoredTable(NamedTuple):
    """A table as stored; `hops` is the number of pulls between its first host and this one."""

    head: Head
    pages_by_name: dict[str, bytes]
    hops: int
    change: bytes = b""

    @property
    def revision(self) -> int:
        """The table's revision."""
        return self.head.revision


class Figures(NamedTuple):
    """The cost of one distribution: seconds, and totals or maxima over all hosts."""

    way: str
    dead: int
    reached: int
    took_s: float
    messages: int
    pulls: int
    bytes_out: int
    most_pulls_served: int
    most_told: int
    hops: int


Targets = dict[str, list[str]]


def make_sheets(changed: bool) -> dict[str, dict[str, dict[str, str]]]:
    """Build a large table; the changed one differs in one limit."""
    rows = {
        f"organisation-{number}": {
            "key_hash": f"{number:064x}",
            "default_class": "question",
            "concurrency": "50",
        }
        for number in range(ORGANISATIONS)
    }
    if changed:
        rows["organisation-7"]["concurrency"] = "60"
    return {"organisations": rows}


def make_tables() -> tuple[StoredTable, StoredTable]:
    """Pack the table before and after the change."""
    old = pack(make_sheets(changed=False))
    new = pack(make_sheets(changed=True), old.root)
    old_head = Head(1, old.root, "0" * 32, "operator", 0.0)
    new_head = Head(2, new.root, "1" * 32, "operator", 0.0)
    change = encode_change(old_head, new_head) or b""
    return (
        StoredTable(old_head, old.values_by_name, 0),
        StoredTable(new_head, new.values_by_name, 0, change),
    )


class SpreadHost:
    """A host that pulls a newer table from the sender of its revision and notifies its targets."""

    def __init__(self, name: str, table: StoredTable, random: Random) -> None:
        settings = Settings(
            name, DATA_CENTRE, LOOPBACK, LOOPBACK, LOOPBACK, KEYS, control_bytes_per_s=UNLIMITED
        )
        self.name = name
        self.table = table
        self.peers = Peers(settings, name, time.time_ns())
        self.pulls = Pulls(self.peers, self.lookup, lambda: self.heartbeat(reply=True))
        self.address_by_host: dict[str, str] = {}
        self.targets: list[str] = []
        self.pulls_served = 0
        self.pulls_sent = 0
        self.applied_s = 0.0
        self._random = random
        self._pulling = False

    def lookup(self, names: tuple[str, ...]) -> Pulled:
        """Answer a pull; an extra page `hops` carries the number of hops."""
        values = {change_name(1): self.table.change, **self.table.pages_by_name}
        self.pulls_served += 1
        found = {name: values[name] for name in names if name in values}
        return Pulled(self.table.revision, {**found, "hops": bytes([self.table.hops])})

    def heartbeat(self, *, reply: bool) -> Heartbeat:
        """Build a heartbeat with the table's revision."""
        own = Member(
            self.name, DATA_CENTRE, self.peers.address, 1, MemberState.ALIVE, self.table.revision
        )
        return Heartbeat(reply, self.table.revision, (own,))

    async def run(self, group: TaskGroup) -> None:
        """Serve until cancelled."""
        received, inbox = anyio.create_memory_object_stream[Received](math.inf)
        await group.start(self.peers.run, received)
        group.start_soon(self.pulls.run)
        group.start_soon(self._compare)
        async for message in inbox:
            await self._handle_message(message, group)

    async def apply_table(self, table: StoredTable) -> None:
        """Apply a newer table and notify the targets."""
        self.table = table
        self.applied_s = time.monotonic()
        for host in self.targets:
            address = self.address_by_host[host]
            await self.peers.send(address, self.heartbeat(reply=True))

    async def _handle_message(self, message: Received, group: TaskGroup) -> None:
        heartbeat = message.message
        if not isinstance(heartbeat, Heartbeat):
            return
        if not heartbeat.reply:
            await self.peers.send(message.address, self.heartbeat(reply=True))
        if heartbeat.revision > self.table.revision and not self._pulling:
            self._pulling = True
            group.start_soon(self._pull, message.address)

    async def _pull(self, address: str) -> None:
        table = await self._fetch_table(address)
        self._pulling = False
        if table:
            await self.apply_table(table)

    async def _fetch_table(self, address: str) -> StoredTable | None:
        self.pulls_sent += 1
        name = change_name(self.table.revision)
        answer = await self.pulls.pull(address, (name,))
        change = answer.values_by_name.get(name, b"") if answer else b""
        if answer is None or not change:
            return None
        head = apply_change(self.table.head, change)
        names = missing_pages(head.root, self.table.pages_by_name)
        pages = await self.pulls.pull(address, names)
        if pages is None:
            return None
        fetched = {name: pages.values_by_name.get(name, b"") for name in names}
        if not all(is_page(name, value) for name, value in fetched.items()):
            return None
        values = {**self.table.pages_by_name, **fetched}
        hops = answer.values_by_name["hops"][0] + 1
        return StoredTable(head, values, hops, change)

    async def _compare(self) -> None:
        others = sorted(set(self.address_by_host) - {self.name})
        await anyio.sleep(self._random.random() * HEARTBEAT_S)
        while True:
            address = self.address_by_host[self._random.choice(others)]
            await self.peers.send(address, self.heartbeat(reply=False))
            await anyio.sleep(HEARTBEAT_S)


def direct(names: list[str], random: Random) -> Targets:
    """Let each relay notify an equal share of the other hosts."""
    relays = list(ranked("relays", names)[:RELAYS])
    rest = [name for name in names if name not in relays]
    return {relay: rest[index::RELAYS] for index, relay in enumerate(relays)}


def tree(names: list[str], random: Random) -> Targets:
    """Let each host notify the `TREE_DEGREE` hosts below it; the relays are the roots."""
    order = ranked("relays", names)
    return {
        name: list(order[RELAYS + index * TREE_DEGREE : RELAYS + (index + 1) * TREE_DEGREE])
        for index, name in enumerate(order)
    }


def gossip(names: list[str], random: Random) -> Targets:
    """Let each host notify a few random others."""
    return {
        name: random.sample([item for item in names if item != name], PUSH_FANOUT)
        for name in names
    }


STRATEGIES: dict[str, Callable[[list[str], Random], Targets]] = {
    "direct": direct,
    "tree": tree,
    "gossip": gossip,
}


async def spread_once(
    way: str, dead: int, seed: int, old: StoredTable, new: StoredTable
) -> Figures:
    """Distribute the changed table once; no relay is dead, since relays are monitored."""
    random = Random(seed)
    names = [f"entry-{number}" for number in range(1, HOSTS + 1)]
    relays = ranked("relays", names)[:RELAYS]
    dead_hosts = set(random.sample([name for name in names if name not in relays], dead))
    hosts = {name: SpreadHost(name, old, random) for name in names}
    for host in hosts.values():
        await host.peers.bind()
    addresses = {name: host.peers.address for name, host in hosts.items()}
    targets = STRATEGIES[way](names, random)
    alive = [host for name, host in hosts.items() if name not in dead_hosts]
    async with anyio.create_task_group() as group:
        for host in alive:
            host.address_by_host = addresses
            host.targets = targets.get(host.name, [])
            group.start_soon(host.run, group)
        await anyio.sleep(HEARTBEAT_S)
        before = _sent_totals(alive)
        began_s = time.monotonic()
        for relay in relays:
            await hosts[relay].apply_table(new)
        await _wait_until_applied(alive, new.revision)
        figures = _figures(way, dead, alive, began_s, before)
        group.cancel_scope.cancel()
    await _close(hosts.values())
    return figures


async def _close(hosts: Any) -> None:
    for host in hosts:
        await host.peers.close()


def _sent_totals(hosts: list[SpreadHost]) -> tuple[int, int]:
    counters = [host.peers.counters for host in hosts]
    messages = sum(counter.messages_out["heartbeat"] for counter in counters)
    return messages, sum(sum(counter.bytes_out.values()) for counter in counters)


async def _wait_until_applied(hosts: list[SpreadHost], revision: int) -> None:
    with anyio.move_on_after(TIMEOUT_S):
        while any(host.table.revision < revision for host in hosts):  # noqa: ASYNC110
            await anyio.sleep(0.002)


def _figures(
    way: str, dead: int, alive: list[SpreadHost], began_s: float, before: tuple[int, int]
) -> Figures:
    reached = [host for host in alive if host.applied_s]
    messages, sent = _sent_totals(alive)
    return Figures(
        way,
        dead,
        len(reached),
        round(max(host.applied_s for host in reached) - began_s, 4),
        messages - before[0],
        sum(host.pulls_sent for host in alive),
        sent - before[1],
        max(host.pulls_served for host in alive),
        max(len(host.targets) for host in alive),
        max(host.table.hops for host in reached),
    )


async def compare(seed: int) -> list[Figures]:
    """Run each strategy once with all hosts alive and once with some dead."""
    old, new = make_tables()
    return [
        await spread_once(way, dead, seed, old, new) for dead in DEAD_COUNTS for way in STRATEGIES
    ]


async def measure(options: Options) -> dict[str, Any]:
    """Compare the strategies over several seeds."""
    rows = [
        figures
        for number in range(options.runs)
        for figures in await compare(options.seed + number)
    ]
    print_table(f"{HOSTS} hosts, one row of {ORGANISATIONS} changed", Figures._fields, rows)
    return {"spread": [row._asdict() for row in rows]}


def run(seed: int) -> None:
    """Compare the strategies once; the last line of output is JSON."""
    rows = anyio.run(compare, seed)
    print_table(f"{HOSTS} hosts, one row of {ORGANISATIONS} changed", Figures._fields, rows)
    print_figures(
        {"experiment": "spread", "seed": seed, "spread": [row._asdict() for row in rows]}
    )


app = App(name="spread", help="Compare strategies for distributing a table.")


@app.default
def main(*, seed: int = 1) -> None:
    """Compare the strategies once."""
    run(seed)


if __name__ == "__main__":
    app()

__all__ = ["compare", "main", "measure", "run", "spread_once"]
