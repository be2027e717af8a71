"""Counts the hosts that run, from the store's list of hosts and from their messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

from redwingbank.front.allowance import MIN_HOSTS
from redwingbank.routing.server_limit import Fleet

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# A host that has been silent for longer may have lost the others, and goes on by itself.
SHARING_TIMEOUT_S = 0.9
# A host that is still silent after this has ended, or takes no requests.
FORGET_HOST_S = 30.0
# Time in which a host that the store lists answers, if it runs.
LISTED_S = 5.0
# Time in which the other hosts answer one that has just started, and that within which it is told
# of them.
INTRODUCTION_S = 0.05
MAX_INTRODUCTION_S = 1.0
# Time within which one of the listed hosts tells which table is in force there, if any runs.
TOLD_TABLE_S = 0.3


class HostListing:
    """When the store first listed each host; this host started at `started_s`.

    A host that does not hear another one can't tell whether it has ended or is only cut off. It
    counts it for some time, so that the parts of a fleet do not each use the whole of a limit.
    """

    def __init__(self, started_s: float) -> None:
        self._started_s = started_s
        self._first_s = float("inf")
        self._first_s_by_host: dict[str, float] = {}
        self._told = False

    @property
    def listed(self) -> bool:
        """Whether the store has listed the hosts since this one started."""
        return self._first_s < float("inf")

    def record(self, hosts: Iterable[str], now_s: float) -> None:
        """Record the hosts that the store lists."""
        self._first_s = min(self._first_s, now_s)
        for host in hosts:
            self._first_s_by_host.setdefault(host, now_s)

    def record_told(self) -> None:
        """Record that another host told which table is in force there."""
        self._told = True

    def count_hosts(self, heard_s_by_host: Mapping[str, float], now_s: float) -> Fleet:
        """Count the hosts, including this one, by when the others were last heard."""
        expected = {host for host, at_s in heard_s_by_host.items() if now_s - at_s < FORGET_HOST_S}
        heard = [host for host in expected if now_s - heard_s_by_host[host] < SHARING_TIMEOUT_S]
        expected |= {
            host
            for host, listed_s in self._first_s_by_host.items()
            if now_s - listed_s < LISTED_S and host in heard_s_by_host
        }
        count = 1 + len(expected)
        unlisted = now_s < self._first_s
        return Fleet(1 + len(heard), max(count, MIN_HOSTS) if unlisted else count)

    def is_new(self, host: str, now_s: float) -> bool:
        """Whether a host was listed so lately that it may not have answered."""
        return now_s - self._first_s_by_host.get(host, float("-inf")) < LISTED_S

    def introduced(self, now_s: float) -> bool:
        """Whether the other hosts have had time to tell this one what they know."""
        if now_s - self._started_s >= MAX_INTRODUCTION_S:
            return True
        introduced = self._told or len(self._first_s_by_host) <= 1
        return now_s - self._first_s >= (INTRODUCTION_S if introduced else TOLD_TABLE_S)


__all__ = ["HostListing"]
