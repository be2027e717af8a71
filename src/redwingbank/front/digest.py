"""Messages between hosts, by Cap'n Proto: requests sent, freshness, changes of servers."""

from __future__ import annotations

from functools import singledispatch
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import capnp

from redwingbank.front.load import Flight
from redwingbank.front.poison import CrashNews
from redwingbank.front.values import Part, ServerEntry
from redwingbank.settings import parse_address

if TYPE_CHECKING:
    from collections.abc import Callable

capnp.remove_import_hook()
SCHEMA = capnp.load(str(Path(__file__).with_name("digest.capnp")))
MILLISECONDS = 1000.0
HIGHEST_AGE_MS = 2**32 - 1


class MessageError(Exception):
    """Bytes that are no message between hosts."""


class Sent(NamedTuple):
    """A request that a host has sent: its number there, the server and what it asks of it."""

    number: int
    server: str
    flight: Flight
    parts: tuple[Part, ...]


class Begun(NamedTuple):
    """A request's first event, and how long after its sending it came."""

    number: int
    took_s: float


class Digest(NamedTuple):
    """What happened at a host since its last digest."""

    sent: tuple[Sent, ...] = ()
    begun: tuple[Begun, ...] = ()
    ended: tuple[int, ...] = ()


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


Content = Digest | Question | Answer | News | CrashNews


class Message(NamedTuple):
    """Something that a host tells another; `incarnation` rises with each start."""

    host: str
    incarnation: int
    content: Content


def encode_message(message: Message) -> bytes:
    """Write a message."""
    draft = SCHEMA.Message.new_message(host=message.host, incarnation=message.incarnation)
    _fill(message.content, draft)
    return bytes(draft.to_bytes_packed())


def decode_message(data: bytes, now_s: float) -> Message:
    """Read a message; requests that it tells of count as sent now.

    :raises MessageError: where the bytes are none
    """
    try:
        draft = SCHEMA.Message.from_bytes_packed(data)
        read = _READER_BY_KIND[draft.which()]
        return Message(draft.host, draft.incarnation, read(draft, now_s))
    except (capnp.KjException, ValueError, KeyError) as error:
        raise MessageError(str(error)) from error


@singledispatch
def _fill(content: Any, draft: Any) -> None:
    raise TypeError(type(content))


@_fill.register
def _fill_digest(content: Digest, draft: Any) -> None:
    digest = draft.init("digest")
    for row, begun in zip(digest.init("begun", len(content.begun)), content.begun, strict=True):
        row.number, row.tookMs = begun.number, int(begun.took_s * MILLISECONDS)
    digest.ended = list(content.ended)
    rows = digest.init("sent", len(content.sent))
    for row, one in zip(rows, content.sent, strict=True):
        flight = one.flight
        row.number, row.server = one.number, one.server
        row.unread, row.ahead = flight.unread, int(flight.ahead)
        row.answerTokens, row.rank = flight.answer_tokens, flight.rank
        row.pauseMs = int(flight.pause_target_s * MILLISECONDS)
        parts = row.init("parts", len(one.parts))
        for cell, part in zip(parts, one.parts, strict=True):
            cell.name, cell.tokens = part.name, part.tokens


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
    digest = draft.digest
    return Digest(
        sent=tuple(_read_sent(row, now_s) for row in digest.sent),
        begun=tuple(Begun(row.number, row.tookMs / MILLISECONDS) for row in digest.begun),
        ended=tuple(digest.ended),
    )


def _read_sent(row: Any, now_s: float) -> Sent:
    flight = Flight(
        sent_s=now_s,
        unread=row.unread,
        ahead=float(row.ahead),
        answer_tokens=row.answerTokens,
        pause_target_s=row.pauseMs / MILLISECONDS,
        rank=row.rank,
    )
    parts = tuple(Part(cell.name, cell.tokens) for cell in row.parts)
    return Sent(row.number, row.server, flight, parts)


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
    "question": _read_question,
    "answer": _read_answer,
    "news": _read_news,
    "crash": _read_crash,
}

__all__ = [
    "Answer",
    "Begun",
    "Content",
    "Digest",
    "Message",
    "MessageError",
    "News",
    "Question",
    "Sent",
    "decode_message",
    "encode_message",
]
