"""Division of organisations' limits among the hosts that use them."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.messages import OrganisationUse
from redwingbank.rules.shares import Want, max_min

if TYPE_CHECKING:
    from collections.abc import Mapping

    from redwingbank.rules.table import OrganisationRow, Table

TOKEN_UNITS = 100
GROWTH = 2


class Heard(NamedTuple):
    """A host's use of limited organisations as last told."""

    number: int
    at_s: float
    uses_by_organisation: dict[str, OrganisationUse]


class LimitShares:
    """Shares of each organisation's limits, by host.

    Each host gets what it uses as far as that is fair, and the rest is spread over the hosts
    that refused requests of late, then over all. The shares of a limit never sum to more than
    the limit; a host that uses more than its new share starts nothing until it is below, and
    until then the others get that much less. A host not heard for a TTL has no share.
    """

    def __init__(self, ttl_s: float) -> None:
        self._ttl_s = ttl_s
        self._organisations_by_name: dict[str, OrganisationRow] = {}
        self._heard_by_host: dict[str, Heard] = {}

    def apply_table(self, table: Table) -> None:
        """Bring the limits of a new table into force."""
        self._organisations_by_name = table.organisations_by_name

    def observe(
        self, host: str, number: int, uses: tuple[OrganisationUse, ...], now_s: float
    ) -> None:
        """Take a host's use; older ones than already seen are ignored."""
        heard = self._heard_by_host.get(host)
        if heard is None or number > heard.number:
            by_organisation = {use.organisation: use for use in uses}
            self._heard_by_host[host] = Heard(number, now_s, by_organisation)

    def remove_host(self, host: str) -> None:
        """Drop a host that is dead."""
        self._heard_by_host.pop(host, None)

    def shares(self, now_s: float) -> dict[str, tuple[OrganisationUse, ...]]:
        """Divide each limit in use; give each host its shares."""
        heard_by_host = {
            host: heard
            for host, heard in self._heard_by_host.items()
            if now_s - heard.at_s <= self._ttl_s
        }
        names = {name for heard in heard_by_host.values() for name in heard.uses_by_organisation}
        shares: dict[str, list[OrganisationUse]] = {host: [] for host in heard_by_host}
        for name in sorted(names & set(self._organisations_by_name)):
            uses = {
                host: use
                for host, heard in heard_by_host.items()
                if (use := heard.uses_by_organisation.get(name))
            }
            for host, share in self._divide(name, uses).items():
                shares[host].append(share)
        return {host: tuple(items) for host, items in shares.items()}

    def _divide(
        self, name: str, uses: Mapping[str, OrganisationUse]
    ) -> dict[str, OrganisationUse]:
        row = self._organisations_by_name[name]
        running = divide(
            row.concurrency,
            {host: use.running for host, use in uses.items()},
            {host: use.running + use.waiting for host, use in uses.items()},
        )
        unit = max(1, row.tokens_per_minute // (TOKEN_UNITS * len(uses)))
        spent = {host: -(-use.tokens // unit) for host, use in uses.items()}
        wanted = {
            host: spent[host] * (GROWTH if use.waiting else 1) + (1 if use.waiting else 0)
            for host, use in uses.items()
        }
        tokens = divide(row.tokens_per_minute // unit, spent, wanted)
        return {
            host: OrganisationUse(name, running[host], 0, tokens[host] * unit) for host in uses
        }


def divide(limit: int, used: Mapping[str, int], wanted: Mapping[str, int]) -> dict[str, int]:
    """Divide a limit fairly by want, what is over evenly, less what others use beyond theirs."""
    share = max_min([Want(host, wanted[host], 1.0, -used[host]) for host in used], limit)
    rest = limit - sum(share.values())
    for index, host in enumerate(sorted(share)):
        share[host] += rest // len(share) + (1 if index < rest % len(share) else 0)
    excess = sum(max(0, used[host] - share[host]) for host in share)
    for _ in range(excess):
        host = max(share, key=lambda name: (share[name] - used[name], name))
        if share[host] <= used[host]:
            break
        share[host] -= 1
    return share


__all__ = ["LimitShares", "divide"]
