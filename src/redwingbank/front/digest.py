"""Cap'n Proto messages between hosts: requests in flight, freshness, server changes, notices."""

from __future__ import annotations

from enum import IntEnum
from functools import singledispatch
from itertools import islice
from typing import TYPE_CHECKING, Any, NamedTuple

import capnp

from redwingbank.duties.codec import DUTY_DECODER_BY_KIND, DutyMessage, encode_duties
from redwingbank.forwarding.reach_codec import ReachReport, decode_reach, encode_reach
from redwingbank.front import digest_schema as schema
from redwingbank.front.digest_schema import SCHEMA
from redwingbank.front.framing import open_message, read_kind
from redwingbank.front.news_codec import News, decode_news, encode_news
from redwingbank.front.notice_codec import (
    StatementReport,
    age_ms,
    decode_crash,
    decode_statements,
    encode_crash,
    encode_statements,
)
from redwingbank.front.poison import CrashNews
from redwingbank.front.stream_codec import StreamReport, decode_streams, encode_streams
from redwingbank.front.values import PromptPart
from redwingbank.routing.load import InFlightRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

MILLISECONDS = 1000.0
# Messages up to this size have one segment, which is the fastest to read.
FIRST_SEGMENT_WORDS = 8192
# length of a request's row in `Digest.sent` of the schema
NUMBERS_PER_REQUEST = 7
# the tokens of all requests at a server may add up to more
MAX_COUNT = 2**32 - 1


class MessageError(Exception):
    """Bytes that can't be decoded as a message."""


class Sent(NamedTuple):
    """A request that a host sent to a server; `number` is unique to the host."""

    number: int
    server: str
    in_flight: InFlightRequest
    parts: tuple[PromptPart, ...]


class FirstEvent(NamedTuple):
    """The first event of a request and the time from its sending until then."""

    number: int
    took_s: float


class Digest(NamedTuple):
    """Requests sent, first events and ends at a host since its last digest.

    `reach` tells which pools the host reaches, in one digest a second.
    """

    sent: tuple[Sent, ...] = ()
    begun: tuple[FirstEvent, ...] = ()
    ended: tuple[int, ...] = ()
    reach: ReachReport | None = None


class Audience(IntEnum):
    """To whom the receiver of a bundle forwards it."""

    NOBODY = 0
    DATA_CENTRE = 1
    ALL = 2


class Report(NamedTuple):
    """The digest of a host, received directly or through a relay."""

    host: str
    incarnation: int
    digest: Digest


class Bundle(NamedTuple):
    """Reports that a host forwards to others."""

    reports: tuple[Report, ...]
    audience: Audience


class Question(NamedTuple):
    """Asks how fresh a host's table and server list are.

    `asked_s` is on the asker's clock; `traced` questions are logged at both hosts. The asker tells
    the revision of its own table, 0 if it has none.
    """

    asked_s: float
    traced: bool = False
    table_revision: int = 0


class Answer(NamedTuple):
    """The answer to a question; `age_s` is the time since the table was confirmed.

    Server changes are known up to store revision `servers_watched`; the latest one happened at or
    before revision `servers_changed`. The list was confirmed `servers_age_s` ago. The revisions
    are of the store's `era`, 0 if it isn't known.
    """

    asked_s: float
    age_s: float
    table_revision: int
    servers_changed: int
    servers_watched: int
    servers_age_s: float
    era: int = 0


_Notice = CrashNews | StatementReport | StreamReport | DutyMessage
Content = Digest | Bundle | Question | Answer | News | _Notice


class Place(NamedTuple):
    """The data centre of a host and the bandwidth of its network link, 0.0 if unknown."""

    data_centre: str = ""
    link_mbps: float = 0.0


UNKNOWN_PLACE = Place()


class Message(NamedTuple):
    """A message from a host; `incarnation` increases with each start of its process."""

    host: str
    incarnation: int
    content: Content
    place: Place = UNKNOWN_PLACE


def encode_message(message: Message) -> bytes:
    """Encode a message."""
    struct = SCHEMA.Message.new_message(num_first_segment_words=FIRST_SEGMENT_WORDS)
    # named arguments would take four times as long
    struct.host, struct.incarnation = message.host, message.incarnation
    struct.dataCentre, struct.linkMbps = message.place
    _encode_content(message.content, struct)
    return bytes(struct.to_bytes_packed())


def decode_message(data: bytes, now_s: float) -> Message:
    """Decode a message; requests in it get `now_s` as the time of their sending.

    :raises MessageError: if the bytes are not a message
    """
    try:
        with open_message(SCHEMA.Message, data) as struct:
            decode = _DECODER_BY_KIND[read_kind(struct)]
            content = decode(struct, now_s)
            place = Place(schema.READ_DATA_CENTRE(struct), schema.READ_LINK(struct))
            return Message(
                schema.READ_HOST(struct), schema.READ_INCARNATION(struct), content, place
            )
    except (capnp.KjException, ValueError, KeyError) as error:
        raise MessageError(str(error)) from error


@singledispatch
def _encode_content(content: Any, struct: Any) -> None:
    raise TypeError(type(content))


@_encode_content.register
def _encode_digest(content: Digest, struct: Any) -> None:
    _encode_columns(content, struct.init("digest"))


@_encode_content.register
def _encode_bundle(content: Bundle, struct: Any) -> None:
    bundle = struct.init("bundle")
    bundle.audience = content.audience.value
    bundle.hosts = [report.host for report in content.reports]
    bundle.incarnations = [report.incarnation for report in content.reports]
    digests = [report.digest for report in content.reports]
    bundle.counts = [len(events) for digest in digests for events in digest[:3]]
    merged = Digest(
        tuple(sent for digest in digests for sent in digest.sent),
        tuple(event for digest in digests for event in digest.begun),
        tuple(number for digest in digests for number in digest.ended),
    )
    _encode_columns(merged, bundle.init("digest"))


def _encode_columns(content: Digest, digest: Any) -> None:
    if content.sent:
        digest.sent = [number for request in content.sent for number in _request_row(request)]
        digest.servers = [request.server for request in content.sent]
        digest.parts = [part.name for request in content.sent for part in request.parts]
        digest.partTokens = [part.tokens for request in content.sent for part in request.parts]
    if content.begun:
        digest.begun = [
            number
            for event in content.begun
            for number in (event.number, int(event.took_s * MILLISECONDS))
        ]
    if content.ended:
        digest.ended = list(content.ended)
    if content.reach:
        encode_reach(content.reach, digest)


def _request_row(request: Sent) -> tuple[int, ...]:
    in_flight = request.in_flight
    return (
        request.number,
        in_flight.unread_tokens,
        int(min(in_flight.tokens_ahead, MAX_COUNT)),
        in_flight.answer_tokens,
        int(in_flight.pause_target_s * MILLISECONDS),
        in_flight.rank,
        len(request.parts),
    )


@_encode_content.register
def _encode_question(content: Question, struct: Any) -> None:
    question = struct.init("question")
    question.askedS, question.traced = content.asked_s, content.traced
    question.tableRevision = content.table_revision


@_encode_content.register
def _encode_answer(content: Answer, struct: Any) -> None:
    answer = struct.init("answer")
    answer.askedS = content.asked_s
    answer.ageMs = age_ms(content.age_s)
    answer.serversAgeMs = age_ms(content.servers_age_s)
    answer.tableRevision = content.table_revision
    answer.serversChanged = content.servers_changed
    answer.serversWatched = content.servers_watched
    answer.era = content.era


_encode_content.register(encode_crash)
_encode_content.register(encode_news)
_encode_content.register(encode_statements)
_encode_content.register(encode_streams)
_encode_content.register(DutyMessage, encode_duties)


def _decode_digest(struct: Any, now_s: float) -> Digest:
    return _decode_columns(schema.READ_DIGEST(struct), now_s)


def _decode_bundle(struct: Any, now_s: float) -> Bundle:
    bundle = schema.READ_BUNDLE(struct)
    merged, counts = _decode_columns(schema.READ_MERGED(bundle), now_s), schema.READ_COUNTS(bundle)
    sent, begun, ended = iter(merged.sent), iter(merged.begun), iter(merged.ended)
    rows = zip(
        schema.READ_HOSTS(bundle),
        schema.READ_INCARNATIONS(bundle),
        counts[::3],
        counts[1::3],
        counts[2::3],
        strict=True,
    )
    reports = tuple(
        Report(
            host,
            incarnation,
            Digest(
                tuple(islice(sent, sent_count)),
                tuple(islice(begun, begun_count)),
                tuple(islice(ended, ended_count)),
            ),
        )
        for host, incarnation, sent_count, begun_count, ended_count in rows
    )
    return Bundle(reports, Audience(schema.READ_AUDIENCE(bundle)))


def _decode_columns(digest: Any, now_s: float) -> Digest:
    begun = schema.READ_BEGUN(digest)
    return Digest(
        sent=tuple(_decode_sent(digest, now_s)),
        begun=tuple(
            FirstEvent(number, took_ms / MILLISECONDS)
            for number, took_ms in zip(begun[::2], begun[1::2], strict=True)
        ),
        ended=tuple(schema.READ_ENDED(digest)),
        reach=decode_reach(digest),
    )


def _decode_sent(digest: Any, now_s: float) -> Iterator[Sent]:
    numbers = schema.READ_SENT(digest)
    if not numbers:
        return
    parts = map(PromptPart, schema.READ_PARTS(digest), schema.READ_PART_TOKENS(digest))
    rows = (
        numbers[at : at + NUMBERS_PER_REQUEST]
        for at in range(0, len(numbers), NUMBERS_PER_REQUEST)
    )
    for server, row in zip(schema.READ_SERVERS(digest), rows, strict=True):
        number, unread_tokens, tokens_ahead, answer_tokens, pause_ms, rank, part_count = row
        pause_s = pause_ms / MILLISECONDS
        in_flight = InFlightRequest(
            now_s, unread_tokens, float(tokens_ahead), answer_tokens, pause_s, rank
        )
        yield Sent(number, server, in_flight, tuple(islice(parts, part_count)))


def _decode_question(struct: Any, now_s: float) -> Question:
    question = struct.question
    return Question(question.askedS, question.traced, question.tableRevision)


def _decode_answer(struct: Any, now_s: float) -> Answer:
    answer = struct.answer
    return Answer(
        asked_s=answer.askedS,
        age_s=answer.ageMs / MILLISECONDS,
        table_revision=answer.tableRevision,
        servers_changed=answer.serversChanged,
        servers_watched=answer.serversWatched,
        servers_age_s=answer.serversAgeMs / MILLISECONDS,
        era=answer.era,
    )


_DECODER_BY_KIND: dict[str, Callable[[Any, float], Content]] = {
    "digest": _decode_digest,
    "bundle": _decode_bundle,
    "question": _decode_question,
    "answer": _decode_answer,
    "news": decode_news,
    "crash": decode_crash,
    "limits": decode_statements,
    "streams": decode_streams,
    **DUTY_DECODER_BY_KIND,
}

__all__ = [
    "Answer",
    "Audience",
    "FirstEvent",
    "Bundle",
    "Content",
    "Digest",
    "Message",
    "MessageError",
    "SCHEMA",
    "UNKNOWN_PLACE",
    "News",
    "Place",
    "Question",
    "Report",
    "Sent",
    "decode_message",
    "encode_message",
]
