"""How long the answers of each class take: the open requests and the latest complete answers."""

from __future__ import annotations

from collections import OrderedDict, deque

MEASURED_ANSWERS = 64
MAX_CLASSES = 256


class AnswerDurations:
    """The durations of the latest complete answers of each class, and when requests began.

    All times are in seconds. A request is known from `begin` to `end` by its owner.

    >>> durations = AnswerDurations()
    >>> durations.begin("book", "owner", now_s=10.0)
    >>> durations.begun_s("owner")
    10.0
    """

    def __init__(self) -> None:
        self._durations_by_class: OrderedDict[str, deque[float]] = OrderedDict()
        self._begun_s_by_owner: dict[object, float] = {}

    def begin(self, class_name: str, owner: object, now_s: float) -> None:
        """Record that a request has been read."""
        self._begun_s_by_owner[owner] = now_s

    def begun_s(self, owner: object) -> float:
        """Return when an open request was read."""
        return self._begun_s_by_owner[owner]

    def end(self, owner: object) -> None:
        """Record that a request has ended, with an answer or without one."""
        self._begun_s_by_owner.pop(owner, None)

    def record(self, class_name: str, took_s: float) -> None:
        """Record a complete answer."""
        latest = self._durations_by_class.setdefault(class_name, deque(maxlen=MEASURED_ANSWERS))
        self._durations_by_class.move_to_end(class_name)
        latest.append(took_s)
        while len(self._durations_by_class) > MAX_CLASSES:
            self._durations_by_class.popitem(last=False)

    def longest_s(self, class_name: str) -> float | None:
        """Return the longest of the latest answers; None if there were none."""
        return max(self._durations_by_class.get(class_name, ()), default=None)


__all__ = ["AnswerDurations"]
