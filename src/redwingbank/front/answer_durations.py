"""How long the answers of each class take: the latest complete ones, and the open requests.

Answers a stop during which servers grow slow: no slow answer is complete yet when it matters.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from itertools import islice

MEASURED_ANSWERS = 64
MAX_CLASSES = 256
# One open request in this many, and this many at least, tell that servers are slow; fewer may be
# at a server that hangs.
OPEN_SHARE = 4
OPEN_MIN = 4
# A request that is still open is expected to last as long again.
AGE_FACTOR = 2


class AnswerDurations:
    """The durations of the latest complete answers of each class, and when requests began.

    All times are in seconds. A request is known from `begin` to `end` by its owner.

    >>> durations = AnswerDurations()
    >>> durations.record("book", 0.6)
    >>> for owner in range(8):
    ...     durations.begin("book", owner, now_s=10.0)
    >>> durations.expected_s("book", now_s=10.5), durations.expected_s("book", now_s=12.0)
    (0.6, 4.0)
    """

    def __init__(self) -> None:
        self._durations_by_class: OrderedDict[str, deque[float]] = OrderedDict()
        self._class_by_owner: dict[object, str] = {}
        # in the order in which they began
        self._begun_s_by_owner_by_class: dict[str, dict[object, float]] = {}

    def begin(self, class_name: str, owner: object, now_s: float) -> None:
        """Record that a request has been read."""
        self._class_by_owner[owner] = class_name
        self._begun_s_by_owner_by_class.setdefault(class_name, {})[owner] = now_s

    def begun_s(self, owner: object) -> float:
        """Return when an open request was read."""
        return self._begun_s_by_owner_by_class[self._class_by_owner[owner]][owner]

    def end(self, owner: object) -> None:
        """Record that a request has ended, with an answer or without one."""
        class_name = self._class_by_owner.pop(owner, None)
        if class_name is None:
            return
        begun_s_by_owner = self._begun_s_by_owner_by_class[class_name]
        del begun_s_by_owner[owner]
        if not begun_s_by_owner:
            del self._begun_s_by_owner_by_class[class_name]

    def record(self, class_name: str, took_s: float) -> None:
        """Record a complete answer."""
        latest = self._durations_by_class.setdefault(class_name, deque(maxlen=MEASURED_ANSWERS))
        self._durations_by_class.move_to_end(class_name)
        latest.append(took_s)
        while len(self._durations_by_class) > MAX_CLASSES:
            self._durations_by_class.popitem(last=False)

    def expected_s(self, class_name: str, now_s: float) -> float | None:
        """Return how long an answer may take; None if no answer is known.

        That is the longest of the latest answers, or more while open requests last longer.
        """
        longest_s = max(self._durations_by_class.get(class_name, ()), default=None)
        begun_s_by_owner = self._begun_s_by_owner_by_class.get(class_name, {})
        place = max(OPEN_MIN, len(begun_s_by_owner) // OPEN_SHARE) - 1
        begun_s = next(islice(begun_s_by_owner.values(), place, None), now_s)
        age_s = now_s - begun_s
        return longest_s if longest_s is None or age_s <= longest_s else AGE_FACTOR * age_s


__all__ = ["AnswerDurations"]
