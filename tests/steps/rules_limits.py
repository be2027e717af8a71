"""Steps of rules/limits.feature."""

from __future__ import annotations

from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st

from decisions_support import make_request, make_table, parse_counts
from redwingbank.codes import Code
from redwingbank.messages import OrganisationUse
from redwingbank.rules.limit_shares import LimitShares, divide_limit
from redwingbank.rules.limits import Limits

EXACT = settings(derandomize=True, deadline=None, max_examples=200, database=None)


def limited(concurrency, tokens, limit=0):
    table = make_table(gold={"limit": limit})
    row = table.organisations_by_name["a"]._replace(
        concurrency=concurrency, tokens_per_minute=tokens
    )
    return table._replace(organisations_by_name={**table.organisations_by_name, "a": row})


def admit_request(context, now_s=0.0):
    context.request_count += 1
    code = context.limits.admit(make_request(str(context.request_count)), now_s)
    if code is None:
        context.limits.start(str(context.request_count))
    return "OK" if code is None else code.name


@given(
    "limits of concurrency {concurrency:d}, {tokens:d} tokens a minute "
    "and class limit {limit:d} on {hosts:d} hosts"
)
def limits(context, concurrency, tokens, limit, hosts):
    context.limits = Limits(limited(concurrency, tokens, limit), hosts)
    context.request_count = 0


@then('the limits answer "{codes}" to {count:d} requests')
def answers(context, codes, count):
    assert [admit_request(context) for _ in range(count)] == codes.split()


@when("the first request under the limits finishes twice")
def finishes_twice(context):
    context.limits.finish("1")
    context.limits.finish("1")


@when("the limits record {tokens:d} tokens at {now_s:g} s")
def served(context, tokens, now_s):
    context.limits.record_tokens("a", tokens, now_s)
    (use,) = context.limits.usage(now_s)
    assert use.tokens == tokens


@then('the limits answer "{code}" at {now_s:g} s')
def answers_at(context, code, now_s):
    assert admit_request(context, now_s) == code
    if code != "OK":
        retry_after_s = context.limits.retry_after_s(make_request("x"), Code[code], now_s)
        assert admit_request(context, now_s + retry_after_s) == "OK"


@when("the limits apply a share of {share:d} until 2 s")
def get_share(context, share):
    context.limits.apply([OrganisationUse("a", share, 0, 0)], 2.0, 0.0)


@then("the limits admit {count:d} at {now_s:g} s")
def admit(context, count, now_s):
    assert [admit_request(context, now_s) for _ in range(10)].count("OK") == count
    (use,) = context.limits.usage(now_s)
    assert (use.running, use.waiting) == (count, 10 - count)


@given("limit shares of a limit of {limit:d}")
def shares(context, limit):
    context.shares = LimitShares(2.0)
    context.shares.apply_table(limited(limit, 0))
    context.now_s = 0.0


@when('the limit shares receive use "{used}" and refusals "{refused}"')
@when('the limit shares receive use "{used}" and refusals ""')
def receive(context, used, refused=""):
    refusals = parse_counts(refused)
    for host, count in parse_counts(used).items():
        use = OrganisationUse("a", count, refusals.get(host, 0), 0)
        context.shares.observe(host, 1, (use,), 0.0)
        context.shares.observe(host, 0, (), 0.0)


@when("the limit shares receive a report at {now_s:g} s from host a only")
def receive_later(context, now_s):
    context.now_s = now_s
    context.shares.observe("a", 2, (OrganisationUse("a", 1, 0, 0),), now_s)


@then('the limit shares are "{expected}"')
def shares_are(context, expected):
    by_host = context.shares.shares(context.now_s)
    assert {host: items[0].running for host, items in by_host.items()} == parse_counts(expected)


@then("the limit shares stay within the limit over random uses")
def within(context):
    uses = st.dictionaries(
        st.sampled_from("abcdefg"), st.tuples(st.integers(0, 30), st.integers(0, 30)), min_size=1
    )

    @EXACT
    @given_values(st.integers(1, 40), uses)
    def run(limit, use):
        used = {host: count for host, (count, _) in use.items()}
        wanted = {host: count + more for host, (count, more) in use.items()}
        share = divide_limit(limit, used, wanted)
        assert sum(share.values()) <= limit
        assert all(count >= 0 for count in share.values())
        in_use = {host: max(share[host], used[host]) for host in used}
        assert sum(in_use.values()) <= max(limit, sum(used.values()))

    run()


@given("limits of concurrency 14 on 7 hosts with {variant}")
def many_limits(context, variant):
    table = limited(14, 0)
    context.hosts = {
        f"h{index}": Limits(table, 1 if variant == "whole limits" else 7) for index in range(7)
    }
    context.owner = LimitShares(2.0) if variant == "shares" else None
    if context.owner:
        context.owner.apply_table(table)
    context.admitted = {host: [] for host in context.hosts}
    context.round = 0


def run_round(context, requesting_hosts):
    context.round += 1
    now_s = float(context.round)
    for host in requesting_hosts:
        for index in range(20):
            request = make_request(f"{host}-{context.round}-{index}")
            if context.hosts[host].admit(request, now_s) is None:
                context.admitted[host].append(request.request_id)
    if context.owner:
        for host, limits in context.hosts.items():
            context.owner.observe(host, context.round, limits.usage(now_s), now_s)
        for host, shares in context.owner.shares(now_s).items():
            context.hosts[host].apply(shares, 2.0, now_s)


@when("every host's limits get 20 requests in each of 5 rounds")
def requests_at_all_hosts(context):
    for _ in range(5):
        run_round(context, context.hosts)


@then("the limits have admitted at most 14 in all: {verdict}")
def admitted_in_all(context, verdict):
    total = sum(len(items) for items in context.admitted.values())
    assert (total <= 14) == (verdict == "yes"), total


@when("the requests of 6 hosts' limits finish and the first gets 20 in each of 5 rounds")
def finish_requests(context):
    first, *others = context.hosts
    for host in others:
        while context.admitted[host]:
            context.hosts[host].finish(context.admitted[host].pop())
    for _ in range(5):
        run_round(context, [first])


@then("the first host's limits hold {least:d}")
def first_admitted(context, least):
    count = len(context.admitted["h0"])
    assert count == least, count
