"""Estimation of clock skew between hosts from the order of causes and effects."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from redwingbank.ctl.records import Record

# For each effect event: the event that causes it, and the fields that both records share.
CAUSE_BY_EFFECT: dict[str, tuple[str, tuple[str, ...]]] = {
    "notice-learned": ("notice", ("kind", "subject", "origin", "notice")),
    "question-heard": ("question-sent", ("asker", "asked_s")),
    "answer-heard": ("question-heard", ("asker", "asked_s")),
}


class Link(NamedTuple):
    """The record of a cause on one host and that of its effect on another."""

    cause: Record
    effect: Record


class Skew(NamedTuple):
    """The offset of a host's clock from the reference host's, in seconds.

    The true offset lies between `least_s` and `most_s`; a bound without a matching cause and
    effect is infinite. `offset_s` is the estimate.
    """

    host: str
    offset_s: float
    least_s: float
    most_s: float

    def describe(self) -> str:
        """Format the offset and its bounds in milliseconds."""
        if math.isinf(self.least_s) and math.isinf(self.most_s):
            return f"{self.host}: clock not compared: no matching events"
        bounds = f"{_format_milliseconds(self.least_s)} to {_format_milliseconds(self.most_s)}"
        return f"{self.host}: clock {self.offset_s * 1000:+.1f} ms (bounds: {bounds})"


class Skews(NamedTuple):
    """The skew of every host; `consistent` is false if no offsets fit all events."""

    reference: str
    by_host: dict[str, Skew]
    consistent: bool


def find_links(records: Iterable[Record]) -> list[Link]:
    """Pair each effect's record with the record of its cause on another host."""
    all_records = list(records)
    cause_events = {cause for cause, _ in CAUSE_BY_EFFECT.values()}
    cause_by_key = {
        (record.event, _key(record, CAUSE_BY_EFFECT[effect][1])): record
        for record in reversed(all_records)
        if record.event in cause_events
        for effect in CAUSE_BY_EFFECT
        if CAUSE_BY_EFFECT[effect][0] == record.event
    }
    links = []
    for effect in all_records:
        if effect.event not in CAUSE_BY_EFFECT:
            continue
        cause_event, fields = CAUSE_BY_EFFECT[effect.event]
        cause = cause_by_key.get((cause_event, _key(effect, fields)))
        if cause is not None and cause.host != effect.host:
            links.append(Link(cause, effect))
    return links


def estimate_skews(hosts: Iterable[str], links: Iterable[Link]) -> Skews:
    """Bound and estimate the offset of each host's clock from that of the first host by name.

    An effect happens after its cause, so the clock of the effect's host is ahead of that of the
    cause's host by at most the difference of the two wall times. These bounds add up along
    chains of hosts. The estimate is the middle of two finite bounds, or else the value closest
    to 0 that the bounds allow. If no offsets fit all events, because a clock was stepped, all
    offsets are 0 and unbounded.
    """
    names = sorted(set(hosts))
    reference = names[0] if names else ""
    upper_bound_s_by_pair: dict[tuple[str, str], float] = {}
    for link in links:
        pair = (link.cause.host, link.effect.host)
        difference_s = link.effect.wall_s - link.cause.wall_s
        upper_bound_s_by_pair[pair] = min(upper_bound_s_by_pair.get(pair, math.inf), difference_s)
    upper_bound_s_by_reversed_pair = {
        (effect, cause): bound_s for (cause, effect), bound_s in upper_bound_s_by_pair.items()
    }
    most_s = _shortest_distances(reference, names, upper_bound_s_by_pair)
    negated_least_s = _shortest_distances(reference, names, upper_bound_s_by_reversed_pair)
    consistent = all(-negated_least_s[name] <= most_s[name] for name in names)
    if not consistent:
        unknown = {name: Skew(name, 0.0, -math.inf, math.inf) for name in names}
        return Skews(reference, unknown, consistent)
    by_host = {name: _build_skew(name, -negated_least_s[name], most_s[name]) for name in names}
    return Skews(reference, by_host, consistent)


def _shortest_distances(
    start: str, names: list[str], length_by_pair: dict[tuple[str, str], float]
) -> dict[str, float]:
    """Return the shortest distance to each host (Bellman-Ford, since lengths may be negative)."""
    distance = dict.fromkeys(names, math.inf)
    distance[start] = 0.0
    for _ in names:
        improved = False
        for (source, target), length in length_by_pair.items():
            if distance[source] + length < distance[target]:
                distance[target] = distance[source] + length
                improved = True
        if not improved:
            break
    return distance


def _build_skew(host: str, least_s: float, most_s: float) -> Skew:
    if math.isinf(least_s) or math.isinf(most_s):
        offset_s = min(max(0.0, least_s), most_s)
    else:
        offset_s = (least_s + most_s) / 2
    return Skew(host, offset_s, least_s, most_s)


def _key(record: Record, fields: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(record.field(name) for name in fields)


def _format_milliseconds(seconds: float) -> str:
    return "none" if math.isinf(seconds) else f"{seconds * 1000:+.1f} ms"


__all__ = ["Link", "Skew", "Skews", "estimate_skews", "find_links"]
