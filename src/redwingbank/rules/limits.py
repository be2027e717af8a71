"""Limits of organisations across all hosts, and of classes on one host."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.codes import Code
from redwingbank.messages import OrganisationUse

if TYPE_CHECKING:
    from collections.abc import Iterable

    from redwingbank.model import Request
    from redwingbank.rules.table import OrganisationRow, Table

WINDOW_BUCKETS = 12
BUCKET_S = 5.0
WINDOW_S = WINDOW_BUCKETS * BUCKET_S
REFUSAL_WINDOW_S = 2.0


class TokenWindow:
    """Sliding window of the tokens served in the last minute, in 5 s buckets."""

    def __init__(self) -> None:
        self._buckets = [0] * WINDOW_BUCKETS
        self._index = 0

    def add(self, tokens: int, now_s: float) -> None:
        """Add tokens served now."""
        self._advance(now_s)
        self._buckets[self._index % WINDOW_BUCKETS] += tokens

    def total(self, now_s: float) -> int:
        """Return the tokens served in the window that ends now."""
        self._advance(now_s)
        return sum(self._buckets)

    def seconds_until_freed(self, excess: int, now_s: float) -> float:
        """Return the seconds until more than `excess` tokens have left the window."""
        self._advance(now_s)
        for age in range(WINDOW_BUCKETS):
            excess -= self._buckets[(self._index + 1 + age) % WINDOW_BUCKETS]
            if excess < 0:
                return (self._index + 1 + age + 1) * BUCKET_S - now_s
        return WINDOW_S

    def _advance(self, now_s: float) -> None:
        index = int(now_s // BUCKET_S)
        for steps_back in range(min(WINDOW_BUCKETS, max(0, index - self._index))):
            self._buckets[(index - steps_back) % WINDOW_BUCKETS] = 0
        self._index = max(self._index, index)


class Usage:
    """One organisation's requests and tokens on this host."""

    def __init__(self) -> None:
        self.admitted = 0
        self.running = 0
        self._refusals = 0
        self._last_refused_s = float("-inf")
        self.token_window = TokenWindow()

    def record_refusal(self, now_s: float) -> None:
        """Record a request refused because it exceeded the share."""
        if now_s - self._last_refused_s > REFUSAL_WINDOW_S:
            self._refusals = 0
        self._refusals += 1
        self._last_refused_s = now_s

    def recent_refusals(self, now_s: float) -> int:
        """Return the number of recently refused requests."""
        return self._refusals if now_s - self._last_refused_s <= REFUSAL_WINDOW_S else 0

    def idle(self, now_s: float) -> bool:
        """Return whether no state needs to be kept."""
        return not (self.admitted or self.recent_refusals(now_s) or self.token_window.total(now_s))


class Share(NamedTuple):
    """The part of an organisation's limits that this host may use until `expires_s`."""

    concurrency: int
    tokens: int
    expires_s: float


class Limits:
    """Enforces the limits of organisations and classes on this host.

    An organisation's concurrency counts requests from `admit` to `finish`, waiting or running.
    Its tokens are those served in the last minute: requests are refused while they reach the
    limit, so a single request may exceed it. The host that owns the limits assigns this host a
    share of both; without one in force the host uses the limit divided by the number of hosts,
    at least 1. A class's limit counts requests on this host only.
    """

    def __init__(self, table: Table, host_count: int) -> None:
        self._table = table
        self._host_count = max(1, host_count)
        self._usage_by_organisation: dict[str, Usage] = {}
        self._admitted_by_class: dict[str, int] = {}
        self._shares_by_organisation: dict[str, Share] = {}
        self._admitted_by_id: dict[str, Request] = {}
        self._running_ids: set[str] = set()

    def apply_table(self, table: Table, host_count: int) -> None:
        """Apply a new table or a new number of hosts."""
        self._table = table
        self._host_count = max(1, host_count)

    def admit(self, request: Request, now_s: float) -> Code | None:
        """Admit and count a request, or return the code of the limit that it exceeds."""
        code = self._exceeded_limit(request, now_s)
        if code is None:
            self._admitted_by_id[request.request_id] = request
            self._usage(request.organisation).admitted += 1
            admitted = self._admitted_by_class.get(request.class_name, 0)
            self._admitted_by_class[request.class_name] = admitted + 1
        elif code != Code.CLASS_LIMIT:
            self._usage(request.organisation).record_refusal(now_s)
        return code

    def start(self, request_id: str) -> None:
        """Record that an admitted request runs."""
        request = self._admitted_by_id.get(request_id)
        if request is not None and request_id not in self._running_ids:
            self._running_ids.add(request_id)
            self._usage(request.organisation).running += 1

    def record_tokens(self, organisation: str, tokens: int, now_s: float) -> None:
        """Record tokens served to an organisation."""
        row = self._table.organisations_by_name.get(organisation)
        if row is not None and row.tokens_per_minute:
            self._usage(organisation).token_window.add(tokens, now_s)

    def finish(self, request_id: str) -> None:
        """Record the end of an admitted request, run or not; a second call has no effect."""
        request = self._admitted_by_id.pop(request_id, None)
        if request is None:
            return
        usage = self._usage(request.organisation)
        usage.admitted -= 1
        if request_id in self._running_ids:
            self._running_ids.discard(request_id)
            usage.running -= 1
        remaining = self._admitted_by_class.get(request.class_name, 0) - 1
        self._admitted_by_class[request.class_name] = max(0, remaining)

    def apply(self, shares: Iterable[OrganisationUse], ttl_s: float, now_s: float) -> None:
        """Apply shares of limits until `ttl_s` from now."""
        for share in shares:
            self._shares_by_organisation[share.organisation] = Share(
                share.running, share.tokens, now_s + ttl_s
            )

    def usage(self, now_s: float) -> tuple[OrganisationUse, ...]:
        """Return this host's use by limited organisations; `waiting` counts recent refusals."""
        self._drop_idle(now_s)
        return tuple(
            OrganisationUse(
                name, usage.admitted, usage.recent_refusals(now_s), usage.token_window.total(now_s)
            )
            for name, usage in sorted(self._usage_by_organisation.items())
            if self._is_limited(name)
        )

    def retry_after_s(self, request: Request, code: Code, now_s: float) -> float:
        """Estimate after how many seconds a refused request may be retried."""
        row = self._table.organisations_by_name.get(request.organisation)
        if code != Code.ORGANISATION_TOKENS or row is None:
            return 1.0
        window = self._usage(request.organisation).token_window
        excess = window.total(now_s) - self._share(row, now_s).tokens
        return max(1.0, window.seconds_until_freed(excess, now_s))

    def _exceeded_limit(self, request: Request, now_s: float) -> Code | None:
        class_row = self._table.classes_by_name.get(request.class_name)
        admitted = self._admitted_by_class.get(request.class_name, 0)
        if class_row is not None and 0 < class_row.limit <= admitted:
            return Code.CLASS_LIMIT
        row = self._table.organisations_by_name.get(request.organisation)
        if row is None or not self._is_limited(row.name):
            return None
        share = self._share(row, now_s)
        usage = self._usage(row.name)
        if row.concurrency and usage.admitted >= share.concurrency:
            return Code.ORGANISATION_CONCURRENCY
        if row.tokens_per_minute and usage.token_window.total(now_s) >= share.tokens:
            return Code.ORGANISATION_TOKENS
        return None

    def _share(self, row: OrganisationRow, now_s: float) -> Share:
        share = self._shares_by_organisation.get(row.name)
        if share is not None and share.expires_s > now_s:
            return share
        return Share(
            max(1, row.concurrency // self._host_count),
            max(1, row.tokens_per_minute // self._host_count),
            now_s,
        )

    def _is_limited(self, organisation: str) -> bool:
        row = self._table.organisations_by_name.get(organisation)
        return row is not None and bool(row.concurrency or row.tokens_per_minute)

    def _usage(self, organisation: str) -> Usage:
        return self._usage_by_organisation.setdefault(organisation, Usage())

    def _drop_idle(self, now_s: float) -> None:
        usages = self._usage_by_organisation
        for name in [name for name, usage in usages.items() if usage.idle(now_s)]:
            del usages[name]
        shares = self._shares_by_organisation
        for name in [name for name, share in shares.items() if share.expires_s <= now_s]:
            del shares[name]


__all__ = ["Limits", "TokenWindow"]
