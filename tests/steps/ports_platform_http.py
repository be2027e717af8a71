"""Steps of ports/platform_http.feature."""

from __future__ import annotations

import contextlib
import json

import anyio
from behave import given, then, when

from platform_bench import PlatformStandIn, settings_for
from redwingbank.ports.platform import Absent, Conflict, Stored
from redwingbank.ports.platform_http import HttpPlatform
from redwingbank.settings import Address
from redwingbank_standins.listener import bind

CALLS = {
    "read": lambda client, key: client.read(key),
    "update": lambda client, key: client.update(key, b"new", 1),
    "watch": lambda client, key: client.watch(key, 1, 0.05),
    "list": lambda client, key: client.keys(key),
    "hosts": lambda client, key: client.hosts(),
}


@given("the platform client and a stand-in")
def client_and_stand_in(context):
    context.stand_in = PlatformStandIn(context)


@given("a platform client of a closed port")
def closed_port(context):
    class Closed:
        def run(self, function, **fields):
            async def body():
                with contextlib.closing(bind("127.0.0.1", 0)) as socket:
                    address = Address(*socket.getsockname())
                client = HttpPlatform(settings_for(address))
                return await function(client)

            return anyio.run(body)

    context.stand_in = Closed()


@then('the platform client creates "{key}" and reads it back')
def creates(context, key):
    async def body(client):
        created = await client.create(key, b"one")
        assert created == Stored(key, created.version, b"one"), created
        assert await client.read(key) == created

    context.stand_in.run(body)


@then('the platform client cannot create "{key}" twice')
def creates_twice(context, key):
    async def body(client):
        current = await client.read(key)
        assert await client.create(key, b"two") == Conflict(key, current.version)
        assert await client.read(key) == current

    context.stand_in.run(body)


@then('the platform client updates "{key}" only at its version')
def updates(context, key):
    async def body(client):
        current = await client.read(key)
        assert await client.update(key, b"x", current.version + 1) == Conflict(
            key, current.version
        )
        written = await client.update(key, b"two", current.version)
        assert written.version > current.version
        assert await client.update(key, b"x", current.version) == Conflict(key, written.version)

    context.stand_in.run(body)


@then('the platform client lists "{key}" below "{prefix}"')
def lists(context, key, prefix):
    async def body(client):
        assert await client.keys(prefix) == (key,)
        assert await client.keys("other/") == ()

    context.stand_in.run(body)


@then('the platform client\'s watch of "{key}" ends when it changes')
def watch_ends(context, key):
    async def body(client):
        current = await client.read(key)
        seen = []

        async def watch():
            seen.append(await client.watch(key, current.version, 60))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch)
            while not context.stand_in.app.open_watches:  # noqa: ASYNC110
                await anyio.sleep(0.01)
            assert not seen
            written = await client.update(key, b"three", current.version)
        assert seen == [written]

    context.stand_in.run(body)


@then('the platform client\'s watch of "{key}" ends unchanged at its timeout')
def watch_times_out(context, key):
    async def body(client):
        current = await client.read(key)
        assert await client.watch(key, current.version, 0.05) == current

    context.stand_in.run(body)


@then('the platform client deletes "{key}" only at its version')
def deletes(context, key):
    async def body(client):
        current = await client.read(key)
        context.stand_in.versions.append(current.version)
        assert await client.delete(key, current.version + 1) == Conflict(key, current.version)
        assert await client.delete(key, current.version) == Absent(key)
        assert await client.read(key) == Absent(key)

    context.stand_in.run(body)


@then('the platform client never sees a version of "{key}" twice')
def no_version_twice(context, key):
    async def body(client):
        created = await client.create(key, b"again")
        assert created.version > max(context.stand_in.versions)

    context.stand_in.run(body)


@when('the platform client has written "{key}" and the fault is {fault}')
def written_then_fault(context, key, fault):
    async def body(client):
        assert (await client.create(key, b"old")).version == 1

    context.stand_in.run(body)
    context.stand_in.app.set_faults(json.loads(fault))


@then('the platform client\'s {call} of "{key}" is {result}')
def call_is(context, call, key, result):
    async def body(client):
        return await CALLS[call](client, key)

    answer = context.stand_in.run(body, platform_timeout_s=0.3)
    assert type(answer).__name__ == result, answer


@then("the platform client then reads {value} once the fault is over")
def reads_after(context, value):
    context.stand_in.app.set_faults({})

    async def body(client):
        return await client.read("k")

    assert context.stand_in.run(body).value == value.encode()


@then("the platform client cannot write {count:d} bytes")
def too_large(context, count):
    async def body(client):
        assert type(await client.create("large", bytes(count))).__name__ == "Unknown"
        assert await client.read("large") == Absent("large")
        assert type(await client.create("large", bytes(count - 1))) is Stored

    context.stand_in.run(body)


@when('the platform client\'s stand-in lists "{host}" and lags')
def lists_host(context, host):
    context.stand_in.app.members.put([{"host": host, "address": "127.0.0.1:1", "leaving": False}])
    context.stand_in.app.set_faults({"members_lag_s": 3600})


@then("the platform client sees no host")
def sees_none(context):
    assert context.stand_in.run(lambda client: client.hosts()) == ()


@then('the platform client sees "{host}" once the lag is over')
def sees_host(context, host):
    context.stand_in.app.set_faults({})
    assert [row.host for row in context.stand_in.run(lambda client: client.hosts())] == [host]


@then("the platform client's calls are counted by kind")
def counted(context):
    async def body(client):
        await client.create("k", b"1")
        await client.read("k")
        await client.keys("")
        await client.hosts()
        await client.watch("k", 1, 0.01)

    context.stand_in.run(body)
    kinds = ("write", "read", "list", "members", "watch")
    assert dict(context.stand_in.app.calls) == dict.fromkeys(kinds, 1)
    assert context.stand_in.app.open_watches == 0
