"""Steps of standins/engine.feature."""

from __future__ import annotations

import json
import subprocess
import sys
from types import SimpleNamespace

from behave import given, then, when

import standins_support as support
from redwingbank.rules.blocks import block_hashes, prompt_text
from redwingbank_standins.answers import expected_answer
from redwingbank_standins.engine import CRASH_EXIT_CODE, EngineSettings, build_engine
from redwingbank_standins.prefix_cache import kv_bytes

MODEL = "m"
CHAT = "/v1/chat/completions"
SETTINGS = EngineSettings(model=MODEL, token_ms=1.0, prefill_rate=1e6, load_s=0.01)
LONG = 100_000


def serve(context, settings):
    context.engine = support.Served(build_engine(settings))
    context.add_cleanup(context.engine.close)
    context.futures = {}


def body(text, *, stream=True, limit=LONG):
    messages = [{"role": "user", "content": text}]
    return {"model": MODEL, "messages": messages, "stream": stream, "max_tokens": limit}


def counters(context):
    return context.engine.ask("GET", "/counters").json()


def load(context):
    return context.engine.ask("GET", "/load").json()


def blocks_text(blocks, name):
    return f"length=1 {name} " + "word " * (64 * blocks - 2)


@given("the stand-in engine with {slots:d} slots")
def with_slots(context, slots):
    serve(context, SETTINGS._replace(slots=slots))


@given('the stand-in engine with {slots:d} slots and "{fencing}" fencing')
def with_fencing(context, slots, fencing):
    serve(context, SETTINGS._replace(slots=slots, fencing=fencing))


@given("the stand-in engine that keeps {blocks:d} blocks")
def with_cache(context, blocks):
    serve(context, SETTINGS._replace(cache_blocks=blocks))


@given("the stand-in engine in a process of its own")
def with_process(context):
    command = [sys.executable, "-m", "redwingbank_standins.engine", "--model", MODEL]
    context.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    context.add_cleanup(context.process.stdout.close)
    context.add_cleanup(context.process.wait)
    context.add_cleanup(context.process.terminate)
    word, _, address = context.process.stdout.readline().strip().partition(" ")
    assert word == "listening", word
    port = int(address.rpartition(":")[2])
    context.engine = SimpleNamespace(ask=lambda *given: support.ask(port, *given))


@given("the stand-in engine's faults are {faults}")
@when("the stand-in engine's faults are {faults}")
def set_faults(context, faults):
    assert context.engine.ask("POST", "/faults", json.loads(faults)).status == 200


@when(
    "the stand-in engine is asked for {tokens:d} tokens, "
    "stream {stream}, from {start:d}, at most {limit:d}"
)
def ask_tokens(context, tokens, stream, start, limit):
    context.body = body(f"length={tokens}", stream=stream == "true", limit=limit)
    headers = {"X-Resume-From": str(start)}
    context.answer = context.engine.ask("POST", CHAT, context.body, headers)


@then("the stand-in engine's answer is whole and holds tokens {start:d} to {end:d}")
def answer_holds(context, start, end):
    expected = expected_answer(MODEL, context.body["messages"])[start:end]
    assert context.answer.status == 200 and context.answer.whole, context.answer
    if context.body["stream"]:
        assert context.answer.tokens() == expected, context.answer
        assert context.answer.body.endswith(b"data: [DONE]\n\n")
    else:
        message = context.answer.json()["choices"][0]["message"]
        assert message["content"] == "".join(expected), message


@then('the stand-in engine\'s answer ends for "{reason}"')
def answer_ends(context, reason):
    if context.body["stream"]:
        last = json.loads(context.answer.body.split(b"\n\n")[-3].removeprefix(b"data: "))
    else:
        last = context.answer.json()
    assert last["choices"][0]["finish_reason"] == reason, last


@then("the stand-in engine's answer is {outcome} with status {status:d} and {tokens:d} tokens")
def answer_outcome(context, outcome, status, tokens):
    answer = context.answer
    assert answer.whole == (outcome == "whole"), answer
    assert answer.status == status, answer
    expected = expected_answer(MODEL, context.body["messages"])[:tokens]
    assert (answer.tokens() if answer.status == 200 else []) == expected, answer


@when('the stand-in engine gets "{method}" "{path}" with "{text}"')
def get_text(context, method, path, text):
    context.answer = context.engine.ask(method, path, text.encode())


@when('the stand-in engine gets "{method}" "{path}" with ""')
def get_nothing(context, method, path):
    context.answer = context.engine.ask(method, path)


@then("the stand-in engine answers status {status:d}")
def answers_status(context, status):
    assert context.answer.status == status, context.answer


@then('the stand-in engine\'s counter "{name}" reads {value:d}')
def counter_reads(context, name, value):
    assert counters(context)[name] == value, counters(context)


@when('the stand-in engine runs a long request "{name}" of priority {priority:d}')
def run_long(context, name, priority):
    headers = {"X-Request-Id": name, "X-Priority": str(priority)}
    value = body(f"length={LONG}")
    context.futures[name] = context.engine.later("POST", CHAT, value, headers)
    support.until(lambda: name in counters(context)["runs"], f"{name} started")


@when("the stand-in engine has these waiting")
def have_waiting(context):
    for number, row in enumerate(context.table, start=1):
        headers = {"X-Request-Id": row["request"], "X-Priority": row["priority"]}
        context.engine.later("POST", CHAT, body("length=1"), headers)
        support.until(lambda wanted=number: load(context)["waiting"] == wanted, "waiting")


@when('the stand-in engine gets request "{name}" again')
def again(context, name):
    value = body("length=3")
    context.body = value
    context.answer = context.engine.ask("POST", CHAT, value, {"X-Request-Id": name})
    assert not context.futures[name].result().whole


@when('the stand-in engine\'s request "{name}" is cancelled by its {way}')
def cancel(context, name, way):
    if way == "id":
        assert context.engine.ask("POST", f"/cancel/{name}").status == 200
        assert not context.futures[name].result().whole
    else:
        context.futures[name].cancel()


@then('the stand-in engine starts in the order "{names}"')
def starts_in_order(context, names):
    wanted = names.split(", ")
    support.until(lambda: len(counters(context)["runs"]) == len(wanted), "all started")
    runs = counters(context)["runs"]
    assert sorted(runs, key=lambda name: runs[name]["started_s"]) == wanted, runs
    assert {run["times"] for run in runs.values()} == {1}, runs


@then("the stand-in engine's load comes to be {running:d} running and {waiting:d} waiting")
def load_comes(context, running, waiting):
    wanted = (running, waiting)
    support.until(
        lambda: (load(context)["running"], load(context)["waiting"]) == wanted, "the load"
    )


@when('the stand-in engine gets the order "{order}" with fencing number {number:d}')
def get_order(context, order, number):
    value = {"fencing": number, "order": order, "argument": ""}
    context.answer = context.engine.ask("POST", "/orders", value)


@then("the stand-in engine has obeyed {count:d} orders")
def obeyed(context, count):
    assert len(context.engine.ask("GET", "/orders").json()["orders"]) == count


@then("the stand-in engine reports draining {draining}")
def reports_draining(context, draining):
    assert load(context)["draining"] == (draining == "true")


@then(
    "the stand-in engine's load report has status {status:d}, "
    "{running:d} running and age {age:f} ms"
)
def load_report(context, status, running, age):
    answer = context.engine.ask("GET", "/load")
    assert answer.status == status, answer
    if status == 200:
        assert (answer.json()["running"], answer.json()["age_ms"]) == (running, age), answer


@when('the stand-in engine reads a prompt of {blocks:d} blocks named "{name}"')
def read_prompt(context, blocks, name):
    answer = context.engine.ask("POST", CHAT, body(blocks_text(blocks, name)))
    assert answer.whole and answer.status == 200, answer


@then('the stand-in engine\'s cache events after {after:d} are numbered "{numbers}"')
def event_numbers(context, after, numbers):
    events = context.engine.ask("GET", f"/cache-events?after={after}").json()["events"]
    assert ",".join(str(event["number"]) for event in events) == numbers, events


@then('the stand-in engine\'s cache events after {after:d} are numbered ""')
def no_events(context, after):
    event_numbers(context, after, "")


@when('the stand-in engine gets the KV cache of a prompt of {blocks:d} blocks named "{name}"')
def import_kv(context, blocks, name):
    text = prompt_text(body(blocks_text(blocks, name))["messages"])
    for block in block_hashes(text):
        assert context.engine.ask("PUT", f"/kv/{block}", kv_bytes(block)).status == 200


@then('the stand-in engine gives the KV cache of a prompt of {blocks:d} blocks named "{name}"')
def export_kv(context, blocks, name):
    text = prompt_text(body(blocks_text(blocks, name))["messages"])
    answers = [context.engine.ask("GET", f"/kv/{block}") for block in block_hashes(text)]
    assert [answer.status for answer in answers] == [200] * blocks, answers
    assert [answer.body for answer in answers] == [kv_bytes(b) for b in block_hashes(text)]


@then("the stand-in engine's process has ended by a crash")
def process_ended(context):
    assert context.process.wait(support.CONDITION_S) == CRASH_EXIT_CODE
