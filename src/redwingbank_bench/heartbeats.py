"""Measures a host's processor time, bytes and memory for membership and the table.

Each heartbeat is opened, decoded, applied, answered, encoded and sealed as in the daemon, but
without a socket. A host sends two heartbeats per period, receives two and answers those.
"""

from __future__ import annotations

import time
import tracemalloc
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

from cyclopts import App

from redwingbank.messages import Heartbeat, Member, MemberState
from redwingbank.ports.codec import Envelope, decode, encode
from redwingbank.ports.peers import UDP_HEADER_BYTES
from redwingbank.ports.seal import KeyRing
from redwingbank.rules.membership import Membership
from redwingbank.rules.pages import Head, encode_head, missing_pages, pack
from redwingbank.rules.table_change import encode_change, parse_pages, update_table
from redwingbank.settings import Address, PeerKey, Settings
from redwingbank_bench.report import print_figures, print_table

if TYPE_CHECKING:
    from redwingbank_bench.options import Options

HOSTS = (7, 40, 120, 390)
DATA_CENTRES = 10
HEARTBEATS = 4000
MICROSECONDS = 1_000_000
INCARNATION = 1_700_000_000_000_000
UNUSED_ADDRESS = Address("127.0.0.1", 1)
KEY = PeerKey(1, b"a secret of the experiment")
SETTINGS = Settings("entry-0", "centre-0", UNUSED_ADDRESS, UNUSED_ADDRESS, UNUSED_ADDRESS, (KEY,))
HEARTBEATS_PER_PERIOD = 2
ORGANISATIONS = 5_100
BACKEND_SERVERS = 4_200
POOLS = 60


class HeartbeatCost(NamedTuple):
    """The cost per heartbeat with its answer, and per host; sizes include all headers."""

    hosts: int
    us_a_heartbeat: float
    core_percent: float
    bytes_a_heartbeat: float
    copy_bytes: int
    kib_of_members: float


class TableCost(NamedTuple):
    """The cost of a change of one row: bytes to pull, and time to read the table.

    `whole_ms` is the time to read the whole table, `change_ms` only the change.
    """

    rows: int
    head_bytes: int
    page_bytes: int
    pages: int
    change_bytes: int
    whole_ms: float
    change_ms: float


def _member(number: int) -> Member:
    centre = f"centre-{number % DATA_CENTRES}"
    address = f"10.0.{number // 200}.{number % 200 + 1}:7080"
    return Member(f"entry-{number}", centre, address, INCARNATION, MemberState.ALIVE, 7)


def heartbeat_cost(hosts: int, seed: int) -> HeartbeatCost:
    """Measure receiving heartbeats from random members of a fleet."""
    random = Random(seed)
    members = [_member(number) for number in range(hosts)]
    ring = KeyRing((KEY,))
    own = members[0]
    tracemalloc.start()
    membership = Membership(own.host, own.data_centre, own.address, INCARNATION, SETTINGS, random)
    membership.apply_snapshot(Heartbeat(True, 7, tuple(members[1:])), 0.0)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    arrivals = [_sealed(ring, random.sample(members[1:], 2), own) for _ in range(HEARTBEATS)]
    sizes = []
    began_s = time.process_time()
    for number, data in enumerate(arrivals):
        envelope = decode(ring.open(data, own.address.encode()) or b"")
        assert envelope is not None and isinstance(envelope.message, Heartbeat)
        for sent in membership.receive(envelope.sender, envelope.message, number / 1000):
            answer = encode(Envelope(own.host, INCARNATION, number, sent.heartbeat))
            sizes.append(len(ring.seal(answer, sent.address.encode())) + UDP_HEADER_BYTES)
    us = (time.process_time() - began_s) / HEARTBEATS * MICROSECONDS
    heartbeats_per_s = HEARTBEATS_PER_PERIOD / SETTINGS.heartbeat_s
    snapshot = encode(Envelope(own.host, INCARNATION, 1, membership.snapshot(1.0)))
    return HeartbeatCost(
        hosts,
        round(us, 1),
        round(us * heartbeats_per_s / MICROSECONDS * 100, 3),
        round(sum(sizes) / len(sizes), 1),
        len(snapshot),
        round(size / 1024, 1),
    )


def _sealed(ring: KeyRing, members: list[Member], own: Member) -> bytes:
    heartbeat = Heartbeat(False, 7, tuple(members))
    packed = encode(Envelope(members[0].host, INCARNATION, 1, heartbeat))
    return ring.seal(packed, own.address.encode())


def large_sheets(concurrency: int) -> dict[str, dict[str, dict[str, str]]]:
    """Build a table of the size to design for; one organisation has the given limit."""
    organisations = {
        f"organisation-{number}": {
            "key_hash": f"{number:064x}",
            "default_class": "question",
            "concurrency": str(concurrency if number == 0 else 50),
        }
        for number in range(ORGANISATIONS)
    }
    servers = {
        f"runner-{number}": {
            "pool": f"pool-{number % POOLS}",
            "data_centre": f"centre-{number % DATA_CENTRES}",
            "address": f"10.{number // 60_000}.{number // 250 % 250}.{number % 250}:8000",
            "slots": "8",
        }
        for number in range(BACKEND_SERVERS)
    }
    question = {"tier": "1", "first_token_ms": "1800", "token_ms": "54", "give_up_s": "30"}
    return {
        "classes": {"question": question},
        "organisations": organisations,
        "pools": {f"pool-{number}": {"kind": "engine"} for number in range(POOLS)},
        "backend_servers": servers,
    }


def table_cost() -> TableCost:
    """Measure a change of one row of a large table."""
    old = pack(large_sheets(50))
    new = pack(large_sheets(60), old.root)
    names = missing_pages(new.root, old.values_by_name)
    old_head = Head(1, old.root, "0" * 32, "operator", 1.7e9)
    head = Head(2, new.root, "0" * 32, "operator", 1.7e9)
    began_s = time.process_time()
    table = parse_pages(old_head, old.values_by_name)
    whole_s = time.process_time()
    changed = update_table(table, old.values_by_name, head, new.values_by_name)
    changed_s = time.process_time()
    assert changed == parse_pages(head, new.values_by_name)
    return TableCost(
        len(table.organisations_by_name) + len(table.backend_servers_by_name),
        len(encode_head(head)),
        sum(len(new.values_by_name[name]) for name in names),
        len(old.root.digests),
        len(encode_change(old_head, head) or b""),
        round((whole_s - began_s) * 1000, 1),
        round((changed_s - whole_s) * 1000, 1),
    )


def measure_costs(seed: int) -> dict[str, Any]:
    """Measure and print both costs."""
    heartbeats = [heartbeat_cost(hosts, seed) for hosts in HOSTS]
    table = table_cost()
    print_table("heartbeats", HeartbeatCost._fields, heartbeats)
    print_table("one row of the table changed", TableCost._fields, [table])
    return {"heartbeats": [row._asdict() for row in heartbeats], "table": table._asdict()}


async def measure(options: Options) -> dict[str, Any]:
    """Measure with the options' seed."""
    return measure_costs(options.seed)


app = App(name="heartbeats", help="Measure the cost of membership and the table for a host.")


@app.default
def main(*, seed: int = 1) -> None:
    """Measure and print the costs; the last line of output is JSON."""
    print_figures({"experiment": "heartbeats", "seed": seed, **measure_costs(seed)})


if __name__ == "__main__":
    app()

__all__ = ["heartbeat_cost", "main", "measure", "measure_costs", "table_cost"]
