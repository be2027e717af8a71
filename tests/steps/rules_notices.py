"""Steps of rules/notices.feature."""

from __future__ import annotations

from random import Random

from behave import given, then, when

from redwingbank.messages import Notice
from redwingbank.rules.notices import Notices, sends_per_update

HOSTS = 7
START_S = 100.0
HELD = Notice("quarantine", "f" * 32, "entry-1", 5, 1.0, 10.0)
LIKE = {
    "same": HELD,
    "other subject": HELD._replace(subject="e" * 32),
    "other origin": HELD._replace(origin="entry-2"),
}


@given("the notices hold number 5 of a kind, subject and origin for 10 s")
def hold(context):
    context.notices = Notices()
    assert context.notices.add(HELD, HOSTS, START_S)


@when(
    "the notices receive number {number:d} of the {same} "
    "with a TTL of {ttl_s:g} s after {passed_s:g} s"
)
def receive(context, number, same, ttl_s, passed_s):
    now_s = START_S + passed_s
    context.notices.all(now_s)
    notice = LIKE[same]._replace(number=number, ttl_s=ttl_s)
    context.result = "new" if context.notices.add(notice, HOSTS, now_s) else "known"


@then("the notices treat it as {result}")
def treated_as(context, result):
    assert context.result == result


def count_sends(notices):
    return sum(bool(notices.select_next(3, START_S)) for _ in range(100))


@then("the notices send it {count:d} times among 7 hosts")
def sent_times(context, count):
    assert count_sends(context.notices) == count


@then("the notices send it as often if others have it already")
def sent_as_often(context):
    notices = Notices()
    notices.add(HELD, HOSTS, START_S)
    for _ in range(4):
        notices.add(HELD, HOSTS, START_S)
    assert count_sends(notices) == sends_per_update(HOSTS)


@then("the notices reach all of {count:d} hosts in each of {trials:d} trials")
def reach_all(context, count, trials):
    """Every host sends it to random others until no host has sends left."""
    missed = [seed for seed in range(trials) if not reaches_all(Random(seed), count)]
    assert not missed, missed


def reaches_all(random, count):
    notices_by_host = [Notices() for _ in range(count)]
    notices_by_host[0].add(HELD, count, START_S)
    while senders := [item for item in notices_by_host if has_sends(item)]:
        for notices in senders:
            other = random.choice([item for item in notices_by_host if item is not notices])
            for notice in notices.select_next(3, START_S):
                other.add(notice, count, START_S)
    return all(notices.all(START_S) for notices in notices_by_host)


def has_sends(notices):
    return any(stored.sends_left > 0 for stored in notices._stored_by_key.values())


@when("the notices receive {count:d} more with longer TTLs")
def receive_more(context, count):
    for number in range(count):
        notice = Notice("quarantine", f"{number:032x}", "entry-1", 1, 1.0, 20.0 + number)
        assert context.notices.add(notice, HOSTS, START_S)


@then("the notices keep at most the {count:d} with the longest TTLs")
def keep_longest(context, count):
    stored = context.notices.all(START_S)
    assert len(stored) == count
    assert min(notice.ttl_s for notice in stored) == 20.0 + 5000 - count


@then("the notices send it with a TTL of {ttl_s:g} s after {passed_s:g} s")
def remaining_ttl(context, ttl_s, passed_s):
    assert context.notices.select_next(1, START_S + passed_s)[0].ttl_s == ttl_s
