"""Spreads ordered servers over data centres and kinds at the least price.

Answers the loss of all spot servers of a data centre, or of two at nearly the same moment: a plan
keeps a number of servers that such a loss leaves. Spot servers are spread evenly, since a surplus
of one data centre would be lost with it, and ordinary ones stand where they are cheapest.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

    from redwingbank.front.values import Scaling

# Added to the price of each server: with more servers prompts are cached in more places and each
# choice of a server takes longer. About a fourth of the price of a spot server.
SERVER_OVERHEAD = 0.05


class Counts(NamedTuple):
    """Servers of a pool in a data centre by kind."""

    ordinary: int = 0
    spot: int = 0

    @property
    def total(self) -> int:
        """Servers of both kinds."""
        return self.ordinary + self.spot


Plan = dict[str, Counts]
NONE = Counts()


class Needs(NamedTuple):
    """Servers that a pool needs over all data centres.

    `full` are needed for a burst, `survivors` must be left when the spot servers of the `losses`
    data centres with most of them go at once, and `ordinary` are kept in any case. The load of
    this moment needs `present`.
    """

    full: int
    survivors: int
    ordinary: int = 0
    losses: int = 2
    present: int = 0


def count_survivors(plan: Mapping[str, Counts], losses: int) -> int:
    """Count the servers that are left when the most spot servers of `losses` data centres go.

    >>> count_survivors({"a": Counts(2, 5), "b": Counts(0, 4), "c": Counts(0, 3)}, 2)
    5
    """
    spot = sorted((counts.spot for counts in plan.values()), reverse=True)
    return sum(counts.total for counts in plan.values()) - sum(spot[:losses])


def shortfall(plan: Mapping[str, Counts], needs: Needs) -> int:
    """Count the servers that a plan lacks, 0 if it has what is needed."""
    total = sum(counts.total for counts in plan.values())
    ordinary = sum(counts.ordinary for counts in plan.values())
    return max(
        0,
        needs.full - total,
        needs.survivors - count_survivors(plan, needs.losses),
        needs.ordinary - ordinary,
    )


def price(plan: Mapping[str, Counts], scaling: Scaling) -> float:
    """Return the price of a plan's servers a second; an ordinary server costs about 1.0."""
    return sum(
        scaling.prices_by_data_centre.get(data_centre, 1.0)
        * (counts.ordinary + scaling.spot_price * counts.spot)
        for data_centre, counts in plan.items()
    )


def make_plan(
    needs: Needs, floor: Mapping[str, Counts], ceiling: Mapping[str, Counts], scaling: Scaling
) -> Plan:
    """Return the cheapest plan between a floor and a ceiling, or the one that lacks least.

    `scaling.most` and `scaling.least` go before the floor and the ceiling.
    """
    highest = max((counts.spot for counts in ceiling.values()), default=0)
    lowest = min((counts.spot for counts in floor.values()), default=0)
    plans = [
        _fill(level, needs, floor, ceiling, scaling)
        for level in range(lowest, max(lowest, highest) + 1)
    ]
    return min(plans, key=lambda plan: _order(plan, needs, scaling))


def _order(plan: Plan, needs: Needs, scaling: Scaling) -> tuple[int, float]:
    count = sum(counts.total for counts in plan.values())
    return shortfall(plan, needs), price(plan, scaling) + SERVER_OVERHEAD * count


def _fill(
    level: int,
    needs: Needs,
    floor: Mapping[str, Counts],
    ceiling: Mapping[str, Counts],
    scaling: Scaling,
) -> Plan:
    """Give each data centre up to `level` spot servers, and add the ordinary ones it takes."""
    plan: Plan = {}
    for data_centre, least in floor.items():
        most = ceiling[data_centre]
        ordinary = min(least.ordinary, scaling.most)
        spot = min(max(least.spot, min(level, most.spot)), scaling.most - ordinary)
        lacking = max(0, scaling.least - ordinary - spot)
        more_spot = min(lacking, max(0, most.spot - spot))
        plan[data_centre] = Counts(ordinary + lacking - more_spot, spot + more_spot)
    for data_centre in sorted(plan, key=lambda one: (_price(one, scaling), one)):
        counts = plan[data_centre]
        lacking = shortfall(plan, needs)
        room = min(ceiling[data_centre].ordinary - counts.ordinary, scaling.most - counts.total)
        if lacking > 0 and room > 0:
            plan[data_centre] = counts._replace(ordinary=counts.ordinary + min(room, lacking))
    return plan


def _price(data_centre: str, scaling: Scaling) -> float:
    return scaling.prices_by_data_centre.get(data_centre, 1.0)


__all__ = ["NONE", "Counts", "Needs", "Plan", "count_survivors", "make_plan", "price", "shortfall"]
