"""Encodes and decodes the messages of the duties: the holder's announcement and usage counts."""

from __future__ import annotations

from functools import singledispatch
from math import isfinite
from typing import TYPE_CHECKING, Any, NamedTuple

from redwingbank.duties.lease import RenewalKey
from redwingbank.duties.usage import Source, WindowCounts

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

# Fences are Unix times; a damaged message may hold any number.
MAX_FENCE = 2**40
MAX_NAME_CHARACTERS = 200
MAX_WINDOWS = 40
# Messages of counts are split so that a datagram holds at most 1,200 bytes with its envelope.
MAX_COUNT_BYTES = 900
FIXED_BYTES = 24
# an encoded count and its window, about
BYTES_PER_COUNT = 5


class Announcement(NamedTuple):
    """What the holder of the lease tells all hosts each second.

    `composed` is the highest window whose report is written down, -1 if there is none. `wall_s`
    is the time of day by the holder's view of the fleet.
    """

    key: RenewalKey
    composed: int
    wall_s: float


class UsageCounts(NamedTuple):
    """Cumulative counts of one process, sent by itself or passed on.

    `wall_s` is the sender's time of day, 0.0 in counts that are passed on. `composed` is the
    highest window whose report the sender knows to be composed, -1 if there is none.
    """

    source: Source
    windows: tuple[WindowCounts, ...]
    wall_s: float = 0.0
    composed: int = -1


DutyMessage = Announcement | UsageCounts


@singledispatch
def encode_duties(content: Any, struct: Any) -> None:
    """Encode a message of the duties."""
    raise TypeError(type(content))


@encode_duties.register
def encode_announcement(content: Announcement, struct: Any) -> None:
    """Encode an announcement into a message."""
    row = struct.init("dutyHolder")
    row.holder, row.incarnation, row.fence, row.renewal = content.key
    row.composed, row.wallS = content.composed, content.wall_s


def decode_announcement(struct: Any, now_s: float) -> Announcement:
    """Decode an announcement from a message.

    :raises ValueError: if its fence or time is out of range
    """
    row = struct.dutyHolder
    if row.fence > MAX_FENCE or not isfinite(row.wallS):
        raise ValueError(f"fence {row.fence} at {row.wallS}")
    key = RenewalKey(row.holder, row.incarnation, row.fence, row.renewal)
    return Announcement(key, row.composed, row.wallS)


@encode_duties.register
def encode_usage(content: UsageCounts, struct: Any) -> None:
    """Encode usage counts into a message."""
    usage = struct.init("usage")
    usage.host, usage.incarnation = content.source
    usage.wallS, usage.composed = content.wall_s, content.composed
    names = sorted({name for told in content.windows for name in told.counts_by_organisation})
    usage.windows = [told.window for told in content.windows]
    usage.organisations = names
    usage.counts = [
        told.counts_by_organisation.get(name, 0) for told in content.windows for name in names
    ]


def decode_usage(struct: Any, now_s: float) -> UsageCounts:
    """Decode usage counts from a message.

    :raises ValueError: if the numbers of windows, organisations and counts don't fit together
    """
    usage = struct.usage
    windows, names, counts = list(usage.windows), list(usage.organisations), list(usage.counts)
    if not isfinite(usage.wallS):
        raise ValueError(f"time {usage.wallS}")
    if len(windows) > MAX_WINDOWS or len(counts) != len(windows) * len(names):
        raise ValueError(f"{len(counts)} counts of {len(names)} organisations")
    if any(len(name) > MAX_NAME_CHARACTERS for name in names):
        raise ValueError("name of an organisation is too long")
    width = len(names)
    told = tuple(
        WindowCounts(
            window,
            {
                name: count
                for name, count in zip(names, counts[at * width : (at + 1) * width], strict=True)
                if count
            },
        )
        for at, window in enumerate(windows)
    )
    return UsageCounts(Source(usage.host, usage.incarnation), told, usage.wallS, usage.composed)


DUTY_DECODER_BY_KIND: dict[str, Callable[[Any, float], DutyMessage]] = {
    "dutyHolder": decode_announcement,
    "usage": decode_usage,
}


def split_counts(content: UsageCounts) -> Iterator[UsageCounts]:
    """Split counts into messages of which each fits into a datagram, one if there are none."""
    names = sorted({name for told in content.windows for name in told.counts_by_organisation})
    if not names:
        yield content._replace(windows=())
    per_name = BYTES_PER_COUNT * len(content.windows)
    for group in _groups(names, per_name):
        windows = (_only(told, group) for told in content.windows)
        yield content._replace(windows=tuple(told for told in windows if told[1]))


def _groups(names: Iterable[str], per_name_bytes: int) -> Iterator[set[str]]:
    group: set[str] = set()
    size = 0
    for name in names:
        needed = FIXED_BYTES // 2 + len(name.encode()) + per_name_bytes
        if group and size + needed > MAX_COUNT_BYTES:
            yield group
            group, size = set(), 0
        group.add(name)
        size += needed
    if group:
        yield group


def _only(told: WindowCounts, names: set[str]) -> WindowCounts:
    counts = told.counts_by_organisation
    return told._replace(
        counts_by_organisation={name: count for name, count in counts.items() if name in names}
    )


__all__ = [
    "DUTY_DECODER_BY_KIND",
    "Announcement",
    "DutyMessage",
    "UsageCounts",
    "decode_announcement",
    "decode_usage",
    "encode_announcement",
    "encode_duties",
    "encode_usage",
    "split_counts",
]
