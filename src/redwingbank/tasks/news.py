"""Sends the dispatch task's notices to the other hosts and records each as an event."""

from __future__ import annotations

from typing import TYPE_CHECKING

from redwingbank.messages import Notice

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from redwingbank.events import EventLog

DRAIN_NOTICE = "draining"


class NoticePublisher:
    """Records notices and passes them to `send`, which forwards them to the other hosts.

    `number` must be higher than any notice number of this host's earlier runs.
    """

    def __init__(
        self, host: str, events: EventLog, send: Callable[[Notice], None], number: int
    ) -> None:
        self._host = host
        self._events = events
        self._send = send
        self._number = number

    def announce(self, notices: Iterable[Notice]) -> None:
        """Record notices and send them to the other hosts."""
        for notice in notices:
            self._record("notice", notice)
            self._send(notice)

    def announce_draining(self, server: str, ttl_s: float) -> None:
        """Tell the other hosts that a backend server accepts no new work for `ttl_s`."""
        self._number += 1
        self.announce([Notice(DRAIN_NOTICE, server, self._host, self._number, 1.0, ttl_s)])

    def record_received(self, notice: Notice) -> None:
        """Record a notice received from another host."""
        self._record("notice-learned", notice)

    def _record(self, event: str, notice: Notice) -> None:
        self._events.record(
            event,
            kind=notice.kind,
            subject=notice.subject,
            origin=notice.origin,
            notice=notice.number,
        )


__all__ = ["DRAIN_NOTICE", "NoticePublisher"]
