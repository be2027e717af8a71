"""Ways to spread a new table in a data centre of 40 hosts: pulls from relays, a tree, gossip.

Real control sockets and pulls on loopback in one process; a table of 5,100 organisations, of
which one row changes. `direct`: both relays tell all hosts, which pull from them. `tree`: each
host tells and serves a bounded number of others, as in Zigzag's tree of clusters; the tree is
made by rendezvous ranks, so that it needs no protocol to keep it. `gossip`: each host tells
a few random ones, as the daemon does. In all three every host also compares revisions with a
random other at each heartbeat. Dead hosts are in the view but do not answer.
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
DEGREE = 3
ORGANISATIONS = 5_100
HEARTBEAT_S = 0.5
LIMIT_S = 15.0
DEAD = (0, 4)
LOOPBACK = Address("127.0.0.1", 0)
KEYS = (PeerKey(1, b"a secret of the experiment"),)
DATA_CENTRE = "centre-1"
UNLIMITED = 10**9


class Stored(NamedTuple):
    """A table as stored, and how many pulls it came through."""

    head: Head
    pages_by_name: dict[str, bytes]
    hops: int
    change: bytes = b""

    @property
    def revision(self) -> int:
        """The table's revision."""
        return self.head.revision


class Figures(NamedTuple):
    """What one spread cost; times in seconds, the rest counts of all hosts or of the worst."""

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


def sheets(changed: bool) -> dict[str, dict[str, dict[str, str]]]:
    """Rows of a large table; one limit differs in the changed one."""
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


def stored() -> tuple[Stored, Stored]:
    """Pack the table and the changed one."""
    old = pack(sheets(changed=False))
    new = pack(sheets(changed=True), old.root)
    old_head = Head(1, old.root, "0" * 32, "operator", 0.0)
    new_head = Head(2, new.root, "1" * 32, "operator", 0.0)
    change = encode_change(old_head, new_head) or b""
    return (
        Stored(old_head, old.values_by_name, 0),
        Stored(new_head, new.values_by_name, 0, change),
    )


class SpreadHost:
    """A host that takes a newer table from whom it hears of it and tells its targets."""

    def __init__(self, name: str, table: Stored, random: Random) -> None:
        settings = Settings(
            name, DATA_CENTRE, LOOPBACK, LOOPBACK, LOOPBACK, KEYS, control_bytes_per_s=UNLIMITED
        )
        self.name = name
        self.table = table
        self.peers = Peers(settings, name, time.time_ns())
        self.pulls = Pulls(self.peers, self.lookup, lambda: self.heartbeat(reply=True))
        self.address_by_host: dict[str, str] = {}
        self.targets: list[str] = []
        self.served = 0
        self.pulled = 0
        self.taken_s = 0.0
        self._random = random
        self._pulling = False

    def lookup(self, names: tuple[str, ...]) -> Pulled:
        """Answer a pull; the hops are told in place of a page."""
        values = {change_name(1): self.table.change, **self.table.pages_by_name}
        self.served += 1
        found = {name: values[name] for name in names if name in values}
        return Pulled(self.table.revision, {**found, "hops": bytes([self.table.hops])})

    def heartbeat(self, *, reply: bool) -> Heartbeat:
        """Tell the revision."""
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
            await self._hear(message, group)

    async def take(self, table: Stored) -> None:
        """Put a newer table in force and tell the targets."""
        self.table = table
        self.taken_s = time.monotonic()
        for host in self.targets:
            address = self.address_by_host[host]
            await self.peers.send(address, self.heartbeat(reply=True))

    async def _hear(self, message: Received, group: TaskGroup) -> None:
        heartbeat = message.message
        if not isinstance(heartbeat, Heartbeat):
            return
        if not heartbeat.reply:
            await self.peers.send(message.address, self.heartbeat(reply=True))
        if heartbeat.revision > self.table.revision and not self._pulling:
            self._pulling = True
            group.start_soon(self._pull, message.address)

    async def _pull(self, address: str) -> None:
        table = await self._pulled(address)
        self._pulling = False
        if table:
            await self.take(table)

    async def _pulled(self, address: str) -> Stored | None:
        self.pulled += 1
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
        got = {name: pages.values_by_name.get(name, b"") for name in names}
        if not all(is_page(name, value) for name, value in got.items()):
            return None
        values = {**self.table.pages_by_name, **got}
        hops = answer.values_by_name["hops"][0] + 1
        return Stored(head, values, hops, change)

    async def _compare(self) -> None:
        others = sorted(set(self.address_by_host) - {self.name})
        await anyio.sleep(self._random.random() * HEARTBEAT_S)
        while True:
            address = self.address_by_host[self._random.choice(others)]
            await self.peers.send(address, self.heartbeat(reply=False))
            await anyio.sleep(HEARTBEAT_S)


def direct(names: list[str], random: Random) -> Targets:
    """Each relay tells half of the others."""
    relays = list(ranked("relays", names)[:RELAYS])
    rest = [name for name in names if name not in relays]
    return {relay: rest[at::RELAYS] for at, relay in enumerate(relays)}


def tree(names: list[str], random: Random) -> Targets:
    """Each host tells the `DEGREE` hosts below it; the relays are the roots."""
    order = ranked("relays", names)
    return {
        name: list(order[RELAYS + at * DEGREE : RELAYS + (at + 1) * DEGREE])
        for at, name in enumerate(order)
    }


def gossip(names: list[str], random: Random) -> Targets:
    """Each host tells a few random others."""
    return {
        name: random.sample([item for item in names if item != name], PUSH_FANOUT)
        for name in names
    }


WAYS: dict[str, Callable[[list[str], Random], Targets]] = {
    "direct": direct,
    "tree": tree,
    "gossip": gossip,
}


async def spread_once(way: str, dead: int, seed: int, old: Stored, new: Stored) -> Figures:
    """Spread the changed table once; the dead are no relays, since relays are watched."""
    random = Random(seed)
    names = [f"entry-{number}" for number in range(1, HOSTS + 1)]
    relays = ranked("relays", names)[:RELAYS]
    gone = set(random.sample([name for name in names if name not in relays], dead))
    hosts = {name: SpreadHost(name, old, random) for name in names}
    for host in hosts.values():
        await host.peers.bind()
    addresses = {name: host.peers.address for name, host in hosts.items()}
    targets = WAYS[way](names, random)
    alive = [host for name, host in hosts.items() if name not in gone]
    async with anyio.create_task_group() as group:
        for host in alive:
            host.address_by_host = addresses
            host.targets = targets.get(host.name, [])
            group.start_soon(host.run, group)
        await anyio.sleep(HEARTBEAT_S)
        before = _sent(alive)
        began_s = time.monotonic()
        for relay in relays:
            await hosts[relay].take(new)
        await _until_taken(alive, new.revision)
        figures = _figures(way, dead, alive, began_s, before)
        group.cancel_scope.cancel()
    await _close(hosts.values())
    return figures


async def _close(hosts: Any) -> None:
    for host in hosts:
        await host.peers.close()


def _sent(hosts: list[SpreadHost]) -> tuple[int, int]:
    counters = [host.peers.counters for host in hosts]
    messages = sum(counter.messages_out["heartbeat"] for counter in counters)
    return messages, sum(sum(counter.bytes_out.values()) for counter in counters)


async def _until_taken(hosts: list[SpreadHost], revision: int) -> None:
    with anyio.move_on_after(LIMIT_S):
        while any(host.table.revision < revision for host in hosts):  # noqa: ASYNC110
            await anyio.sleep(0.002)


def _figures(
    way: str, dead: int, alive: list[SpreadHost], began_s: float, before: tuple[int, int]
) -> Figures:
    taken = [host for host in alive if host.taken_s]
    messages, sent = _sent(alive)
    return Figures(
        way,
        dead,
        len(taken),
        round(max(host.taken_s for host in taken) - began_s, 4),
        messages - before[0],
        sum(host.pulled for host in alive),
        sent - before[1],
        max(host.served for host in alive),
        max(len(host.targets) for host in alive),
        max(host.table.hops for host in taken),
    )


async def compare(seed: int) -> list[Figures]:
    """Spread once each way, with all hosts well and with some dead."""
    old, new = stored()
    return [await spread_once(way, dead, seed, old, new) for dead in DEAD for way in WAYS]


async def measure(options: Options) -> dict[str, Any]:
    """Compare the ways over several seeds."""
    rows = [
        figures
        for number in range(options.runs)
        for figures in await compare(options.seed + number)
    ]
    print_table(f"{HOSTS} hosts, one row of {ORGANISATIONS} changed", Figures._fields, rows)
    return {"spread": [row._asdict() for row in rows]}


def run(seed: int) -> None:
    """Compare the ways once; the last line is JSON."""
    rows = anyio.run(compare, seed)
    print_table(f"{HOSTS} hosts, one row of {ORGANISATIONS} changed", Figures._fields, rows)
    print_figures(
        {"experiment": "spread", "seed": seed, "spread": [row._asdict() for row in rows]}
    )


app = App(name="spread", help="Compare ways to spread a table.")


@app.default
def main(*, seed: int = 1) -> None:
    """Compare the ways once."""
    run(seed)


if __name__ == "__main__":
    app()

__all__ = ["compare", "main", "measure", "run", "spread_once"]
