"""Steps of front/brittle_servers.feature."""

from __future__ import annotations

import asyncio
import itertools
import json
from random import Random

from behave import given, then, when

from front_rig import Rig, run_scenario, table
from redwingbank.clock import now_s
from redwingbank_standins.brittle_server import BrittleServer

SLOTS = 4
SERVICE_S = 0.2
WARM_UP_S = 1.0
# servers let fewer wait, and fall over, from so long after they have said that they are brittle
CONTACT_S = 3.0
PLAY_S = 6.0
SEED = 44


@given(
    "{hosts:d} fronts and {count:d} servers that let {queue:d} requests wait once they are brittle"
)
def brittle_servers(context, hosts, count, queue):
    context.rig = rig = Rig(contactMs=CONTACT_S * 1000)
    rig.backend_servers = [BrittleServer(f"i-{number}", slots=SLOTS) for number in range(count)]
    for server in rig.backend_servers:
        server.pause_s = SERVICE_S
    context.hosts, context.queue = hosts, queue
    context.room_per_s = count * SLOTS / SERVICE_S
    context.answers = []


async def ask_at_rate(context, rig, fronts, per_s, end_s):
    """Send requests at random times, each on a connection of its own."""
    random, numbers = Random(SEED), itertools.count(1)

    async def ask_one(number):
        started_s = now_s()
        kind = ("read", "single")[number % 2]
        front = random.choice(fronts)
        answer = await rig.ask(kind, request_id=f"r-{number}", front=front)
        context.answers.append((started_s, now_s(), answer))

    async with asyncio.TaskGroup() as group:
        next_s = now_s()
        while next_s < end_s:
            next_s += random.expovariate(per_s)
            await asyncio.sleep(max(0.0, next_s - now_s()))
            group.create_task(ask_one(next(numbers)))


@when(
    "callers ask for {load:g} of the room, and the servers say that they can turn away {most:d}"
    " a second"
)
def ask(context, load, most):
    async def turn_brittle():
        await asyncio.sleep(WARM_UP_S)
        for server in context.rig.backend_servers:
            server.brittle = str(most)
        await asyncio.sleep(CONTACT_S)
        for server in context.rig.backend_servers:
            server.queue, server.most_rejected = context.queue, most
        context.measured_s = now_s()

    async def scenario(rig):
        fronts = await rig.start_hosts(context.hosts)
        end_s = now_s() + WARM_UP_S + CONTACT_S + PLAY_S
        turning = asyncio.create_task(turn_brittle())
        await ask_at_rate(context, rig, fronts, load * context.room_per_s, end_s)
        await turning
        context.end_s = end_s
        context.metrics = rig.front.router.metrics_text()

    # a latency objective of 0.3 s
    run_scenario(context.rig, scenario, table())


@then("the servers fall over {times:d} times")
def falls(context, times):
    servers = context.rig.backend_servers
    fallen = {server.name: len(server.fall_times) for server in servers}
    rejections = {server.name: server.rejections for server in servers}
    context.fallen = sum(fallen.values())
    assert context.fallen <= times, (fallen, rejections)


@then("callers are served at least {share:g} of the lesser of the room and what they ask for")
def served(context, share):
    since_s, end_s = context.measured_s, context.end_s
    asked = sum(since_s <= started_s < end_s for started_s, _, _ in context.answers)
    ended = [answer for _, ended_s, answer in context.answers if since_s <= ended_s < end_s]
    done = sum(answer.status == 200 for answer in ended)
    could = min(asked, context.room_per_s * (end_s - since_s))
    rejections = [server.rejections for server in context.rig.backend_servers]
    assert done >= share * could, (done / could, done, asked, could, rejections)


@then("every refusal is not run, with a time to return")
def refusals(context):
    refused = [answer for _, _, answer in context.answers if answer.status == 503]
    for answer in refused:
        error = json.loads(answer.body)["error"]
        assert error["ran"] == "no", answer.raw
        assert 0 < float(answer.headers["retry-after"]) <= 5, answer.raw


async def play(context, rig, load, seconds, change):
    """Send requests for some time, and change the servers meanwhile."""
    context.fronts = await rig.start_hosts(context.hosts)
    changing = asyncio.create_task(change())
    per_s = load * context.room_per_s
    await ask_at_rate(context, rig, context.fronts, per_s, now_s() + seconds)
    await changing
    context.metrics = rig.front.router.metrics_text()
    context.rooms = [
        room
        for front in context.fronts
        for room in front.router.backends.rooms.rooms_by_start.values()
    ]
    context.breakers = [
        backend.breaker.state(now_s())
        for front in context.fronts
        for backend in front.router.backends.backends_by_name.values()
    ]


@when("one of the servers is silent for {silent_s:g} s while callers ask for {load:g} of the room")
def fall_silent(context, silent_s, load):
    context.most_in_flight = 0

    async def watch():
        while True:
            counts = [server.in_flight for server in context.rig.backend_servers]
            context.most_in_flight = max(context.most_in_flight, *counts)
            await asyncio.sleep(0.005)

    async def change():
        await asyncio.sleep(1.0)
        await context.rig.backend_servers[0].fall_silent(silent_s)

    async def scenario(rig):
        watching = asyncio.create_task(watch())
        await play(context, rig, load, 4.0, change)
        watching.cancel()

    run_scenario(context.rig, scenario)


@then("no server is ejected, and no request is run twice")
def not_ejected(context):
    assert set(context.breakers) == {"closed"}, context.breakers
    runs = [run.request_id for run in context.rig.runs()]
    assert len(runs) == len(set(runs))


@then("no server has more than twice its slots in flight")
def no_crowd(context):
    assert context.most_in_flight <= 2 * SLOTS, context.most_in_flight


@then("every request is answered by a server")
def all_answered(context):
    others = [answer.raw for _, _, answer in context.answers if answer.status != 200]
    assert context.answers
    assert not others, (len(others), others[:3])


@when(
    'the servers say that they are brittle with "{value}" while callers ask for {load:g}'
    " of the room"
)
def say_badly(context, value, load):
    async def change():
        for server in context.rig.backend_servers:
            server.brittle = value

    run_scenario(context.rig, lambda rig: play(context, rig, load, 1.5, change))


@then("no server is taken for brittle, and the metrics count what could not be read")
def none_brittle(context):
    assert context.rooms == []
    counted = 'redwingbank_statements_unreadable_total{kind="brittle"}'
    assert counted in context.metrics, context.metrics


@when(
    "the servers say for {said_s:g} s that they are brittle while callers ask for {load:g}"
    " of the room"
)
def say_for_some_time(context, said_s, load):
    async def change():
        for server in context.rig.backend_servers:
            server.brittle = "4"
        await asyncio.sleep(said_s)
        for server in context.rig.backend_servers:
            server.brittle = ""

    run_scenario(context.rig, lambda rig: play(context, rig, load, said_s + 2, change))


@then("no server is taken for brittle at any host")
def ended(context):
    assert len(context.rooms) == context.hosts * len(context.rig.backend_servers)
    assert not any(room.brittle for room in context.rooms)
