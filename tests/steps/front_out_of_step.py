"""Steps of front/out_of_step.feature."""

from __future__ import annotations

import asyncio
from unittest import mock

from behave import then, when
from front_stream_versions import Stream, start_hosts

from forward_fleet import POOL, Links
from front_rig import LOOPBACK, entry, run_scenario, table
from redwingbank.clock import now_s
from redwingbank.front import stream_binding
from redwingbank.settings import Address
from redwingbank_standins.backend_server import BackendServer

# Streams are not named within so many seconds of a host's start.
WATCHED_S = 1.0
TIMEOUT_MS = 500
# right after the servers joined, and when a host that lost the store knows that
SOON_S = 0.8
LATE_S = 2.5
TRIES_S = 5.0
# the two events of a stream that are left, and the pause before the first
REST_MS = 200
TAKEN_UP = 4
SLOTS = 4


class OutOfStep:
    """A host that misses what happens, and when the last of its links is back."""

    def __init__(self, rig, front, how):
        self.front, self.how = front, how
        self.proxy = next(proxy for proxy, _ in rig._others[-1:])
        self.missed = []
        self.still = how.startswith("standing still")
        if self.still or "store" in how:
            self.proxy.set_mode("silent")
        peers = front.router.peers
        self.deliver = peers.datagram_received
        if self.still:
            peers.datagram_received = lambda *datagram: self.missed.append(datagram)
            front.router.versions.observe = lambda *observed: None
        elif "hosts" in how:
            peers.datagram_received = lambda *datagram: None
            peers.send = lambda *message: None

    def go_on(self):
        """Let a host that stood still read what has arrived."""
        if self.still:
            self.proxy.set_mode("pass")
            self.front.router.peers.datagram_received = self.deliver
            for datagram in self.missed:
                self.deliver(*datagram)


async def let_join(rig, version, server=None, service=POOL):
    """Start a server of a version, under its former name if it is one that served before."""
    if server:
        server.restart(version)
    else:
        server = BackendServer(f"i-{version}", "stream", version)
        rig.backend_servers.append(server)
        rig.addresses[server.name] = await server.start(Address(LOOPBACK, 0))
    server.pause_s = 0.05
    listed = entry(rig.addresses[server.name], version=version, started_ms=server.started_ms)
    await rig.store.put("servers", server.name, listed | {"service": service})


async def begin_at(rig, context, version, within_s):
    """Begin streams at the first host until some did at a version, or a time has passed."""
    begun, ends_s = [], now_s() + within_s
    while len(begun) < TAKEN_UP and now_s() < ends_s:
        # as many at once as all servers have slots, so that each gets some
        streams = [Stream(next(context.numbers)) for _ in range(SLOTS * len(rig.addresses))]
        await asyncio.gather(*(stream.read(rig, rig.front, until=2) for stream in streams))
        begun += [stream for stream in streams if stream.versions == {version}]
    begun = begun[:TAKEN_UP]
    context.streams += begun
    return begun


async def take_up(rig, streams, front, named):
    for stream in streams:
        stream.first_id = stream.first_id if named == "by name" else ""
    await asyncio.gather(*(stream.read(rig, front) for stream in streams))


async def lead_to_helper(front, helper):
    """Cut a host off from the servers, with one helper to choose."""
    links = Links(front)
    await links.insert()
    links.set_mode("reset")
    forwarding = front.router.forwarding
    forwarding.update = lambda *_: None
    forwarding.cut_pools.add(POOL)
    forwarding.pick = lambda pool, tried: "" if tried else helper
    return links


@when("the last host is {how}, {what} with v2, and streams begun there are taken up {named}")
@when("the last host is {how}, {what} of v2 join, and streams begun there are taken up {named}")
def out_of_step(context, how, what, named):
    context.rig.bounds |= {"contactMs": 3000, "revokeMs": 20_000}

    async def scenario(rig):
        fronts = await start_hosts(context, rig)
        await asyncio.sleep(1.5 * WATCHED_S)
        last = OutOfStep(rig, fronts[-1], how)
        await let_join(rig, "v2", rig.backend_servers[0] if "is back" in what else None)
        soon = await begin_at(rig, context, "v2", SOON_S)
        where, links = fronts[-1], None
        if "helper" in how:
            where, links = fronts[1], await lead_to_helper(fronts[1], "edge-3")
        if how.endswith("moment"):
            last.go_on()
        if how != "standing still":
            await take_up(rig, soon, where, named)
        await asyncio.sleep(LATE_S)
        late = await begin_at(rig, context, "v2", TRIES_S)
        assert len(late) == TAKEN_UP
        if how == "standing still":
            last.go_on()
        await take_up(rig, [*soon, *late] if how == "standing still" else late, where, named)
        if links:
            links.stop()

    with mock.patch.object(stream_binding, "MIN_WATCHED_S", WATCHED_S):
        run_scenario(context.rig, scenario, table(timeout_ms=TIMEOUT_MS))


@when(
    "the last host is cut off from the store until servers of v2 have left, {history},"
    " and streams begun there are taken up {named}"
)
def come_and_gone(context, history, named):
    async def scenario(rig):
        fronts = await start_hosts(context, rig)
        await asyncio.sleep(1.5 * WATCHED_S)
        last = OutOfStep(rig, fronts[-1], "cut off from the store")
        await let_join(rig, "v2")
        await asyncio.sleep(LATE_S)
        begun = await begin_at(rig, context, "v2", TRIES_S)
        assert len(begun) == TAKEN_UP
        await rig.store.delete("servers", "i-v2")
        if "dropped" in history:
            rig.store.forget_history()
        last.proxy.set_mode("pass")
        freshness = fronts[-1].router.freshness
        await rig.until(lambda: freshness.servers_age_s(now_s()) < WATCHED_S)
        await take_up(rig, begun, fronts[-1], named)

    with mock.patch.object(stream_binding, "MIN_WATCHED_S", WATCHED_S):
        run_scenario(context.rig, scenario, table(timeout_ms=TIMEOUT_MS))


@when(
    "{seconds:d} s pass, and {count:d} callers take their streams up at each host without a name"
)
def in_step(context, seconds, count):
    async def scenario(rig):
        fronts = await start_hosts(context, rig)
        await asyncio.sleep(seconds)
        context.questions = []
        for front in fronts:
            begun = await begin_at(rig, context, "v1", TRIES_S)
            assert len(begun) == count
            check = front.router.freshness.list_check
            with mock.patch.object(check, "_ask", wraps=check._ask) as ask:
                await take_up(rig, begun, front, "without a name")
            context.questions.append(ask.call_count)

    with mock.patch.object(stream_binding, "MIN_WATCHED_S", WATCHED_S):
        run_scenario(context.rig, scenario, table(timeout_ms=TIMEOUT_MS))


@then(
    "the streams of a host were taken up within {most_ms:d} ms,"
    " with {most:d} questions to the store at most"
)
def soon_and_cheap(context, most_ms, most):
    took_s = [stream.took_s for stream in context.streams]
    assert max(took_s) * 1000 < most_ms + REST_MS, took_s
    assert all(0 < count <= most for count in context.questions), context.questions


def route_changed(change):
    """Return a newer table, in which the route of streams leads to another service."""
    shares = [{"service": POOL, "weight": 1.0}, {"service": "pool-2", "weight": 1.0}]
    leads_to = {"split": shares} if "split" in change else {"service": "pool-2"}
    content = table(2, timeout_ms=TIMEOUT_MS)
    content["services"].append(content["services"][0] | {"name": "pool-2"})
    content["routes"][-1] |= leads_to
    return content


@when(
    "the route of streams {change} to another service of v2,"
    " and streams begun there are taken up at {where}"
)
def routes_change(context, change, where):
    context.rig.bounds |= {"revokeMs": 20_000}

    async def scenario(rig):
        fronts = await start_hosts(context, rig)
        await let_join(rig, "v2", service="pool-2")
        await asyncio.sleep(1.5 * WATCHED_S)
        begun = await begin_at(rig, context, "v1", TRIES_S)
        if "cut off" in where:
            OutOfStep(rig, fronts[-1], where)
        await rig.store.put("config", "main", route_changed(change))
        informed = fronts[0] if "cut off" in where else fronts[-1]
        await rig.until(lambda: informed.router.tables.table.revision > 1)
        await take_up(rig, begun, fronts[-1], "without a name")
        for wait_s in (0.0, LATE_S):
            await asyncio.sleep(wait_s)
            begun = await begin_at(rig, context, "v2", TRIES_S)
            await take_up(rig, begun, fronts[-1], "without a name")

    with mock.patch.object(stream_binding, "MIN_WATCHED_S", WATCHED_S):
        run_scenario(context.rig, scenario, table(timeout_ms=TIMEOUT_MS))
