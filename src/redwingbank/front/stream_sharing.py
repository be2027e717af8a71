"""Shares with a few other hosts which version of the servers' software began each stream."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from redwingbank.clock import now_s
from redwingbank.front.stream_codec import Purpose, StreamNote, StreamReport
from redwingbank.routing.stream_origin import StreamBook
from redwingbank.rules.host_ring import HostRing

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from redwingbank.front.peers import Peers
    from redwingbank.routing.stream_origin import StreamOrigin

# Other hosts that are told of each stream, and hosts that are asked for one: hosts may not agree
# for some seconds on which of them are alive.
HOLDERS = 3
ASKED_HOSTS = 5
# Hosts that come and go are noticed within this time.
FOLLOW_S = 0.5
# Streams that go on are told again this often: datagrams are lost, and hosts start again.
REPEAT_S = 1.0
# An answer takes some 10 ms; a host that has not answered is asked again. Questions are counted,
# not time: what arrived while this host was held up is read after its timers.
ASK_AGAIN_S = 0.05
MAX_QUESTIONS = 5
# After the end of a host many streams are taken up at the same moment; a message asks for several.
ASK_BATCH_S = 0.002
# streams per datagram, at about 80 bytes each
MAX_NOTES = 15


class _Search:
    """A question to the hosts that may hold a stream; `found` gets the answer."""

    def __init__(self, hosts: set[str]) -> None:
        self.silent = hosts
        self.questions = 0
        self.found: list[Callable[[StreamOrigin | None], None]] = []
        self.timer: asyncio.TimerHandle | None = None


class StreamSharing:
    """Remembers the streams of this host, and those that other hosts tell it.

    A stream is told to the hosts that follow its key on a ring of all hosts, so that any host
    finds it with a few questions, also after the host that served it is gone. What a host sends
    and keeps for a stream does not depend on the number of hosts.
    """

    def __init__(self, host: str, peers: Peers) -> None:
        self.book = StreamBook()
        self._host = host
        self._peers = peers
        self._ring = HostRing()
        # the answers of each stream at this host, since a caller may take it up beside the first
        self._served: Counter[str] = Counter()
        self._followed_s = float("-inf")
        # another host was heard for the first time since
        self._ring_stale = False
        self._repeated_s = float("-inf")
        self._search_by_key: dict[str, _Search] = {}
        self._unasked: list[str] = []
        self.handler_by_purpose: dict[Purpose, Callable[[Iterable[StreamNote], str], None]] = {
            Purpose.TOLD: self._handle_told,
            Purpose.ASKED: self._handle_question,
            Purpose.ANSWERED: self._handle_answer,
            Purpose.ENDED: self._handle_end,
        }
        peers.on_streams = self.handle_report
        peers.on_host_started.append(self._mark_ring_stale)

    def begin(self, key: str, origin: StreamOrigin, ends_s: float) -> None:
        """Remember a stream that this host serves from now on, and tell the hosts that hold it.

        `origin` names the host that served it before, if it was another one; that one need not
        remember it any longer.
        """
        now, before = now_s(), origin.host
        self.book.record(key, origin._replace(host=self._host), ends_s, now)
        self._served[key] += 1
        holders = self._holders(key)
        self.tell(holders, Purpose.TOLD, [self._note(key, now)])
        if before not in {self._host, *holders}:
            self.tell([before], Purpose.ENDED, [StreamNote(key)])

    def serves(self, key: str) -> bool:
        """Whether an answer of this host serves a stream."""
        return self._served[key] > 0

    def release(self, key: str) -> None:
        """Record that an answer no longer serves a stream, which its caller may take up."""
        if self._end_answer(key):
            self.tell(self._holders(key), Purpose.TOLD, [self._note(key, now_s())])

    def hand_over(self, key: str) -> None:
        """Record that an answer no longer serves a stream, which another host has taken over.

        That host tells the others.
        """
        self._end_answer(key)

    def finish(self, key: str) -> None:
        """Forget a stream that is complete, here and at the hosts that hold it.

        It is remembered while another answer serves it.
        """
        if self._end_answer(key):
            self.book.end(key)
            self.tell(self._holders(key), Purpose.ENDED, [StreamNote(key)])

    def _end_answer(self, key: str) -> bool:
        """Count the end of an answer; return whether it was the last one of its stream."""
        self._served[key] -= 1
        if self._served[key] > 0:
            return False
        del self._served[key]
        return True

    def find(self, key: str, found: Callable[[StreamOrigin | None], None]) -> None:
        """Pass on what began a stream, at once if it is known here; None if no host can tell."""
        now = now_s()
        # the first time, this host has just started
        if len(self._ring.hosts) <= 1 or self._ring_stale:
            self._follow_hosts(now)
        hosts = {host for host in self._ring.successors(key, ASKED_HOSTS) if host != self._host}
        if self.book.remembers(key, now) or not hosts:
            found(self.book.find(key, now))
            return
        search = self._search_by_key.get(key)
        if search is None:
            search = self._search_by_key[key] = _Search(hosts)
            self._ask(key)
        search.found.append(found)

    def handle_report(self, report: StreamReport, host: str) -> None:
        """Handle what another host tells, asks or answers."""
        self.handler_by_purpose[report.purpose](report.notes, host)

    def update(self, now: float) -> None:
        """Follow the hosts that come and go, repeat what they hold, and forget what has ended."""
        changed = now - self._followed_s >= FOLLOW_S and self._follow_hosts(now)
        self.book.expire(now)
        if changed or now - self._repeated_s >= REPEAT_S:
            self._repeated_s = now
            self._repeat(now)

    def _mark_ring_stale(self, host: str) -> None:  # noqa: ARG002 - of the callback
        """Follow a host that was just heard before the ring is used again."""
        self._ring_stale = True

    def _follow_hosts(self, now: float) -> bool:
        self._followed_s, self._ring_stale = now, False
        return self._ring.update([self._host, *self._peers.expected(now)])

    def _repeat(self, now: float) -> None:
        notes_by_host: defaultdict[str, list[StreamNote]] = defaultdict(list)
        for key in self._served:
            if self.book.find(key, now):
                for host in self._holders(key):
                    notes_by_host[host].append(self._note(key, now))
        for host, notes in notes_by_host.items():
            self.tell([host], Purpose.TOLD, notes)

    def _handle_told(self, notes: Iterable[StreamNote], host: str) -> None:
        now = now_s()
        for note in notes:
            if note.origin:
                self.book.record(note.key, note.origin, now + note.left_s, now)

    def _handle_question(self, notes: Iterable[StreamNote], host: str) -> None:
        now = now_s()
        self.tell([host], Purpose.ANSWERED, [self._note(note.key, now) for note in notes])

    def _handle_answer(self, notes: Iterable[StreamNote], host: str) -> None:
        for note in notes:
            search = self._search_by_key.get(note.key)
            if search is None:
                continue
            search.silent.discard(host)
            if note.origin or not search.silent:
                self._conclude(note.key, note.origin)

    def _handle_end(self, notes: Iterable[StreamNote], host: str) -> None:
        for note in notes:
            self.book.end(note.key)

    def _ask(self, key: str) -> None:
        search = self._search_by_key.get(key)
        if search is None:
            return
        if search.questions == MAX_QUESTIONS:
            self._conclude(key, None)
            return
        search.questions += 1
        loop = asyncio.get_running_loop()
        if not self._unasked:
            loop.call_later(ASK_BATCH_S, self._send_questions)
        self._unasked.append(key)
        search.timer = loop.call_later(ASK_AGAIN_S, self._ask, key)

    def _send_questions(self) -> None:
        keys, self._unasked = self._unasked, []
        notes_by_host: defaultdict[str, list[StreamNote]] = defaultdict(list)
        for key in keys:
            search = self._search_by_key.get(key)
            for host in search.silent if search else ():
                notes_by_host[host].append(StreamNote(key))
        for host, notes in notes_by_host.items():
            self.tell([host], Purpose.ASKED, notes)

    def _conclude(self, key: str, origin: StreamOrigin | None) -> None:
        search = self._search_by_key.pop(key)
        if search.timer:
            search.timer.cancel()
        for found in search.found:
            found(origin)

    def _holders(self, key: str) -> list[str]:
        """Return the other hosts that hold a stream."""
        if self._ring_stale:
            self._follow_hosts(now_s())
        hosts = self._ring.successors(key, HOLDERS + 1)
        return [host for host in hosts if host != self._host][:HOLDERS]

    def _note(self, key: str, now: float) -> StreamNote:
        return StreamNote(key, self.book.find(key, now), self.book.left_s(key, now))

    def tell(self, hosts: Iterable[str], purpose: Purpose, notes: list[StreamNote]) -> None:
        """Send notes of streams to some hosts, several in a message."""
        for at in range(0, len(notes), MAX_NOTES):
            self._peers.tell(hosts, StreamReport(purpose, tuple(notes[at : at + MAX_NOTES])))


__all__ = ["StreamSharing"]
