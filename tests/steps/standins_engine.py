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
LONG_TOKENS = 100_000


def start_engine(context, settings):
    context.engine = support.ServedStandIn(build_engine(settings))
    context.add_cleanup(context.engine.close)
    context.futures = {}


def chat_body(text, *, stream=True, limit=LONG_TOKENS):
    messages = [{"role": "user", "content": text}]
    return {"model": MODEL, "messages": messages, "stream": stream, "max_tokens": limit}


def get_counters(context):
    return context.engine.request("GET", "/counters").json()


def get_load(context):
    return context.engine.request("GET", "/load").json()


def prompt_of_blocks(blocks, name):
    return f"length=1 {name} " + "word " * (64 * blocks - 2)


@given("the stand-in engine with {slots:d} slots")
def with_slots(context, slots):
    start_engine(context, SETTINGS._replace(slots=slots))


@given('the stand-in engine with {slots:d} slots and "{fencing}" fencing')
def with_fencing(context, slots, fencing):
    start_engine(context, SETTINGS._replace(slots=slots, fencing=fencing))


@given("the stand-in engine with a cache of {blocks:d} blocks")
def with_cache(context, blocks):
    start_engine(context, SETTINGS._replace(cache_blocks=blocks))


@given("the stand-in engine in a separate process")
def with_process(context):
    command = [sys.executable, "-m", "redwingbank_standins.engine", "--model", MODEL]
    context.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    context.add_cleanup(context.process.stdout.close)
    context.add_cleanup(context.process.wait)
    context.add_cleanup(context.process.terminate)
    prefix, _, address = context.process.stdout.readline().strip().partition(" ")
    assert prefix == "listening", prefix
    port = int(address.rpartition(":")[2])
    context.engine = SimpleNamespace(request=lambda *args: support.request(port, *args))


@given("the stand-in engine's faults are {faults}")
@when("the stand-in engine's faults are {faults}")
def set_faults(context, faults):
    assert context.engine.request("POST", "/faults", json.loads(faults)).status == 200


@when(
    "the stand-in engine is asked for {tokens:d} tokens, "
    "stream {stream}, from {start:d}, at most {limit:d}"
)
def request_tokens(context, tokens, stream, start, limit):
    context.body = chat_body(f"length={tokens}", stream=stream == "true", limit=limit)
    headers = {"X-Resume-From": str(start)}
    context.answer = context.engine.request("POST", CHAT, context.body, headers)


@then("the stand-in engine's answer is complete with tokens {start:d} to {end:d}")
def answer_is_complete(context, start, end):
    expected = expected_answer(MODEL, context.body["messages"])[start:end]
    assert context.answer.status == 200 and context.answer.complete, context.answer
    if context.body["stream"]:
        assert context.answer.tokens() == expected, context.answer
        assert context.answer.body.endswith(b"data: [DONE]\n\n")
    else:
        message = context.answer.json()["choices"][0]["message"]
        assert message["content"] == "".join(expected), message


@then('the stand-in engine\'s answer finishes with reason "{reason}"')
def answer_finishes(context, reason):
    if context.body["stream"]:
        last = json.loads(context.answer.body.split(b"\n\n")[-3].removeprefix(b"data: "))
    else:
        last = context.answer.json()
    assert last["choices"][0]["finish_reason"] == reason, last


@then("the stand-in engine's answer is {outcome} with status {status:d} and {tokens:d} tokens")
def answer_outcome(context, outcome, status, tokens):
    answer = context.answer
    assert answer.complete == (outcome == "complete"), answer
    assert answer.status == status, answer
    expected = expected_answer(MODEL, context.body["messages"])[:tokens]
    assert (answer.tokens() if answer.status == 200 else []) == expected, answer


@when('the stand-in engine receives "{method}" "{path}" with "{text}"')
def receive_text(context, method, path, text):
    context.answer = context.engine.request(method, path, text.encode())


@when('the stand-in engine receives "{method}" "{path}" with ""')
def receive_empty(context, method, path):
    context.answer = context.engine.request(method, path)


@then("the stand-in engine responds with status {status:d}")
def responds_with_status(context, status):
    assert context.answer.status == status, context.answer


@then('the stand-in engine\'s counter "{name}" is {value:d}')
def counter_is(context, name, value):
    assert get_counters(context)[name] == value, get_counters(context)


@when('the stand-in engine runs a long request "{name}" of priority {priority:d}')
def run_long_request(context, name, priority):
    headers = {"X-Request-Id": name, "X-Priority": str(priority)}
    value = chat_body(f"length={LONG_TOKENS}")
    context.futures[name] = context.engine.start_request("POST", CHAT, value, headers)
    support.wait_until(lambda: name in get_counters(context)["runs"], f"{name} started")


@when("the stand-in engine has these waiting requests")
def have_waiting_requests(context):
    for number, row in enumerate(context.table, start=1):
        headers = {"X-Request-Id": row["request"], "X-Priority": row["priority"]}
        context.engine.start_request("POST", CHAT, chat_body("length=1"), headers)
        support.wait_until(
            lambda expected=number: get_load(context)["waiting"] == expected, "waiting"
        )


@when('the stand-in engine receives request "{name}" again')
def receive_again(context, name):
    value = chat_body("length=3")
    context.body = value
    context.answer = context.engine.request("POST", CHAT, value, {"X-Request-Id": name})
    assert not context.futures[name].result().complete


@when('the stand-in engine\'s request "{name}" is cancelled by its {method}')
def cancel(context, name, method):
    if method == "id":
        assert context.engine.request("POST", f"/cancel/{name}").status == 200
        assert not context.futures[name].result().complete
    else:
        context.futures[name].cancel()


@then('the stand-in engine starts in the order "{names}"')
def starts_in_order(context, names):
    expected = names.split(", ")
    support.wait_until(lambda: len(get_counters(context)["runs"]) == len(expected), "all started")
    runs = get_counters(context)["runs"]
    assert sorted(runs, key=lambda name: runs[name]["started_s"]) == expected, runs
    assert {run["times"] for run in runs.values()} == {1}, runs


@then("the stand-in engine's load becomes {running:d} running and {waiting:d} waiting")
def load_becomes(context, running, waiting):
    expected = (running, waiting)
    support.wait_until(
        lambda: (get_load(context)["running"], get_load(context)["waiting"]) == expected,
        "load",
    )


@when('the stand-in engine receives the order "{order}" with fencing number {number:d}')
def receive_order(context, order, number):
    value = {"fencing": number, "order": order, "argument": ""}
    context.answer = context.engine.request("POST", "/orders", value)


@then("the stand-in engine has executed {count:d} orders")
def executed(context, count):
    assert len(context.engine.request("GET", "/orders").json()["orders"]) == count


@then("the stand-in engine reports draining {draining}")
def reports_draining(context, draining):
    assert get_load(context)["draining"] == (draining == "true")


@then(
    "the stand-in engine's load report has status {status:d}, "
    "{running:d} running and age {age:f} ms"
)
def load_report_is(context, status, running, age):
    answer = context.engine.request("GET", "/load")
    assert answer.status == status, answer
    if status == 200:
        assert (answer.json()["running"], answer.json()["age_ms"]) == (running, age), answer


@when('the stand-in engine processes a prompt of {blocks:d} blocks named "{name}"')
def process_prompt(context, blocks, name):
    answer = context.engine.request("POST", CHAT, chat_body(prompt_of_blocks(blocks, name)))
    assert answer.complete and answer.status == 200, answer


@then('the stand-in engine\'s cache events after {after:d} are numbered "{numbers}"')
def event_numbers(context, after, numbers):
    events = context.engine.request("GET", f"/cache-events?after={after}").json()["events"]
    assert ",".join(str(event["number"]) for event in events) == numbers, events


@then('the stand-in engine\'s cache events after {after:d} are numbered ""')
def no_events(context, after):
    event_numbers(context, after, "")


@when('the stand-in engine imports the KV cache of a prompt of {blocks:d} blocks named "{name}"')
def import_kv(context, blocks, name):
    text = prompt_text(chat_body(prompt_of_blocks(blocks, name))["messages"])
    for block in block_hashes(text):
        assert context.engine.request("PUT", f"/kv/{block}", kv_bytes(block)).status == 200


@then('the stand-in engine exports the KV cache of a prompt of {blocks:d} blocks named "{name}"')
def export_kv(context, blocks, name):
    text = prompt_text(chat_body(prompt_of_blocks(blocks, name))["messages"])
    answers = [context.engine.request("GET", f"/kv/{block}") for block in block_hashes(text)]
    assert [answer.status for answer in answers] == [200] * blocks, answers
    assert [answer.body for answer in answers] == [kv_bytes(b) for b in block_hashes(text)]


@then("the stand-in engine's process has crashed")
def process_crashed(context):
    assert context.process.wait(support.CONDITION_TIMEOUT_S) == CRASH_EXIT_CODE
