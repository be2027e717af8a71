"""Steps of tasks/orders.feature."""

from __future__ import annotations

import time
from collections import Counter
from unittest import mock

import anyio
from behave import given, then, when

from memory_platform import MemoryPlatform
from redwingbank.events import EventLog
from redwingbank.rules.lease import Lease, decode_lease
from redwingbank.rules.orders import LOAD_KINDS, DesiredState, ObservedState, OrderKind
from redwingbank.settings import Address
from redwingbank.tasks.leases import LeaseKeeper
from redwingbank.tasks.orders import OrdersTask, PoolOrders
from redwingbank_standins import quickstart

LOADS_PER_S = 1.0
STEP_S = 1.0
MODEL, ADAPTER, ROLE = "desk-model", "clyde-notes", "prefill"


class Engine:
    """The state of one engine and the highest fencing number it has seen."""

    def __init__(self, *, complete, checks_fencing):
        self.models = {MODEL, ADAPTER} if complete else set()
        self.role = ROLE if complete else ""
        self.checks_fencing = checks_fencing
        self.highest_number = 0

    def execute(self, order, fencing):
        if self.checks_fencing and fencing < self.highest_number:
            return False
        self.highest_number = max(self.highest_number, fencing)
        if order.kind is OrderKind.CHANGE_ROLE:
            self.role = order.argument
        else:
            self.models.add(order.argument)
        return True


class EngineFleet:
    """Engines by address, shared by all hosts; while `unreachable` no order arrives."""

    def __init__(self, engines):
        self.engines = engines
        self.unreachable = False
        self.sent = []
        self.accepted_from = []

    def client_of(self, host, freeze=None):
        return EngineClient(self, host, freeze)


class EngineClient:
    """One host's client; `freeze` runs once while an order of this host is in transit."""

    def __init__(self, fleet, host, freeze):
        self.fleet = fleet
        self.host = host
        self.freeze = freeze

    async def read_state(self, address):
        engine = self.fleet.engines[address]
        return ObservedState(frozenset(engine.models), engine.role)

    async def send_order(self, order, fencing):
        self.fleet.sent.append(order)
        if self.freeze:
            freeze, self.freeze = self.freeze, None
            await freeze()
        if self.fleet.unreachable:
            return None
        accepted = self.fleet.engines[order.address].execute(order, fencing)
        if accepted:
            self.fleet.accepted_from.append(self.host)
        return accepted


class OrdersWorld:
    """Two hosts with a shared clock, platform and engines."""

    def __init__(self, count, *, complete=False, checks_fencing=True):
        self.now_s = 0.0
        self.platform = MemoryPlatform()
        names = [f"engine-{number}" for number in range(count)]
        self.fleet = EngineFleet(
            {name: Engine(complete=complete, checks_fencing=checks_fencing) for name in names}
        )
        self.hosts = {}
        for host in ("a", "b"):
            self.hosts[host] = self.host(
                host, [DesiredState(n, n, MODEL, (ADAPTER,), ROLE) for n in names]
            )

    def host(self, name, wanted):
        orders = PoolOrders(
            MODEL,
            name,
            self.platform,
            self.fleet.client_of(name),
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
    context.world = OrdersWorld(count)


@given("orders of hosts a and b for {count:d} engines with model, adapter and role")
def engines_full(context, count):
    context.world = OrdersWorld(count, complete=True)


@given("orders of hosts a and b for {count:d} engines whose fencing is {fencing}")
def engines_fencing(context, count, fencing):
    context.world = OrdersWorld(count, complete=True, checks_fencing=fencing == "checked")


@when("the orders of host a run for {seconds:d} s")
def run_one(context, seconds):
    anyio.run(context.world.run, ("a",), seconds)


@when("the orders of hosts a and b run for {seconds:d} s alternately")
def run_both(context, seconds):
    anyio.run(context.world.run, ("a", "b"), seconds)


@when("the orders' engines receive nothing for {seconds:d} s while the orders of host a run")
def run_unreachable(context, seconds):
    context.world.fleet.unreachable = True
    run_one(context, seconds)
    context.world.fleet.unreachable = False


@when("the orders' platform is {state} and the orders of host a run for {seconds:d} s")
def run_platform(context, state, seconds):
    fault = "down" if state == "down" else None
    context.world.platform.fault = lambda kind, key: fault
    run_one(context, seconds)


@then("the orders' engines have the model, the adapter and the role")
def have_all_state(context):
    for engine in context.world.fleet.engines.values():
        assert engine.models == {MODEL, ADAPTER}, engine.models
        assert engine.role == ROLE


@then("the orders' lease is released and its number is {number:d}")
def lease_free(context, number):
    objects = context.world.platform.shared.objects
    record = decode_lease(objects.get("leases/orders/desk-model").value)
    assert (record.released, record.number) == (True, number)


@then("the orders sent are {count:d}, none of them twice")
def sent_once(context, count):
    assert len(context.world.fleet.sent) == count, len(context.world.fleet.sent)
    assert len(set(context.world.fleet.sent)) == count


@then("the orders' platform received no call")
def platform_received_no_call(context):
    assert not context.world.platform.shared.calls


@then("the orders to load were at most {most:d}")
def loads_bounded(context, most):
    loads = [order for order in context.world.fleet.sent if order.kind in LOAD_KINDS]
    assert 0 < len(loads) <= most, len(loads)


@then(
    "the orders to load were {loads:d} for each name, and to change the role more than {least:d}"
)
def orders_counted(context, loads, least):
    counted = Counter(order.kind for order in context.world.fleet.sent)
    assert counted[OrderKind.LOAD_MODEL] == counted[OrderKind.LOAD_ADAPTER] == loads
    assert counted[OrderKind.CHANGE_ROLE] > least


@given("the orders lack {mechanism}")
def set_missing_mechanism(context, mechanism):
    context.missing_mechanism = mechanism


def disable_clock_check(keeper):
    """Let the holder send orders without checking its lease against the clock."""
    keeper.fencing = lambda: keeper.lease._record.number


def freeze_before_check(orders, freeze):
    """Freeze once between claiming the lease and the clock check."""
    claim_or_renew = orders.keeper.claim_or_renew

    async def claim_and_freeze():
        held = await claim_or_renew()
        orders.keeper.claim_or_renew = claim_or_renew
        await freeze()
        return held

    orders.keeper.claim_or_renew = claim_and_freeze


def freeze_after_check(orders, freeze):
    """Freeze once while an order is in transit."""
    orders._engines.freeze = freeze


FREEZES = {"before its check": freeze_before_check, "after its check": freeze_after_check}


async def run_orders(world, orders, seconds):
    end_s = world.now_s + seconds
    while world.now_s < end_s:
        await orders.tick()
        world.now_s += STEP_S


async def freeze_and_continue(world, moment, seconds, role, missing_mechanism):
    """Freeze host a while it orders "prefill"; meanwhile host b orders another role."""
    (engine,) = world.fleet.engines.values()
    engine.role = ""
    first, second = world.hosts["a"], world.hosts["b"]
    second.wanted = tuple(wanted._replace(role=role) for wanted in second.wanted)
    if missing_mechanism == "the clock check":
        disable_clock_check(first.keeper)

    async def freeze():
        await run_orders(world, second, seconds)
        assert engine.role == role
        world.fleet.accepted_from.clear()

    FREEZES[moment](first, freeze)
    await first.tick()
    world.accepted_after_freeze = list(world.fleet.accepted_from)
    if missing_mechanism != "level triggering":
        await run_orders(world, second, 30)


@when('the orders\' host a freezes {moment} for {seconds:d} s while b wants role "{role}"')
def host_freezes(context, moment, seconds, role):
    missing_mechanism = getattr(context, "missing_mechanism", "")
    anyio.run(freeze_and_continue, context.world, moment, seconds, role, missing_mechanism)


@then("the orders' engine accepted {count:d} orders of a after those of b")
def accepted_after(context, count):
    assert context.world.accepted_after_freeze.count("a") == count, (
        context.world.accepted_after_freeze
    )


@then('the orders\' engine ends with role "{role}"')
def ends_with(context, role):
    (engine,) = context.world.fleet.engines.values()
    assert engine.role == role


@then('the orders\' engine does not end with role "{role}"')
def ends_without(context, role):
    (engine,) = context.world.fleet.engines.values()
    assert engine.role != role


@given("a host that holds the lease of a pool's orders")
def holds_lease(context):
    settings = quickstart.host_settings(1, Address("127.0.0.1", 9))
    task = OrdersTask(settings, 1, None, None, EventLog("a", "x"))
    context.keeper = LeaseKeeper(MemoryPlatform(), Lease("orders/p", "a", 10.0), task._now)
    assert anyio.run(context.keeper.claim_or_renew)


@when("the host is suspended for {seconds:d} s, which its monotonic clock does not count")
def suspended(context, seconds):
    def read_clock(clock):
        return time.monotonic() + (seconds if clock == time.CLOCK_BOOTTIME else 0.0)

    patch = mock.patch("time.clock_gettime", read_clock)
    patch.start()
    context.add_cleanup(patch.stop)


@then("the host no longer acts on the lease")
def lease_lapsed(context):
    assert context.keeper.fencing() is None
