"""Steps of tasks/orders.feature."""

from __future__ import annotations

from collections import Counter

import anyio
from behave import given, then, when

from memory_platform import MemoryPlatform
from redwingbank.events import EventLog
from redwingbank.rules.lease import decode_lease
from redwingbank.rules.orders import LOADS, Held, OrderKind, Wanted
from redwingbank.tasks.orders import PoolOrders

LOADS_PER_S = 1.0
STEP_S = 1.0
MODEL, ADAPTER, ROLE = "desk-model", "clyde-notes", "prefill"


class Engine:
    """What one engine has, and whose orders it obeyed."""

    def __init__(self, *, full, checked):
        self.models = {MODEL, ADAPTER} if full else set()
        self.role = ROLE if full else ""
        self.checked = checked
        self.newest = 0

    def obey(self, order, fencing):
        if self.checked and fencing < self.newest:
            return False
        self.newest = max(self.newest, fencing)
        if order.kind is OrderKind.CHANGE_ROLE:
            self.role = order.argument
        else:
            self.models.add(order.argument)
        return True


class Hub:
    """Engines by address, seen from every host; `deaf` engines hear no order."""

    def __init__(self, engines):
        self.engines = engines
        self.deaf = False
        self.given = []
        self.obeyed = []

    def of(self, host, freeze=None):
        return HostEngines(self, host, freeze)


class HostEngines:
    """One host's client; `freeze` runs while an order of this host is on its way."""

    def __init__(self, hub, host, freeze):
        self.hub = hub
        self.host = host
        self.freeze = freeze

    async def read_state(self, address):
        engine = self.hub.engines[address]
        return Held(frozenset(engine.models), engine.role)

    async def send_order(self, order, fencing):
        self.hub.given.append(order)
        if self.freeze:
            freeze, self.freeze = self.freeze, None
            await freeze()
        if self.hub.deaf:
            return None
        obeyed = self.hub.engines[order.address].obey(order, fencing)
        if obeyed:
            self.hub.obeyed.append(self.host)
        return obeyed


class World:
    """Two hosts with one clock, one platform and some engines."""

    def __init__(self, count, *, full=False, checked=True):
        self.now_s = 0.0
        self.platform = MemoryPlatform()
        names = [f"engine-{number}" for number in range(count)]
        self.hub = Hub({name: Engine(full=full, checked=checked) for name in names})
        self.hosts = {}
        for host in ("a", "b"):
            self.hosts[host] = self.host(
                host, [Wanted(n, n, MODEL, (ADAPTER,), ROLE) for n in names]
            )

    def host(self, name, wanted):
        orders = PoolOrders(
            MODEL,
            name,
            self.platform,
            self.hub.of(name),
            EventLog(name, "clyde"),
            LOADS_PER_S,
            lambda: self.now_s,
        )
        orders.wanted = tuple(wanted)
        return orders

    async def run(self, names, seconds):
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            for name in names:
                await self.hosts[name].tick()
            self.now_s += STEP_S


@given("orders of hosts a and b for {count:d} engines without model, adapter and role")
def engines_empty(context, count):
    context.world = World(count)


@given("orders of hosts a and b for {count:d} engines with all of it")
def engines_full(context, count):
    context.world = World(count, full=True)


@given("orders of hosts a and b for {count:d} engines whose fencing is {fencing}")
def engines_fencing(context, count, fencing):
    context.world = World(count, full=True, checked=fencing == "checked")


@when("the orders of host a run for {seconds:d} s")
def run_one(context, seconds):
    anyio.run(context.world.run, ("a",), seconds)


@when("the orders of hosts a and b run for {seconds:d} s in turns")
def run_both(context, seconds):
    anyio.run(context.world.run, ("a", "b"), seconds)


@when("the orders' engines hear nothing for {seconds:d} s while the orders of host a run")
def run_deaf(context, seconds):
    context.world.hub.deaf = True
    run_one(context, seconds)
    context.world.hub.deaf = False


@when("the orders' platform is {state} and the orders of host a run for {seconds:d} s")
def run_platform(context, state, seconds):
    fault = "down" if state == "down" else None
    context.world.platform.fault = lambda kind, key: fault
    run_one(context, seconds)


@then("the orders' engines have the model, the adapter and the role")
def have_all(context):
    for engine in context.world.hub.engines.values():
        assert engine.models == {MODEL, ADAPTER}, engine.models
        assert engine.role == ROLE


@then("the orders' lease is free and its number is {number:d}")
def lease_free(context, number):
    objects = context.world.platform.shared.objects
    record = decode_lease(objects.get("leases/orders/desk-model").value)
    assert (record.released, record.number) == (True, number)


@then("the orders given are {count:d}, none of them twice")
def given_once(context, count):
    assert len(context.world.hub.given) == count, len(context.world.hub.given)
    assert len(set(context.world.hub.given)) == count


@then("the orders' platform saw no call")
def no_call(context):
    assert not context.world.platform.shared.calls


@then("the orders that load were at most {most:d}")
def loads_at_most(context, most):
    loads = [order for order in context.world.hub.given if order.kind in LOADS]
    assert 0 < len(loads) <= most, len(loads)


@then(
    "the orders to load were {loads:d} for each name, and to change the role more than {least:d}"
)
def counts(context, loads, least):
    counted = Counter(order.kind for order in context.world.hub.given)
    assert counted[OrderKind.LOAD_MODEL] == counted[OrderKind.LOAD_ADAPTER] == loads
    assert counted[OrderKind.CHANGE_ROLE] > least


@given("the orders lack {mechanism}")
def lack(context, mechanism):
    context.lacking = mechanism


def look_away(keeper):
    """The variant whose holder gives orders without a look at the clock."""
    keeper.fencing = lambda: keeper.lease._record.number


def freeze_before_check(orders, freeze):
    """Freeze once between taking the lease and the look at the clock."""
    keep = orders.keeper.keep

    async def keep_and_freeze():
        held = await keep()
        orders.keeper.keep = keep
        await freeze()
        return held

    orders.keeper.keep = keep_and_freeze


def freeze_after_check(orders, freeze):
    """Freeze once while an order is on its way."""
    orders._engines.freeze = freeze


FREEZES = {"before its check": freeze_before_check, "after its check": freeze_after_check}


async def let_run(world, orders, seconds):
    end_s = world.now_s + seconds
    while world.now_s < end_s:
        await orders.tick()
        world.now_s += STEP_S


async def freeze_and_go_on(world, moment, seconds, role, lacking):
    """Host a starts to order "prefill"; while it is frozen b orders another role."""
    (engine,) = world.hub.engines.values()
    engine.role = ""
    first, second = world.hosts["a"], world.hosts["b"]
    second.wanted = tuple(wanted._replace(role=role) for wanted in second.wanted)
    if lacking == "the look at the clock":
        look_away(first.keeper)

    async def freeze():
        await let_run(world, second, seconds)
        assert engine.role == role
        world.hub.obeyed.clear()

    FREEZES[moment](first, freeze)
    await first.tick()
    world.after = list(world.hub.obeyed)
    if lacking != "levels":
        await let_run(world, second, 30)


@when('the orders\' host a freezes {moment} for {seconds:d} s while b wants role "{role}"')
def freezes(context, moment, seconds, role):
    lacking = getattr(context, "lacking", "")
    anyio.run(freeze_and_go_on, context.world, moment, seconds, role, lacking)


@then("the orders' engine obeyed a {times:d} times after b")
def obeyed_after(context, times):
    assert context.world.after.count("a") == times, context.world.after


@then('the orders\' engine ends with role "{role}"')
def ends_with(context, role):
    (engine,) = context.world.hub.engines.values()
    assert engine.role == role


@then('the orders\' engine does not end with role "{role}"')
def ends_without(context, role):
    (engine,) = context.world.hub.engines.values()
    assert engine.role != role
