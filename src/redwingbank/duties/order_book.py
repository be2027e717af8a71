"""The orders in force of one pool: what was asked for, what is due again, what is not to be had.

Answers orders that are refused, lost, late or never carried out, and servers that never come. An
order without an answer may be carried out 2 to 12 s later, over a newer one, so that the newer one
is repeated until then.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.duties.values import DutyAnswer

if TYPE_CHECKING:
    from collections.abc import Iterable

# An order without an answer is carried out within 12 s or not at all.
LATE_S = 13.0
# What was ordered is missing if it is not there this long after it should serve.
MISSING_MARGIN_S = 4.0
RETRY_S_BY_ANSWER = {DutyAnswer.BUSY: 1.0, DutyAnswer.UNKNOWN: 2.0}
# After a refusal, the market of a data centre is left alone for this long, twice as long after
# each further one. A dry market lasts about 10 s.
FIRST_DRY_S = 2.0
MAX_DRY_S = 5.0


class Subject(NamedTuple):
    """A kind of servers of a data centre."""

    data_centre: str
    spot: bool


class _Late(NamedTuple):
    """A call that may still be carried out."""

    desired: int
    until_s: float


class _Order:
    """The state of one subject; `desired` is also in force if it was never sent."""

    def __init__(self, desired: int, since_s: float) -> None:
        self.desired = desired
        self.since_s = since_s
        self.accepted = desired
        self.open = False
        self.due_s = float("-inf")
        self.sent_s = float("-inf")
        self.late: list[_Late] = []
        self.refusals = 0
        self.dry_until_s = float("-inf")

    @property
    def changed_s(self) -> float:
        """When the order was last changed or sent."""
        return max(self.since_s, self.sent_s)

    def overtaken(self, now_s: float) -> bool:
        """Whether a late call could replace this order."""
        self.late = [call for call in self.late if call.until_s > now_s]
        return any(call.desired != self.desired for call in self.late)


class OrderBook:
    """Orders of one pool by subject.

    >>> book, subject = OrderBook(4.0), Subject("dc-a", spot=True)
    >>> book.adopt(subject, 0, 0.0)
    >>> book.want(subject, 6, 1.0)
    >>> book.due({subject: 0}, 1.0)
    [Subject(data_centre='dc-a', spot=True)]
    >>> book.record(subject, 6, DutyAnswer.ACCEPTED, 1.1)
    >>> book.due({subject: 0}, 5.0), book.due({subject: 5}, 9.3) == [subject]
    ([], True)
    """

    def __init__(self, boot_s: float) -> None:
        self.boot_s = boot_s
        self._orders: dict[Subject, _Order] = {}

    def __contains__(self, subject: Subject) -> bool:
        return subject in self._orders

    @property
    def subjects(self) -> Iterable[Subject]:
        """All subjects in the book."""
        return self._orders.keys()

    def adopt(self, subject: Subject, desired: int, now_s: float) -> None:
        """Take over what is in force, from the list of servers or from the last holder."""
        self._orders[subject] = _Order(desired, now_s)

    def desired(self, subject: Subject) -> int:
        """Return the number that is asked for."""
        return self._orders[subject].desired

    def want(self, subject: Subject, desired: int, now_s: float) -> None:
        """Ask for another number; it is due at once."""
        order = self._orders[subject]
        if desired != order.desired:
            order.desired, order.since_s, order.open = desired, now_s, True
            order.due_s = now_s

    def expected(self, subject: Subject, listed: int, now_s: float) -> int:
        """Return how many servers there will be: those listed, and those still to come."""
        order = self._orders[subject]
        if order.desired < listed or now_s < order.since_s + self.boot_s + MISSING_MARGIN_S:
            return order.desired
        return listed

    def dry(self, subject: Subject, now_s: float) -> bool:
        """Whether none are available."""
        return now_s < self._orders[subject].dry_until_s

    def correct(self, subject: Subject, listed: int) -> None:
        """Take what is listed for what is in force, without an order."""
        order = self._orders[subject]
        order.desired = order.accepted = listed
        order.open = False

    def keep_surplus(self, listed: dict[Subject, int], now_s: float) -> None:
        """Take over servers that came unasked: those of a late order, or that were listed late.

        They are ordered away like others, after calm.
        """
        for subject, order in self._orders.items():
            settled = now_s >= order.changed_s + self.boot_s + MISSING_MARGIN_S
            never_sent = order.sent_s == float("-inf")
            open_order = order.open or order.overtaken(now_s)
            surplus = listed.get(subject, 0) > order.desired
            if surplus and not open_order and (settled or never_sent):
                self.correct(subject, listed[subject])

    def due(self, listed: dict[Subject, int], now_s: float) -> list[Subject]:
        """List the subjects whose orders are to be sent now, increases first."""
        due = [subject for subject in self._orders if self._is_due(subject, listed, now_s)]
        return sorted(due, key=lambda subject: listed.get(subject, 0) - self.desired(subject))

    def record(self, subject: Subject, desired: int, answer: DutyAnswer, now_s: float) -> None:
        """Record the answer to an order that was sent."""
        order = self._orders[subject]
        order.sent_s = now_s
        order.due_s = now_s + RETRY_S_BY_ANSWER.get(answer, self.boot_s)
        if answer is DutyAnswer.UNKNOWN:
            order.late.append(_Late(desired, now_s + LATE_S))
        elif answer is DutyAnswer.ACCEPTED:
            order.accepted, order.refusals, order.dry_until_s = desired, 0, float("-inf")
            order.open = order.open and order.desired != desired
        elif answer is DutyAnswer.REFUSED and desired > order.accepted:
            wait_s = min(MAX_DRY_S, FIRST_DRY_S * 2**order.refusals)
            order.refusals += 1
            order.dry_until_s = order.due_s = now_s + wait_s
            # what was accepted before stays in force
            if order.desired == desired:
                order.desired, order.since_s, order.open = order.accepted, float("-inf"), False

    def _is_due(self, subject: Subject, listed: dict[Subject, int], now_s: float) -> bool:
        order = self._orders[subject]
        if now_s < order.due_s:
            return False
        if order.open or order.overtaken(now_s):
            return True
        missing = listed.get(subject, 0) < order.desired
        return missing and now_s >= order.changed_s + self.boot_s + MISSING_MARGIN_S


__all__ = ["OrderBook", "Subject"]
