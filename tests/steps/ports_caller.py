"""Steps of ports/caller.feature."""

from __future__ import annotations

import json

from behave import given, then, when

from embedded import KEY, MODEL, SERVICE, Embedded, streamed_text
from redwingbank_standins.answers import expected_answer

CHAT = "/v1/chat/completions"
MESSAGES = [{"role": "user", "content": "hello length=3"}]


def body(**fields):
    return json.dumps({"model": MODEL, "messages": MESSAGES} | fields).encode()


INPUTS = {
    "not JSON": ("POST", CHAT, b"{nonsense", {}),
    "a JSON list": ("POST", CHAT, b"[]", {}),
    "no messages": ("POST", CHAT, body(messages=[]), {}),
    "a message of a number": ("POST", CHAT, body(messages=[3]), {}),
    "two choices": ("POST", CHAT, body(n=2), {}),
    "an oversized body": ("POST", CHAT, body(pad="x" * 70_000), {}),
    "oversized headers": ("POST", CHAT, body(), {"X-Pad": "x" * 9_000}),
    "an unknown model": ("POST", CHAT, body(model="nobody"), {}),
    "a service as a model": ("POST", CHAT, body(model=SERVICE), {}),
    "an unknown class": ("POST", CHAT, body(), {"X-Service-Class": "royal"}),
    "an unknown organisation": ("POST", CHAT, body(), {"OpenAI-Organization": "nobody"}),
    "a wrong key": ("POST", CHAT, body(), {"Authorization": "Bearer wr0ng-key-7"}),
    "no key": ("POST", CHAT, body(), {"Authorization": ""}),
    "another's key": (
        "POST",
        CHAT,
        body(),
        {"Authorization": "Bearer wr0ng-key-7", "OpenAI-Organization": "haddad"},
    ),
    "an unknown path": ("POST", "/v2/nothing", body(), {}),
    "a wrong method": ("GET", CHAT, b"", {}),
    "an unknown service": ("POST", "/services/nobody/x", b"{}", {}),
}
FAULTS = {
    "send garbage": {"garbage": 1},
    "close early": {"close_early": 1},
    "refuse": {"refuse": 1},
}
ALWAYS = 1000


@given("a caller of a deployment of its own")
def caller_own_deployment(context):
    context.small = Embedded()
    context.add_cleanup(context.small.close)


@given("a caller of a small deployment")
def caller_deployment(context):
    if "small" not in context.feature_state:
        small = Embedded(body_limit_bytes=64 * 1024, header_limit_bytes=8 * 1024)
        context.feature_state["small"] = small
        context.feature_cleanups.append(small.close)
    context.small = context.feature_state["small"]
    for name in context.small.engines:
        context.small.set_faults(name, garbage=0, close_early=0, refuse=0)
    context.started = started(context.small)


def started(small):
    return sum(small.counters(name)["started"] for name in small.engines)


@when('the caller sends "{name}"')
def caller_sends(context, name):
    method, path, data, headers = INPUTS[name]
    context.answer = context.small.request(method, path, data, headers)


@then('the caller is refused with {status:d}, code {code} and ran "{ran}"')
def caller_refused(context, status, code, ran):
    assert context.answer.status == status, context.answer
    error = context.answer.error
    assert (error["code"], error["ran"]) == (code, ran), error
    assert KEY not in context.answer.body.decode()


@then("the caller's request reached no engine")
def caller_reached_none(context):
    assert started(context.small) == context.started


@when('the caller\'s engines will "{fault}"')
def caller_engine_fault(context, fault):
    context.small.set_faults("engine-1", **FAULTS[fault])


@when('all the caller\'s engines always "{fault}"')
def caller_engines_fault(context, fault):
    for name in context.small.engines:
        context.small.set_faults(name, **dict.fromkeys(FAULTS[fault], ALWAYS))


@when("the caller asks for {tokens:d} tokens, {form}")
def caller_asks(context, tokens, form):
    context.question = f"again {form} length={tokens}"
    context.form = form
    # one of the two engines is spoiled: asked until it was the one that answered
    for _ in range(40):
        context.answer = context.small.chat(context.question, stream=form == "streamed")
        faults = context.small.engines["engine-1"].faults
        if not (faults.garbage or faults.close_early or faults.refuse):
            break
        if faults.garbage + faults.close_early + faults.refuse > 1:
            break


@then("the caller gets the one right answer, whole")
def caller_whole(context):
    messages = [{"role": "user", "content": context.question}]
    right = "".join(expected_answer(MODEL, messages))
    assert context.answer.status == 200, context.answer
    assert context.answer.complete
    if context.form == "streamed":
        assert context.answer.body.endswith(b"data: [DONE]\n\n")
        assert streamed_text(context.answer) == right, (streamed_text(context.answer), right)
    else:
        choice = json.loads(context.answer.body)["choices"][0]
        assert choice["message"]["content"] == right, choice
    faults = context.small.engines["engine-1"].faults
    assert not (faults.garbage or faults.close_early or faults.refuse), "the fault was not met"


@then('the caller is told code {code} and ran "{ran}", with no end mark')
def caller_broken(context, code, ran):
    data = context.answer.body
    assert b"[DONE]" not in data
    last = data.strip().split(b"\n\n")[-1].removeprefix(b"data: ")
    error = json.loads(last)["error"]
    assert (error["code"], error["ran"]) == (code, ran), error


@when("the caller starts a stream of {tokens:d} tokens and goes")
def caller_goes(context, tokens):
    messages = [{"role": "user", "content": f"leave length={tokens}"}]
    data = body(messages=messages, stream=True)
    head = (
        f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
        f"Content-Length: {len(data)}\r\n\r\n"
    ).encode()
    small = context.small
    context.cancelled = sum(small.counters(name)["cancelled"] for name in small.engines)
    first = small.send_raw(head + data, then_close=False)
    assert first.startswith(b"HTTP/1.1 200"), first


@then("the caller's engine is told to cancel and its slot is free")
def caller_cancelled(context):
    small = context.small

    def cancelled():
        return any(engine.accounts.counters["cancelled"] for engine in small.engines.values())

    small.wait_until(cancelled)
    small.wait_until(lambda: small.daemons[0].status()["in_flight"] == 0)


@then("the caller finds the model listed")
def caller_models(context):
    answer = context.small.request("GET", "/v1/models")
    assert [row["id"] for row in json.loads(answer.body)["data"]] == [MODEL]


@then("the caller's key, prompt and answer show in no event, metric or status")
def caller_secrets(context):
    small = context.small
    told = b"".join(
        small.request("GET", path).body for path in ("/events", "/metrics", "/status")
    ).decode()
    assert "request-done" in told
    messages = [{"role": "user", "content": context.question}]
    for hidden in (KEY, "wr0ng-key-7", context.question, *expected_answer(MODEL, messages)):
        assert hidden.strip() not in told, hidden


@given("a caller of a deployment of its own that gives up after {seconds} s")
def caller_hasty_deployment(context, seconds):
    context.small = Embedded(give_up_s=seconds)
    context.add_cleanup(context.small.close)


@when("one of the caller's engines closes early after {tokens:d} tokens")
def caller_late_fault(context, tokens):
    context.small.set_faults("engine-1", close_early=1, close_after_tokens=tokens)


@when("the caller's daemon has a fault of its own")
def caller_broken_daemon(context):
    context.small.daemons[0]._caller_app._directory = object()
