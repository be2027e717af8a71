"""Steps of front/earlier_release.feature."""

from __future__ import annotations

from base64 import b64decode

from behave import then, when

from redwingbank.forwarding.reach_codec import ReachReport, pool_key
from redwingbank.front.digest import Answer, News, decode_message
from redwingbank.front.values import ServerEntry
from redwingbank.settings import Address

AGE_S_BY_KEY = {pool_key("pool"): 0.25}
SERVER = ServerEntry("i-1", "pool", Address("127.0.0.1", 80), "a", 4, True, 5, "v1")
READ = {
    "a report of reach": ReachReport(
        AGE_S_BY_KEY, takes_forwards=True, asked_s=0.0, proved_key=0, proves=False
    ),
    "a question about reach": ReachReport(
        AGE_S_BY_KEY, takes_forwards=True, asks=True, asked_s=0.0, proves=False
    ),
    "an answer about tables": Answer(5.0, 0.5, 3, 4, 5, 0.25, era=0),
    "news of servers": News(3, 4, (SERVER,), ("i-2",), era=0),
}


@when('a host reads the bytes "{data}"')
def read(context, data):
    context.message = decode_message(b64decode(data), 0.0)


@then("it has read {message}")
def has_read(context, message):
    content = context.message.content
    assert getattr(content, "reach", content) == READ[message], content
