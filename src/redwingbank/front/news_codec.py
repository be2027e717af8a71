"""Encodes and decodes what a relay tells other hosts of changes of backend servers."""

from __future__ import annotations

from typing import Any, NamedTuple

from redwingbank.front.notice_codec import read_rows
from redwingbank.front.values import ServerEntry
from redwingbank.settings import parse_remote_address

MILLISECONDS = 1000.0


class News(NamedTuple):
    """Changes of backend servers between two revisions of an era of the store, 0 if not known.

    `written` holds the changed entries as of `until`, `removed` the names of deleted ones.
    """

    since: int
    until: int
    written: tuple[ServerEntry, ...]
    removed: tuple[str, ...]
    era: int = 0


def encode_news(content: News, struct: Any) -> None:
    """Encode changes of servers into a message."""
    news = struct.init("news")
    news.since, news.until, news.era = content.since, content.until, content.era
    news.removed = list(content.removed)
    rows = news.init("written", len(content.written))
    for row, entry in zip(rows, content.written, strict=True):
        row.name, row.pool, row.address = entry.name, entry.pool, str(entry.address)
        row.dataCentre, row.slots = entry.data_centre, entry.slots
        row.draining, row.startedMs = entry.draining, entry.started_ms
        row.version, row.spot = entry.version, entry.spot
        if entry.leaves_s is not None:
            row.leavesMs = entry.leaves_s * MILLISECONDS


def decode_news(struct: Any, now_s: float) -> News:
    """Decode changes of servers from a message.

    :raises ValueError: if an address is no address, or a server has no slots
    """
    news = struct.news
    return News(
        news.since,
        news.until,
        tuple(map(_decode_server, read_rows(news.written))),
        tuple(news.removed),
        news.era,
    )


def _decode_server(row: Any) -> ServerEntry:
    if not row.slots:
        raise ValueError(f"{row.name} has no slots")
    return ServerEntry(
        name=row.name,
        pool=row.pool,
        address=parse_remote_address(row.address),
        data_centre=row.dataCentre,
        slots=row.slots,
        draining=row.draining,
        started_ms=row.startedMs,
        version=row.version,
        spot=row.spot,
        leaves_s=row.leavesMs / MILLISECONDS if row.leavesMs >= 0 else None,
    )


__all__ = ["News", "decode_news", "encode_news"]
