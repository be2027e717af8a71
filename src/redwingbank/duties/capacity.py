"""Decides how many ordinary and spot servers of a pool each data centre should have.

Answers bursts that come faster than a server starts, the daily wave, reclaimed spot servers of one
or two data centres, dry markets, orders that are refused or late, and servers that never come,
crash or drain. More servers are ordered at once. Fewer are ordered a few at a time and only after
calm, since a server takes its prompt cache with it; before traffic there is no cache to lose, and
the set of servers is changed as soon as the replacements are ready.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.duties.demand import USUAL_S, Demand, LoadSample, idle_needs
from redwingbank.duties.order_book import OrderBook, Subject
from redwingbank.duties.server_plan import NONE, Counts, Needs, Plan, make_plan, price, shortfall

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from redwingbank.front.values import Scaling

# After a reclaim, the data centre's market is dry for about 10 s. Meanwhile no spot servers are
# asked for there, and it counts as one of the two data centres that may be lost.
RECLAIM_S = 10.0
LOSSES = 2
# This many draining spot servers of a data centre at once are a reclaim, not single failures.
RECLAIMED_SERVERS = 2
# Fewer servers are ordered after this time without a burst, a reclaim or an order of more, and
# then one at a time.
CALM_S = USUAL_S
STEP_S = 2.0
# One of so many servers leaves at a step, so that few prompts have to be read again.
STEP_SERVERS = 30
# Fewer servers are ordered only if the new plan costs this much less, so that orders don't flap.
MIN_SAVING = 0.1
MIN_IDLE_SAVING = 0.02
# A server that is listed this long serves; the list reaches all hosts in that time.
READY_S = 1.0


class PoolState(NamedTuple):
    """What the holder knows of a pool's servers.

    Counts are by data centre: `listed` are the servers that take requests, `ready` those of them
    listed for `READY_S`, and `draining_spot` the spot servers that leave. `in_flight` are
    requests by data centre of their server. `traffic` is true once requests were sent, and `fresh`
    if the list was confirmed lately.
    """

    listed: Mapping[str, Counts]
    ready: Mapping[str, Counts]
    draining_spot: Mapping[str, int]
    in_flight: Mapping[str, int]
    load: LoadSample
    traffic: bool
    fresh: bool = True


class Decision(NamedTuple):
    """The servers that are asked for, what they are needed for, and why they changed.

    `reason` is empty if nothing changed.
    """

    plan: Plan
    needs: Needs
    reason: str


class CapacityPlanner:
    """The decision for one pool; it starts from the list of servers or from a kept plan.

    Example: `planner.decide(state, now_s)` changes `planner.book`, whose due orders are then sent.
    """

    def __init__(self, scaling: Scaling, kept: Mapping[str, Counts] | None = None) -> None:
        self.scaling = scaling
        self.book = OrderBook(scaling.boot_s)
        self._kept = kept or {}
        self._demand = Demand()
        self._idle_servers = 0
        self._reclaimed_s: dict[str, float] = {}
        self._unrest_s = float("-inf")
        self._step_s = float("-inf")
        self._traffic = False

    def update(self, scaling: Scaling) -> None:
        """Apply changed bounds and prices."""
        self.scaling = scaling
        self.book.boot_s = scaling.boot_s

    def decide(self, state: PoolState, now_s: float) -> Decision:
        """Return the servers to ask for, given the state now; called about once a second."""
        self._adopt(state, now_s)
        self._note_reclaims(state, now_s)
        self.book.keep_surplus(by_subject(state.listed), now_s)
        self._keep_to_maximum(now_s)
        if state.traffic and not self._traffic:
            self._traffic, self._unrest_s = True, now_s
        if self._traffic:
            self._demand.record(state.load, now_s)
        losses = max(0, LOSSES - sum(self._reclaimed(one, now_s) for one in self._data_centres))
        # before traffic, what was there at the start is the only measure
        needs = self._demand.needs(losses) if self._traffic else idle_needs(self._idle_servers)
        reason = self._grow(state, needs, now_s)
        if not reason and state.fresh:
            reason = self._shift(state, needs, now_s)
        return Decision(self.plan(), needs, reason)

    def plan(self) -> Plan:
        """Return the servers that are asked for now."""
        return {
            data_centre: Counts(
                self.book.desired(Subject(data_centre, spot=False)),
                self.book.desired(Subject(data_centre, spot=True)),
            )
            for data_centre in self._data_centres
        }

    @property
    def _data_centres(self) -> list[str]:
        return sorted({subject.data_centre for subject in self.book.subjects})

    def _adopt(self, state: PoolState, now_s: float) -> None:
        names = {*state.listed, *self._kept, *self.scaling.prices_by_data_centre}
        for data_centre in names:
            if Subject(data_centre, spot=False) in self.book:
                continue
            listed = state.listed.get(data_centre, NONE)
            counts = self._kept.get(data_centre, listed)
            self.book.adopt(Subject(data_centre, spot=False), counts.ordinary, now_s)
            self.book.adopt(Subject(data_centre, spot=True), counts.spot, now_s)
        if not self._traffic:
            total = sum(counts.ordinary for counts in state.listed.values())
            self._idle_servers = max(self._idle_servers, total)

    def _keep_to_maximum(self, now_s: float) -> None:
        """Ask for fewer spot servers where a late or refused order left more than the maximum."""
        for data_centre, counts in self.plan().items():
            ordinary = min(counts.ordinary, self.scaling.most)
            spot = min(counts.spot, self.scaling.most - ordinary)
            self._want(data_centre, Counts(ordinary, spot), now_s)

    def _note_reclaims(self, state: PoolState, now_s: float) -> None:
        for data_centre, draining in state.draining_spot.items():
            subject = Subject(data_centre, spot=True)
            listed = state.listed.get(data_centre, NONE).spot
            # servers that were ordered away drain as well, but are not missing
            missing = self.book.desired(subject) - listed
            if min(draining, missing) >= RECLAIMED_SERVERS:
                self._reclaimed_s[data_centre] = self._unrest_s = now_s
                self.book.correct(subject, listed)

    def _reclaimed(self, data_centre: str, now_s: float) -> bool:
        return now_s < self._reclaimed_s.get(data_centre, float("-inf")) + RECLAIM_S

    def _grow(self, state: PoolState, needs: Needs, now_s: float) -> str:
        """Ask for more where what is there and what is coming falls short."""
        expected = {one: self._expected(one, state, now_s) for one in self._data_centres}
        if self._traffic and not self._spot_to_be_had(expected, now_s):
            # ordinary servers are too dear for a burst that may not come
            most = max(needs.present, needs.survivors)
            needs = needs._replace(full=min(needs.full, most))
        lacking = shortfall(expected, needs)
        below = [one for one in expected if expected[one].total < self.scaling.least]
        if not lacking and not below:
            return ""
        plan = make_plan(needs, expected, self._ceiling(expected, now_s), self.scaling)
        changes = self._raise_to(plan, expected, now_s)
        if not changes:
            return ""
        self._unrest_s = now_s
        return f"{lacking} servers short of what is needed" if lacking else "below the minimum"

    def _spot_to_be_had(self, expected: Mapping[str, Counts], now_s: float) -> bool:
        ceiling = self._ceiling(expected, now_s)
        return any(
            ceiling[one].spot > counts.spot and counts.total < self.scaling.most
            for one, counts in expected.items()
        )

    def _expected(self, data_centre: str, state: PoolState, now_s: float) -> Counts:
        listed = state.listed.get(data_centre, NONE)
        ordinary, spot = Subject(data_centre, spot=False), Subject(data_centre, spot=True)
        going = bool(state.draining_spot.get(data_centre)) or self._reclaimed(data_centre, now_s)
        return Counts(
            self.book.expected(ordinary, listed.ordinary, now_s),
            listed.spot if going else self.book.expected(spot, listed.spot, now_s),
        )

    def _ceiling(self, floor: Mapping[str, Counts], now_s: float) -> Plan:
        """Return what can be had: no more than the floor where there is none."""
        most = self.scaling.most
        ceiling: Plan = {}
        for data_centre, counts in floor.items():
            no_ordinary = self.book.dry(Subject(data_centre, spot=False), now_s)
            no_spot = self.book.dry(Subject(data_centre, spot=True), now_s)
            no_spot = no_spot or self._reclaimed(data_centre, now_s)
            ceiling[data_centre] = Counts(
                counts.ordinary if no_ordinary else most, counts.spot if no_spot else most
            )
        return ceiling

    def _raise_to(self, plan: Plan, expected: Mapping[str, Counts], now_s: float) -> bool:
        """Ask for a plan where it is above what is expected; keep the maximum otherwise."""
        changed = False
        for data_centre, counts in plan.items():
            current = self.plan()[data_centre]
            before = expected[data_centre]
            ordinary, spot = current
            if counts.ordinary > before.ordinary:
                ordinary = max(ordinary, counts.ordinary)
            if counts.spot > before.spot:
                spot = max(spot, counts.spot)
            # both kinds together stay within the maximum, those that are not there give way
            if ordinary + spot > self.scaling.most:
                ordinary = min(ordinary, max(counts.ordinary, before.ordinary))
                spot = min(spot, self.scaling.most - ordinary)
            changed |= self._want(data_centre, Counts(ordinary, spot), now_s)
        return changed

    def _want(self, data_centre: str, counts: Counts, now_s: float) -> bool:
        before = self.plan()[data_centre]
        self.book.want(Subject(data_centre, spot=False), counts.ordinary, now_s)
        self.book.want(Subject(data_centre, spot=True), counts.spot, now_s)
        return counts != before

    def _shift(self, state: PoolState, needs: Needs, now_s: float) -> str:
        """Move toward the cheapest plan: replacements first, then fewer."""
        if self._traffic:
            if now_s < max(self._unrest_s + CALM_S, self._step_s + STEP_S):
                return ""
            needs = self._demand.peak_needs()
        current = self.plan()
        target = self._cheapest(current, needs, now_s)
        saving = price(current, self.scaling) - price(target, self.scaling)
        least = MIN_SAVING if self._traffic else MIN_IDLE_SAVING
        if shortfall(target, needs) or saving < least * price(current, self.scaling):
            return ""
        raised = {
            one: Counts(
                current[one].ordinary,
                max(
                    current[one].spot,
                    min(target[one].spot, self.scaling.most - current[one].ordinary),
                ),
            )
            for one in current
        }
        if raised != current:
            for data_centre, counts in raised.items():
                self._want(data_centre, counts, now_s)
            return "spot servers are to replace ordinary ones"
        return self._lower(target, state, needs, now_s)

    def _cheapest(self, current: Plan, needs: Needs, now_s: float) -> Plan:
        floor = dict.fromkeys(current, NONE)
        return make_plan(needs, floor, self._ceiling(current, now_s), self.scaling)

    def _lower(self, target: Plan, state: PoolState, needs: Needs, now_s: float) -> str:
        """Ask for fewer, as far as the servers that are ready have what is needed.

        The ordinary servers of the data centre with the fewest requests for each server go first.
        """
        ready = {
            one: Counts(
                min(counts.ordinary, state.ready.get(one, NONE).ordinary),
                min(counts.spot, state.ready.get(one, NONE).spot),
            )
            for one, counts in self.plan().items()
        }
        total = sum(counts.total for counts in ready.values())
        steps = max(1, total // STEP_SERVERS) if self._traffic else total
        lowered = 0
        while lowered < steps and self._lower_one(target, state, ready, needs, now_s):
            lowered += 1
        if not lowered:
            return ""
        self._step_s = now_s
        return "calm" if self._traffic else "no traffic yet, replacements are ready"

    def _lower_one(
        self, target: Plan, state: PoolState, ready: Plan, needs: Needs, now_s: float
    ) -> bool:
        """Ask for one server less of `ready`, if there is one that may go."""
        asked = self.plan()
        for kind in Counts._fields:
            surplus = {
                one: getattr(asked[one], kind) - getattr(target[one], kind) for one in asked
            }
            for data_centre in sorted(asked, key=lambda one: self._use(one, surplus[one], state)):
                counts = ready[data_centre]
                left = counts._replace(**{kind: max(0, getattr(counts, kind) - 1)})
                if surplus[data_centre] <= 0 or shortfall({**ready, data_centre: left}, needs):
                    continue
                ready[data_centre] = left
                fewer = getattr(asked[data_centre], kind) - 1
                self._want(data_centre, asked[data_centre]._replace(**{kind: fewer}), now_s)
                return True
        return False

    def _use(self, data_centre: str, surplus: int, state: PoolState) -> tuple[float, int, str]:
        """Order data centres by requests for each server, then the largest surplus first."""
        servers = max(1, state.listed.get(data_centre, NONE).total)
        return state.in_flight.get(data_centre, 0) / servers, -surplus, data_centre


def by_subject(counts_by_data_centre: Mapping[str, Counts]) -> dict[Subject, int]:
    """Return counts of servers by subject."""
    return {
        Subject(data_centre, spot): counts.spot if spot else counts.ordinary
        for data_centre, counts in counts_by_data_centre.items()
        for spot in (False, True)
    }


def count_servers(servers: Iterable[tuple[str, bool]]) -> Plan:
    """Count servers, given as data centre and whether they are spot servers."""
    plan: Plan = {}
    for data_centre, spot in servers:
        counts = plan.get(data_centre, NONE)
        plan[data_centre] = Counts(counts.ordinary + (not spot), counts.spot + spot)
    return plan


__all__ = ["READY_S", "CapacityPlanner", "Decision", "PoolState", "by_subject", "count_servers"]
