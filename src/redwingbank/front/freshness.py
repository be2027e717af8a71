"""Keeps a host's table and server list fresh, from the store or from a relay that asks it."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from redwingbank.clock import now_s
from redwingbank.front.digest import Answer, News, Question
from redwingbank.front.directory import StoreContact
from redwingbank.front.list_check import ListCheck
from redwingbank.front.peers import LARGE_FLEET_HOSTS
from redwingbank.rules.rendezvous import ranked
from redwingbank.rules.store_order import Position, Standing, find_standing

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank.decisions import DecisionLog
    from redwingbank.front.directory import TableState
    from redwingbank.front.peers import Peers
    from redwingbank.front.store import Watcher

# A relay asks the store this often, and the other hosts ask a relay as often.
RELAY_WATCH_S = 0.5
ASK_INTERVAL_S = 0.5
# A relay confirms its table every 0.5 s as of up to 0.5 s earlier, and its watch batches changes
# for 0.6 s. A relay with an older table has lost the store and is suspended, as is one that does
# not answer.
MAX_RELAY_AGE_S = 1.8
RELAY_ANSWER_TIMEOUT_S = 1.0
# A host whose table is older asks the store itself, well before it stops accepting keys at 4 s.
STALE_TABLE_S = 2.5
# Time until a suspended relay is asked again, longer than a watch takes to recover.
RELAY_SUSPENSION_S = 3.0
# A host that has just become a relay has confirmed its table by the third question.
MIN_QUESTIONS_BEFORE_SUSPENSION = 3
# Interval of the questions that both hosts log; clocks drift by microseconds in between.
TRACE_INTERVAL_S = 10.0
# Hosts that are not relays use their watches only to learn of changes.
LONG_WATCH_S = 25.0
# A host that starts asks so many others; in a large fleet all would cost more than they tell.
MAX_FIRST_HOSTS = 8
# about 60 questions per second to each relay
HOSTS_PER_RELAY = 32
RELAY_KEY = "table relay"
# entries per datagram, at about 100 bytes each
MAX_NEWS_ENTRIES = 10
# Time in which a host's own watch, which batches changes for 0.6 s, learns what a relay knows.
OWN_WATCH_DELAY_S = 0.8
# Time in which a relay's news arrive at a host that depends on them; datagrams may be reordered.
RELAY_NEWS_DELAY_S = 0.1


class Freshness:
    """Decides whether this host asks the store itself or relies on relays.

    The relays are the first of all known hosts by rendezvous hashing, so hosts agree on them
    without messages; a relay with an old table is suspended. A relay's answer confirms the table
    as of the time of the question less the age in the answer: the answer was sent after the
    question, whatever its delay. In a large fleet relays also send the changes of servers, since
    a watch at each host would cost a call to the store per change and host; `on_server_news`
    receives these changes.
    """

    def __init__(
        self,
        host: str,
        tables: TableState,
        peers: Peers,
        log: DecisionLog,
        large_fleet_hosts: int = LARGE_FLEET_HOSTS,
    ) -> None:
        self.on_server_news: Callable[[News], None] | None = None
        self.store_contact = StoreContact()
        self.list_check = ListCheck(self._ask_for_servers)
        self._host = host
        self._tables = tables
        self._peers = peers
        self._log = log
        self._large_fleet_hosts = large_fleet_hosts
        self._table: Watcher
        self._servers: Watcher
        self._servers_changed = Position()
        self._era_has_risen = False
        self._era_told = 0
        self._bad_era_logged = False
        self._servers_confirmed_s = float("-inf")
        self._traced_s = float("-inf")
        self._asks_store = True
        self._is_relay = True
        self._news_from_relay = False
        self._questions_sent = 0
        self._first_hosts_asked = 0
        self._questions_by_relay: Counter[str] = Counter()
        self._unanswered_since_s_by_relay: dict[str, float] = {}
        self._suspended_until_s_by_host: dict[str, float] = {}
        self._behind_since_s_by_watcher: dict[Watcher, float] = {}
        self._restarted_s_by_watcher: dict[Watcher, float] = {}
        peers.answer_question = self.answer
        peers.on_answer = self.handle_answer
        peers.on_host_started.append(self._ask_first_hosts)
        peers.on_news = self.handle_news

    def set_watchers(self, table: Watcher, servers: Watcher) -> None:
        """Set the watchers of the table and the servers, which may be interrupted."""
        self._table, self._servers = table, servers

    def table_wait_s(self) -> float:
        """Return how long a watch of the table may wait for changes."""
        return RELAY_WATCH_S if self._asks_store else LONG_WATCH_S

    def server_wait_s(self) -> float | None:
        """Return how long a watch of servers may wait, or None if relays send the changes."""
        return None if self._news_from_relay and not self._asks_store else self.table_wait_s()

    def servers_age_s(self, now_s: float) -> float:
        """Time since the list of backend servers was confirmed."""
        return now_s - self._servers_confirmed_s

    def answer(self, question: Question, asker: str) -> Answer:
        """Answer another host's question with the age of the table and of the server list."""
        self._record_told(question.table_revision)
        table = self._tables.table
        if question.traced:
            self._log.essential("question-heard", asker=asker, asked_s=question.asked_s)
        return Answer(
            question.asked_s,
            self._tables.age_s(now_s()),
            table.revision if table else 0,
            self._servers_changed.revision,
            self._servers.revision,
            self.servers_age_s(now_s()),
            self._servers.era,
        )

    def handle_answer(self, answer: Answer, relay: str) -> None:
        """Handle a relay's answer; newer data there means that a watch of this host is behind."""
        now, table = now_s(), self._tables.table
        self._record_told(answer.table_revision)
        if answer.asked_s == self._traced_s:
            self._log.essential(
                "answer-heard", asker=self._host, asked_s=answer.asked_s, relay=relay
            )
        self._unanswered_since_s_by_relay.pop(relay, None)
        if not self._is_of_era(answer.era, relay):
            if not answer.era:
                # of an earlier release: its revisions can't be put in order
                self._suspend_relay(relay, now, "no era")
            return
        self.store_contact.record(answer.asked_s - answer.servers_age_s, now)
        if (
            answer.age_s > MAX_RELAY_AGE_S
            and self._questions_by_relay[relay] >= MIN_QUESTIONS_BEFORE_SUSPENSION
        ):
            self._suspend_relay(relay, now, "old table")
        if table is not None and answer.table_revision <= table.revision:
            self._tables.confirm(None, answer.asked_s - answer.age_s)
            self._behind_since_s_by_watcher.pop(self._table, None)
        else:
            self._note_behind(self._table, OWN_WATCH_DELAY_S, answer)
        if self._servers_up_to_date(answer):
            self._behind_since_s_by_watcher.pop(self._servers, None)
        else:
            self._note_behind(
                self._servers,
                RELAY_NEWS_DELAY_S if self._news_from_relay else OWN_WATCH_DELAY_S,
                answer,
            )

    def _ask_first_hosts(self, host: str) -> None:
        """Ask a host that was just heard, one of the first, which table is in force there."""
        if self._first_hosts_asked < MAX_FIRST_HOSTS:
            self._first_hosts_asked += 1
            self._peers.ask(host, self._question(now_s()))

    def _question(self, now: float, *, traced: bool = False) -> Question:
        table = self._tables.table
        return Question(now, traced, table.revision if table else 0)

    def _record_told(self, table_revision: int) -> None:
        now = now_s()
        if table_revision:
            self._peers.listing.record_told()
        was_outdated = self._tables.is_outdated(now)
        self._tables.record_told(table_revision, now)
        if self._tables.is_outdated(now) and not was_outdated:
            table = self._tables.table
            self._log.essential(
                "table-outdated",
                revision=table.revision if table else 0,
                told=table_revision,
            )

    def confirm_servers(self, asked_s: float) -> None:
        """Record that the list of servers, as it is known now, was current at `asked_s`."""
        self.store_contact.record(asked_s, now_s())
        self._servers_confirmed_s = max(self._servers_confirmed_s, asked_s)
        self.list_check.confirmed(asked_s)

    def record_server_changes(self, news: News, changed: int) -> None:
        """Record changes that this host got from the store; a relay broadcasts them.

        The last of them happened at or before the store revision `changed`.
        """
        self._servers_changed = max(self._servers_changed, Position(news.era, changed))
        fits_datagram = len(news.written) + len(news.removed) <= MAX_NEWS_ENTRIES
        if self._news_from_relay and self._is_relay and news.since and fits_datagram:
            self._peers.broadcast(news)

    def handle_news(self, news: News) -> None:
        """Apply a relay's server changes; a gap before them is detected by the next answer."""
        if not self._news_from_relay or self._asks_store or not self._is_of_era(news.era, "news"):
            return
        if news.until <= self._servers.revision:
            return
        if self._servers.advance(news.since, news.until) and self.on_server_news:
            until = Position(self._servers.era, news.until)
            self._servers_changed = max(self._servers_changed, until)
            self.on_server_news(news)

    def handle_new_era(self, before: int, era: int) -> None:
        """Record that the store came back from a copy, as one of its answers tells."""
        table = self._tables.table
        self._era_has_risen = self._era_has_risen or before > 0
        self._log.essential(
            "store-era",
            before=before,
            era=era,
            table_revision=table.revision if table else 0,
            table_age_s=_log_age_s(self._tables.age_s(now_s())),
            servers_known=self._servers.revision,
            servers_age_s=_log_age_s(self.servers_age_s(now_s())),
        )

    def handle_bad_era(self, reason: str) -> None:
        """Log the first era that can't be used; it changes nothing."""
        if not self._bad_era_logged:
            self._bad_era_logged = True
            self._log.essential("store-era-unreadable", reason=reason, era=self._servers.era)

    def _is_of_era(self, era: int, source: str) -> bool:
        """Return whether a message is of this host's era.

        A later era is confirmed by the store before it counts: it is asked once, since the message
        may be damaged.
        """
        own = self._servers.era
        if not self._servers.revision:
            return True
        standing = find_standing(era, own, has_risen=self._era_has_risen)
        if standing is Standing.LATER and era != self._era_told:
            self._era_told = era
            self._log.essential("store-era-told", source=source, era=own, told=era)
            self._restart(self._servers)
        return standing is Standing.SAME

    def update_role(self) -> None:
        """Decide whether this host asks the store, and ask a relay if it is not a relay itself."""
        now = now_s()
        hosts = [self._host, *self._peers.alive(now)]
        for relay, since_s in list(self._unanswered_since_s_by_relay.items()):
            if now - since_s > RELAY_ANSWER_TIMEOUT_S:
                self._suspend_relay(relay, now, "no answer")
        candidates = [
            host for host in hosts if self._suspended_until_s_by_host.get(host, now) <= now
        ]
        relays = ranked(RELAY_KEY, candidates)[: 1 + (len(hosts) - 1) // HOSTS_PER_RELAY]
        self._is_relay = self._host in relays
        self._news_from_relay = len(hosts) >= self._large_fleet_hosts
        asks_store = self._is_relay or self._tables.age_s(now) > STALE_TABLE_S
        if asks_store and not self._asks_store:
            self._asks_store = True
            self._restart(self._table)
            self._restart(self._servers)
        self._asks_store = asks_store
        others = [relay for relay in relays if relay != self._host]
        if others and not self._is_relay:
            self._questions_sent += 1
            self._ask(others[self._questions_sent % len(others)], now)

    def _ask(self, relay: str, now: float) -> None:
        self._questions_by_relay[relay] += 1
        self._unanswered_since_s_by_relay.setdefault(relay, now)
        traced = now - self._traced_s >= TRACE_INTERVAL_S
        if traced:
            self._traced_s = now
            self._log.essential("question-sent", asker=self._host, asked_s=now, relay=relay)
        self._peers.ask(relay, self._question(now, traced=traced))

    def _suspend_relay(self, relay: str, now: float, reason: str) -> None:
        self._unanswered_since_s_by_relay.pop(relay, None)
        self._questions_by_relay[relay] = 0
        self._suspended_until_s_by_host[relay] = now + RELAY_SUSPENSION_S
        age_s = round(self._tables.age_s(now), 2)
        self._log.essential("relay-doubted", relay=relay, reason=reason, table_age_s=age_s)

    def _servers_up_to_date(self, answer: Answer) -> bool:
        """Return whether no server change is missed; advance the watcher if relays send them."""
        if self._servers.revision < answer.servers_changed:
            return False
        if self._news_from_relay and not self._asks_store:
            self._servers.advance(self._servers.revision, answer.servers_watched)
            self.confirm_servers(answer.asked_s - answer.servers_age_s)
        return True

    def _note_behind(self, watcher: Watcher, grace_s: float, answer: Answer) -> None:
        now = now_s()
        since_s = self._behind_since_s_by_watcher.setdefault(watcher, now)
        restarted_s = self._restarted_s_by_watcher.get(watcher, float("-inf"))
        if now - since_s >= grace_s and now - restarted_s >= ASK_INTERVAL_S:
            del self._behind_since_s_by_watcher[watcher]
            self._log.essential(
                "watch-deaf",
                table_revision=answer.table_revision,
                servers_changed=answer.servers_changed,
                servers_known=self._servers.revision,
            )
            self._restart(watcher)

    def _ask_for_servers(self) -> None:
        self._restart(self._servers)

    def _restart(self, watcher: Watcher) -> None:
        self._restarted_s_by_watcher[watcher] = now_s()
        watcher.interrupt()


def _log_age_s(age_s: float) -> float | None:
    return round(age_s, 2) if age_s != float("inf") else None


__all__ = ["ASK_INTERVAL_S", "Freshness"]
