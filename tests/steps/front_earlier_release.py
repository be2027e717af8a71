"""Steps of front/earlier_release.feature."""

from __future__ import annotations

from base64 import b64decode, b64encode
from unittest import mock

from behave import then, when

from redwingbank.forwarding.reach_codec import ReachReport, pool_key
from redwingbank.front.digest import (
    Answer,
    Message,
    News,
    Place,
    decode_message,
    encode_message,
)
from redwingbank.front.peers import Peers
from redwingbank.front.stream_codec import Purpose, StreamNote, StreamReport
from redwingbank.front.values import ServerEntry
from redwingbank.routing.stream_origin import StreamOrigin, stream_key
from redwingbank.settings import Address

AGE_S_BY_KEY = {pool_key("pool"): 0.25}
SERVER = ServerEntry("i-1", "pool", Address("127.0.0.1", 80), "a", 4, True, 5, "v1")
KEY = stream_key("r-1")
ORIGIN = StreamOrigin("pool", "v1", "edge-1")
STREAMS = {
    "a stream told": StreamReport(Purpose.TOLD, (StreamNote(KEY, ORIGIN, 1.5),)),
    "a stream asked for": StreamReport(Purpose.ASKED, (StreamNote(KEY),)),
    "a stream that has ended": StreamReport(Purpose.ENDED, (StreamNote(KEY),)),
    "a stream that was taken up": StreamReport(
        Purpose.TAKEN_UP, (StreamNote(KEY, taken_up_by=stream_key("r-2"), age_s=0.25),)
    ),
    "a stream that was released": StreamReport(Purpose.RELEASED, (StreamNote(KEY),)),
}
READ = STREAMS | {
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


def encode(content):
    return encode_message(Message("edge-1", 7, content, Place("a", 1000)))


@then('a host writes {message} as the bytes "{data}"')
def writes(context, message, data):
    written = encode(STREAMS[message])
    assert written == b64decode(data), b64encode(written)


@when("a host reads a message about a stream whose purpose is not known")
def reads_unknown(context):
    context.log, context.reports = mock.Mock(), []
    peers = Peers("edge-2", 1, mock.Mock(), context.log)
    peers.on_streams = lambda report, host: context.reports.append(report)
    unknown = mock.Mock(value=max(Purpose) + 1)
    for purpose in (unknown, Purpose.ENDED):
        data = encode(StreamReport(purpose, (StreamNote(KEY),)))
        peers.datagram_received(data, ("127.0.0.1", 1))


@then("it drops it, and reads the next one")
def drops(context):
    assert context.reports == [STREAMS["a stream that has ended"]], context.reports
    (record,) = context.log.detail.call_args_list
    assert record.args == ("message-unreadable",), record
