"""Steps of rules/affinity.feature."""

from __future__ import annotations

from collections import OrderedDict
from random import Random

from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings, strategies

from redwingbank.model import CacheEvent
from redwingbank.rules.affinity import Affinity

ENGINE_BLOCKS = 100
PROMPT_BLOCKS = 10


class WithoutEvictionForLostEvents(Affinity):
    def _advance(self, cache, event):
        cache.last_number = event.number


@given("an affinity with a capacity of {capacity:d} blocks")
def with_capacity(context, capacity):
    context.affinity = Affinity(capacity)


@given("an affinity without eviction for lost events")
def without_eviction(context):
    context.affinity = WithoutEvictionForLostEvents(2000)


def blocks_of(text):
    return tuple(int(block) for block in text.split(",") if block != "-")


@when('the affinity processes "{events}"')
def processes(context, events):
    for now_s, entry in enumerate(events.split(";")):
        verb, server, *rest = entry.split()
        if verb == "sent":
            context.affinity.record_send(server, blocks_of(rest[0]), now_s)
        elif verb == "forget":
            context.affinity.remove_server(server)
        else:
            event = CacheEvent(int(rest[0]), blocks_of(rest[1]), blocks_of(rest[2]))
            context.affinity.record_event(server, event)


@then('the affinity holds {held:d} leading blocks of "{blocks}" at "{server}"')
def holds(context, held, blocks, server):
    held_blocks = context.affinity.held_prefix(
        server, tuple(int(block) for block in blocks.split())
    )
    assert held_blocks == held, held_blocks


@when("the affinity misses half of the events of an engine that evicts")
def misses_events(context):
    """Simulate an LRU engine, also used by other hosts, and lose half of its events."""
    engine, random = OrderedDict(), Random(5)
    context.affinity.record_send("other", tuple(range(50)), 0.0)
    context.wrong = 0
    for number in range(1, 401):
        kind = random.randrange(60)
        prompt = tuple(range(kind * PROMPT_BLOCKS, (kind + 1) * PROMPT_BLOCKS))
        held = context.affinity.held_prefix("a", prompt)
        context.wrong += number > 300 and held > sum(block in engine for block in prompt)
        stored = tuple(block for block in prompt if block not in engine)
        for block in prompt:
            engine[block] = True
            engine.move_to_end(block)
        excess = max(0, len(engine) - ENGINE_BLOCKS)
        evicted = tuple(engine.popitem(last=False)[0] for _ in range(excess))
        if random.random() < 0.5:
            context.affinity.record_event("a", CacheEvent(number, stored, evicted))
    assert context.affinity.held_prefix("other", tuple(range(50))) == 50


@then("the affinity is wrong about at most {wrong:d} in 100 prompts")
def at_most(context, wrong):
    assert context.wrong <= wrong, context.wrong


@then("the affinity is wrong about at least {wrong:d} in 100 prompts")
def at_least(context, wrong):
    assert context.wrong >= wrong, context.wrong


@then("the affinity never holds more blocks than its capacity")
def bounded(context):
    blocks = strategies.lists(strategies.integers(0, 40), max_size=12, unique=True)
    step = strategies.tuples(strategies.sampled_from("abc"), blocks, blocks)

    @settings(derandomize=True, database=None, max_examples=100, deadline=None)
    @hypothesis_given(strategies.lists(step, max_size=40))
    def check(steps):
        affinity = Affinity(capacity=20)
        number_by_server = dict.fromkeys("abc", 0)
        for at_s, (server, sent, evicted) in enumerate(steps):
            number_by_server[server] += 1
            affinity.record_send(server, sent, float(at_s))
            event = CacheEvent(number_by_server[server], tuple(sent[:2]), tuple(evicted))
            affinity.record_event(server, event)
            caches = affinity._cache_by_server.values()
            assert len(affinity) == sum(len(cache.used_s_by_block) for cache in caches) <= 20
            if set(sent).isdisjoint(evicted):
                assert affinity.held_prefix(server, sent) == len(sent)

    check()
