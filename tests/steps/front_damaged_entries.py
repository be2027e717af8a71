"""Steps of front/damaged_entries.feature."""

from __future__ import annotations

import asyncio
import json
import tempfile
from contextlib import suppress
from pathlib import Path

from behave import then, when

from front_rig import Rig, boot, entry, route, run_scenario, table
from odd_values import ODD_TEXT, RAW_BY_NAME, spoiled
from redwingbank.clock import now_s
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
from redwingbank.front.hosts import KIND_HOSTS, decode_peer
from redwingbank.front.outbound import ConnectionPool
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
FOLLOW_S = 1.5
LARGE_FLEET_ODDITIES = (
    ("extra", "deep"),
    ("seq", "5000 digits"),
    ("slots", "2**40"),
    ("born", "2**70"),
    ("addr", "port 65536"),
    ("zone", "megabyte"),
)


class OddRig(Rig):
    """A rig whose store holds an odd entry from the start, and gets another one later."""

    def __init__(self, oddities):
        super().__init__(modes=["ok", "ok", "ok"])
        self.oddities = oddities
        for number, (_, value) in enumerate(oddities):
            self.store.raw_by_text[f"{ODD_TEXT}{number}"] = RAW_BY_NAME[value]

    async def start(self, content=None):
        await self.put_odd("early", SERVER)
        await super().start(content)

    async def put_odd(self, name, address):
        for number, (field, _) in enumerate(self.oddities):
            odd = {**entry(address), field: f"{ODD_TEXT}{number}"}
            await self.store.put("servers", f"{name}-{number}", odd)

    async def spoil(self):
        """List odd entries, one of them in place of a sound one, and a server that is new."""
        await self.put_odd("late", SERVER)
        odd = {**entry(self.addresses["i-2"]), self.oddities[0][0]: f"{ODD_TEXT}0"}
        await self.store.put("servers", "i-2", odd)
        await self.store.delete("servers", "i-3")
        await self.store.put("servers", "i-4", entry(self.addresses["i-3"]))

    async def until_followed(self, fronts):
        expected = {"i-1", "i-4"}
        lists = [front.router.servers.entries_by_name for front in fronts]
        try:
            await self.until(lambda: all(expected == set(one) for one in lists), FOLLOW_S)
        except TimeoutError:
            raise AssertionError([sorted(one) for one in lists]) from None


@when('a host follows a list of servers while some have the {field} "{value}"')
def follow_odd(context, field, value):
    context.rig = rig = OddRig([(field, value)])

    async def scenario(rig):
        await rig.spoil()
        await rig.until_followed([rig.front])
        context.fronts = [rig.front]
        context.answer = await rig.ask("single")

    run_scenario(rig, scenario)


@when("an odd entry replaces a server's just after an outage of the store")
def odd_after_outage(context):
    context.rig = rig = OddRig([("slots", "deep")])

    async def scenario(rig):
        servers, now = rig.front.router.servers, now_s()
        servers.store_lost()
        servers.store_returned(now)
        rig.front.router.freshness.store_contact._returned_s = now
        await rig.store.delete("servers", "i-3")
        odd = {**entry(rig.addresses["i-2"]), "slots": f"{ODD_TEXT}0"}
        await rig.store.put("servers", "i-2", odd)
        with suppress(TimeoutError):
            await rig.until(lambda: "i-2" not in servers.entries_by_name, FOLLOW_S)
        context.held = set(servers.entries_by_name)

    run_scenario(rig, scenario)


@then("that server is not used, while one whose entry lapsed still is")
def only_lapsed_held(context):
    assert context.held == {"i-1", "i-3"}, context.held


@when("an odd table is written, and then a sound one with a new route")
def odd_table(context):
    context.rig = rig = OddRig([("slots", "deep")])

    async def scenario(rig):
        context.fronts = [rig.front]
        odd = {**table(2), "limits": {"maxBodyBytes": f"{ODD_TEXT}0"}}
        await rig.store.put("config", "main", odd)
        await rig.until(lambda: any(line["event"] == "table-unreadable" for line in rig.lines))
        context.during = await rig.ask("single")
        new = route("/new/", "idempotent")
        await rig.store.put("config", "main", table(3, routes=[new]))
        await rig.until(lambda: rig.front.router.tables.table.revision == 3, FOLLOW_S)

    run_scenario(rig, scenario)


@then("the table before serves requests until the new one is in force")
def table_served(context):
    assert context.during.status == 200, context.during


@then("it uses the sound servers only, and logs each odd entry once")
def uses_sound(context):
    assert context.answer.status == 200, context.answer
    logged = [line for line in context.rig.lines if line["event"] == "server-unreadable"]
    assert sorted(line["server"] for line in logged) == ["early-0", "i-2", "late-0"], logged
    assert max(len(json.dumps(line)) for line in logged) < 1000


@then("no task of it has failed")
@then("no task of them has failed")
def no_errors(context):
    assert not [front for front in context.fronts if front.router.barrier.errors], (
        context.rig.lines
    )
    events = {line["event"] for line in context.rig.lines}
    assert not events & {"internal-error", "store-lost"}, events


@when("{count:d} hosts follow a list of servers while some have odd fields")
def fleet_follows(context, count):
    context.rig = rig = OddRig(LARGE_FLEET_ODDITIES)

    async def scenario(rig):
        context.fronts = await rig.start_hosts(count)
        await rig.until(lambda: all(f.router.freshness._news_from_relay for f in context.fronts))
        await rig.spoil()
        await rig.until_followed(context.fronts)

    run_scenario(rig, scenario)


@then("all use the sound servers only")
def all_followed(context):
    assert len(context.fronts) == 16


@when('a host reads a list of hosts of which one has the peer "{value}"')
def odd_host(context, value):
    context.rig = rig = Rig(modes=["ok"])
    rig.store.raw_by_text[ODD_TEXT] = RAW_BY_NAME[value]

    async def scenario(rig):
        await rig.store.put(KIND_HOSTS, "odd", {"peer": ODD_TEXT})
        front, _ = await rig.add_host("edge-2")
        context.fronts = [rig.front, front]
        known = [one.router.peers.peers_by_host for one in context.fronts]
        await rig.until(lambda: all(len(one) == 1 for one in known))
        await rig.until(lambda: any(line["event"] == "host-unreadable" for line in rig.lines))
        for one in known:
            one.clear()
        await rig.until(lambda: all(len(one) == 1 for one in known))

    run_scenario(rig, scenario)


@then("it greets the sound ones, and can still send messages")
def greeted(context):
    assert all("odd" not in one.router.peers.peers_by_host for one in context.fronts)
    no_errors(context)


@then('connecting to "{host}" and port {port:d} fails as one to an unreachable server')
def connect_fails(context, host, port):
    pool = ConnectionPool(Address(host.replace("long label", "x" * 70), port), 1.0)
    try:
        asyncio.run(pool.connect())
    except OSError:
        assert pool.contact.failed_s > 0
        return
    raise AssertionError


@when('a memo with {header} "{value}" arrives at the same time as a sound one')
def odd_header(context, header, value):
    odd = {"Token_Count": "10,5", header.replace("-", "_"): value.replace("digits", "9" * 900)}

    async def scenario(rig):
        other, _ = await rig.add_host("edge-2")
        await rig.until(lambda: rig.front.router.peers.alive(now_s()))
        sound = {"request_id": "r-2", "Token_Count": "10,5"}
        asked = [asyncio.create_task(rig.ask("memo", **each)) for each in (odd, sound)]
        load = other.router.backends.backends_by_name["i-1"].load
        with suppress(TimeoutError):
            await rig.until(lambda: len(load) and asked[0].done(), 0.5)
        context.told = len(load)
        context.status = asked[0].done() and asked[0].result().status

    run_scenario(Rig(modes=["hang"]), scenario)


@then("the first is refused as malformed, and the other host knows of the second")
def told_of_second(context):
    assert (context.status, context.told) == (400, 1), (context.status, context.told)


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
