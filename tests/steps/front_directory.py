"""Steps of front/directory.feature."""

from __future__ import annotations

import asyncio
import contextlib
from unittest import mock

from behave import given, then, when

from front_rig import Rig, entry, route, run_scenario, table
from redwingbank.front.directory import ServerRegistry, StoreContact, TableState
from redwingbank.front.values import Bounds, Limits, RouteTable, ServerEntry
from redwingbank.settings import Address
from redwingbank_standins import objectstore


def accepted(revision):
    return RouteTable(revision, {}, {}, {}, Limits())


@given("a table state with revision {revision:d} confirmed at {at:g} s")
def table_belief(context, revision, at):
    context.tables = TableState(Bounds(revoke_s=5.0, table_s=2.0))
    assert context.tables.confirm(accepted(revision), at)


@when("the table state gets revision {revision:d} confirmed at {at:g} s")
def table_gets(context, revision, at):
    assert not context.tables.confirm(accepted(revision), at)


@then("the table state has revision {revision:d}")
def table_holds(context, revision):
    assert context.tables.table.revision == revision


@then("at {at:g} s keys are {keys} and denials are {denials}")
def ages(context, at, keys, denials):
    assert context.tables.can_trust_keys(at) == (keys == "allowed")
    assert context.tables.can_deny(at) == (denials == "allowed")


def listed(name, *, draining=False, address=None):
    port = ord((address or name)[0])
    return ServerEntry(name, "pool", Address("10.0.0.1", port), "x", 4, draining, 0)


@given('a server list of "{names}"')
def server_belief(context, names):
    context.servers = ServerRegistry()
    context.servers.replace([listed(name) for name in names.split()], 0.0)


@given('a server list of "{names}" at a host that lost the store at {at:g} s')
def lost_store(context, names, at):
    context.contact = StoreContact()
    context.contact.record(at, at)
    context.servers = ServerRegistry(context.contact.was_down)
    context.servers.replace([listed(name) for name in names.split()], at)
    context.servers.store_lost()
    context.lost_s = at


@when("other hosts reach the store until {until:g} s and again from {since:g} s on")
def others_reach(context, until, since):
    tenths = [at / 10 for at in range(int(context.lost_s * 10), 110, 5)]
    for at in tenths:
        if at <= until or at >= since:
            context.contact.record(at - 0.5, at)


@when('the store reports "{name}" removed at {at:g} s')
def removed(context, name, at):
    context.servers.remove(name, at)


@when('the store returns from an outage at {at:g} s without "{name}"')
def lost_and_back(context, at, name):
    context.servers.store_lost()
    context.servers.store_returned(at)
    rest = [one for one in context.servers.entries_by_name.values() if one.name != name]
    context.servers.replace(rest, at)


@when('the store reports "{name}" draining')
def draining(context, name):
    context.servers.upsert(listed(name, draining=True), 9.0)


@when('the store reports "{name}" written at the address of "{other}"')
def written_over(context, name, other):
    context.servers.upsert(listed(name, address=other), 10.0)


@when('the store reports "{name}" written')
def written(context, name):
    context.servers.upsert(listed(name), 10.0)


@then('the server list holds "{names}" at {at:g} s')
def holds_at(context, names, at):
    context.servers.expire(at)
    assert sorted(context.servers.entries_by_name) == names.split()


@then('the server list holds "{names}"')
def holds(context, names):
    assert sorted(context.servers.entries_by_name) == names.split()


@when("the store is silent for {passed:d} s")
def store_silent(context, passed):
    context.rig = Rig(modes=["ok"], revokeMs=3000)
    context.returned = None

    async def scenario(rig):
        context.before = await rig.ask("single")
        rig.store.fault = "silent"
        await asyncio.sleep(passed)
        context.refused = await rig.ask("single", request_id="r-2")
        context.ready = await rig.ready()
        rig.store.fault = ""
        await rig.until(rig.front.router.ready, within_s=2.0)
        context.after = await rig.ask("single", request_id="r-3")

    run_scenario(context.rig, scenario)


@then("the front refuses a keyed request and is not ready")
def refuses_key(context):
    assert context.before.status == 200
    assert context.refused.status == 503
    assert context.refused.headers["retry-after"]
    assert context.ready == 503
    events = [line["event"] for line in context.rig.lines]
    assert "store-lost" in events, events
    assert "store-regained" in events, events


@then("it serves again within 2 s of the store's return")
def serves_again(context):
    assert context.after.status == 200


@when("a table without the key is written")
def key_withdrawn(context):
    context.change = lambda rig: rig.store.put("config", "main", table(2, keys=("key-2",)))


@when("the only server's entry turns to draining")
def server_drains(context):
    async def change(rig):
        await rig.store.put("servers", "i-1", entry(rig.addresses["i-1"], state="draining"))

    context.change = change


@then("the front answers {status:d} within {within:g} s")
def answers_within(context, status, within):
    rig = Rig(modes=["ok"])

    async def scenario(rig):
        assert (await rig.ask("single")).status == 200
        await context.change(rig)
        await asyncio.sleep(within)
        return await rig.ask("single", request_id="r-2")

    assert run_scenario(rig, scenario).status == status
    assert len(rig.runs()) == 1


@when("the store drops its history and a table with a new route is written")
def history_gone(context):
    context.rig = Rig(modes=["ok"])

    async def scenario(rig):
        rig.store.forget_history()
        new = route("/new/", "idempotent")
        await rig.store.put("config", "main", table(2, routes=[new]))
        await rig.until(lambda: rig.front.router.tables.table.revision == 2, within_s=2.0)
        return await rig.ask("/new/x")

    context.answer = run_scenario(context.rig, scenario)


@then("the front serves the new route within 2 s")
def serves_new(context):
    assert context.answer.status == 200


@when("another writer adds invalid entries to the server list")
def foreign_entry(context):
    context.rig = Rig(modes=["ok"])

    async def scenario(rig):
        await rig.store.put("servers", "strange", {"service": 7, "state": "asleep"})
        await rig.store.put("servers", "stranger", "bytes")
        await asyncio.sleep(0.2)
        return await rig.ask("single")

    context.answer = run_scenario(context.rig, scenario)


@when("the list of servers has two pages, and an entry of the first one drains between them")
def drains_between_pages(context):
    async def scenario(rig):
        answer = rig.store._read
        pages = []

        async def read_paged(target):
            status, page = await answer(target)
            if "servers" in target and "watch" not in target:
                pages.append(target)
                if len(pages) == 1:
                    last = entry(rig.addresses["i-1"], state="draining")
                    await rig.store.put("servers", "i-1", last)
            return status, page

        with mock.patch.object(objectstore, "OBJECTS_PER_PAGE", 1):
            rig.store._read = read_paged
            rig.store.forget_history()
            freshness = rig.front.router.freshness
            freshness._restart(freshness._servers)
            servers = rig.front.router.servers.entries_by_name
            await rig.until(lambda: len(pages) > 1)
            with contextlib.suppress(TimeoutError):
                await rig.until(lambda: servers["i-1"].draining, within_s=1.0)
        context.draining = rig.front.router.servers.entries_by_name["i-1"].draining

    run_scenario(Rig(modes=("ok", "ok")), scenario)


@then("the front knows that the entry drains within 1 s")
def knows_draining(context):
    assert context.draining
