"""How a host knows that its table is in force: from the store, or from a host that asked it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from redwingbank.front.clock import now_s
from redwingbank.front.digest import Answer
from redwingbank.rules.rendezvous import ranked

if TYPE_CHECKING:
    from redwingbank.decisions import DecisionLog
    from redwingbank.front.digest import Question
    from redwingbank.front.directory import TableBelief
    from redwingbank.front.peers import Peers
    from redwingbank.front.store import Follow

# a relay asks the store this often; others ask a relay as often, so that an age stays below
# 2 s, and with it every bound on tables and keys, even where an answer is lost
RELAY_WATCH_S = 0.5
ASK_S = 0.5
STALE_S = 2.0
# a watch of the other hosts waits for changes alone
LONG_WATCH_S = 25.0
# one relay serves so many hosts: some 60 questions a second
HOSTS_A_RELAY = 32
RELAY_KEY = "table relay"
# a host's own watch, which gathers changes for 0.6 s, has a relay's news within this time
NEWS_S = 0.8


class Freshness:
    """Decides whether this host asks the store itself, and takes relays' word otherwise.

    The relays are the first of all hosts heard, by rendezvous, so hosts agree on them without a
    word. A relay's answer confirms the table as of the moment of the question, less the age the
    relay gives: the answer was given after the question, however long it took to come.
    """

    def __init__(self, host: str, tables: TableBelief, peers: Peers, log: DecisionLog) -> None:
        self.server_revision = 0
        self._host = host
        self._tables = tables
        self._peers = peers
        self._log = log
        self._follows: tuple[Follow, ...] = ()
        self._own = True
        self._asked = 0
        self._behind_since_s: float | None = None
        peers.answer_question = self.answer
        peers.take_answer = self.take

    def steer(self, *follows: Follow) -> None:
        """Set how long these watches wait."""
        self._follows = follows

    def wait_s(self) -> float:
        """How long a watch may wait for changes."""
        return RELAY_WATCH_S if self._own else LONG_WATCH_S

    def answer(self, question: Question) -> Answer:
        """Tell another host how fresh this one's table is."""
        table = self._tables.table
        age_s = self._tables.age_s(now_s())
        return Answer(
            question.asked_s, age_s, table.revision if table else 0, self.server_revision
        )

    def take(self, answer: Answer) -> None:
        """Take a relay's word; a newer table there shows that the own watch is deaf."""
        table = self._tables.table
        same_table = table is not None and answer.table_revision <= table.revision
        if same_table:
            self._tables.confirm(None, answer.asked_s - answer.age_s)
        if same_table and answer.server_revision <= self.server_revision:
            self._behind_since_s = None
        else:
            self._fall_behind(answer)

    def check(self) -> None:
        """Decide who asks the store, and ask a relay where that is another host."""
        now = now_s()
        hosts = [self._host, *self._peers.alive(now)]
        relays = ranked(RELAY_KEY, hosts)[: 1 + (len(hosts) - 1) // HOSTS_A_RELAY]
        own = self._host in relays or self._tables.age_s(now) > STALE_S
        if own and not self._own:
            self._own = True
            self._interrupt()
        self._own = own
        others = [relay for relay in relays if relay != self._host]
        if others and self._host not in relays:
            self._asked += 1
            self._peers.ask(others[self._asked % len(others)])

    def _fall_behind(self, answer: Answer) -> None:
        now = now_s()
        if self._behind_since_s is None:
            self._behind_since_s = now
        elif now - self._behind_since_s >= NEWS_S:
            self._behind_since_s = None
            self._log.last(
                "watch-deaf",
                table_revision=answer.table_revision,
                server_revision=answer.server_revision,
            )
            self._interrupt()

    def _interrupt(self) -> None:
        for follow in self._follows:
            follow.interrupt()


__all__ = ["ASK_S", "Freshness"]
