"""What other hosts tell of the pools that they reach."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.routing.reachability import NEVER_S, Others

if TYPE_CHECKING:
    from collections.abc import Iterator

    from redwingbank.forwarding.reach_codec import ReachReport
    from redwingbank.front.peers import Peers

# Two and a half heartbeats; a host that is silent for longer gets no forwarded requests.
HOST_SILENT_S = 2.5
# A host that heard from a pool within this time reaches it.
REACHED_WITHIN_S = 3.0


class _Told(NamedTuple):
    """When a host last heard from each pool, by key, on this host's clock."""

    heard_s_by_key: dict[int, float]
    takes_forwards: bool
    proves: bool
    counts_servers: bool


class ToldReach:
    """The latest report of each host, and the last question to which a proof came."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._told_by_host: dict[str, _Told] = {}
        self._proved_s_by_key: dict[int, float] = {}

    def record(self, report: ReachReport, host: str, now_s: float) -> None:
        """Record a report that has just arrived."""
        heard = {key: now_s - age_s for key, age_s in report.age_s_by_key.items()}
        self._told_by_host[host] = _Told(
            heard, report.takes_forwards, report.proves, report.counts_servers
        )

    def record_proof(self, key: int, asked_s: float, now_s: float) -> None:
        """Record that a host asked at a time has been answered by a server since."""
        if 0 < asked_s <= now_s:
            self._proved_s_by_key[key] = max(asked_s, self._proved_s_by_key.get(key, NEVER_S))

    def live_hosts(self, now_s: float) -> Iterator[str]:
        """Yield the hosts that sent a message lately."""
        for host, peer in self._peers.peers_by_host.items():
            if now_s - peer.heard_s < HOST_SILENT_S:
                yield host

    def others(self, key: int, now_s: float) -> Others:
        """Return when the last of the live hosts heard from a pool."""
        told = [
            self._told_by_host[host]
            for host in self.live_hosts(now_s)
            if host in self._told_by_host
        ]
        heard = [(one.heard_s_by_key.get(key, NEVER_S), one.proves) for one in told]
        return Others(
            max((heard_s for heard_s, _ in heard), default=NEVER_S),
            self._proved_s_by_key.get(key, NEVER_S),
            max((heard_s for heard_s, proves in heard if not proves), default=NEVER_S),
        )

    def counts_servers(self, host: str) -> bool:
        """Whether a host reads to how many servers it may send a forwarded request."""
        told = self._told_by_host.get(host)
        return told is not None and told.counts_servers

    def helpers(self, key: int, now_s: float) -> Iterator[str]:
        """Yield the live hosts that take forwards and reach a pool."""
        for host in self.live_hosts(now_s):
            told = self._told_by_host.get(host)
            if told is None or not told.takes_forwards:
                continue
            if now_s - told.heard_s_by_key.get(key, NEVER_S) < REACHED_WITHIN_S:
                yield host


__all__ = ["ToldReach"]
