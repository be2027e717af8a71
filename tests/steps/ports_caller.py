"""Steps of ports/caller.feature."""

from __future__ import annotations

import contextlib
import json
import math
import socket
import time

import anyio
from behave import given, then, when

from embedded import KEY, MODEL, SERVICE, Embedded, streamed_text
from failing import SECRET, fail_once
from redwingbank_standins.answers import expected_answer

CHAT = "/v1/chat/completions"
MESSAGES = [{"role": "user", "content": "hello length=3"}]


def body(**fields):
    return json.dumps({"model": MODEL, "messages": MESSAGES} | fields).encode()


INPUTS = {
    "not JSON": ("POST", CHAT, b"{nonsense", {}),
    "a JSON list": ("POST", CHAT, b"[]", {}),
    "no messages": ("POST", CHAT, body(messages=[]), {}),
    "a message that is a number": ("POST", CHAT, body(messages=[3]), {}),
    "two choices": ("POST", CHAT, body(n=2), {}),
    "an oversized body": ("POST", CHAT, body(pad="x" * 70_000), {}),
    "oversized headers": ("POST", CHAT, body(), {"X-Pad": "x" * 9_000}),
    "an unknown model": ("POST", CHAT, body(model="nobody"), {}),
    "a service as a model": ("POST", CHAT, body(model=SERVICE), {}),
    "an unknown class": ("POST", CHAT, body(), {"X-Service-Class": "royal"}),
    "an unknown organisation": ("POST", CHAT, body(), {"OpenAI-Organization": "nobody"}),
    "a wrong key": ("POST", CHAT, body(), {"Authorization": "Bearer wr0ng-key-7"}),
    "no key": ("POST", CHAT, body(), {"Authorization": ""}),
    "a wrong key for a named organisation": (
        "POST",
        CHAT,
        body(),
        {"Authorization": "Bearer wr0ng-key-7", "OpenAI-Organization": "haddad"},
    ),
    "an unknown path": ("POST", "/v2/nothing", body(), {}),
    "a wrong method": ("GET", CHAT, b"", {}),
    "a question": ("POST", CHAT, body(), {}),
    "an unknown service": ("POST", "/services/nobody/x", b"{}", {}),
}
FAULTS = {
    "send garbage": {"garbage": 1},
    "close early": {"close_early": 1},
    "refuse": {"refuse": 1},
}
ALWAYS = 1000


@given("a caller of a separate deployment")
def caller_separate_deployment(context):
    context.deployment = Embedded()
    context.add_cleanup(context.deployment.close)


@given("a caller of a small deployment")
def caller_deployment(context):
    if "small" not in context.feature_state:
        deployment = Embedded(body_limit_bytes=64 * 1024, header_limit_bytes=8 * 1024)
        context.feature_state["small"] = deployment
        context.feature_cleanups.append(deployment.close)
    context.deployment = context.feature_state["small"]
    for name in context.deployment.engines:
        context.deployment.set_faults(name, garbage=0, close_early=0, refuse=0)
    context.started = started(context.deployment)


def started(deployment):
    return sum(deployment.counters(name)["started"] for name in deployment.engines)


@when('the caller sends "{name}"')
def caller_sends(context, name):
    method, path, data, headers = INPUTS[name]
    context.answer = context.deployment.request(method, path, data, headers)


@then('the caller is refused with {status:d}, code {code} and ran "{ran}"')
def caller_refused(context, status, code, ran):
    assert context.answer.status == status, context.answer
    error = context.answer.error
    assert (error["code"], error["ran"]) == (code, ran), error
    assert KEY not in context.answer.body.decode()


@then("the caller's request reached no engine")
def caller_reached_none(context):
    assert started(context.deployment) == context.started


@when('one of the caller\'s engines fails once with "{fault}"')
def caller_engine_fault(context, fault):
    context.deployment.set_faults("engine-1", **FAULTS[fault])


@when('all the caller\'s engines always fail with "{fault}"')
def caller_engines_fault(context, fault):
    for name in context.deployment.engines:
        context.deployment.set_faults(name, **dict.fromkeys(FAULTS[fault], ALWAYS))


@when("the caller asks for {tokens:d} tokens, {form}")
def caller_asks(context, tokens, form):
    context.question = f"again {form} length={tokens}"
    context.form = form
    # only one of the two engines fails: repeat the question until it reaches that engine
    for _ in range(40):
        context.answer = context.deployment.chat(context.question, stream=form == "streamed")
        faults = context.deployment.engines["engine-1"].faults
        if not (faults.garbage or faults.close_early or faults.refuse or faults.stall):
            break
        if faults.garbage + faults.close_early + faults.refuse + faults.stall > 1:
            break


@then("the caller gets the one expected answer, complete")
def caller_whole(context):
    messages = [{"role": "user", "content": context.question}]
    expected = "".join(expected_answer(MODEL, messages))
    assert context.answer.status == 200, context.answer
    assert context.answer.complete
    if context.form == "streamed":
        assert context.answer.body.endswith(b"data: [DONE]\n\n")
        assert streamed_text(context.answer) == expected, (streamed_text(context.answer), expected)
    else:
        choice = json.loads(context.answer.body)["choices"][0]
        assert choice["message"]["content"] == expected, choice
    faults = context.deployment.engines["engine-1"].faults
    assert not (faults.garbage or faults.close_early or faults.refuse), (
        "the faulty engine was never used"
    )


@then('the caller gets an error with code {code} and ran "{ran}", without an end marker')
def caller_error(context, code, ran):
    data = context.answer.body
    assert b"[DONE]" not in data
    last = data.strip().split(b"\n\n")[-1].removeprefix(b"data: ")
    error = json.loads(last)["error"]
    assert (error["code"], error["ran"]) == (code, ran), error


@when("the caller starts a stream of {tokens:d} tokens and disconnects")
def caller_disconnects(context, tokens):
    messages = [{"role": "user", "content": f"leave length={tokens}"}]
    data = body(messages=messages, stream=True)
    head = (
        f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
        f"Content-Length: {len(data)}\r\n\r\n"
    ).encode()
    deployment = context.deployment
    context.cancelled = sum(deployment.counters(name)["cancelled"] for name in deployment.engines)
    first = deployment.send_raw(head + data, close=False)
    assert first.startswith(b"HTTP/1.1 200"), first


@then("the caller's engine receives a cancel and its slot is freed")
def caller_cancelled(context):
    deployment = context.deployment

    def cancelled():
        return any(
            engine.statistics.counters["cancelled"] for engine in deployment.engines.values()
        )

    deployment.wait_until(cancelled)
    deployment.wait_until(lambda: deployment.daemons[0].status()["in_flight"] == 0)


@then("the caller finds the model in the list")
def caller_models(context):
    answer = context.deployment.request("GET", "/v1/models")
    assert [row["id"] for row in json.loads(answer.body)["data"]] == [MODEL]


@then("the caller's key, prompt and answer appear in no event, metric or status")
def caller_secrets(context):
    deployment = context.deployment
    output = b"".join(
        deployment.request("GET", path).body for path in ("/events", "/metrics", "/status")
    ).decode()
    assert "request-done" in output
    messages = [{"role": "user", "content": context.question}]
    for secret in (KEY, "wr0ng-key-7", context.question, *expected_answer(MODEL, messages)):
        assert secret.strip() not in output, secret


@given("a caller of a separate deployment that gives up after {seconds} s")
def caller_impatient_deployment(context, seconds):
    context.deployment = Embedded(give_up_s=seconds)
    context.add_cleanup(context.deployment.close)


@when("one of the caller's engines closes early after {tokens:d} tokens")
def caller_late_fault(context, tokens):
    context.deployment.set_faults("engine-1", close_early=1, close_after_tokens=tokens)


@given("a caller of a separate deployment whose servers may be idle for {seconds:g} s")
def caller_idle_limit(context, seconds):
    context.deployment = Embedded(idle_timeout_s=seconds)
    context.add_cleanup(context.deployment.close)


@when("one of the caller's engines stalls byte by byte after {tokens:d} tokens")
def caller_stall(context, tokens):
    context.deployment.set_faults("engine-1", stall=1, close_after_tokens=tokens)


@when("the caller's engines take {seconds:g} s for each token")
def slow_tokens(context, seconds):
    for engine in context.deployment.engines.values():
        token_ms = engine.settings.token_ms
        engine.faults.slow = seconds * 1000 / token_ms


@then("the caller's engines have run it once")
def ran_once(context):
    engines = context.deployment.engines.values()
    assert sum(engine.statistics.counters["finished"] for engine in engines) == 1


@when("the inbox of the caller's allocate task is closed")
def closed_inbox(context):
    daemon = context.deployment.daemons[0]

    async def close():
        outbox, inbox = anyio.create_memory_object_stream(math.inf)
        inbox.close()
        daemon._allocate_outbox = outbox

    context.deployment.portal.call(close)


@when("{step} of the caller's dispatch task fails once")
def dispatch_fails(context, step):
    dispatch = context.deployment.daemons[0].dispatch
    owner, name = {
        "admission": (dispatch._limits, "admit"),
        "the choice of server": (dispatch._fleet, "choose"),
    }[step]
    context.deployment.portal.call(fail_once, owner, name)


@when("the {task} task of the caller's daemon fails once")
def task_fails(context, task):
    daemon = context.deployment.daemons[0]
    owner, name = {
        "allocate": (daemon._allocate, "tick"),
        "members": (daemon.links._members, "_tick"),
        "tables": (daemon.platform, "read"),
        "loads": (daemon._engines, "read_load"),
        "orders": (next(iter(daemon._orders.orders_by_pool.values())), "tick"),
    }[task]
    context.deployment.portal.call(fail_once, owner, name)


@then("the caller's daemon still answers after {seconds:d} s")
def still_answers(context, seconds):
    time.sleep(seconds)
    answer = context.deployment.request("GET", "/v1/models")
    assert answer.status == 200, answer


@then("the caller's daemon still serves after {seconds:d} s")
def still_serves(context, seconds):
    still_answers(context, seconds)
    answer = context.deployment.request("POST", CHAT, body())
    assert answer.status == 200, answer
    assert answer.complete, answer


@then("the caller's daemon has recorded an internal error without its text")
def internal_error_recorded(context):
    daemon = context.deployment.daemons[0]
    limit_s = time.monotonic() + 10
    while time.monotonic() < limit_s:
        lines = [line for line in daemon.events.recent if line["event"] == "internal-error"]
        if lines:
            break
        time.sleep(0.1)
    assert lines
    assert SECRET not in str(lines), lines


@when("the caller's daemon has an internal error")
def caller_internal_error(context):
    context.deployment.daemons[0]._caller_app._directory = object()


@when("the caller floods its daemon with {what}")
def caller_floods(context, what):
    repeated = {"a header line": b"x" * 65_536, "headers": b"X-Pad: x\r\n" * 4096}[what]
    context.taken = 0
    with (
        socket.create_connection(context.deployment.daemons[0].caller) as connection,
        contextlib.suppress(OSError),
    ):
        connection.settimeout(5)
        connection.sendall(b"GET / HTTP/1.1\r\nX-First: ")
        while context.taken < 64e6:
            connection.sendall(repeated)
            context.taken += len(repeated)


@then("the caller's daemon has taken at most {megabytes:d} MB")
def flood_bounded(context, megabytes):
    assert context.taken < megabytes * 1e6, context.taken


UNUSUAL_CALLS = {
    "a key that is not ASCII": ("orders", {"Idempotency-Key": "caf\u00e9 %d"}),
    "a path that is not ASCII": ("orders/caf%%C3%%A9-%d", {}),
}


@when("the caller sends {count:d} service calls with {what}")
def unusual_calls(context, count, what):
    path, headers = UNUSUAL_CALLS[what]
    for number in range(count):
        target = (path % number if "%d" in path else path).encode("latin-1")
        lines = [b"POST /services/%b/%b HTTP/1.1" % (SERVICE.encode(), target), b"Host: x"]
        lines += [b"Authorization: Bearer %b" % KEY.encode(), b"Content-Length: 2"]
        lines += [f"{key}: {value % number}".encode("latin-1") for key, value in headers.items()]
        data = b"\r\n".join([*lines, b"Connection: close", b"", b"{}"])
        answer = context.deployment.send_raw(data, close=False)
        assert answer.startswith(b"HTTP/1.1 "), answer


@then("the caller's daemon has no call in flight")
def none_in_flight(context):
    context.deployment.wait_until(lambda: context.deployment.daemons[0].status()["in_flight"] == 0)


@then("the caller's next service call is answered")
def service_call_answered(context):
    answer = context.deployment.request("POST", f"/services/{SERVICE}/orders", b"{}")
    assert answer.status == 200, answer
