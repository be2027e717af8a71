"""Clock skew between hosts, bounded by the order of causes and effects."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from redwingbank.ctl.records import Record

FIELDS_BY_EFFECT: dict[str, tuple[str, tuple[str, ...]]] = {
    "notice-learned": ("notice", ("kind", "subject", "origin", "notice")),
    "question-heard": ("question-sent", ("asker", "asked_s")),
    "answer-heard": ("question-heard", ("asker", "asked_s")),
}


class Link(NamedTuple):
    """A cause on one host and its effect on another."""

    cause: Record
    effect: Record


class Skew(NamedTuple):
    """A host's clock against the reference host's, in seconds.

    The true offset lies between `least_s` and `most_s`, either of which may be infinite where
    no cause and effect bound it; `offset_s` is the estimate that was used.
    """

    host: str
    offset_s: float
    least_s: float
    most_s: float

    def text(self) -> str:
        """Tell offset and bounds in milliseconds."""
        if math.isinf(self.least_s) and math.isinf(self.most_s):
            return f"{self.host}: clock not compared: no matching events"
        bounds = f"{_milliseconds(self.least_s)} to {_milliseconds(self.most_s)}"
        return f"{self.host}: clock {self.offset_s * 1000:+.1f} ms (between {bounds})"


class Skews(NamedTuple):
    """Every host's skew; `consistent` is false where clocks stepped, so that none fits all."""

    reference: str
    by_host: dict[str, Skew]
    consistent: bool


def find_links(records: Iterable[Record]) -> list[Link]:
    """Pair the records of one event on two hosts: what was sent with what was received."""
    ordered = list(records)
    kinds = {cause for cause, _ in FIELDS_BY_EFFECT.values()}
    cause_by_key = {
        (one.event, _key(one, FIELDS_BY_EFFECT[effect][1])): one
        for one in reversed(ordered)
        if one.event in kinds
        for effect in FIELDS_BY_EFFECT
        if FIELDS_BY_EFFECT[effect][0] == one.event
    }
    found = []
    for effect in ordered:
        if effect.event not in FIELDS_BY_EFFECT:
            continue
        kind, names = FIELDS_BY_EFFECT[effect.event]
        cause = cause_by_key.get((kind, _key(effect, names)))
        if cause is not None and cause.host != effect.host:
            found.append(Link(cause, effect))
    return found


def estimate_skews(hosts: Iterable[str], found: Iterable[Link]) -> Skews:
    """Bound each host's clock against the first host's.

    An effect comes after its cause, so a clock is ahead by no more than their difference.
    Such bounds add up along chains of hosts. Between two bounds the middle is taken; with one
    bound, or none, no skew where that is allowed and else the bound. Where clocks stepped no skew
    fits all, and none is assumed.
    """
    names = sorted(set(hosts))
    reference = names[0] if names else ""
    ahead_s: dict[tuple[str, str], float] = {}
    for link in found:
        pair = (link.cause.host, link.effect.host)
        apart_s = link.effect.wall_s - link.cause.wall_s
        ahead_s[pair] = min(ahead_s.get(pair, math.inf), apart_s)
    behind_s = {(effect, cause): apart_s for (cause, effect), apart_s in ahead_s.items()}
    most_s = _shortest(reference, names, ahead_s)
    least_s = _shortest(reference, names, behind_s)
    consistent = all(-least_s[name] <= most_s[name] for name in names)
    if not consistent:
        unknown = {name: Skew(name, 0.0, -math.inf, math.inf) for name in names}
        return Skews(reference, unknown, consistent)
    by_host = {name: _skew(name, -least_s[name], most_s[name]) for name in names}
    return Skews(reference, by_host, consistent)


def _shortest(
    start: str, names: list[str], length_by_pair: dict[tuple[str, str], float]
) -> dict[str, float]:
    """Shortest ways from a host to all others by Bellman and Ford; lengths may be negative."""
    way = dict.fromkeys(names, math.inf)
    way[start] = 0.0
    for _ in names:
        shorter = False
        for (here, there), length in length_by_pair.items():
            if way[here] + length < way[there]:
                way[there] = way[here] + length
                shorter = True
        if not shorter:
            break
    return way


def _skew(host: str, least_s: float, most_s: float) -> Skew:
    if math.isinf(least_s) or math.isinf(most_s):
        offset_s = min(max(0.0, least_s), most_s)
    else:
        offset_s = (least_s + most_s) / 2
    return Skew(host, offset_s, least_s, most_s)


def _key(record: Record, names: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(record.field(name) for name in names)


def _milliseconds(seconds: float) -> str:
    return "any" if math.isinf(seconds) else f"{seconds * 1000:+.1f} ms"


__all__ = ["Link", "Skew", "Skews", "estimate_skews", "find_links"]
