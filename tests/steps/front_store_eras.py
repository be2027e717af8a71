"""Steps of front/store_eras.feature."""

from __future__ import annotations

import asyncio
from contextlib import ExitStack
from unittest import mock

from behave import given, then, when

from front_rig import Rig, entry, run_scenario, table
from redwingbank.clock import now_s
from redwingbank.front.digest import Answer, News
from redwingbank.front.directory import ServerRegistry
from redwingbank.front.freshness import Freshness
from redwingbank.front.values import ServerEntry
from redwingbank.settings import Address

JOINED = ("i-11", "i-12", "i-13")
RELAY = "host-9"
SOON_S = 0.8
# time until the operator writes again what the copy lacks
AWAY_S = 1.5


class Drill:
    """What the steps do to the store in a scenario, in order, and to which hosts."""

    def __init__(self, hosts):
        self.rig = Rig(modes=["ok", "ok", "ok"])
        self.hosts = hosts
        self.steps = []
        self.patches = []

    def play(self):
        async def scenario(rig):
            self.fronts = await rig.start_hosts(self.hosts)
            rig.store.keep_copy()
            await rig.store.put("config", "main", table(2))
            await self.join()
            await self.until(lambda front: front.router.tables.table.revision == 2)
            await self.until(lambda front: set(JOINED) <= set(listed(front)))
            for step in self.steps:
                await step()

        with ExitStack() as stack:
            for patch in self.patches:
                stack.enter_context(patch)
            run_scenario(self.rig, scenario)

    async def join(self, started_ms=1):
        for number, name in enumerate(JOINED):
            address = f"127.0.0.1:{9 + number}"
            await self.rig.store.put("servers", name, entry(address, started_ms=started_ms))

    async def until(self, known, within_s=5.0):
        await self.rig.until(lambda: all(map(known, self.fronts)), within_s)

    def usable(self):
        return [{one.name for one in front.router.servers.usable("pool")} for front in self.fronts]


def listed(front):
    return front.router.servers.entries_by_name


@given("{hosts:d} hosts that know a table and three servers written since a copy was kept")
def hosts_know(context, hosts):
    context.drill = Drill(hosts)


@given("the news of relays are lost from now on")
def news_lost(context):
    def lose(self, news: News):
        pass

    async def begin():
        patch = mock.patch.object(Freshness, "handle_news", lose)
        patch.start()
        for front in context.drill.fronts:
            front.router.peers.on_news = lambda news: None
        patch.stop()

    context.drill.steps.append(begin)


@given("a server of the copy drains since, and one has left")
def drains_and_leaves(context):
    drill = context.drill

    async def leave():
        rig = drill.rig
        await rig.store.put("servers", "i-1", entry(rig.addresses["i-1"], state="draining"))
        await rig.store.delete("servers", "i-2")
        await drill.until(lambda front: listed(front)["i-1"].draining)
        await drill.until(lambda front: "i-2" not in listed(front))

    drill.steps.append(leave)


@when("the store comes back from the copy {drills:d} times, {seconds:g} s apart")
def comes_back(context, drills, seconds):
    drill = context.drill

    async def come_back():
        store = drill.rig.store
        for number in range(drills):
            store.fault = "reset"
            await asyncio.sleep(SOON_S)
            await store.come_back()
            if number < drills - 1:
                store.fault = ""
                await drill.join()
                await asyncio.sleep(seconds)
        # what is written next precedes the return of any watch
        asyncio.get_running_loop().call_later(0.05, setattr, store, "fault", "")

    drill.steps.append(come_back)


@when("a table without the key is written, under a revision that was given out before")
def key_taken(context):
    drill = context.drill

    async def write():
        store = drill.rig.store
        given_out = max(front.router.freshness._servers.revision for front in drill.fronts)
        await store.put("config", "main", table(3, keys=("key-2",)))
        assert store.revision <= given_out
        await drill.join(started_ms=2)
        await store.put("servers", "i-14", entry("127.0.0.1:20"))

    drill.steps.append(write)


@when("the key is taken away, and the first host starts again as the store is back from the copy")
def starts_in_drill(context):
    drill = context.drill
    context.statuses = []

    async def ask_until_written_again(rig):
        while rig.front.router.tables.table is None or rig.store.revoked:
            await asyncio.sleep(0.02)
            context.statuses.append((await rig.ask("read")).status)

    async def start_again():
        rig = drill.rig
        rig.store.revoked = True
        await rig.store.put("config", "main", table(3, keys=("key-2",)))
        await drill.until(lambda front: front.router.tables.table.revision == 3)
        await rig.kill_first()
        await rig.store.come_back()
        written = asyncio.get_running_loop().call_later(
            AWAY_S, lambda: asyncio.ensure_future(write_again(rig.store))
        )
        start = asyncio.create_task(rig.restart_first())
        await asyncio.sleep(0.05)
        await ask_until_written_again(rig)
        await start
        await rig.until(lambda: rig.front.router.tables.table.revision == 3)
        written.cancel()
        context.other_key = (await rig.ask("read", key="key-2")).status

    async def write_again(store):
        await store.put("config", "main", table(3, keys=("key-2",)))
        store.revoked = False

    drill.steps.append(start_again)
    drill.play()


@then("that host accepts it at no time, and another key once the table is written again")
def key_refused(context):
    assert len(context.statuses) > 10, context.statuses
    assert 200 not in context.statuses, context.statuses
    assert context.other_key == 200


@then("every host knows that table within {within:g} s")
def table_known(context, within):
    drill = context.drill
    drill.steps.append(
        lambda: drill.until(lambda front: front.router.tables.table.revision == 3, within)
    )


@then("every host knows the servers that are written again within {within:g} s")
def servers_known(context, within):
    drill = context.drill
    wanted = dict.fromkeys(JOINED, 2) | {"i-14": 1}

    def known(front):
        started_by_name = {name: one.started_ms for name, one in listed(front).items()}
        return wanted.items() <= started_by_name.items()

    drill.steps.append(lambda: drill.until(known, within))
    drill.play()


@then(
    "for {seconds:g} s every host uses the newer table,"
    " and neither the draining server nor the one that left"
)
def nothing_undone(context, seconds):
    drill = context.drill

    async def watch():
        ends_s = now_s() + seconds
        while now_s() < ends_s:
            assert all(front.router.tables.table.revision == 2 for front in drill.fronts)
            assert all(not usable & {"i-1", "i-2"} for usable in drill.usable()), drill.usable()
            await asyncio.sleep(0.02)

    drill.steps.append(watch)


@then("after {seconds:g} s the draining server is still not used")
def still_drained(context, seconds):
    drill = context.drill

    async def look():
        await asyncio.sleep(seconds - 3)
        assert all(usable == {"i-2", "i-3"} for usable in drill.usable()), drill.usable()

    drill.steps.append(look)
    drill.play()


@then("the servers that it lacks are used for {seconds:g} s more, and not after {late:g} s")
def kept_for(context, seconds, late):
    drill = context.drill

    async def look():
        await drill.until(lambda front: front.router.freshness.servers_age_s(now_s()) < SOON_S)
        await asyncio.sleep(seconds)
        assert all(set(JOINED) <= usable for usable in drill.usable()), drill.usable()
        await asyncio.sleep(late - seconds)
        assert all(usable == {"i-1", "i-2", "i-3"} for usable in drill.usable()), drill.usable()

    drill.steps.append(look)
    drill.play()


def server(name, started_ms=5, *, draining=False, port=1):
    return ServerEntry(name, "pool", Address("10.0.0.1", port), "x", 4, draining, started_ms)


HISTORY = {
    "is ready": [server("a")],
    "drained in start 5": [server("a", draining=True)],
    "departed in start 5": [server("a"), None],
    "gave its address to b": [server("a"), server("b", 9)],
}


@given('a server list in which "a" {known} before a new era at 10 s')
def known_before(context, known):
    context.servers = ServerRegistry()
    for one in HISTORY[known]:
        if one:
            context.servers.upsert(one, 1.0)
        else:
            context.servers.remove("a", 5.0)
    context.servers.begin_era(10.0)


@when('the store tells at 10.1 s that "a" {told}')
def store_tells(context, told):
    context.told = server("a", int(told.split()[-1]) if "start" in told else 5)
    apply(context, 10.1)


def apply(context, at_s):
    if believed := context.servers.believe(context.told, at_s):
        context.servers.upsert(believed, at_s)


@then('"a" may be sent to {later:g} s later: {used}')
def may_send(context, later, used):
    servers, at_s = context.servers, 10.1 + later
    apply(context, at_s)
    servers.expire(at_s)
    for one in servers.pop_due(at_s):
        servers.upsert(one, at_s)
    assert ("a" in {one.name for one in servers.usable("pool")}) == (used == "yes")


@when('the store states the era "{stated}" for {seconds:g} s, in which a table is written')
def states_era(context, stated, seconds):
    drill = context.drill

    async def state():
        store = drill.rig.store
        if stated == "1":
            store.keep_copy()
            await store.come_back()
            await drill.until(lambda front: front.router.freshness._servers.era == 2)
            await asyncio.sleep(SOON_S)
        drill.rig.front.router.log.flush()
        drill.rig.lines.clear()
        store.calls.clear()
        store.stated_era = stated
        await store.put("config", "main", table(3))
        await asyncio.sleep(seconds)
        drill.knows = drill.fronts[0].router.tables.table.revision == 3
        store.stated_era = None
        await drill.until(lambda front: front.router.tables.table.revision == 3, 2.0)
        drill.rig.front.router.log.flush()

    drill.steps.append(state)
    drill.play()


@then("the host has logged it once and has not listed again")
def logged_once(context):
    rig = context.drill.rig
    events = [line["event"] for line in rig.lines]
    assert events.count("store-era-unreadable") == 1, events
    assert "store-era" not in events, events
    lists = [call for call in rig.store.calls if call.endswith(("/servers", "/config"))]
    assert not lists, lists


@then("it knows the table {when}")
def knows_table(context, when):
    assert context.drill.knows == (when == "at once"), when


@given("it has listed era {own:d}, which it saw rise")
def has_listed(context, own):
    context.freshness.handle_new_era(own - 1, own)
    context.server_watch.era = own


@when("the relay answers in era {told:d}, and again")
def answers_in_era(context, told):
    context.freshness._servers_confirmed_s = float("-inf")
    for _ in range(2):
        context.freshness.handle_answer(Answer(now_s(), 0.1, 5, 10, 12, 0.2, told), RELAY)


@then("the answers confirm {confirmed}, and the store is asked {asked:d} times")
def confirms(context, confirmed, asked):
    is_confirmed = context.freshness.servers_age_s(now_s()) < 1
    assert is_confirmed == (confirmed == "the list")
    assert context.server_watch.interrupted == asked
