"""Messages between hosts, by Cap'n Proto: requests sent, freshness, changes of servers."""

from __future__ import annotations

from enum import IntEnum
from functools import singledispatch
from itertools import islice
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import capnp

from redwingbank.front.load import Flight
from redwingbank.front.poison import CrashNews
from redwingbank.front.values import PromptPart, ServerEntry
from redwingbank.settings import parse_address

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

capnp.remove_import_hook()
SCHEMA = capnp.load(str(Path(__file__).with_name("digest.capnp")))
MILLISECONDS = 1000.0
HIGHEST_AGE_MS = 2**32 - 1
# numbers that a digest holds for each request sent
FIGURES = 7


class MessageError(Exception):
    """Bytes that are no message between hosts."""


class Sent(NamedTuple):
    """A request that a host has sent: its number there, the server and what it asks of it."""

    number: int
    server: str
    flight: Flight
    parts: tuple[PromptPart, ...]


class Begun(NamedTuple):
    """A request's first event, and how long after its sending it came."""

    number: int
    took_s: float


class Digest(NamedTuple):
    """What happened at a host since its last digest."""

    sent: tuple[Sent, ...] = ()
    begun: tuple[Begun, ...] = ()
    ended: tuple[int, ...] = ()


class Audience(IntEnum):
    """Whom the receiver of a bundle tells in turn."""

    NOBODY = 0
    DATA_CENTRE = 1
    ALL = 2


class Report(NamedTuple):
    """A digest of a host, whoever passes it on."""

    host: str
    incarnation: int
    digest: Digest


class Bundle(NamedTuple):
    """Reports that one host passes on to others."""

    reports: tuple[Report, ...]
    audience: Audience


class Question(NamedTuple):
    """How fresh are you? `asked_s` is the asker's own time; `traced` ones are logged."""

    asked_s: float
    traced: bool = False


class Answer(NamedTuple):
    """The answer to a question: the table was confirmed `age_s` before it was given.

    Changes of backend servers are known up to the store's revision `servers_watched`; by
    `servers_changed` the last of them had happened. The list was confirmed `servers_age_s` ago.
    """

    asked_s: float
    age_s: float
    table_revision: int
    servers_changed: int
    servers_watched: int
    servers_age_s: float


class News(NamedTuple):
    """What became of backend servers between two of the store's revisions.

    `written` are entries as they stand at `until`, `removed` names of those that are gone.
    """

    since: int
    until: int
    written: tuple[ServerEntry, ...]
    removed: tuple[str, ...]


Content = Digest | Bundle | Question | Answer | News | CrashNews


class Place(NamedTuple):
    """Where a host is, and what its network link carries, 0.0 where that is not known."""

    data_centre: str = ""
    link_mbps: float = 0.0


NOWHERE = Place()


class Message(NamedTuple):
    """Something that a host tells another; `incarnation` rises with each start."""

    host: str
    incarnation: int
    content: Content
    place: Place = NOWHERE


def encode_message(message: Message) -> bytes:
    """Write a message."""
    draft = SCHEMA.Message.new_message(
        host=message.host,
        incarnation=message.incarnation,
        dataCentre=message.place.data_centre,
        linkMbps=message.place.link_mbps,
    )
    _fill(message.content, draft)
    return bytes(draft.to_bytes_packed())


def decode_message(data: bytes, now_s: float) -> Message:
    """Read a message; requests that it tells of count as sent now.

    :raises MessageError: where the bytes are none
    """
    try:
        draft = SCHEMA.Message.from_bytes_packed(data)
        read = _READER_BY_KIND[draft.which()]
        content = read(draft, now_s)
        place = Place(draft.dataCentre, draft.linkMbps)
        return Message(draft.host, draft.incarnation, content, place)
    except (capnp.KjException, ValueError, KeyError) as error:
        raise MessageError(str(error)) from error


@singledispatch
def _fill(content: Any, draft: Any) -> None:
    raise TypeError(type(content))


@_fill.register
def _fill_digest(content: Digest, draft: Any) -> None:
    _write_digest(content, draft.init("digest"))


@_fill.register
def _fill_bundle(content: Bundle, draft: Any) -> None:
    bundle = draft.init("bundle")
    bundle.audience = content.audience.value
    bundle.hosts = [report.host for report in content.reports]
    bundle.incarnations = [report.incarnation for report in content.reports]
    digests = [report.digest for report in content.reports]
    bundle.counts = [len(events) for digest in digests for events in digest]
    merged = Digest(
        tuple(one for digest in digests for one in digest.sent),
        tuple(one for digest in digests for one in digest.begun),
        tuple(one for digest in digests for one in digest.ended),
    )
    _write_digest(merged, bundle.init("digest"))


def _write_digest(content: Digest, digest: Any) -> None:
    if content.sent:
        digest.sent = [figure for one in content.sent for figure in _figures(one)]
        digest.servers = [one.server for one in content.sent]
        digest.parts = [part.name for one in content.sent for part in one.parts]
        digest.partTokens = [part.tokens for one in content.sent for part in one.parts]
    if content.begun:
        digest.begun = [
            figure
            for one in content.begun
            for figure in (one.number, int(one.took_s * MILLISECONDS))
        ]
    if content.ended:
        digest.ended = list(content.ended)


def _figures(one: Sent) -> tuple[int, ...]:
    flight = one.flight
    return (
        one.number,
        flight.unread,
        int(flight.ahead),
        flight.answer_tokens,
        int(flight.pause_target_s * MILLISECONDS),
        flight.rank,
        len(one.parts),
    )


@_fill.register
def _fill_question(content: Question, draft: Any) -> None:
    question = draft.init("question")
    question.askedS, question.traced = content.asked_s, content.traced


@_fill.register
def _fill_answer(content: Answer, draft: Any) -> None:
    answer = draft.init("answer")
    answer.askedS = content.asked_s
    answer.ageMs = _age_ms(content.age_s)
    answer.serversAgeMs = _age_ms(content.servers_age_s)
    answer.tableRevision = content.table_revision
    answer.serversChanged = content.servers_changed
    answer.serversWatched = content.servers_watched


@_fill.register
def _fill_news(content: News, draft: Any) -> None:
    news = draft.init("news")
    news.since, news.until = content.since, content.until
    news.removed = list(content.removed)
    rows = news.init("written", len(content.written))
    for row, entry in zip(rows, content.written, strict=True):
        row.name, row.pool, row.address = entry.name, entry.pool, str(entry.address)
        row.dataCentre, row.slots = entry.data_centre, entry.slots
        row.draining, row.startedMs = entry.draining, entry.started_ms


@_fill.register
def _fill_crash(content: CrashNews, draft: Any) -> None:
    crash = draft.init("crash")
    crash.fingerprint, crash.cleared = content.fingerprint, content.cleared
    crash.ranMs = int(content.ran_s * MILLISECONDS)


def _read_crash(draft: Any, now_s: float) -> CrashNews:
    crash = draft.crash
    return CrashNews(crash.fingerprint, crash.ranMs / MILLISECONDS, crash.cleared)


def _read_digest(draft: Any, now_s: float) -> Digest:
    return _digest(draft.digest, now_s)


def _read_bundle(draft: Any, now_s: float) -> Bundle:
    bundle = draft.bundle
    merged, counts = _digest(bundle.digest, now_s), list(bundle.counts)
    sent, begun, ended = iter(merged.sent), iter(merged.begun), iter(merged.ended)
    rows = zip(
        bundle.hosts, bundle.incarnations, counts[::3], counts[1::3], counts[2::3], strict=True
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
    return Bundle(reports, Audience(bundle.audience))


def _digest(digest: Any, now_s: float) -> Digest:
    begun = list(digest.begun)
    return Digest(
        sent=tuple(_read_sent(digest, now_s)),
        begun=tuple(
            Begun(number, took_ms / MILLISECONDS)
            for number, took_ms in zip(begun[::2], begun[1::2], strict=True)
        ),
        ended=tuple(digest.ended),
    )


def _read_sent(digest: Any, now_s: float) -> Iterator[Sent]:
    figures = list(digest.sent)
    if not figures:
        return
    parts = map(PromptPart, digest.parts, digest.partTokens)
    rows = (figures[at : at + FIGURES] for at in range(0, len(figures), FIGURES))
    for server, row in zip(digest.servers, rows, strict=True):
        number, unread, ahead, answer_tokens, pause_ms, rank, part_count = row
        flight = Flight(
            sent_s=now_s,
            unread=unread,
            ahead=float(ahead),
            answer_tokens=answer_tokens,
            pause_target_s=pause_ms / MILLISECONDS,
            rank=rank,
        )
        yield Sent(number, server, flight, tuple(islice(parts, part_count)))


def _read_question(draft: Any, now_s: float) -> Question:
    return Question(draft.question.askedS, draft.question.traced)


def _read_answer(draft: Any, now_s: float) -> Answer:
    answer = draft.answer
    return Answer(
        asked_s=answer.askedS,
        age_s=answer.ageMs / MILLISECONDS,
        table_revision=answer.tableRevision,
        servers_changed=answer.serversChanged,
        servers_watched=answer.serversWatched,
        servers_age_s=answer.serversAgeMs / MILLISECONDS,
    )


def _read_news(draft: Any, now_s: float) -> News:
    news = draft.news
    return News(
        news.since, news.until, tuple(map(_read_server, news.written)), tuple(news.removed)
    )


def _read_server(row: Any) -> ServerEntry:
    return ServerEntry(
        name=row.name,
        pool=row.pool,
        address=parse_address(row.address),
        data_centre=row.dataCentre,
        slots=row.slots,
        draining=row.draining,
        started_ms=row.startedMs,
    )


def _age_ms(age_s: float) -> int:
    return int(min(age_s * MILLISECONDS, HIGHEST_AGE_MS))


_READER_BY_KIND: dict[str, Callable[[Any, float], Content]] = {
    "digest": _read_digest,
    "bundle": _read_bundle,
    "question": _read_question,
    "answer": _read_answer,
    "news": _read_news,
    "crash": _read_crash,
}

__all__ = [
    "Answer",
    "Audience",
    "Begun",
    "Bundle",
    "Content",
    "Digest",
    "Message",
    "MessageError",
    "NOWHERE",
    "News",
    "Place",
    "Question",
    "Report",
    "Sent",
    "decode_message",
    "encode_message",
]
