"""Steps of front/damaged_entries.feature."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress

from behave import then, when

from front_rig import Rig, entry, route, run_scenario, table
from odd_values import ODD_TEXT, RAW_BY_NAME
from redwingbank.clock import now_s
from redwingbank.front.hosts import KIND_HOSTS
from redwingbank.front.outbound import ConnectionPool
from redwingbank.settings import Address

SERVER = Address("127.0.0.1", 9000)
FOLLOW_S = 1.5
LARGE_FLEET_ODDITIES = (
    ("extra", "deep"),
    ("seq", "5000 digits"),
    ("slots", "2**40"),
    ("born", "2**70"),
    ("addr", "port 65536"),
    ("zone", "megabyte"),
)


class OddRig(Rig):
    """A rig whose store holds an odd entry from the start, and gets another one later."""

    def __init__(self, oddities):
        super().__init__(modes=["ok", "ok", "ok"])
        self.oddities = oddities
        for number, (_, value) in enumerate(oddities):
            self.store.raw_by_text[f"{ODD_TEXT}{number}"] = RAW_BY_NAME[value]

    async def start(self, content=None):
        await self.put_odd("early", SERVER)
        await super().start(content)

    async def put_odd(self, name, address):
        for number, (field, _) in enumerate(self.oddities):
            odd = {**entry(address), field: f"{ODD_TEXT}{number}"}
            await self.store.put("servers", f"{name}-{number}", odd)

    async def spoil(self):
        """List odd entries, one of them in place of a sound one, and a server that is new."""
        await self.put_odd("late", SERVER)
        odd = {**entry(self.addresses["i-2"]), self.oddities[0][0]: f"{ODD_TEXT}0"}
        await self.store.put("servers", "i-2", odd)
        await self.store.delete("servers", "i-3")
        await self.store.put("servers", "i-4", entry(self.addresses["i-3"]))

    async def until_followed(self, fronts):
        expected = {"i-1", "i-4"}
        lists = [front.router.servers.entries_by_name for front in fronts]
        try:
            await self.until(lambda: all(expected == set(one) for one in lists), FOLLOW_S)
        except TimeoutError:
            raise AssertionError([sorted(one) for one in lists]) from None


@when('a host follows a list of servers while some have the {field} "{value}"')
def follow_odd(context, field, value):
    context.rig = rig = OddRig([(field, value)])

    async def scenario(rig):
        await rig.spoil()
        await rig.until_followed([rig.front])
        context.fronts = [rig.front]
        context.answer = await rig.ask("single")

    run_scenario(rig, scenario)


@when("an odd entry replaces a server's just after an outage of the store")
def odd_after_outage(context):
    context.rig = rig = OddRig([("slots", "deep")])

    async def scenario(rig):
        servers, now = rig.front.router.servers, now_s()
        servers.store_lost()
        servers.store_returned(now)
        rig.front.router.freshness.store_contact._returned_s = now
        await rig.store.delete("servers", "i-3")
        odd = {**entry(rig.addresses["i-2"]), "slots": f"{ODD_TEXT}0"}
        await rig.store.put("servers", "i-2", odd)
        with suppress(TimeoutError):
            await rig.until(lambda: "i-2" not in servers.entries_by_name, FOLLOW_S)
        context.held = set(servers.entries_by_name)

    run_scenario(rig, scenario)


@then("that server is not used, while one whose entry lapsed still is")
def only_lapsed_held(context):
    assert context.held == {"i-1", "i-3"}, context.held


@when("an odd table is written, and then a sound one with a new route")
def odd_table(context):
    context.rig = rig = OddRig([("slots", "deep")])

    async def scenario(rig):
        context.fronts = [rig.front]
        odd = {**table(2), "limits": {"maxBodyBytes": f"{ODD_TEXT}0"}}
        await rig.store.put("config", "main", odd)
        await rig.until(lambda: any(line["event"] == "table-unreadable" for line in rig.lines))
        context.during = await rig.ask("single")
        new = route("/new/", "idempotent")
        await rig.store.put("config", "main", table(3, routes=[new]))
        await rig.until(lambda: rig.front.router.tables.table.revision == 3, FOLLOW_S)

    run_scenario(rig, scenario)


@then("the table before serves requests until the new one is in force")
def table_served(context):
    assert context.during.status == 200, context.during


@then("it uses the sound servers only, and logs each odd entry once")
def uses_sound(context):
    assert context.answer.status == 200, context.answer
    logged = [line for line in context.rig.lines if line["event"] == "server-unreadable"]
    assert sorted(line["server"] for line in logged) == ["early-0", "i-2", "late-0"], logged
    assert max(len(json.dumps(line)) for line in logged) < 1000


@then("no task of it has failed")
@then("no task of them has failed")
def no_errors(context):
    assert not [front for front in context.fronts if front.router.barrier.errors], (
        context.rig.lines
    )
    events = {line["event"] for line in context.rig.lines}
    assert not events & {"internal-error", "store-lost"}, events


@when("{count:d} hosts follow a list of servers while some have odd fields")
def fleet_follows(context, count):
    context.rig = rig = OddRig(LARGE_FLEET_ODDITIES)

    async def scenario(rig):
        context.fronts = await rig.start_hosts(count)
        await rig.until(lambda: all(f.router.freshness._news_from_relay for f in context.fronts))
        await rig.spoil()
        await rig.until_followed(context.fronts)

    run_scenario(rig, scenario)


@then("all use the sound servers only")
def all_followed(context):
    assert len(context.fronts) == 16


@when('a host reads a list of hosts of which one has the peer "{value}"')
def odd_host(context, value):
    context.rig = rig = Rig(modes=["ok"])
    rig.store.raw_by_text[ODD_TEXT] = RAW_BY_NAME[value]

    async def scenario(rig):
        await rig.store.put(KIND_HOSTS, "odd", {"peer": ODD_TEXT})
        front, _ = await rig.add_host("edge-2")
        context.fronts = [rig.front, front]
        known = [one.router.peers.peers_by_host for one in context.fronts]
        await rig.until(lambda: all(len(one) == 1 for one in known))
        await rig.until(lambda: any(line["event"] == "host-unreadable" for line in rig.lines))
        for one in known:
            one.clear()
        await rig.until(lambda: all(len(one) == 1 for one in known))

    run_scenario(rig, scenario)


@then("it greets the sound ones, and can still send messages")
def greeted(context):
    assert all("odd" not in one.router.peers.peers_by_host for one in context.fronts)
    no_errors(context)


@then('connecting to "{host}" and port {port:d} fails as one to an unreachable server')
def connect_fails(context, host, port):
    pool = ConnectionPool(Address(host.replace("long label", "x" * 70), port), 1.0)
    try:
        asyncio.run(pool.connect())
    except OSError:
        assert pool.contact.failed_s > 0
        return
    raise AssertionError


@when('a memo with {header} "{value}" arrives at the same time as a sound one')
def odd_header(context, header, value):
    odd = {"Token_Count": "10,5", header.replace("-", "_"): value.replace("digits", "9" * 900)}

    async def scenario(rig):
        other, _ = await rig.add_host("edge-2")
        await rig.until(lambda: rig.front.router.peers.alive(now_s()))
        sound = {"request_id": "r-2", "Token_Count": "10,5"}
        asked = [asyncio.create_task(rig.ask("memo", **each)) for each in (odd, sound)]
        load = other.router.backends.backends_by_name["i-1"].load
        with suppress(TimeoutError):
            await rig.until(lambda: len(load) and asked[0].done(), 0.5)
        context.told = len(load)
        context.status = asked[0].done() and asked[0].result().status

    run_scenario(Rig(modes=["hang"]), scenario)


@then("the first is refused as malformed, and the other host knows of the second")
def told_of_second(context):
    assert (context.status, context.told) == (400, 1), (context.status, context.told)
