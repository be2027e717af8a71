"""Steps of tasks/allocate.feature."""

from __future__ import annotations

import anyio
from behave import given, then, when

from decisions_support import POOL, make_table, parse_counts, waiting
from redwingbank.messages import LIMITS_POOL, Demand, OrganisationUse, Received
from redwingbank.settings import Address, PeerKey, Settings
from redwingbank.tasks.allocate import AllocateTask, Capacity, Hosts

ANY_ADDRESS = Address("127.0.0.1", 0)
SETTINGS = Settings(
    "a", "d", ANY_ADDRESS, ANY_ADDRESS, ANY_ADDRESS, (PeerKey(1, b"0123456789abcdef"),)
)


def table_with_limit():
    table = make_table()
    row = table.organisations_by_name["a"]._replace(concurrency=10)
    return table._replace(organisations_by_name={"a": row})


def demand(context, host, count):
    context.number += 1
    message = Demand(POOL, context.number, (waiting("gold", count),))
    return Received(host, f"{host}:1", message)


@given('an allocate task for engines "{engines}" and hosts "{hosts}"')
def allocate_task(context, engines, hosts):
    context.now_s, context.number, context.sent = 0.0, 0, []
    context.engines = parse_counts(engines)
    context.allocate_task = AllocateTask(SETTINGS, 100, lambda: context.now_s)
    context.allocate_task.handle(table_with_limit())
    context.allocate_task.handle(Capacity(POOL, context.engines))
    context.allocate_task.handle(Hosts(frozenset(hosts.split())))


@when('the allocate task receives demand "{demands}"')
def receives(context, demands):
    for host, count in parse_counts(demands).items():
        context.allocate_task.handle(demand(context, host, count))


@when("the allocate task learns that b died")
def host_dies(context):
    context.allocate_task.handle(Hosts(frozenset("a")))


@when("the allocate task learns that e1 drains")
def engine_drains(context):
    context.allocate_task.handle(Capacity(POOL, {"e2": 2}))


@then('the allocate task sends "{slots}"')
def sends(context, slots):
    context.sent = context.allocate_task.tick()
    sent = {item.host: sum(item.allocation.slots.values()) for item in context.sent}
    assert sent == parse_counts(slots), sent
    assert all(item.address == f"{item.host}:1" for item in context.sent)


@when('the allocate task receives use "{uses}" of a limit of 10')
def receives_use(context, uses):
    for host, count in parse_counts(uses).items():
        use = OrganisationUse("a", count, 0, 0)
        message = Demand(LIMITS_POOL, 1, organisations=(use,))
        context.allocate_task.handle(Received(host, f"{host}:1", message))


@then('the allocate task sends shares "{shares}"')
def sends_shares(context, shares):
    sent = {item.host: item.allocation.limits[0].running for item in context.allocate_task.tick()}
    assert sent == parse_counts(shares), sent
    assert not context.allocate_task.tick()


@when('the allocate task receives nothing for 5 s and then demand "{demands}"')
def receives_later(context, demands):
    context.now_s = 5.0
    assert not context.allocate_task.tick()
    receives(context, demands)


@then("the allocate task's numbers have only increased")
def numbers_increased(context):
    (before,), (after,) = context.sent, context.allocate_task.tick()
    assert after.allocation.number > before.allocation.number > 100


@then('the allocate task run on streams answers a demand of "{host}" with {count:d} slots')
def run_on_streams(context, host, count):
    async def run():
        to_task, inbox = anyio.create_memory_object_stream(10)
        outbox, from_task = anyio.create_memory_object_stream(10)
        async with anyio.create_task_group() as group:
            group.start_soon(context.allocate_task.run, inbox, outbox)
            await to_task.send(demand(context, host, 9))
            with anyio.fail_after(10):
                outgoing = await from_task.receive()
            to_task.close()
        return outgoing

    outgoing = anyio.run(run)
    assert sum(outgoing.allocation.slots.values()) == count
