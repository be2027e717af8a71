"""Steps of routing/server_address.feature."""

from __future__ import annotations

import itertools

from behave import given, then, when

from redwingbank.front.directory import ServerRegistry
from redwingbank.front.values import ServerEntry
from redwingbank.routing.server_address import (
    AddressBook,
    AnsweredAs,
    Misdirected,
    StartTold,
)
from redwingbank.settings import Address

PLACE = Address("10.0.0.9", 80)


def listed(text):
    """Read NAME@START, with /draining or /POOL after it."""
    name, _, rest = text.partition("@")
    started_ms, _, more = rest.partition("/")
    draining = more == "draining"
    pool = "pool" if draining or not more else more
    return ServerEntry(name, pool, PLACE, "a", 4, draining, int(started_ms))


class History:
    """Events at one address, one a millisecond."""

    def __init__(self):
        self.book, self.at_s, self.entry_by_name = AddressBook(), 0.0, {}

    def play(self, event):
        self.at_s += 0.001
        verb, _, rest = event.partition(" ")
        getattr(self, verb)(*rest.split())

    def list(self, text):
        entry = listed(text)
        self.entry_by_name[entry.name] = entry
        self.book.put(entry, self.at_s)

    def remove(self, name):
        self.book.remove(name)

    def run(self, name):
        self.book.record(AnsweredAs(self.entry_by_name[name], self.at_s))

    def deny(self, name):
        self.named("", "by", name)

    def named(self, named, _, name):
        self.book.record(Misdirected(self.entry_by_name[name], named, self.at_s))

    def told(self, started_ms):
        self.book.record(StartTold(listed("any@0"), int(started_ms), self.at_s))


@when("these events follow each other at one address: {events}")
def play_events(context, events):
    history = History()
    for event in events.split(", "):
        history.play(event)
    context.verdict = history.book.find_holder(PLACE, "pool")


@then('"{name}" stands there, since: {why}')
@then('"" stands there, since: {why}')
def stands(context, why, name=""):
    entry, found = context.verdict
    assert (entry.name if entry else "", found) == (name, why), context.verdict


@when('a list of servers holds "{texts}" at one address, in each order')
def list_in_each_order(context, texts):
    context.used = []
    for order in itertools.permutations(texts.split()):
        servers = ServerRegistry()
        servers.replace([listed(text) for text in order], 1.0)
        context.used.append([entry.name for entry in servers.usable("pool")])
        assert len(servers.listed_by_name) == len(order)


@then('"{name}" is used each time')
def used_each_time(context, name):
    assert all(used == [name] for used in context.used), context.used


@given('a server "a" that started at {started_ms:d}')
def known_start(context, started_ms):
    context.servers = ServerRegistry()
    context.servers.replace([listed(f"a@{started_ms}")], 0.0)


@when('the store tells that "a" started at {started_ms:d}')
def told_start(context, started_ms):
    context.told = listed(f"a@{started_ms}")
    context.believed = context.servers.believe(context.told, 1.0)


@then(
    '"a" started at {known_ms:d}, and at {told_ms:d} only if that is listed for {more_s:d} s more'
)
def start_in_use(context, known_ms, told_ms, more_s):
    servers = context.servers
    assert context.believed.started_ms == known_ms
    assert servers.believe(context.told, 1.1).started_ms == known_ms
    assert not servers.pop_due(2.0)
    assert [entry.started_ms for entry in servers.usable("pool")] == [known_ms]
    assert [entry.started_ms for entry in servers.pop_due(1.0 + more_s)] == [told_ms]
