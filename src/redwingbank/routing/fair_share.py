"""Which organisations take more of a pool than they usually do.

Answers one organisation that sends many times its usual requests, and callers who repeat theirs
at once: while a pool is short of room, what exceeds the organisation's usual share is refused
before requests of others are.
"""

from __future__ import annotations

import math
from typing import NamedTuple

# Requests of the last seconds are compared with those of the last half minute.
RECENT_S = 2.0
USUAL_S = 30.0
# Arrivals of a small organisation vary by more than half from one moment to the next.
SURGE_FACTOR = 2.0
# Until a pool has been used for so long, nothing is known of usual shares.
LEARNING_S = 5.0
# Shares that have decayed below this part of a request are forgotten.
MIN_WORK = 0.01


class _Use(NamedTuple):
    """Work of an organisation, decayed over a short and over a long time."""

    recent: float
    usual: float
    updated_s: float

    def at(self, now_s: float) -> _Use:
        """Return the work as it has decayed until now."""
        elapsed_s = max(0.0, now_s - self.updated_s)
        return _Use(
            self.recent * math.exp(-elapsed_s / RECENT_S),
            self.usual * math.exp(-elapsed_s / USUAL_S),
            now_s,
        )


class FairShares:
    """The work that organisations have at the servers of one pool, over all hosts.

    Work is counted when a request is sent, in seconds of a server's slot. An organisation is
    above its share if its part of the recent work is more than twice its usual part, and more
    than an equal part; a share that others leave unused may be taken as long as there is room.
    All times are in seconds on the host's clock.

    >>> shares = FairShares()
    >>> for second in range(60):
    ...     for organisation in (1, 2, 3):
    ...         shares.record(organisation, 1.0, float(second))
    >>> for _ in range(10): shares.record(1, 1.0, 60.0)
    >>> shares.is_above(1, 60.0), shares.is_above(2, 60.0)
    (True, False)
    """

    def __init__(self) -> None:
        self._use_by_organisation: dict[int, _Use] = {}
        self._since_s = float("inf")
        self._requests = _Use(0.0, 0.0, 0.0)

    def requests_per_s(self, now_s: float) -> float:
        """Return the requests a second of the last seconds."""
        return self._requests.at(now_s).recent / RECENT_S

    def record(self, organisation: int, work: float, now_s: float) -> None:
        """Count a request that was sent."""
        self._since_s = min(self._since_s, now_s)
        recent, usual, _ = self._requests.at(now_s)
        self._requests = _Use(recent + 1.0, usual + 1.0, now_s)
        known = self._use_by_organisation.get(organisation, _Use(0.0, 0.0, now_s)).at(now_s)
        self._use_by_organisation[organisation] = _Use(
            known.recent + work, known.usual + work, now_s
        )

    def is_above(self, organisation: int, now_s: float) -> bool:
        """Whether an organisation takes more than its share at present."""
        known = self._use_by_organisation.get(organisation)
        if known is None or now_s - self._since_s < LEARNING_S:
            return False
        own = known.at(now_s)
        use_by_organisation = self._decay(now_s)
        recent = sum(use.recent for use in use_by_organisation.values())
        # what has surged is left out of the usual work, or it would hide itself
        usual = sum(use.usual - use.recent for use in use_by_organisation.values())
        if recent <= 0 or usual <= 0:
            return False
        share = own.recent / recent
        usual_share = (own.usual - own.recent) / usual
        return share > max(SURGE_FACTOR * usual_share, 1 / len(use_by_organisation))

    def _decay(self, now_s: float) -> dict[int, _Use]:
        """Let all work decay until now, and forget organisations without any."""
        self._use_by_organisation = {
            organisation: use
            for organisation, kept in self._use_by_organisation.items()
            if (use := kept.at(now_s)).usual > MIN_WORK
        }
        return self._use_by_organisation


__all__ = ["FairShares"]
