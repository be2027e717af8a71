"""Whether a request may be sent at all: its route, its key and the age of what is believed."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.codes import Code

if TYPE_CHECKING:
    from redwingbank.front.directory import TableBelief
    from redwingbank.front.values import CallFacts, Organisation, Route, RouteTable

SPLIT_BYTES = 8


class Admitted(NamedTuple):
    """A request that may be sent: under which class, for whom, and to which pool.

    `tier` orders by the organisation's tier first, where it has one, and by the class's within
    it; `revision` is the table's that decided.
    """

    facts: CallFacts
    route: Route
    organisation: Organisation | None
    pool: str
    tier: int
    revision: int


class Admission:
    """Judges requests by the table in force."""

    def __init__(self, tables: TableBelief) -> None:
        self._tables = tables

    def admit(self, facts: CallFacts, target: bytes, now_s: float) -> Admitted | Code:
        """Admit a request, or name the code of its refusal."""
        table = self._tables.table
        if table is None:
            return Code.NOT_READY
        path = target.partition(b"?")[0].decode("latin-1")
        route = table.find(facts.host.partition(":")[0].lower(), path)
        if route is None:
            return self._denied(Code.UNKNOWN_PATH, now_s)
        organisation = None
        if table.organisations_by_key is not None and not route.public:
            if not self._tables.keys_hold(now_s):
                return Code.TABLE_UNCONFIRMED
            organisation = table.organisations_by_key.get(facts.key)
            if organisation is None:
                return self._denied(Code.WRONG_KEY, now_s)
        return self._admitted(facts, route, organisation, table)

    def _admitted(
        self, facts: CallFacts, route: Route, organisation: Organisation | None, table: RouteTable
    ) -> Admitted:
        own_tier = (organisation.tier if organisation else None) or 0
        return Admitted(
            facts=facts,
            route=route,
            organisation=organisation,
            pool=pool_of(route, facts.request_id),
            tier=own_tier * table.class_tiers + route.tier,
            revision=table.revision,
        )

    def _denied(self, code: Code, now_s: float) -> Code:
        """A denial needs a table that is in force; a newer one could allow the request."""
        return code if self._tables.denials_hold(now_s) else Code.TABLE_UNCONFIRMED


def pool_of(route: Route, request_id: str) -> str:
    """Choose a pool by the route's weights; the same for each sending of a request."""
    if len(route.shares) == 1:
        return route.shares[0].pool
    digest = hashlib.blake2b(request_id.encode(), digest_size=SPLIT_BYTES).digest()
    total = sum(share.weight for share in route.shares)
    point = int.from_bytes(digest, "big") / 256**SPLIT_BYTES * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.pool
    return route.shares[-1].pool


__all__ = ["Admission", "Admitted", "pool_of"]
