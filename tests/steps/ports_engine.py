"""Steps of ports/engine.feature."""

from __future__ import annotations

import importlib.util

import anyio
from behave import given, then, when

from redwingbank.ports.engine import BackendClient, EngineClient
from redwingbank.settings import Address
from redwingbank_standins.engine import EngineSettings, build_engine
from redwingbank_standins.quickstart import host_settings
from redwingbank_standins.serving import embedded


@given("an engine client of a small deployment")
def engine_client(context):
    context.engine = build_engine(EngineSettings(name="engine-1", model="m"))


@when("the engine client makes {count:d} calls one after another")
def engine_client_calls(context, count):
    async def calls():
        async with embedded(context.engine) as port:
            client = BackendClient(host_settings(1, Address("127.0.0.1", 1)))
            address = f"127.0.0.1:{port}"
            for _ in range(count):
                await EngineClient(client).load(address)
            context.opened = len(client.idle(address))
            await client.close()

    anyio.run(calls)


@then("the engine client opened {count:d} connection")
def engine_client_opened(context, count):
    assert context.opened == count, context.opened


@then("the engine client's transport finds the event loop's library without a search")
def engine_client_library(context):
    assert importlib.util.find_spec("sniffio") is not None
