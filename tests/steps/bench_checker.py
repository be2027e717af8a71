"""Steps of bench/checker.feature."""

from __future__ import annotations

import re

from behave import given, then

from redwingbank_bench.checker import check, waste
from redwingbank_bench.load import Arrival, Record
from redwingbank_bench.sheets import MODEL, Organisation, TrafficClass
from redwingbank_standins.answers import expected_answer

ERROR = re.compile(r"an error (\d+) ran (\w+)(?: after (its first|another's) tokens)?")
TOKENS = 6


def answer_to(tag):
    messages = [{"role": "user", "content": text_of(tag)}]
    return tuple(expected_answer(MODEL, messages))


def text_of(tag):
    return f"length={TOKENS} tag={tag}"


def fields_of(text, tag):
    """The whole mark, tokens, code and `ran` that a text tells of."""
    plain = {
        "its whole answer": (True, answer_to(tag), 0, ""),
        "another's whole answer": (True, answer_to("another"), 0, ""),
        "a whole answer cut off": (True, answer_to(tag)[:-1], 0, ""),
        "nothing": (False, (), 0, ""),
        "success": (True, (), 0, ""),
    }
    if text in plain:
        return plain[text]
    code, ran, whose = ERROR.fullmatch(text).groups()
    tokens = {None: (), "its first": answer_to(tag), "another's": answer_to("another")}[whose]
    return False, tokens[:2], int(code), ran


def see(context, class_name, tag, sent_s, ended_s, answer, key=""):
    whole, tokens, code, ran = fields_of(answer, tag)
    row = context.classes[class_name]
    arrival = Arrival(sent_s, tag, row, Organisation("o"), text_of(tag), "", key)
    sendings = sum(record.arrival.tag == tag for record in context.records)
    request_id = f"id-{tag}" + (f"-{sendings + 1}" if sendings else "")
    first_s = sent_s + 1 if tokens else 0.0
    record = Record(
        arrival, sent_s, first_s, ended_s, (), tokens, 200, whole, code, ran, 0.0, request_id
    )
    context.records.append(record)


def note(context, event, **fields):
    context.journal.append({"event": event, "at_s": 1.0, **fields})


@given("the checker's classes")
def classes(context):
    context.records, context.journal = [], []
    context.classes = {
        row["class"]: TrafficClass(
            row["class"], int(row["tier"]), 1000, 80, 10, float(row["minimum"])
        )
        for row in context.table
    }


@given('the checker sees a {name} "{tag}" sent at {sent:d} and ended at {ended:d} with {answer}')
def sees(context, name, tag, sent, ended, answer):
    see(context, name, tag, float(sent), float(ended), answer)


@given('the checker sees a call "{key}" answered with {answer}')
def sees_call(context, key, answer):
    see(context, "question", key, 0.0, 2.0, answer, key)


@given('the checker sees {count:d} of "{name}" that started between')
def sees_started(context, count, name):
    for number in range(count):
        tag = f"other-{number}"
        see(context, name, tag, 0.0, 6.0, "its whole answer")
        note(context, "start", tag=tag, id=f"id-{tag}")


@given('the checker reads that "{tag}" started at {at:d} under the id "{request_id}"')
def reads_start(context, tag, at, request_id):
    note(context, "start", tag=tag, id=request_id)


@given('the checker reads {count:d} effects of "{key}"')
def reads_effects(context, count, key):
    for _ in range(count):
        note(context, "effect", key=key)


@given('the checker reads that engines read "{read}" and made "{made}" tokens for "{tag}"')
def reads_work(context, read, made, tag):
    for tokens in read.split():
        note(context, "read", tag=tag, read=int(tokens))
    for tokens in made.split():
        note(context, "output", tag=tag, tokens=int(tokens))


@then('the checker counts {count:d} of "{promise}" and nothing else')
def counts(context, count, promise):
    violations = check(context.records, {"engine": context.journal})
    wanted = violations._replace(**dict.fromkeys(violations._fields, 0))
    assert violations == wanted._replace(**{promise: count}), violations


@then("the checker finds {prompt:d} prompt and {output:d} output tokens wasted")
def wasted(context, prompt, output):
    found = waste(context.records, {"engine": context.journal})
    assert (found.prompt_wasted, found.output_wasted) == (prompt, output), found
