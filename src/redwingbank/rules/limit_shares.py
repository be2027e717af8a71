"""Division of organisations' limits among the hosts that use them."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.messages import OrganisationUse
from redwingbank.rules.shares import Claim, max_min_shares

if TYPE_CHECKING:
    from collections.abc import Mapping

    from redwingbank.rules.table import OrganisationRow, Table

TOKEN_UNITS_PER_HOST = 100
GROWTH_ON_REFUSAL = 2


class HostUse(NamedTuple):
    """A host's use by limited organisations as last reported."""

    number: int
    received_s: float
    uses_by_organisation: dict[str, OrganisationUse]


class LimitShares:
    """Each organisation's limits, divided among hosts.

    Each host gets what it uses as far as that is fair; the rest is spread over the hosts that
    recently refused requests, then over all. The shares of a limit never sum to more than the
    limit. A host that uses more than its new share starts nothing until it is below, and the
    other hosts get that much less until then. A host without a report for a TTL has no share.
    """

    def __init__(self, ttl_s: float) -> None:
        self._ttl_s = ttl_s
        self._organisations_by_name: dict[str, OrganisationRow] = {}
        self._use_by_host: dict[str, HostUse] = {}

    def apply_table(self, table: Table) -> None:
        """Apply the limits of a new table."""
        self._organisations_by_name = table.organisations_by_name

    def observe(
        self, host: str, number: int, uses: tuple[OrganisationUse, ...], now_s: float
    ) -> None:
        """Record a host's use unless a newer report is known."""
        host_use = self._use_by_host.get(host)
        if host_use is None or number > host_use.number:
            by_organisation = {use.organisation: use for use in uses}
            self._use_by_host[host] = HostUse(number, now_s, by_organisation)

    def remove_host(self, host: str) -> None:
        """Remove a dead host."""
        self._use_by_host.pop(host, None)

    def shares(self, now_s: float) -> dict[str, tuple[OrganisationUse, ...]]:
        """Divide each limit in use; return each host's shares."""
        use_by_host = {
            host: host_use
            for host, host_use in self._use_by_host.items()
            if now_s - host_use.received_s <= self._ttl_s
        }
        names = {
            name for host_use in use_by_host.values() for name in host_use.uses_by_organisation
        }
        shares: dict[str, list[OrganisationUse]] = {host: [] for host in use_by_host}
        for name in sorted(names & set(self._organisations_by_name)):
            uses = {
                host: use
                for host, host_use in use_by_host.items()
                if (use := host_use.uses_by_organisation.get(name))
            }
            for host, share in self._divide(name, uses).items():
                shares[host].append(share)
        return {host: tuple(items) for host, items in shares.items()}

    def _divide(
        self, name: str, uses: Mapping[str, OrganisationUse]
    ) -> dict[str, OrganisationUse]:
        row = self._organisations_by_name[name]
        running = divide_limit(
            row.concurrency,
            {host: use.running for host, use in uses.items()},
            {host: use.running + use.waiting for host, use in uses.items()},
        )
        unit = max(1, row.tokens_per_minute // (TOKEN_UNITS_PER_HOST * len(uses)))
        used_units = {host: -(-use.tokens // unit) for host, use in uses.items()}
        wanted_units = {
            host: used_units[host] * (GROWTH_ON_REFUSAL if use.waiting else 1)
            + (1 if use.waiting else 0)
            for host, use in uses.items()
        }
        tokens = divide_limit(row.tokens_per_minute // unit, used_units, wanted_units)
        return {
            host: OrganisationUse(name, running[host], 0, tokens[host] * unit) for host in uses
        }


def divide_limit(limit: int, used: Mapping[str, int], wanted: Mapping[str, int]) -> dict[str, int]:
    """Divide a limit fairly by `wanted`, and what remains evenly.

    Use above a host's share is deducted from the hosts with the most unused share.
    """
    shares = max_min_shares([Claim(host, wanted[host], 1.0, -used[host]) for host in used], limit)
    unassigned = limit - sum(shares.values())
    for index, host in enumerate(sorted(shares)):
        shares[host] += unassigned // len(shares) + (1 if index < unassigned % len(shares) else 0)
    excess = sum(max(0, used[host] - shares[host]) for host in shares)
    for _ in range(excess):
        host = max(shares, key=lambda name: (shares[name] - used[name], name))
        if shares[host] <= used[host]:
            break
        shares[host] -= 1
    return shares


__all__ = ["LimitShares", "divide_limit"]
