"""Steps of tasks/loads.feature."""

from __future__ import annotations

from behave import given, then, when

from redwingbank.settings import Address
from redwingbank.tasks.loads import LoadReader, Plan, Watched
from redwingbank_standins.quickstart import host_settings


@given("a load reader of {owned:d} servers to read often and {used:d} to read seldom")
def load_reader(context, owned, used):
    settings = host_settings(1, Address("127.0.0.1", 1))
    context.reader = LoadReader(settings, None, None)
    rows = [Watched(f"owned-{n}", "127.0.0.1:1", True, often=True) for n in range(owned)]
    rows += [Watched(f"used-{n}", "127.0.0.1:1", True, often=False) for n in range(used)]
    context.servers = {row.server for row in rows}
    context.reader._plan = Plan(tuple(rows))


@when("the load reader has selected servers for {rounds:d} intervals")
def load_reader_chose(context, rounds):
    context.chosen = [context.reader._due(number) for number in range(rounds)]


@then("the load reader read no more than {most:d} in any interval")
def load_reader_bounded(context, most):
    assert max(len(chosen) for chosen in context.chosen) <= most


@then("the load reader read every server")
def load_reader_complete(context):
    read = {watched.server for chosen in context.chosen for watched in chosen}
    assert read == context.servers, context.servers - read
