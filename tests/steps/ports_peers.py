"""Steps of ports/peers.feature."""

from __future__ import annotations

import math
import re
import socket

import anyio
from behave import given, then, when

from peer_hosts import LOOPBACK
from redwingbank.messages import Heartbeat, Received
from redwingbank.ports.budget import ByteBudget
from redwingbank.ports.codec import Envelope, encode
from redwingbank.ports.faults import FaultPlan
from redwingbank.ports.peers import Peers
from redwingbank.ports.seal import WINDOW_MESSAGES, KeyRing
from redwingbank.settings import PeerKey, Settings

SECRET = b"a secret of the first key"
FIRST = PeerKey(1, SECRET)
SECOND = PeerKey(2, b"a secret of the second key")
UNKNOWN = PeerKey(1, b"a secret of a stranger")
REMOVED = PeerKey(3, b"a secret of a removed key")
HEARTBEAT = Heartbeat(False, 7, ())
EARLIER, LATER = 1_000_000, 2_000_000
HEARTBEAT_BYTES = 100
WAIT_S = 10.0

FAULTS = {
    "none": lambda address: FaultPlan(),
    "a cut": lambda address: FaultPlan(cut=frozenset({address})),
    "loss of a quarter": lambda address: FaultPlan(loss=0.25, seed=7),
    "jitter": lambda address: FaultPlan(jitter_s=0.05),
}


class NoReplayWindows:
    """Accepts every message, as without replay windows."""

    def accept(self, sender, incarnation, sequence):
        return True


class UnboundKeyRing(KeyRing):
    """A key ring that doesn't bind messages to their recipient."""

    def open(self, data, context):
        return super().open(data, b"")

    def seal(self, payload, context):
        return super().seal(payload, b"")


def make_settings(name, *keys):
    return Settings(name, "amman-a", LOOPBACK, LOOPBACK, LOOPBACK, keys or (FIRST, SECOND))


def seal_message(
    to, incarnation, sequence, key=FIRST, sender="far", ring=KeyRing, message=HEARTBEAT
):
    payload = encode(Envelope(sender, incarnation, sequence, message))
    return ring((key,)).seal(payload, to.encode())


def tamper(data):
    return data[:-1] + bytes([data[-1] ^ 1])


CASES = {
    "a first message": lambda to, **options: [seal_message(to, LATER, 1, **options)],
    "a message out of order": lambda to, **options: [
        seal_message(to, LATER, n, **options) for n in (5, 9, 6)
    ],
    "a message of a restarted sender": lambda to, **options: [
        seal_message(to, EARLIER, 9, **options),
        seal_message(to, LATER, 1, **options),
    ],
    "a message sealed with the second key": lambda to, **options: [
        seal_message(to, LATER, 1, SECOND)
    ],
    "the same message again": lambda to, **options: [seal_message(to, LATER, 1, **options)] * 2,
    "a message below the replay window": lambda to, **options: [
        seal_message(to, LATER, WINDOW_MESSAGES + 1, **options),
        seal_message(to, LATER, 1, **options),
    ],
    "a message from before a restart": lambda to, **options: [
        seal_message(to, LATER, 1, **options),
        seal_message(to, EARLIER, 9, **options),
    ],
    "a message sealed with a removed key": lambda to, **options: [
        seal_message(to, LATER, 1, REMOVED)
    ],
    "a message sealed with an unknown key": lambda to, **options: [
        seal_message(to, LATER, 1, UNKNOWN)
    ],
    "a message to another host": lambda to, **options: [
        seal_message("127.0.0.1:1", LATER, 1, **options)
    ],
    "a tampered message": lambda to, **options: [tamper(seal_message(to, LATER, 1, **options))],
    "a truncated message": lambda to, **options: [seal_message(to, LATER, 1, **options)[:20]],
    "an empty datagram": lambda to, **options: [b""],
    "a sealed payload that is no envelope": lambda to, **options: [
        KeyRing((FIRST,)).seal(b"a text, not a message", to.encode())
    ],
    "a message with the host's own name as sender": lambda to, **options: [
        seal_message(to, LATER, 1, sender="near")
    ],
    "a message from a cut-off host": lambda to, **options: [
        seal_message(to, LATER, 1, sender="cut-off")
    ],
}


async def wait_until(condition):
    with anyio.fail_after(WAIT_S):
        while not condition():  # noqa: ASYNC110
            await anyio.sleep(0.005)


@given("a peer socket {variant}")
def peer_socket(context, variant):
    context.faults = "none"
    context.peers = Peers(make_settings("near"), "near", LATER)
    context.options = {}
    if variant == "without replay windows":
        context.peers._windows = NoReplayWindows()
    if variant == "without recipient binding":
        context.peers.ring = UnboundKeyRing((FIRST, SECOND))
        context.options = {"ring": UnboundKeyRing}


@when("the peer socket receives {datagram}")
def receives(context, datagram):
    peers = context.peers

    def total():
        return sum(peers.counters.messages_in.values()) + sum(peers.counters.dropped.values())

    async def body():
        received, _inbox = anyio.create_memory_object_stream[Received](math.inf)
        peers.faults.set(FaultPlan(cut=frozenset({"cut-off"})))
        async with anyio.create_task_group() as group:
            await group.start(peers.run, received)
            host, port = peers.address.split(":")
            with socket.socket(type=socket.SOCK_DGRAM) as far:
                for number, data in enumerate(
                    CASES[datagram](peers.address, **context.options), 1
                ):
                    context.before = dict(peers.counters.dropped)
                    far.sendto(data, (host, int(port)))
                    await wait_until(lambda number=number: total() == number)
            group.cancel_scope.cancel()
        await peers.listener.aclose()

    anyio.run(body)


@then("the peer socket counts the last one as {verdict}")
def counts(context, verdict):
    after = context.peers.counters.dropped
    reasons = [reason for reason, count in after.items() if count > context.before.get(reason, 0)]
    assert reasons == ([] if verdict == "accepted" else [verdict]), (reasons, after)


@when("the peer sockets rotate from key 1 to key 2 step by step")
def rotate(context):
    steps = [(FIRST,), (FIRST, SECOND), (SECOND, FIRST), (SECOND,)]
    context.lost = [
        (old, new)
        for old, new in zip(steps, steps[1:], strict=False)
        for one, two in ((old, new), (new, old))
        if KeyRing(two).open(KeyRing(one).seal(b"text", b"to"), b"to") != b"text"
    ]


@then("the peer sockets open every message during the rotation")
def opens_every_message(context):
    assert not context.lost, context.lost
    without_rotation = KeyRing((SECOND,)).open(KeyRing((FIRST,)).seal(b"text", b"to"), b"to")
    assert without_rotation is None


@then("the peer socket's representation contains no secret")
def no_secret(context):
    representations = (
        repr(context.peers.settings) + repr(vars(context.peers)) + repr(vars(context.peers.ring))
    )
    assert SECRET.decode() not in representations


@given("the peer socket's faults are {faults}")
def faults_are(context, faults):
    context.faults = faults


@when("the peer socket sends {count:d} messages")
def sends(context, count):
    far = Peers(make_settings("far"), "far", LATER)
    near = context.peers
    near.budget = ByteBudget(10**9)

    def arrived():
        return sum(far.counters.messages_in.values())

    async def body():
        received, _inbox = anyio.create_memory_object_stream[Received](math.inf)
        async with anyio.create_task_group() as group:
            for peers in (near, far):
                await group.start(peers.run, received)
            near.faults.set(FAULTS[context.faults](far.address))
            async with anyio.create_task_group() as senders:
                for _ in range(count):
                    senders.start_soon(near.send, far.address, HEARTBEAT)
            near.faults.set(FaultPlan())
            lost = near.counters.dropped["lost"]
            await wait_until(lambda: arrived() >= count - lost)
            context.arrived = arrived()
            group.cancel_scope.cancel()
        for peers in (near, far):
            await peers.listener.aclose()

    anyio.run(body)


@then("the peer socket's remote end receives between {least:d} and {most:d} of them")
def remote_end(context, least, most):
    assert least <= context.arrived <= most, context.arrived


@given("a peer budget of {rate:d} bytes per second")
def budget(context, rate):
    context.budget = ByteBudget(rate)


@when("the peer budget is charged {messages} within one second")
def charged(context, messages):
    context.allowed = {"heartbeats": 0, "others": 0}
    for count, kind in re.findall(r"(\d+) (heartbeats|others)", messages):
        for _ in range(int(count)):
            may_shed = kind == "heartbeats"
            if context.budget.try_spend(HEARTBEAT_BYTES, 1.0, may_shed=may_shed):
                context.allowed[kind] += 1


@then("the peer budget allows {heartbeats:d} heartbeats and {others:d} others")
def allows(context, heartbeats, others):
    assert context.allowed == {"heartbeats": heartbeats, "others": others}, context.allowed
