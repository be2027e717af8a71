"""Steps of ports/peer_metrics.feature."""

from __future__ import annotations

from collections import Counter

from behave import given, then, when

from redwingbank.metrics import Metrics
from redwingbank.ports.peer_metrics import export_peer_counters
from redwingbank.ports.peers import PeerCounters


@given('the peer metrics\' counter "{counter}" increases by {count:d} for "{key}"')
def first_count(context, counter, count, key):
    context.counters = PeerCounters(Counter(), Counter(), Counter(), Counter(), Counter())
    context.metrics = Metrics()
    more_count(context, counter, count, key)


@when('the peer metrics\' counter "{counter}" increases by {count:d} for "{key}"')
def more_count(context, counter, count, key):
    getattr(context.counters, counter)[key] += count


@when("the peer metrics are exported")
def exported(context):
    export_peer_counters(context.counters, context.metrics)


@then("the peer metrics contain the line")
def contain_line(context):
    assert context.text in context.metrics.text().splitlines(), context.metrics.text()
