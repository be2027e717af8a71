"""Steps of front/relaying.feature: hosts on one event loop exchange datagrams directly."""

from __future__ import annotations

import asyncio
from random import Random

from behave import given, then, when
from routing_choice import POOL, NullLog

import virtual_time
from redwingbank.front import peers as peers_module
from redwingbank.front import report_relay as relay_module
from redwingbank.front.backends import Backends
from redwingbank.front.digest import (
    SCHEMA,
    Audience,
    Bundle,
    Digest,
    Message,
    Place,
    Report,
    Sent,
    decode_message,
    encode_message,
)
from redwingbank.front.peers import Peers
from redwingbank.front.values import PromptPart, ServerEntry
from redwingbank.routing.load import InFlightRequest
from redwingbank.settings import Address

SERVER = ServerEntry("i-1", POOL.name, Address("10.9.0.1", 1), "zone-1", 16, False, 1)
BEAT_S = 0.1


class Clock:
    """The event loop's time plus the time that a scenario skips."""

    def __init__(self):
        self.ahead_s = 0.0

    def now_s(self):
        return asyncio.get_running_loop().time() + self.ahead_s


class Network:
    """Delivers datagrams between hosts by address; hosts that are down get none."""

    def __init__(self, count, data_centres, link_mbps=lambda number: 100.0):
        self.clock = Clock()
        self.down = set()
        self.messages = []
        self.by_address = {}
        self.hosts = []
        for number in range(1, count + 1):
            backends = Backends(Random(1))
            backends.get_or_create(SERVER)
            zone = f"zone-{number % data_centres}"
            place = Place(zone, link_mbps(number))
            host = Peers(f"host-{number}", 1, backends, NullLog(), place)
            address = Address("10.0.0.1", number)
            host.connection_made(Transport(self, host, address))
            self.by_address[address] = host
            self.hosts.append(host)

    @property
    def remaining(self):
        return [host for host in self.hosts if host not in self.down]

    async def beat(self, seconds=0.0):
        """Let time pass in steps of 0.5 s, with a heartbeat of each host at every step."""
        steps = int(seconds / 0.5) + 1
        for step in range(steps):
            self.clock.ahead_s += 0.5 if step else 0.0
            for host in self.remaining:
                host._heartbeat_sent_s = float("-inf")
                host.send_heartbeat()
            await asyncio.sleep(0.01)
            for host in self.remaining:
                host.expire(self.clock.now_s())


class Transport:
    """The datagram transport of one host."""

    def __init__(self, network, host, address):
        self.network, self.host, self.address = network, host, address

    def sendto(self, data, address):
        there = self.network.by_address[address]
        if self.host in self.network.down or there in self.network.down:
            return
        message = decode_message(data, 0.0)
        self.network.messages.append((self.host, there, message))
        loop = asyncio.get_running_loop()
        loop.call_soon(there.datagram_received, data, self.address)


def count_requests(host):
    return len(host._backends.backends_by_name[SERVER.name].load)


def run_scenario(context, scenario):
    """Run the collected steps of a scenario on one event loop with the network's clock."""

    async def run():
        network = context.network
        original = peers_module.now_s
        peers_module.now_s = relay_module.now_s = network.clock.now_s
        try:
            for host in network.hosts:
                host.add_hosts(
                    {other.host: address for address, other in network.by_address.items()}
                )
            await network.beat()
            await network.beat()
            network.messages.clear()
            for step in [*context.steps, scenario]:
                await step(network)
        finally:
            peers_module.now_s = relay_module.now_s = original

    virtual_time.run(run())


async def within(seconds, condition):
    async with asyncio.timeout(seconds):
        while not condition():  # noqa: ASYNC110 - there is no event to wait for
            await asyncio.sleep(0.005)


@given("{count:d} hosts in {data_centres:d} data centres that know each other")
def hosts(context, count, data_centres):
    context.network = Network(count, data_centres)
    context.steps = []


@given("{count:d} hosts of which number {first:d} and later have links of {mbps:g} Mbit/s")
def small_hosts(context, count, first, mbps):
    links = dict.fromkeys(range(first, count + 1), mbps)
    context.network = Network(count, 3, lambda number: links.get(number, 200.0))
    context.steps = []


@then("only hosts {names} have relayed anything")
def passed_on(context, names):
    passing = {
        sender.host
        for sender, _, message in context.network.messages
        if isinstance(message.content, Bundle)
        and len(message.content.reports)
        and (message.content.audience is not Audience.ALL)
    }
    assert passing and passing <= {f"host-{number}" for number in names.split()}, passing


@when("host 1 sends a memo of {tokens:d} tokens")
def sends(context, tokens):
    async def step(network):
        in_flight = InFlightRequest(network.clock.now_s(), tokens, 0.0, 52, 0.3, 1)
        host = network.hosts[0]
        context.number = host.report_sent(SERVER.name, in_flight, (PromptPart("file", 6000),))
        host._backends.backends_by_name[SERVER.name].load.request_sent(
            ("", context.number), in_flight
        )

    context.steps.append(step)


@when("it starts and ends")
def begins_and_ends(context):
    async def step(network):
        host = network.hosts[0]
        await within(0.3, lambda: all(map(count_requests, network.hosts)))
        host.report_first_event(context.number, 0.4)
        host.report_end(context.number)
        host._backends.backends_by_name[SERVER.name].load.request_ended(("", context.number))

    context.steps.append(step)


@when("all hosts know of it")
def all_know_in_between(context):
    async def step(network):
        await within(0.3, lambda: all(map(count_requests, network.hosts)))

    context.steps.append(step)


@when("the relay of host 1 is down for {seconds:g} s")
def relay_down(context, seconds):
    async def step(network):
        host = network.hosts[0]
        relay = host.relay.select(host.place.data_centre, network.clock.now_s())
        assert relay != host.host, "the scenario needs another host as the relay"
        network.down.add(next(one for one in network.hosts if one.host == relay))
        await network.beat(seconds)

    context.steps.append(step)


@when("host 1 is down for {seconds:g} s")
def remove_host(context, seconds):
    async def step(network):
        network.down.add(network.hosts[0])
        await network.beat(seconds)

    context.steps.append(step)


@then("all hosts know of it within {seconds:g} s")
@then("all remaining hosts know of it within {seconds:g} s")
def all_know(context, seconds):
    async def step(network):
        await within(seconds, lambda: all(map(count_requests, network.remaining)))

    run_scenario(context, step)


@then("no host knows of a request within {seconds:g} s")
@then("no remaining host knows of a request within {seconds:g} s")
def none_knows(context, seconds):
    async def step(network):
        await within(seconds, lambda: not any(map(count_requests, network.remaining)))

    run_scenario(context, step)


@then("at most {most:d} digests of it crossed between data centres")
def crossed(context, most):
    crossing = [
        message
        for sender, receiver, message in context.network.messages
        if sender.place.data_centre != receiver.place.data_centre
        and isinstance(message.content, Bundle | Digest)
    ]
    assert 1 <= len(crossing) <= most, crossing


@then("no host has relayed anything")
def nothing_passed_on(context):
    contents = [message.content for _, _, message in context.network.messages]
    assert not [content for content in contents if isinstance(content, Bundle)]


@given("a host and a bundle with a missing count")
def bad_bundle(context):
    context.logged = []
    log = NullLog()
    log.detail = lambda event, **fields: context.logged.append(event)
    context.backends = Backends(Random(1))
    context.backends.get_or_create(SERVER)
    context.host = Peers("host-1", 1, context.backends, log)
    in_flight = InFlightRequest(0.0, 900, 0.0, 52, 0.3, 1)
    report = Report("host-2", 1, Digest((Sent(1, SERVER.name, in_flight, ()),)))
    data = encode_message(Message("host-2", 1, Bundle((report,), Audience.NOBODY)))
    draft = SCHEMA.Message.from_bytes_packed(data).as_builder()
    draft.bundle.counts = [1, 0]
    context.data = draft.to_bytes_packed()


@when("the host gets the bundle")
def gets_bundle(context):
    context.host.datagram_received(context.data, ("10.0.0.2", 7200))


@then("it knows of no request and logs that a message was unreadable")
def unreadable(context):
    assert len(context.backends.backends_by_name[SERVER.name].load) == 0
    assert context.logged == ["message-unreadable"], context.logged
