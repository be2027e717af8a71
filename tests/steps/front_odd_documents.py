"""Steps of front/damaged_entries.feature: documents with odd values and their decoders."""

from __future__ import annotations

import json
import tempfile
from contextlib import suppress
from pathlib import Path

from behave import then, when

from front_rig import boot, entry, table
from odd_values import ODD_TEXT, RAW_BY_NAME, spoiled
from redwingbank.duties.codec import Announcement
from redwingbank.duties.lease import LeaseRecord, SentReport
from redwingbank.duties.store import decode_lease, encode_lease
from redwingbank.errors import SettingErrors
from redwingbank.front.admission import choose_pool
from redwingbank.front.digest import (
    Answer,
    Digest,
    Message,
    News,
    Sent,
    decode_message,
    encode_message,
)
from redwingbank.front.hosts import decode_peer
from redwingbank.front.refusals import decode_error_code
from redwingbank.front.values import PromptPart
from redwingbank.platform.directory import decode_server, decode_table
from redwingbank.platform.headers import MAX_TOKENS
from redwingbank.platform.objects import (
    MalformedError,
    decode_changes,
    decode_page,
    decode_server_start,
)
from redwingbank.platform.settings import read_host_settings
from redwingbank.routing.load import InFlightRequest
from redwingbank.settings import Address

SERVER = Address("127.0.0.1", 9000)


@then("a digest of a request behind many of the longest is encoded with the highest number")
def highest_counts(context):
    in_flight = InFlightRequest(0.0, MAX_TOKENS, 8.0 * MAX_TOKENS, MAX_TOKENS, 4e6, 9)
    digest = Digest((Sent(1, "i-1", in_flight, (PromptPart("a", MAX_TOKENS),)),))
    sent = decode_message(encode_message(Message("host-1", 1, digest)), 0.0).content.sent[0]
    assert sent.in_flight.tokens_ahead == 2**32 - 1, sent


def stored(content, name="i-1"):
    return {"meta": {"name": name, "revision": 7, "created": 1}, "spec": content, "status": None}


def page(*objects):
    return {"items": list(objects), "more": False, "currentRev": 9}


def tell(content):
    decode_message(encode_message(Message("host-1", 1, content)), 0.0)


def read_servers(objects, revision, *, alone):
    """Decode the servers of a list; the entry that was left sound has to be there."""
    if not alone:
        assert any(one.name == "sound" and one.content == entry(SERVER) for one in objects)
    servers = []
    for one in objects:
        try:
            servers.append(decode_server(one.name, one.content))
        except MalformedError as error:
            assert len(str(error)) < 500
    tell(News(revision, revision, tuple(servers), tuple(one.name for one in objects)))


def read_listing(body, alone=False):
    decoded = decode_page(body)
    read_servers(decoded.objects, decoded.revision, alone=alone)


def read_changes(body):
    decoded = decode_changes(body)
    objects = [change.stored for change in decoded.changes]
    read_servers(objects, decoded.revision, alone=False)


def read_table(body):
    read = decode_table(decode_page(body).objects[0].content)
    tell(Answer(1.0, 1.0, read.revision, 1, 1, 1.0))
    for decoded in read.routes_by_host.get("desk.example", ()):
        assert isinstance(choose_pool(decoded, "r-1"), str)
        assert 0 <= decoded.timeout_s < 1e9
        in_flight = InFlightRequest(0.0, 5, 5.0, 5, decoded.pause_target_s, 0)
        tell(Digest((Sent(1, "i-1", in_flight, ()),)))


def read_lease(body):
    record = decode_lease(decode_page(body).objects[0].content)
    tell(Announcement(record.key, max((one.window for one in record.sent), default=0), 1.0))
    json.dumps(encode_lease(record))


def read_settings(body):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "boot.json"
        path.write_bytes(body)
        for address in read_host_settings(path)[2:6]:
            assert 0 <= address.port <= 65535


def read_hosts(body):
    hosts = {}
    for one in decode_page(body).objects:
        with suppress(MalformedError):
            hosts[one.name] = decode_peer(one)
    assert hosts.pop("sound") == SERVER
    assert all(address == SERVER for address in hosts.values())


# where the odd value is, how the document is completed, and how it is read
SOUND = stored(entry(SERVER), "sound")
HOST = {"peer": str(SERVER)}
LEASE = LeaseRecord("edge-1", 5, 6, 7, (SentReport(3, {"bakery": 2}),), {"pool": {"a": [1, 2]}})
LISTED_TABLE = table(routes=[{**table()["routes"][0], "split": [{"service": "p", "weight": 9}]}])
LISTED_TABLE["services"][0] |= {
    "engine": {"kvCapacity": 9, "kvTokenBytes": 9, "linkMbps": 9.0},
    "scaling": {"min": 1, "max": 3, "bootS": 4.0, "spotPrice": 0.2, "zonePrices": {"a": 0.9}},
}
CLOUD = {"cloud": {"addr": str(SERVER), "ratePerS": 9, "dutyPerS": 9, "duties": ["usage"]}}
READ_BY_DOCUMENT = {
    "list of servers": (stored(entry(SERVER)), lambda one: page(one, SOUND), read_listing),
    "change of a server": (
        stored({**entry(SERVER), "leaves_ms": 5, "spot": True}),
        lambda one: {
            "events": [{"object": each, "deleted": False} for each in (one, SOUND)],
            "currentRev": 9,
        },
        read_changes,
    ),
    "table": (LISTED_TABLE, lambda one: page(stored(one, "main")), read_table),
    "lease": (encode_lease(LEASE), lambda one: page(stored(one, "holder")), read_lease),
    "server's report": ({"stage": "both", "born": 5, "seq": 1}, None, decode_server_start),
    "helper's refusal": ({"error": {"code": 1210, "ran": "no"}}, None, decode_error_code),
    "settings file": (boot(SERVER, [1, 2, 3, 4]) | CLOUD, None, read_settings),
    "list of hosts": (
        stored(HOST, "other"),
        lambda one: page(one, stored(HOST, "sound")),
        read_hosts,
    ),
}
MARK = "(document)"


@when("one value after the other of a {document} is replaced by each odd one")
def replace_values(context, document):
    sample, complete, context.read = READ_BY_DOCUMENT[document]
    whole = json.dumps(complete(MARK) if complete else MARK).encode()
    context.bodies = [
        (whole.replace(json.dumps(MARK).encode(), body), what) for body, what in spoiled(sample)
    ]


@when("a {document} consists of each odd value")
def odd_whole(context, document):
    read = READ_BY_DOCUMENT[document][2]
    context.read = (lambda body: read(body, alone=True)) if read is read_listing else read
    context.bodies = [(raw, name) for name, raw in RAW_BY_NAME.items()]


@when("a {document} has an unused key with each odd value")
def unused_values(context, document):
    sample, complete, context.read = READ_BY_DOCUMENT[document]
    whole = {**sample, "unused": ODD_TEXT}
    body = json.dumps(complete(whole) if complete else whole).encode()
    context.bodies = [
        (body.replace(json.dumps(ODD_TEXT).encode(), raw), name)
        for name, raw in RAW_BY_NAME.items()
    ]


@then("it is decoded in each case")
def decoded(context):
    for body, _ in context.bodies:
        context.read(body)


@then("decoding it fails with its own error, or the result can be told to other hosts")
def only_own_errors(context):
    failures = []
    for body, what in context.bodies:
        try:
            context.read(body)
        except (MalformedError, SettingErrors):
            continue
        except Exception as error:  # noqa: BLE001 - any other error is a failure
            failures.append(f"{what}: {type(error).__name__} {str(error)[:80]}")
    assert not failures, f"{len(failures)} of {len(context.bodies)}: {failures[:40]}"
