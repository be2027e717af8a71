"""Processor time of the steps of a request in a large fleet, without a network.

`python -m redwingbank_bench.requestcost` prints microseconds for: a choice among all servers of a
pool, another host's message with one request or five in it, and an event of a stream.
"""

from __future__ import annotations

import sys
import time
from random import Random
from typing import TYPE_CHECKING, Any

from redwingbank.clock import now_s
from redwingbank.decisions import DecisionLog
from redwingbank.front.attempt import Attempt
from redwingbank.front.backends import Backends
from redwingbank.front.digest import (
    Audience,
    Bundle,
    Digest,
    FirstEvent,
    Message,
    Report,
    Sent,
    encode_message,
)
from redwingbank.front.exchange import Exchange
from redwingbank.front.inbound import InboundConnection
from redwingbank.front.outbound import Connection
from redwingbank.front.peers import Peers
from redwingbank.front.stream_binding import StreamBinding
from redwingbank.front.values import (
    Bounds,
    CallFacts,
    HostSettings,
    Kind,
    Pool,
    PromptPart,
    Route,
    ServerEntry,
    Share,
)
from redwingbank.front.wire import RequestHead
from redwingbank.intake.body import RequestBody
from redwingbank.routing.choice import Chooser, RequestNeeds, as_in_flight
from redwingbank.routing.load import InFlightRequest
from redwingbank.settings import Address

if TYPE_CHECKING:
    from collections.abc import Callable

SERVERS = 70
DATA_CENTRES = 5
SUBJECTS = 40
WARM_REQUESTS = 1500
REQUESTS_PER_S = 300.0
STREAM_S = 1.5
RUNS = 5
US_PER_S = 1_000_000
POOL = Pool("desk-model", 529_229, 2_500_000.0)
ADDRESS = Address("127.0.0.1", 1)
EVENT = b'id: %d\ndata: {"text": "some words of an answer"}\n\n'
HEAD = b"HTTP/1.1 200 OK\r\nServer-Stamp: x\r\nTransfer-Encoding: chunked\r\n\r\n"


class SilentTransport:
    """Takes what is written and drops it."""

    def write(self, data: bytes) -> None:
        """Drop data."""

    def is_closing(self) -> bool:
        """Return False."""
        return False


def entries() -> list[ServerEntry]:
    """List the servers of the pool."""
    return [
        ServerEntry(
            f"server-{number:02}", POOL.name, ADDRESS, f"dc-{number % DATA_CENTRES}", 12, False, 1
        )
        for number in range(SERVERS)
    ]


def draw_needs(random: Random) -> RequestNeeds:
    """Draw a request with a shared prompt part."""
    tier = random.randrange(3)
    route = Route(
        "r", "h", "/", Kind.STREAM, True, (Share(POOL.name, 1.0),), 2, tier, 6.0, 0.8, 0.25, False,
        True,
    )  # fmt: skip
    shared = PromptPart(f"subject-{int(SUBJECTS * random.random() ** 1.3)}", 6300)
    own = PromptPart("own", 200 + random.randrange(3000))
    tokens = shared.tokens + own.tokens
    facts = CallFacts("r", "h", "k", 6.0, tokens, 150, (shared, own), "", b"")
    return RequestNeeds(facts, route, tier, 0.8, 3.0, "dc-1")


def warm(chooser: Chooser, random: Random) -> float:
    """Let requests come and go until the pool is busy; return the time then."""
    servers, now, ended = entries(), 1000.0, []
    begins: list[tuple[float, Any, int]] = []
    for number in range(WARM_REQUESTS):
        now += random.expovariate(REQUESTS_PER_S)
        needs = draw_needs(random)
        choice = chooser.choose(servers, POOL, needs, (), now)
        load = choice.backend.load  # type: ignore[union-attr]
        key = ("other", number)
        load.request_sent(key, as_in_flight(choice, needs, now), needs.facts.shared_parts)  # type: ignore[arg-type]
        begins.append((now + random.uniform(0.05, 0.3), load, number))
        while begins and begins[0][0] <= now:
            at_s, began, of = begins.pop(0)
            began.first_event_received(("other", of), 0.15)
            ended.append((at_s + STREAM_S, began, of))
        while ended and ended[0][0] <= now:
            _, began, of = ended.pop(0)
            began.request_ended(("other", of))
    return now


def timed_us(step: Callable[[], object], times: int) -> float:
    """Return the least processor time of a step over some runs."""
    best = float("inf")
    for _ in range(RUNS):
        began_s = time.process_time()
        for _ in range(times):
            step()
        best = min(best, (time.process_time() - began_s) / times)
    return best * US_PER_S


def choice_us() -> float:
    """Return the time of a choice."""
    random = Random(1)
    chooser = Chooser(Backends(random), random)
    now = warm(chooser, random)
    servers, needs = entries(), [draw_needs(random) for _ in range(20)]
    return timed_us(
        lambda: [chooser.choose(servers, POOL, one, (), now) for one in needs], 5
    ) / len(needs)


def message_us(requests: int) -> float:
    """Return the time to apply another host's message about some requests."""
    random = Random(2)
    backends = Backends(random)
    for entry in entries():
        backends.get_or_create(entry).load.cache.capacity_tokens = POOL.cache_tokens
    peers = Peers("host-1", 1, backends, DecisionLog("host-1", "dc-1", len))
    data = []
    for number in range(0, 400 * requests, requests):
        numbers = range(number, number + requests)
        sent = tuple(
            Sent(
                one,
                f"server-{random.randrange(SERVERS):02}",
                InFlightRequest(0.0, 900, 4000.0, 150, 0.25, 1),
                (PromptPart(f"subject-{random.randrange(SUBJECTS)}", 6300),),
            )
            for one in numbers
        )
        begun = tuple(FirstEvent(one - 40, 0.15) for one in numbers if one > 40)
        ended = tuple(one - 400 for one in numbers if one > 400)
        report = Report("host-2", 1, Digest(sent, begun, ended))
        bundle = Bundle((report,), Audience.NOBODY)
        data.append(encode_message(Message("host-3", 1, bundle)))

    def receive() -> None:
        for one in data:
            peers.datagram_received(one, ("10.0.0.3", 7200))

    return timed_us(receive, 1) / len(data)


def event_us() -> float:
    """Return the time to forward an event of a stream."""
    from redwingbank.front.router import Router  # noqa: PLC0415 - only for this figure

    random = Random(3)
    settings = HostSettings(
        "host-1", "dc-1", ADDRESS, ADDRESS, ADDRESS, ADDRESS, Bounds(), ADDRESS
    )
    router = Router(settings, random)
    router.backends = Backends(random)
    now = warm(Chooser(router.backends, random), random)
    backend = router.backends.backends_by_name["server-03"]
    needs = draw_needs(random)
    for number in range(3):
        sent = InFlightRequest(now_s() + 1000 * number, 9000, 0.0, 150, 0.25, 1)
        backend.load.request_sent(("x", number), sent, ())
    inbound = InboundConnection(router)
    inbound._transport = SilentTransport()  # type: ignore[assignment]
    exchange = Exchange(router, inbound, RequestHead(b"POST", b"/", (), True), RequestBody(), now)
    return _forward(exchange, router, backend, needs)


def _forward(exchange: Exchange, router: Any, backend: Any, needs: RequestNeeds) -> float:
    from redwingbank.front.admission import AdmittedRequest  # noqa: PLC0415

    admitted = AdmittedRequest._make(
        {"facts": needs.facts, "route": needs.route, "organisation": None}.get(name, POOL.name)
        for name in AdmittedRequest._fields
    )
    exchange._binding = StreamBinding(router, admitted, exchange)
    exchange._stream.begin_attempt(streams=True, resume_after="")
    exchange._answer.begin_stream(200, b"OK", b"")
    exchange._holder._awaits_first_event = False
    attempt = exchange._holder.attempt = Attempt(exchange, backend, "r", 1)
    connection = Connection(backend.connections)
    connection._transport = SilentTransport()  # type: ignore[assignment]
    connection._reply = attempt
    exchange._life.attempt = 1
    attempt._find_fault = lambda *_: ""  # type: ignore[method-assign]
    exchange.attempt_streaming = lambda *_: None  # type: ignore[method-assign]
    stamped = HEAD.replace(b"Transfer", b"Content-Type: text/event-stream\r\nTransfer")
    connection.data_received(stamped)
    numbers = iter(range(1, 1_000_000))

    def step() -> None:
        event = EVENT % next(numbers)
        connection.data_received(b"%x\r\n%b\r\n" % (len(event), event))

    return timed_us(step, 2000)


def main() -> int:
    """Print the figures."""
    print(f"choice among {SERVERS}: {choice_us():.0f} us")
    for requests in (1, 5):
        print(f"message about {requests}: {message_us(requests):.0f} us")
    print(f"event: {event_us():.1f} us")
    return 0


if __name__ == "__main__":
    sys.exit(main())
