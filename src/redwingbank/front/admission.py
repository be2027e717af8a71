"""Admits or denies requests by route, key and the age of the route table."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.codes import Code
from redwingbank.front.events import is_event_id
from redwingbank.front.values import Kind
from redwingbank.model import Request
from redwingbank.routing.choice import RequestNeeds

if TYPE_CHECKING:
    from redwingbank.front.directory import TableState
    from redwingbank.front.values import CallFacts, Organisation, Route, RouteTable
    from redwingbank.platform.headers import Credentials

SPLIT_HASH_BYTES = 8


class AdmittedRequest(NamedTuple):
    """An admitted request with its class, organisation and pool.

    `tier` orders requests by the organisation's tier (0 if it has none), then by the class's.
    `revision` is that of the table by which the request was admitted.
    """

    facts: CallFacts
    route: Route
    organisation: Organisation | None
    pool: str
    tier: int
    revision: int


class Admission:
    """Checks requests against the table in force."""

    def __init__(self, tables: TableState) -> None:
        self._tables = tables

    def admit(self, facts: CallFacts, target: bytes, now_s: float) -> AdmittedRequest | Code:
        """Return the admitted request, or the code of its refusal."""
        table = self._tables.table
        if table is None:
            return Code.NOT_READY
        path = target.partition(b"?")[0].decode("latin-1")
        route = table.find(facts.host.partition(":")[0].lower(), path)
        if route is None:
            return self._deny(Code.UNKNOWN_PATH, now_s)
        organisation = None
        if table.organisations_by_key is not None and not route.public:
            if not self._tables.can_trust_keys(now_s):
                return Code.TABLE_UNCONFIRMED
            organisation = table.organisations_by_key.get(facts.key)
            if organisation is None:
                return self._deny(Code.WRONG_KEY, now_s)
        if route.kind is Kind.STREAM and not _may_go_on(facts):
            return Code.MALFORMED
        return self._admitted(facts, route, organisation, table)

    def knows(self, credentials: Credentials, target: bytes) -> bool:
        """Whether the table allows requests of this caller, or of all callers, at a target."""
        table = self._tables.table
        if table is None:
            return False
        path = target.partition(b"?")[0].decode("latin-1")
        route = table.find(credentials.host.partition(":")[0].lower(), path)
        if route is None:
            return False
        keys = table.organisations_by_key
        return route.public or keys is None or credentials.key in keys

    def _admitted(
        self, facts: CallFacts, route: Route, organisation: Organisation | None, table: RouteTable
    ) -> AdmittedRequest:
        own_tier = (organisation.tier if organisation else None) or 0
        return AdmittedRequest(
            facts=facts,
            route=route,
            organisation=organisation,
            pool=choose_pool(route, facts.request_id),
            tier=own_tier * table.class_tiers + route.tier,
            revision=table.revision,
        )

    def _deny(self, code: Code, now_s: float) -> Code:
        """Deny only by a recently confirmed table, since a newer one could allow the request."""
        return code if self._tables.can_deny(now_s) else Code.TABLE_UNCONFIRMED


def _may_go_on(facts: CallFacts) -> bool:
    """Whether a request names no event to go on after, or one by its number."""
    return not facts.resume_after or is_event_id(facts.resume_after.encode("latin-1"))


def choose_pool(route: Route, request_id: str) -> str:
    """Choose a pool by the route's weights; the same request id always gets the same pool."""
    if len(route.shares) == 1:
        return route.shares[0].pool
    digest = hashlib.blake2b(request_id.encode(), digest_size=SPLIT_HASH_BYTES).digest()
    total = sum(share.weight for share in route.shares)
    point = int.from_bytes(digest, "big") / 256**SPLIT_HASH_BYTES * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.pool
    return route.shares[-1].pool


def longest_wait_s(admitted: AdmittedRequest) -> float:
    """Return how long a request may take, by its class and its caller."""
    timeout_s = admitted.route.timeout_s
    given = admitted.facts.deadline_s
    return timeout_s if given is None else min(timeout_s, given)


def patience_ends_s(admitted: AdmittedRequest, arrived_s: float, give_up_s: float) -> float:
    """Return the time when the caller stops waiting for the first event."""
    return min(give_up_s, arrived_s + admitted.route.patience_s)


def build_needs(
    admitted: AdmittedRequest, request: Request, data_centre: str, now_s: float, *, begun: bool
) -> RequestNeeds:
    """Build what the choice of a server depends on; `begun` is true if the answer has begun."""
    arrived_s = request.arrived_s
    return RequestNeeds(
        facts=admitted.facts,
        route=admitted.route,
        tier=admitted.tier,
        target_left_s=arrived_s + admitted.route.target_s - now_s,
        patience_left_s=patience_ends_s(admitted, arrived_s, request.give_up_s) - now_s,
        data_centre=data_centre,
        answer_begun=begun,
        left_s=request.give_up_s - now_s,
    )


def build_request(admitted: AdmittedRequest, arrived_s: float, wait_s: float) -> Request:
    """Build the request that the rules decide on."""
    route, facts = admitted.route, admitted.facts
    return Request(
        request_id=facts.request_id,
        organisation=admitted.organisation.name if admitted.organisation else "",
        class_name=route.name,
        tier=admitted.tier,
        pool=admitted.pool,
        arrived_s=arrived_s,
        deadline_s=arrived_s + route.target_s,
        give_up_s=arrived_s + wait_s,
        prompt_tokens=facts.prompt_tokens,
        repeatable=route.repeatable,
        max_attempts=route.attempts,
    )


__all__ = [
    "Admission",
    "AdmittedRequest",
    "build_needs",
    "build_request",
    "choose_pool",
    "longest_wait_s",
    "patience_ends_s",
]
