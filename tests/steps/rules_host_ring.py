"""Steps of rules/host_ring.feature."""

from __future__ import annotations

from collections import Counter

from behave import given, then, when

from redwingbank.rules.host_ring import HostRing


def keys(count):
    return [f"key-{number}" for number in range(count)]


def ring_of(hosts):
    ring = HostRing()
    ring.update(hosts)
    return ring


@given("a ring of {count:d} hosts")
def ring(context, count):
    context.hosts = [f"edge-{number}" for number in range(count)]
    context.ring = ring_of(context.hosts)


@then(
    "{count:d} keys have {holders:d} different holders each,"
    " the same on a ring built in another order"
)
def holders(context, count, holders):
    other = HostRing()
    for at in range(len(context.hosts), -1, -1):
        other.update(context.hosts[at:])
    context.held = Counter()
    for key in keys(count):
        found = context.ring.successors(key, 3)
        assert len(set(found)) == holders, found
        assert found == other.successors(key, 3)
        context.held.update(found)


@then("no host holds more than {times:g} times the mean")
def spread(context, times):
    mean = context.held.total() / len(context.hosts)
    assert max(context.held.values()) <= times * mean, (context.held.most_common(3), mean)


@when("a host is lost")
def lost(context):
    context.before = {key: context.ring.successors(key, 3) for key in keys(500)}
    context.lost = context.hosts[7]
    assert context.ring.update(host for host in context.hosts if host != context.lost)


@then("each key keeps its other holders")
def kept(context):
    for key, before in context.before.items():
        kept_hosts = [host for host in before if host != context.lost]
        assert list(context.ring.successors(key, 3))[: len(kept_hosts)] == kept_hosts


@given("another host that does not know {missing:d} of them and knows {new:d} that are new")
def another(context, missing, new):
    context.other = ring_of(context.hosts[missing:] + [f"new-{n}" for n in range(new)])


@then(
    "of {count:d} keys, {asked:d} successors on its ring hold one of the {told:d} holders"
    " for all but 1 in 100"
)
def found(context, count, asked, told):
    missed = [
        key
        for key in keys(count)
        if not set(context.other.successors(key, asked)) & set(context.ring.successors(key, told))
    ]
    assert len(missed) <= count / 100, len(missed)
