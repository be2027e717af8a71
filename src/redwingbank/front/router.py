"""The parts of one host's front, put together."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from redwingbank.codes import Code
from redwingbank.decisions import DecisionLog
from redwingbank.front.admission import Admission
from redwingbank.front.allowance import Allowance
from redwingbank.front.backends import Backends
from redwingbank.front.choice import Chooser
from redwingbank.front.clock import now_s
from redwingbank.front.digest import Place
from redwingbank.front.directory import ServerBelief, TableBelief
from redwingbank.front.freshness import Freshness
from redwingbank.front.leaving import Leaving
from redwingbank.front.peers import Peers
from redwingbank.front.poison import Poison
from redwingbank.front.values import Limits, Pool
from redwingbank.metrics import Metrics

if TYPE_CHECKING:
    from random import Random

    from redwingbank.front.exchange import Exchange
    from redwingbank.front.inbound import InboundConnection
    from redwingbank.front.values import HostSettings

# a caller is asked back after about the time that a host needs to learn what it lacks
RETRY_AFTER_S = 0.3
RETRY_AFTER_S_BY_CODE = dict.fromkeys((Code.NOT_READY, Code.TABLE_UNCONFIRMED, Code.LEAVING), 0.2)
# stands for a table or a list of servers that was never confirmed
LONGEST_AGE_S = 86_400.0
LIMITS_UNTIL_KNOWN = Limits()


class Router:
    """What the requests of one host share."""

    def __init__(self, settings: HostSettings, random: Random) -> None:
        self.settings = settings
        self.random = random
        self.log = DecisionLog(settings.name, settings.data_centre)
        self.metrics = Metrics()
        self.tables = TableBelief(settings.bounds)
        self.servers = ServerBelief()
        self.backends = Backends(random)
        place = Place(settings.data_centre, settings.link_mbps)
        self.peers = Peers(settings.name, time.time_ns(), self.backends, self.log, place)
        self.poison = Poison(self.peers.spread, self.log)
        self.peers.take_crash = self.poison.heard
        self.freshness = Freshness(settings.name, self.tables, self.peers, self.log)
        self.chooser = Chooser(self.backends, random)
        self.allowance = Allowance(settings.bounds, lambda: 1 + len(self.peers.peers_by_host))
        self.admission = Admission(self.tables)
        self.leaving = Leaving(settings.bounds.grace_s)
        self.connections: set[InboundConnection] = set()
        self.exchanges: set[Exchange] = set()

    def take_settings(self, settings: HostSettings) -> None:
        """Go on with settings that were read again."""
        self.settings = settings

    def metrics_text(self) -> str:
        """Write every counter, histogram and gauge as Prometheus text."""
        gauge = self.metrics.gauge
        now = now_s()
        gauge("table_revision", self.tables.table.revision if self.tables.table else 0)
        gauge("table_age_seconds", min(self.tables.age_s(now), LONGEST_AGE_S))
        gauge("servers_age_seconds", min(self.freshness.servers_age_s(now), LONGEST_AGE_S))
        gauge("connections", len(self.connections))
        gauge("hosts_heard", len(self.peers.alive(now)))
        gauge("requests_in_flight", len(self.exchanges))
        for name, backend in self.backends.backends_by_name.items():
            gauge("server_in_flight", len(backend.load), server=name)
            gauge("server_connections_opened", backend.connections.opened, server=name)
        for pool in self.tables.table.pools_by_name if self.tables.table else ():
            gauge("repeats_left", self.allowance.left(pool, now), pool=pool)
        return self.metrics.text()

    def limits(self) -> Limits:
        """What callers may send, by the table in force."""
        table = self.tables.table
        return table.limits if table else LIMITS_UNTIL_KNOWN

    def pool(self, name: str) -> Pool:
        """What the table says of a pool; one that it doesn't name has no memory for prompts."""
        table = self.tables.table
        known = table.pools_by_name.get(name) if table else None
        return known or Pool(name, 0)

    def ready(self) -> bool:
        """Tell whether new connections are welcome."""
        if self.leaving.begun or self.tables.table is None:
            return False
        return bool(self.servers.entries_by_name) and self.tables.keys_hold(now_s())

    def retry_after_s(self, code: Code) -> float:
        """When a caller that was refused may come back."""
        return RETRY_AFTER_S_BY_CODE.get(code, RETRY_AFTER_S)

    def ended(self, exchange: Exchange) -> None:
        """Forget a request."""
        self.exchanges.discard(exchange)

    def count(self, name: str, class_name: str, **labels: str) -> None:
        """Add one to a counter of a class."""
        self.metrics.count(name, 1, service_class=class_name, **labels)

    def observe(self, name: str, seconds: float, class_name: str) -> None:
        """Add a duration to a histogram of a class."""
        self.metrics.observe(name, seconds, service_class=class_name)


__all__ = ["Router"]
