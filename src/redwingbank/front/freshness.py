"""How a host knows the table and the servers: from the store, or from a host that asked it."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from redwingbank.front.clock import now_s
from redwingbank.front.digest import Answer, News, Question
from redwingbank.front.peers import LARGE_FLEET_HOSTS
from redwingbank.rules.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank.decisions import DecisionLog
    from redwingbank.front.directory import TableBelief
    from redwingbank.front.peers import Peers
    from redwingbank.front.store import Follow

# a relay asks the store this often, and others ask a relay as often
RELAY_WATCH_S = 0.5
ASK_S = 0.5
# a relay's table is confirmed each 0.5 s, as of up to 0.5 s before; it gathers changes for 0.6 s.
# One whose word is older has lost the store: it is passed over, as one that does not answer
DOUBT_S = 1.8
UNANSWERED_S = 1.0
# a host without such word for longer asks the store, well before keys stop to hold at 4 s
STALE_S = 2.5
# a doubted relay is asked again after this, some seconds longer than a watch takes to recover
DOUBTED_S = 3.0
# a host that has just become a relay confirms its table by the third question
SETTLED_ASKS = 3
# a question this often is logged at both ends: clocks drift by microseconds meanwhile
TRACE_S = 10.0
# a watch of the other hosts waits for changes alone
LONG_WATCH_S = 25.0
# one relay serves so many hosts: some 60 questions a second
HOSTS_A_RELAY = 32
RELAY_KEY = "table relay"
# a datagram carries so many entries of some 100 bytes
MOST_NEWS = 10
# a host's own watch, which gathers changes for 0.6 s, has a relay's news within this time
NEWS_S = 0.8
# a host that is told of changes hears a relay's news at once; later news may overtake them
TOLD_NEWS_S = 0.1


class Freshness:
    """Decides whether this host asks the store itself, and takes relays' word otherwise.

    The relays are the first of all hosts heard, by rendezvous, so hosts agree on them without a
    word; one whose own word is old is passed over. A relay's answer confirms the table as of the
    moment of the question, less the age the relay gives: the answer was given after the
    question, however long it took to come. In a large fleet relays tell what became of servers
    too, since a watch at each host costs a call to the store for each change and host:
    `take_servers` takes what a relay has seen of them.
    """

    def __init__(
        self,
        host: str,
        tables: TableBelief,
        peers: Peers,
        log: DecisionLog,
        told_from_hosts: int = LARGE_FLEET_HOSTS,
    ) -> None:
        self.take_servers: Callable[[News], None] | None = None
        self._host = host
        self._tables = tables
        self._peers = peers
        self._log = log
        self._told_from_hosts = told_from_hosts
        self._table: Follow
        self._servers: Follow
        self._servers_changed = 0
        self._servers_confirmed_s = float("-inf")
        self._traced_s = float("-inf")
        self._own = True
        self._relaying = True
        self._told = False
        self._asked = 0
        self._asks_by_relay: Counter[str] = Counter()
        self._unanswered_since_s_by_relay: dict[str, float] = {}
        self._doubted_until_s_by_host: dict[str, float] = {}
        self._behind_since_s_by_follow: dict[Follow, float] = {}
        self._woken_s_by_follow: dict[Follow, float] = {}
        peers.answer_question = self.answer
        peers.take_answer = self.take
        peers.take_news = self.hear

    def steer(self, table: Follow, servers: Follow) -> None:
        """Set how long these watches wait, and when they begin anew."""
        self._table, self._servers = table, servers

    def table_wait_s(self) -> float:
        """How long a watch of the table may wait for changes."""
        return RELAY_WATCH_S if self._own else LONG_WATCH_S

    def server_wait_s(self) -> float | None:
        """How long a watch of servers may wait, None where relays tell of changes."""
        return None if self._told and not self._own else self.table_wait_s()

    def servers_age_s(self, now_s: float) -> float:
        """How long ago the list of backend servers was confirmed."""
        return now_s - self._servers_confirmed_s

    def answer(self, question: Question, asker: str) -> Answer:
        """Tell another host how fresh this one's table is, and what it knows of servers."""
        table = self._tables.table
        if question.traced:
            self._log.essential("question-heard", asker=asker, asked_s=question.asked_s)
        return Answer(
            question.asked_s,
            self._tables.age_s(now_s()),
            table.revision if table else 0,
            self._servers_changed,
            self._servers.revision,
            self.servers_age_s(now_s()),
        )

    def take(self, answer: Answer, relay: str) -> None:
        """Take a relay's word; what is newer there shows that an own watch is deaf."""
        now, table = now_s(), self._tables.table
        if answer.asked_s == self._traced_s:
            self._log.essential(
                "answer-heard", asker=self._host, asked_s=answer.asked_s, relay=relay
            )
        self._unanswered_since_s_by_relay.pop(relay, None)
        if answer.age_s > DOUBT_S and self._asks_by_relay[relay] >= SETTLED_ASKS:
            self._doubt(relay, now, "old word")
        if table is not None and answer.table_revision <= table.revision:
            self._tables.confirm(None, answer.asked_s - answer.age_s)
            self._behind_since_s_by_follow.pop(self._table, None)
        else:
            self._fall_behind(self._table, NEWS_S, answer)
        if self._knows_servers(answer):
            self._behind_since_s_by_follow.pop(self._servers, None)
        else:
            self._fall_behind(self._servers, TOLD_NEWS_S if self._told else NEWS_S, answer)

    def servers_confirmed(self, asked_s: float) -> None:
        """Note that the list of servers is as the store had it when it was asked."""
        self._servers_confirmed_s = max(self._servers_confirmed_s, asked_s)

    def servers_changed(self, news: News, changed: int) -> None:
        """Note what this host has seen itself, by which revision; a relay tells the others."""
        self._servers_changed = max(self._servers_changed, changed)
        brief = len(news.written) + len(news.removed) <= MOST_NEWS
        if self._told and self._relaying and news.since and brief:
            self._peers.spread(news)

    def hear(self, news: News) -> None:
        """Take what a relay has seen of servers; a gap before it shows by the next answer."""
        if not self._told or self._own or news.until <= self._servers.revision:
            return
        if self._servers.told(news.since, news.until) and self.take_servers:
            self._servers_changed = max(self._servers_changed, news.until)
            self.take_servers(news)

    def check(self) -> None:
        """Decide who asks the store, and ask a relay where that is another host."""
        now = now_s()
        hosts = [self._host, *self._peers.alive(now)]
        for relay, since_s in list(self._unanswered_since_s_by_relay.items()):
            if now - since_s > UNANSWERED_S:
                self._doubt(relay, now, "no word")
        sound = [host for host in hosts if self._doubted_until_s_by_host.get(host, now) <= now]
        relays = ranked(RELAY_KEY, sound)[: 1 + (len(hosts) - 1) // HOSTS_A_RELAY]
        self._relaying = self._host in relays
        self._told = len(hosts) >= self._told_from_hosts
        own = self._relaying or self._tables.age_s(now) > STALE_S
        if own and not self._own:
            self._own = True
            self._wake(self._table)
            self._wake(self._servers)
        self._own = own
        others = [relay for relay in relays if relay != self._host]
        if others and not self._relaying:
            self._asked += 1
            self._ask(others[self._asked % len(others)], now)

    def _ask(self, relay: str, now: float) -> None:
        self._asks_by_relay[relay] += 1
        self._unanswered_since_s_by_relay.setdefault(relay, now)
        traced = now - self._traced_s >= TRACE_S
        if traced:
            self._traced_s = now
            self._log.essential("question-sent", asker=self._host, asked_s=now, relay=relay)
        self._peers.ask(relay, Question(now, traced))

    def _doubt(self, relay: str, now: float, reason: str) -> None:
        self._unanswered_since_s_by_relay.pop(relay, None)
        self._asks_by_relay[relay] = 0
        self._doubted_until_s_by_host[relay] = now + DOUBTED_S
        age_s = round(self._tables.age_s(now), 2)
        self._log.essential("relay-doubted", relay=relay, reason=reason, table_age_s=age_s)

    def _knows_servers(self, answer: Answer) -> bool:
        """Tell whether no change is missed; a host that is told of them knows as much, then."""
        if self._servers.revision < answer.servers_changed:
            return False
        if self._told and not self._own:
            self._servers.told(self._servers.revision, answer.servers_watched)
            self.servers_confirmed(answer.asked_s - answer.servers_age_s)
        return True

    def _fall_behind(self, follow: Follow, grace_s: float, answer: Answer) -> None:
        now = now_s()
        since_s = self._behind_since_s_by_follow.setdefault(follow, now)
        woken_s = self._woken_s_by_follow.get(follow, float("-inf"))
        if now - since_s >= grace_s and now - woken_s >= ASK_S:
            del self._behind_since_s_by_follow[follow]
            self._log.essential(
                "watch-deaf",
                table_revision=answer.table_revision,
                servers_changed=answer.servers_changed,
                servers_known=self._servers.revision,
            )
            self._wake(follow)

    def _wake(self, follow: Follow) -> None:
        self._woken_s_by_follow[follow] = now_s()
        follow.interrupt()


__all__ = ["ASK_S", "Freshness"]
