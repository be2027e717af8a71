"""Steps of platform/formats.feature."""

from __future__ import annotations

import json

from behave import then, when

from front_rig import KEY, boot, entry, table
from redwingbank.duties.values import DutySettings
from redwingbank.errors import SettingErrors
from redwingbank.front.digest import Message, News, decode_message, encode_message
from redwingbank.front.values import (
    Kind,
    PromptPart,
    StatedBrittleness,
    StatedLimit,
    UnreadableStatement,
)
from redwingbank.platform.directory import decode_server, decode_table
from redwingbank.platform.headers import Envelope, decode_answer, decode_call, encode_call
from redwingbank.platform.objects import MalformedError
from redwingbank.platform.settings import decode_host_settings
from redwingbank.settings import Address

STORE = Address("10.0.0.9", 9000)


def set_value(document, key, value):
    *path, last = key.split(".")
    for part in path:
        document = document[part]
    document[last] = value


@when("the platform's settings are read")
def settings_read(context):
    context.settings = decode_host_settings(boot(STORE, [1, 2, 3]), "boot.json")


@then("each setting has the file's value in seconds or as an address")
def settings_match(context):
    settings = context.settings
    assert settings.store == STORE
    assert settings.caller == Address("127.0.0.1", 1)
    assert settings.readiness == Address("127.0.0.1", 2)
    assert settings.metrics == Address("127.0.0.1", 3)
    assert settings.bounds.table_s == 2.0
    assert settings.bounds.revoke_s == 5.0
    assert settings.bounds.grace_s == 8.0


@then("unknown keys are ignored")
def unknown_ignored(context):
    assert not hasattr(context.settings, "something")


@when("the platform's settings have {key} set to {value}")
def settings_invalid(context, key, value):
    document = boot(STORE, [1, 2, 3])
    set_value(document, key, json.loads(value))
    try:
        decode_host_settings(document, "boot.json")
    except SettingErrors as errors:
        context.errors = errors.exceptions


@when("the platform's settings have the cloud {cloud}")
def settings_of_duties(context, cloud):
    document = boot(STORE, [1, 2, 3], leaseMs=3000, fencing=False) | {"cloud": json.loads(cloud)}
    try:
        context.duties = decode_host_settings(document, "boot.json").duties
    except SettingErrors as errors:
        context.duties = errors.exceptions


@then("the duties are {expected}")
def duties_match(context, expected):
    duties = context.duties
    if not isinstance(duties, DutySettings):
        assert expected in str(duties or "off"), duties
        return
    assert ",".join(duties.duties) == expected
    assert (duties.per_s, duties.lease_s, duties.fencing) == (20.0, 3.0, False), duties


@then("the only settings error names {key}")
def error_named(context, key):
    (error,) = context.errors
    assert error.key == key
    assert str(error).startswith(f"boot.json: {key}: expected ")


@when("the platform's table is read")
def table_read(context):
    longer = {**table()["routes"][0], "name": "longer", "pathPrefix": "/book/in/"}
    content = table()
    content["routes"].append(longer)
    context.route_table = decode_table(content)


@then("a path finds the route with its longest prefix")
def longest_prefix_found(context):
    find = context.route_table.find
    assert find("desk.example", "/book/in/x").name == "longer"
    assert find("desk.example", "/book/x").name == "book"
    assert find("desk.example", "/book/x").kind is Kind.SINGLE
    assert not find("desk.example", "/book/x").repeatable
    assert find("desk.example", "/memo/x").repeatable
    assert find("desk.example", "/book") is None
    assert find("else.example", "/book/x") is None


@then("keys identify organisations")
def keys_identify(context):
    assert context.route_table.organisations_by_key[KEY].name == "bakery"
    assert context.route_table.organisations_by_key[KEY].tier == 1


@when("a server's entry has {field} set to {value}")
def entry_invalid(context, field, value):
    context.content = {**entry(STORE), field: json.loads(value)}


@then("the platform's entry is malformed")
def entry_malformed(context):
    decode_server("i-1", entry(STORE))
    try:
        decode_server("i-1", context.content)
    except MalformedError:
        return
    raise AssertionError(context.content)


@when("the platform's table has a service with the scaling {scaling}")
def scaling_read(context, scaling):
    content = table()
    content["services"] = [{"name": "drafting", "scaling": json.loads(scaling)}]
    context.pool = decode_table(content).pools_by_name["drafting"]


@then(
    "from {least:d} to {most:d} of its servers may be ordered, "
    "a spot server for {price:g} of the price"
)
def scaling_known(context, least, most, price):
    scaling = context.pool.scaling
    assert scaling[:4] == (least, most, 4.0, price), scaling
    assert scaling.prices_by_data_centre == {"dc-a": 0.85}, scaling


@then("no servers of it are ordered")
def scaling_ignored(context):
    assert context.pool.scaling is None


@when("a spot server's entry tells that it leaves in {milliseconds:d} ms")
def spot_leaves(context, milliseconds):
    content = {**entry("10.0.0.1:80", state="draining"), "spot": True, "leaves_ms": milliseconds}
    context.server = decode_server("engine-1", content)


@then("it is a draining spot server that leaves in {seconds:g} s")
def spot_known(context, seconds):
    server = context.server
    assert (server.draining, server.spot, server.leaves_s) == (True, True, seconds), server


@then("a host that is told of it knows the same")
def spot_told(context):
    news = News(1, 2, (context.server,), ())
    message = decode_message(encode_message(Message("host-1", 1, news)), 0.0)
    assert message.content == news, message


@when("the platform's table has a service with the engine {engine}")
def table_engine(context, engine):
    content = table()
    content["services"][0]["engine"] = json.loads(engine)
    context.pool_name = content["services"][0]["name"]
    context.route_table = decode_table(content)


@then("its servers copy {speed:g} tokens a second")
def copy_speed(context, speed):
    pool = context.route_table.pools_by_name[context.pool_name]
    assert pool.copy_tokens_per_s == speed, pool


@when("a request that names a server to copy from is sent with another one")
def copy_source_sent(context):
    headers = ((b"Host", b"desk.example"), (b"Kv-Fetch", b"1.1.1.1:1"))
    envelope = Envelope("i-1", None, 1.5, "", 0, Address("10.0.0.9", 8080))
    context.sent = encode_call(b"POST", b"/memo/x", decode_call(headers), 0, envelope)


@then("only the router's server to copy from is named")
def copy_source_named(context):
    lines = [line for line in context.sent.split(b"\r\n") if line.lower().startswith(b"kv-fetch")]
    assert lines == [b"Kv-Fetch: 10.0.0.9:8080"], lines


@when("a platform request's headers are read")
def headers_read(context):
    headers = {
        b"Host": b"desk.example",
        b"Request-Id": b"r-1",
        b"Deadline-Ms": b"1500",
        b"Authorization": b"Token k",
        b"Token-Count": b"1460,80",
        b"Prompt-Prefix": b"5c:800,91:410",
        b"Model": b"m",
        b"X-Once": b"1",
        b"Connection": b"keep-alive, X-Once, Model",
        b"Transfer-Encoding": b"chunked",
    }
    context.facts = decode_call(tuple(headers.items()))


@then("its parts, tokens, key and deadline are decoded")
def facts_decoded(context):
    facts = context.facts
    assert facts.parts == (PromptPart("5c", 800), PromptPart("91", 410))
    assert (facts.prompt_tokens, facts.answer_tokens) == (1460, 80)
    assert facts.key == "k"
    assert facts.deadline_s == 1.5


@then("headers of the connection are dropped")
def headers_dropped(context):
    forwarded_headers = context.facts.forwarded_headers
    assert b"Model: m\r\n" in forwarded_headers
    assert b"X-Once" not in forwarded_headers
    assert b"Transfer-Encoding" not in forwarded_headers


@when('a server\'s answer names the limit "{value}"')
@when('a server\'s answer names the limit ""')
def limit_named(context, value=""):
    context.limit = decode_answer([(b"Server-Limit", value.encode())]).statements[0]


@when("a server's answer names no limit")
def no_limit_named(context):
    context.limit = decode_answer([(b"Server-Load", b"1,0,6")]).statements[0]


@then("its limit is {expected}")
def limit_matches(context, expected):
    stated = {"unreadable": UnreadableStatement("limit"), "none": StatedLimit(None)}
    wanted = stated[expected] if expected in stated else StatedLimit(float(expected))
    assert context.limit == wanted, context.limit


@when('a server\'s answer says that it is brittle with "{value}"')
def brittleness_named(context, value):
    context.brittle = decode_answer([(b"Server-Brittle", value.encode())]).statements[1]


@then("it can turn away {expected} a second")
def brittleness_matches(context, expected):
    unreadable = expected == "unreadable"
    wanted = UnreadableStatement("brittle") if unreadable else StatedBrittleness(int(expected))
    assert context.brittle == wanted, context.brittle
