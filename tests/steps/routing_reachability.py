"""Steps of routing/reachability.feature."""

from __future__ import annotations

from random import Random

from behave import given, then, when

from redwingbank.routing.reachability import (
    NEVER_S,
    Others,
    PoolReach,
    ProbeResult,
    Reach,
    ServerContact,
)

TICK_S = 0.05
STATE_BY_END = {"is cut off": Reach.CUT, "stays in doubt": Reach.DOUBTFUL}


@given("a host that was answered by 3 servers until 10 s")
def reaching_host(context):
    context.contacts = [ServerContact() for _ in range(3)]
    context.reach = PoolReach(Random(1))
    for tick in range(20):
        for contact in context.contacts:
            contact.byte_received(9.0 + tick * TICK_S, proved=False)
        context.reach.update(context.contacts, Others(9.0), 9.0 + tick * TICK_S)
    assert context.reach.state is Reach.REACHING


def fail(contacts, now_s):
    for contact in contacts:
        contact.failed_s = now_s


def speak(contacts, now_s, **proved):
    for contact in contacts:
        contact.request_sent(now_s, **proved)
        contact.byte_received(now_s, **proved)


def hang(contacts, now_s):
    speak(contacts, now_s, proved=True)
    for contact in contacts:
        contact.connecting(now_s)


def fall_silent(contacts, now_s, until_s=NEVER_S):
    for contact in contacts:
        contact.request_sent(now_s, proved=True)
        if until_s != NEVER_S and now_s > until_s:
            contact.byte_received(now_s, proved=True)


EVIDENCE = {
    "connections fail": fail,
    "no byte comes": fall_silent,
    "no byte comes for 1.2 s": lambda contacts, now_s: fall_silent(contacts, now_s, 11.2),
    "only new connections hang": hang,
    "one server fails": lambda contacts, now_s: fail(contacts[:1], now_s),
}


OTHERS = {
    "hear from them": lambda now_s: Others(now_s, now_s),
    "only claim it": lambda now_s: Others(now_s, claimed_s=now_s),
    "hear nothing": lambda now_s: Others(10.0, claimed_s=10.0),
}


@when("from then on {evidence}, {probes}, and other hosts {others}")
def evidence_comes(context, evidence, probes, others):
    reach, contacts, context.states = context.reach, context.contacts, []
    result = ProbeResult.ANSWERED if probes == "probes answer" else ProbeResult.FAILED
    for tick in range(201):
        now_s = 10.0 + tick * TICK_S
        EVIDENCE[evidence](contacts, now_s)
        heard = OTHERS[others](now_s)
        reach.update(contacts, heard, now_s)
        if count := reach.probes_due(now_s):
            reach.probed([result] * count, contacts, heard, now_s)
        context.states.append((now_s, reach.state))


@when("the servers go down, and other hosts read until {until_s:g} s what came before")
def others_read_late(context, until_s):
    reach, context.states = context.reach, []
    for tick in range(201):
        now_s = 10.0 + tick * TICK_S
        fail(context.contacts, now_s)
        heard = Others(min(now_s, until_s), claimed_s=min(now_s, until_s))
        reach.update(context.contacts, heard, now_s)
        if count := reach.probes_due(now_s):
            reach.probed([ProbeResult.FAILED] * count, context.contacts, heard, now_s)
        context.states.append(reach.state)


@then("the host never believes to be cut off")
def never_cut(context):
    assert Reach.CUT not in context.states
    assert context.states[-1] is Reach.DOUBTFUL, context.states[-1]


@then("the host {ends} by {by:g} s")
def ends(context, ends, by):
    states = [state for now_s, state in context.states if now_s >= by]
    if ends == "stays reaching":
        assert Reach.CUT not in dict.fromkeys(state for _, state in context.states)
        assert states[-1] is Reach.REACHING, states[-1]
    else:
        assert set(states) == {STATE_BY_END[ends]}, states


@when("it is suspended from 10 s to 15 s with requests in flight")
def suspended(context):
    for contact in context.contacts:
        contact.request_sent(10.0, proved=True)
        contact.connecting(10.0)


@then("it has no doubt at 15.1 s")
def no_doubt(context):
    for now_s in (15.0, 15.1):
        context.reach.update(context.contacts, Others(10.0), now_s)
    assert context.reach.state is Reach.REACHING


@given("a host that is cut off")
def cut_host(context):
    reaching_host(context)
    evidence_comes(context, "connections fail", "probes fail", "hear from them")
    assert context.reach.state is Reach.CUT


@when("its probes answer, fail, answer and answer")
def probes_end(context):
    answered, failed = [ProbeResult.ANSWERED], [ProbeResult.FAILED]
    context.after = []
    for number, results in enumerate((answered, failed, answered, answered)):
        now_s = 20.5 + number
        context.reach.probed(results, context.contacts, Others(now_s), now_s)
        context.after.append(context.reach.state)


@then("it is cut off until the last one")
def until_last(context):
    assert context.after == [Reach.CUT] * 3 + [Reach.REACHING], context.after


@when("no other host hears from the servers for 3.1 s")
def others_silent(context):
    for tick in range(63):
        context.reach.update(context.contacts, Others(20.0), 20.0 + tick * TICK_S)


@then("the host is in doubt")
def in_doubt(context):
    assert context.reach.state is Reach.DOUBTFUL
