"""Steps of bench/checker.feature."""

from __future__ import annotations

import re

from behave import given, then

from redwingbank_bench.checker import count_violations, measure_waste
from redwingbank_bench.load import Arrival, Record
from redwingbank_bench.sheets import MODEL, Organisation, TrafficClass
from redwingbank_standins.answers import expected_answer

ERROR = re.compile(r"an error (\d+) ran (\w+)(?: after (its first|another's) tokens)?")
TOKENS = 6


def expected_tokens(tag):
    messages = [{"role": "user", "content": prompt_for(tag)}]
    return tuple(expected_answer(MODEL, messages))


def prompt_for(tag):
    return f"length={TOKENS} tag={tag}"


def parse_answer(text, tag):
    """Return whether the answer is complete, its tokens, the error code and `ran`."""
    plain = {
        "its complete answer": (True, expected_tokens(tag), 0, ""),
        "another's complete answer": (True, expected_tokens("another"), 0, ""),
        "a complete answer cut short": (True, expected_tokens(tag)[:-1], 0, ""),
        "nothing": (False, (), 0, ""),
        "success": (True, (), 0, ""),
    }
    if text in plain:
        return plain[text]
    code, ran, whose = ERROR.fullmatch(text).groups()
    tokens = {
        None: (),
        "its first": expected_tokens(tag),
        "another's": expected_tokens("another"),
    }[whose]
    return False, tokens[:2], int(code), ran


def add_record(context, class_name, tag, sent_s, ended_s, answer, key=""):
    whole, tokens, code, ran = parse_answer(answer, tag)
    row = context.classes[class_name]
    arrival = Arrival(sent_s, tag, row, Organisation("o"), prompt_for(tag), "", key)
    earlier_sends = sum(record.arrival.tag == tag for record in context.records)
    request_id = f"id-{tag}" + (f"-{earlier_sends + 1}" if earlier_sends else "")
    first_s = sent_s + 1 if tokens else 0.0
    record = Record(
        arrival, sent_s, first_s, ended_s, (), tokens, 200, whole, code, ran, 0.0, request_id
    )
    context.records.append(record)


def add_event(context, event, **fields):
    context.journal.append({"event": event, "at_s": 1.0, **fields})


@given("the checker's classes")
def set_classes(context):
    context.records, context.journal = [], []
    context.classes = {
        row["class"]: TrafficClass(
            row["class"], int(row["tier"]), 1000, 80, 10, float(row["minimum"])
        )
        for row in context.table
    }


@given(
    'a checker record of a {name} "{tag}" sent at {sent:d} and ended at {ended:d} with {answer}'
)
def record_request(context, name, tag, sent, ended, answer):
    add_record(context, name, tag, float(sent), float(ended), answer)


@given('a checker record of a call "{key}" answered with {answer}')
def record_call(context, key, answer):
    add_record(context, "question", key, 0.0, 2.0, answer, key)


@given('checker records of {count:d} "{name}" that started in between')
def record_started_requests(context, count, name):
    for number in range(count):
        tag = f"other-{number}"
        add_record(context, name, tag, 0.0, 6.0, "its complete answer")
        add_event(context, "start", tag=tag, id=f"id-{tag}")


@given('the checker journal has a start of "{tag}" at {at:d} with the id "{request_id}"')
def journal_start(context, tag, at, request_id):
    add_event(context, "start", tag=tag, id=request_id)


@given('the checker journal has {count:d} effects of "{key}"')
def journal_effects(context, count, key):
    for _ in range(count):
        add_event(context, "effect", key=key)


@given('the checker journal has "{read}" prompt and "{made}" output tokens for "{tag}"')
def journal_tokens(context, read, made, tag):
    for tokens in read.split():
        add_event(context, "read", tag=tag, read=int(tokens))
    for tokens in made.split():
        add_event(context, "output", tag=tag, tokens=int(tokens))


@then('the checker counts {count:d} of "{violation}" and no other violation')
def check_violations(context, count, violation):
    violations = count_violations(context.records, {"engine": context.journal})
    expected = violations._replace(**dict.fromkeys(violations._fields, 0))
    assert violations == expected._replace(**{violation: count}), violations


@then("the checker finds {prompt:d} prompt and {output:d} output tokens wasted")
def check_waste(context, prompt, output):
    result = measure_waste(context.records, {"engine": context.journal})
    assert (result.prompt_wasted, result.output_wasted) == (prompt, output), result
