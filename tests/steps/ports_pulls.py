"""Steps of ports/pulls.feature."""

from __future__ import annotations

import anyio
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from peer_hosts import KEYS, LOOPBACK
from redwingbank import messages
from redwingbank.messages import Heartbeat, Member, MemberState, Pulled
from redwingbank.ports import pulls as pulls_module
from redwingbank.ports.codec import Envelope, decode, encode
from redwingbank.ports.faults import FaultPlan
from redwingbank.ports.peers import Peers
from redwingbank.ports.pulls import ANSWER_CONTEXT, MAX_VALUES_BYTES, Pulls
from redwingbank.ports.seal import extract_nonce
from redwingbank.settings import PeerKey, Settings

OTHER_KEYS = (PeerKey(1, b"a secret of other peers"),)
VALUES = {"page-1": b"text", "page-2": b"more"}
LARGE = {"page-1": b"text", "large": bytes(MAX_VALUES_BYTES)}
HEARTBEAT = Heartbeat(
    True, 7, (Member("far", "amman-a", "127.0.0.1:1", 5, MemberState.ALIVE, 7),), ()
)
EXAMPLES = 60

texts = st.text(max_size=12)
uint8 = st.integers(0, 2**8 - 1)
uint16 = st.integers(0, 2**16 - 1)
uint32 = st.integers(0, 2**32 - 1)
uint64 = st.integers(0, 2**64 - 1)
seconds = st.integers(0, 2**32 - 1).map(lambda number: number / 1000)
signed_seconds = st.integers(-(2**31) + 1, 2**31 - 1).map(lambda number: number / 1000)
counts = st.dictionaries(texts, uint16, max_size=4)
uses = st.lists(
    st.builds(messages.OrganisationUse, texts, uint32, uint32, uint64), max_size=3
).map(tuple)
members = st.builds(Member, texts, texts, texts, uint64, st.sampled_from(MemberState), uint64)
notices = st.builds(
    messages.Notice, texts, texts, texts, uint64, st.floats(allow_nan=False), seconds
)
classes = st.builds(
    messages.ClassDemand, uint8, texts, uint32, seconds, signed_seconds, uint32, uint16
)
STRATEGY_BY_KIND = {
    "heartbeat": st.builds(
        Heartbeat,
        st.booleans(),
        uint64,
        st.lists(members, max_size=4).map(tuple),
        st.lists(notices, max_size=3).map(tuple),
    ),
    "demand": st.builds(
        messages.Demand,
        texts,
        uint64,
        st.lists(classes, max_size=3).map(tuple),
        counts,
        counts,
        uses,
        uint64,
    ),
    "allocation": st.builds(
        messages.Allocation,
        texts,
        uint64,
        uint64,
        seconds,
        uint8,
        counts,
        uses,
        counts,
        signed_seconds,
    ),
    "pull": st.builds(messages.Pull, st.lists(texts, max_size=4).map(tuple)),
    "pulled": st.builds(Pulled, uint64, st.dictionaries(texts, st.binary(max_size=40))),
}


def make_peers(name, keys=KEYS):
    settings = Settings(name, "amman-a", LOOPBACK, LOOPBACK, LOOPBACK, keys)
    return Peers(settings, name, 1_000_000)


def make_server(peers, values):
    def lookup(names):
        return Pulled(7, {name: values[name] for name in names if name in values})

    return Pulls(peers, lookup, lambda: HEARTBEAT)


class ReplayingPulls(Pulls):
    """Answers each pull with an answer sealed for another request."""

    async def _handle(self, stream):
        await pulls_module._read_frame(stream, pulls_module.MAX_REQUEST_BYTES)
        replayed = self._peers.envelope(Pulled(7, VALUES))
        context = ANSWER_CONTEXT + extract_nonce(bytes(40))
        await pulls_module._write_frame(stream, self._peers.ring.seal(replayed, context))


async def hang(stream):
    await anyio.sleep_forever()


async def garbage(stream):
    async with stream:
        await stream.receive()
        await stream.send(b"\0\0\0\x05hello")


async def huge(stream):
    async with stream:
        await stream.receive()
        await stream.send(b"\xff\xff\xff\xff")


STREAM_HANDLERS = {"that hangs": hang, "that sends garbage": garbage, "that announces 4 GB": huge}


@given("a pull server {server}")
def pull_server(context, server):
    context.server = server


async def start_server(context, group):
    """Start the remote end and return its peers."""
    far = make_peers("far", OTHER_KEYS if context.server == "with other keys" else KEYS)
    await far.bind()
    if context.server == "that is closed":
        await far.listener.aclose()
    elif context.server in STREAM_HANDLERS:
        group.start_soon(far.listener.serve, STREAM_HANDLERS[context.server])
    elif context.server == "that replays an old answer":
        group.start_soon(
            ReplayingPulls(far, lambda names: Pulled(7, VALUES), lambda: HEARTBEAT).run
        )
    else:
        values = LARGE if context.server == "with large pages" else VALUES
        group.start_soon(make_server(far, values).run)
    return far


@when("the pull requests {names} with the link cut at {end} end")
def requests_cut(context, names, end):
    request(context, names, end)


@when("the pull requests {names} as is")
def requests(context, names):
    request(context, names, "")


def request(context, names, cut):
    async def body():
        near = make_peers("near")
        async with anyio.create_task_group() as group:
            far = await start_server(context, group)
            if cut:
                end, other = (near, far.address) if cut == "our" else (far, "near")
                end.faults.set(FaultPlan(cut=frozenset({other})))
            pulls = make_server(near, {})
            if names == "members":
                context.answer = await pulls.pull_members(far.address)
            else:
                context.answer = await pulls.pull(far.address, tuple(names.split(",")))
            group.cancel_scope.cancel()
        await far._socket.aclose()

    anyio.run(body)


@then("the pull returns {answer}")
def returns(context, answer):
    expected = {
        "nothing": None,
        "the members": HEARTBEAT,
        "page-1": Pulled(7, {"page-1": b"text"}),
    }
    assert context.answer == expected[answer], context.answer


@when("the pull server gets {count:d} idle connections")
def idle_connections(context, count):
    async def body():
        near = make_peers("near")
        async with anyio.create_task_group() as group:
            far = await start_server(context, group)
            host, port = far.address.split(":")
            streams = [await anyio.connect_tcp(host, int(port)) for _ in range(count)]
            refused = 0
            for stream in streams[pulls_module.MAX_CONCURRENT_PULLS :]:
                try:
                    await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    refused += 1
            context.refused = refused
            for stream in streams:
                await stream.aclose()
            pulls = make_server(near, {})
            context.answer = None
            with anyio.fail_after(10):
                while context.answer is None:
                    context.answer = await pulls.pull(far.address, ("page-1",))
            group.cancel_scope.cancel()
        await far._socket.aclose()

    anyio.run(body)


@then("the pull server answers again once they are closed")
def still_answers(context):
    assert context.refused == 40 - pulls_module.MAX_CONCURRENT_PULLS, context.refused
    returns(context, "page-1")


@given("the envelope codec")
def codec(context):
    pass


@then("the envelope codec round-trips any {message}")
def round_trips(context, message):
    @hypothesis_settings(max_examples=EXAMPLES, derandomize=True, database=None, deadline=None)
    @for_all(st.builds(Envelope, texts, uint64, uint64, STRATEGY_BY_KIND[message]))
    def check(envelope):
        assert decode(encode(envelope)) == envelope

    check()


@then("the envelope codec returns an envelope or nothing for any bytes, and never raises")
def other_bytes(context):
    encoded = encode(Envelope("far", 1, 2, HEARTBEAT))

    @hypothesis_settings(max_examples=4 * EXAMPLES, derandomize=True, database=None, deadline=None)
    @for_all(st.binary(max_size=200), st.integers(0, len(encoded) - 1))
    def check(noise, cut):
        for data in (noise, encoded[:cut], encoded[:cut] + noise):
            envelope = decode(data)
            assert envelope is None or isinstance(envelope, Envelope)

    check()
