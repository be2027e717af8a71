"""Checks that hosts heed what servers say of themselves."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from redwingbank_bench.soakchecks import Attempt
    from redwingbank_bench.soakproxy import Disturbance
    from redwingbank_bench.soakruns import Interruption
    from redwingbank_bench.soakstating import Arrival, Leaving, Rest, ServerStart

STATUS_OK = 200
# What the users demand: a host that has passed on a server's word that it leaves may send there
# what callers sent up to `DRAIN_S` later. After `HEARD_S` of a rest, it may send so many more.
DRAIN_S = 2.0
HEARD_S = 0.5
MOST_IN_REST = 2


class Statements(NamedTuple):
    """What servers told hosts, and what reached them.

    A restart, a freeze or a cut of a host excuses it: `interruptions` and `started_s` are those of
    the host at a source address, `disturbances` those of the links to a server. `stalls` are
    times in which the soak's own process was late.
    """

    arrivals: tuple[Arrival, ...] = ()
    leaving: tuple[Leaving, ...] = ()
    rests: tuple[Rest, ...] = ()
    interruptions_by_source: Mapping[str, tuple[Interruption, ...]] = {}
    started_s_by_source: Mapping[str, tuple[float, ...]] = {}
    disturbances_by_server: Mapping[str, tuple[Disturbance, ...]] = {}
    stalls: tuple[Interruption, ...] = ()

    def is_excused(self, source: str, from_s: float, to_s: float) -> bool:
        """Whether a host was interrupted or started anew between two times."""
        interruptions = (*self.interruptions_by_source.get(source, ()), *self.stalls)
        starts = self.started_s_by_source.get(source, ())
        return any(item.from_s <= to_s and from_s <= item.to_s for item in interruptions) or any(
            from_s <= started_s <= to_s for started_s in starts
        )

    def is_disturbed(self, server: str, source: str, from_s: float, to_s: float) -> bool:
        """Whether a host's links to a server were disturbed between two times."""
        mode_by_source = {"": "pass", source: "pass"}
        for change in self.disturbances_by_server.get(server, ()):
            if change.source not in mode_by_source or change.at_s > to_s:
                continue
            if change.at_s >= from_s:
                return True
            mode_by_source[change.source] = change.mode
        return any(mode != "pass" for mode in mode_by_source.values())


def find_ignored_statements(
    seen: Statements, attempts_by_id: Mapping[str, Attempt]
) -> Iterator[str]:
    """Describe the requests that hosts sent to servers that had told them not to."""
    yield from _find_sent_to_leaving(seen, attempts_by_id)
    yield from _find_sent_to_resting(seen)


def _find_sent_to_leaving(
    seen: Statements, attempts_by_id: Mapping[str, Attempt]
) -> Iterator[str]:
    told_s = _passed_on_s(seen, attempts_by_id)
    for arrival in seen.arrivals:
        attempt = attempts_by_id.get(arrival.request_id)
        from_s = told_s.get((arrival.start, arrival.source))
        if attempt is None or from_s is None:
            continue
        late_s = attempt.first_sent_s - from_s - DRAIN_S
        if late_s > 0 and not seen.is_excused(arrival.source, from_s, arrival.received_s):
            yield (
                f"leaving: {arrival.request_id} reached {arrival.start.server} from "
                f"{arrival.source}, sent {late_s:.2f} s too late"
            )


def _passed_on_s(
    seen: Statements, attempts_by_id: Mapping[str, Attempt]
) -> dict[tuple[ServerStart, str], float]:
    """Return when each host had first passed on an answer of a server that leaves."""
    arrivals = Counter(arrival.request_id for arrival in seen.arrivals)
    told_s: dict[tuple[ServerStart, str], float] = {}
    for told in seen.leaving:
        attempt = attempts_by_id.get(told.arrival.request_id)
        # where the request reached several servers, the answer may be another one's
        if attempt is None or arrivals[attempt.request_id] > 1:
            continue
        if attempt.status == STATUS_OK and attempt.whole:
            key = told.arrival.start, told.arrival.source
            told_s[key] = min(attempt.ended_s, told_s.get(key, attempt.ended_s))
    return told_s


def _find_sent_to_resting(seen: Statements) -> Iterator[str]:
    for rest in seen.rests:
        start, source = rest.arrival.start, rest.arrival.source
        from_s, to_s = rest.told_s + HEARD_S, rest.told_s + rest.rest_s
        sent = [
            arrival.request_id
            for arrival in seen.arrivals
            if (arrival.start, arrival.source) == (start, source)
            and from_s < arrival.received_s < to_s
        ]
        if (
            len(sent) > MOST_IN_REST
            and not seen.is_excused(source, rest.told_s, to_s)
            and not seen.is_disturbed(start.server, source, rest.told_s, to_s)
        ):
            yield f"rest: {sent} reached {start.server} from {source} while it rested"


__all__ = ["DRAIN_S", "HEARD_S", "MOST_IN_REST", "Statements", "find_ignored_statements"]
