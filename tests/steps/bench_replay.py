"""Steps of bench/replay.feature."""

from __future__ import annotations

from statistics import mean

from behave import then, when

from redwingbank_bench.replay import Figures, replay
from redwingbank_bench.replay_arms import BUILD_BY_ARM


def figures_of(pattern, arm, seeds):
    runs = [replay(pattern, seed, BUILD_BY_ARM[arm]) for seed in seeds]
    return Figures(*(mean(column) for column in zip(*runs, strict=True)))


@when('the pattern "{pattern}" is replayed with seeds {first:d} to {last:d}')
def replayed(context, pattern, first, last):
    seeds = range(first, last + 1)
    context.built = figures_of(pattern, "as built", seeds)
    context.found = figures_of(pattern, "as found", seeds)


@then("the replay's worth is at least {gain:g} more than as found")
def worth_gained(context, gain):
    assert context.built.worth >= context.found.worth + gain, (context.built, context.found)


@then("the worth of its worst seconds is at least {gain:g} more than as found")
def worst_seconds_gained(context, gain):
    built, found = context.built.worst_seconds, context.found.worst_seconds
    assert built >= found + gain, (built, found)


@then("the worth of its worst class is no less than as found")
def worst_class_held(context):
    built, found = context.built.worst_class, context.found.worst_class
    assert built >= found, (built, found)


@then('the pattern "{pattern}" gives the same figures twice with seed {seed:d}')
def reproducible(context, pattern, seed):
    assert replay(pattern, seed) == replay(pattern, seed)
