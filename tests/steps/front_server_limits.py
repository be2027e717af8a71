"""Steps of front/server_limits.feature."""

from __future__ import annotations

import asyncio
import itertools
import json
from random import Random

from behave import given, then, when
from routing_choice import NullLog

from front_rig import Rig, entry, run_scenario, table
from redwingbank.clock import now_s
from redwingbank.ctl.explain import as_text, find_decisions
from redwingbank.ctl.records import parse_records
from redwingbank.ctl.timeline_merge import merge
from redwingbank.front.backends import Backends
from redwingbank.front.digest import Digest, Message, encode_message
from redwingbank.front.notice_codec import StatementReport
from redwingbank.front.peers import Peers
from redwingbank.front.server_statements import ServerStatements
from redwingbank.front.values import ServerEntry, StatedLimit
from redwingbank.metrics import Metrics
from redwingbank.routing.server_limit import LimitState
from redwingbank.settings import Address
from redwingbank_bench.soakchecks import TOLD_S, allowed_in_window, most_in_window
from redwingbank_standins.backend_server import BackendServer

KINDS = ("read", "single", "memo")
CALLERS = 8
PAUSE_S = 0.05
ANSWER_S = 0.02
TICK_S = 0.01


class MixedServer(BackendServer):
    """Answers prompts with a stream and other requests with a body."""

    def mode_for(self, target):
        return "stream" if target.startswith("/memo/") and self.mode == "ok" else self.mode


@given('{hosts:d} fronts and {count:d} servers, of which {limited:d} names the limit "{limit}"')
def limited_servers(context, hosts, count, limited, limit):
    context.rig = rig = Rig()
    rig.backend_servers = [MixedServer(f"i-{number}") for number in range(1, count + 1)]
    context.limited = rig.backend_servers[:limited]
    for server in rig.backend_servers:
        server.pause_s = ANSWER_S
    for server in context.limited:
        server.named_limit = limit
    context.hosts = hosts
    context.numbers = itertools.count(1)
    context.answers = []


async def send_until(context, rig, fronts, end_s, kinds=KINDS):
    """Send requests of some kinds from several callers to the fronts in turn."""
    numbers = context.numbers

    async def send():
        while now_s() < end_s:
            number = next(numbers)
            front = fronts[number % len(fronts)]
            kind = kinds[number // len(fronts) % len(kinds)]
            started_s = now_s()
            answer = await rig.ask(kind, request_id=f"r-{number}", front=front)
            context.answers.append((started_s, now_s() - started_s, kind, answer))
            await asyncio.sleep(PAUSE_S)

    await asyncio.gather(*(send() for _ in range(CALLERS)))


async def measure_stalls(context):
    """Record for how long the event loop that fronts, servers and callers share was held up."""
    context.longest_stall_s = 0.0
    while True:
        before_s = now_s()
        await asyncio.sleep(TICK_S)
        context.longest_stall_s = max(context.longest_stall_s, now_s() - before_s - TICK_S)


@when("callers send reads, bookings and streams to all fronts for {seconds:d} s")
def send_to_all(context, seconds):
    async def scenario(rig):
        fronts = await rig.start_hosts(context.hosts)
        ticker = asyncio.create_task(measure_stalls(context))
        await send_until(context, rig, fronts, now_s() + seconds)
        ticker.cancel()
        context.metrics = rig.front.router.metrics_text()
        for front in fronts:
            front.router.log.flush()

    run_scenario(context.rig, scenario)


@then("no 4 s bring the limited server more than 1.5 times its limit and 5 requests")
def limit_kept(context):
    for server in context.limited:
        times = [arrival.received_s for arrival in server.arrivals]
        most = most_in_window(times, times[0] + TOLD_S)
        allowed = allowed_in_window(float(server.named_limit))
        assert most <= allowed, f"{server.name}: {most} of {allowed}"


@then("every request is answered")
def all_answered(context):
    failed = [answer.raw for _, _, _, answer in context.answers if answer.status != 200]
    assert context.answers
    assert not failed, (failed[:3], f"longest stall {context.longest_stall_s:.2f} s")


@then("the log and the metrics tell the limit of {limit:g} requests a second")
def limit_told(context, limit):
    named = [line for line in context.rig.lines if line["event"] == "limit-named"]
    assert [(line["server"], line["per_s"]) for line in named] == [("i-1", limit)], named
    assert f'server_limit_per_second{{server="i-1"}} {limit:g}' in context.metrics


def damage(data, random):
    """Return a message with some bits flipped, cut off or repeated."""
    damaged = bytearray(data)
    for _ in range(random.randint(1, 6)):
        damaged[random.randrange(len(damaged))] ^= 1 << random.randrange(8)
    return bytes(damaged[: random.choice((len(damaged), random.randrange(len(damaged)) + 1))])


@given(
    "a host that knows the limit of a server and gets {count:d} damaged copies"
    " of another host's report"
)
def damaged_reports(context, count):
    random = Random(28)
    states = (
        LimitState("i-1", 1, 3, 2.0, 40),
        LimitState("i-1", 1, 2**31, 1e308, 2**32 - 1),
        LimitState("i-2", 2**62, 2**31, 0.0, 0),
    )
    server = ServerEntry("i-1", "pool", Address("10.0.0.9", 1), "a", 4, False, 1)

    async def play():
        backends = Backends(random)
        peers = Peers("host-1", 1, backends, NullLog())
        limits = ServerStatements(backends, peers, NullLog(), Metrics())
        context.told = []
        peers.broadcast = lambda report: context.told.append(report)
        limits.answer_received(server, (StatedLimit(2.0),), now_s(), stamped=True)
        data = encode_message(Message("host-2", 1, StatementReport(states)))
        for number in range(count):
            peers.datagram_received(damage(data, random), ("10.0.0.2", 7200))
            if number % 100 == 0:
                limits._repeated_s = float("-inf")
                limits.update(now_s(), [server])
        limits._repeated_s = float("-inf")
        limits.update(now_s(), [server])
        limits.answer_received(server, (StatedLimit(1.5),), now_s(), stamped=True)
        limits._send_reports()
        context.last = context.told[-1]
        peers.datagram_received(encode_message(Message("host-3", 1, Digest())), ("10.0.0.3", 7200))
        context.peers = peers
        for report in context.told:
            encode_message(Message("host-1", 1, report))

    asyncio.run(play())


@then("it still reports the limit, and a message of any other content is handled")
def still_reports(context):
    (state,) = context.last.states
    assert (state.server, state.started_ms, state.per_s) == ("i-1", 1, 1.5), state
    assert "host-3" in context.peers.peers_by_host


@then("no damaged limit is told to other hosts")
def none_spread(context):
    starts = {(state.server, state.started_ms) for told in context.told for state in told.states}
    assert starts == {("i-1", 1)}, starts


@given("the other server is in mode {mode}")
def other_mode(context, mode):
    (other,) = set(context.rig.backend_servers) - set(context.limited)
    other.mode = mode


@when("callers send only {kind} requests to all fronts for {seconds:d} s")
def send_kind(context, kind, seconds):
    async def scenario(rig):
        fronts = await rig.start_hosts(context.hosts)
        await send_until(context, rig, fronts, now_s() + seconds, (kind,))

    run_scenario(context.rig, scenario, table(timeout_ms=5000))


@when("callers send requests for 4 s, another front starts, and they send to both for 4 s")
def start_another(context):
    async def scenario(rig):
        await send_until(context, rig, [rig.front], now_s() + 4)
        front, _ = await rig.add_host("edge-2")
        limits = front.router.backends.limits.limits_by_start.values()
        context.known = [limit.per_s for limit in limits]
        await send_until(context, rig, [rig.front, front], now_s() + 4)

    run_scenario(context.rig, scenario)


@when("callers send requests for 3 s, the server stops naming its limit, and they send for 3 s")
def stop_naming(context):
    async def scenario(rig):
        fronts = await rig.start_hosts(context.hosts)
        await send_until(context, rig, fronts, now_s() + 3)
        context.limited[0].named_limit = ""
        await send_until(context, rig, fronts, now_s() + 3)

    run_scenario(context.rig, scenario)


@then(
    "every refusal came within {most_ms:d} ms of the request,"
    " with code {code:d}, not run, and a time to return"
)
def refused_at_once(context, most_ms, code):
    refused = [answer for _, _, _, answer in context.answers if answer.status != 200]
    assert refused
    assert len(refused) < len(context.answers)
    for answer in refused:
        error = json.loads(answer.body)["error"]
        assert (answer.status, error["code"], error["ran"]) == (503, code, "no"), answer.raw
        assert 0 < float(answer.headers["retry-after"]) <= 5, answer.raw
    # an eighth of the users' shortest target, beside what held up the loop that all share here
    lines = [line for line in context.rig.lines if line["event"] == "request-refused"]
    assert len(lines) == len(refused), (len(lines), len(refused))
    longest_ms, stall_ms = max(line["after_ms"] for line in lines), context.longest_stall_s * 1000
    assert longest_ms <= most_ms + stall_ms, (longest_ms, stall_ms)


@then("the explanation of the first refusal tells the limits that were named before it")
def refusal_explained(context):
    lines = [json.dumps(line) for line in context.rig.lines]
    first = next(line for line in context.rig.lines if line["event"] == "request-refused")
    request = first["request"]
    records = merge(parse_records(lines).records)
    text = as_text(request, find_decisions(request, records))
    assert "1224 SERVERS_AT_LIMIT" in text, text
    assert "takes 2.0 requests a second from all hosts, by" in text, text


@then("the limited server got at least {count:d} requests")
def limit_used(context, count):
    (server,) = context.limited
    assert len(server.arrivals) >= count, len(server.arrivals)


@then("the other front knew the limit when it was ready")
def knew_limit(context):
    assert context.known == [float(context.limited[0].named_limit)], context.known


@then("the server got at least a quarter of the requests of the last {seconds:d} s")
def quarter(context, seconds):
    times = [[one.received_s for one in each.arrivals] for each in context.rig.backend_servers]
    since_s = max(map(max, times)) - seconds
    counts = [sum(time >= since_s for time in each) for each in times]
    assert counts[0] >= sum(counts) / 4, counts


@when("a stream breaks off and only a server that takes {limit:g} requests a second is left")
def break_stream(context, limit):
    context.rig = rig = Rig()
    rig.backend_servers = [MixedServer("i-1", "broken"), MixedServer("i-2")]
    rig.backend_servers[1].named_limit = str(limit)

    async def scenario(rig):
        router = rig.front.router
        limited = router.servers.entries_by_name["i-2"]
        router.statements.answer_received(limited, (StatedLimit(limit),), now_s(), stamped=True)
        started_s = now_s()
        answer = await rig.ask("memo", deadline_ms=4000)
        return answer, now_s() - started_s

    context.answer, context.took_s = run_scenario(rig, scenario, table(timeout_ms=5000))


@then("the caller's stream {ends} within {most_s:g} s")
def stream_ends(context, ends, most_s):
    answer = context.answer
    assert context.took_s <= most_s, context.took_s
    assert answer.status == 200, answer.raw
    assert answer.complete == (ends == "is completed"), answer.raw
    assert (b"i-2 4" in answer.raw) == answer.complete, answer.raw


@when("a read fails at a server and the other one is at its limit")
def fail_beside_limit(context):
    context.rig = Rig(modes=["error", "ok"])

    async def scenario(rig):
        router = rig.front.router
        limited = router.servers.entries_by_name["i-2"]
        router.statements.answer_received(limited, (StatedLimit(0.5),), now_s(), stamped=True)
        return await rig.ask("read")

    context.answer = run_scenario(context.rig, scenario)


@then("the caller gets the server's error")
def servers_error(context):
    assert (context.answer.status, context.answer.body) == (500, b"fault"), context.answer.raw


@when("an answer comes from another server at the address, which names a limit")
def answer_for_another(context):
    context.rig = Rig()
    context.rig.backend_servers[0].named_limit = "2"

    async def scenario(rig):
        servers = rig.front.router.servers
        await rig.store.put("servers", "i-9", entry(rig.addresses["i-1"]))
        # the server answers to this name, so that its entry would stand again
        await rig.store.delete("servers", "i-1")
        await rig.until(lambda: list(servers.entries_by_name) == ["i-9"])
        answer = await rig.ask("single")
        assert (answer.status, rig.runs()) == (503, []), answer.raw
        context.known = dict(rig.front.router.backends.limits.limits_by_start)

    run_scenario(context.rig, scenario)


@then("no limit is known")
def none_known(context):
    assert not context.known, context.known
